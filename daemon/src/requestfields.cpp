#include "requestfields.h"

#include <algorithm>

namespace endivequay::detail {

namespace {

bool startsWithIgnoringCase(std::string_view text, std::string_view prefix)
{
    return text.size() >= prefix.size() && isSameHeaderName(text.substr(0, prefix.size()), prefix);
}

} // namespace

bool isReservedHeader(std::string name)
{
    std::ranges::replace(name, '_', '-');
    return startsWithIgnoringCase(name, "Endivequay-");
}

HttpReply notRunReply(int status, std::string_view reason, Interval retryAfter)
{
    return localReply(status, "not-run", reason, retryAfter);
}

HttpReply unknownOutcomeReply(int status, std::string_view reason)
{
    return localReply(status, "unknown", reason, {});
}

long remainingMs(Instant deadline, Instant now)
{
    return std::max<long>(
        1, std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count());
}

} // namespace endivequay::detail
