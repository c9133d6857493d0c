#include "requestfields.h"

#include <algorithm>

namespace endivequay::detail {

namespace {

bool startsWithIgnoringCase(std::string_view text, std::string_view prefix)
{
    return text.size() >= prefix.size() && sameHeader(text.substr(0, prefix.size()), prefix);
}

} // namespace

bool isOwnHeader(std::string name)
{
    std::ranges::replace(name, '_', '-');
    return startsWithIgnoringCase(name, "Endivequay-");
}

HttpReply notRun(int status, std::string_view reason, Interval retryAfter)
{
    return systemReply(status, "not-run", reason, retryAfter);
}

HttpReply unknown(int status, std::string_view reason)
{
    return systemReply(status, "unknown", reason, {});
}

long remainingMs(Instant deadline, Instant now)
{
    return std::max<long>(
        1, std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count());
}

} // namespace endivequay::detail
