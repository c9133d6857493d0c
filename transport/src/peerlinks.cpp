#include "endivequay/peerlinks.h"

#include "peerhandshake.h"

#include "endivequay/digest.h"

#include <nlohmann/json.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <atomic>
#include <map>
#include <optional>
#include <set>
#include <thread>

namespace endivequay {

namespace {

using Json = nlohmann::json;
using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;
using FrameType = websocketpp::frame::opcode::value;
using detail::Hello;
using detail::hexNonce;
using detail::HostPort;
using detail::parseAddress;
using detail::parseHello;
using detail::proofHmac;
using detail::textField;
using detail::toJson;

constexpr long handshakeTimeoutMs = 3'000;
constexpr std::size_t minSecretBytes = 16;
// A link with more unsent bytes is dropped, so that a peer that stops reading cannot exhaust
// memory.
constexpr std::size_t maxQueuedBytes = 8'000'000;

} // namespace

/// Members below the I/O context are accessed only on its thread, apart from atomic ones.
class PeerLinks::Implementation
{
public:
    Implementation(PeerLinkSettings settings, PeerLinkHandlers handlers)
        : settings_(std::move(settings))
        , handlers_(std::move(handlers))
    { }

    ~Implementation() { stop(); }

    void bind(const HostPort &listen);
    void run();
    void stop();

    const std::string &address() const { return settings_.advertisedAddress; }
    PeerLinkCounters counters() const;

    template <class Action>
    void post(Action action)
    {
        asio::post(context_, std::move(action));
    }

    void connect(const std::string &address);
    void drop(const std::string &address);
    void send(const std::string &address, const std::string &message);

private:
    struct Session
    {
        bool outgoing = false;
        bool authenticated = false;
        std::string target; ///< Address that this side connected to; empty for incoming sessions.
        Hello own;
        std::optional<Hello> remote;
        std::string remoteEndpoint;
    };

    using Sessions = std::map<Handle, Session, std::owner_less<Handle>>;

    template <class Endpoint>
    void configureEndpoint(Endpoint &endpoint, bool outgoing);
    Session newSession(bool outgoing) const;
    void onOpen(const Handle &handle, bool outgoing);
    void onClose(const Handle &handle);
    void onMessage(const Handle &handle, FrameType type, const std::string &payload);
    void onHandshake(const Handle &handle, Session &session, const std::string &payload);
    void onServerHandshake(const Handle &handle, Session &session, const Json &json);
    void onClientHandshake(const Handle &handle, Session &session, const Json &json);
    void onAuthenticated(const Handle &handle, Session &session);
    void reject(const Handle &handle, const Session &session, const std::string &reason);
    bool isSameCluster(const Hello &hello) const { return hello.cluster == settings_.cluster; }
    void write(const Handle &handle, bool outgoing, const std::string &payload, FrameType type);
    void close(const Handle &handle, bool outgoing);
    std::size_t queuedBytes(const Handle &handle, bool outgoing);

    PeerLinkSettings settings_;
    const PeerLinkHandlers handlers_;
    asio::io_context context_;
    Server server_;
    Client client_;
    std::thread thread_;
    std::atomic<bool> stopped_ { false };

    Sessions sessions_;
    std::map<std::string, Handle> links_; ///< Authenticated link in use, by peer address.
    std::set<std::string> connecting_;

