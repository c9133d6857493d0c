#ifndef ENDIVEQUAY_ENTRYNODE_H
#define ENDIVEQUAY_ENTRYNODE_H

#include "endivequay/entrysettings.h"
#include "endivequay/fleetrelay.h"
#include "endivequay/gateway.h"
#include "endivequay/statefeed.h"
#include "endivequay/statesources.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace endivequay {

/// A question to the directory: where the caller is.
struct DirectoryQuery
{
    RegionId region;
    FailureDomainId domain;
};

/// Instances to name to a caller: those of its domain that are alive if there are several, else
/// those of its region, else all. \a self is left out while it is stopping.
std::vector<Address> instancesFor(const DirectoryQuery &query,
    const std::optional<MemberRecord> &self, const PeerTable &peers, Instant now);

/// What an edge protocol adds to the entry instance: names, codecs and the store.
template <class T>
concept EdgeProtocol = ControlStore<typename T::Store> && requires(T edge, const Replica &replica,
    const HttpMessage &request, std::vector<Address> addresses, Instant now, asio::io_context &loop,
    const EntrySettings &settings)
{
    {
        edge.headers()
        } -> std::convertible_to<EdgeHeaders>;
    {
        edge.decode(replica, now)
        } -> std::convertible_to<ControlState>;
    {
        edge.parseDirectoryQuery(request)
        } -> std::convertible_to<std::optional<DirectoryQuery>>;
    {
        edge.directoryResponse(addresses, Interval {})
        } -> std::convertible_to<HttpMessage>;
    {
        edge.isReadyQuery(request)
        } -> std::convertible_to<bool>;
};

/// The parts of an entry instance that do not depend on the edge protocol.
class EntryCore
{
public:
    EntryCore(EntrySettings settings, asio::io_context &loop);

    Result<Done> listen(const EdgeHeaders &headers);
    Instant now() const { return clock_.now(); }

    const EntrySettings &settings() const { return settings_; }
    const MemberRecord &self() const { return self_; }
    DecisionLog &log() { return log_; }
    Replica &replica() { return replica_; }
    PeerTable &peers() { return peers_; }
    RequestEngine &engine() { return engine_; }
    Gateway &gateway() { return *gateway_; }
    TrafficMetrics &metrics() { return metrics_; }
    EdgeClient &stateClient() { return stateClient_; }

    /// Adopts a newly decoded state.
    void adopt(const ControlState &state);
    /// Whether this instance follows the store itself. In a large fleet one instance of each region
    /// does, and the others get the changes from it; \a reading is the present answer.
    bool shouldRead(bool reading) const;
    /// Sends heartbeats and adopts the peers' reports when that is due. \a stateAge is the time
    /// since the store answered, if this instance follows it.
    void beat(std::optional<Interval> stateAge);
    /// Lets the peers of the region know soon that there is news, if this instance follows the
    /// store
    /// (\a reading). In a large fleet relays tell the members of their domain.
    void announceNews(bool reading);
    /// Asks a peer for changes that this instance has not got from the store.
    void askPeers(const std::function<void()> &changed);
    /// State for a peer.
    HttpMessage stateFor(const HttpMessage &request) const;
    HttpMessage metricsPage() const;

    bool stopping() const { return stopping_; }
    /// From now on peers hear that this instance leaves.
    void startStopping()
    {
        stopping_ = true;
        beatAt_ = {};
    }

private:
    void received(const PeerMessage &message);
    void heard(const PeerBeat &heartbeat);
    void heard(const TokenMessage &message);
    void heard(const DomainDigest &digest);
    void sendTokenRequests();
    void sendTo(const std::vector<Address> &addresses, const std::string &bytes);
    void sendDirect(const PeerBeat &heartbeat, bool regular);
    void sendThroughRelays(PeerBeat heartbeat, bool regular);
    void notePeerChanges(Instant now);
    StateSources::Position position() const;
    void askForState(const Address &source, const std::function<void()> &changed);
    void stateAnswered(const Address &source, Instant askedAt, const CallEnd &end,
        const std::function<void()> &changed);
    void reportChanges(const ControlState &state, Instant now);

    EntrySettings settings_;
    asio::io_context &loop_;
    SteadyClock clock_;
    MemberRecord self_;
    DecisionLog log_;
    Replica replica_;
    PeerTable peers_;
    FleetRelay relay_;
    StateSources sources_;
    RequestEngine engine_;
    TrafficMetrics metrics_;
    EdgeClient stateClient_;
    std::unique_ptr<Gateway> gateway_;
    std::unique_ptr<HeartbeatSocket> heartbeats_;
    std::map<InstanceId, bool> peerStates_; ///< Known peers; whether they were suspect.
    std::set<FailureDomainId> evacuated_;
    std::size_t upstreamCount_ = 0;
    std::size_t drainingCount_ = 0;
    Instant beatAt_;
    Instant regularBeatAt_;
    Instant lastBeatAt_;
    std::uint64_t beats_ = 0;
    Instant startedAt_;
    bool introduced_ = false; ///< Peers hear of this instance with its first state.
    bool newsForRegion_ = false; ///< The next beat goes to the whole region.
    bool stopping_ = false;
};

/// An entry instance: directory, readiness, request path and control state on one event loop.
template <EdgeProtocol Edge>
class EntryNode
{
public:
    /// Time between two looks at deadlines. Well under the tolerance of a route's timeout.
    static constexpr std::chrono::milliseconds busyTick { 20 };
    static constexpr std::chrono::milliseconds idleTick { 50 };
    /// A stopping instance takes requests for this long: look-ups live two seconds, and a request
    /// that is taken later might not end before the kill.
    static constexpr Interval drainTime = std::chrono::milliseconds(2800);
    /// Time before the kill at which a stopping instance ends what is left.
    static constexpr Interval stopMargin = std::chrono::milliseconds(400);

