#ifndef ENDIVEQUAY_DETAIL_HTTPCLIENT_H
#define ENDIVEQUAY_DETAIL_HTTPCLIENT_H

#include "endivequay/clock.h"
#include "endivequay/types.h"

#include <functional>
#include <memory>
#include <stop_token>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivequay::detail {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Compares header names without regard to case.
bool equalIgnoringCase(std::string_view a, std::string_view b);

/// One HTTP/1.1 request. \a body and the headers are sent unchanged.
struct HttpRequest
{
    Address address;
    std::string method;
    std::string target; ///< Starts with '/'.
    HeaderList headers;
    std::string_view body;
    Instant deadline;
    bool fresh = true; ///< Opens a new connection and closes it afterwards.
    std::stop_token cancelled;
    std::size_t answerLimit = 0; ///< Maximum response body in bytes; not applied to \a stream.
    /// If set, receives the body of a 200 response piece by piece. Returning false ends the
    /// exchange.
    std::function<bool(std::string_view)> stream;
};

/// How an exchange ended.
enum class HttpEnd {
    Complete, ///< A complete response with a known length arrived.
    Malformed, ///< The request is not valid HTTP.
    ConnectFailed,
    Deadline,
    Cancelled,
    ReusedConnectionClosed,
    Incomplete,
    TooLarge,
};

/// Result of one exchange.
struct HttpResult
{
    HttpEnd end = HttpEnd::Incomplete;
    bool sent = false; ///< If false, no byte of the request was sent.
    int status = 0;
    HeaderList headers;
    std::string body;
    std::string reason; ///< Empty if Complete.
};

/// Sends HTTP requests with libcurl and pools idle connections per address. Thread safe; blocking.
///
/// Every request is sent at most once: libcurl's automatic retry, when a reused connection closes
/// before a response, is prevented.
class HttpClient
{
public:
    struct Settings
    {
        Interval connectTimeout {};
        Interval idleTimeout {};
        std::size_t maxIdlePerAddress = 0;
    };

    explicit HttpClient(Settings settings);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    HttpResult send(const HttpRequest &request);
    void closeIdle(const Address &address);
    std::size_t idleConnections(const Address &address) const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace endivequay::detail

#endif
