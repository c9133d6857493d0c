#ifndef ENDIVEQUAY_EDGESERVER_H
#define ENDIVEQUAY_EDGESERVER_H

#include "endivequay/bytebudget.h"
#include "endivequay/clock.h"
#include "endivequay/httpmessage.h"
#include "endivequay/result.h"
#include "endivequay/types.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <unordered_set>

namespace endivequay {

/// Parses "ip:port".
Result<asio::ip::tcp::endpoint> parseEndpoint(const Address &address);
Address addressOf(const asio::ip::tcp::endpoint &endpoint);

/// Identifies a request at its server; unique within the process.
using ExchangeId = std::uint64_t;

/// Message size limits and connection timeouts.
struct ServerLimits
{
    HttpLimits message;
    Interval headerTimeout = std::chrono::seconds(3);
    Interval idleTimeout = std::chrono::seconds(15);
    std::size_t maxConnections = 0; ///< The oldest idle one gives way; 0: no limit.
};

/// HTTP/1.1 server on an event loop.
///
/// Unlike RESTinio, it keeps reading while requests are open, so it detects a client disconnect
/// within a round trip. Pipelined requests run concurrently and are answered in order. A request
/// for which isIdempotent() is false starts only when no earlier request of its connection is open:
/// after a response that closes the connection, clients resend the requests pipelined behind it.
///
/// Clients are not trusted. What connections hold counts toward a budget; while it is short, the
/// unfinished body that stalls, of the client with most of them, loses its place, and otherwise the
/// new one is refused as not run. A request that has started keeps its memory. Not thread safe.
class EdgeServer
{
public:
    struct Handlers
    {
        std::function<void(ExchangeId, HttpMessage &&)> request;
        std::function<void(ExchangeId)> clientDisconnected; ///< Disconnect before the response.
        std::function<bool(const HttpMessage &)> isIdempotent;
        std::function<Instant()> now;
        /// A request was refused before it started, or its connection closed; for the metrics.
        std::function<void(std::string_view cause)> rejected {};
        ByteBudget *budget = nullptr; ///< Memory for messages; null: no limit.
    };

    /// Port 0 selects any free port.
    static Result<std::unique_ptr<EdgeServer>> listen(
        asio::io_context &loop, const Address &address, ServerLimits limits, Handlers handlers);
    ~EdgeServer();

    /// Sends the response of \a exchange; ignored if its client has disconnected.
    void respond(ExchangeId exchange, HttpMessage response);
    /// Closes the connection of \a exchange without a response.
    void abort(ExchangeId exchange);

    void setLimits(const ServerLimits &limits) { limits_ = limits; }
    /// Closes connections that exceeded the header timeout or the idle timeout.
    void advance(Instant now);
    /// From now on the last pending response of a connection closes it. New connections are still
    /// accepted, because clients detect the shutdown with a delay.
    void startDraining() { draining_ = true; }
    /// Stops accepting connections and closes idle ones.
    void closeIdle();
    std::size_t connectionCount() const { return connections_.size(); }
    /// Whether no connection has an open request, a partly received one or unsent bytes.
    bool isIdle() const;
    /// The listening address.
    Address address() const;

private:
    class Connection;
    friend class Connection;

    EdgeServer(asio::io_context &loop, ServerLimits limits, Handlers handlers);
    void accept();
    void acceptFailed(bool noDescriptors);
    void accepted(asio::ip::tcp::socket socket);
    /// Closes the connection that has been idle for longest. Returns false if none is idle.
    bool closeOldestIdle();
    /// Refuses the unfinished request that stalls and whose client has the most unfinished ones,
    /// but not that of \a needy. Returns false if there is none.
    bool reclaimMemory(const Connection &needy);
    void countRejected(std::string_view cause) const;

    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer acceptTimer_;
    ServerLimits limits_;
    Handlers handlers_;
    bool draining_ = false;
    ExchangeId nextExchangeId_ = 1;
    std::unordered_set<std::shared_ptr<Connection>> connections_;
    std::unordered_map<ExchangeId, Connection *> exchanges_;
};

} // namespace endivequay

#endif
