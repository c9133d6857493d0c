#ifndef ENDIVEQUAY_CLOCK_H
#define ENDIVEQUAY_CLOCK_H

#include <chrono>
#include <concepts>

namespace endivequay {

/// Clock type of Instant: nanoseconds of the machine's monotonic clock, including time while the
/// machine is suspended.
struct MonotonicTime
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicTime>;
    static constexpr bool is_steady = true;
};

/// A point in time on this machine. Not comparable across machines.
using Instant = MonotonicTime::time_point;

/// Time between two instants, in nanoseconds. State stores instants; intervals are used only in
/// settings and arithmetic.
using Interval = MonotonicTime::duration;

/// A type whose now() returns the current instant.
template <class T>
concept Clock = requires(const T &clock)
{
    {
        clock.now()
        } -> std::same_as<Instant>;
};

/// The system's monotonic clock (CLOCK_BOOTTIME).
class SteadyClock
{
public:
    Instant now() const;
};

/// A clock for tests that advances only through advance().
class ManualClock
{
public:
    Instant now() const { return now_; }
    void advance(Interval interval) { now_ += interval; }

private:
    Instant now_ { std::chrono::hours(1) };
};

/// Converts \a interval to seconds.
inline double toSeconds(Interval interval)
{
    return std::chrono::duration<double>(interval).count();
}

/// Converts \a seconds to an interval, truncated to nanoseconds.
inline Interval fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Interval>(std::chrono::duration<double>(seconds));
}

} // namespace endivequay

#endif
