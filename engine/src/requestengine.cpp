#include "endivequay/requestengine.h"

#include "endivequay/digest.h"

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <numeric>

namespace endivequay {

namespace {

/// Retry time sent by a stopping instance: the next connection of the caller reaches another
/// instance.
constexpr Interval stoppingRetryDelay = std::chrono::milliseconds(20);

/// A stopping instance expects a run to take this many times the mean of its route: an upstream
/// with a cold cache takes up to three times as long as a warm one.
constexpr double stopDurationFactor = 2;

/// Retry time sent by an instance without a configuration: after a restart it has one within about
/// half a second, and callers retry only once. The jitter spreads the retries.
constexpr double noConfigurationRetrySeconds = 0.7;
constexpr double noConfigurationRetryJitterSeconds = 0.5;

/// Weight of one attempt in the moving averages.
constexpr double attemptTimeWeight = 0.05;

/// Connection failures after which a request is given up; a failed connect does not reach an
/// upstream.
constexpr int maxConnectFailures = 3;

/// Timeout of a request whose route sets none.
constexpr Interval defaultRequestTimeout = std::chrono::seconds(30);

/// A request is taken for a retry if its time budget is below this fraction of the longest budget
/// on its route: first attempts of one kind of request come with the same budget.
constexpr double callerRetryBudgetFraction = 0.97;

/// Queueing for this fraction of the objective does not harm callers.
constexpr double minWaitFraction = 0.125;
/// Maximum wait as a fraction of the objective; shorter for the least urgent requests.
constexpr double maxWaitFraction = 0.5;
constexpr double maxWaitFractionLowPriority = 0.25;
constexpr int lowPriorityFrom = 2; ///< Priorities from this value on have the shorter maximum wait.

/// Queued requests of a service that may fail to get a slot before a dispatch pass stops trying.
constexpr std::size_t maxDispatchFailures = 32;

/// Callers honor a retry time up to this fraction of their remaining time.
constexpr double honoredRetryFraction = 1.0 / 3;
/// Retries are spread between this fraction of the honored time and all of it.
constexpr double minRetryJitter = 0.4;

void updateMean(double &mean, double sample)
{
    mean = mean == 0 ? sample : mean + attemptTimeWeight * (sample - mean);
}

/// Pseudorandom value from 0 to 1, derived from the object.
double retryJitter(std::uint64_t objectHash)
{
    return static_cast<double>(hash64("return", objectHash) % 1000) / 1000;
}

QueuePosition queuePosition(RequestId requestId, int priority, bool callerRetry, Instant waitUntil)
{
    return { priority, !callerRetry, waitUntil, requestId };
}

} // namespace

std::size_t InstanceIdentity::failureDomainCount() const
{
    return std::transform_reduce(domainsByRegion.begin(), domainsByRegion.end(), std::size_t { 0 },
        std::plus {}, [](const auto &entry) { return static_cast<std::size_t>(entry.second); });
}

std::string_view causeName(LocalResponseCause cause)
{
    static constexpr std::array<std::string_view, 12> names { "no_configuration", "no_route",
        "missing_key", "unknown_key", "over_limit", "no_upstream", "no_room", "timed_out_waiting",
        "timed_out_running", "unreachable", "outcome_unknown", "stopping" };
    return names.at(static_cast<std::size_t>(cause));
}

std::vector<InstanceId> preferredInstances(
    const InstanceIdentity &self, std::span<const PeerView> peers)
{
    std::map<FailureDomainId, InstanceCapacity> strongest { { self.domain, self.capacity } };
    for (const PeerView &peer : peers)
        strongest[peer.domain] = std::max(strongest[peer.domain], peer.capacity);
    std::vector<InstanceId> preferred;
    if (isPreferred(self.capacity, strongest.at(self.domain)))
        preferred.push_back(self.id);
    for (const PeerView &peer : peers)
        if (isPreferred(peer.capacity, strongest.at(peer.domain)))
            preferred.push_back(peer.id);
    return preferred;
}

RequestEngine::RequestEngine(InstanceIdentity self, RetryBudgetLimits budget, QuotaTolerance quota)
    : self_(std::move(self))
    , budgetLimits_(budget)
    , upstreams_(self_.id, self_.failureDomainCount())
    , quota_(self_.id, quota, self_.failureDomainCount(), self_.region, self_.capacity)
{ }

void RequestEngine::setTable(std::shared_ptr<const RoutingTable> table, Instant now)
{
    table_ = std::move(table);
    std::erase_if(routes_, [&](const auto &entry) {
        return std::ranges::none_of(table_->document().routes,
            [&](const RequestRoute &route) { return route.id == entry.first; });
    });
    rebalance(now);
}

void RequestEngine::setUpstreams(const std::vector<UpstreamEntry> &entries,
    const std::set<FailureDomainId> &evacuated, Instant now)
{
    if (!table_)
        return;
    upstreams_.replace(entries, evacuated, *table_, now);
    requestRebalance(now);
}

void RequestEngine::setPeers(std::vector<PeerView> peers, Instant now)
{
    const auto ids = [](const std::vector<PeerView> &views) {
        std::set<InstanceId> result;
        std::ranges::for_each(views, [&](const PeerView &view) { result.insert(view.id); });
        return result;
    };
    domainMembers_
        = 1 + static_cast<std::size_t>(std::ranges::count(peers, self_.domain, &PeerView::domain));
    const bool membersChanged = ids(peers) != ids(peers_);
    if (membersChanged) {
        auto preferred = preferredInstances(self_, peers);
        const bool isPreferred = std::ranges::find(preferred, self_.id) != preferred.end();
        retrySlackShare_
            = FleetRetryBudget::slackShare(isPreferred, preferred.size(), peers.size() + 1);
        upstreams_.setSenders(std::move(preferred));
    }
    peers_ = std::move(peers);
    // Without this an instance that has just started would use the whole limits until the next
    // rebalance.
    if (membersChanged)
        rebalance(now);
    else
        requestRebalance(now);
}

ServiceId RequestEngine::selectService(const RequestRoute &route, RouteStats &stats)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    double total = 0;
    for (const WeightedService &part : route.services) {
        stats.credits[part.service] += part.weight;
        total += part.weight;
    }
    const auto best = std::ranges::max_element(route.services, {},
        [&](const WeightedService &part) { return stats.credits[part.service]; });
    stats.credits[best->service] -= total;
    return best->service;
}

