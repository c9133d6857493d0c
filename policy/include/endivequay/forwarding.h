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

/// Most times that a request is passed on to another domain.
inline constexpr int hopLimit = 1;

/// A request that found no free slot.
struct BlockedRequest
{
    RegionId region; ///< Region of this instance.
    Instant deadline;
    Interval serviceTime {}; ///< Expected time at an upstream.
    int hops = 0; ///< Times it was already passed on.
    std::uint64_t bytes = 0; ///< Expected bytes of request and response.
    bool deferrable = false;
};

/// The queue of the service at this instance.
struct QueueState
{
    Interval expectedWait {}; ///< For a request that joins now.
    bool full = false;
};

/// An instance of another domain that the request could be passed on to.
struct ForwardTarget
{
    Address address;
    FailureDomainId domain;
    RegionId region;
    Interval delay {}; ///< One way, from this instance.
    double freeSlots = 0; ///< Last known, less what this instance passed on since then.
    bool usable = true; ///< Reachable, not suspect, leaving or draining.
    bool isHome = false; ///< isHome() of the target's region for the request.
};

struct WaitHere
{
    Instant until; ///< Decide again at that time at the latest.
};

struct PassOn
{
    std::size_t target = 0; ///< Index in the targets.
};

using ForwardDecision = std::variant<WaitHere, PassOn, Refusal>;

/// A service's shift budget as the coordination layer keeps it.
template <class T>
concept ShiftTokens = requires(T &tokens, Instant now)
{
    {
        tokens.tryTake(now)
        } -> std::same_as<bool>;
};

namespace detail {
/// Targets that the request can reach before its deadline and that have free slots, best first.
std::vector<std::size_t> forwardOrder(
    const BlockedRequest &request, std::span<const ForwardTarget> targets, Instant now);
/// Whether waiting here is expected to end sooner than passing on over \a delay.
bool waitingIsBetter(
    const BlockedRequest &request, const QueueState &queue, Interval delay, Instant now);
ForwardDecision waitOrRefuse(
    const BlockedRequest &request, const QueueState &queue, RefusalReason reason, Instant now);
} // namespace detail

/// Decides about a request for which no slot is free here: wait, pass on or refuse.
///
/// A target in another region takes bytes of the link budget, and a token of the shift budget if
/// it is outside of the request's home; both are taken only for the target that is returned.
template <ShiftTokens Tokens>
ForwardDecision decideForward(const BlockedRequest &request, const QueueState &queue,
    std::span<const ForwardTarget> targets, Tokens &tokens, LinkBudget &links, Instant now)
{
    if (request.hops >= hopLimit)
        return detail::waitOrRefuse(request, queue, RefusalReason::HopLimit, now);
    RefusalReason reason = RefusalReason::NoCapacity;
    for (std::size_t index : detail::forwardOrder(request, targets, now)) {
        const ForwardTarget &target = targets[index];
        if (detail::waitingIsBetter(request, queue, target.delay, now))
            return detail::waitOrRefuse(request, queue, reason, now);
        if (target.region == request.region)
            return PassOn { index };
        if (!links.has(request.region, target.region, request.bytes, now)) {
            reason = RefusalReason::LinkBudget;
            continue;
        }
        if (!target.isHome && !tokens.tryTake(now)) {
            reason = RefusalReason::ShiftCap;
            continue;
        }
        links.tryTake(request.region, target.region, request.bytes, now);
        return PassOn { index };
    }
    return detail::waitOrRefuse(request, queue, reason, now);
}

} // namespace endivequay

#endif
