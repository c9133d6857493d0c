#include "admission.h"

#include "endivequay/digest.h"
#include "endivequay/upstreamclient.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace endivequay {

namespace {

using namespace std::chrono_literals;

constexpr Interval maintenancePeriod = 50ms;
constexpr Interval loadPollPeriod = 1s;
constexpr Interval loadRequestTimeout = 500ms;
// Peers report their load in heartbeats, once a second.
constexpr Interval peerLoadPeriod = 1s;
// A burst may use this much time's worth of a link budget.
constexpr double linkBurstSeconds = 0.1;

int intField(const nlohmann::json &json, const char *name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_number_integer() ? found->get<int>() : 0;
}

std::optional<LoadReport> parseLoadReport(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    return LoadReport { intField(json, "in_flight"), intField(json, "slots"),
        json.value("draining", nlohmann::json(false)) == true };
}

} // namespace

Admission::Admission(Node &node)
    : node_(node)
    , maintenance_([this](const std::stop_token &stop) { maintain(stop); })
    , loadPoller_([this](const std::stop_token &stop) { pollLoads(stop); })
{ }

Admission::~Admission() = default;

SlotDecision Admission::grantWithoutPolicy(const ServiceId &service)
{
    const auto view = node_.view();
    const Instant now = clock_.now();
    const auto all = view->configuration->upstreamsOf(service);
    for (std::size_t tried = 0; tried < all.size(); ++tried) {
        const Upstream &upstream = *all[nextUpstream_++ % all.size()];
        if (upstream.failureDomain == node_.identity().domain)
            return SlotGrant { upstream.id, upstream.address, SlotLease(), now };
    }
    return Refusal { RefusalReason::NoCapacity, now + 1s };
}

SlotDecision Admission::acquire(const SlotRequest &request)
{
    if (node_.settings().policyDisabled)
        return grantWithoutPolicy(request.service);
    Ticket ticket = 0;
    std::vector<ShareOutgoing> messages;
    std::unique_lock shares(node_.tables().shares.mutex, std::defer_lock);
    std::unique_lock lock(mutex_, std::defer_lock);
    const std::stop_callback wake(request.cancelled, [this] { changed_.notify_all(); });
    Instant decideAt;
    for (;;) {
        std::lock(shares, lock);
        const Instant now = clock_.now();
        const auto found = services_.find(request.service);
        if (found == services_.end()) {
            shares.unlock();
            return Refusal { RefusalReason::NoCapacity, now + 1s };
        }
        ServiceState &state = *found->second;
        if (ticket == 0) {
            ticket = ++lastTicket_;
            state.waiters[ticket] = {};
            const auto dropped = state.queue.push(
                { ticket, request.team, request.weight, request.deadline, request.deferrable },
                now);
            if (dropped)
                state.waiters[dropped->ticket].refusal = dropped->refusal;
        }
        dispatch(request.service, state, now);
        Waiter &waiter = state.waiters[ticket];
        if (waiter.grant || waiter.refusal || request.cancelled.stop_requested()) {
            const Waiter result = std::move(waiter);
            state.queue.remove(ticket);
            state.waiters.erase(ticket);
            shares.unlock();
            lock.unlock();
            changed_.notify_all();
            if (result.grant)
                return *result.grant;
            return result.refusal.value_or(Refusal { RefusalReason::Deadline, now });
        }
        if (now >= decideAt) {
            const ForwardDecision decision = decideForBlocked(request, state, ticket, now);
            const auto *wait = std::get_if<WaitHere>(&decision);
            if (wait == nullptr) {
                state.queue.remove(ticket);
                state.waiters.erase(ticket);
                if (const auto *refusal = std::get_if<Refusal>(&decision))
                    return *refusal;
                const auto &to = std::get<Forward>(decision);
                const Address address = forwardTargets(request)[to.target].address;
                ++forwardedCounts_[address];
                return ForwardToInstance { address };
            }
            decideAt = std::min(wait->until, now + maintenancePeriod);
            messages = requestSlotLoans(state, now);
        }
        shares.unlock();
        if (!messages.empty()) {
            lock.unlock();
            node_.send(messages);
            messages.clear();
            lock.lock();
            const auto current = services_.find(request.service);
            if (current != services_.end() && current->second->waiters[ticket].grant) {
                lock.unlock();
                continue;
            }
        }
        changed_.wait_for(lock, std::max(decideAt - clock_.now(), Interval(1ms)));
        lock.unlock();
    }
}