    std::atomic<std::uint64_t> sentMessages_ { 0 };
    std::atomic<std::uint64_t> sentBytes_ { 0 };
    std::atomic<std::uint64_t> receivedMessages_ { 0 };
    std::atomic<std::uint64_t> receivedBytes_ { 0 };
};

template <class Endpoint>
void PeerLinks::Implementation::configureEndpoint(Endpoint &endpoint, bool outgoing)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&context_);
    endpoint.set_max_message_size(settings_.maxMessageBytes);
    endpoint.set_open_handshake_timeout(handshakeTimeoutMs);
    endpoint.set_close_handshake_timeout(handshakeTimeoutMs);
    endpoint.set_socket_init_handler([](const Handle &, asio::ip::tcp::socket &socket) {
        asio::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    });
    endpoint.set_open_handler([this, outgoing](const Handle &handle) { onOpen(handle, outgoing); });
    endpoint.set_close_handler([this](const Handle &handle) { onClose(handle); });
    endpoint.set_fail_handler([this](const Handle &handle) { onClose(handle); });
    endpoint.set_message_handler(
        [this](const Handle &handle, typename Endpoint::message_ptr message) {
            onMessage(handle, message->get_opcode(), message->get_payload());
        });
}

void PeerLinks::Implementation::bind(const HostPort &listen)
{
    configureEndpoint(server_, false);
    configureEndpoint(client_, true);
    server_.set_reuse_addr(true);
    server_.listen(asio::ip::tcp::endpoint(asio::ip::make_address(listen.host), listen.port));
    server_.start_accept();
    if (settings_.advertisedAddress.empty()) {
        asio::error_code error;
        const auto endpoint = server_.get_local_endpoint(error);
        settings_.advertisedAddress = listen.host + ":" + std::to_string(endpoint.port());
    }
}

void PeerLinks::Implementation::run()
{
    client_.start_perpetual();
    thread_ = std::thread([this] { context_.run(); });
}

void PeerLinks::Implementation::stop()
{
    if (stopped_.exchange(true))
        return;
    if (thread_.joinable()) {
        post([this] {
            websocketpp::lib::error_code ignored;
            server_.stop_listening(ignored);
            client_.stop_perpetual();
            for (const auto &[handle, session] : Sessions(sessions_))
                close(handle, session.outgoing);
            context_.stop();
        });
        thread_.join();
    }
}

PeerLinkCounters PeerLinks::Implementation::counters() const
{
    return { sentMessages_, sentBytes_, receivedMessages_, receivedBytes_ };
}

PeerLinks::Implementation::Session PeerLinks::Implementation::newSession(bool outgoing) const
{
    Session session;
    session.outgoing = outgoing;
    session.own = { settings_.cluster, hexNonce(), { address(), settings_.incarnation } };
    return session;
}

void PeerLinks::Implementation::connect(const std::string &address)
{
    if (links_.count(address) != 0 || !connecting_.insert(address).second)
        return;
    websocketpp::lib::error_code error;
    const auto connection = client_.get_connection("ws://" + address + "/peer", error);
    if (error) {
        connecting_.erase(address);
        return;
    }
    Session session = newSession(true);
    session.target = address;
    session.remoteEndpoint = address;
    sessions_[connection->get_handle()] = std::move(session);
    client_.connect(connection);
}

void PeerLinks::Implementation::drop(const std::string &address)
{
    const auto found = links_.find(address);
    if (found == links_.end())
        return;
    const Handle handle = found->second;
    const auto session = sessions_.find(handle);
    const bool outgoing = session != sessions_.end() && session->second.outgoing;
    // A dead connection never responds to a close frame, so the session ends here and not on close.
    onClose(handle);
    close(handle, outgoing);
}

void PeerLinks::Implementation::send(const std::string &address, const std::string &message)
{
    const auto found = links_.find(address);
    if (found == links_.end() || message.size() > settings_.maxMessageBytes)
        return;
    const Handle handle = found->second;
    const bool outgoing = sessions_.at(handle).outgoing;
    if (queuedBytes(handle, outgoing) + message.size() > maxQueuedBytes) {
        drop(address);
        return;
    }
    write(handle, outgoing, message, websocketpp::frame::opcode::binary);
    ++sentMessages_;
    sentBytes_ += message.size();
}

