#ifndef ENDIVEQUAY_UPSTREAMSET_H
#define ENDIVEQUAY_UPSTREAMSET_H

#include "endivequay/clock.h"
#include "endivequay/fleet.h"
#include "endivequay/routing.h"
#include "endivequay/tokenbucket.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace endivequay {

/// An upstream as reported by service discovery.
struct UpstreamEntry
{
    UpstreamId id;
    ServiceId service;
    Address address;
    FailureDomainId domain;
    RegionId region;
    int slots = 1;
    bool draining = false;
    Instant coldUntil; ///< In the past if the upstream is warm.
    std::int64_t startedAt = 0; ///< distinguishes runs of a process with the same id.
};

/// Occupancy that an upstream reports with a response. It may be out of date.
struct Occupancy
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// How long work takes at the moment, in percent of the usual: upstreams share their machines.
    std::optional<int> pacePercent {};
};

/// Expected durations at an upstream in seconds; 0: unknown.
struct ExpectedRun
{
    double warm = 0; ///< Run of the request where the upstream has its object.
    double cold = 0; ///< The same elsewhere.
    double mean = 0; ///< Mean run of the service, for the requests ahead.
};

/// Result of an attempt at an upstream.
enum class AttemptResult {
    Good, ///< A complete response that is not a failure.
    Failed, ///< Failure response, broken response, reset or timeout.
    Shed, ///< Refused for lack of capacity, not run.
    Unreachable, ///< No connection.
    Misdirected, ///< A different upstream answers at the address.
    Cancelled, ///< Ended by this instance; no evidence about the upstream.
};

/// Parameters for the choice of an upstream.
struct UpstreamQuery
{
    ServiceId service;
    RegionId region;
    FailureDomainId domain; ///< Failure domain of this instance.
    bool preferDomain = false; ///< Chooses the primary upstream within domain, not the region.
    std::uint64_t objectHash = 0; ///< Requests with the same hash prefer the same upstream.
    bool warmOnly = false; ///< Only primary upstreams and upstreams that have the object.
    int priority = 0; ///< 0 is the most urgent.
    bool allowProbe = false; ///< The request can be repeated and may probe an outlier.
    const std::vector<UpstreamId> *exclude = nullptr; ///< Upstreams that already got the request.
    ExpectedRun expected {};
    double remainingObjective = 0; ///< Seconds until the objective is missed; may be negative.
};

/// The upstreams, and their load and health as observed by this instance. Not thread safe.
///
/// Every object has a primary upstream: the one with the highest score in the region, or in the
/// local failure domain, by WeightedRendezvous with the slots as weights. This keeps the caches of
/// the upstreams warm, and a join or leave moves few objects. A full primary queues a few requests,
/// because a cold run elsewhere takes several times as long as a warm one; otherwise cold runs at
/// other upstreams would use up the slots under high load.
///
/// Where upstreams report their pace, the choice is by expected completion: the wait behind the
/// requests ahead and the run itself, warm or cold, at the reported pace. The primary upstream
/// stays the choice while it meets the objective. Otherwise a second one takes the overflow, the
/// same for all instances, which soon has the object as well.
class UpstreamSet
{
public:
    /// Maximum number of instances that may use a cold upstream; its cold rate is divided among
    /// them.
    static constexpr std::size_t maxColdSenders = 4;

    /// \a self is this instance; until setSenders() it is the only sender. \a minSenders is the
    /// smallest number of senders in the deployment; with fewer, no cold upstream is used.
    explicit UpstreamSet(InstanceId self, std::size_t minSenders = 1);

    /// Replaces the entries. An upstream that is new, was restarted or returns from an evacuation
    /// is treated as cold for the cold duration of its service, except on the first call.
    void replace(const std::vector<UpstreamEntry> &entries,
        const std::set<FailureDomainId> &evacuated, const RoutingTable &table, Instant now);
    /// Sets the instances among which the cold rates are divided: the preferred ones of the fleet.
    void setSenders(std::vector<InstanceId> senders);

    /// The upstream to use, or null if none has capacity.
    const UpstreamEntry *choose(const UpstreamQuery &query, Instant now);
    /// The failure domain of \a id, or nothing if the upstream is unknown.
    std::optional<FailureDomainId> domainOf(const UpstreamId &id) const;
    /// Whether this instance recently sent a request for the object to \a id.
    bool sentRecently(const UpstreamId &id, std::uint64_t objectHash, Instant now) const;
    /// Total slots, free or occupied, of the healthy upstreams of a region; cold upstreams and
    /// outliers are not counted.
    double slots(const ServiceId &service, const RegionId &region, Instant now) const;
    /// Requests at the upstreams that slots() counts, as a fraction of their slots. Nothing if they
    /// do not report their pace.
    std::optional<double> utilization(
        const ServiceId &service, const RegionId &region, Instant now) const;
    /// Whether the service has any usable upstream in the region, with or without free capacity.
    bool serves(const ServiceId &service, const RegionId &region, Instant now) const;
    /// Regions with upstreams of \a service.
    std::vector<RegionId> regions(const ServiceId &service) const;