void Admission::dispatch(const ServiceId &service, ServiceState &state, Instant now)
{
    // The expected service time is left out on purpose: an estimate above the deadlines would drop
    // every request, and without responses the estimate could never be corrected.
    for (const DroppedRequest &dropped : state.queue.expire(now))
        state.waiters[dropped.ticket].refusal = dropped.refusal;
    while (state.queue.size() > 0) {
        auto grant = tryGrantSlot(service, state, now);
        if (!grant)
            return;
        const auto next = state.queue.pop(now);
        if (!next) {
            node_.tables().shares.local.slots().release(grant->lease, now);
            state.upstreams.finished(grant->upstream, RequestResult::Cancelled, {}, now);
            return;
        }
        state.waiters[next->ticket].grant = std::move(grant);
    }
}

std::optional<SlotGrant> Admission::tryGrantSlot(
    const ServiceId &service, ServiceState &state, Instant now)
{
    SlotShares &slots = node_.tables().shares.local.slots();
    auto candidates = state.upstreams.upstreams();
    while (!candidates.empty()) {
        const auto chosen = state.upstreams.choose(candidates, now);
        if (!chosen)
            return std::nullopt;
        const Upstream *upstream = appliedView_->configuration->upstream(*chosen);
        const auto lease = upstream == nullptr || upstream->service != service
            ? std::nullopt
            : slots.acquire(slotResource(*chosen), now + maxRequestDuration, now);
        if (lease) {
            state.upstreams.started(*chosen, now);
            return SlotGrant { *chosen, upstream->address, *lease, now };
        }
        std::erase(candidates, *chosen);
    }
    return std::nullopt;
}

ForwardDecision Admission::decideForBlocked(
    const SlotRequest &request, ServiceState &state, Ticket ticket, Instant now)
{
    const FailureDomainId &domain = node_.identity().domain;
    BlockedRequest blocked;
    blocked.region = appliedView_->configuration->regionOf(domain);
    blocked.deadline = request.deadline;
    blocked.serviceTime = std::max(state.upstreams.meanLatency(), Interval(1ms));
    blocked.hops = request.hops;
    blocked.key = ticket;
    blocked.bytes = request.bytes;
    blocked.deferrable = request.deferrable;
    const int usable = state.upstreams.usableSlots(now);
    QueueState queue;
    queue.full = state.queue.size() >= state.queue.limit();
    queue.expectedWait = usable > 0
        ? blocked.serviceTime * static_cast<int>(state.queue.size()) / usable
        : request.deadline - now;
    ShiftBudget budget { node_.tables().shares.local.rates(), shiftResource(request.service) };
    const auto candidates = forwardTargets(request);
    return decideForward(blocked, queue, candidates, budget, linkBudget_, now);
}

std::vector<ForwardTarget> Admission::forwardTargets(const SlotRequest &request)
{
    const auto steering = node_.steering();
    const auto found = steering->find(request.service);
    std::vector<ForwardTarget> targets;
    if (found == steering->end())
        return targets;
    const SteeringView &view = found->second->view();
    const FailureDomainId &localDomain = node_.identity().domain;
    for (const InstanceState &instance : view.instances) {
        const DomainState &domain = view.domains[instance.domain];
        if (domain.id == localDomain || domain.slots <= 0)
            continue;
        ForwardTarget target;
        target.address = instance.address;
        target.domain = domain.id;
        target.region = domain.region;
        target.delay = appliedView_->configuration->delay(localDomain, domain.id);
        const auto forwarded = forwardedCounts_.find(instance.address);
        target.freeSlots
            = domain.freeSlots - (forwarded == forwardedCounts_.end() ? 0 : forwarded->second);
        target.usable = !instance.suspect && !instance.leaving && !domain.draining;
        target.isHome = !request.home || *request.home == domain.region;
        targets.push_back(std::move(target));
    }
    return targets;
}

