#include "endivequay/clock.h"

#include <ctime>

namespace endivequay {

Instant SteadyClock::now() const
{
    // CLOCK_MONOTONIC stops while the machine is suspended, so that a process would then rely on
    // deadlines that passed during the suspension.
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace endivequay
