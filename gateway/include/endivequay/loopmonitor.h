#ifndef ENDIVEQUAY_LOOPMONITOR_H
#define ENDIVEQUAY_LOOPMONITOR_H

#include "endivequay/clock.h"

namespace endivequay {

/// Measures how late the timers of an event loop expire. A loop that runs late has more work than
/// its processor share allows, or runs on a machine that has become slow. Not thread safe.
class LoopMonitor
{
public:
    /// Mean delay from which the loop counts as overloaded: a request passes the loop several
    /// times, so this costs a large part of a short objective.
    static constexpr Interval overloadDelay = std::chrono::milliseconds(60);
    /// An overloaded loop counts as such for at least this long. Callers that were sent elsewhere
    /// would otherwise all come back at once.
    static constexpr Interval minOverloadDuration = std::chrono::seconds(4);

    /// Records that a timer due at \a dueAt expired at \a now. Ignores the epoch as \a dueAt.
    void timerExpired(Instant dueAt, Instant now);
    bool overloaded(Instant now) const { return now < overloadedUntil_; }
    Interval meanDelay() const { return meanDelay_; }

private:
    Interval meanDelay_ {}; ///< Moving average.
    Instant overloadedUntil_;
};

} // namespace endivequay

#endif
