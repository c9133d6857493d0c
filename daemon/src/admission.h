#ifndef ENDIVEQUAY_DAEMON_ADMISSION_H
#define ENDIVEQUAY_DAEMON_ADMISSION_H

#include "endivequay/admissionqueue.h"
#include "endivequay/forwarding.h"
#include "endivequay/linkbudget.h"
#include "endivequay/loadestimate.h"
#include "endivequay/retrybudget.h"
#include "node.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <variant>

namespace endivequay {

/// A request that needs a slot of an upstream.
struct SlotRequest
{
    ServiceId service;
    TeamId team; ///< Empty for open routes.
    RequestRate weight { 1 };
    Instant deadline;
    bool deferrable = false;
    int hops = 0;
    std::uint64_t bytes = 0;
    std::optional<RegionId> home; ///< Home region of the client, if known.
    std::stop_token cancelled;
};

/// A slot of an upstream; returned with Admission::finish().
struct SlotGrant
{
    UpstreamId upstream;
    Address address;
    SlotLease lease;
    Instant startedAt;
};

/// The request is to be forwarded to the instance at \a address.
struct ForwardToInstance
{
    Address address;
};

using SlotDecision = std::variant<SlotGrant, ForwardToInstance, Refusal>;

/// Assigns slots of the upstreams in this instance's failure domain to requests and queues the ones
/// that must wait. Thread-safe. Its mutex follows Tables::Shares::mutex in the lock order.
class Admission
{
public:
    explicit Admission(Node &node);
    ~Admission();

    Admission(const Admission &) = delete;
    Admission &operator=(const Admission &) = delete;

    /// Blocks until a slot is free or the request is to be forwarded or refused.
    SlotDecision acquire(const SlotRequest &request);
    /// Returns a slot and records the result of the request.
    void finish(const ServiceId &service, const SlotGrant &grant, RequestResult result);

    void requestStarted(const ServiceId &service, const TeamId &team);
    bool tryRetry(const ServiceId &service, const TeamId &team);

    /// State of an upstream for the status page.
    struct UpstreamStatus
    {
        int inFlight = 0;
        int usableSlots = 0;
        bool ejected = false;
    };
    std::map<UpstreamId, UpstreamStatus> status();
    int inFlight();

private:
    struct Waiter
    {
        std::optional<SlotGrant> grant;
        std::optional<Refusal> refusal;
    };

    struct ServiceState
    {
        explicit ServiceState(std::uint64_t seed)
            : upstreams(seed)
        { }

        AdmissionQueue queue;
        UpstreamPool upstreams;
        std::map<UpstreamId, bool> draining;
        std::map<Ticket, Waiter> waiters;
    };

    /// Adapts the rate shares to the token interface of decideForward().
    struct ShiftBudget
    {
        RateShares &rates;
        ResourceId resource;

        bool tryTake(Instant now) { return rates.tryAcquire(resource, RequestCount(1), now); }
    };

    void maintain(const std::stop_token &stop);
    void pollLoads(const std::stop_token &stop);
    /// Benchmark baseline: round robin over the upstreams of the local domain, without slots or
    /// queue.
    SlotDecision grantWithoutPolicy(const ServiceId &service);
    // The functions below require Tables::Shares::mutex and mutex_ to be locked.
    void applyView(const ConfigView &view, Instant now);
    void updateShares(const ConfigView &view, Instant now);
    void setUpstreamShare(const Upstream &upstream, Instant now);
    void dispatch(const ServiceId &service, ServiceState &state, Instant now);
    std::optional<SlotGrant> tryGrantSlot(
        const ServiceId &service, ServiceState &state, Instant now);
    ForwardDecision decideForBlocked(
        const SlotRequest &request, ServiceState &state, Ticket ticket, Instant now);
    std::vector<ForwardTarget> forwardTargets(const SlotRequest &request);
    std::vector<ShareOutgoing> requestSlotLoans(ServiceState &state, Instant now);
    LoadSummary loadSummary(Instant now) const;

    Node &node_;
    const SteadyClock clock_ {};
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<ServiceId, std::unique_ptr<ServiceState>> services_;
    std::shared_ptr<const ConfigView> appliedView_;
    RetryBudget retryBudget_;
    LinkBudget linkBudget_;
    std::map<Address, int> forwardedCounts_; ///< Per instance, since the peers last reported load.
    Instant forwardedCountsSince_;
    Ticket lastTicket_ = 0;
    std::atomic<std::size_t> nextUpstream_ { 0 };
    std::jthread maintenance_;
    std::jthread loadPoller_;
};

} // namespace endivequay

#endif
