#include "endivequay/gateway.h"

#include <asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>

namespace endivequay {

namespace {

/// Maximum deadline in a request; a larger value is ignored as a mistake.
constexpr std::int64_t maxDeadlineMs = 3'600'000;

/// Interval between timeout checks of all caller connections; short compared with the timeouts.
constexpr Interval sweepInterval = std::chrono::milliseconds(250);

/// Largest plausible figures of an occupancy report.
constexpr std::int64_t maxReportedCount = 1'000'000;
constexpr std::int64_t maxPacePercent = 10'000;

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc {} || result.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::optional<Occupancy> parseOccupancy(std::string_view text)
{
    const auto next = [&](std::int64_t least, std::int64_t most) -> std::optional<int> {
        const std::string_view part = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), part.size() + 1));
        const auto parsed = parseNumber(part);
        if (!parsed || *parsed < least || *parsed > most)
            return std::nullopt;
        return static_cast<int>(*parsed);
    };
    std::array<int, 3> numbers {};
    for (int &number : numbers) {
        const auto parsed = next(0, maxReportedCount);
        if (!parsed)
            return std::nullopt;
        number = *parsed;
    }
    return Occupancy { numbers[0], numbers[1], numbers[2], next(1, maxPacePercent) };
}

std::string hostOf(const HttpMessage &request)
{
    const std::string *field = request.field("Host");
    std::string host = field == nullptr ? std::string() : field->substr(0, field->find(':'));
    std::ranges::transform(host, host.begin(),
        [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return host;
}

/// Whether \a status guarantees that the request has not run and never will.
bool guaranteesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

HttpMessage localResponse(const LocalResponse &own)
{
    HttpMessage response;
    response.status = own.status;
    response.fields.push_back({ "Content-Type", "application/json" });
    if (own.retryAfter > Interval {})
        response.fields.push_back(
            { "Retry-After", fmt::format("{:.2f}", toSeconds(own.retryAfter)) });
    response.body = fmt::format(R"({{"reason":"{}"}})", causeName(own.cause));
    return response;
}

std::string_view resultName(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Good:
        return "good";
    case AttemptResult::Failed:
        return "failed";
    case AttemptResult::Shed:
        return "shed";
    case AttemptResult::Unreachable:
        return "unreachable";
    case AttemptResult::Misdirected:
        return "misdirected";
    case AttemptResult::Cancelled:
        break;
    }
    return "cancelled";
}

EdgeClient::Limits clientLimits(ByteBudget *budget, std::size_t maxResponseBytes)
{
    EdgeClient::Limits limits;
    limits.budget = budget;
    if (maxResponseBytes > 0)
        limits.bufferedBytes = maxResponseBytes;
    return limits;
}

double toMillis(Interval interval)
{
    return toSeconds(interval) * 1000;
}

} // namespace

Gateway::Gateway(Parts parts, EdgeHeaders headers)
    : parts_(std::move(parts))
    , headers_(std::move(headers))
    , client_(parts_.loop, clientLimits(parts_.budget, parts_.maxResponseBytes), parts_.now)
{ }

Result<std::unique_ptr<Gateway>> Gateway::listen(
    Parts parts, EdgeHeaders headers, const Address &address)
{
    std::unique_ptr<Gateway> gateway(new Gateway(std::move(parts), std::move(headers)));
    Gateway *self = gateway.get();
    auto server = EdgeServer::listen(self->parts_.loop, address, {},
        { [self](ExchangeId id, HttpMessage &&request) {
             self->handleRequest(id, std::move(request));
         },
            [self](ExchangeId id) { self->handleDisconnect(id); },
            [self](const HttpMessage &request) { return self->isIdempotent(request); },
            self->parts_.now,
            [self](std::string_view cause) {
                self->parts_.metrics.count("endivequay_rejected_total", "cause", cause);
                self->parts_.log.write(EventId::CallerRejected, cause, self->parts_.now(),
                    { { "cause", cause },
                        { "held_bytes", self->parts_.budget ? self->parts_.budget->used() : 0 } });
            },
            self->parts_.budget });
    if (!server)
        return server.lastReason();
    gateway->server_ = *std::move(server);
    return gateway;
}

