#include "run.h"

#include "endivequay/forwarding.h"
#include "endivequay/retrybudget.h"
#include "endivequay/steering.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <numeric>
#include <set>

namespace endivequay::bench {

using namespace std::chrono_literals;

namespace {

constexpr Interval warmUp = 5s;
/// Requests sent later are not counted, as they may not end within the run.
constexpr Interval coolDown = 10s;
/// Rate of a team as a multiple of its mean load, as operators leave room for peaks.
constexpr double ratePerLoad = 2;
constexpr double shiftCap = 0.5;
constexpr Interval shiftWindow = 12s;
constexpr Interval shiftBurst = 1s;
/// Time until a caller takes the next choice when an instance does not accept its connection.
constexpr Interval connectTimeout = 200ms;
/// Period of digests between instances and of load reports, and the age of what they carry.
constexpr Interval digestPeriod = 1s;
/// Silence after which instances suspect a peer (docs/design.md, section 3.6).
constexpr Interval suspectAfter = 3s;
/// Longest time until an instance adopts a change.
constexpr Interval longestAdoption = 1500ms;
constexpr Interval coldTime = 15s;
constexpr double coldSlots = 0.25;
constexpr double coldSlowness = 2;
constexpr Interval failureTime = 20ms;
constexpr Interval shedTime = 1ms;
constexpr std::uint64_t bytesPerRequest = 100'000;
constexpr double linkBytesPerSecond = 0.5e9;

/// A token bucket that starts empty.
struct TokenBucket
{
    double rate = 0;
    double burst = 0;
    double level = 0;
    Instant filledAt;

    bool tryTake(Instant now)
    {
        level = std::min(burst, level + rate * toSeconds(now - filledAt));
        filledAt = now;
        if (level < 1)
            return false;
        level -= 1;
        return true;
    }
};

struct Upstream
{
    UpstreamId id;
    int service = 0;
    int domain = 0;
    int slots = 0;
    int inFlight = 0;
    double slowness = 1;
    bool isFailing = false;
    std::optional<Instant> coldSince;
    LoadReport lastTrue;
    LoadReport frozen;

