#ifndef ENDIVEQUAY_REQUESTENGINE_H
#define ENDIVEQUAY_REQUESTENGINE_H

#include "endivequay/fleet.h"
#include "endivequay/fleetquota.h"
#include "endivequay/fleetretrybudget.h"
#include "endivequay/placement.h"
#include "endivequay/requestqueue.h"
#include "endivequay/routing.h"
#include "endivequay/upstreamset.h"

#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>

namespace endivequay {

/// Attributes of a request that the engine uses.
struct RequestInfo
{
    std::string_view host; ///< Without port, lower case.
    std::string_view path; ///< Without query.
    std::optional<std::string_view> key;
    std::string_view object; ///< Object that the request concerns; may be empty.
    std::optional<Instant> callerDeadline;
};

/// Why the instance itself answers a request.
enum class LocalResponseCause {
    NoConfiguration,
    NoRoute,
    MissingKey,
    UnknownKey,
    OverLimit, ///< The team exceeds its rate and burst.
    NoUpstream, ///< No usable upstream in any allowed region.
    NoRoom, ///< All upstreams are at capacity, and queueing would miss the objective.
    TimedOutWaiting,
    TimedOutRunning,
    Unreachable, ///< No upstream could be reached, or all refused.
    OutcomeUnknown, ///< An attempt was interrupted and may have run.
    Stopping, ///< The instance is shutting down and accepts no requests.
};

std::string_view causeName(LocalResponseCause cause);

/// Response of the instance itself. Status 429 and 503 guarantee that the request has not run.
struct LocalResponse
{
    int status = 503;
    LocalResponseCause cause {};
    Interval retryAfter {}; ///< Zero: no retry time is sent.
    std::string inputs {}; ///< Values behind the decision, for the log.
};

/// Send the request to an upstream.
struct SendToUpstream
{
    UpstreamId upstream;
    Address address;
    ServiceId service;
    RegionId region;
    FailureDomainId domain;
    TeamId team;
    Instant deadline; ///< Responses after this time are of no use.
    bool repeatable = false;
    int attempt = 1;
};

/// Forward the response of the upstream to the caller.
struct DeliverResponse
{ };

/// No action yet; a later call of advance() or tokensGranted() returns the next step.
struct KeepWaiting
{ };

using Step = std::variant<SendToUpstream, LocalResponse, DeliverResponse, KeepWaiting>;

/// Outcome of an attempt at an upstream.
struct AttemptOutcome
{
    AttemptResult result = AttemptResult::Failed;
    bool hasResponse = false; ///< A complete response that can be forwarded.
    bool mayHaveRun = true;
    std::optional<Occupancy> occupancy;
    bool upstreamLeaving = false; ///< The response says that the upstream is leaving.
};

/// Identity and location of this instance.
struct InstanceIdentity
{
    InstanceId id;
    FailureDomainId domain;
    RegionId region;
    std::map<RegionId, int> domainsByRegion; ///< Number of failure domains by region.
    InstanceCapacity capacity {};

    /// Number of failure domains in all regions. Each has at least one instance.
    std::size_t failureDomainCount() const;
};

/// The preferred instances of all failure domains, see isPreferred().
std::vector<InstanceId> preferredInstances(
    const InstanceIdentity &self, std::span<const PeerView> peers);

/// Decides what happens to each request. A state machine without sockets, threads and clock.
///
/// Every request that arrives gets exactly one final step, LocalResponse or DeliverResponse, unless
/// its caller disconnects first. Not thread safe.
class RequestEngine
{
public:
    RequestEngine(InstanceIdentity self, RetryBudgetLimits budget, QuotaTolerance quota = {});

    void setTable(std::shared_ptr<const RoutingTable> table, Instant now);
    void setUpstreams(const std::vector<UpstreamEntry> &entries,
        const std::set<FailureDomainId> &evacuated, Instant now);
    /// Sets the other members of the fleet with their latest reports. Call this a few times a
    /// second.
    void setPeers(std::vector<PeerView> peers, Instant now);

    /// From now on, neither takes nor sends requests that are unlikely to end before \a deadline,
    /// at which the process ends.
    void stopBy(Instant deadline) { stopAt_ = deadline; }
    /// Refuses all further requests as not run.
    void stopAccepting() { accepting_ = false; }

    Step requestArrived(RequestId requestId, const RequestInfo &info, Instant now);
    /// Records the outcome of the current attempt of \a requestId and returns the next step.
    Step attemptEnded(RequestId requestId, const AttemptOutcome &outcome, Instant now);
    /// The caller of \a requestId disconnected. Its attempt has to be cancelled.
    void left(RequestId requestId, Instant now);

    /// Returns the pending token requests; send each to its reserve owner once.
    std::vector<TokenRequest> takeTokenRequests() { return std::exchange(tokenRequests_, {}); }
    /// A reserve owner answered a token request of this instance; a \a count of 0 is a refusal. \a
    /// from is the owner; empty: the owner of the local region.
    std::vector<std::pair<RequestId, Step>> tokensGranted(
        DemandKey team, int count, const InstanceId &from, Instant now);
    std::vector<std::pair<RequestId, Step>> tokensGranted(DemandKey team, int count, Instant now)
    {
        return tokensGranted(team, count, {}, now);
    }
    /// Answers a token request of another instance.
    int grantTokens(DemandKey team, int count, Instant now)
    {
        return quota_.grant(team, count, now);
    }

    /// Returns the next steps of requests that waited or reached their deadline. A LocalResponse
    /// for a request in flight means that its attempt has to be cancelled.
    std::vector<std::pair<RequestId, Step>> advance(Instant now);
    /// Whether a request waits for capacity or for a token.
    bool hasWaiting() const { return queue_.size() > 0 || !tokenWaits_.empty(); }
    std::size_t openRequests() const { return requests_.size(); }

