#include "admin.h"

#include "endivequay/digest.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endivequay {

namespace {

using Json = nlohmann::json;

Json toMilliseconds(std::optional<Interval> age)
{
    if (!age)
        return nullptr;
    return std::chrono::duration_cast<std::chrono::milliseconds>(*age).count();
}

std::string_view stateName(const Member &member)
{
    if (member.state == MemberState::Leaving)
        return "leaving";
    if (!member.heardAt)
        return "listed";
    return member.suspect ? "suspect" : "serving";
}

Json memberList(Node &node)
{
    const std::lock_guard lock(node.tables().members.mutex);
    Json members = Json::array();
    for (const Member *member : node.tables().members.view.members())
        members.push_back({ { "address", member->identity.address.value() },
            { "failure_domain", member->identity.domain.value() }, { "state", stateName(*member) },
            { "revision", member->revision.value() } });
    return members;
}

Json upstreamList(const ConfigView &view, Admission &admission)
{
    Json upstreams = Json::array();
    for (const auto &[id, status] : admission.status()) {
        const Upstream *upstream = view.configuration->upstream(id);
        if (upstream == nullptr)
            continue;
        const std::string_view state = upstream->state == UpstreamState::Draining ? "draining"
            : status.ejected                                                      ? "ejected"
                                                                                  : "active";
        upstreams.push_back({ { "id", id.value() }, { "service", upstream->service.value() },
            { "state", state }, { "in_flight", status.inFlight },
            { "slots", upstream->slots.value() }, { "usable_slots", status.usableSlots } });
    }
    return upstreams;
}

Json teamList(const ConfigView &view, Node &node)
{
    const Instant now = SteadyClock().now();
    const std::lock_guard lock(node.tables().shares.mutex);
    Json teams = Json::array();
    for (const Team &team : view.configuration->teams()) {
        const RateUsage usage
            = node.tables().shares.local.rates().usage(teamResource(team.id), now);
        constexpr double unit = 1e6;
        teams.push_back({ { "id", team.id.value() },
            { "rate", static_cast<double>(usage.effective.rate) / unit },
            { "tokens", static_cast<double>(usage.tokens) / unit }, { "demand", usage.demand } });
    }
    return teams;
}

} // namespace

HttpReply statusReply(Node &node, Admission &admission)
{
    const MemberIdentity &self = node.identity();
    const auto view = node.view();
    const Instant now = SteadyClock().now();
    Json status { { "instance", self.address.value() },
        { "incarnation", fmt::format("{:016x}", self.incarnation.value()) },
        { "address", self.address.value() }, { "failure_domain", self.domain.value() },
        { "state", node.isLeaving() ? "leaving" : "serving" } };
    {
        const std::lock_guard lock(node.tables().config.mutex);
        status["revision"] = view ? view->revision.value() : 0;
        status["confirmed_age_ms"] = toMilliseconds(node.tables().config.freshness.age(now));
    }
    {
        const std::lock_guard lock(node.tables().shares.mutex);
        status["cells"] = node.tables().shares.local.owner().usableCells(now).count();
    }
    status["members"] = memberList(node);
    status["region"] = view ? view->configuration->regionOf(self.domain).value() : "";
    status["upstreams"] = view ? upstreamList(*view, admission) : Json::array();
    status["teams"] = view ? teamList(*view, node) : Json::array();
    return jsonReply(200, status.dump());
}

HttpReply timelineReply(Node &node)
{
    Json events = Json::array();
    for (const Event &event : node.timeline().events())
        events.push_back({ { "wall_us", event.time.wallMicros }, { "counter", event.time.counter },
            { "id", static_cast<int>(event.id) }, { "name", eventName(event.id) },
            { "fields", event.fields } });
    const Json body { { "process", node.settings().name }, { "events", std::move(events) } };
    return jsonReply(200, body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

HttpReply metricsReply(Node &node, Admission &admission)
{
    Metrics &metrics = node.metrics();
    const PeerLinkCounters counters = node.linkCounters();
    metrics.set("endivequay_peer_sent_bytes", "", static_cast<double>(counters.sentBytes));
    metrics.set("endivequay_peer_sent_messages", "", static_cast<double>(counters.sentMessages));
    metrics.set("endivequay_peer_received_bytes", "", static_cast<double>(counters.receivedBytes));
    metrics.set("endivequay_in_flight", "", admission.inFlight());
    return { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, metrics.render(), false };
}

bool isDrainAuthorized(const Node &node, const HttpRequest &request)
{
    const auto mac = request.header("Endivequay-Operator");
    return mac
        && equalConstantTime(*mac,
            hmacSha256Hex(node.settings().secret, "drain " + node.identity().address.value()));
}

} // namespace endivequay
