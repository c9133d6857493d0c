#ifndef ENDIVEQUAY_DAEMON_REQUESTFIELDS_H
#define ENDIVEQUAY_DAEMON_REQUESTFIELDS_H

#include "http.h"

#include "endivequay/clock.h"

#include <string>
#include <string_view>

// Header fields of requests, and replies that an instance generates itself.
namespace endivequay::detail {

inline constexpr std::string_view apiKeyHeader = "Endivequay-Key";
inline constexpr std::string_view operationHeader = "Endivequay-Operation";
inline constexpr std::string_view deadlineHeader = "Endivequay-Deadline-Ms";
inline constexpr std::string_view teamHeader = "Endivequay-Team";
inline constexpr std::string_view requestIdHeader = "Endivequay-Request";
inline constexpr std::string_view hopHeader = "Endivequay-Hop";
inline constexpr std::string_view homeRegionHeader = "Endivequay-Home";

/// Whether the header is reserved for endivequay. Includes spellings that a lenient upstream could
/// take for a reserved name ("endivequay_key").
bool isReservedHeader(std::string name);

/// Reply that guarantees that the request was not executed.
HttpReply notRunReply(int status, std::string_view reason, Interval retryAfter = {});
/// Reply that leaves open whether the request was executed.
HttpReply unknownOutcomeReply(int status, std::string_view reason);
/// Milliseconds from \a now to \a deadline, at least 1.
long remainingMs(Instant deadline, Instant now);

} // namespace endivequay::detail

#endif
