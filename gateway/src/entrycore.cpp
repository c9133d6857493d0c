#include "endivequay/entrynode.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <random>
#include <unistd.h>
#include <utility>

namespace endivequay {

namespace {

std::map<RegionId, int> domainsPerRegion(const EntrySettings &settings)
{
    std::map<RegionId, int> counts;
    for (const auto &[domain, region] : settings.regions)
        ++counts[region];
    return counts;
}

/// Part of the machine's memory for unfinished responses of upstreams.
constexpr std::size_t responseMemoryPart = 8;

constexpr std::size_t reservedDescriptors = 200; ///< For files.
/// Callers' requests may use half of the other descriptors, and each of the servers for lookups,
/// readiness, state and metrics a sixteenth; the rest is for upstreams and the store.
constexpr std::size_t requestDescriptorsPart = 2;
constexpr std::size_t otherDescriptorsPart = 16;

/// Limit of the connections of a server that may use one of \a parts parts; 0: none.
std::size_t connectionLimit(std::size_t descriptors, std::size_t parts)
{
    return descriptors > 2 * reservedDescriptors ? (descriptors - reservedDescriptors) / parts : 0;
}

/// Value of a query parameter that is a whole number; 0 if it is missing, none if it is malformed.
std::optional<std::int64_t> numberParameter(const HttpMessage &request, std::string_view name)
{
    const std::string text = request.query(name).value_or("0");
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    const bool valid = parsed.ec == std::errc {} && parsed.ptr == end && value >= 0;
    return valid ? std::optional(value) : std::nullopt;
}

std::uint64_t generateIncarnation()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32 | device()) >> 1 | 1;
}

} // namespace

EntryCore::EntryCore(EntrySettings settings, asio::io_context &loop)
    : settings_(std::move(settings))
    , budget_(ByteBudget::limitForMemory(settings_.memoryBytes))
    , loop_(loop)
    , self_ { settings_.name, settings_.domain, settings_.region, settings_.callers,
        settings_.control, settings_.heartbeats, generateIncarnation(), settings_.linkMbps,
        settings_.cores }
    , log_(settings_.name.value(), STDOUT_FILENO, { settings_.logLinesPerSecond })
    , peers_(settings_.name)
    , relay_(self_, peers_)
    , election_(self_, peers_, settings_.changeTime)
    , sources_(self_, settings_.seeds, settings_.firstStart, peers_, relay_)
    , engine_({ settings_.name, settings_.domain, settings_.region, domainsPerRegion(settings_),
                  { settings_.cores, settings_.linkMbps } },
          settings_.budget, settings_.quota)
    , stateClient_(loop, {}, [this] { return now(); })
    , startedAt_(now())
{
    log_.setEnabled(settings_.logLinesPerSecond > 0);
}

Result<Done> EntryCore::listen(const EdgeHeaders &headers)
{
    log_.write(EventId::ProcessStarted, "start", now(),
        { { "domain", settings_.domain.value() }, { "region", settings_.region.value() },
            { "callers", settings_.callers.value() }, { "store", settings_.store.value() },
            { "incarnation", self_.incarnation },
            { "grace_s", toSeconds(settings_.shutdownGracePeriod) },
            { "retry_ratio", settings_.budget.ratio }, { "retry_slack", settings_.budget.slack },
            { "limit_slack", settings_.quota.slack }, { "cores", settings_.cores } });
    auto gateway = Gateway::listen(
        { loop_, engine_, log_, metrics_, [this] { return now(); }, [this] { sendTokenRequests(); },
            &budget_, connectionLimit(settings_.descriptors, requestDescriptorsPart),
            settings_.memoryBytes / responseMemoryPart },
        headers, settings_.callers);
    if (!gateway)
        return gateway.lastReason();
    gateway_ = *std::move(gateway);
    auto socket = PeerSocket::open(
        loop_, settings_.heartbeats, [this](const PeerMessage &message) { handleMessage(message); },
        [this](const Error &error) {
            metrics_.count("endivequay_peer_messages_failed_total", "step", error.step);
            log_.write(EventId::PeerMessageRejected, error.step, now(),
                { { "step", error.step }, { "peer", error.peer }, { "reason", error.reason } });
        });
    if (!socket)
        return socket.lastReason();
    peerSocket_ = *std::move(socket);
    return Done {};
}

ServerLimits EntryCore::otherServerLimits() const
{
    ServerLimits limits;
    limits.maxConnections = connectionLimit(settings_.descriptors, otherDescriptorsPart);
    return limits;
}

