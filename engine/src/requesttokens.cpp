#include "endivequay/requestengine.h"

#include <algorithm>
#include <iterator>

// Requests that wait for a token of their team's limit.
namespace endivequay {

namespace {

/// Covers a round trip between regions and some packet loss.
constexpr Interval tokenRequestTimeout = std::chrono::milliseconds(120);

} // namespace

bool RequestEngine::requestToken(
    RequestId requestId, const Request &request, bool mayAskLocalOwner, Instant now)
{
    auto tokenRequest = mayAskLocalOwner ? quota_.tokenRequestFor(request.team, now) : std::nullopt;
    const bool isRemote = !tokenRequest;
    if (isRemote)
        tokenRequest = quota_.remoteTokenRequestFor(request.team, now);
    if (!tokenRequest)
        return false;
    tokenRequests_.push_back(*tokenRequest);
    // Independent of the wait for room, which may be shorter than a round trip between regions: the
    // request would be refused although its team is within the limit.
    tokenWaits_[requestId]
        = { std::min(request.finalDeadline, now + tokenRequestTimeout), isRemote };
    return true;
}

Step RequestEngine::refuseOverLimit(RequestId requestId, const Request &request, Instant now)
{
    LocalResponse answer { 429, LocalResponseCause::OverLimit, quota_.retryAfter(request.team),
        quota_.describe(request.team, now) };
    return finish(requestId, answer);
}

std::pair<RequestId, Step> RequestEngine::settleTokenWait(RequestId requestId, Instant now)
{
    tokenWaits_.erase(requestId);
    Request &request = requests_.at(requestId);
    return { requestId,
        quota_.tryTake(request.team, now) ? sendOrQueue(requestId, request, now)
                                          : refuseOverLimit(requestId, request, now) };
}

std::vector<std::pair<RequestId, Step>> RequestEngine::tokensGranted(
    DemandKey team, int count, const InstanceId &from, Instant now)
{
    std::vector<std::pair<RequestId, Step>> steps;
    const auto id = quota_.receiveTokens(team, count, from, now);
    if (!id)
        return steps;
    // A refusal settles one request: each waiting request has asked for its own token.
    for (int settled = 0; settled < std::max(1, count); ++settled) {
        const auto waiting = std::ranges::find_if(
            tokenWaits_, [&](const auto &entry) { return requests_.at(entry.first).team == *id; });
        if (waiting == tokenWaits_.end())
            break;
        const auto [requestId, wait] = *waiting;
        if (count == 0 && !wait.askedRemoteOwner
            && requestToken(requestId, requests_.at(requestId), false, now))
            break;
        steps.push_back(settleTokenWait(requestId, now));
    }
    return steps;
}

void RequestEngine::expireTokenWaits(Instant now, std::vector<std::pair<RequestId, Step>> &steps)
{
    std::vector<RequestId> due;
    for (const auto &[requestId, wait] : tokenWaits_)
        if (wait.until <= now)
            due.push_back(requestId);
    std::ranges::transform(due, std::back_inserter(steps),
        [&](RequestId requestId) { return settleTokenWait(requestId, now); });
}

} // namespace endivequay