    const RoutingTable *table() const { return table_.get(); }
    /// Demand at this instance: requests per second by team, occupied slots by service.
    DemandReport demand(Instant now);
    const UpstreamSet &upstreams() const { return upstreams_; }

private:
    struct Request
    {
        std::shared_ptr<const RoutingTable> table; ///< Owns the object that route points to.
        const RequestRoute *route = nullptr;
        TeamId team;
        ServiceId service;
        std::vector<RegionId> regions; ///< Regions that may serve the request, preferred one first.
        std::uint64_t objectHash = 0;
        int priority = 0;
        Instant arrivedAt;
        Instant finalDeadline;
        Instant waitUntil;
        Instant sentAt;
        std::optional<UpstreamId> currentUpstream;
        bool sentObjectBefore
            = false; ///< This instance sent the object to the current upstream recently.
        bool inOwnRegion = false; ///< The current upstream is in the local region.
        std::vector<UpstreamId> tried;
        int sends = 0;
        int connectFailures = 0;
        bool mayHaveRun = false;
        bool callerRetry = false; ///< The caller retries after a refusal.
    };
    struct RouteStats
    {
        WarmDurationEstimate warmDuration;
        double meanColdSeconds = 0; ///< Moving average of attempts that were cache misses.
        double meanAttemptSeconds
            = 0; ///< Moving average of successful attempts; 0 before the first.
        Interval longestCallerBudget {}; ///< Longest time limit that a caller of the route set.
        std::map<ServiceId, double>
            credits; ///< State of the weighted round robin over the services.
    };
    struct ServiceState
    {
        Placement placement;
        FleetRetryBudget budget;
        LocalityShare locality;
        LocalCapacity localCapacity;
        std::set<RegionId> spareRegions; ///< Regions that may take requests placed in another one.
        double meanServiceSeconds = 0; ///< Moving average of successful attempts.
        double meanRunSeconds = 0; ///< The same without the waits at the upstreams.
        int inFlightInRegion = 0; ///< Attempts at upstreams of the local region.
        std::optional<double>
            regionShare; ///< Slots of the local region that this instance may use.
    };

    struct TokenWait
    {
        Instant until;
        bool askedRemoteOwner = false; ///< The owner of the local region has refused.
    };

    std::variant<Request, LocalResponse> admit(const RequestInfo &info, Instant now);
    bool requestToken(
        RequestId requestId, const Request &request, bool mayAskLocalOwner, Instant now);
    std::pair<RequestId, Step> settleTokenWait(RequestId requestId, Instant now);
    ServiceId selectService(const RequestRoute &route, RouteStats &stats);
    std::vector<RegionId> regionsFor(const Request &request, Instant now);
    std::optional<Step> trySend(RequestId requestId, Request &request, Instant now);
    ExpectedRun expectedRun(const Request &request) const;
    const UpstreamEntry *selectUpstream(const Request &request, Instant now);
    Step sendOrQueue(RequestId requestId, Request &request, Instant now);
    Step refuseOverLimit(RequestId requestId, const Request &request, Instant now);
    void expireTokenWaits(Instant now, std::vector<std::pair<RequestId, Step>> &steps);
    Step queueOrRefuse(RequestId requestId, Request &request, Instant now);
    Step finish(RequestId requestId, Step step);
    bool endsBeforeStop(const RequestRoute &route, Instant now) const;
    Step retry(RequestId requestId, Request &request, const AttemptOutcome &outcome, Instant now);
    LocalResponse refusal(const Request &request, LocalResponseCause cause, Instant now) const;
    void endAttempt(Request &request, const AttemptOutcome &outcome, Instant now);
    void rebalance(Instant now);
    void requestRebalance(Instant now);
    double regionShare(const ServiceId &service, const DemandReport &own, Instant now) const;
    bool mayUseRegion(const Request &request, const RegionId &region) const;
    std::map<RegionId, RegionLoad> loadsOf(
        const ServiceId &service, const DemandReport &own, Instant now) const;
    void expire(Instant now, std::vector<std::pair<RequestId, Step>> &steps);
    void dispatch(Instant now, std::vector<std::pair<RequestId, Step>> &steps);

    InstanceIdentity self_;
    RetryBudgetLimits budgetLimits_;
    std::shared_ptr<const RoutingTable> table_;
    UpstreamSet upstreams_;
    FleetQuota quota_;
    DemandMeter demand_;
    SpillLimiter spillLimiter_;
    RequestQueue queue_;
    std::vector<PeerView> peers_;
    double retrySlackShare_ = 1; ///< Fraction of the fleet's retry slack for this instance.
    std::size_t domainMembers_ = 1; ///< Instances in the local failure domain.
    std::unordered_map<RequestId, Request> requests_;
    std::set<std::pair<Instant, RequestId>> deadlines_; ///< Final deadlines of requests_.
    std::map<RouteId, RouteStats> routes_;
    std::map<ServiceId, ServiceState> services_;
    std::vector<TokenRequest> tokenRequests_;
    std::map<RequestId, TokenWait> tokenWaits_; ///< Requests that wait for a token.
    bool accepting_ = true;
    std::optional<Instant> stopAt_; ///< When the process ends, if it is stopping.
    bool rebalancePending_ = false;
    Instant rebalanceAt_; ///< Earliest time of the next rebalance.
    Instant firstRebalanceAt_; ///< Time of the first rebalance.
};

} // namespace endivequay

#endif
