#ifndef ENDIVEQUAY_DAEMON_REQUESTFIELDS_H
#define ENDIVEQUAY_DAEMON_REQUESTFIELDS_H

#include "http.h"

#include "endivequay/clock.h"

#include <string>
#include <string_view>

// Header fields of callers' requests and answers of the system itself.
namespace endivequay::detail {

inline constexpr std::string_view keyHeader = "Endivequay-Key";
inline constexpr std::string_view operationHeader = "Endivequay-Operation";
inline constexpr std::string_view deadlineHeader = "Endivequay-Deadline-Ms";
inline constexpr std::string_view teamHeader = "Endivequay-Team";
inline constexpr std::string_view requestHeader = "Endivequay-Request";
inline constexpr std::string_view hopHeader = "Endivequay-Hop";
inline constexpr std::string_view homeHeader = "Endivequay-Home";

/// Whether a header is one that only the system sets, in any spelling that a lenient upstream could
/// read as one ("endivequay_key").
bool isOwnHeader(std::string name);

/// An answer of the system that promises that the request has not run.
HttpReply notRun(int status, std::string_view reason, Interval retryAfter = {});
/// An answer that promises nothing: the request may have run.
HttpReply unknown(int status, std::string_view reason);
/// Milliseconds from \a now to \a deadline, at least 1.
long remainingMs(Instant deadline, Instant now);

} // namespace endivequay::detail

#endif