std::variant<RequestEngine::Request, LocalResponse> RequestEngine::admit(
    const RequestInfo &info, Instant now)
{
    if (!accepting_)
        return LocalResponse { 503, LocalResponseCause::Stopping, stoppingRetryDelay };
    if (!table_)
        return LocalResponse { 503, LocalResponseCause::NoConfiguration,
            fromSeconds(noConfigurationRetrySeconds
                + noConfigurationRetryJitterSeconds * retryJitter(hash64(info.object))) };
    const RequestRoute *route = table_->match(info.host, info.path);
    if (route == nullptr)
        return LocalResponse { 404, LocalResponseCause::NoRoute, {} };
    const TeamSettings *team = info.key ? table_->teamOf(*info.key) : nullptr;
    if (table_->document().keysRequired && !route->open && team == nullptr)
        return LocalResponse { 401,
            info.key ? LocalResponseCause::UnknownKey : LocalResponseCause::MissingKey, {} };
    if (!endsBeforeStop(*route, now))
        return LocalResponse { 503, LocalResponseCause::Stopping, stoppingRetryDelay };
    Request request;
    request.table = table_;
    request.route = route;
    request.team = team == nullptr ? TeamId {} : team->id;
    request.priority = team != nullptr && team->priority ? *team->priority : route->priority;
    request.arrivedAt = now;
    const Interval timeout = route->timeout > Interval {} ? route->timeout : defaultRequestTimeout;
    request.finalDeadline = now + timeout;
    RouteStats &stats = routes_[route->id];
    if (info.callerDeadline) {
        request.finalDeadline = std::min(request.finalDeadline, *info.callerDeadline);
        const Interval budget = *info.callerDeadline - now;
        stats.longestCallerBudget = std::max(stats.longestCallerBudget, budget);
        request.callerRetry
            = toSeconds(budget) < callerRetryBudgetFraction * toSeconds(stats.longestCallerBudget);
    }
    request.service = selectService(*route, stats);
    demand_.recordArrival(request.team, request.service, now);
    request.objectHash = hash64(info.object);
    const double objective = toSeconds(route->objective);
    const double slack = objective - stats.meanAttemptSeconds;
    const double longest
        = request.priority >= lowPriorityFrom ? maxWaitFractionLowPriority : maxWaitFraction;
    const double wait = std::clamp(slack, minWaitFraction * objective, longest * objective);
    request.waitUntil = std::min(now + fromSeconds(wait), request.finalDeadline);
    return request;
}

Step RequestEngine::requestArrived(RequestId requestId, const RequestInfo &info, Instant now)
{
    auto admitted = admit(info, now);
    if (const auto *answer = std::get_if<LocalResponse>(&admitted))
        return *answer;
    Request &request
        = requests_.emplace(requestId, std::get<Request>(std::move(admitted))).first->second;
    if (info.object.empty())
        request.objectHash = hash64(request.route->id.value(), requestId * 0x9e3779b97f4a7c15ULL);
    deadlines_.emplace(request.finalDeadline, requestId);
    if (!request.team.value().empty()) {
        const bool hasToken = quota_.tryTake(request.team, now);
        if (const auto prefetch = quota_.prefetchFor(request.team, now))
            tokenRequests_.push_back(*prefetch);
        if (!hasToken)
            return requestToken(requestId, request, true, now)
                ? Step(KeepWaiting {})
                : refuseOverLimit(requestId, request, now);
    }
    return sendOrQueue(requestId, request, now);
}

