#ifndef ENDIVEQUAY_FORWARDING_H
#define ENDIVEQUAY_FORWARDING_H

#include "endivequay/clock.h"
#include "endivequay/linkbudget.h"
#include "endivequay/refusal.h"
#include "endivequay/types.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace endivequay {

/// Maximum number of times that a request is forwarded to another failure domain.
inline constexpr int maxHops = 1;

/// A request for which this instance has no free slot.
struct BlockedRequest
{
    RegionId region; ///< Region of this instance.
    Instant deadline;
    Interval serviceTime {}; ///< Expected processing time at an upstream.
    int hops = 0; ///< Number of times that it was already forwarded.
    std::uint64_t bytes = 0; ///< Expected size of request and response together.
    bool deferrable = false;
    std::uint64_t key = 0; ///< Differs between requests; randomizes the order of targets.
};

/// State of the service's admission queue at this instance.
struct QueueState
{
    Interval expectedWait {}; ///< Of a request that is queued now.
    bool full = false;
};

/// An instance of another failure domain to which the request could be forwarded.
struct ForwardTarget
{
    Address address;
    FailureDomainId domain;
    RegionId region;
    Interval delay {}; ///< One way, from this instance.
    /// Last reported free slots, less the requests that this instance has forwarded to the target
    /// and that have not ended. Subtracting all requests forwarded since the report would use a
    /// free slot only once per report.
    double freeSlots = 0;
    bool usable = true; ///< Reachable and neither suspect nor leaving nor draining.
    bool isHome = false; ///< Result of isHome() for the target's region and the request.
};

/// Keep the request in the local queue.
struct WaitHere
{
    Instant until; ///< Latest time at which to decide again.
};

/// Forward the request to a target.
struct Forward
{
    std::size_t target = 0; ///< Index in the targets given to decideForward().
};

using ForwardDecision = std::variant<WaitHere, Forward, Refusal>;

/// Token bucket of a service's shift budget, implemented by the coordination layer.
template <class T>
concept ShiftTokenBucket = requires(T &tokens, Instant now)
{
    {
        tokens.tryTake(now)
        } -> std::same_as<bool>;
};

namespace detail {
/// Indexes of the usable targets with a free slot that can answer before the deadline, best first:
/// own region, then lowest delay, then random order weighted by free slots.
std::vector<std::size_t> rankTargets(
    const BlockedRequest &request, std::span<const ForwardTarget> targets, Instant now);
/// Whether waiting in the local queue is expected to be no slower than forwarding to \a target.
bool isWaitingFaster(const BlockedRequest &request, const QueueState &queue,
    const ForwardTarget &target, Instant now);
/// Queues the request if it can still meet its deadline, otherwise refuses it for \a reason.
ForwardDecision queueOrRefuse(
    const BlockedRequest &request, const QueueState &queue, RefusalReason reason, Instant now);
} // namespace detail

/// Decides whether to queue, forward or refuse a request for which this instance has no free slot.
///
/// Forwarding to another region takes bytes of the link budget, and also a token of the shift
/// budget if that region is not home for the request. Both are taken only for the target that is
/// returned.
template <ShiftTokenBucket Tokens>
ForwardDecision decideForward(const BlockedRequest &request, const QueueState &queue,
    std::span<const ForwardTarget> targets, Tokens &tokens, LinkBudget &links, Instant now)
{
    if (request.hops >= maxHops)
        return detail::queueOrRefuse(request, queue, RefusalReason::HopLimit, now);
    RefusalReason reason = RefusalReason::NoCapacity;
    for (std::size_t index : detail::rankTargets(request, targets, now)) {
        const ForwardTarget &target = targets[index];
        if (detail::isWaitingFaster(request, queue, target, now))
            return detail::queueOrRefuse(request, queue, reason, now);
        if (target.region == request.region)
            return Forward { index };
        if (!links.has(request.region, target.region, request.bytes, now)) {
            reason = RefusalReason::LinkBudget;
            continue;
        }
        if (!target.isHome && !tokens.tryTake(now)) {
            reason = RefusalReason::ShiftCap;
            continue;
        }
        links.tryTake(request.region, target.region, request.bytes, now);
        return Forward { index };
    }
    return detail::queueOrRefuse(request, queue, reason, now);
}

} // namespace endivequay

#endif
