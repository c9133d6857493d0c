#ifndef ENDIVEQUAY_EDGECLIENT_H
#define ENDIVEQUAY_EDGECLIENT_H

#include "endivequay/bytebudget.h"
#include "endivequay/clock.h"
#include "endivequay/httpmessage.h"
#include "endivequay/types.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace endivequay {

using CallId = std::uint64_t;

/// A request and the rules for its connection and response.
struct HttpCall
{
    Address address;
    std::string bytes; ///< The serialized request.
    Instant deadline;
    bool mayReuse = true; ///< An idle connection without a recent call of the same id may be used.
    bool head = false; ///< A HEAD request: the response has no body.
    /// Header field whose value in the response must equal id; a response with another value
    /// belongs to an earlier request and is skipped. The first response on a connection is accepted
    /// without the field if it has the field notRunField or status 421; a later one may be a second
    /// response to an earlier request. Empty: any final response is accepted.
    std::string idField {};
    std::string id {};
    std::string notRunField {};
    /// Body that follows bytes; shared, because the request may be sent again.
    std::shared_ptr<const std::string> body {};
};

/// Outcome of a call.
struct CallResult
{
    enum class Kind { Response, NotConnected, Broken, TimedOut };

    Kind kind = Kind::Broken;
    bool sent = false; ///< At least one byte of the request was written to the socket.
    HttpMessage response; ///< Set for Kind::Response.
    std::string reason; ///< Set for all other kinds.
};

/// HTTP/1.1 client with a pool of idle connections on an event loop.
///
/// Never retries a request, reports whether any byte was sent, and accepts a response only if it is
/// complete and belongs to the request. libcurl cannot be used here: it silently retries requests
/// when a reused connection closes. Not thread safe.
class EdgeClient
{
public:
    struct Limits
    {
        /// A server in trouble may send bytes without end. The largest responses are far smaller.
        HttpLimits message { std::size_t { 16 } * 1024, std::size_t { 16 } * 1024 * 1024 };
        /// Limit of all unfinished responses together, in bytes: a fraction of the memory of a
        /// small machine. Beyond it, the largest one fails, unless all are smaller than
        /// smallResponseBytes.
        std::size_t bufferedBytes = std::size_t { 32 } * 1024 * 1024;
        std::size_t smallResponseBytes = std::size_t { 64 } * 1024;
        /// Interim responses and responses to other requests that are skipped for one call.
        int maxSkippedResponses = 8;
        Interval connectTimeout
            = std::chrono::milliseconds(500); ///< Several cross-region round trips.
        Interval unacknowledgedTimeout = std::chrono::milliseconds(
            1500); ///< TCP_USER_TIMEOUT: unacknowledged data closes the connection.
        Interval idleTimeout = std::chrono::seconds(8); ///< Or less if the server announces less.
        std::size_t maxIdlePerAddress = 24;
        ByteBudget *budget
            = nullptr; ///< Counts the unfinished responses; null: they are not counted.
    };
    using Callback = std::function<void(CallResult &&)>;

    EdgeClient(asio::io_context &loop, Limits limits, std::function<Instant()> now);
    ~EdgeClient();

    /// Sends \a call. Calls \a done exactly once unless the call is cancelled, and never from
    /// within send().
    CallId send(HttpCall call, Callback done);
    /// Resets the connection of \a call without calling its callback. Bytes of the request that are
    /// still on their way are lost.
    void cancel(CallId call);
    /// Times out calls that are past their deadline and closes connections that were idle too long.
    void advance(Instant now);

    std::uint64_t connectionsOpened() const { return openedConnections_; }

private:
    class Connection;
    friend class Connection;

    std::shared_ptr<Connection> takeIdleConnection(const HttpCall &call);
    void connect(const std::shared_ptr<Connection> &connection);
    void addIdle(const std::shared_ptr<Connection> &connection);
    void remove(Connection &connection);
    /// Fails the largest unfinished responses while these exceed their limit.
    void limitBufferedBytes();

    asio::io_context &loop_;
    Limits limits_;
    std::function<Instant()> now_;
    CallId nextCallId_ = 1;
    std::uint64_t openedConnections_ = 0;
    std::size_t bufferedBytes_ = 0; ///< All unfinished responses.
    std::unordered_map<CallId, std::shared_ptr<Connection>> calls_;
    std::unordered_map<Address, std::vector<std::shared_ptr<Connection>>> idle_;
};

} // namespace endivequay

#endif
