#include "endivequay/loopmonitor.h"

#include <algorithm>

namespace endivequay {

namespace {

/// Weight of one timer in the mean: about ten timers outweigh the history.
constexpr int delayWeightDivisor = 10;
/// Longest delay of one timer in the mean. A process that was suspended once is not overloaded.
constexpr Interval maxDelayInMean = std::chrono::milliseconds(300);

} // namespace

void LoopMonitor::timerExpired(Instant dueAt, Instant now)
{
    if (dueAt == Instant {})
        return;
    const Interval delay = std::clamp(now - dueAt, Interval {}, maxDelayInMean);
    meanDelay_ += (delay - meanDelay_) / delayWeightDivisor;
    if (meanDelay_ >= overloadDelay)
        overloadedUntil_ = now + minOverloadDuration;
}

} // namespace endivequay
