#include "requests.h"

#include "requestfields.h"

#include "endivequay/digest.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace endivequay {

namespace {

using namespace detail;

using namespace std::chrono_literals;

constexpr std::string_view servicePrefix = "/s/";
// With 17 instances in a failure domain, an upstream that accepts 300 connections holds at most 136
// idle ones.
constexpr std::size_t maxIdleConnectionsPerUpstream = 8;

constexpr std::array reservedHeaders { apiKeyHeader, operationHeader, deadlineHeader, teamHeader,
    requestIdHeader, hopHeader, homeRegionHeader };

std::optional<long> parseCount(std::string_view text)
{
    long value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 0)
        return std::nullopt;
    return value;
}

bool areHeadersWellFormed(const HttpRequest &request)
{
    for (const std::string_view name : reservedHeaders) {
        if (request.headerValues(name).size() > 1)
            return false;
    }
    // A name spelled with '_' is not a reserved header here, but an upstream may treat it as one.
    return std::ranges::none_of(request.headers, [](const auto &header) {
        return header.first.find('_') != std::string::npos && isReservedHeader(header.first);
    });
}

/// Whether the API key appears in the target or in any header other than its own.
bool keyAppearsOutsideHeader(const HttpRequest &request, std::string_view key)
{
    const auto decoded = percentDecode(request.target);
    if (!decoded || decoded->find(key) != std::string::npos
        || request.target.find(key) != std::string::npos)
        return true;
    return std::ranges::any_of(request.headers, [&](const auto &header) {
        return !isSameHeaderName(header.first, apiKeyHeader)
            && (header.second.find(key) != std::string::npos
                || header.first.find(key) != std::string::npos);
    });
}

Interval milliseconds(long count)
{
    return std::chrono::milliseconds(count);
}

std::string outcomeOf(const HttpReply &reply)
{
    for (const auto &[name, value] : reply.headers) {
        if (isSameHeaderName(name, outcomeHeader))
            return value;
    }
    return "unknown";
}

UpstreamClient::Settings clientSettings()
{
    UpstreamClient::Settings settings;
    settings.idlePerUpstream = maxIdleConnectionsPerUpstream;
    return settings;
}

} // namespace

RequestHandler::RequestHandler(Node &node, Admission &admission)
    : node_(node)
    , admission_(admission)
    , client_(clientSettings())
{ }

HttpReply RequestHandler::handle(const HttpRequest &request)
{
    ++inProgress_;
    lastArrival_ = request.receivedAt;
    HttpReply reply = handleCall(request);
    --inProgress_;
    node_.metrics().count("endivequay_requests_total",
        fmt::format("status=\"{}\",outcome=\"{}\"", reply.status, outcomeOf(reply)));
    node_.metrics().observe(
        "endivequay_request_seconds", "", toSeconds(clock_.now() - request.receivedAt));
    if (!accepting_)
        reply.close = true;
    return reply;
}

HttpReply RequestHandler::handleCall(const HttpRequest &request)
{
    Call call { request, node_.view(), nullptr, nullptr, {}, Hop::None, {}, RequestRate(1), {}, {},
        {}, false };
    call.requestId = fmt::format(
        "{:08x}-{}", node_.identity().incarnation.value() & 0xffffffffU, ++lastRequestNumber_);
    if (auto refused = validateRequest(call))
        return *std::move(refused);
    const auto operation = request.header(operationHeader);
    if (call.route->kind == RouteKind::Once && call.hop != Hop::Admitted) {
        if (!operation)
            return refuse(call, 409, "operation_required", {});
        return runOnce(call, std::string(*operation));
    }
    if (auto refused = admit(call))
        return *std::move(refused);
    return run(call);
}

std::optional<HttpReply> RequestHandler::validateRequest(Call &call)
{
    if (!areHeadersWellFormed(call.http))
        return refuse(call, 400, "malformed_headers", {});
    if (!call.view)
        return refuse(call, 503, "no_configuration", 1s);
    if (auto refused = resolveRoute(call))
        return refused;
    call.deadline = call.http.receivedAt + call.route->requestTimeout;
    if (const auto wanted = call.http.header(deadlineHeader)) {
        const auto count = parseCount(*wanted);
        if (!count || *count == 0)
            return refuse(call, 400, "malformed_deadline", {});
        call.deadline = std::min(call.deadline, call.http.receivedAt + milliseconds(*count));
    }
    if (auto refused = call.http.header(hopHeader) ? authenticateHop(call) : authenticate(call))
        return refused;
    // Checked after the hop is authenticated: a request that another instance has admitted is
    // certain not to have run, so the refusal can report "not-run".
    if (!accepting_)
        return refuse(call, 503, "leaving", 1s);
    if (const Team *team = call.view->configuration->team(call.team))
        call.weight = team->rate;
    return checkFreshness(call);
}

