#include "world.h"

// The way of a request through instances and upstreams.
namespace endivequay::bench::detail {

void World::tryNextChoice(Ticket ticket)
{
    Request &request = requests_[ticket];
    if (request.nextChoice >= request.choices.size()) {
        request.fate = "no_choice_left";
        return;
    }
    const int index = request.choices[request.nextChoice++];
    request.path = deployment_.fromSite(request.site, instances_[index].domain);
    after(request.path, [=, this] { arrive(ticket, index); });
}

void World::arrive(Ticket ticket, int index)
{
    Request &request = requests_[ticket];
    Instance &instance = instances_[index];
    const Node &node = instance.nodes[request.service];
    if (!instance.isAlive)
        return after(connectTimeout, [=, this] { tryNextChoice(ticket); });
    // A caller goes on to the next choice when the instance has nothing to run the request on.
    if (strategy_ != Strategy::Product && node.usableSlots(now_) == 0)
        return after(request.path, [=, this] { tryNextChoice(ticket); });
    if (request.hops == 0 && !takesShiftToken(request, instance)) {
        request.fate = "shift_cap_at_arrival";
        return;
    }
    enqueue(ticket, index);
}

bool World::takesShiftToken(const Request &request, const Instance &instance)
{
    const int region = regionOf(instance.domain);
    if (isHome(regionName(region), regionName(regionOf(request.site)),
            deployment_.services[request.service].id, request.block, instance.plans, now_)) {
        notePlannedMove(request, region);
        return true;
    }
    if (!shiftTokens_[request.service].tryTake(now_))
        return false;
    unplannedMoves_[request.service].push_back(now_);
    return true;
}

void World::notePlannedMove(const Request &request, int region)
{
    if (region != regionOf(request.site))
        plannedMoves_[request.service].try_emplace(request.block.prefix, now_);
}

void World::enqueue(Ticket ticket, int index)
{
    const Request &request = requests_[ticket];
    Instance &instance = instances_[index];
    const double weight = ratePerLoad * classRate(request.service, request.requestClass);
    const auto dropped = instance.nodes[request.service].push(
        { ticket, teamName(request.requestClass), RequestRate(weight), request.deadline,
            request.isDeferrable },
        now_);
    if (dropped)
        requests_[*dropped].fate = "queue_full";
    dispatch(index, request.service);
    if (strategy_ == Strategy::Product)
        decide(ticket, index, instance.life);
}

void World::dispatch(int index, int service)
{
    Instance &instance = instances_[index];
    if (!instance.isAlive)
        return;
    Node &node = instance.nodes[service];
    node.expire(now_);
    while (node.waiting() > 0) {
        const auto upstream = node.choose(now_);
        if (!upstream)
            return;
        const auto next = node.pop(now_);
        if (!next)
            return;
        start(next->ticket, index, upstreams_[upstreamIndex_.at(*upstream)]);
    }
}

/// Decides about a request that still waits at \a index.
void World::decide(Ticket ticket, int index, int life)
{
    Instance &instance = instances_[index];
    Request &request = requests_[ticket];
    Node &node = instance.nodes[request.service];
    if (instance.life != life || !node.contains(ticket))
        return;
    const RegionId region = regionName(regionOf(instance.domain));
    const BlockedRequest blocked { region, request.deadline, node.meanLatency(), request.hops,
        bytesPerRequest, request.isDeferrable, ticket };
    std::vector<ForwardTarget> targets;
    for (int other = 0; other < instanceCount; ++other) {
        const Instance &target = instances_[other];
        if (target.domain == instance.domain)
            continue;
        const RegionId targetRegion = regionName(regionOf(target.domain));
        targets.push_back({ target.address, FailureDomainId(std::to_string(target.domain)),
            targetRegion, deployment_.between(instance.domain, target.domain),
            digests_[request.service][other].freeSlots
                - outstanding_[request.service][index][other],
            !knownDown_.contains(other),
            isHome(targetRegion, regionName(regionOf(request.site)),
                deployment_.services[request.service].id, request.block, instance.plans, now_) });
    }
    const ForwardDecision decision = decideForward(blocked, { node.expectedWait(now_), false },
        targets, shiftTokens_[request.service], instance.links, now_);
    if (const auto *wait = std::get_if<WaitHere>(&decision)) {
        at(std::max(wait->until, now_ + 1ms), [=, this] { decide(ticket, index, life); });
        return;
    }
    node.remove(ticket);
    if (const auto *refusal = std::get_if<Refusal>(&decision))
        request.fate = refusalName(refusal->reason);
    if (const auto *passOn = std::get_if<Forward>(&decision)) {
        const ForwardTarget &target = targets[passOn->target];
        const int other = instanceIndex_.at(target.address);
        request.isPassedOn = true;
        request.passedOnBy = index;
        request.passedOnTo = other;
        ++outstanding_[request.service][index][other];
        at(request.deadline, [=, this] { comeBack(ticket); });
        if (target.region != region && !target.isHome)
            unplannedMoves_[request.service].push_back(now_);
        ++request.hops;
        request.path += target.delay;
        after(target.delay, [=, this] { arrive(ticket, other); });
    }
}

void World::start(Ticket ticket, int index, Upstream &upstream)
{
    Request &request = requests_[ticket];
    Instance &instance = instances_[index];
    instance.nodes[request.service].started(upstream.id, now_);
    ++upstream.inFlight;
    if (!request.wasTried)
        instance.retries.requestStarted(
            deployment_.services[request.service].id, teamName(request.requestClass));
    if (failingDomain_ >= 0) {
        attempts_ += 1;
        firstAttempts_ += request.wasTried ? 0 : 1;
        if (instance.domain == failingDomain_) {
            localAttempts_ += 1;
            localFirstAttempts_ += request.wasTried ? 0 : 1;
        }
    }
    request.wasTried = true;
    if (drainedAt_ && upstream.domain == drainedDomain_ && instance.isAlive)
        result_.lastNewWork = std::max(result_.lastNewWork, toSeconds(now_ - *drainedAt_));

    double inRegion = 0;
    double regionSlots = 0;
    for (const Upstream &other : upstreams_) {
        if (other.service == upstream.service
            && regionOf(other.domain) == regionOf(upstream.domain)) {
            inRegion += other.inFlight;
            regionSlots += other.slots;
        }
    }
    result_.slotsExcess = std::max<double>(result_.slotsExcess, upstream.inFlight - upstream.slots);
    result_.regionExcess = std::max(result_.regionExcess, inRegion - regionSlots);

    RequestResult outcome = RequestResult::Good;
    Interval time = fromSeconds(toSeconds(request.serviceTime) * upstream.timeFactor(now_));
    if (upstream.inFlight > upstream.realSlots(now_)) {
        outcome = RequestResult::Shed;
        time = shedTime;
    } else if (upstream.isFailing) {
        outcome = RequestResult::Failed;
        time = failureTime;
    } else if (now_ + time > request.deadline) {
        outcome = RequestResult::Cancelled;
        time = std::max<Interval>(request.deadline - now_, 1ms);
    }
    after(time, [=, this, life = instance.life, &upstream] {
        if (instances_[index].life == life)
            finish(ticket, index, upstream, outcome, time);
    });
}

void World::finish(
    Ticket ticket, int index, Upstream &upstream, RequestResult outcome, Interval latency)
{
    Request &request = requests_[ticket];
    Instance &instance = instances_[index];
    --upstream.inFlight;
    instance.nodes[request.service].finished(upstream.id, outcome, latency, now_);
    if (drainedAt_ && upstream.domain == drainedDomain_)
        result_.drainTime = std::max(result_.drainTime, toSeconds(now_ - *drainedAt_));
    const bool mayRetry
        = outcome == RequestResult::Shed || (outcome == RequestResult::Failed && !request.isOnce);
    request.fate = outcome == RequestResult::Good ? "late"
        : outcome == RequestResult::Shed          ? "shed"
        : outcome == RequestResult::Failed        ? "failed"
                                                  : "deadline_at_upstream";
    if (outcome == RequestResult::Good)
        answered(ticket);
    else if (mayRetry && instance.nodes[request.service].mayRetry(now_)
        && instance.retries.tryRetry(
            deployment_.services[request.service].id, teamName(request.requestClass)))
        return enqueue(ticket, index);
    comeBack(ticket);
    dispatch(index, request.service);
}

/// Ends the hop of a request that was passed on.
void World::comeBack(Ticket ticket)
{
    Request &request = requests_[ticket];
    if (!request.isPassedOn)
        return;
    request.isPassedOn = false;
    --outstanding_[request.service][request.passedOnBy][request.passedOnTo];
}

void World::answered(Ticket ticket)
{
    Request &request = requests_[ticket];
    if (!request.isCounted || now_ + request.path > request.deadline)
        return;
    request.isAnswered = true;
    counts_[request.service][request.requestClass].good += 1;
    if (!request.isDeferrable)
        latencies_.push_back(toSeconds(now_ + request.path - request.sentAt));
}

} // namespace endivequay::bench::detail
