#include "simulation.h"

// Request handling at instances and upstreams.
namespace endivequay::bench::detail {

void Simulation::tryNextChoice(Ticket ticket)
{
    Request &request = requests_[ticket];
    if (request.nextChoice >= request.choices.size()) {
        request.failureCause = "no_choice_left";
        return;
    }
    const int index = request.choices[request.nextChoice++];
    request.pathDelay = deployment_.delayFromSite(request.site, instances_[index].domain);
    after(request.pathDelay, [=, this] { arrive(ticket, index); });
}

void Simulation::arrive(Ticket ticket, int index)
{
    Request &request = requests_[ticket];
    Instance &instance = instances_[index];
    const Node &node = instance.nodes[request.service];
    if (!instance.isAlive)
        return after(connectTimeout, [=, this] { tryNextChoice(ticket); });
    // The caller tries its next choice when the instance has no usable slot.
    if (strategy_ != Strategy::Product && node.usableSlots(now_) == 0)
        return after(request.pathDelay, [=, this] { tryNextChoice(ticket); });
    if (request.hops == 0 && !tryAcquireShiftToken(request, instance)) {
        request.failureCause = "shift_cap_at_arrival";
        return;
    }
    enqueue(ticket, index);
}

bool Simulation::tryAcquireShiftToken(const Request &request, const Instance &instance)
{
    const int region = regionOf(instance.domain);
    if (isHome(regionName(region), regionName(regionOf(request.site)),
            deployment_.services[request.service].id, request.block, instance.shiftPlans, now_)) {
        recordPlannedMove(request, region);
        return true;
    }
    if (!shiftTokens_[request.service].tryTake(now_))
        return false;
    unplannedMoves_[request.service].push_back(now_);
    return true;
}

void Simulation::recordPlannedMove(const Request &request, int region)
{
    if (region != regionOf(request.site))
        plannedMoves_[request.service].try_emplace(request.block.prefix, now_);
}

void Simulation::enqueue(Ticket ticket, int index)
{
    const Request &request = requests_[ticket];
    Instance &instance = instances_[index];
    const double weight = ratePerLoad * classRate(request.service, request.requestClass);
    const auto dropped = instance.nodes[request.service].push(
        { ticket, teamName(request.requestClass), RequestRate(weight), request.deadline,
            request.isDeferrable },
        now_);
    if (dropped)
        requests_[*dropped].failureCause = "queue_full";
    dispatch(index, request.service);
    if (strategy_ == Strategy::Product)
        decideForwarding(ticket, index, instance.incarnation);
}

void Simulation::dispatch(int index, int service)
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

/// Lets a request that is queued at \a index wait, forwards it or refuses it.
void Simulation::decideForwarding(Ticket ticket, int index, int incarnation)
{
    Instance &instance = instances_[index];
    Request &request = requests_[ticket];
    Node &node = instance.nodes[request.service];
    if (instance.incarnation != incarnation || !node.contains(ticket))
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
            targetRegion, deployment_.delayBetween(instance.domain, target.domain),
            digests_[request.service][other].freeSlots
                - forwardsInFlight_[request.service][index][other],
            !excludedInstances_.contains(other),
            isHome(targetRegion, regionName(regionOf(request.site)),
                deployment_.services[request.service].id, request.block, instance.shiftPlans,
                now_) });
    }
    const ForwardDecision decision = decideForward(blocked, { node.expectedWait(now_), false },
        targets, shiftTokens_[request.service], instance.linkBudget, now_);
    if (const auto *wait = std::get_if<WaitHere>(&decision)) {
        at(std::max(wait->until, now_ + 1ms),
            [=, this] { decideForwarding(ticket, index, incarnation); });
        return;
    }
    node.remove(ticket);
    if (const auto *refusal = std::get_if<Refusal>(&decision))
        request.failureCause = refusalName(refusal->reason);
    if (const auto *forward = std::get_if<Forward>(&decision)) {
        const ForwardTarget &target = targets[forward->target];
        const int other = instanceIndex_.at(target.address);
        request.isForwarded = true;
        request.forwardedFrom = index;
        request.forwardedTo = other;
        ++forwardsInFlight_[request.service][index][other];
        at(request.deadline, [=, this] { endForwardedHop(ticket); });
        if (target.region != region && !target.isHome)
            unplannedMoves_[request.service].push_back(now_);
        ++request.hops;
        request.pathDelay += target.delay;
        after(target.delay, [=, this] { arrive(ticket, other); });
    }
}

void Simulation::start(Ticket ticket, int index, Upstream &upstream)
{
    Request &request = requests_[ticket];
    Instance &instance = instances_[index];
    instance.nodes[request.service].started(upstream.id, now_);
    ++upstream.inFlight;
    if (!request.wasTried)
        instance.retryBudget.requestStarted(
            deployment_.services[request.service].id, teamName(request.requestClass));
    if (failingDomain_ >= 0) {
        attempts_ += 1;
        firstAttempts_ += request.wasTried ? 0 : 1;
        if (instance.domain == failingDomain_) {
            failingDomainAttempts_ += 1;
            failingDomainFirstAttempts_ += request.wasTried ? 0 : 1;
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
    if (upstream.inFlight > upstream.effectiveSlots(now_)) {
        outcome = RequestResult::Shed;
        time = shedLatency;
    } else if (upstream.isFailing) {
        outcome = RequestResult::Failed;
        time = failureLatency;
    } else if (now_ + time > request.deadline) {
        outcome = RequestResult::Cancelled;
        time = std::max<Interval>(request.deadline - now_, 1ms);
    }
    after(time, [=, this, incarnation = instance.incarnation, &upstream] {
        if (instances_[index].incarnation == incarnation)
            finish(ticket, index, upstream, outcome, time);
    });
}

void Simulation::finish(
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
    request.failureCause = outcome == RequestResult::Good ? "late"
        : outcome == RequestResult::Shed                  ? "shed"
        : outcome == RequestResult::Failed                ? "failed"
                                                          : "deadline_at_upstream";
    if (outcome == RequestResult::Good)
        recordResponse(ticket);
    else if (mayRetry && instance.nodes[request.service].mayRetry(now_)
        && instance.retryBudget.tryRetry(
            deployment_.services[request.service].id, teamName(request.requestClass)))
        return enqueue(ticket, index);
    endForwardedHop(ticket);
    dispatch(index, request.service);
}

/// Stops counting a forwarded request as in flight.
void Simulation::endForwardedHop(Ticket ticket)
{
    Request &request = requests_[ticket];
    if (!request.isForwarded)
        return;
    request.isForwarded = false;
    --forwardsInFlight_[request.service][request.forwardedFrom][request.forwardedTo];
}

void Simulation::recordResponse(Ticket ticket)
{
    Request &request = requests_[ticket];
    if (!request.isCounted || now_ + request.pathDelay > request.deadline)
        return;
    request.isAnswered = true;
    classCounts_[request.service][request.requestClass].good += 1;
    if (!request.isDeferrable)
        latencies_.push_back(toSeconds(now_ + request.pathDelay - request.sentAt));
}

} // namespace endivequay::bench::detail
