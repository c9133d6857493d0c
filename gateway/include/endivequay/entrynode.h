#ifndef ENDIVEQUAY_ENTRYNODE_H
#define ENDIVEQUAY_ENTRYNODE_H

#include "endivequay/directory.h"
#include "endivequay/entrysettings.h"
#include "endivequay/fleetrelay.h"
#include "endivequay/gateway.h"
#include "endivequay/loopmonitor.h"
#include "endivequay/statesources.h"
#include "endivequay/storefollower.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <exception>
#include <memory>
#include <optional>

namespace endivequay {

/// Protocol-specific parts of an entry instance: header names, codecs and the store client.
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
    LoopMonitor &loopMonitor() { return loopMonitor_; }
    ByteBudget &budget() { return budget_; }
    EdgeClient &stateClient() { return stateClient_; }

    /// Limits of the servers beside the one for callers' requests.
    ServerLimits otherServerLimits() const;
    /// Applies a newly decoded control state to the peer table and the request engine.
    void applyState(const ControlState &state);
    /// Whether this instance reads the store itself, or may have to. In a large fleet one instance
    /// per region does, and the others get changes from it.
    ReaderElection::Role storeRole();
    /// Long-poll time of the store's watches; none for the store's own limit.
    std::optional<Interval> storePollTime() const;
    /// Records that the store answered a call of this instance.
    void storeAnswered() { election_.storeAnswered(now()); }
    /// Records that this instance, as a reader, has confirmed the state. In a large fleet the
    /// others of the region wait for that.
    void stateConfirmed(Instant at);
    /// If a heartbeat is due, expires peers, passes peer reports to the engine and sends the
    /// heartbeat. \a stateAge is the time since the store confirmed the state, if this instance
    /// reads it.
    void sendHeartbeat(std::optional<Interval> stateAge);
    /// Schedules an early heartbeat that announces the state's revision: to the whole region if it
    /// is \a fromStore, to the failure domain if this instance is a relay.
    void announceState(bool fromStore);
    /// Requests changes that the store has not delivered from a peer.
    void requestStateFromPeers(const std::function<void()> &changed);
    /// Addresses for a caller that looks up the directory.
    std::vector<Address> instancesFor(const DirectoryQuery &query) const;
    /// Response to a peer's state request.
    HttpMessage stateResponse(const HttpMessage &request) const;
    HttpMessage metricsResponse() const;

    bool inLargeFleet() const { return relay_.isLarge(); }
    bool stopping() const { return stopping_; }
    /// Announces with the following heartbeats that this instance is leaving.
    void beginShutdown()
    {
        stopping_ = true;
        nextHeartbeatAt_ = {};
    }

private:
    void handleMessage(const PeerMessage &message);
    void handle(const PeerHeartbeat &heartbeat);
    void peerStateSeen(const StorePosition &position, Instant now);
    void handle(const TokenMessage &message);
    void handle(const DomainDigest &digest);
    void sendTokenRequests();
    void sendTo(const std::vector<Address> &addresses, const std::string &bytes);
    void sendDirect(const PeerHeartbeat &heartbeat, bool regular);
    void sendDigest(const PeerHeartbeat &heartbeat);
    void sendThroughRelays(PeerHeartbeat heartbeat, bool regular);
    void logPeerChanges(Instant now);
    StateSources::Position position() const;
    void requestState(const Address &source, const std::function<void()> &changed);
    void handleStateResponse(const Address &source, Instant askedAt, const CallResult &end,
        const std::function<void()> &changed);
    void logStateChanges(const ControlState &state, Instant now);