void Gateway::setLimits(const CallerLimits &limits)
{
    server_->setLimits({ { limits.headerBytes, limits.bodyBytes }, limits.headerTimeout,
        limits.idleTimeout, parts_.maxConnections });
}

bool Gateway::isIdempotent(const HttpMessage &request) const
{
    const RoutingTable *table = parts_.engine.table();
    const RequestRoute *route
        = table == nullptr ? nullptr : table->match(hostOf(request), request.path());
    return route != nullptr && route->repeatability == Repeatability::Idempotent;
}

RequestInfo Gateway::extractFacts(
    const HttpMessage &request, const std::string &host, Instant now) const
{
    RequestInfo facts { host, request.path(), {}, cookie(request, headers_.objectCookie), {} };
    if (const std::string *authorization = request.field("Authorization")) {
        const std::string_view text = *authorization;
        const auto space = text.find(' ');
        if (space != std::string_view::npos
            && equalIgnoringCase(text.substr(0, space), headers_.keyScheme))
            facts.key = text.substr(space + 1);
    }
    if (const std::string *field = request.field(headers_.deadlineMs)) {
        const auto number = parseNumber(*field);
        if (number && *number >= 0 && *number < maxDeadlineMs)
            facts.callerDeadline = now + std::chrono::milliseconds(*number);
    }
    return facts;
}

void Gateway::handleRequest(ExchangeId id, HttpMessage &&request)
{
    const Instant now = parts_.now();
    Exchange &exchange = exchanges_[id];
    exchange.request = std::move(request);
    exchange.body = std::make_shared<const std::string>(std::move(exchange.request.body));
    exchange.arrivedAt = now;
    if (const std::string *requestId = exchange.request.field(headers_.requestId))
        exchange.requestId = *requestId;
    const std::string host = hostOf(exchange.request);
    execute(id, parts_.engine.requestArrived(id, extractFacts(exchange.request, host, now), now));
    parts_.sendTokenRequests();
}

void Gateway::execute(const std::vector<std::pair<RequestId, Step>> &steps)
{
    for (const auto &[ticket, step] : steps)
        execute(ticket, step);
}

void Gateway::execute(ExchangeId id, const Step &step)
{
    if (const auto *order = std::get_if<SendToUpstream>(&step))
        send(id, *order, true);
    else if (const auto *own = std::get_if<LocalResponse>(&step))
        respondLocally(id, *own);
    else if (std::holds_alternative<DeliverResponse>(step))
        forwardResponse(id);
    else if (const auto found = exchanges_.find(id); found != exchanges_.end())
        parts_.log.write(EventId::RequestWaits, "waits", parts_.now(),
            { { "request", found->second.requestId }, { "open", parts_.engine.openRequests() } });
}

std::string Gateway::upstreamRequest(
    const Exchange &exchange, const SendToUpstream &order, Instant now) const
{
    const HttpMessage &source = exchange.request;
    const auto options = connectionOptions(source);
    const auto isReplaced = [&](std::string_view name) {
        return isHopByHop(name) || equalIgnoringCase(name, "Content-Length")
            || equalIgnoringCase(name, "Authorization") || equalIgnoringCase(name, headers_.team)
            || equalIgnoringCase(name, headers_.deadlineMs)
            || equalIgnoringCase(name, headers_.expectUpstream)
            || std::ranges::any_of(options,
                [&](const std::string &option) { return equalIgnoringCase(name, option); });
    };
    HttpMessage request;
    request.method = source.method;
    request.target = source.target;
    std::ranges::copy_if(source.fields, std::back_inserter(request.fields),
        [&](const HttpField &field) { return !isReplaced(field.name); });
    const auto remaining
        = std::chrono::duration_cast<std::chrono::milliseconds>(order.deadline - now);
    request.fields.push_back(
        { headers_.deadlineMs, std::to_string(std::max<std::int64_t>(1, remaining.count())) });
    request.fields.push_back({ headers_.expectUpstream, order.upstream.value() });
    if (!order.team.value().empty())
        request.fields.push_back({ headers_.team, order.team.value() });
    return serializeRequestHead(request, exchange.body->size());
}