    double coldness(Instant now) const
    {
        if (!coldSince)
            return 0;
        return std::clamp(1 - toSeconds(now - *coldSince) / toSeconds(coldTime), 0.0, 1.0);
    }
    int realSlots(Instant now) const
    {
        return static_cast<int>(std::ceil(slots * (1 - (1 - coldSlots) * coldness(now))));
    }
    double timeFactor(Instant now) const { return slowness * (1 + coldSlowness * coldness(now)); }
};

struct Instance
{
    Address address;
    int domain = 0;
    std::vector<Node> nodes; ///< By service.
    RetryBudget retries;
    LinkBudget links;
    std::vector<ShiftPlan> plans;
    Interval adoption {};
    bool isAlive = true;
    int life = 0; ///< Counts losses, so that events of a lost life are ignored.
};

struct Request
{
    int service = 0;
    int requestClass = 0;
    ClientBlock block;
    SiteIndex site = 0;
    Instant sentAt;
    Instant deadline;
    Interval serviceTime {};
    Interval path {}; ///< One way from the client to the instance that has it.
    bool isOnce = false;
    bool isDeferrable = false;
    bool isCounted = false;
    bool wasTried = false;
    bool isAnswered = false;
    std::string_view fate = "waiting"; ///< Last thing that happened to it.
    int hops = 0;
    int passedOnBy = 0; ///< Instances of the last hop, while \a isPassedOn.
    int passedOnTo = 0;
    bool isPassedOn = false;
    std::vector<int> choices;
    std::size_t nextChoice = 0;
};

struct ClassCounts
{
    double admitted = 0;
    double good = 0;
};

/// What the other instances last heard of an instance, per service.
struct Digest
{
    double freeSlots = 0;
    double load = 0; ///< In flight and waiting, per usable slot.
};

/// Max-min fair division of \a total by weights, where nobody gets more than its demand.
std::vector<double> fairShares(
    double total, const std::vector<double> &demands, const std::vector<double> &weights)
{
    std::vector<double> shares(demands.size(), 0);
    std::set<std::size_t> open;
    for (std::size_t i = 0; i < demands.size(); ++i)
        open.insert(i);
    while (!open.empty()) {
        double weight = 0;
        for (std::size_t i : open)
            weight += weights[i];
        const auto satisfied = std::ranges::find_if(
            open, [&](std::size_t i) { return demands[i] <= total * weights[i] / weight; });
        if (satisfied == open.end()) {
            for (std::size_t i : open)
                shares[i] = total * weights[i] / weight;
            return shares;
        }
        shares[*satisfied] = demands[*satisfied];
        total -= demands[*satisfied];
        open.erase(satisfied);
    }
    return shares;
}

/// A time and the number of requests that moved then.
using Move = std::pair<Instant, double>;

/// Largest sum of moves in any shift window.
double mostInWindow(std::vector<Move> moves)
{
    std::ranges::sort(moves);
    double sum = 0;
    double most = 0;
    std::size_t first = 0;
    for (const auto &[moved, amount] : moves) {
        sum += amount;
        while (moves[first].first < moved - shiftWindow)
            sum -= moves[first++].second;
        most = std::max(most, sum);
    }
    return most;
}

class World
{
public:
    World(const Deployment &deployment, const Schedule &schedule, Strategy strategy,
        const RunOptions &options);
    RunResult run();

private:
    using Action = std::function<void()>;
    struct Timer
    {
        Instant at;
        std::uint64_t sequence = 0;
        Action action;
    };
    static bool isLater(const Timer &a, const Timer &b)
    {
        return std::tie(a.at, a.sequence) > std::tie(b.at, b.sequence);
    }
    struct CachedAnswer
    {
        Instant until;
        std::vector<int> choices;
    };

    void at(Instant when, Action action);
    void after(Interval delay, Action action) { at(now_ + delay, std::move(action)); }

    void createUpstreams();
    void createInstances();
    void setShares(int domain, bool isLeaving, bool isCold);
    double classRate(int service, int requestClass) const;
    static std::size_t classIndex(int service, int requestClass)
    {
        return static_cast<std::size_t>(service) * classCount + requestClass;
    }
    std::uint64_t nodeSeed(std::size_t instance, std::size_t service) const
    {
        return options_.seed + instance * 16 + service;
    }

    void scheduleArrival(int service, int requestClass);
    void send(int service, int requestClass);
    const std::vector<int> &answer(Request &request);
    std::vector<int> lookUp(const Request &request);
    std::vector<int> lookUpBaseline(const Request &request);
    void tryNextChoice(Ticket ticket);
    void arrive(Ticket ticket, int instance);
    bool takesShiftToken(const Request &request, const Instance &instance);
    void enqueue(Ticket ticket, int instance);
    void dispatch(int instance, int service);
    void decide(Ticket ticket, int instance, int life);
    void start(Ticket ticket, int instance, Upstream &upstream);
    void finish(
        Ticket ticket, int instance, Upstream &upstream, RequestResult outcome, Interval latency);
    void answered(Ticket ticket);
    void comeBack(Ticket ticket);

    void exchangeDigests();
    void reportLoad();
    void rebuildSteering();
    void apply(const Fault &fault);
    void drain(int domain, bool isLeaving);
    void setRegion(int region, bool isAlive);
    void adoptShift(const Fault &fault);
    void notePlannedMove(const Request &request, int region);
    double shiftCapExcess(int service) const;
    RunResult result() const;

    Node &nodeOf(int instance, int service) { return instances_[instance].nodes[service]; }
    RegionId regionName(int region) const { return RegionId(deployment_.regions[region]); }