void EntryCore::logStateChanges(const ControlState &state, Instant now)
{
    const auto draining = static_cast<std::size_t>(
        std::ranges::count_if(state.upstreams, &UpstreamEntry::draining));
    if (state.upstreams.size() != upstreamCount_ || draining != drainingCount_)
        log_.write(EventId::UpstreamsChanged, "changed", now,
            { { "upstreams", state.upstreams.size() }, { "draining", draining },
                { "state", replica_.asOf().revision.value() } });
    upstreamCount_ = state.upstreams.size();
    drainingCount_ = draining;
    if (state.evacuated != evacuated_) {
        std::string names;
        for (const FailureDomainId &domain : state.evacuated)
            names += (names.empty() ? "" : " ") + domain.value();
        log_.write(EventId::EvacuationChanged, names, now,
            { { "domains", names }, { "state", replica_.asOf().revision.value() } });
    }
    evacuated_ = state.evacuated;
    for (const Error &error : state.rejected)
        log_.write(EventId::EntryRejected, error.reason, now,
            { { "step", error.step }, { "entry", error.peer }, { "reason", error.reason } });
}

void EntryCore::applyState(const ControlState &state)
{
    const Instant at = now();
    logStateChanges(state, at);
    // Set the peers before the table, so that the first division of the limits counts all members.
    peers_.setRegistered(state.members, at);
    logPeerChanges(at);
    engine_.setPeers(peers_.views(), at);
    const RoutingTable *current = engine_.table();
    if (state.table && (current == nullptr || state.table->version() > current->version())) {
        log_.write(EventId::ConfigApplied, {}, at,
            { { "config", state.table->version().value() },
                { "routes", state.table->document().routes.size() },
                { "teams", state.table->document().teams.size() },
                { "state", replica_.asOf().revision.value() } });
        gateway_->setLimits(state.table->document().callers);
        engine_.setTable(state.table, at);
    }
    engine_.setUpstreams(state.upstreams, state.evacuated, at);
    // Announce the instance at once, so that peers include it in their division of the limits.
    if (std::exchange(firstStateApplied_, true))
        return;
    election_.stateConfirmed(at);
    nextHeartbeatAt_ = {};
    nextRegularHeartbeatAt_ = {};
}

std::vector<Address> EntryCore::instancesFor(const DirectoryQuery &query) const
{
    const Instant at = now();
    std::optional<DirectorySelf> self;
    if (!stopping_)
        self = DirectorySelf { self_, loopMonitor_.overloaded(at) };
    return endivequay::instancesFor(query, self, peers_, at);
}

HttpMessage EntryCore::stateResponse(const HttpMessage &request) const
{
    HttpMessage response;
    const auto epoch = numberParameter(request, "epoch");
    const auto revision = numberParameter(request, "after");
    response.status = !epoch || !revision ? 400 : replica_.loaded() ? 200 : 503;
    if (response.status == 200)
        response.body = encodeUpdate(
            replica_.updates(StorePosition(Revision(*revision), StoreEpoch(*epoch))), now());
    return response;
}

HttpMessage EntryCore::metricsResponse() const
{
    HttpMessage response;
    response.status = 200;
    response.fields.push_back({ "Content-Type", "text/plain; version=0.0.4" });
    TrafficMetrics snapshot = metrics_;
    snapshot.set("endivequay_config_version",
        engine_.table() == nullptr ? 0 : static_cast<double>(engine_.table()->version().value()));
    snapshot.set(
        "endivequay_state_revision", static_cast<double>(replica_.asOf().revision.value()));
    snapshot.set("endivequay_open_requests", static_cast<double>(engine_.openRequests()));
    snapshot.set("endivequay_message_bytes", static_cast<double>(budget_.used()));
    snapshot.set("endivequay_connections", static_cast<double>(gateway_->connectionCount()));
    snapshot.set("endivequay_upstream_connections_opened",
        static_cast<double>(gateway_->openedUpstreamConnections()));
    snapshot.set("endivequay_loop_delay_seconds", toSeconds(loopMonitor_.meanDelay()));
    snapshot.set("endivequay_peers", static_cast<double>(peers_.peers().size()));
    snapshot.set("endivequay_log_lines_suppressed", static_cast<double>(log_.suppressed()));
    response.body = snapshot.render();
    return response;
}

} // namespace endivequay
