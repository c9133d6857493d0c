#include "endivequay/requestengine.h"

#include "endivequay/digest.h"

#include <algorithm>
#include <array>
#include <functional>
#include <numeric>

namespace endivequay {

namespace {

/// Retry time of a stopping instance: the caller's next connection goes to another one.
constexpr Interval elsewhereAtOnce = std::chrono::milliseconds(20);

/// Retry time of an instance without a configuration: after a restart it has one within about half
/// a second, and callers come back once. The spread keeps them from returning all at once.
constexpr double configurationRetry = 0.7; // s
constexpr double configurationRetrySpread = 0.5; // s

/// Weight of one attempt in the mean times.
constexpr double timeWeight = 0.05;

/// Longest wait for the answer of a reserve's keeper: a round trip between regions and some loss.
constexpr Interval tokenPatience = std::chrono::milliseconds(120);

/// Connection failures after which a request gives up; none of them reaches an upstream.
constexpr int mostConnects = 3;

/// Upper bound of a request without a deadline of its caller and of its route.
constexpr Interval longestRequest = std::chrono::seconds(30);

/// A caller that allows less than this part of its route's longest budget has been refused before:
/// first attempts of one kind of request come with the same budget.
constexpr double returningPart = 0.97;

/// Requests may be held for this part of their objective without harm to their callers.
constexpr double harmlessWait = 0.125;
/// Longest wait of requests that are not the least urgent, as a part of their objective.
constexpr double longestWait = 0.5;
constexpr double longestWaitLeastUrgent = 0.25;
constexpr int leastUrgent = 2; ///< Priority from which requests wait less.

/// Waiting requests of a service that are tried when room may have become free.
constexpr std::size_t dispatchDepth = 32;

/// Callers honour a retry time up to this part of the time that they have left.
constexpr double honouredPart = 1.0 / 3;
/// Returns are spread between this part of the honoured time and all of it.
constexpr double earliestReturn = 0.4;

void moveMean(double &mean, double sample)
{
    mean = mean == 0 ? sample : mean + timeWeight * (sample - mean);
}

/// From 0 to 1, different for different objects.
double returnSpread(std::uint64_t objectHash)
{
    return static_cast<double>(hash64("return", objectHash) % 1000) / 1000;
}

QueuePosition positionOf(Ticket ticket, int priority, bool returning, Instant waitUntil)
{
    return { priority, !returning, waitUntil, ticket };
}

} // namespace

std::size_t InstanceIdentity::failureDomains() const
{
    return std::transform_reduce(domainsByRegion.begin(), domainsByRegion.end(), std::size_t { 0 },
        std::plus {}, [](const auto &entry) { return static_cast<std::size_t>(entry.second); });
}

std::string_view causeName(AnswerCause cause)
{
    static constexpr std::array<std::string_view, 12> names { "no_configuration", "no_route",
        "missing_key", "unknown_key", "over_limit", "no_upstream", "no_room", "timed_out_waiting",
        "timed_out_running", "unreachable", "outcome_unknown", "stopping" };
    return names.at(static_cast<std::size_t>(cause));
}

RequestEngine::RequestEngine(InstanceIdentity self, SendBudgetLimits budget, QuotaTolerance quota)
    : self_(std::move(self))
    , budgetLimits_(budget)
    , upstreams_(self_.id, self_.failureDomains())
    , quota_(self_.id, quota, self_.failureDomains())
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
    rebalanceSoon(now);
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
    if (membersChanged)
        upstreams_.setPeers(peers);
    peers_ = std::move(peers);
    // An instance that has just started would have the limits for itself until the next division.
    if (membersChanged)
        rebalance(now);
    else
        rebalanceSoon(now);
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

std::variant<RequestEngine::Request, OwnAnswer> RequestEngine::admit(
    const RequestFacts &facts, Instant now)
{
    if (!taking_)
        return OwnAnswer { 503, AnswerCause::Stopping, elsewhereAtOnce };
    if (!table_)
        return OwnAnswer { 503, AnswerCause::NoConfiguration,
            fromSeconds(configurationRetry
                + configurationRetrySpread * returnSpread(hash64(facts.object))) };
    const RequestRoute *route = table_->match(facts.host, facts.path);
    if (route == nullptr)
        return OwnAnswer { 404, AnswerCause::NoRoute, {} };
    const TeamSettings *team = facts.key ? table_->teamOf(*facts.key) : nullptr;
    if (table_->document().keysRequired && !route->open && team == nullptr)
        return OwnAnswer { 401, facts.key ? AnswerCause::UnknownKey : AnswerCause::MissingKey, {} };
    Request request;
    request.table = table_;
    request.route = route;
    request.team = team == nullptr ? TeamId {} : team->id;
    request.priority = team != nullptr && team->priority ? *team->priority : route->priority;
    request.arrivedAt = now;
    const Interval timeout = route->timeout > Interval {} ? route->timeout : longestRequest;
    request.finalDeadline = now + timeout;
    RouteStats &stats = routes_[route->id];
    if (facts.callerDeadline) {
        request.finalDeadline = std::min(request.finalDeadline, *facts.callerDeadline);
        const Interval budget = *facts.callerDeadline - now;
        stats.longestBudget = std::max(stats.longestBudget, budget);
        request.returning = toSeconds(budget) < returningPart * toSeconds(stats.longestBudget);
    }
    request.service = selectService(*route, stats);
    demand_.arrived(request.team, request.service, now);
    request.objectHash = hash64(facts.object);
    const double objective = toSeconds(route->objective);
    const double slack = objective - stats.typicalTime;
    const double longest = request.priority >= leastUrgent ? longestWaitLeastUrgent : longestWait;
    const double wait = std::clamp(slack, harmlessWait * objective, longest * objective);
    request.waitUntil = std::min(now + fromSeconds(wait), request.finalDeadline);
    return request;
}

Step RequestEngine::arrive(Ticket ticket, const RequestFacts &facts, Instant now)
{
    auto admitted = admit(facts, now);
    if (const auto *answer = std::get_if<OwnAnswer>(&admitted))
        return *answer;
    Request &request
        = requests_.emplace(ticket, std::get<Request>(std::move(admitted))).first->second;
    if (facts.object.empty())
        request.objectHash = hash64(request.route->id.value(), ticket * 0x9e3779b97f4a7c15ULL);
    deadlines_.emplace(request.finalDeadline, ticket);
    if (!request.team.value().empty() && !quota_.tryTake(request.team, now))
        return awaitToken(ticket, request, now) ? Step(KeepWaiting {})
                                                : overLimit(ticket, request, now);
    return start(ticket, request, now);
}

Step RequestEngine::start(Ticket ticket, Request &request, Instant now)
{
    services_[request.service].budget.arrived(budgetLimits_, peers_.size() + 1);
    spill_.arrived();
    request.regions = regionsFor(request, now);
    if (auto step = place(ticket, request, now))
        return *step;
    return waitOrRefuse(ticket, request, now);
}

bool RequestEngine::awaitToken(Ticket ticket, const Request &request, Instant now)
{
    const auto ask = quota_.ask(request.team, now);
    if (!ask)
        return false;
    tokenRequests_.push_back(*ask);
    awaitingTokens_[ticket] = std::min(request.waitUntil, now + tokenPatience);
    return true;
}

Step RequestEngine::overLimit(Ticket ticket, const Request &request, Instant now)
{
    OwnAnswer answer { 429, AnswerCause::OverLimit, quota_.retryAfter(request.team),
        quota_.describe(request.team, now) };
    return finish(ticket, answer);
}

std::vector<std::pair<Ticket, Step>> RequestEngine::tokensGranted(
    DemandKey team, int count, Instant now)
{
    std::vector<std::pair<Ticket, Step>> steps;
    const auto id = quota_.granted(team, count, now);
    if (!id)
        return steps;
    // Each answer settles as many requests as were asked for: one.
    const auto waiting = std::ranges::find_if(
        awaitingTokens_, [&](const auto &entry) { return requests_.at(entry.first).team == *id; });
    if (waiting == awaitingTokens_.end())
        return steps;
    const Ticket ticket = waiting->first;
    awaitingTokens_.erase(waiting);
    Request &request = requests_.at(ticket);
    steps.emplace_back(ticket,
        quota_.tryTake(*id, now) ? start(ticket, request, now) : overLimit(ticket, request, now));
    return steps;
}

void RequestEngine::expireTokenWaits(Instant now, std::vector<std::pair<Ticket, Step>> &steps)
{
    std::vector<Ticket> due;
    for (const auto &[ticket, until] : awaitingTokens_)
        if (until <= now)
            due.push_back(ticket);
    for (const Ticket ticket : due) {
        awaitingTokens_.erase(ticket);
        Request &request = requests_.at(ticket);
        steps.emplace_back(ticket,
            quota_.tryTake(request.team, now) ? start(ticket, request, now)
                                              : overLimit(ticket, request, now));
    }
}

Step RequestEngine::waitOrRefuse(Ticket ticket, Request &request, Instant now)
{
    const bool servable = std::ranges::any_of(request.regions,
        [&](const RegionId &region) { return upstreams_.serves(request.service, region, now); });
    if (!servable && !request.mayHaveRun)
        return finish(ticket, refusal(request, AnswerCause::NoUpstream, now));
    const auto position
        = positionOf(ticket, request.priority, request.returning, request.waitUntil);
    const ServiceState &service = services_[request.service];
    double slots = 0;
    std::ranges::for_each(request.regions,
        [&](const RegionId &region) { slots += upstreams_.slots(request.service, region, now); });
    // Slots of the fleet are shared by all instances; each takes about its part of the completions.
    const double perSecond
        = slots / std::max(0.01, service.meanTime) / static_cast<double>(peers_.size() + 1);
    const double expected
        = static_cast<double>(queue_.ahead(request.service, position)) / std::max(0.1, perSecond);
    if (now + fromSeconds(expected) >= request.waitUntil)
        return finish(ticket, refusal(request, AnswerCause::NoRoom, now));
    queue_.push(request.service, position);
    return KeepWaiting {};
}

OwnAnswer RequestEngine::refusal(const Request &request, AnswerCause cause, Instant now) const
{
    if (request.mayHaveRun)
        return { 502, AnswerCause::OutcomeUnknown, {} };
    const double left = std::max(0.0, toSeconds(request.finalDeadline - now));
    const double part = earliestReturn + (1 - earliestReturn) * returnSpread(request.objectHash);
    return { 503, cause, fromSeconds(std::max(0.05, left * honouredPart * part)) };
}

Step RequestEngine::finish(Ticket ticket, Step step)
{
    const auto found = requests_.find(ticket);
    if (found == requests_.end())
        return step;
    // The limit counts what runs. A refused request that returns takes its token then.
    const auto *answer = std::get_if<OwnAnswer>(&step);
    if (answer != nullptr && answer->status == 503)
        quota_.giveBack(found->second.team);
    awaitingTokens_.erase(ticket);
    deadlines_.erase({ found->second.finalDeadline, ticket });
    requests_.erase(found);
    return step;
}

void RequestEngine::endAttempt(Request &request, const AttemptEnd &end, Instant now)
{
    if (!request.current)
        return;
    services_[request.service].inFlightInRegion -= request.inRegion ? 1 : 0;
    const double time = toSeconds(now - request.sentAt);
    RouteStats &stats = routes_[request.route->id];
    const double relative = stats.typicalTime > 0 ? time / stats.typicalTime : 1;
    if (end.result == AttemptResult::Good) {
        moveMean(stats.typicalTime, time);
        ServiceState &service = services_[request.service];
        moveMean(service.meanTime, time);
        stats.warmTime.observe(time);
        // The first run of an object at a new home is cold whether the upstream forgets or not.
        const bool cold = stats.warmTime.looksCold(time);
        const bool tells = !cold || request.objectKnown;
        if (upstreams_.domainOf(*request.current) == self_.domain && tells)
            service.locality.observe(cold, domainMembers_);
    }
    upstreams_.finished(*request.current, end.result, relative, now);
    if (end.occupancy)
        upstreams_.reported(*request.current, *end.occupancy, now);
    request.current.reset();
}

Step RequestEngine::attemptEnded(Ticket ticket, const AttemptEnd &end, Instant now)
{
    const auto found = requests_.find(ticket);
    if (found == requests_.end())
        return KeepWaiting {};
    Request &request = found->second;
    endAttempt(request, end, now);
    if (end.result == AttemptResult::Good)
        return finish(ticket, DeliverResponse {});
    request.mayHaveRun = request.mayHaveRun || end.mayHaveRun;
    return retry(ticket, request, end, now);
}

Step RequestEngine::retry(Ticket ticket, Request &request, const AttemptEnd &end, Instant now)
{
    const auto giveUp = [&]() -> Step {
        if (end.hasResponse && end.mayHaveRun)
            return finish(ticket, DeliverResponse {});
        return finish(ticket, refusal(request, AnswerCause::Unreachable, now));
    };
    if (request.mayHaveRun && request.route->repeatability != Repeatability::Idempotent)
        return giveUp();
    if (end.result == AttemptResult::Unreachable) {
        --request.sends; // Nothing reached an upstream.
        if (++request.connects >= mostConnects)
            return giveUp();
    } else if (request.sends >= request.route->attempts
        || !services_[request.service].budget.tryTake()) {
        return giveUp();
    }
    if (request.finalDeadline <= now)
        return giveUp();
    request.regions = regionsFor(request, now);
    if (auto step = place(ticket, request, now))
        return *step;
    if (end.hasResponse && end.mayHaveRun)
        return giveUp();
    return waitOrRefuse(ticket, request, now);
}

void RequestEngine::left(Ticket ticket, Instant now)
{
    const auto found = requests_.find(ticket);
    if (found == requests_.end())
        return;
    Request &request = found->second;
    queue_.remove(request.service,
        positionOf(ticket, request.priority, request.returning, request.waitUntil));
    endAttempt(request, { AttemptResult::Cancelled, false, true, {} }, now);
    finish(ticket, KeepWaiting {});
}

void RequestEngine::expire(Instant now, std::vector<std::pair<Ticket, Step>> &steps)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const Ticket ticket = deadlines_.begin()->second;
        Request &request = requests_.at(ticket);
        const bool running = request.current.has_value();
        queue_.remove(request.service,
            positionOf(ticket, request.priority, request.returning, request.waitUntil));
        OwnAnswer answer = refusal(request, AnswerCause::TimedOutWaiting, now);
        if (running) {
            answer = { 504, AnswerCause::TimedOutRunning, {} };
            endAttempt(request, { AttemptResult::Failed, false, true, {} }, now);
        }
        steps.emplace_back(ticket, finish(ticket, answer));
    }
}

void RequestEngine::dispatch(Instant now, std::vector<std::pair<Ticket, Step>> &steps)
{
    for (const ServiceId &service : queue_.services()) {
        std::size_t failed = 0;
        for (const QueuePosition &position : queue_.ordered(service)) {
            Request &request = requests_.at(position.ticket);
            if (failed < dispatchDepth) {
                if (auto step = place(position.ticket, request, now)) {
                    queue_.remove(service, position);
                    steps.emplace_back(position.ticket, *step);
                    continue;
                }
                ++failed;
            }
            if (request.waitUntil <= now) {
                queue_.remove(service, position);
                steps.emplace_back(position.ticket,
                    finish(position.ticket, refusal(request, AnswerCause::NoRoom, now)));
            }
        }
    }
}

std::vector<std::pair<Ticket, Step>> RequestEngine::advance(Instant now)
{
    std::vector<std::pair<Ticket, Step>> steps;
    if (rebalancePending_ && now >= rebalanceAt_)
        rebalance(now);
    expire(now, steps);
    expireTokenWaits(now, steps);
    if (queue_.size() > 0)
        dispatch(now, steps);
    return steps;
}

} // namespace endivequay