    const Deployment &deployment_;
    const Schedule &schedule_;
    const Strategy strategy_;
    const RunOptions options_;
    const Instant begin_ { 1h };
    Instant now_ = begin_;
    std::vector<Timer> timers_; ///< A heap with the next timer at the front.
    std::uint64_t sequence_ = 0;
    Random choices_;
    std::vector<Random> arrivals_; ///< By service and class, the same for all strategies.
    std::vector<Upstream> upstreams_;
    std::map<UpstreamId, std::size_t> upstreamIndex_;
    std::vector<Instance> instances_;
    std::map<Address, int> instanceIndex_;
    std::vector<Request> requests_;
    std::vector<TokenBucket> limits_; ///< By service and class.
    std::vector<TokenBucket> shiftTokens_; ///< By service.
    std::map<std::tuple<int, Ipv4>, CachedAnswer> cache_;
    std::vector<SteeringView> views_; ///< By service.
    std::vector<Steering> steering_; ///< By service; of the product.
    std::vector<std::vector<Digest>> digests_; ///< By service and instance.
    std::vector<std::vector<Digest>> nextDigests_;
    /// Requests passed on and not yet back, by service, from and to.
    std::vector<std::array<std::array<int, instanceCount>, instanceCount>> outstanding_;
    std::set<int> knownDown_; ///< Instances that look-ups do not name.
    std::vector<ShiftPlan> lookupPlans_;
    std::size_t turn_ = 0;
    double surge_ = 0;
    int surgeTeam_ = 0;
    ReportMode reportMode_ = ReportMode::True;
    std::optional<Instant> drainedAt_;
    int drainedDomain_ = -1;
    int failingDomain_ = -1;