std::optional<HttpReply> RequestHandler::resolveRoute(Call &call)
{
    const std::string_view path = call.http.path();
    const std::string_view rest = path.substr(std::min(servicePrefix.size(), path.size()));
    const auto slash = rest.find('/');
    const std::string_view name = rest.substr(0, slash);
    call.service = call.view->configuration->service(ServiceId(std::string(name)));
    if (call.service == nullptr || slash == std::string_view::npos)
        return refuse(call, 404, "no_service", {});
    const RouteMatch match = matchRoute(*call.service, call.http.method, rest.substr(slash));
    if (match.outcome == RouteMatch::Outcome::BadPath)
        return refuse(call, 400, "malformed_path", {});
    if (match.outcome == RouteMatch::Outcome::NoRoute)
        return refuse(call, 404, "no_route", {});
    call.route = match.route;
    call.upstreamTarget = call.http.target.substr(servicePrefix.size() + slash);
    return std::nullopt;
}

std::optional<TeamId> RequestHandler::authenticatedTeam(
    const ConfigView &view, const HttpRequest &request) const
{
    const auto key = request.header(apiKeyHeader);
    if (!key || key->empty())
        return std::nullopt;
    const auto owner = view.configuration->teamByKeyDigest(sha256Hex(*key));
    return owner ? std::optional(owner->team->id) : std::nullopt;
}

std::optional<HttpReply> RequestHandler::authenticate(Call &call)
{
    const auto key = call.http.header(apiKeyHeader);
    if (key && !key->empty() && keyAppearsOutsideHeader(call.http, *key))
        return refuse(call, 400, "key_outside_header", {});
    const std::string_view client = node_.settings().clientHeader.empty()
        ? std::string_view(call.http.remoteAddress)
        : call.http.header(node_.settings().clientHeader).value_or(call.http.remoteAddress);
    if (const auto block = findBlock(*call.view, client)) {
        const auto steering = node_.steering();
        if (const auto found = steering->find(call.service->id); found != steering->end()) {
            const SteeringView &view = found->second->view();
            const RegionId &site = view.sites[block->site].home;
            const RegionId localRegion
                = call.view->configuration->regionOf(node_.identity().domain);
            const Instant now = clock_.now();
            call.home = isHome(localRegion, site, call.service->id, block->block, view.shifts, now)
                ? localRegion
                : homeRegion(site, call.service->id, block->block, view.shifts, now);
        }
    }
    if (call.route->access == Access::Open)
        return std::nullopt;
    const auto team = authenticatedTeam(*call.view, call.http);
    if (!team)
        return refuse(call, 401, "key", {});
    call.team = *team;
    return std::nullopt;
}

std::string RequestHandler::hopMac(const HttpRequest &request, std::string_view kind,
    std::string_view team, std::string_view operation) const
{
    const std::string text = fmt::format("hop\n{}\n{}\n{}\n{}\n{}\n{}", kind, request.method,
        request.target, team, operation, sha256Hex(request.body));
    return hmacSha256Hex(node_.settings().secret, text);
}

std::optional<HttpReply> RequestHandler::authenticateHop(Call &call)
{
    const std::string_view value = *call.http.header(hopHeader);
    const auto colon = value.find(':');
    const std::string_view kind = value.substr(0, colon);
    const std::string team(call.http.header(teamHeader).value_or(""));
    const std::string operation(call.http.header(operationHeader).value_or(""));
    const bool known = kind == "issuer" || kind == "admitted";
    if (!known || colon == std::string_view::npos
        || !equalConstantTime(value.substr(colon + 1), hopMac(call.http, kind, team, operation)))
        return refuse(call, 400, "malformed_hop", {});
    call.hop = kind == "issuer" ? Hop::ToIssuer : Hop::Admitted;
    call.team = TeamId(team);
    if (const auto home = call.http.header(homeRegionHeader))
        call.home = RegionId(std::string(*home));
    const bool keyed = call.route->access == Access::Keyed;
    if (keyed && call.view->configuration->team(call.team) == nullptr)
        return refuse(call, 401, "key", {});
    return std::nullopt;
}

std::optional<HttpReply> RequestHandler::checkFreshness(const Call &call)
{
    if (call.route->access == Access::Open)
        return std::nullopt;
    const auto policy = call.service->whenStale == WhenStale::Continue ? StalePolicy::Continue
                                                                       : StalePolicy::Refuse;
    bool serves = false;
    {
        const std::lock_guard lock(node_.tables().config.mutex);
        serves = node_.tables().config.freshness.servesKeyed(policy, clock_.now());
    }
    if (serves)
        return std::nullopt;
    return refuse(call, 503, "stale_configuration", 1s);
}

