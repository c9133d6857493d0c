#include "endivequay/forwarding.h"

#include <algorithm>
#include <tuple>

namespace endivequay::detail {

namespace {

/// Shortest time until a waiting request is decided about again.
constexpr Interval shortestWait = std::chrono::milliseconds(10);
/// Retry time of a refusal when no figure of the queue gives a better one.
constexpr Interval shortestRetry = std::chrono::milliseconds(100);

bool canWait(const BlockedRequest &request, const QueueState &queue, Instant now)
{
    return !queue.full && now + queue.expectedWait + request.serviceTime <= request.deadline;
}

} // namespace

std::vector<std::size_t> forwardOrder(
    const BlockedRequest &request, std::span<const ForwardTarget> targets, Instant now)
{
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const ForwardTarget &target = targets[i];
        const Instant answeredAt = now + 2 * target.delay + request.serviceTime;
        if (target.usable && target.freeSlots >= 1 && answeredAt <= request.deadline)
            order.push_back(i);
    }
    std::ranges::stable_sort(order, {}, [&](std::size_t i) {
        const ForwardTarget &target = targets[i];
        return std::tuple(target.region != request.region, target.delay, -target.freeSlots);
    });
    return order;
}

bool waitingIsBetter(
    const BlockedRequest &request, const QueueState &queue, Interval delay, Instant now)
{
    return canWait(request, queue, now) && queue.expectedWait <= 2 * delay;
}

ForwardDecision waitOrRefuse(
    const BlockedRequest &request, const QueueState &queue, RefusalReason reason, Instant now)
{
    if (canWait(request, queue, now)) {
        const Instant next = now + std::max(queue.expectedWait, shortestWait);
        return WaitHere { std::min(next, request.deadline - request.serviceTime) };
    }
    if (reason == RefusalReason::NoCapacity && !queue.full)
        reason = RefusalReason::Deadline;
    return Refusal { reason, now + std::max(queue.expectedWait, shortestRetry) };
}

} // namespace endivequay::detail