void PeerLinks::Implementation::onOpen(const Handle &handle, bool outgoing)
{
    if (outgoing) {
        const auto found = sessions_.find(handle);
        if (found != sessions_.end())
            write(handle, true, toJson(found->second.own).dump(), websocketpp::frame::opcode::text);
        return;
    }
    websocketpp::lib::error_code ignored;
    const auto connection = server_.get_con_from_hdl(handle, ignored);
    Session session = newSession(false);
    if (connection) {
        session.remoteEndpoint = connection->get_remote_endpoint();
        connection->set_timer(handshakeTimeoutMs, [this, handle](auto) {
            const auto found = sessions_.find(handle);
            if (found != sessions_.end() && !found->second.authenticated)
                reject(handle, found->second, "authentication timed out");
        });
    }
    sessions_[handle] = std::move(session);
}

void PeerLinks::Implementation::onClose(const Handle &handle)
{
    const auto found = sessions_.find(handle);
    if (found == sessions_.end())
        return;
    const Session session = std::move(found->second);
    sessions_.erase(found);
    connecting_.erase(session.target);
    if (!session.authenticated)
        return;
    const PeerIdentity identity = session.remote->identity;
    const auto link = links_.find(identity.address);
    const std::owner_less<Handle> less;
    if (link == links_.end() || less(link->second, handle) || less(handle, link->second))
        return;
    links_.erase(link);
    if (handlers_.disconnected)
        handlers_.disconnected(identity);
}

void PeerLinks::Implementation::onMessage(
    const Handle &handle, FrameType type, const std::string &payload)
{
    const auto found = sessions_.find(handle);
    if (found == sessions_.end())
        return;
    Session &session = found->second;
    if (!session.authenticated) {
        onHandshake(handle, session, payload);
        return;
    }
    if (type != websocketpp::frame::opcode::binary) {
        reject(handle, session, "message is not binary");
        return;
    }
    ++receivedMessages_;
    receivedBytes_ += payload.size();
    if (handlers_.message)
        handlers_.message(session.remote->identity, payload);
}

void PeerLinks::Implementation::onHandshake(
    const Handle &handle, Session &session, const std::string &payload)
{
    constexpr std::size_t maxHandshakeBytes = 2'000;
    const Json json = payload.size() > maxHandshakeBytes ? Json(Json::value_t::discarded)
                                                         : Json::parse(payload, nullptr, false);
    if (json.is_discarded()) {
        reject(handle, session, "handshake is not valid JSON");
        return;
    }
    if (session.outgoing)
        onClientHandshake(handle, session, json);
    else
        onServerHandshake(handle, session, json);
}

void PeerLinks::Implementation::onServerHandshake(
    const Handle &handle, Session &session, const Json &json)
{
    if (!session.remote) {
        const auto hello = parseHello(json);
        if (!hello || !isSameCluster(*hello)) {
            reject(handle, session,
                hello ? "the peer belongs to another cluster"
                      : "handshake lacks a field or has an invalid one");
            return;
        }
        session.remote = hello;
        Json reply = toJson(session.own);
        reply["proof"] = proofHmac(settings_.secret, "server", *hello, session.own);
        write(handle, false, reply.dump(), websocketpp::frame::opcode::text);
        return;
    }
    const auto given = textField(json, "proof");
    const auto expected = proofHmac(settings_.secret, "client", *session.remote, session.own);
    if (!given || !equalConstantTime(*given, expected)) {
        reject(handle, session, "wrong proof of the shared secret");
        return;
    }
    onAuthenticated(handle, session);
}

void PeerLinks::Implementation::onClientHandshake(
    const Handle &handle, Session &session, const Json &json)
{
    const auto hello = parseHello(json);
    const auto given = textField(json, "proof");
    if (!hello || !given || !isSameCluster(*hello)) {
        reject(handle, session,
            hello ? "the peer belongs to another cluster or sent no proof"
                  : "handshake lacks a field or has an invalid one");
        return;
    }
    if (!equalConstantTime(*given, proofHmac(settings_.secret, "server", session.own, *hello))) {
        reject(handle, session, "wrong proof of the shared secret");
        return;
    }
    if (hello->identity.address != session.target) {
        reject(handle, session, "peer advertises a different address");
        return;
    }
    session.remote = hello;
    const Json reply { { "proof", proofHmac(settings_.secret, "client", session.own, *hello) } };
    write(handle, true, reply.dump(), websocketpp::frame::opcode::text);
    onAuthenticated(handle, session);
}

