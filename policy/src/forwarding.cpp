#include "endivequay/forwarding.h"

#include "endivequay/digest.h"

#include "mix.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace endivequay::detail {

namespace {

/// Minimum time until the decision about a waiting request is repeated.
constexpr Interval minWait = std::chrono::milliseconds(10);
/// Minimum delay until the retry time of a refusal; applies when the expected wait is shorter.
constexpr Interval minRetryDelay = std::chrono::milliseconds(100);

bool canWait(const BlockedRequest &request, const QueueState &queue, Instant now)
{
    return !queue.full && now + queue.expectedWait + request.serviceTime <= request.deadline;
}

} // namespace

std::vector<std::size_t> rankTargets(
    const BlockedRequest &request, std::span<const ForwardTarget> targets, Instant now)
{
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const ForwardTarget &target = targets[i];
        const Instant answeredAt = now + 2 * target.delay + request.serviceTime;
        if (target.usable && target.freeSlots >= 1 && answeredAt <= request.deadline)
            order.push_back(i);
    }
    // All instances see the same stale load reports. A weighted random order per request keeps them
    // from forwarding to the same target (herding).
    std::ranges::stable_sort(order, {}, [&](std::size_t i) {
        const ForwardTarget &target = targets[i];
        const double unit = toUnit(mix64(request.key ^ hash64(target.address.value())));
        return std::tuple(
            target.region != request.region, target.delay, -std::log1p(-unit) / target.freeSlots);
    });
    return order;
}

bool isWaitingFaster(const BlockedRequest &request, const QueueState &queue,
    const ForwardTarget &target, Instant now)
{
    // The target's load report is seconds old, so the request may have to wait there too. The
    // expected wait falls with the number of free slots reported.
    const Interval expectedTargetWait
        = fromSeconds(toSeconds(request.serviceTime) / (1 + target.freeSlots));
    return canWait(request, queue, now)
        && queue.expectedWait <= 2 * target.delay + expectedTargetWait;
}

ForwardDecision queueOrRefuse(
    const BlockedRequest &request, const QueueState &queue, RefusalReason reason, Instant now)
{
    if (canWait(request, queue, now)) {
        const Instant next = now + std::max(queue.expectedWait, minWait);
        return WaitHere { std::min(next, request.deadline - request.serviceTime) };
    }
    if (reason == RefusalReason::NoCapacity && !queue.full)
        reason = RefusalReason::Deadline;
    return Refusal { reason, now + std::max(queue.expectedWait, minRetryDelay) };
}

} // namespace endivequay::detail
