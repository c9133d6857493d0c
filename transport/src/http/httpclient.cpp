#include "exchange.h"

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>

namespace endivequay::detail {

namespace {

void initializeCurl()
{
    static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(code);
}

struct IdleConnection
{
    std::unique_ptr<Connection> connection;
    Instant expiresAt;
};

} // namespace

struct HttpClient::State
{
    explicit State(Settings s)
        : settings(s)
    { }

    std::unique_ptr<Connection> take(const Address &address);
    void keep(const Address &address, std::unique_ptr<Connection> connection);
    void closeExpired(Instant now);

    const Settings settings;
    std::mutex mutex;
    std::map<Address, std::deque<IdleConnection>> idle; ///< By address; least recently used first.
    Instant nextSweep {};
};

std::unique_ptr<Connection> HttpClient::State::take(const Address &address)
{
    const Instant now = SteadyClock().now();
    const std::lock_guard lock(mutex);
    const auto found = idle.find(address);
    if (found == idle.end() || found->second.empty() || found->second.back().expiresAt <= now)
        return nullptr;
    auto connection = std::move(found->second.back().connection);
    found->second.pop_back();
    return connection;
}

void HttpClient::State::keep(const Address &address, std::unique_ptr<Connection> connection)
{
    const Instant now = SteadyClock().now();
    const std::lock_guard lock(mutex);
    auto &connections = idle[address];
    connections.push_back({ std::move(connection), now + settings.idleTimeout });
    if (connections.size() > settings.maxIdlePerAddress)
        connections.pop_front();
    if (now >= nextSweep)
        closeExpired(now);
}

void HttpClient::State::closeExpired(Instant now)
{
    nextSweep = now + settings.idleTimeout;
    for (auto &[address, connections] : idle)
        std::erase_if(connections, [now](const auto &kept) { return kept.expiresAt <= now; });
    std::erase_if(idle, [](const auto &entry) { return entry.second.empty(); });
}

HttpClient::HttpClient(Settings settings)
{
    initializeCurl();
    state_ = std::make_unique<State>(settings);
}

HttpClient::~HttpClient() = default;

HttpResult HttpClient::send(const HttpRequest &request)
{
    HttpResult result;
    if (!isWellFormed(request)) {
        result.end = HttpEnd::Malformed;
        result.reason = "the method, target or a header is malformed";
        return result;
    }
    auto connection = request.fresh ? nullptr : state_->take(request.address);
    if (!connection)
        connection = std::make_unique<Connection>();
    Exchange exchange(request, state_->settings.connectTimeout, *connection);
    result = exchange.run();
    if (exchange.reusable())
        state_->keep(request.address, std::move(connection));
    return result;
}

void HttpClient::closeIdle(const Address &address)
{
    const std::lock_guard lock(state_->mutex);
    state_->idle.erase(address);
}

std::size_t HttpClient::idleConnections(const Address &address) const
{
    const std::lock_guard lock(state_->mutex);
    const auto found = state_->idle.find(address);
    return found == state_->idle.end() ? 0 : found->second.size();
}

} // namespace endivequay::detail
