#ifndef ENDIVEQUAY_BENCH_SIMULATION_H
#define ENDIVEQUAY_BENCH_SIMULATION_H

#include "run.h"

#include "endivequay/forwarding.h"
#include "endivequay/retrybudget.h"
#include "endivequay/steering.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <set>
#include <tuple>

namespace endivequay::bench::detail {

using namespace std::chrono_literals;

inline constexpr Interval warmUpDuration = 5s;
/// Requests sent in this last part of a run are not counted, as they may not end within it.
inline constexpr Interval coolDownDuration = 10s;
/// Rate limit of a team as a multiple of its mean load; operators leave room for peaks.
inline constexpr double ratePerLoad = 2;
inline constexpr double shiftCap = 0.5;
inline constexpr Interval shiftWindow = 12s;
inline constexpr Interval shiftBurstDuration = 1s;
/// After this a caller tries its next choice when an instance does not accept the connection.
inline constexpr Interval connectTimeout = 200ms;
/// Interval of digests between instances and of load reports, and the age of their content.
inline constexpr Interval digestInterval = 1s;
/// Time without messages after which instances suspect a peer (docs/design.md, section 3.6).
inline constexpr Interval suspicionTimeout = 3s;
/// Longest propagation delay of a configuration change to an instance.
inline constexpr Interval maxAdoptionDelay = 1500ms;
inline constexpr Interval coldDuration = 15s;
inline constexpr double coldCapacityFactor = 0.25;
inline constexpr double coldExtraTimeFactor = 2;
inline constexpr Interval failureLatency = 20ms;
inline constexpr Interval shedLatency = 1ms;
inline constexpr std::uint64_t bytesPerRequest = 100'000;
inline constexpr double linkBytesPerSecond = 0.5e9;

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
    LoadReport lastReport;
    LoadReport frozenReport;

    double coldness(Instant now) const
    {
        if (!coldSince)
            return 0;
        return std::clamp(1 - toSeconds(now - *coldSince) / toSeconds(coldDuration), 0.0, 1.0);
    }
    int effectiveSlots(Instant now) const
    {
        return static_cast<int>(std::ceil(slots * (1 - (1 - coldCapacityFactor) * coldness(now))));
    }
    double timeFactor(Instant now) const
    {
        return slowness * (1 + coldExtraTimeFactor * coldness(now));
    }
};

struct Instance
{
    Address address;
    int domain = 0;
    std::vector<Node> nodes; ///< By service.
    RetryBudget retryBudget;
    LinkBudget linkBudget;
    std::vector<ShiftPlan> shiftPlans;
    Interval adoptionDelay {};
    bool isAlive = true;
    int incarnation
        = 0; ///< Incremented on loss and return; events of older incarnations are ignored.
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
    Interval
        pathDelay {}; ///< One-way delay from the client to its present instance, over all hops.
    bool isOnce = false;
    bool isDeferrable = false;
    bool isCounted = false;
    bool wasTried = false;
    bool isAnswered = false;
    std::string_view failureCause = "waiting"; ///< Cause to count if it gets no good response.
    int hops = 0;
    int forwardedFrom = 0; ///< Instances of the last hop; valid while \a isForwarded.
    int forwardedTo = 0;
    bool isForwarded = false;
    std::vector<int> choices;
    std::size_t nextChoice = 0;
};

struct ClassCounts
{
    double admitted = 0;
    double good = 0;
};

/// Load of a service at an instance, as last reported to the other instances.
struct Digest
{
    double freeSlots = 0;
    double load = 0; ///< In flight and waiting, per usable slot.
};

/// Discrete-event simulation of a deployment: callers, instances and upstreams on virtual time.
class Simulation
{
public:
    Simulation(const Deployment &deployment, const Schedule &schedule, Strategy strategy,
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
    void sendRequest(int service, int requestClass);
    const std::vector<int> &lookUpCached(Request &request);
    std::vector<int> lookUp(const Request &request);
    std::vector<int> lookUpBaseline(const Request &request);
    void tryNextChoice(Ticket ticket);
    void arrive(Ticket ticket, int instance);
    bool tryAcquireShiftToken(const Request &request, const Instance &instance);
    void enqueue(Ticket ticket, int instance);
    void dispatch(int instance, int service);
    void decideForwarding(Ticket ticket, int instance, int incarnation);
    void start(Ticket ticket, int instance, Upstream &upstream);
    void finish(
        Ticket ticket, int instance, Upstream &upstream, RequestResult outcome, Interval latency);
    void recordResponse(Ticket ticket);
    void endForwardedHop(Ticket ticket);

    void exchangeDigests();
    void reportLoad();
    void rebuildSteering();
    void injectFault(const Fault &fault);
    void setDraining(int domain, bool isLeaving);
    void setRegionAlive(int region, bool isAlive);
    void adoptShiftPlan(const Fault &fault);
    void recordPlannedMove(const Request &request, int region);
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
    std::vector<Timer> timers_; ///< Binary heap with the next timer at the front.
    std::uint64_t nextTimerSequence_ = 0;
    Random choiceRandom_;
    std::vector<Random> arrivals_; ///< By service and class, the same for all strategies.
    std::vector<Upstream> upstreams_;
    std::map<UpstreamId, std::size_t> upstreamIndex_;
    std::vector<Instance> instances_;
    std::map<Address, int> instanceIndex_;
    std::vector<Request> requests_;
    std::vector<TokenBucket> limits_; ///< By service and class.
    std::vector<TokenBucket> shiftTokens_; ///< By service.
    std::map<std::tuple<int, Ipv4>, CachedAnswer> lookupCache_;
    std::vector<SteeringView> views_; ///< By service.
    std::vector<Steering> steering_; ///< By service; empty for baselines.
    std::vector<std::vector<Digest>> digests_; ///< By service and instance.
    std::vector<std::vector<Digest>> nextDigests_;
    /// Forwarded requests that have not ended, by service, source and destination instance.
    std::vector<std::array<std::array<int, instanceCount>, instanceCount>> forwardsInFlight_;
    std::set<int> excludedInstances_; ///< Instances that look-ups leave out: suspected or draining.
    std::vector<ShiftPlan> lookupPlans_;
    std::size_t roundRobinIndex_ = 0;
    double surgeMultiple_ = 0;
    int surgeTeam_ = 0;
    ReportMode reportMode_ = ReportMode::True;
    std::optional<Instant> drainedAt_;
    int drainedDomain_ = -1;
    int failingDomain_ = -1;

    std::vector<std::array<ClassCounts, classCount>> classCounts_; ///< By service.
    std::vector<double> latencies_;
    double headroomSum_ = 0;
    int headroomSamples_ = 0;
    double attempts_ = 0;
    double firstAttempts_ = 0;
    double failingDomainAttempts_ = 0; ///< In the domain whose upstreams fail.
    double failingDomainFirstAttempts_ = 0;
    std::vector<std::vector<Instant>> unplannedMoves_; ///< By service.
    std::map<std::tuple<int, Ipv4>, int> servedRegion_;
    std::vector<std::map<Ipv4, Instant>> plannedMoves_; ///< By service; first move of a block.
    RunResult result_;
};

} // namespace endivequay::bench::detail

#endif
