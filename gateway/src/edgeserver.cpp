#include "edgeconnection.h"

#include <algorithm>
#include <map>
#include <vector>

namespace endivequay {

namespace {

/// Above a retransmission after packet loss. Stalled bodies give way only while memory is short.
constexpr Interval stallTolerance = std::chrono::seconds(1);

/// Covers a burst of connections from all clients of a failure domain.
constexpr int acceptBacklog = 512;

/// Wait after a connection could not be accepted and none is idle that could give way. The process
/// is out of descriptors, and the next attempt would fail as well.
constexpr auto acceptRetryInterval = std::chrono::milliseconds(50);

} // namespace

Result<asio::ip::tcp::endpoint> parseEndpoint(const Address &address)
{
    const std::string &text = address.value();
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return Error { "address.parse", text, "is not ip:port" };
    asio::error_code error;
    const auto ip = asio::ip::make_address(text.substr(0, colon), error);
    const std::string digits = text.substr(colon + 1);
    const bool numeric = !digits.empty() && digits.size() <= 5
        && std::ranges::all_of(digits, [](char c) { return c >= '0' && c <= '9'; });
    const int port = numeric ? std::stoi(digits) : -1;
    if (error || port < 0 || port > 65535)
        return Error { "address.parse", text, "is not ip:port" };
    return asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

Address addressOf(const asio::ip::tcp::endpoint &endpoint)
{
    return Address(endpoint.address().to_string() + ':' + std::to_string(endpoint.port()));
}

EdgeServer::EdgeServer(asio::io_context &loop, ServerLimits limits, Handlers handlers)
    : acceptor_(loop)
    , acceptTimer_(loop)
    , limits_(limits)
    , handlers_(std::move(handlers))
{ }

EdgeServer::~EdgeServer()
{
    // Pending operations of the event loop may keep connections longer than the budget lives.
    std::ranges::for_each(connections_, [](const auto &connection) { connection->abandon(); });
}

Result<std::unique_ptr<EdgeServer>> EdgeServer::listen(
    asio::io_context &loop, const Address &address, ServerLimits limits, Handlers handlers)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return endpoint.lastReason();
    std::unique_ptr<EdgeServer> server(new EdgeServer(loop, limits, std::move(handlers)));
    asio::error_code error;
    auto &acceptor = server->acceptor_;
    acceptor.open(endpoint->protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(acceptBacklog, error);
    if (error)
        return Error { "server.listen", address.value(), error.message() };
    server->accept();
    return server;
}

Address EdgeServer::address() const
{
    return addressOf(acceptor_.local_endpoint());
}

void EdgeServer::accept()
{
    acceptor_.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor_.is_open())
            return;
        if (error && error != asio::error::connection_aborted) {
            acceptFailed(error == asio::error::no_descriptors);
            return;
        }
        if (!error)
            accepted(std::move(socket));
        accept();
    });
}

void EdgeServer::acceptFailed(bool noDescriptors)
{
    countRejected("accept_failed");
    if (noDescriptors && closeOldestIdle()) {
        accept();
        return;
    }
    acceptTimer_.expires_after(acceptRetryInterval);
    acceptTimer_.async_wait([this](const asio::error_code &error) {
        if (!error)
            accept();
    });
}

bool EdgeServer::closeOldestIdle()
{
    std::shared_ptr<Connection> oldest;
    for (const auto &connection : connections_)
        if (connection->idle()
            && (oldest == nullptr || connection->lastActivityAt() < oldest->lastActivityAt()))
            oldest = connection;
    if (oldest == nullptr)
        return false;
    oldest->close();
    return true;
}

void EdgeServer::accepted(asio::ip::tcp::socket socket)
{
    if (limits_.maxConnections > 0 && connections_.size() >= limits_.maxConnections) {
        countRejected("too_many_connections");
        if (!closeOldestIdle())
            return;
    }
    asio::error_code ignored; // The options only improve latency.
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(connection);
    connection->start();
}

void EdgeServer::countRejected(std::string_view cause) const
{
    if (handlers_.rejected)
        handlers_.rejected(cause);
}

bool EdgeServer::reclaimMemory(const Connection &needy)
{
    const Instant stalledBefore = handlers_.now() - stallTolerance;
    std::map<asio::ip::address, std::size_t> unfinished;
    for (const auto &connection : connections_)
        unfinished[connection->client()] += connection->receivesBody() ? 1 : 0;
    std::shared_ptr<Connection> victim;
    for (const auto &connection : connections_) {
        if (connection.get() == &needy || !connection->receivesBody()
            || connection->progressAt() > stalledBefore)
            continue;
        const auto rank = [&](const Connection &each) {
            return std::pair(unfinished.at(each.client()), -each.progressAt().time_since_epoch());
        };
        if (victim == nullptr || rank(*connection) > rank(*victim))
            victim = connection;
    }
    if (victim == nullptr)
        return false;
    victim->refuse(408, "stalled");
    return true;
}

void EdgeServer::respond(ExchangeId exchange, HttpMessage response)
{
    const auto found = exchanges_.find(exchange);
    if (found != exchanges_.end())
        found->second->setResponse(exchange, std::move(response));
}

void EdgeServer::abort(ExchangeId exchange)
{
    const auto found = exchanges_.find(exchange);
    if (found != exchanges_.end())
        found->second->close();
}

void EdgeServer::advance(Instant now)
{
    const std::vector<std::shared_ptr<Connection>> snapshot(
        connections_.begin(), connections_.end());
    std::ranges::for_each(snapshot, [&](const auto &connection) { connection->advance(now); });
}

bool EdgeServer::isIdle() const
{
    return std::ranges::all_of(
        connections_, [](const auto &connection) { return connection->idle(); });
}

void EdgeServer::closeIdle()
{
    asio::error_code ignored; // The process is about to exit.
    acceptor_.close(ignored);
    acceptTimer_.cancel();
    const std::vector<std::shared_ptr<Connection>> snapshot(
        connections_.begin(), connections_.end());
    std::ranges::for_each(snapshot, [](const auto &connection) {
        if (connection->idle())
            connection->close();
    });
}

} // namespace endivequay
