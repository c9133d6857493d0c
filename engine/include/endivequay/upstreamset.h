#ifndef ENDIVEQUAY_UPSTREAMSET_H
#define ENDIVEQUAY_UPSTREAMSET_H

#include "endivequay/clock.h"
#include "endivequay/fleet.h"
#include "endivequay/refillbucket.h"
#include "endivequay/routing.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace endivequay {

/// An upstream as service discovery describes it.
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
    std::int64_t startedAt = 0; ///< Unix milliseconds; tells two runs under one id apart.
};

/// Occupancy that an upstream reports with a response. It may lag.
struct Occupancy
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/// How an attempt at an upstream ended.
enum class AttemptResult {
    Good, ///< A complete response that is no failure.
    Failed, ///< Failure response, broken response, reset or timeout.
    Shed, ///< Refused for lack of room, not run.
    Unreachable, ///< No connection.
    Misdirected, ///< Another upstream has the address.
    Cancelled, ///< Ended from this side; says nothing about the upstream.
};

/// What the choice of an upstream depends on.
struct UpstreamQuery
{
    ServiceId service;
    RegionId region;
    FailureDomainId domain; ///< Of the instance that asks.
    bool preferDomain = false; ///< The object's home is in domain, not anywhere in the region.
    std::uint64_t objectHash = 0; ///< Requests with the same hash prefer the same upstream.
    bool warmOnly = false; ///< Only the object's homes and upstreams that know the object.
    int priority = 0; ///< 0 is the most urgent.
    bool mayFail = false; ///< The request can be repeated, so that it may try a doubtful upstream.
    const std::vector<UpstreamId> *exclude = nullptr; ///< Upstreams that had the request already.
};

/// Usable upstreams and what this instance knows of their load and health. Not thread safe.
///
/// Every object has a home: the upstream with the highest rendezvous score in the region, or in the
/// own failure domain. Caches at the upstreams stay warm, and a join or leave moves few objects. A
/// home that is full queues a few requests, because a cold run elsewhere takes several times as
/// long as a warm one. Answers loads at which cold runs at second choices would use up the slots.
class UpstreamSet
{
public:
    /// Instances that may use a cold upstream; the cold rate is divided among them.
    static constexpr std::size_t coldSenders = 4;

    /// \a self takes part in the division of cold rates. \a leastMembers is the smallest number of
    /// instances that the deployment can have; an instance that knows fewer uses no cold upstream.
    explicit UpstreamSet(InstanceId self, std::size_t leastMembers = 1);

    /// Replaces the entries. An upstream that is new, was restarted or comes back from an
    /// evacuation is treated as cold for the cold time of its service, except on the first call.
    void replace(const std::vector<UpstreamEntry> &entries,
        const std::set<FailureDomainId> &evacuated, const RoutingTable &table, Instant now);
    /// Sets the other members, among which the cold rates are divided.
    void setPeers(std::span<const PeerView> peers);

    /// The upstream to use, or none if none has room.
    const UpstreamEntry *choose(const UpstreamQuery &query, Instant now);
    /// Where \a id is; none if it is unknown.
    std::optional<FailureDomainId> domainOf(const UpstreamId &id) const;
    /// Whether this instance sent a request for the object to \a id lately.
    bool sentLately(const UpstreamId &id, std::uint64_t objectHash, Instant now) const;
    /// Slots of the usable upstreams of a region, taken or not; cold ones have none.
    double slots(const ServiceId &service, const RegionId &region, Instant now) const;
    /// Whether the service has any usable upstream in the region, with room or not.
    bool serves(const ServiceId &service, const RegionId &region, Instant now) const;
    /// Regions with upstreams of \a service.
    std::vector<RegionId> regions(const ServiceId &service) const;

    void started(const UpstreamId &id, std::uint64_t objectHash, Instant now);
    /// \a relativeTime is the time of the attempt divided by the usual one of its route.
    void finished(const UpstreamId &id, AttemptResult result, double relativeTime, Instant now);
    void reported(const UpstreamId &id, const Occupancy &occupancy, Instant now);

    /// Whether new requests may go to \a id now.
    bool usable(const UpstreamId &id) const;
    /// Requests of this instance in flight at \a id; 0 if unknown.
    int inFlight(const UpstreamId &id) const;

private:
    struct State
    {
        UpstreamEntry entry;
        std::uint64_t hash = 0;
        bool listed = true; ///< In the latest entries; if not, kept until its requests end.
        bool evacuated = false;
        int inFlight = 0;
        double others = 0; ///< Requests of other instances at the last report.
        double usualOthers = 0; ///< Moving mean of others.
        Instant reportedAt;
        double failureRate = 0; ///< Moving share of failed attempts, 0 to 1.
        double slowness = 1; ///< Moving mean of relative times.
        int failuresInRow = 0;
        int ejections = 0;
        Instant ejectedUntil;
        Instant trialAt; ///< Next time that a doubtful upstream may get one request.
        Instant coldUntil;
        bool coldSender = false; ///< This instance may use the upstream while it is cold.
        RefillBucket coldBucket;
        std::map<std::uint64_t, Instant> objects; ///< Objects sent lately, with the time.
    };
    struct Service
    {
        std::vector<State *> states;
        double slownessSum = 0;
        double failureRateSum = 0;
    };
    /// Homes of an object; null without a healthy upstream.
    struct Homes
    {
        State *inRegion = nullptr;
        State *inDomain = nullptr;
    };

    State *find(const UpstreamId &id);
    const State *find(const UpstreamId &id) const;
    static bool open(const State &state);
    bool doubtful(const State &state) const;
    static double boundedSlowness(const State &state);
    static bool knows(const State &state, std::uint64_t objectHash, Instant now);
    static void remember(State &state, std::uint64_t objectHash, Instant now);
    void updateSums(const ServiceId &service);
    Homes homesOf(const Service &service, const UpstreamQuery &query, Instant now) const;
    State *bestWithRoom(const Service &service, const UpstreamQuery &query, Instant now) const;
    bool mayTake(State &state, const UpstreamQuery &query, Instant now) const;
    bool hasRoom(State &state, const UpstreamQuery &query, double queued, Instant now) const;
    double load(const State &state, Instant now) const;
    void makeCold(State &state, Instant until, Instant now) const;
    void divideColdRate(State &state, Instant now) const;
    void eject(State &state, Instant now) const;

    InstanceId self_;
    std::size_t leastMembers_;
    std::vector<InstanceId> members_;
    std::map<UpstreamId, std::unique_ptr<State>> states_;
    std::map<ServiceId, Service> services_;
    std::map<ServiceId, ServiceSettings> settings_;
    std::set<FailureDomainId> evacuated_;
    bool loaded_ = false;
};

} // namespace endivequay

#endif
