#ifndef ENDIVEQUAY_DAEMON_HTTP_H
#define ENDIVEQUAY_DAEMON_HTTP_H

#include "endivequay/clock.h"
#include "endivequay/upstreamclient.h"

#include <functional>
#include <optional>
#include <stop_token>
#include <string>
#include <string_view>
#include <vector>

namespace endivequay {

/// A request as a caller sent it.
struct HttpRequest
{
    std::string method;
    std::string target; ///< Path and query as sent, starts with '/'.
    HttpHeaders headers;
    std::string body;
    std::string remoteAddress; ///< IP of the connection.
    Instant receivedAt;
    std::stop_token cancelled; ///< Stop is requested when the caller closes the connection.

    /// The part of the target before '?'.
    std::string_view path() const;
    /// The part after '?', empty if there is none.
    std::string_view query() const;
    /// Values of the header \a name in any letter case.
    std::vector<std::string_view> headerValues(std::string_view name) const;
    /// First value of the header \a name.
    std::optional<std::string_view> header(std::string_view name) const;
    /// Value of the query parameter \a name, percent-decoded.
    std::optional<std::string> parameter(std::string_view name) const;
};

/// Answer to a request.
struct HttpReply
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    bool close = false; ///< End the connection after the answer.
};

/// Sends the answer; called once, from any thread.
using Responder = std::function<void(HttpReply)>;

/// Whether two header names are equal in any letter case.
bool sameHeader(std::string_view a, std::string_view b);

/// Decodes %XX escapes; no value if one is malformed.
std::optional<std::string> percentDecode(std::string_view text);

/// A JSON answer.
HttpReply jsonReply(int status, std::string body);

/// Header that says what is known about the execution of a request: done, not-run or unknown.
inline constexpr std::string_view outcomeHeader = "Endivequay-Outcome";

/// An answer of the system itself, with the outcome in header and body.
HttpReply systemReply(
    int status, std::string_view outcome, std::string_view reason, Interval retryAfter = {});

} // namespace endivequay

#endif
