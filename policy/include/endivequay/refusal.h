#ifndef ENDIVEQUAY_REFUSAL_H
#define ENDIVEQUAY_REFUSAL_H

#include "endivequay/clock.h"

#include <string_view>

namespace endivequay {

/// Why a request is refused before it is sent to an upstream.
enum class RefusalReason {
    NoCapacity, ///< No free slot here, and no other failure domain can take the request.
    QueueFull, ///< The queue is full and the team has the most queued requests per weight.
    Deadline, ///< The request cannot complete before its deadline.
    ShiftCap, ///< The service's shift budget is exhausted.
    LinkBudget, ///< The byte budget of the link between the regions is exhausted.
    HopLimit, ///< The request was already forwarded maxHops times.
};

/// Name of a reason in the JSON body of a refusal, for example "no_capacity".
std::string_view refusalName(RefusalReason reason);

/// Refusal of a request that was not run.
struct Refusal
{
    RefusalReason reason = RefusalReason::NoCapacity;
    Instant retryAt; ///< Earliest time at which the caller should retry.

    bool operator==(const Refusal &) const = default;
};

} // namespace endivequay

#endif