    void attemptStarted(const UpstreamId &id, std::uint64_t objectHash, Instant now);
    /// \a relativeTime is the duration of the attempt divided by the mean duration of its route.
    void attemptFinished(
        const UpstreamId &id, AttemptResult result, double relativeTime, Instant now);
    /// The upstream says in a response that it is leaving. It gets no further requests in this run,
    /// whatever its entry says: the instance may be cut off from service discovery.
    void leavingReported(const UpstreamId &id);
    void occupancyReported(const UpstreamId &id, const Occupancy &occupancy, Instant now);

    /// Whether upstreams of \a service report how long work takes at the moment.
    bool reportsPace(const ServiceId &service) const { return pacedServices_.contains(service); }
    /// Whether new requests may go to \a id now.
    bool usable(const UpstreamId &id) const;
    /// Number of requests of this instance in flight at \a id; 0 if unknown.
    int inFlight(const UpstreamId &id) const;

private:
    /// Number of remembered runs from which those of upstreams that are gone are dropped.
    static constexpr std::size_t maxLeftRuns = 4096;

    struct Service;
    struct State
    {
        UpstreamEntry entry;
        const Service *service = nullptr; ///< Null if the upstream is not listed.
        std::uint64_t hash = 0;
        bool listed = true; ///< In the latest entries; otherwise kept until its requests end.
        bool evacuated = false;
        bool saidLeaving = false; ///< In a response of this run.
        int inFlight = 0;
        double otherRequests = 0; ///< Requests of other instances, according to the latest report.
        double meanOtherRequests = 0; ///< Moving average of otherRequests.
        Instant reportedAt;
        double pace = 1; ///< Duration of work at the latest report, as a multiple of the usual.
        Instant paceReportedAt;
        double failureRate = 0; ///< Moving average of failed attempts, 0 to 1.
        double slowness = 1; ///< Moving average of relative attempt times.
        int consecutiveFailures = 0;
        int ejections = 0;
        Instant ejectedUntil;
        Instant nextProbeAt; ///< Earliest time of the next probe if the upstream is an outlier.
        Instant coldUntil;
        bool coldSender = false; ///< This instance may use the upstream while it is cold.
        TokenBucket coldBucket;
        std::map<std::uint64_t, Instant> objects; ///< Objects sent recently, with the time.
    };
    struct Service
    {
        std::vector<State *> states;
        std::map<RegionId, std::vector<State *>> byRegion;
        double slownessSum = 0;
        double failureRateSum = 0;
    };
    /// The upstreams with the highest scores for an object; null if there are fewer healthy ones.
    struct TopUpstreams
    {
        State *first = nullptr;
        State *second = nullptr;
        double firstScore = 0;
        double secondScore = 0;

        void add(State *state, double score);
    };
    struct PrimaryUpstreams
    {
        TopUpstreams inRegion;
        TopUpstreams inDomain;
    };

    State *find(const UpstreamId &id);
    const State *find(const UpstreamId &id) const;
    static bool acceptsRequests(const State &state);
    static bool isOutlier(const State &state);
    static bool countsAsCapacity(const State &state, Instant now);
    static double boundedSlowness(const State &state);
    /// The upstreams of \a service in \a region.
    std::span<State *const> statesOf(const ServiceId &service, const RegionId &region) const;
    static bool mayHold(const State &state, std::uint64_t objectHash, Instant now);
    static void recordObject(State &state, std::uint64_t objectHash, Instant now);
    void updateSums(const ServiceId &service);
    static PrimaryUpstreams primariesFor(
        std::span<State *const> states, const UpstreamQuery &query, Instant now);
    State *chooseByCompletion(std::span<State *const> states, const PrimaryUpstreams &primaries,
        const UpstreamQuery &query, Instant now) const;
    State *soonestOther(
        std::span<State *const> states, const UpstreamQuery &query, Instant now) const;
    double expectedCompletion(
        const State &state, bool warm, const UpstreamQuery &query, Instant now) const;
    static double placementScore(const State &state, std::uint64_t objectHash);
    static double currentPace(const State &state, Instant now);
    State *bestWithCapacity(
        std::span<State *const> states, const UpstreamQuery &query, Instant now) const;
    bool mayReceive(State &state, const UpstreamQuery &query, Instant now) const;
    bool hasCapacity(State &state, const UpstreamQuery &query, double queued, Instant now) const;
    double load(const State &state, Instant now) const;
    void makeCold(State &state, Instant until, Instant now) const;
    void assignColdRate(State &state, Instant now) const;
    void eject(State &state, Instant now) const;

    InstanceId self_;
    std::size_t minSenders_;
    std::vector<InstanceId> senders_;
    std::map<UpstreamId, std::unique_ptr<State>> states_;
    std::map<ServiceId, Service> services_;
    std::map<ServiceId, ServiceSettings> settings_;
    /// Start of the run in which an upstream said that it leaves. Outlasts its entry, which may
    /// lapse and return while the upstream serves its last requests.
    std::map<UpstreamId, std::int64_t> leftRuns_;
    std::set<FailureDomainId> evacuated_;
    std::set<ServiceId> pacedServices_; ///< Services with an upstream that reports its pace.
    bool initialized_ = false;
};

} // namespace endivequay

#endif