    EntrySettings settings_;
    ByteBudget budget_; ///< Before the connections, which give their part back.
    asio::io_context &loop_;
    SteadyClock clock_;
    MemberRecord self_;
    DecisionLog log_;
    Replica replica_;
    PeerTable peers_;
    FleetRelay relay_;
    ReaderElection election_;
    StateSources sources_;
    RequestEngine engine_;
    TrafficMetrics metrics_;
    LoopMonitor loopMonitor_;
    EdgeClient stateClient_;
    std::unique_ptr<Gateway> gateway_;
    std::unique_ptr<PeerSocket> peerSocket_;
    std::map<InstanceId, bool> peerStates_; ///< Last logged peers; true: suspected.
    std::set<FailureDomainId> evacuated_;
    std::size_t upstreamCount_ = 0;
    std::size_t drainingCount_ = 0;
    Instant nextHeartbeatAt_;
    Instant nextRegularHeartbeatAt_;
    Instant lastHeartbeatSentAt_;
    std::uint64_t regularHeartbeatCount_ = 0;
    DemandReport reportedDemand_; ///< Demand in the latest heartbeat.
    Instant startedAt_;
    bool firstStateApplied_ = false; ///< The first state triggers an immediate heartbeat.
    bool announceToRegion_ = false; ///< The next heartbeat goes to the whole region.
    bool stopping_ = false;
};

/// An entry instance: directory, readiness, request path and control state on one event loop.
template <EdgeProtocol Edge>
class EntryNode
{
public:
    /// Timer interval while requests are open: well under the tolerance of a route's timeout.
    static constexpr std::chrono::milliseconds busyTickInterval { 20 };
    static constexpr std::chrono::milliseconds idleTickInterval { 50 };
    /// The same in a large fleet, where most instances have no open requests.
    static constexpr std::chrono::milliseconds idleTickIntervalLargeFleet { 100 };
    /// Interval between two searches for idle connections of lookups and the like.
    static constexpr Interval sweepInterval = std::chrono::seconds(1);
    /// A stopping instance accepts requests for this long: directory responses are cached for two
    /// seconds, and a request accepted later might not finish before the process is killed.
    static constexpr Interval drainDuration = std::chrono::milliseconds(2800);
    /// A stopping instance aborts open requests this long before it would be killed.
    static constexpr Interval stopMargin = std::chrono::milliseconds(400);

    static Result<std::unique_ptr<EntryNode>> start(
        asio::io_context &loop, EntrySettings settings, const std::function<void()> &reload)
    {
        std::unique_ptr<EntryNode> node(new EntryNode(loop, std::move(settings)));
        node->reload_ = reload;
        auto listening = node->listen();
        if (!listening)
            return listening.lastReason();
        node->waitForSignal();
        node->onTick();
        return node;
    }

    /// Records an exception that a handler of the event loop threw. The loop continues.
    void handlerFailed(const std::exception &error)
    {
        core_.metrics().count("endivequay_handler_failures_total", "cause", "exception");
        core_.log().write(
            EventId::HandlerFailed, error.what(), core_.now(), { { "reason", error.what() } });
    }

private:
    EntryNode(asio::io_context &loop, EntrySettings settings)
        : loop_(loop)
        , core_(std::move(settings), loop)
        , edge_(core_.settings())
        , store_(loop, core_.settings(), core_.metrics(), [this] { return core_.now(); })
        , follower_(
              store_, core_.replica(), core_.log(), core_.self(), core_.settings().leaseTime,
              [this] { return core_.now(); }, [this] { core_.storeAnswered(); },
              [this] { stateChanged(true); })
        , timer_(loop)
        , signals_(loop, SIGTERM, SIGINT, SIGHUP)
    { }

    Result<Done> listen()
    {
        auto listening = core_.listen(edge_.headers());
        if (!listening)
            return listening;
        const EntrySettings &settings = core_.settings();
        // Small deployments may serve several endpoints on one address.
        for (const Address &address : std::set<Address> {
                 settings.directory, settings.ready, settings.control, settings.metrics }) {
            if (address.value().empty())
                continue;
            auto server = EdgeServer::listen(loop_, address, core_.otherServerLimits(),
                { [this, index = servers_.size()](ExchangeId id, HttpMessage &&request) {
                     servers_[index]->respond(id, handleRequest(request));
                 },
                    [](ExchangeId) {}, [](const HttpMessage &) { return true; },
                    [this] { return core_.now(); },
                    [this](std::string_view cause) {
                        core_.metrics().count("endivequay_rejected_total", "cause", cause);
                    },
                    &core_.budget() });
            if (!server)
                return server.lastReason();
            servers_.push_back(*std::move(server));
        }
        return Done {};
    }

