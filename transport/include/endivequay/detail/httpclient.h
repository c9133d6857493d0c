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

/// Whether two header names are the same in any letter case.
bool equalIgnoringCase(std::string_view a, std::string_view b);

/// One HTTP/1.1 request. \a body and the headers are sent as they are.
struct HttpRequest
{
    Address address;
    std::string method;
    std::string target; ///< Starts with '/'.
    HeaderList headers;
    std::string_view body;
    Instant deadline;
    bool fresh = true; ///< Use a new connection and close it afterwards.
    std::stop_token cancelled;
    std::size_t answerLimit = 0; ///< Largest body of the answer, in bytes; not for \a stream.
    /// If set, receives the pieces of the body of a 200 answer. Returning false ends the exchange.
    std::function<bool(std::string_view)> stream;
};

/// How an exchange ended.
enum class HttpEnd {
    Complete, ///< A whole answer with a known length arrived.
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
    bool sent = false; ///< False proves that no byte of the request was sent.
    int status = 0;
    HeaderList headers;
    std::string body;
    std::string reason; ///< Empty if Complete.
};

/// Sends HTTP requests with libcurl and keeps connections per address. Thread safe; blocking.
///
/// Every request is sent at most once: libcurl would send it again by itself when a reused
/// connection closes before an answer, which is prevented.
class HttpClient
{
public:
    struct Settings
    {
        Interval connectLimit {};
        Interval idleLimit {};
        std::size_t idlePerAddress = 0;
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
