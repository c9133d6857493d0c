#ifndef ENDIVEQUAY_CLOCK_H
#define ENDIVEQUAY_CLOCK_H

#include <chrono>
#include <concepts>

namespace endivequay {

/// Time source of Instant. Counts nanoseconds of the machine's monotonic clock, also while
/// suspended.
struct MonotonicTime
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicTime>;
    static constexpr bool is_steady = true;
};

/// A point in time of this machine. Never compared across machines.
using Instant = MonotonicTime::time_point;

/// An interval between two instants. State stores instants; intervals appear only in settings and
/// arithmetic.
using Interval = MonotonicTime::duration;

/// Anything that tells the current instant.
template <class T>
concept Clock = requires(const T &clock)
{
    {
        clock.now()
        } -> std::same_as<Instant>;
};

/// The machine's clock (CLOCK_BOOTTIME).
class SteadyClock
{
public:
    Instant now() const;
};

/// A clock for tests that moves only when told to.
class ManualClock
{
public:
    Instant now() const { return now_; }
    void advance(Interval interval) { now_ += interval; }

private:
    Instant now_ { std::chrono::hours(1) };
};

/// Seconds of \a interval as a floating point number.
inline double toSeconds(Interval interval)
{
    return std::chrono::duration<double>(interval).count();
}

/// The interval of \a seconds, rounded down to a nanosecond.
inline Interval fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Interval>(std::chrono::duration<double>(seconds));
}

} // namespace endivequay

#endif