    static Result<std::unique_ptr<EntryNode>> start(
        asio::io_context &loop, EntrySettings settings, const std::function<void()> &reload)
    {
        std::unique_ptr<EntryNode> node(new EntryNode(loop, std::move(settings)));
        node->reload_ = reload;
        auto listening = node->listen();
        if (!listening)
            return listening.lastReason();
        node->awaitSignals();
        node->tick();
        return node;
    }

private:
    EntryNode(asio::io_context &loop, EntrySettings settings)
        : loop_(loop)
        , core_(std::move(settings), loop)
        , edge_(core_.settings())
        , store_(loop, core_.settings(), core_.metrics(), [this] { return core_.now(); })
        , feed_(
              store_, core_.replica(), core_.log(), [this] { return core_.now(); },
              [this] { stateChanged(); })
        , registration_(
              store_, core_.self(), core_.settings().leaseTime, [this] { return core_.now(); },
              core_.log(),
              [this](const Status &status) {
                  if (status)
                      feed_.storeAnswered(core_.now());
                  else
                      feed_.storeFailed(status.lastReason(), core_.now());
              })
        , timer_(loop)
        , signals_(loop, SIGTERM, SIGINT, SIGHUP)
    { }

    Result<Done> listen()
    {
        auto listening = core_.listen(edge_.headers());
        if (!listening)
            return listening;
        const EntrySettings &settings = core_.settings();
        // Addresses may coincide in small deployments.
        for (const Address &address : std::set<Address> {
                 settings.directory, settings.ready, settings.control, settings.metrics }) {
            if (address.value().empty())
                continue;
            auto server = EdgeServer::listen(loop_, address, {},
                { [this, index = servers_.size()](ExchangeId id, HttpMessage &&request) {
                     servers_[index]->respond(id, service(request));
                 },
                    [](ExchangeId) {}, [](const HttpMessage &) { return true; },
                    [this] { return core_.now(); } });
            if (!server)
                return server.lastReason();
            servers_.push_back(*std::move(server));
        }
        return Done {};
    }

    HttpMessage service(const HttpMessage &request)
    {
        HttpMessage response;
        if (const auto query = edge_.parseDirectoryQuery(request)) {
            const auto self
                = core_.stopping() ? std::nullopt : std::optional<MemberRecord>(core_.self());
            return edge_.directoryResponse(instancesFor(*query, self, core_.peers(), core_.now()),
                core_.settings().lookupLifetime);
        }
        if (edge_.isReadyQuery(request)) {
            const bool ready = !core_.stopping() && core_.engine().table() != nullptr;
            response.status = ready ? 200 : 503;
            return response;
        }
        if (request.path() == "/v1/state")
            return core_.stateFor(request);
        if (request.path() == "/metrics")
            return core_.metricsPage();
        response.status = 404;
        return response;
    }

    void stateChanged()
    {
        core_.adopt(edge_.decode(core_.replica(), core_.now()));
        core_.announceNews(reading_);
    }

    void tick()
    {
        const Instant now = core_.now();
        core_.gateway().advance(now);
        store_.advance(now);
        reading_ = core_.shouldRead(reading_);
        if (reading_)
            feed_.advance(now);
        registration_.advance(now);
        core_.beat(reading_ ? std::optional(now - feed_.answeredAt()) : std::nullopt);
        core_.askPeers([this] { stateChanged(); });
        core_.stateClient().advance(now);
        core_.log().flush(now);
        if (core_.stopping() && stopIfDone(now))
            return;
        timer_.expires_after(core_.gateway().openRequests() > 0 ? busyTick : idleTick);
        timer_.async_wait([this](const asio::error_code &error) {
            if (!error)
                tick();
        });
    }

    void awaitSignals()
    {
        signals_.async_wait([this](const asio::error_code &error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP) {
                core_.log().write(EventId::SettingsReloaded, "signal", core_.now(), {});
                reload_();
            } else if (!core_.stopping()) {
                beginStop();
            }
            awaitSignals();
        });
    }

    void beginStop()
    {
        const Instant now = core_.now();
        core_.log().write(EventId::ProcessStopping, "signal", now,
            { { "open_requests", core_.gateway().openRequests() } });
        core_.startStopping();
        stopAt_ = now + core_.settings().grace - stopMargin;
        drainedAt_ = now + drainTime;
        registration_.stop();
        core_.gateway().startDraining();
        core_.beat(std::nullopt);
    }

    /// Whether the process ended its work.
    bool stopIfDone(Instant now)
    {
        if (now < drainedAt_)
            return false;
        core_.engine().stopAccepting();
        core_.gateway().closeIdle();
        if (core_.gateway().openRequests() > 0 && now < stopAt_)
            return false;
        core_.log().write(EventId::ProcessStopped, "signal", now,
            { { "cut_requests", core_.gateway().openRequests() } });
        core_.log().flush(now);
        loop_.stop();
        return true;
    }

    asio::io_context &loop_;
    EntryCore core_;
    Edge edge_;
    typename Edge::Store store_;
    StateFeed<typename Edge::Store> feed_;
    Registration<typename Edge::Store> registration_;
    std::vector<std::unique_ptr<EdgeServer>> servers_;
    asio::steady_timer timer_;
    asio::signal_set signals_;
    std::function<void()> reload_;
    bool reading_ = false;
    Instant stopAt_;
    Instant drainedAt_;
};

} // namespace endivequay

#endif
