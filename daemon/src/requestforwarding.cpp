#include "requests.h"

#include "requestfields.h"

#include <algorithm>

// Sends admitted requests to an upstream or forwards them to another instance.
namespace endivequay {

namespace {

using namespace std::chrono_literals;
using namespace detail;

// Subtracted from the deadline sent downstream, so that the reply arrives in time.
constexpr Interval replyMargin = 20ms;

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

HttpReply RequestHandler::sendWithRetries(const Call &call)
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
        if (const auto *other = std::get_if<ForwardToInstance>(&decision))
            return forwardToPeer(call, other->address, Hop::Admitted);
        if (const auto *refusal = std::get_if<Refusal>(&decision)) {
            const int status = refusal->reason == RefusalReason::Deadline ? 504 : 503;
            return refuse(call, status, refusalName(refusal->reason),
                std::max(refusal->retryAt - clock_.now(), Interval::zero()));
        }
        const auto &grant = std::get<SlotGrant>(decision);
        if (first)
            admission_.requestStarted(call.service->id, call.team);
        const RegionId localRegion = call.view->configuration->regionOf(node_.identity().domain);
        const Region *region = call.view->configuration->region(localRegion);
        if (region != nullptr && region->capacity
            && !node_.acquireRate(regionResource(localRegion), RequestCount(1), call.deadline)) {
            admission_.finish(call.service->id, grant, RequestResult::Cancelled);
            return refuse(call, 503, "region_capacity", 1s);
        }
        RequestResult result = RequestResult::Failed;
        bool retry = false;
        HttpReply reply = sendToUpstream(call, grant, result, retry);
        admission_.finish(call.service->id, grant, result);
        if (!retry || clock_.now() >= call.deadline
            || !admission_.tryRetry(call.service->id, call.team))
            return reply;
        node_.metrics().count("endivequay_retries_total");
    }
}

HttpReply RequestHandler::sendToUpstream(
    const Call &call, const SlotGrant &grant, RequestResult &result, bool &retry)
{
    UpstreamRequest request;
    request.address = grant.address;
    request.method = call.http.method;
    request.path = call.upstreamTarget;
    request.body = call.http.body;
    request.deadline = std::min(call.deadline, grant.startedAt + maxRequestDuration);
    request.kind = kindOf(call);
    // A caller disconnect does not cancel an operation that was sent: the caller repeats its id to
    // get the reply.
    if (request.kind == RequestKind::Idempotent)
        request.cancelled = call.http.cancelled;
    for (const auto &header : call.http.headers) {
        if (!isReservedHeader(header.first))
            request.headers.push_back(header);
    }
    request.headers.emplace_back(teamHeader, call.team.value());
    request.headers.emplace_back(requestIdHeader, call.requestId);
    request.headers.emplace_back(
        deadlineHeader, std::to_string(remainingMs(request.deadline - replyMargin, clock_.now())));
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
        std::erase_if(
            reply.headers, [](const auto &header) { return isReservedHeader(header.first); });
        reply.headers.emplace_back(outcomeHeader, "done");
        return reply;
    }
    if (response.outcome == UpstreamOutcome::NotRun)
        return refuse(call, 503, "upstream_not_run", 1s);
    node_.timeline().record(EventId::OperationUnknown,
        { { "request", call.requestId }, { "upstream", grant.upstream.value() },
            { "reason", toString(response.reason) } });
    return unknownOutcomeReply(
        response.failure == UpstreamFailure::Deadline ? 504 : 502, "answer_lost");
}

HttpReply RequestHandler::forwardToPeer(const Call &call, const Address &address, Hop hop)
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
        if (!isReservedHeader(header.first))
            request.headers.push_back(header);
    }
    request.headers.emplace_back(teamHeader, call.team.value());
    request.headers.emplace_back(
        deadlineHeader, std::to_string(remainingMs(call.deadline - replyMargin, clock_.now())));
    if (!operation.empty())
        request.headers.emplace_back(operationHeader, operation);
    if (call.home)
        request.headers.emplace_back(homeRegionHeader, call.home->value());
    request.headers.emplace_back(
        hopHeader, kind + ":" + hopMac(call.http, kind, call.team.value(), operation));
    node_.timeline().record(EventId::RequestPassedOn,
        { { "request", call.requestId }, { "peer", address.value() }, { "kind", kind } });
    return replyFromPeer(client_.send(request), address, hop);
}

HttpReply RequestHandler::replyFromPeer(
    const UpstreamResponse &response, const Address &peer, Hop hop)
{
    if (response.outcome == UpstreamOutcome::Answered)
        return { response.status, response.headers, response.body, false };
    // Nothing was sent to the issuer, but another copy of the operation may already have run there.
    if (response.outcome == UpstreamOutcome::NotRun && hop == Hop::ToIssuer)
        return unknownOutcomeReply(503, "issuer_unreachable");
    if (response.outcome == UpstreamOutcome::NotRun)
        return notRunReply(503, "peer_unreachable", 1s);
    node_.timeline().record(EventId::OperationUnknown,
        { { "peer", peer.value() }, { "reason", toString(response.reason) } });
    return unknownOutcomeReply(504, "answer_lost");
}

} // namespace endivequay
