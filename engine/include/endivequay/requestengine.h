#ifndef ENDIVEQUAY_REQUESTENGINE_H
#define ENDIVEQUAY_REQUESTENGINE_H

#include "endivequay/fleet.h"
#include "endivequay/fleetquota.h"
#include "endivequay/placement.h"
#include "endivequay/requestqueue.h"
#include "endivequay/routing.h"
#include "endivequay/sendbudget.h"
#include "endivequay/upstreamset.h"

#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>

namespace endivequay {

/// What the engine needs to know of a request.
struct RequestFacts
{
    std::string_view host; ///< Without port, lower case.
    std::string_view path; ///< Without query.
    std::optional<std::string_view> key;
    std::string_view object; ///< Names the object that the request concerns; may be empty.
    std::optional<Instant> callerDeadline;
};

/// Why the system answers in place of an upstream.
enum class AnswerCause {
    NoConfiguration,
    NoRoute,
    MissingKey,
    UnknownKey,
    OverLimit, ///< The team is beyond its rate and burst.
    NoUpstream, ///< No usable upstream in any allowed region.
    NoRoom, ///< All upstreams are full, and waiting would miss the objective.
    TimedOutWaiting,
    TimedOutRunning,
    Unreachable, ///< No upstream could be reached or all refused.
    OutcomeUnknown, ///< An attempt broke off and may have run.
    Stopping, ///< The instance ends soon and takes no more requests.
};

std::string_view causeName(AnswerCause cause);

/// An answer of the system itself. Status 429 and 503 promise that the request has not run.
struct OwnAnswer
{
    int status = 503;
    AnswerCause cause {};
    Interval retryAfter {}; ///< Zero: none.
    std::string inputs {}; ///< What decided it, for the log.
};

/// Send the request to an upstream.
struct SendOrder
{
    UpstreamId upstream;
    Address address;
    ServiceId service;
    RegionId region;
    FailureDomainId domain;
    TeamId team;
    Instant deadline; ///< The upstream's answer is useless afterwards.
    bool repeatable = false;
    int attempt = 1;
};

/// Pass the response of the upstream on to the caller.
struct DeliverResponse
{ };

/// Nothing yet; the engine names the request again in advance().
struct KeepWaiting
{ };

using Step = std::variant<SendOrder, OwnAnswer, DeliverResponse, KeepWaiting>;

/// End of an attempt at an upstream.
struct AttemptEnd
{
    AttemptResult result = AttemptResult::Failed;
    bool hasResponse = false; ///< A complete response that can be delivered.
    bool mayHaveRun = true;
    std::optional<Occupancy> occupancy;
};

/// Who this instance is.
struct InstanceIdentity
{
    InstanceId id;
    FailureDomainId domain;
    RegionId region;
    std::map<RegionId, int> domainsByRegion; ///< Number of failure domains.

    /// Number of failure domains in all regions. Each has at least one instance.
    std::size_t failureDomains() const;
};

/// Decides what happens to each request: state machine without sockets, threads and clock.
///
/// Every request that arrives gets exactly one final step, OwnAnswer or DeliverResponse, unless its
/// caller leaves first. Not thread safe.
class RequestEngine
{
public:
    RequestEngine(InstanceIdentity self, SendBudgetLimits budget, QuotaTolerance quota = {});

    void setTable(std::shared_ptr<const RoutingTable> table, Instant now);
    void setUpstreams(const std::vector<UpstreamEntry> &entries,
        const std::set<FailureDomainId> &evacuated, Instant now);
    /// The other members of the fleet with their latest reports. Call a few times a second.
    void setPeers(std::vector<PeerView> peers, Instant now);

    /// Requests that arrive from now on are refused as not run.
    void stopTaking() { taking_ = false; }

    Step arrive(Ticket ticket, const RequestFacts &facts, Instant now);
    /// The attempt of \a ticket ended; cancels nothing.
    Step attemptEnded(Ticket ticket, const AttemptEnd &end, Instant now);
    /// The caller of \a ticket left. Its attempt is to be cancelled.
    void left(Ticket ticket, Instant now);

    /// Tokens that requests wait for; each is to be sent to its keeper once.
    std::vector<TokenRequest> takeTokenRequests() { return std::exchange(tokenRequests_, {}); }
    /// A keeper answered a token request of this instance; 0 is a refusal.
    std::vector<std::pair<Ticket, Step>> tokensGranted(DemandKey team, int count, Instant now);
    /// Answers a token request of another instance.
    int grantTokens(DemandKey team, int count, Instant now)
    {
        return quota_.grant(team, count, now);
    }