    HttpMessage handleRequest(const HttpMessage &request)
    {
        HttpMessage response;
        if (const auto query = edge_.parseDirectoryQuery(request)) {
            return edge_.directoryResponse(
                core_.instancesFor(*query), core_.settings().lookupLifetime);
        }
        if (edge_.isReadyQuery(request)) {
            const bool ready = !core_.stopping() && core_.engine().table() != nullptr;
            response.status = ready ? 200 : 503;
            return response;
        }
        if (request.path() == "/v1/state")
            return core_.stateResponse(request);
        if (request.path() == "/metrics") {
            core_.metrics().set(
                "endivequay_store_epoch", static_cast<double>(store_.epoch().value()));
            return core_.metricsResponse();
        }
        response.status = 404;
        return response;
    }

    /// \a fromStore is false if a peer delivered the change.
    void stateChanged(bool fromStore)
    {
        core_.applyState(edge_.decode(core_.replica(), core_.now()));
        core_.announceState(fromStore || follower_.reads());
    }

    void onTick()
    {
        try {
            if (!tick())
                return;
        } catch (const std::exception &error) {
            handlerFailed(error);
        }
        const Interval idle = core_.inLargeFleet() && core_.replica().loaded()
            ? idleTickIntervalLargeFleet
            : idleTickInterval;
        const Interval interval = core_.gateway().openRequests() > 0 ? busyTickInterval : idle;
        tickDueAt_ = core_.now() + interval;
        timer_.expires_after(interval);
        timer_.async_wait([this](const asio::error_code &error) {
            if (!error)
                onTick();
        });
    }

    /// Returns false once the instance has stopped.
    bool tick()
    {
        const Instant now = core_.now();
        core_.loopMonitor().timerExpired(tickDueAt_, now);
        core_.gateway().advance(now);
        if (now >= nextSweepAt_) {
            nextSweepAt_ = now + sweepInterval;
            std::ranges::for_each(servers_, [&](const auto &server) { server->advance(now); });
        }
        store_.advance(now);
        follower_.advance(now, core_.storeRole(), core_.storePollTime());
        if (const auto confirmedAt = follower_.takeConfirmation())
            core_.stateConfirmed(*confirmedAt);
        core_.sendHeartbeat(follower_.stateAge(now));
        core_.requestStateFromPeers([this] { stateChanged(false); });
        core_.stateClient().advance(now);
        core_.log().flush(now);
        return !core_.stopping() || !stopWhenDrained(now);
    }

    void waitForSignal()
    {
        signals_.async_wait([this](const asio::error_code &error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP) {
                core_.log().write(EventId::SettingsReloaded, "signal", core_.now(), {});
                reload_();
            } else if (!core_.stopping()) {
                beginDraining();
            }
            waitForSignal();
        });
    }

    void beginDraining()
    {
        const Instant now = core_.now();
        core_.log().write(EventId::ProcessStopping, "signal", now,
            { { "open_requests", core_.gateway().openRequests() } });
        core_.beginShutdown();
        forcedStopAt_ = now + core_.settings().shutdownGracePeriod - stopMargin;
        drainEndsAt_ = now + drainDuration;
        core_.engine().stopBy(forcedStopAt_);
        follower_.stop();
        core_.gateway().startDraining();
        core_.sendHeartbeat(std::nullopt);
    }

    /// Stops the event loop once draining is over; returns whether it did.
    bool stopWhenDrained(Instant now)
    {
        if (now < drainEndsAt_)
            return false;
        core_.engine().stopAccepting();
        core_.gateway().closeIdle();
        if (!core_.gateway().isIdle() && now < forcedStopAt_)
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
    StoreFollower<typename Edge::Store> follower_;
    std::vector<std::unique_ptr<EdgeServer>> servers_;
    asio::steady_timer timer_;
    asio::signal_set signals_;
    std::function<void()> reload_;
    Instant nextSweepAt_;
    Instant tickDueAt_; ///< Epoch before the first tick.
    Instant forcedStopAt_;
    Instant drainEndsAt_;
};

} // namespace endivequay

#endif