std::vector<ShareOutgoing> Admission::requestSlotLoans(ServiceState &state, Instant now)
{
    const auto upstreams = state.upstreams.upstreams();
    if (upstreams.empty())
        return {};
    // Requests a loan for one upstream at a time, so that the first instance with a queue does not
    // borrow all idle slots elsewhere.
    const UpstreamId &upstream = upstreams[lastTicket_ % upstreams.size()];
    return node_.tables().shares.local.slots().requestLoans(
        slotResource(upstream), static_cast<int>(state.queue.size()), now);
}

void Admission::finish(const ServiceId &service, const SlotGrant &grant, RequestResult result)
{
    if (node_.settings().policyDisabled)
        return;
    {
        const std::scoped_lock lock(node_.tables().shares.mutex, mutex_);
        const Instant now = clock_.now();
        node_.tables().shares.local.slots().release(grant.lease, now);
        const auto found = services_.find(service);
        if (found != services_.end()) {
            // No request takes this long, so the process was paused, and the result is no evidence
            // about the upstream.
            const bool paused = now - grant.startedAt > maxRequestDuration;
            found->second->upstreams.finished(grant.upstream,
                paused ? RequestResult::Cancelled : result, now - grant.startedAt, now);
            dispatch(service, *found->second, now);
        }
    }
    changed_.notify_all();
}

void Admission::requestStarted(const ServiceId &service, const TeamId &team)
{
    const std::lock_guard lock(mutex_);
    retryBudget_.requestStarted(service, team);
}

bool Admission::tryRetry(const ServiceId &service, const TeamId &team)
{
    const std::lock_guard lock(mutex_);
    const auto found = services_.find(service);
    return found != services_.end() && found->second->upstreams.hasHealthyUpstream(clock_.now())
        && retryBudget_.tryRetry(service, team);
}

void Admission::maintain(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        if (const auto view = node_.view()) {
            const std::scoped_lock lock(node_.tables().shares.mutex, mutex_);
            const Instant now = clock_.now();
            if (view != appliedView_)
                applyView(*view, now);
            appliedView_ = view;
            updateShares(*view, now);
            for (auto &[id, state] : services_)
                dispatch(id, *state, now);
            if (forwardedCountsSince_ + peerLoadPeriod < now) {
                forwardedCountsSince_ = now;
                forwardedCounts_.clear();
            }
            node_.setLoad(loadSummary(now));
        }
        changed_.notify_all();
        std::this_thread::sleep_for(maintenancePeriod);
    }
}

void Admission::applyView(const ConfigView &view, Instant now)
{
    const Configuration &configuration = *view.configuration;
    for (const Service &service : configuration.services()) {
        if (!services_.contains(service.id))
            services_.emplace(service.id,
                std::make_unique<ServiceState>(
                    hash64(service.id.value(), node_.identity().incarnation.value())));
    }
    for (auto &[id, state] : services_) {
        for (const UpstreamId &known : state->upstreams.upstreams()) {
            const Upstream *upstream = configuration.upstream(known);
            if (upstream == nullptr || upstream->failureDomain != node_.identity().domain)
                state->upstreams.remove(known);
        }
    }
    const RegionId localRegion = configuration.regionOf(node_.identity().domain);
    for (const Region &region : configuration.regions()) {
        const auto budget = configuration.linkBudget(localRegion, region.id);
        // Without a configured budget the link limit is so high (1 TB/s, split among the failure
        // domains) that only the total capacity of the region bounds the traffic.
        const double rate
            = budget.value_or(1e12) / std::max<std::size_t>(1, configuration.domains().size());
        linkBudget_.setLimit(localRegion, region.id, rate, rate * linkBurstSeconds + 1e6, now);
    }
}