    /// Steps of requests that waited or whose time is up. An OwnAnswer for a request in flight
    /// means that its attempt is to be cancelled.
    std::vector<std::pair<Ticket, Step>> advance(Instant now);
    /// Whether a request waits for room.
    bool hasWaiting() const { return queue_.size() > 0 || !awaitingTokens_.empty(); }
    std::size_t openRequests() const { return requests_.size(); }

    const RoutingTable *table() const { return table_.get(); }
    /// Demand at this instance: requests per second by team, slots by service.
    DemandReport demand(Instant now);
    const UpstreamSet &upstreams() const { return upstreams_; }

private:
    struct Request
    {
        std::shared_ptr<const RoutingTable> table; ///< Keeps route alive.
        const RequestRoute *route = nullptr;
        TeamId team;
        ServiceId service;
        std::vector<RegionId> regions; ///< Regions that may serve it, preferred one first.
        std::uint64_t objectHash = 0;
        int priority = 0;
        Instant arrivedAt;
        Instant finalDeadline;
        Instant waitUntil;
        Instant sentAt;
        std::optional<UpstreamId> current;
        bool objectKnown = false; ///< The present upstream had the object before.
        bool inRegion = false; ///< The present upstream is in the own region.
        std::vector<UpstreamId> tried;
        int sends = 0;
        int connects = 0;
        bool mayHaveRun = false;
        bool returning = false; ///< Came back after a refusal.
    };
    struct RouteStats
    {
        WarmTime warmTime;
        double typicalTime = 0; ///< Moving mean of good attempts, seconds; 0 before the first.
        Interval longestBudget {}; ///< Longest time that a caller of the route allowed.
        std::map<ServiceId, double> credits; ///< Of the weighted round robin over the services.
    };
    struct ServiceState
    {
        Placement placement;
        SendBudget budget;
        LocalityShare locality;
        double meanTime = 0; ///< Moving mean of good attempts, seconds.
        int inFlightInRegion = 0; ///< Attempts at upstreams of the own region.
        std::optional<double> regionShare; ///< Slots of the own region for this instance.
    };

    std::variant<Request, OwnAnswer> admit(const RequestFacts &facts, Instant now);
    bool awaitToken(Ticket ticket, const Request &request, Instant now);
    ServiceId selectService(const RequestRoute &route, RouteStats &stats);
    std::vector<RegionId> regionsFor(const Request &request, Instant now);
    std::optional<Step> place(Ticket ticket, Request &request, Instant now);
    const UpstreamEntry *chooseUpstream(const Request &request, Instant now);
    Step start(Ticket ticket, Request &request, Instant now);
    Step overLimit(Ticket ticket, const Request &request, Instant now);
    void expireTokenWaits(Instant now, std::vector<std::pair<Ticket, Step>> &steps);
    Step waitOrRefuse(Ticket ticket, Request &request, Instant now);
    Step finish(Ticket ticket, Step step);
    Step retry(Ticket ticket, Request &request, const AttemptEnd &end, Instant now);
    OwnAnswer refusal(const Request &request, AnswerCause cause, Instant now) const;
    void endAttempt(Request &request, const AttemptEnd &end, Instant now);
    void rebalance(Instant now);
    void rebalanceSoon(Instant now);
    double regionShare(const ServiceId &service, const DemandReport &own, Instant now) const;
    bool mayUseRegion(const Request &request, const RegionId &region) const;
    std::map<RegionId, RegionLoad> loadsOf(
        const ServiceId &service, const DemandReport &own, Instant now) const;
    void expire(Instant now, std::vector<std::pair<Ticket, Step>> &steps);
    void dispatch(Instant now, std::vector<std::pair<Ticket, Step>> &steps);

    InstanceIdentity self_;
    SendBudgetLimits budgetLimits_;
    std::shared_ptr<const RoutingTable> table_;
    UpstreamSet upstreams_;
    FleetQuota quota_;
    DemandMeter demand_;
    SpillGuard spill_;
    RequestQueue queue_;
    std::vector<PeerView> peers_;
    std::size_t domainMembers_ = 1; ///< Instances in the own failure domain.
    std::unordered_map<Ticket, Request> requests_;
    std::set<std::pair<Instant, Ticket>> deadlines_; ///< Final deadlines of requests_.
    std::map<RouteId, RouteStats> routes_;
    std::map<ServiceId, ServiceState> services_;
    std::vector<TokenRequest> tokenRequests_;
    std::map<Ticket, Instant> awaitingTokens_; ///< Requests without a token, until when.
    bool taking_ = true;
    bool rebalancePending_ = false;
    Instant rebalanceAt_; ///< Not before.
    Instant startedAt_; ///< First division of the limits.
};

} // namespace endivequay

#endif