Step RequestEngine::sendOrQueue(RequestId requestId, Request &request, Instant now)
{
    services_[request.service].budget.recordArrival(budgetLimits_, retrySlackShare_);
    spillLimiter_.recordArrival();
    request.regions = regionsFor(request, now);
    if (auto step = trySend(requestId, request, now))
        return *step;
    return queueOrRefuse(requestId, request, now);
}

Step RequestEngine::queueOrRefuse(RequestId requestId, Request &request, Instant now)
{
    const bool servable = std::ranges::any_of(request.regions,
        [&](const RegionId &region) { return upstreams_.serves(request.service, region, now); });
    if (!servable && !request.mayHaveRun)
        return finish(requestId, refusal(request, LocalResponseCause::NoUpstream, now));
    const auto position
        = queuePosition(requestId, request.priority, request.callerRetry, request.waitUntil);
    const ServiceState &service = services_[request.service];
    double slots = 0;
    std::ranges::for_each(request.regions,
        [&](const RegionId &region) { slots += upstreams_.slots(request.service, region, now); });
    // All instances share the slots; each gets about an equal part of the completions.
    const double perSecond = slots / std::max(0.01, service.meanServiceSeconds)
        / static_cast<double>(peers_.size() + 1);
    const double expected
        = static_cast<double>(queue_.ahead(request.service, position)) / std::max(0.1, perSecond);
    if (now + fromSeconds(expected) >= request.waitUntil)
        return finish(requestId, refusal(request, LocalResponseCause::NoRoom, now));
    queue_.push(request.service, position);
    return KeepWaiting {};
}

LocalResponse RequestEngine::refusal(
    const Request &request, LocalResponseCause cause, Instant now) const
{
    if (request.mayHaveRun)
        return { 502, LocalResponseCause::OutcomeUnknown, {} };
    const double remaining = std::max(0.0, toSeconds(request.finalDeadline - now));
    const double jitter = minRetryJitter + (1 - minRetryJitter) * retryJitter(request.objectHash);
    return { 503, cause, fromSeconds(std::max(0.05, remaining * honoredRetryFraction * jitter)) };
}

Step RequestEngine::finish(RequestId requestId, Step step)
{
    const auto found = requests_.find(requestId);
    if (found == requests_.end())
        return step;
    // Only requests that run count toward the limit. A refused request takes its token when it is
    // retried.
    const auto *answer = std::get_if<LocalResponse>(&step);
    if (answer != nullptr && answer->status == 503)
        quota_.refund(found->second.team);
    tokenWaits_.erase(requestId);
    deadlines_.erase({ found->second.finalDeadline, requestId });
    requests_.erase(found);
    return step;
}

void RequestEngine::endAttempt(Request &request, const AttemptOutcome &outcome, Instant now)
{
    if (!request.currentUpstream)
        return;
    services_[request.service].inFlightInRegion -= request.inOwnRegion ? 1 : 0;
    const double time = toSeconds(now - request.sentAt);
    RouteStats &stats = routes_[request.route->id];
    const double pace = outcome.occupancy && outcome.occupancy->pacePercent
        ? std::max(1.0, *outcome.occupancy->pacePercent / 100.0)
        : 1;
    const double relative
        = stats.meanAttemptSeconds > 0 ? time / pace / stats.meanAttemptSeconds : 1;
    if (outcome.result == AttemptResult::Good) {
        updateMean(stats.meanAttemptSeconds, time);
        ServiceState &service = services_[request.service];
        updateMean(service.meanServiceSeconds, time);
        stats.warmDuration.observe(time);
        // The first run of an object at a new primary upstream is cold whether or not the upstream
        // evicts objects.
        const bool cold = stats.warmDuration.looksCold(time);
        if (cold && !request.sentObjectBefore)
            updateMean(stats.meanColdSeconds, time);
        updateMean(service.meanRunSeconds, cold ? time : stats.warmDuration.typicalWarm());
        const bool countsForLocality = !cold || request.sentObjectBefore;
        if (upstreams_.domainOf(*request.currentUpstream) == self_.domain && countsForLocality)
            service.locality.observe(cold, domainMembers_);
    }
    upstreams_.attemptFinished(*request.currentUpstream, outcome.result, relative, now);
    if (outcome.upstreamLeaving)
        upstreams_.leavingReported(*request.currentUpstream);
    if (outcome.occupancy)
        upstreams_.occupancyReported(*request.currentUpstream, *outcome.occupancy, now);
    request.currentUpstream.reset();
}