void Gateway::send(ExchangeId id, const SendToUpstream &order, bool mayReuse)
{
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end())
        return;
    Exchange &exchange = found->second;
    const Instant now = parts_.now();
    exchange.order = order;
    exchange.sentAt = now;
    // Without an id the response could not be told from a late copy of an earlier one.
    const bool mayReuseForId = mayReuse && !exchange.requestId.empty();
    HttpCall call { order.address, upstreamRequest(exchange, order, now),
        order.deadline + std::chrono::seconds(1), mayReuseForId, exchange.request.method == "HEAD",
        exchange.requestId.empty() ? std::string() : headers_.requestId, exchange.requestId,
        headers_.notRun, exchange.body };
    exchange.call = client_.send(std::move(call),
        [this, id, mayReuse](CallResult &&end) { handleCallResult(id, std::move(end), mayReuse); });
    parts_.metrics.count("endivequay_sends_total", "domain", order.domain.value());
    parts_.log.write(EventId::RequestSent, {}, now,
        { { "request", exchange.requestId }, { "upstream", order.upstream.value() },
            { "service", order.service.value() }, { "team", order.team.value() },
            { "region", order.region.value() }, { "domain", order.domain.value() },
            { "object", cookie(exchange.request, headers_.objectCookie) },
            { "attempt", order.attempt },
            { "in_flight", parts_.engine.upstreams().inFlight(order.upstream) },
            { "left_ms", toMillis(order.deadline - now) },
            { "waited_ms", toMillis(now - exchange.arrivedAt) },
            { "config", parts_.engine.table()->version().value() } });
}

bool Gateway::isUnstampedSuccess(const HttpMessage &response) const
{
    return response.status >= 200 && response.status < 300 && !headers_.stamp.empty()
        && response.field(headers_.stamp) == nullptr;
}

AttemptOutcome Gateway::interpret(Exchange &exchange, CallResult &&end) const
{
    AttemptOutcome attempt;
    exchange.upstreamNotRun = false;
    if (end.kind != CallResult::Kind::Response) {
        attempt.result = end.sent ? AttemptResult::Failed : AttemptResult::Unreachable;
        attempt.mayHaveRun = end.sent;
        return attempt;
    }
    const HttpMessage &response = end.response;
    if (isUnstampedSuccess(response)) {
        attempt.result = AttemptResult::Failed;
        attempt.mayHaveRun = true;
        return attempt;
    }
    if (const std::string *occupancy = response.field(headers_.occupancy))
        attempt.occupancy = parseOccupancy(*occupancy);
    attempt.hasResponse = true;
    const bool misdirected = response.status == 421;
    const std::string *leaving = response.field(headers_.leaving);
    attempt.upstreamLeaving = leaving != nullptr && *leaving == "1" && !misdirected;
    exchange.upstreamNotRun = misdirected || response.field(headers_.notRun) != nullptr;
    attempt.mayHaveRun = !exchange.upstreamNotRun;
    if (misdirected)
        attempt.result = AttemptResult::Misdirected;
    else if (exchange.upstreamNotRun)
        attempt.result = AttemptResult::Shed;
    else if (response.status >= 500)
        attempt.result = AttemptResult::Failed;
    else
        attempt.result = AttemptResult::Good;
    exchange.response = std::move(end.response);
    return attempt;
}

void Gateway::handleCallResult(ExchangeId id, CallResult &&end, bool mayReuse)
{
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end())
        return;
    Exchange &exchange = found->second;
    exchange.call = 0;
    const bool staleConnection = end.kind == CallResult::Kind::Broken && !end.sent && mayReuse;
    if (staleConnection) {
        send(id, exchange.order, false);
        return;
    }
    const Instant now = parts_.now();
    const std::string reason
        = isUnstampedSuccess(end.response) ? "success without a stamp" : end.reason;
    const AttemptOutcome attempt = interpret(exchange, std::move(end));
    if (attempt.result != AttemptResult::Good)
        parts_.log.write(EventId::AttemptEnded, reason, now,
            { { "request", exchange.requestId }, { "upstream", exchange.order.upstream.value() },
                { "status",
                    exchange.response && attempt.hasResponse ? exchange.response->status : 0 },
                { "reason", reason }, { "may_have_run", attempt.mayHaveRun },
                { "took_ms", toMillis(now - exchange.sentAt) } });
    if (attempt.upstreamLeaving && parts_.engine.upstreams().usable(exchange.order.upstream))
        parts_.log.write(EventId::UpstreamDraining, exchange.order.upstream.value(), now,
            { { "upstream", exchange.order.upstream.value() }, { "source", "response" } });
    parts_.metrics.count("endivequay_attempts_total", "result", resultName(attempt.result));
    execute(id, parts_.engine.attemptEnded(id, attempt, now));
    if (parts_.engine.hasWaiting() && !advanceScheduled_) {
        advanceScheduled_ = true;
        asio::post(parts_.loop, [this] {
            advanceScheduled_ = false;
            execute(parts_.engine.advance(parts_.now()));
        });
    }
}

