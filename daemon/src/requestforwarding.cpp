#include "requests.h"

#include "requestfields.h"

#include <algorithm>

// The way of an admitted request to an upstream or to another instance.
namespace endivequay {

namespace {

using namespace std::chrono_literals;
using namespace detail;

// Time for the answer to travel back, kept off the deadline that is told to others.
constexpr Interval answerMargin = 20ms;

RequestResult resultOf(const UpstreamResponse &response)
{
    if (response.outcome == UpstreamOutcome::Answered)
        return response.status == 503 ? RequestResult::Shed : RequestResult::Good;
    if (response.failure == UpstreamFailure::Declined)
        return RequestResult::Shed;
    return response.failure == UpstreamFailure::Cancelled ? RequestResult::Cancelled
                                                          : RequestResult::Failed;
}

} // namespace

HttpReply RequestHandler::attempt(const Call &call)
{
    for (bool first = true;; first = false) {
        SlotRequest wanted;
        wanted.service = call.service->id;
        wanted.team = call.team;
        wanted.weight = call.weight;
        wanted.deadline = call.deadline;
        wanted.deferrable = call.route->kind == RouteKind::Deferrable;
        wanted.hops = call.hop == Hop::Admitted ? 1 : 0;
        wanted.bytes = call.http.body.size() + 4096;
        wanted.home = call.home;
        wanted.cancelled = call.http.cancelled;
        const SlotDecision decision = admission_.acquire(wanted);
        if (const auto *other = std::get_if<PassToInstance>(&decision))
            return passOn(call, other->address, Hop::Admitted);
        if (const auto *refusal = std::get_if<Refusal>(&decision)) {
            const int status = refusal->reason == RefusalReason::Deadline ? 504 : 503;
            return refuse(call, status, refusalName(refusal->reason),
                std::max(refusal->retryAt - clock_.now(), Interval::zero()));
        }
        const auto &grant = std::get<SlotGrant>(decision);
        if (first)
            admission_.requestStarted(call.service->id, call.team);
        const RegionId own = call.view->configuration->regionOf(node_.identity().domain);
        const Region *region = call.view->configuration->region(own);
        if (region != nullptr && region->capacity
            && !node_.acquireRate(regionResource(own), RequestCount(1), call.deadline)) {
            admission_.finish(call.service->id, grant, RequestResult::Cancelled);
            return refuse(call, 503, "region_capacity", 1s);
        }
        RequestResult result = RequestResult::Failed;
        bool retry = false;
        HttpReply reply = send(call, grant, result, retry);
        admission_.finish(call.service->id, grant, result);
        if (!retry || clock_.now() >= call.deadline
            || !admission_.tryRetry(call.service->id, call.team))
            return reply;
        node_.metrics().count("endivequay_retries_total");
    }
}

HttpReply RequestHandler::send(
    const Call &call, const SlotGrant &grant, RequestResult &result, bool &retry)
{
    UpstreamRequest request;
    request.address = grant.address;
    request.method = call.http.method;
    request.path = call.upstreamTarget;
    request.body = call.http.body;
    request.deadline = std::min(call.deadline, grant.startedAt + maxRequestDuration);
    request.kind = kindOf(call);
    // An operation that was sent runs to its end: a caller that lost the connection repeats the id.
    if (request.kind == RequestKind::Idempotent)
        request.cancelled = call.http.cancelled;
    for (const auto &header : call.http.headers) {
        if (!isOwnHeader(header.first))
            request.headers.push_back(header);
    }
    request.headers.emplace_back(teamHeader, call.team.value());
    request.headers.emplace_back(requestHeader, call.requestId);
    request.headers.emplace_back(
        deadlineHeader, std::to_string(remainingMs(request.deadline - answerMargin, clock_.now())));
    if (const auto operation = call.http.header(operationHeader))
        request.headers.emplace_back(operationHeader, *operation);
    UpstreamResponse response = client_.send(request);
    result = resultOf(response);
    const bool shed = response.outcome == UpstreamOutcome::Answered && response.status == 503
        && request.kind == RequestKind::Idempotent;
    retry = (response.mayRetry(request.kind) && response.failure != UpstreamFailure::Cancelled
                && response.failure != UpstreamFailure::TooLarge)
        || shed;
    if (response.outcome == UpstreamOutcome::Answered) {
        HttpReply reply { response.status, std::move(response.headers), std::move(response.body),
            false };
        std::erase_if(reply.headers, [](const auto &header) { return isOwnHeader(header.first); });
        reply.headers.emplace_back(outcomeHeader, "done");
        return reply;
    }
    if (response.outcome == UpstreamOutcome::NotRun)
        return refuse(call, 503, "upstream_not_run", 1s);
    node_.timeline().record(EventId::OperationUnknown,
        { { "request", call.requestId }, { "upstream", grant.upstream.value() },
            { "reason", toString(response.reason) } });
    return unknown(response.failure == UpstreamFailure::Deadline ? 504 : 502, "answer_lost");
}

HttpReply RequestHandler::passOn(const Call &call, const Address &address, Hop hop)
{
    const std::string kind = hop == Hop::ToIssuer ? "issuer" : "admitted";
    const std::string operation(call.http.header(operationHeader).value_or(""));
    UpstreamRequest request;
    request.address = address;
    request.method = call.http.method;
    request.path = call.http.target;
    request.body = call.http.body;
    request.deadline = call.deadline;
    request.kind = kindOf(call);
    request.cancelled = call.http.cancelled;
    for (const auto &header : call.http.headers) {
        if (!isOwnHeader(header.first))
            request.headers.push_back(header);
    }
    request.headers.emplace_back(teamHeader, call.team.value());
    request.headers.emplace_back(
        deadlineHeader, std::to_string(remainingMs(call.deadline - answerMargin, clock_.now())));
    if (!operation.empty())
        request.headers.emplace_back(operationHeader, operation);
    if (call.home)
        request.headers.emplace_back(homeHeader, call.home->value());
    request.headers.emplace_back(
        hopHeader, kind + ":" + hopProof(call.http, kind, call.team.value(), operation));
    node_.timeline().record(EventId::RequestPassedOn,
        { { "request", call.requestId }, { "peer", address.value() }, { "kind", kind } });
    return fromPeer(client_.send(request), address, hop);
}

HttpReply RequestHandler::fromPeer(const UpstreamResponse &response, const Address &peer, Hop hop)
{
    if (response.outcome == UpstreamOutcome::Answered)
        return { response.status, response.headers, response.body, false };
    // Nothing was sent to the issuer, but another copy of the operation may have run there.
    if (response.outcome == UpstreamOutcome::NotRun && hop == Hop::ToIssuer)
        return unknown(503, "issuer_unreachable");
    if (response.outcome == UpstreamOutcome::NotRun)
        return notRun(503, "peer_unreachable", 1s);
    node_.timeline().record(EventId::OperationUnknown,
        { { "peer", peer.value() }, { "reason", toString(response.reason) } });
    return unknown(504, "answer_lost");
}

} // namespace endivequay