void PeerLinks::Implementation::onAuthenticated(const Handle &handle, Session &session)
{
    session.authenticated = true;
    connecting_.erase(session.target);
    const PeerIdentity identity = session.remote->identity;
    // If both sides connect simultaneously both links stay open; each side sends on its latest one.
    links_[identity.address] = handle;
    if (handlers_.connected)
        handlers_.connected(identity);
}

void PeerLinks::Implementation::reject(
    const Handle &handle, const Session &session, const std::string &reason)
{
    const bool outgoing = session.outgoing;
    const std::string remote = session.remoteEndpoint;
    onClose(handle);
    close(handle, outgoing);
    if (handlers_.rejected)
        handlers_.rejected(remote, reason);
}

void PeerLinks::Implementation::write(
    const Handle &handle, bool outgoing, const std::string &payload, FrameType type)
{
    websocketpp::lib::error_code ignored;
    if (outgoing)
        client_.send(handle, payload, type, ignored);
    else
        server_.send(handle, payload, type, ignored);
}

void PeerLinks::Implementation::close(const Handle &handle, bool outgoing)
{
    websocketpp::lib::error_code ignored;
    if (outgoing)
        client_.close(handle, websocketpp::close::status::normal, "", ignored);
    else
        server_.close(handle, websocketpp::close::status::normal, "", ignored);
}

std::size_t PeerLinks::Implementation::queuedBytes(const Handle &handle, bool outgoing)
{
    websocketpp::lib::error_code ignored;
    if (outgoing) {
        const auto connection = client_.get_con_from_hdl(handle, ignored);
        return connection ? connection->get_buffered_amount() : 0;
    }
    const auto connection = server_.get_con_from_hdl(handle, ignored);
    return connection ? connection->get_buffered_amount() : 0;
}

PeerLinks::PeerLinks(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation))
{ }

PeerLinks::~PeerLinks() = default;

std::unique_ptr<PeerLinks> PeerLinks::start(
    PeerLinkSettings settings, PeerLinkHandlers handlers, std::string *error)
{
    const auto listen = parseAddress(settings.listenAddress);
    if (!listen) {
        *error = "peer address '" + settings.listenAddress + "' is not ip:port";
        return nullptr;
    }
    if (settings.secret.size() < minSecretBytes) {
        *error = "the shared secret is shorter than 16 bytes";
        return nullptr;
    }
    auto implementation
        = std::make_unique<Implementation>(std::move(settings), std::move(handlers));
    try {
        implementation->bind(*listen);
    } catch (const std::exception &exception) {
        *error = "can't listen on " + listen->host + ":" + std::to_string(listen->port) + ": "
            + exception.what();
        return nullptr;
    }
    implementation->run();
    return std::unique_ptr<PeerLinks>(new PeerLinks(std::move(implementation)));
}

std::string PeerLinks::address() const
{
    return implementation_->address();
}

void PeerLinks::connect(const std::string &address)
{
    implementation_->post([this, address] { implementation_->connect(address); });
}

void PeerLinks::replace(const std::string &address)
{
    implementation_->post([this, address] {
        implementation_->drop(address);
        implementation_->connect(address);
    });
}

void PeerLinks::drop(const std::string &address)
{
    implementation_->post([this, address] { implementation_->drop(address); });
}

void PeerLinks::send(const std::string &address, std::string message)
{
    implementation_->post(
        [this, address, message = std::move(message)] { implementation_->send(address, message); });
}

PeerLinkCounters PeerLinks::counters() const
{
    return implementation_->counters();
}

void PeerLinks::stop()
{
    implementation_->stop();
}

} // namespace endivequay