    std::vector<std::array<ClassCounts, classCount>> counts_; ///< By service.
    std::vector<double> latencies_;
    double headroomSum_ = 0;
    int headroomSamples_ = 0;
    double attempts_ = 0;
    double firstAttempts_ = 0;
    double localAttempts_ = 0; ///< At the domain whose upstreams fail.
    double localFirstAttempts_ = 0;
    std::vector<std::vector<Instant>> unplannedMoves_; ///< By service.
    std::map<std::tuple<int, Ipv4>, int> servedRegion_;
    std::vector<std::map<Ipv4, Instant>> plannedMoves_; ///< By service; first move of a block.
    RunResult result_;
};

World::World(const Deployment &deployment, const Schedule &schedule, Strategy strategy,
    const RunOptions &options)
    : deployment_(deployment)
    , schedule_(schedule)
    , strategy_(strategy)
    , options_(options)
    , choices_(options.seed ^ 0x5bd1e995)
    , unplannedMoves_(deployment.services.size())
    , plannedMoves_(deployment.services.size())
{
    const int services = static_cast<int>(deployment_.services.size());
    counts_.resize(services);
    for (int service = 0; service < services; ++service) {
        const double rate = deployment_.services[service].rateAt(options_.utilization);
        // The burst and the refill over a window add up to half of the cap.
        const double budget = shiftCap / 2 * rate * toSeconds(shiftWindow);
        const double burst = shiftCap / 2 * rate * toSeconds(shiftBurst);
        shiftTokens_.push_back({ (budget - burst) / toSeconds(shiftWindow), burst, 0, begin_ });
        for (int c = 0; c < classCount; ++c) {
            arrivals_.emplace_back(options_.seed * 1'000 + classIndex(service, c));
            const double limit = ratePerLoad * classRate(service, c);
            limits_.push_back({ limit, limit, 0, begin_ });
        }
    }
    createUpstreams();
    createInstances();
    outstanding_.resize(services);
    digests_.assign(services, std::vector<Digest>(instanceCount));
    exchangeDigests();
}

void World::at(Instant when, Action action)
{
    timers_.push_back({ when, sequence_++, std::move(action) });
    std::ranges::push_heap(timers_, isLater);
}

double World::classRate(int service, int requestClass) const
{
    const ServiceModel &model = deployment_.services[service];
    const double rate = model.rateAt(options_.utilization);
    if (requestClass == openClass)
        return rate * model.openShare;
    return rate * (1 - model.openShare) * teamShare(requestClass);
}

void World::createUpstreams()
{
    for (std::size_t service = 0; service < deployment_.services.size(); ++service) {
        const ServiceModel &model = deployment_.services[service];
        for (int number = 0; number < model.upstreams; ++number) {
            Upstream upstream;
            upstream.id = UpstreamId(model.id.value() + "-" + std::to_string(number));
            upstream.service = static_cast<int>(service);
            upstream.domain = model.domainOf(number);
            upstream.slots = model.slotsEach;
            upstream.lastTrue = { 0, upstream.slots, false };
            upstream.frozen = upstream.lastTrue;
            upstreamIndex_[upstream.id] = upstreams_.size();
            upstreams_.push_back(upstream);
        }
    }
}

void World::createInstances()
{
    Random adoption(options_.seed ^ 0xc2b2ae35);
    for (int index = 0; index < instanceCount; ++index) {
        Instance instance;
        instance.domain = index / instancesPerDomain;
        instance.address = Address("10.0." + std::to_string(instance.domain) + "."
            + std::to_string(index % instancesPerDomain) + ":80");
        instance.adoption = fromSeconds(toSeconds(longestAdoption) * adoption.unit());
        for (std::size_t service = 0; service < deployment_.services.size(); ++service)
            instance.nodes.emplace_back(strategy_, nodeSeed(index, service));
        for (int other = 0; other < regionCount; ++other)
            instance.links.setLimit(regionName(regionOf(instance.domain)), regionName(other),
                linkBytesPerSecond / 4, linkBytesPerSecond / 8, now_);
        instanceIndex_[instance.address] = index;
        instances_.push_back(std::move(instance));
    }
    for (int domain = 0; domain < domainCount; ++domain) {
        for (int index = 0; index < instancesPerDomain; ++index)
            setShares(domain * instancesPerDomain + index, false, false);
    }
}

/// Gives instance \a index its half of the slots of its domain's upstreams.
void World::setShares(int index, bool isLeaving, bool isCold)
{
    Instance &instance = instances_[index];
    for (std::size_t u = 0; u < upstreams_.size(); ++u) {
        const Upstream &upstream = upstreams_[u];
        if (upstream.domain != instance.domain)
            continue;
        // The odd slot goes to either instance in turn.
        const int rank = static_cast<int>(index + u / domainCount) % instancesPerDomain;
        const int own = (upstream.slots + rank) / instancesPerDomain;
        instance.nodes[upstream.service].setShare(
            upstream.id, { own, upstream.slots, isLeaving, isCold }, now_);
    }
}

void World::scheduleArrival(int service, int requestClass)
{
    double rate = classRate(service, requestClass);
    if (surge_ > 0 && requestClass == surgeTeam_)
        rate *= ratePerLoad * surge_;
    if (rate <= 0)
        return;
    // A surge changes the rate at the next arrival, which is milliseconds away.
    after(arrivals_[classIndex(service, requestClass)].exponential(rate), [=, this] {
        send(service, requestClass);
        scheduleArrival(service, requestClass);
    });
}

void World::send(int service, int requestClass)
{
    const ServiceModel &model = deployment_.services[service];
    Random &random = arrivals_[classIndex(service, requestClass)];
    Request request;
    request.service = service;
    request.requestClass = requestClass;
    request.block = blockOf(requestClass, random.below(blocksPerClass));
    request.site = siteOf(request.block);
    request.sentAt = now_;
    request.serviceTime = random.serviceTime(model.meanTime);
    const bool isKeyed = requestClass != openClass;
    request.isOnce = isKeyed && random.unit() < model.onceShare;
    request.isDeferrable = isKeyed && !request.isOnce
        && random.unit() < model.deferrableShare / (1 - model.onceShare);
    request.deadline = now_ + (request.isDeferrable ? 10s : model.deadline);
    request.isCounted = now_ >= begin_ + warmUp && now_ < begin_ + options_.duration - coolDown;
    if (!limits_[classIndex(service, requestClass)].tryTake(now_))
        return; // Above the team's rate: rightly refused.
    if (request.isCounted)
        counts_[service][requestClass].admitted += 1;
    request.choices = answer(request);
    requests_.push_back(std::move(request));
    tryNextChoice(requests_.size() - 1);
}

const std::vector<int> &World::answer(Request &request)
{
    CachedAnswer &cached = cache_[{ request.service, request.block.prefix }];
    if (now_ >= cached.until)
        cached = { now_ + lookupLifetime, lookUp(request) };
    return cached.choices;
}

std::vector<int> World::lookUp(const Request &request)
{
    if (strategy_ != Strategy::Product)
        return lookUpBaseline(request);
    std::vector<int> indices;
    for (const Choice &choice :
        steering_[request.service].choose(request.block, request.site, now_))
        indices.push_back(instanceIndex_.at(choice.address));
    return indices;
}

std::vector<int> World::lookUpBaseline(const Request &request)
{
    const RegionId home = homeRegion(regionName(regionOf(request.site)),
        deployment_.services[request.service].id, request.block, lookupPlans_, now_);
    std::vector<int> indices(instanceCount);
    std::iota(indices.begin(), indices.end(), 0);
    std::erase_if(indices, [&](int index) { return knownDown_.contains(index); });
    const auto regionRank
        = [&](int index) { return regionName(regionOf(instances_[index].domain)) != home; };
    for (std::size_t i = indices.size(); i > 1; --i)
        std::swap(indices[i - 1], indices[choices_.below(static_cast<int>(i))]);
    if (strategy_ == Strategy::RoundRobin)
        std::ranges::sort(indices);
    else if (strategy_ == Strategy::NearestDomain)
        std::ranges::stable_sort(indices, {},
            [&](int i) { return deployment_.fromSite(request.site, instances_[i].domain); });
    else if (strategy_ == Strategy::LeastLoad)
        std::ranges::stable_sort(
            indices, {}, [&](int i) { return digests_[request.service][i].load; });
    std::ranges::stable_sort(indices, {}, regionRank);
    if (strategy_ == Strategy::RoundRobin && !indices.empty()) {
        const int rank = regionRank(indices.front());
        const auto end
            = std::ranges::find_if(indices, [&](int i) { return regionRank(i) != rank; });
        const auto size = static_cast<std::size_t>(end - indices.begin());
        std::rotate(indices.begin(), indices.begin() + static_cast<int>(turn_++ % size), end);
    }
    indices.resize(std::min<std::size_t>(indices.size(), 4));
    return indices;
}

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
    if (const auto *passOn = std::get_if<PassOn>(&decision)) {
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

void World::exchangeDigests()
{
    if (!nextDigests_.empty())
        digests_ = nextDigests_;
    nextDigests_ = digests_;
    for (std::size_t service = 0; service < deployment_.services.size(); ++service) {
        for (int index = 0; index < instanceCount; ++index) {
            const Node &node = nodeOf(index, static_cast<int>(service));
            const auto waiting = static_cast<double>(node.waiting());
            nextDigests_[service][index] = { std::max(0.0, node.freeSlots(now_) - waiting),
                (node.inFlight() + waiting) / std::max(1, node.usableSlots(now_)) };
        }
    }
    rebuildSteering();
    std::array<double, domainCount> busy {};
    std::array<double, domainCount> slots {};
    for (const Upstream &upstream : upstreams_) {
        busy[upstream.domain] += upstream.inFlight;
        slots[upstream.domain] += upstream.slots;
    }
    double fullest = 0;
    for (int domain = 0; domain < domainCount; ++domain)
        fullest = std::max(fullest, busy[domain] / slots[domain]);
    headroomSum_ += 1 - fullest;
    ++headroomSamples_;
    after(digestPeriod, [this] { exchangeDigests(); });
}

void World::rebuildSteering()
{
    if (strategy_ != Strategy::Product)
        return;
    views_.resize(deployment_.services.size());
    steering_.clear();
    for (std::size_t service = 0; service < views_.size(); ++service) {
        SteeringView &view = views_[service];
        view.service = deployment_.services[service].id;
        view.shifts = lookupPlans_;
        view.domains.resize(domainCount);
        view.sites.clear();
        view.instances.clear();
        for (int domain = 0; domain < domainCount; ++domain) {
            DomainState &state = view.domains[domain];
            state.id = FailureDomainId(std::to_string(domain));
            state.region = regionName(regionOf(domain));
            state.slots = 0;
            for (const Upstream &upstream : upstreams_) {
                if (upstream.service == static_cast<int>(service) && upstream.domain == domain)
                    state.slots += upstream.slots;
            }
            state.freeSlots = 0;
            for (int index = 0; index < instanceCount; ++index) {
                if (instances_[index].domain == domain)
                    state.freeSlots += digests_[service][index].freeSlots;
            }
            state.reportedAt = now_ - digestPeriod;
            SiteState site { SiteId(std::to_string(domain)), state.region, {} };
            for (int other = 0; other < domainCount; ++other)
                site.delays.push_back(deployment_.fromSite(domain, other));
            view.sites.push_back(site);
        }
        for (int index = 0; index < instanceCount; ++index)
            view.instances.push_back(
                { instances_[index].address, static_cast<std::size_t>(instances_[index].domain), 60,
                    false, knownDown_.contains(index) });
        steering_.push_back(*Steering::create(view));
    }
}

void World::reportLoad()
{
    for (std::size_t u = 0; u < upstreams_.size(); ++u) {
        Upstream &upstream = upstreams_[u];
        // Endpoints show the state of the last period.
        LoadReport shown = upstream.lastTrue;
        upstream.lastTrue = { upstream.inFlight, upstream.realSlots(now_), false };
        if (reportMode_ == ReportMode::Missing)
            continue;
        if (reportMode_ == ReportMode::Zero)
            shown = { 0, 0, false };
        else if (reportMode_ == ReportMode::Constant)
            shown = { upstream.slots, 4, false };
        else if (reportMode_ == ReportMode::Frozen)
            shown = upstream.frozen;
        else if (reportMode_ == ReportMode::Other)
            shown = upstreams_[(u + 1) % upstreams_.size()].lastTrue;
        else
            upstream.frozen = shown;
        for (Instance &instance : instances_) {
            if (instance.domain == upstream.domain && instance.isAlive)
                instance.nodes[upstream.service].report(upstream.id, shown, now_);
        }
    }
    after(digestPeriod, [this] { reportLoad(); });
}

void World::drain(int domain, bool isLeaving)
{
    if (isLeaving) {
        drainedAt_ = now_;
        drainedDomain_ = domain;
    } else {
        drainedAt_.reset();
        for (Upstream &upstream : upstreams_) {
            if (upstream.domain == domain)
                upstream.coldSince = now_;
        }
    }
    for (int index = 0; index < instanceCount; ++index) {
        if (instances_[index].domain != domain)
            continue;
        after(instances_[index].adoption, [=, this] {
            setShares(index, isLeaving, !isLeaving);
            if (strategy_ == Strategy::Product && isLeaving) {
                for (Ticket ticket = 0; ticket < requests_.size(); ++ticket) {
                    if (now_ < requests_[ticket].deadline)
                        decide(ticket, index, instances_[index].life);
                }
            }
        });
        after(1s, [=, this] {
            if (isLeaving)
                knownDown_.insert(index);
            else
                knownDown_.erase(index);
            for (SteeringView &view : views_) {
                view.domains[domain].draining = isLeaving;
                if (!isLeaving)
                    view.domains[domain].rampSince = now_;
            }
            rebuildSteering();
        });
    }
}

void World::setRegion(int region, bool isAlive)
{
    for (Upstream &upstream : upstreams_) {
        if (regionOf(upstream.domain) != region)
            continue;
        upstream.inFlight = 0;
        if (isAlive)
            upstream.coldSince = now_;
    }
    for (int index = 0; index < instanceCount; ++index) {
        Instance &instance = instances_[index];
        if (regionOf(instance.domain) != region)
            continue;
        instance.isAlive = isAlive;
        ++instance.life;
        for (std::size_t service = 0; service < instance.nodes.size(); ++service)
            instance.nodes[service] = Node(strategy_, nodeSeed(index, service));
        setShares(index, false, isAlive);
        after(isAlive ? 1s : suspectAfter, [=, this] {
            if (isAlive)
                knownDown_.erase(index);
            else
                knownDown_.insert(index);
            for (SteeringView &view : views_)
                view.domains[instances_[index].domain].rampSince = now_;
            rebuildSteering();
        });
    }
}

void World::adoptShift(const Fault &fault)
{
    const ShiftPlan plan { regionName(fault.target), regionName(fault.other), 0, fault.amount,
        shiftCap, shiftWindow, now_ };
    const auto adopt = [](std::vector<ShiftPlan> &plans, ShiftPlan adopted, Instant now) {
        adopted.adoptedAt = now;
        plans.push_back(adopted);
    };
    for (int index = 0; index < instanceCount; ++index)
        after(
            instances_[index].adoption, [=, this] { adopt(instances_[index].plans, plan, now_); });
    after(1s, [=, this] {
        adopt(lookupPlans_, plan, now_);
        rebuildSteering();
    });
}

void World::apply(const Fault &fault)
{
    const auto forDomain = [&](const std::function<void(Upstream &)> &change) {
        for (Upstream &upstream : upstreams_) {
            if (upstream.domain == fault.target)
                change(upstream);
        }
    };
    switch (fault.kind) {
    case Fault::Kind::Drain:
    case Fault::Kind::Restore:
        return drain(fault.target, fault.kind == Fault::Kind::Drain);
    case Fault::Kind::Lose:
    case Fault::Kind::Return:
        return setRegion(fault.target, fault.kind == Fault::Kind::Return);
    case Fault::Kind::Surge:
        surgeTeam_ = fault.target;
        surge_ = fault.amount;
        return;
    case Fault::Kind::Report:
        reportMode_ = fault.mode;
        return;
    case Fault::Kind::Cold:
        return forDomain([&](Upstream &upstream) { upstream.coldSince = now_; });
    case Fault::Kind::Slow: {
        // The first upstream of each service in the domain.
        std::set<int> changed;
        return forDomain([&](Upstream &upstream) {
            if (changed.insert(upstream.service).second)
                upstream.slowness = fault.amount;
        });
    }
    case Fault::Kind::Fail:
    case Fault::Kind::Heal:
        failingDomain_ = fault.kind == Fault::Kind::Fail ? fault.target : -1;
        return forDomain(
            [&](Upstream &upstream) { upstream.isFailing = fault.kind == Fault::Kind::Fail; });
    case Fault::Kind::Shift:
        return adoptShift(fault);
    }
}

/// How far the shifted share of a service's traffic in any window is above the cap, or its planned
/// or unplanned part above half of the cap.
double World::shiftCapExcess(int service) const
{
    const double rate = deployment_.services[service].rateAt(options_.utilization);
    const double windowTraffic = rate * toSeconds(shiftWindow);
    std::vector<Move> unplanned;
    for (Instant moved : unplannedMoves_[service])
        unplanned.emplace_back(moved, 1.0);
    std::vector<Move> planned;
    for (const auto &[prefix, moved] : plannedMoves_[service]) {
        const int requestClass = static_cast<int>(prefix >> 8 & 0xffff) / blocksPerClass;
        planned.emplace_back(
            moved, classRate(service, requestClass) / blocksPerClass * toSeconds(shiftWindow));
    }
    std::vector<Move> all = unplanned;
    all.insert(all.end(), planned.begin(), planned.end());
    const auto excess = [&](std::vector<Move> moves, double limit) {
        return std::max(0.0, mostInWindow(std::move(moves)) / windowTraffic - limit);
    };
    return std::max(
        { excess(all, shiftCap), excess(planned, shiftCap / 2), excess(unplanned, shiftCap / 2) });
}

RunResult World::result() const
{
    RunResult result = result_;
    result.deployment = deployment_.name;
    result.schedule = schedule_.name;
    result.strategy = strategy_;
    double good = 0;
    for (std::size_t service = 0; service < counts_.size(); ++service) {
        std::vector<double> demands;
        std::vector<double> weights;
        double total = 0;
        for (int c = 0; c < classCount; ++c) {
            const ClassCounts &counts = counts_[service][c];
            demands.push_back(counts.admitted);
            weights.push_back(classRate(static_cast<int>(service), c));
            total += counts.good;
            result.requests += counts.admitted;
        }
        good += total;
        const auto shares = fairShares(total, demands, weights);
        for (int c = 0; c < classCount; ++c) {
            if (shares[c] > 0)
                result.worstTeamShare
                    = std::min(result.worstTeamShare, counts_[service][c].good / shares[c]);
        }
        result.shiftCapExcess
            = std::max(result.shiftCapExcess, shiftCapExcess(static_cast<int>(service)));
    }
    for (const Request &request : requests_) {
        if (request.isCounted && !request.isAnswered)
            ++result.losses[std::string(request.fate)];
    }
    result.wrongfulRefusals = 1 - good / result.requests;
    std::vector<double> sorted = latencies_;
    std::ranges::sort(sorted);
    if (!sorted.empty()) {
        result.meanLatency = std::accumulate(sorted.begin(), sorted.end(), 0.0)
            / static_cast<double>(sorted.size());
        result.p99Latency = sorted[sorted.size() * 99 / 100];
    }
    result.headroom = headroomSum_ / headroomSamples_;
    if (firstAttempts_ > 0)
        result.overallAttemptsPerRequest = attempts_ / firstAttempts_;
    if (localFirstAttempts_ > 0)
        result.attemptsPerRequest = localAttempts_ / localFirstAttempts_;
    return result;
}

RunResult World::run()
{
    for (const Fault &fault : schedule_.faults)
        at(begin_ + fault.at, [&] { apply(fault); });
    for (std::size_t service = 0; service < deployment_.services.size(); ++service) {
        for (int c = 0; c < classCount; ++c)
            scheduleArrival(static_cast<int>(service), c);
    }
    reportLoad();
    while (!timers_.empty() && timers_.front().at < begin_ + options_.duration) {
        std::ranges::pop_heap(timers_, isLater);
        const Timer timer = std::move(timers_.back());
        timers_.pop_back();
        now_ = timer.at;
        timer.action();
    }
    return result();
}

} // namespace

std::string_view strategyName(Strategy strategy)
{
    switch (strategy) {
    case Strategy::Product:
        return "endivequay";
    case Strategy::UniformRandom:
        return "uniform_random";
    case Strategy::RoundRobin:
        return "round_robin";
    case Strategy::NearestDomain:
        return "nearest_domain";
    case Strategy::LeastLoad:
        return "least_load";
    }
    return "unknown";
}

RunResult run(const Deployment &deployment, const Schedule &schedule, Strategy strategy,
    const RunOptions &options)
{
    return World(deployment, schedule, strategy, options).run();
}

} // namespace endivequay::bench