std::optional<HttpReply> RequestHandler::admit(const Call &call)
{
    if (call.hop == Hop::Admitted || node_.settings().policyDisabled)
        return std::nullopt;
    const RegionId localRegion = call.view->configuration->regionOf(node_.identity().domain);
    if (!call.team.value().empty()
        && !node_.acquireRate(teamResource(call.team), RequestCount(1), call.deadline)) {
        node_.metrics().count(
            "endivequay_limited_total", fmt::format("team=\"{}\"", call.team.value()));
        const Interval refill = fromSeconds(1 / std::max(call.weight.value(), 0.001));
        return refuse(call, 429, "limit", refill);
    }
    if (call.home && *call.home != localRegion
        && !node_.acquireRate(shiftResource(call.service->id), RequestCount(1), call.deadline))
        return refuse(call, 503, "shift_cap", 1s);
    return std::nullopt;
}

RequestKind RequestHandler::kindOf(const Call &call) const
{
    return call.route->kind == RouteKind::Once ? RequestKind::Once : RequestKind::Idempotent;
}

HttpReply RequestHandler::run(const Call &call)
{
    node_.timeline().record(EventId::RequestAdmitted,
        { { "request", call.requestId }, { "team", call.team.value() },
            { "service", call.service->id.value() } });
    HttpReply reply = sendWithRetries(call);
    node_.timeline().record(EventId::RequestAnswered,
        { { "request", call.requestId }, { "status", std::to_string(reply.status) },
            { "outcome", outcomeOf(reply) } });
    return reply;
}

HttpReply RequestHandler::runOnce(Call &call, const std::string &operation)
{
    const std::string digest = sha256Hex(
        fmt::format("{}\n{}\n{}", call.http.method, call.upstreamTarget, call.http.body));
    const BeginDecision decision = [&] {
        const std::lock_guard lock(node_.tables().operations.mutex);
        return node_.tables().operations.table.begin(operation, call.team, digest, clock_.now());
    }();
    if (const auto *now = std::get_if<RunOperation>(&decision))
        return runOperation(call, now->handle);
    if (const auto *wait = std::get_if<WaitForRunningCopy>(&decision))
        return awaitRunningCopy(call, wait->ticket);
    if (const auto *issuer = std::get_if<ForwardToIssuer>(&decision))
        return forwardToIssuer(call, *issuer);
    if (const auto *replay = std::get_if<Replay>(&decision)) {
        if (replay->response)
            return { replay->response->status, replay->response->headers, replay->response->body,
                false };
        return localReply(409, toString(replay->outcome), "answer_not_kept", {});
    }
    const auto &refused = std::get<RefuseOperation>(decision);
    if (refused.outcome == Outcome::NotRun) {
        call.decidedByOperationTable = true;
        const bool full = refused.reason == OperationRefusal::MemoryFull;
        return refuse(call, full ? 503 : 409, toString(refused.reason), {});
    }
    node_.timeline().record(EventId::OperationUnknown,
        { { "request", call.requestId }, { "reason", std::string(toString(refused.reason)) } });
    return unknownOutcomeReply(409, toString(refused.reason));
}

HttpReply RequestHandler::runOperation(Call &call, OperationHandle handle)
{
    node_.timeline().record(EventId::OperationStarted, { { "request", call.requestId } });
    call.decidedByOperationTable = true;
    std::optional<HttpReply> refused = admit(call);
    HttpReply reply = refused ? *std::move(refused) : run(call);
    const std::string text = outcomeOf(reply);
    const Outcome outcome = text == "done" ? Outcome::Done
        : text == "not-run"                ? Outcome::NotRun
                                           : Outcome::Unknown;
    {
        Tables::Operations &operations = node_.tables().operations;
        const std::lock_guard lock(operations.mutex);
        auto finished = operations.table.finish(
            handle, outcome, { reply.status, reply.headers, reply.body }, clock_.now());
        node_.timeline().record(outcome == Outcome::Done ? EventId::OperationDone
                : outcome == Outcome::NotRun             ? EventId::OperationNotRun
                                                         : EventId::OperationUnknown,
            { { "request", call.requestId }, { "team", call.team.value() } });
        if (finished) {
            for (const WaitTicket ticket : finished->waiters)
                operations.finished[ticket] = *finished;
        }
    }
    node_.tables().operations.changed.notify_all();
    return reply;
}

HttpReply RequestHandler::awaitRunningCopy(const Call &call, WaitTicket ticket)
{
    Tables::Operations &operations = node_.tables().operations;
    std::unique_lock lock(operations.mutex);
    while (clock_.now() < call.deadline && !call.http.cancelled.stop_requested()) {
        const auto found = operations.finished.find(ticket);
        if (found != operations.finished.end()) {
            const FinishedOperation finished = std::move(found->second);
            operations.finished.erase(found);
            return { finished.response->status, finished.response->headers, finished.response->body,
                false };
        }
        operations.changed.wait_for(lock, 50ms);
    }
    operations.table.cancelWait(ticket);
    operations.finished.erase(ticket);
    return unknownOutcomeReply(504, "copy_still_running");
}

