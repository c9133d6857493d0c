#ifndef ENDIVEQUAY_REFUSAL_H
#define ENDIVEQUAY_REFUSAL_H

#include "endivequay/clock.h"

#include <string_view>

namespace endivequay {

/// Why the policy refuses a request before any of it has run.
enum class RefusalReason {
    NoCapacity, ///< No upstream has room here and no other domain can take the request.
    QueueFull, ///< The queue is full and the request's team holds the largest part for its weight.
    Deadline, ///< The deadline passes before the request can be run.
    ShiftCap, ///< The service's shift budget is used up.
    LinkBudget, ///< The byte budget of the link between the regions is used up.
    HopLimit, ///< The request was already passed on once.
};

/// Name of a reason as in a refusal's JSON body, for example "no_capacity".
std::string_view refusalName(RefusalReason reason);

/// A refusal that is always "not run".
struct Refusal
{
    RefusalReason reason = RefusalReason::NoCapacity;
    Instant retryAt; ///< When the caller should try again.

    bool operator==(const Refusal &) const = default;
};

} // namespace endivequay

#endif