void Gateway::respondLocally(ExchangeId id, const LocalResponse &own)
{
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end())
        return;
    if (found->second.call != 0)
        client_.cancel(found->second.call);
    finish(id, localResponse(own), causeName(own.cause), own.inputs);
}

void Gateway::forwardResponse(ExchangeId id)
{
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end() || !found->second.response)
        return;
    Exchange &exchange = found->second;
    HttpMessage &source = *exchange.response;
    // The upstream did not mark the request as not run, so the response must not promise it.
    if (guaranteesNotRun(source.status) && !exchange.upstreamNotRun) {
        finish(
            id, localResponse({ 502, LocalResponseCause::OutcomeUnknown, {} }), "outcome_unknown");
        return;
    }
    const auto options = connectionOptions(source);
    HttpMessage response;
    response.status = source.status;
    response.reason = source.reason;
    response.body = std::move(source.body);
    std::ranges::copy_if(
        source.fields, std::back_inserter(response.fields), [&](const HttpField &field) {
            return !isHopByHop(field.name) && !equalIgnoringCase(field.name, "Content-Length")
                && !equalIgnoringCase(field.name, headers_.occupancy)
                && !equalIgnoringCase(field.name, headers_.upstreamId)
                && std::ranges::none_of(options, [&](const std::string &option) {
                       return equalIgnoringCase(field.name, option);
                   });
        });
    finish(id, std::move(response), "upstream");
}

void Gateway::finish(
    ExchangeId id, HttpMessage response, std::string_view cause, std::string_view inputs)
{
    const auto found = exchanges_.find(id);
    const Exchange exchange = std::move(found->second);
    exchanges_.erase(found);
    const Instant now = parts_.now();
    const std::string *retryAfter = response.field("Retry-After");
    parts_.metrics.count("endivequay_answers_total", "cause", cause);
    parts_.metrics.observe("endivequay_request_seconds", toSeconds(now - exchange.arrivedAt));
    parts_.log.write(response.status < 400 ? EventId::RequestAnswered : EventId::RequestRefused,
        response.status < 400 ? std::string_view {} : cause, now,
        { { "request", exchange.requestId }, { "status", response.status }, { "cause", cause },
            { "upstream", exchange.order.upstream.value() }, { "inputs", inputs },
            { "took_ms", toMillis(now - exchange.arrivedAt) },
            { "retry_after", retryAfter == nullptr ? std::string_view {} : *retryAfter },
            { "config", parts_.engine.table() ? parts_.engine.table()->version().value() : 0 } });
    server_->respond(id, std::move(response));
}

void Gateway::handleDisconnect(ExchangeId id)
{
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end())
        return;
    const Instant now = parts_.now();
    if (found->second.call != 0)
        client_.cancel(found->second.call);
    parts_.metrics.count("endivequay_answers_total", "cause", "caller_left");
    parts_.log.write(EventId::CallerLeft, {}, now,
        { { "request", found->second.requestId },
            { "after_ms", toMillis(now - found->second.arrivedAt) },
            { "upstream", found->second.order.upstream.value() } });
    parts_.engine.left(id, now);
    exchanges_.erase(found);
}

void Gateway::advance(Instant now)
{
    execute(parts_.engine.advance(now));
    client_.advance(now);
    if (now - lastSweepAt_ < sweepInterval)
        return;
    lastSweepAt_ = now;
    server_->advance(now);
}

} // namespace endivequay
