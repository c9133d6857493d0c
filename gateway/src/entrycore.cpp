#include "endivequay/entrynode.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <random>
#include <unistd.h>
#include <utility>

namespace endivequay {

namespace {

/// A caller whose instance fails goes to another address of the same answer, so one is not enough.
constexpr std::size_t enoughInDomain = 2;

std::map<RegionId, int> countDomains(const EntrySettings &settings)
{
    std::map<RegionId, int> counts;
    for (const auto &[domain, region] : settings.regions)
        ++counts[region];
    return counts;
}

std::uint64_t newIncarnation()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32 | device()) >> 1 | 1;
}

} // namespace

std::vector<Address> instancesFor(const DirectoryQuery &query,
    const std::optional<MemberRecord> &self, const PeerTable &peers, Instant now)
{
    std::vector<Address> here;
    std::vector<Address> near;
    std::vector<Address> far;
    const auto add = [&](const MemberRecord &member) {
        if (member.domain == query.domain)
            here.push_back(member.callers);
        (member.region == query.region ? near : far).push_back(member.callers);
    };
    if (self)
        add(*self);
    for (const auto &[id, peer] : peers.peers())
        if (!peer.leaving && !PeerTable::suspect(peer, now))
            add(peer.member);
    if (here.size() >= enoughInDomain)
        return here;
    if (!near.empty())
        return near;
    if (!far.empty())
        return far;
    // Nobody is known to be alive, not even this process for long.
    for (const auto &[id, peer] : peers.peers())
        if (!peer.leaving)
            far.push_back(peer.member.callers);
    return far;
}

EntryCore::EntryCore(EntrySettings settings, asio::io_context &loop)
    : settings_(std::move(settings))
    , loop_(loop)
    , self_ { settings_.name, settings_.domain, settings_.region, settings_.callers,
        settings_.control, settings_.heartbeats, newIncarnation(), settings_.linkMbps }
    , log_(settings_.name.value(), STDOUT_FILENO, { settings_.logLinesPerSecond })
    , peers_(settings_.name)
    , relay_(self_, peers_)
    , sources_(self_, settings_.seeds, settings_.firstStart, peers_, relay_)
    , engine_({ settings_.name, settings_.domain, settings_.region, countDomains(settings_) },
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
            { "incarnation", self_.incarnation } });
    auto gateway = Gateway::listen({ loop_, engine_, log_, metrics_, [this] { return now(); },
                                       [this] { sendTokenRequests(); } },
        headers, settings_.callers);
    if (!gateway)
        return gateway.lastReason();
    gateway_ = *std::move(gateway);
    auto heartbeats = HeartbeatSocket::open(
        loop_, settings_.heartbeats, [this](const PeerMessage &message) { received(message); },
        [this](const Error &error) {
            metrics_.count("endivequay_peer_messages_failed_total", "step", error.step);
            log_.write(EventId::PeerMessageRejected, error.step, now(),
                { { "step", error.step }, { "peer", error.peer }, { "reason", error.reason } });
        });
    if (!heartbeats)
        return heartbeats.lastReason();
    heartbeats_ = *std::move(heartbeats);
    return Done {};
}

void EntryCore::reportChanges(const ControlState &state, Instant now)
{
    const auto draining = static_cast<std::size_t>(
        std::ranges::count_if(state.upstreams, &UpstreamEntry::draining));
    if (state.upstreams.size() != upstreamCount_ || draining != drainingCount_)
        log_.write(EventId::UpstreamsChanged, "changed", now,
            { { "upstreams", state.upstreams.size() }, { "draining", draining },
                { "state", replica_.asOf().value() } });
    upstreamCount_ = state.upstreams.size();
    drainingCount_ = draining;
    if (state.evacuated != evacuated_) {
        std::string names;
        for (const FailureDomainId &domain : state.evacuated)
            names += (names.empty() ? "" : " ") + domain.value();
        log_.write(EventId::EvacuationChanged, names, now,
            { { "domains", names }, { "state", replica_.asOf().value() } });
    }
    evacuated_ = state.evacuated;
    for (const Error &error : state.rejected)
        log_.write(EventId::EntryRejected, error.reason, now,
            { { "step", error.step }, { "entry", error.peer }, { "reason", error.reason } });
}

void EntryCore::adopt(const ControlState &state)
{
    const Instant at = now();
    reportChanges(state, at);
    // Before the table, so that the first division of the limits counts all members.
    peers_.setRegistered(state.members, at);
    notePeerChanges(at);
    engine_.setPeers(peers_.views(), at);
    const RoutingTable *current = engine_.table();
    if (state.table && (current == nullptr || state.table->version() > current->version())) {
        log_.write(EventId::ConfigApplied, {}, at,
            { { "config", state.table->version().value() },
                { "routes", state.table->document().routes.size() },
                { "teams", state.table->document().teams.size() },
                { "state", replica_.asOf().value() } });
        gateway_->setLimits(state.table->document().callers);
        engine_.setTable(state.table, at);
    }
    engine_.setUpstreams(state.upstreams, state.evacuated, at);
    // Peers that know at once that this instance is back divide the limits with it.
    if (std::exchange(introduced_, true))
        return;
    beatAt_ = {};
    regularBeatAt_ = {};
}

HttpMessage EntryCore::stateFor(const HttpMessage &request) const
{
    HttpMessage response;
    const std::string after = request.query("after").value_or("0");
    std::int64_t revision = 0;
    const auto parsed = std::from_chars(after.data(), after.data() + after.size(), revision);
    response.status = parsed.ec == std::errc {} && replica_.loaded() ? 200 : 503;
    if (response.status == 200)
        response.body = encodeUpdate(replica_.updates(Revision(revision)), now());
    return response;
}

HttpMessage EntryCore::metricsPage() const
{
    HttpMessage response;
    response.status = 200;
    response.fields.push_back({ "Content-Type", "text/plain; version=0.0.4" });
    TrafficMetrics page = metrics_;
    page.set("endivequay_config_version",
        engine_.table() == nullptr ? 0 : static_cast<double>(engine_.table()->version().value()));
    page.set("endivequay_state_revision", static_cast<double>(replica_.asOf().value()));
    page.set("endivequay_open_requests", static_cast<double>(engine_.openRequests()));
    page.set("endivequay_connections", static_cast<double>(gateway_->connections()));
    page.set("endivequay_upstream_connections_opened",
        static_cast<double>(gateway_->upstreamConnections()));
    page.set("endivequay_peers", static_cast<double>(peers_.peers().size()));
    page.set("endivequay_log_lines_suppressed", static_cast<double>(log_.suppressed()));
    response.body = page.render();
    return response;
}

} // namespace endivequay