void Admission::updateShares(const ConfigView &view, Instant now)
{
    for (const Upstream &upstream : view.configuration->upstreams()) {
        if (upstream.failureDomain == node_.identity().domain)
            setUpstreamShare(upstream, now);
    }
}

void Admission::setUpstreamShare(const Upstream &upstream, Instant now)
{
    ServiceState &state = *services_.at(upstream.service);
    const SlotUsage usage
        = node_.tables().shares.local.slots().usage(slotResource(upstream.id), now);
    const bool draining = upstream.state == UpstreamState::Draining;
    const auto before = state.draining.find(upstream.id);
    UpstreamShare share;
    share.ownSlots = usage.own - usage.lent + usage.borrowed;
    share.allSlots = upstream.slots.value();
    share.leaving = draining;
    // Upstreams in the first configuration of a process may have warm caches; those added later are
    // cold.
    share.cold
        = before == state.draining.end() ? appliedView_ != nullptr : before->second && !draining;
    if (before != state.draining.end() && before->second != draining)
        node_.timeline().record(draining ? EventId::UpstreamDraining : EventId::UpstreamRestored,
            { { "upstream", upstream.id.value() } });
    state.draining[upstream.id] = draining;
    state.upstreams.setShare(upstream.id, share, now);
}

LoadSummary Admission::loadSummary(Instant now) const
{
    LoadSummary load;
    for (const auto &[id, state] : services_) {
        for (const UpstreamId &upstream : state->upstreams.upstreams())
            load.inFlight += static_cast<std::uint32_t>(state->upstreams.inFlight(upstream));
        load.slots += static_cast<std::uint32_t>(state->upstreams.usableSlots(now));
        load.queued += static_cast<std::uint32_t>(state->queue.size());
    }
    return load;
}

std::map<UpstreamId, Admission::UpstreamStatus> Admission::status()
{
    const std::lock_guard lock(mutex_);
    const Instant now = clock_.now();
    std::map<UpstreamId, UpstreamStatus> all;
    for (const auto &[id, state] : services_) {
        for (const UpstreamId &upstream : state->upstreams.upstreams())
            all[upstream] = { state->upstreams.inFlight(upstream),
                state->upstreams.usableSlots(upstream, now),
                state->upstreams.isEjected(upstream, now) };
    }
    return all;
}

int Admission::inFlight()
{
    const std::lock_guard lock(mutex_);
    return static_cast<int>(loadSummary(clock_.now()).inFlight);
}

void Admission::pollLoads(const std::stop_token &stop)
{
    UpstreamClient client;
    std::mutex mutex;
    std::condition_variable_any wake;
    while (!stop.stop_requested()) {
        const auto view = node_.view();
        const Instant roundEnd = clock_.now() + loadPollPeriod;
        for (const Upstream &upstream :
            view ? view->configuration->upstreams() : std::vector<Upstream>()) {
            if (upstream.failureDomain != node_.identity().domain || stop.stop_requested())
                continue;
            UpstreamRequest request;
            request.address = upstream.address;
            request.method = "GET";
            request.path = "/load";
            request.kind = RequestKind::Idempotent;
            request.deadline = clock_.now() + loadRequestTimeout;
            request.cancelled = stop;
            const auto response = client.send(request);
            const auto report
                = response.outcome == UpstreamOutcome::Answered && response.status == 200
                ? parseLoadReport(response.body)
                : std::nullopt;
            const std::lock_guard lock(mutex_);
            const auto found = services_.find(upstream.service);
            if (report && found != services_.end())
                found->second->upstreams.reportReceived(upstream.id, *report, clock_.now());
        }
        std::unique_lock lock(mutex);
        wake.wait_until(lock, stop,
            std::chrono::steady_clock::now() + std::max(roundEnd - clock_.now(), Interval(10ms)),
            [] { return false; });
    }
}

} // namespace endivequay
