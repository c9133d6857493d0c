#include "endivequay/clock.h"

#include <ctime>

namespace endivequay {

Instant SteadyClock::now() const
{
    // CLOCK_MONOTONIC stops while a machine is suspended; a suspended holder would trust old
    // deadlines.
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace endivequay
