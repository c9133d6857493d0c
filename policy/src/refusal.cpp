#include "endivequay/refusal.h"

namespace endivequay {

std::string_view refusalName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoCapacity:
        return "no_capacity";
    case RefusalReason::QueueFull:
        return "queue_full";
    case RefusalReason::Deadline:
        return "deadline";
    case RefusalReason::ShiftCap:
        return "shift_cap";
    case RefusalReason::LinkBudget:
        return "link_budget";
    case RefusalReason::HopLimit:
        return "hop_limit";
    }
    return "unknown";
}

} // namespace endivequay