HttpReply RequestHandler::forwardToIssuer(const Call &call, const ForwardToIssuer &issuer)
{
    bool known = false;
    {
        const std::lock_guard lock(node_.tables().members.mutex);
        const Member *member = node_.tables().members.view.find(issuer.issuer);
        known = member != nullptr && member->identity.address == issuer.address;
    }
    if (!known || call.hop != Hop::None)
        return unknownOutcomeReply(409, "issuer_unreachable");
    return forwardToPeer(call, issuer.address, Hop::ToIssuer);
}

HttpReply RequestHandler::refuse(
    const Call &call, int status, std::string_view reason, Interval retryAfter)
{
    node_.timeline().record(EventId::RequestRefused,
        { { "request", call.requestId }, { "team", call.team.value() },
            { "reason", std::string(reason) },
            { "path", std::string(call.http.path().substr(0, 200)) } });
    // Another copy of the operation may have run: a caller may send the same id to any instance.
    const bool otherCopies = call.http.header(operationHeader) && !call.decidedByOperationTable
        && call.hop != Hop::Admitted;
    HttpReply reply = localReply(status, otherCopies ? "unknown" : "not-run", reason, retryAfter);
    // More malformed requests may follow on the same connection.
    reply.close = status == 400;
    return reply;
}

HttpReply RequestHandler::busyReply(const HttpRequest &request)
{
    const bool otherCopies = request.header(operationHeader).has_value();
    return localReply(503, otherCopies ? "unknown" : "not-run", "busy", 1s);
}

HttpReply RequestHandler::issueOperation(const HttpRequest &request)
{
    Call call { request, node_.view(), nullptr, nullptr, {}, Hop::None, {}, RequestRate(1), {}, {},
        {}, false };
    if (!areHeadersWellFormed(request))
        return refuse(call, 400, "malformed_headers", {});
    if (!accepting_ || node_.isLeaving())
        return refuse(call, 503, "leaving", 1s);
    if (!call.view)
        return refuse(call, 503, "no_configuration", 1s);
    const auto team = authenticatedTeam(*call.view, request);
    if (!team)
        return refuse(call, 401, "key", {});
    Tables::Operations &operations = node_.tables().operations;
    const std::lock_guard lock(operations.mutex);
    const Instant now = clock_.now();
    const auto issued = operations.table.issue(*team, now);
    if (!issued)
        return notRunReply(503, "operations_full", 1s);
    const nlohmann::json body { { "operation", issued->id },
        { "expires_in_ms", remainingMs(issued->deadline, now) },
        { "instance", node_.identity().address.value() } };
    node_.timeline().record(EventId::OperationIssued, { { "team", team->value() } });
    return jsonReply(200, body.dump());
}

HttpReply RequestHandler::lookup(const HttpRequest &request)
{
    const auto view = node_.view();
    const auto steering = node_.steering();
    const auto name = request.parameter("service");
    const auto client = request.parameter("client").value_or(request.remoteAddress);
    if (!name)
        return notRunReply(400, "parameter 'service' is missing");
    if (!parseIpv4(client))
        return notRunReply(400, "parameter 'client' is not an IPv4 address");
    const Service *service = view ? view->configuration->service(ServiceId(*name)) : nullptr;
    const auto found = steering->find(ServiceId(*name));
    if (service == nullptr || found == steering->end())
        return notRunReply(view ? 404 : 503, view ? "no_service" : "no_configuration", 1s);
    const Ipv4 address = *parseIpv4(client);
    const auto match = findBlock(*view, client);
    // A client outside all client blocks is steered as if it were at this instance's site.
    const auto localSite = [&]() -> SiteIndex {
        const auto &sites = view->configuration->sites();
        const auto localEntry
            = std::ranges::find(sites, node_.identity().domain, &Site::failureDomain);
        return static_cast<SiteIndex>(localEntry == sites.end() ? 0 : localEntry - sites.begin());
    };
    const ClientBlock block = match ? match->block : ClientBlock { address, 32 };
    const auto choices
        = found->second->choose(block, match ? match->site : localSite(), clock_.now());
    std::string body = fmt::format("{{\"lifetime_ms\":{},\"choices\":[",
        std::chrono::duration_cast<std::chrono::milliseconds>(service->lookupLifetime).count());
    for (const Choice &choice : choices)
        body += fmt::format("{}{{\"instance\":\"{}\",\"failure_domain\":\"{}\"}}",
            &choice == choices.data() ? "" : ",", choice.address.value(), choice.domain.value());
    return jsonReply(200, body + "]}");
}

} // namespace endivequay