Step RequestEngine::attemptEnded(RequestId requestId, const AttemptOutcome &outcome, Instant now)
{
    const auto found = requests_.find(requestId);
    if (found == requests_.end())
        return KeepWaiting {};
    Request &request = found->second;
    endAttempt(request, outcome, now);
    if (outcome.result == AttemptResult::Good)
        return finish(requestId, DeliverResponse {});
    request.mayHaveRun = request.mayHaveRun || outcome.mayHaveRun;
    return retry(requestId, request, outcome, now);
}

Step RequestEngine::retry(
    RequestId requestId, Request &request, const AttemptOutcome &outcome, Instant now)
{
    const auto giveUp = [&]() -> Step {
        if (outcome.hasResponse && outcome.mayHaveRun)
            return finish(requestId, DeliverResponse {});
        return finish(requestId, refusal(request, LocalResponseCause::Unreachable, now));
    };
    if (request.mayHaveRun && request.route->repeatability != Repeatability::Idempotent)
        return giveUp();
    if (outcome.result == AttemptResult::Unreachable) {
        --request.sends; // Nothing reached an upstream.
        if (++request.connectFailures >= maxConnectFailures)
            return giveUp();
    } else if (request.sends >= request.route->attempts
        || !services_[request.service].budget.tryTake()) {
        return giveUp();
    }
    if (request.finalDeadline <= now || !endsBeforeStop(*request.route, now))
        return giveUp();
    request.regions = regionsFor(request, now);
    if (auto step = trySend(requestId, request, now))
        return *step;
    if (outcome.hasResponse && outcome.mayHaveRun)
        return giveUp();
    return queueOrRefuse(requestId, request, now);
}

void RequestEngine::left(RequestId requestId, Instant now)
{
    const auto found = requests_.find(requestId);
    if (found == requests_.end())
        return;
    Request &request = found->second;
    queue_.remove(request.service,
        queuePosition(requestId, request.priority, request.callerRetry, request.waitUntil));
    endAttempt(request, { AttemptResult::Cancelled, false, true, {} }, now);
    finish(requestId, KeepWaiting {});
}

void RequestEngine::expire(Instant now, std::vector<std::pair<RequestId, Step>> &steps)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const RequestId requestId = deadlines_.begin()->second;
        Request &request = requests_.at(requestId);
        const bool running = request.currentUpstream.has_value();
        queue_.remove(request.service,
            queuePosition(requestId, request.priority, request.callerRetry, request.waitUntil));
        LocalResponse answer = refusal(request, LocalResponseCause::TimedOutWaiting, now);
        if (running) {
            answer = { 504, LocalResponseCause::TimedOutRunning, {} };
            endAttempt(request, { AttemptResult::Failed, false, true, {} }, now);
        }
        steps.emplace_back(requestId, finish(requestId, answer));
    }
}

bool RequestEngine::endsBeforeStop(const RequestRoute &route, Instant now) const
{
    const auto stats = routes_.find(route.id);
    if (!stopAt_ || stats == routes_.end())
        return true;
    return now + fromSeconds(stopDurationFactor * stats->second.meanAttemptSeconds) <= *stopAt_;
}

void RequestEngine::dispatch(Instant now, std::vector<std::pair<RequestId, Step>> &steps)
{
    for (const ServiceId &service : queue_.services()) {
        std::size_t failed = 0;
        for (const QueuePosition &position : queue_.ordered(service)) {
            Request &request = requests_.at(position.requestId);
            if (!endsBeforeStop(*request.route, now)) {
                queue_.remove(service, position);
                LocalResponse answer = refusal(request, LocalResponseCause::Stopping, now);
                answer.retryAfter = answer.status == 503 ? stoppingRetryDelay : Interval {};
                steps.emplace_back(position.requestId, finish(position.requestId, answer));
                continue;
            }
            if (failed < maxDispatchFailures) {
                if (auto step = trySend(position.requestId, request, now)) {
                    queue_.remove(service, position);
                    steps.emplace_back(position.requestId, *step);
                    continue;
                }
                ++failed;
            }
            if (request.waitUntil <= now) {
                queue_.remove(service, position);
                steps.emplace_back(position.requestId,
                    finish(position.requestId, refusal(request, LocalResponseCause::NoRoom, now)));
            }
        }
    }
}

std::vector<std::pair<RequestId, Step>> RequestEngine::advance(Instant now)
{
    std::vector<std::pair<RequestId, Step>> steps;
    if (rebalancePending_ && now >= rebalanceAt_)
        rebalance(now);
    expire(now, steps);
    expireTokenWaits(now, steps);
    if (queue_.size() > 0)
        dispatch(now, steps);
    return steps;
}

} // namespace endivequay
