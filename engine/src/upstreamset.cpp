#include "endivequay/upstreamset.h"

#include "endivequay/digest.h"

#include <algorithm>
#include <cmath>

namespace endivequay {

namespace {

/// Weight of one attempt in the moving means: ten attempts outweigh the past.
constexpr double attemptWeight = 0.1;

/// An upstream is doubtful above this share of failed attempts: several times the errors that
/// healthy upstreams make.
constexpr double doubtfulFailureRate = 0.25;

/// An upstream is doubtful if it is this many times slower than the mean of its service. Cold
/// caches make a healthy one slower as well, but rarely more than twice.
constexpr double doubtfulSlowness = 2.5;
/// One very slow upstream must not make the others' mean useless.
constexpr double mostSlownessInMean = 2;

/// An upstream is taken to know an object for this long after the object's last request there.
constexpr Interval objectMemory = std::chrono::seconds(20);
/// Objects that are remembered for each upstream; their caches are not much larger.
constexpr std::size_t mostObjects = 64;

/// Interval between two trial requests at a doubtful upstream.
constexpr Interval trialInterval = std::chrono::milliseconds(700);

/// Failures in a row that eject an upstream.
constexpr int ejectAfterFailures = 3;

/// First ejection; doubles with each one in a row up to longestEjection, about the time that a
/// restart takes.
constexpr Interval firstEjection = std::chrono::milliseconds(400);
constexpr Interval longestEjection = std::chrono::seconds(4);

/// A report of other instances' requests fades over this time to the mean of the reports, and that
/// over a longer one: an instance of a large fleet hears from one upstream only every few seconds.
constexpr Interval reportLifetime = std::chrono::seconds(3);
constexpr Interval usualLifetime = std::chrono::seconds(15);
/// Weight of one report in the mean.
constexpr double reportWeight = 0.2;

/// Requests beyond the slots that wait at an object's home, as a part of the slots. A warm run
/// takes a third of a cold one, so a short queue at home is faster than a free slot elsewhere.
constexpr double homeQueuePart = 0.5;

/// Added to the cold time that discovery reports, for the delay of its lists.
constexpr Interval coldMargin = std::chrono::milliseconds(500);

/// Requests beyond the slots that an upstream may hold, by priority. One urgent request waits at
/// the upstream so that a slot is never idle for a round trip; the least urgent ones leave a slot
/// free for those that are more urgent.
double overcommit(int priority)
{
    switch (priority) {
    case 0:
        return 1;
    case 1:
        return 0;
    default:
        return -1;
    }
}

std::uint64_t mixHash(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t x = a ^ (b * 0x9e3779b97f4a7c15ULL);
    x ^= x >> 32;
    x *= 0xd6e8feb86659fd93ULL;
    x ^= x >> 32;
    return x;
}

} // namespace

UpstreamSet::UpstreamSet(InstanceId self, std::size_t leastMembers)
    : self_(std::move(self))
    , leastMembers_(leastMembers)
    , members_ { self_ }
{ }

UpstreamSet::State *UpstreamSet::find(const UpstreamId &id)
{
    const auto found = states_.find(id);
    return found == states_.end() ? nullptr : found->second.get();
}

const UpstreamSet::State *UpstreamSet::find(const UpstreamId &id) const
{
    const auto found = states_.find(id);
    return found == states_.end() ? nullptr : found->second.get();
}

bool UpstreamSet::open(const State &state)
{
    return state.listed && !state.entry.draining && !state.evacuated;
}

bool UpstreamSet::doubtful(const State &state) const
{
    const auto service = services_.find(state.entry.service);
    if (service == services_.end() || service->second.states.size() < 2)
        return false;
    // Compared with the others: if all fail or all are slow, there is nothing better to use.
    const auto others = static_cast<double>(service->second.states.size() - 1);
    const double failureRate = (service->second.failureRateSum - state.failureRate) / others;
    const double slowness = (service->second.slownessSum - boundedSlowness(state)) / others;
    return state.failureRate > doubtfulFailureRate + failureRate
        || state.slowness > doubtfulSlowness * std::max(1.0, slowness);
}

double UpstreamSet::boundedSlowness(const State &state)
{
    return std::min(state.slowness, mostSlownessInMean);
}

bool UpstreamSet::knows(const State &state, std::uint64_t objectHash, Instant now)
{
    const auto found = state.objects.find(objectHash);
    return found != state.objects.end() && now - found->second < objectMemory;
}

void UpstreamSet::remember(State &state, std::uint64_t objectHash, Instant now)
{
    state.objects[objectHash] = now;
    if (state.objects.size() > mostObjects)
        state.objects.erase(std::ranges::min_element(
            state.objects, {}, [](const auto &entry) { return entry.second; }));
}

void UpstreamSet::updateSums(const ServiceId &service)
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return;
    found->second.slownessSum = 0;
    found->second.failureRateSum = 0;
    for (const State *state : found->second.states) {
        found->second.slownessSum += boundedSlowness(*state);
        found->second.failureRateSum += state->failureRate;
    }
}

void UpstreamSet::replace(const std::vector<UpstreamEntry> &entries,
    const std::set<FailureDomainId> &evacuated, const RoutingTable &table, Instant now)
{
    settings_.clear();
    for (const ServiceSettings &service : table.document().services)
        settings_[service.id] = service;
    const auto coldTime = [&](const ServiceId &service) {
        const auto found = settings_.find(service);
        return found == settings_.end() ? Interval {} : found->second.coldTime;
    };
    for (auto &[id, state] : states_)
        state->listed = false;
    for (const UpstreamEntry &entry : entries) {
        auto &state = states_[entry.id];
        const bool restarted = state && state->entry.startedAt != entry.startedAt;
        const bool fresh = !state;
        if (fresh || restarted) {
            const int inFlight = state ? state->inFlight : 0;
            state = std::make_unique<State>();
            state->inFlight = inFlight;
            state->hash = hash64(entry.id.value());
        }
        const bool returned
            = evacuated_.contains(entry.domain) && !evacuated.contains(entry.domain);
        state->entry = entry;
        state->listed = true;
        state->evacuated = evacuated.contains(entry.domain);
        if (entry.coldUntil > now)
            makeCold(*state, entry.coldUntil + coldMargin, now);
        if ((loaded_ && (fresh || restarted)) || returned)
            makeCold(*state, now + coldTime(entry.service), now);
    }
    std::erase_if(states_,
        [](const auto &entry) { return !entry.second->listed && entry.second->inFlight == 0; });
    services_.clear();
    for (auto &[id, state] : states_)
        if (state->listed)
            services_[state->entry.service].states.push_back(state.get());
    for (const ServiceSettings &service : table.document().services)
        updateSums(service.id);
    evacuated_ = evacuated;
    loaded_ = true;
}

void UpstreamSet::setPeers(std::span<const PeerView> peers)
{
    members_ = { self_ };
    std::ranges::for_each(peers, [&](const PeerView &peer) { members_.push_back(peer.id); });
    for (auto &[id, state] : states_)
        divideColdRate(*state, Instant {});
}

void UpstreamSet::makeCold(State &state, Instant until, Instant now) const
{
    const bool wasCold = state.coldUntil > now;
    state.coldUntil = std::max(state.coldUntil, until);
    if (!wasCold)
        divideColdRate(state, now);
}

void UpstreamSet::divideColdRate(State &state, Instant now) const
{
    const auto service = settings_.find(state.entry.service);
    if (service == settings_.end())
        return;
    const auto rank = [&](const InstanceId &id) { return hash64(id.value(), state.hash); };
    const std::uint64_t own = rank(self_);
    const auto ahead = std::ranges::count_if(
        members_, [&](const InstanceId &id) { return id != self_ && rank(id) > own; });
    const auto senders = std::min(coldSenders, members_.size());
    // While the store has lost the registrations, every instance would take the whole rate.
    state.coldSender
        = members_.size() >= leastMembers_ && static_cast<std::size_t>(ahead) < senders;
    const double rate = service->second.coldRate / static_cast<double>(senders);
    if (now == Instant {})
        state.coldBucket.setLimit(rate, 1, now);
    else
        state.coldBucket = RefillBucket(rate, 1, 1, now);
}

double UpstreamSet::load(const State &state, Instant now) const
{
    const double age = toSeconds(now - state.reportedAt);
    const double report = std::clamp(1 - age / toSeconds(reportLifetime), 0.0, 1.0);
    const double usual = std::clamp(1 - age / toSeconds(usualLifetime), 0.0, 1.0);
    return state.inFlight + report * state.others + (1 - report) * usual * state.usualOthers;
}

bool UpstreamSet::mayTake(State &state, const UpstreamQuery &query, Instant now) const
{
    if (!open(state) || state.ejectedUntil > now)
        return false;
    if (query.exclude != nullptr
        && std::ranges::find(*query.exclude, state.entry.id) != query.exclude->end())
        return false;
    if (state.coldUntil > now) {
        const auto service = settings_.find(state.entry.service);
        const bool limited = service != settings_.end() && service->second.coldRate > 0;
        if (limited && (!state.coldSender || state.coldBucket.level(now) < 1))
            return false;
    }
    return !doubtful(state) || (query.mayFail && state.inFlight == 0 && state.trialAt <= now);
}

bool UpstreamSet::hasRoom(
    State &state, const UpstreamQuery &query, double queued, Instant now) const
{
    const double limit = std::max(1.0, state.entry.slots + overcommit(query.priority) + queued);
    return mayTake(state, query, now) && load(state, now) + 1 <= limit;
}

UpstreamSet::Homes UpstreamSet::homesOf(
    const Service &service, const UpstreamQuery &query, Instant now) const
{
    Homes homes;
    std::uint64_t inRegion = 0;
    std::uint64_t inDomain = 0;
    for (State *state : service.states) {
        if (state->entry.region != query.region || !open(*state) || state->ejectedUntil > now
            || state->coldUntil > now || doubtful(*state))
            continue;
        const std::uint64_t score = mixHash(query.objectHash, state->hash);
        if (homes.inRegion == nullptr || score > inRegion) {
            homes.inRegion = state;
            inRegion = score;
        }
        if (state->entry.domain == query.domain
            && (homes.inDomain == nullptr || score > inDomain)) {
            homes.inDomain = state;
            inDomain = score;
        }
    }
    return homes;
}

UpstreamSet::State *UpstreamSet::bestWithRoom(
    const Service &service, const UpstreamQuery &query, Instant now) const
{
    State *best = nullptr;
    std::pair<bool, std::uint64_t> bestRank;
    for (State *state : service.states) {
        if (state->entry.region != query.region)
            continue;
        // Upstreams that know the object go before all others.
        const std::pair rank { knows(*state, query.objectHash, now),
            mixHash(query.objectHash, state->hash) };
        if ((best == nullptr || rank > bestRank) && hasRoom(*state, query, 0, now)) {
            best = state;
            bestRank = rank;
        }
    }
    return best;
}

const UpstreamEntry *UpstreamSet::choose(const UpstreamQuery &query, Instant now)
{
    const auto service = services_.find(query.service);
    if (service == services_.end())
        return nullptr;
    const Homes homes = homesOf(service->second, query, now);
    const bool local = query.preferDomain && homes.inDomain != nullptr;
    State *home = local ? homes.inDomain : homes.inRegion;
    if (home != nullptr && hasRoom(*home, query, homeQueuePart * home->entry.slots, now))
        return &home->entry;
    // Instances of other domains keep the object warm there.
    if (local && hasRoom(*homes.inRegion, query, 0, now))
        return &homes.inRegion->entry;
    State *other = bestWithRoom(service->second, query, now);
    const bool waits = query.warmOnly && home != nullptr && other != nullptr
        && !knows(*other, query.objectHash, now);
    return other == nullptr || waits ? nullptr : &other->entry;
}

std::optional<FailureDomainId> UpstreamSet::domainOf(const UpstreamId &id) const
{
    const State *state = find(id);
    return state == nullptr ? std::nullopt : std::optional(state->entry.domain);
}

bool UpstreamSet::sentLately(const UpstreamId &id, std::uint64_t objectHash, Instant now) const
{
    const State *state = find(id);
    return state != nullptr && knows(*state, objectHash, now);
}

bool UpstreamSet::serves(const ServiceId &service, const RegionId &region, Instant now) const
{
    const auto found = services_.find(service);
    return found != services_.end()
        && std::ranges::any_of(found->second.states, [&](const State *state) {
               return state->entry.region == region && open(*state) && state->ejectedUntil <= now;
           });
}

double UpstreamSet::slots(const ServiceId &service, const RegionId &region, Instant now) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return 0;
    double sum = 0;
    for (const State *state : found->second.states)
        if (state->entry.region == region && open(*state) && state->ejectedUntil <= now
            && state->coldUntil <= now && !doubtful(*state))
            sum += state->entry.slots;
    return sum;
}

std::vector<RegionId> UpstreamSet::regions(const ServiceId &service) const
{
    const auto found = services_.find(service);
    std::set<RegionId> regions;
    if (found != services_.end())
        for (const State *state : found->second.states)
            regions.insert(state->entry.region);
    return { regions.begin(), regions.end() };
}

void UpstreamSet::started(const UpstreamId &id, std::uint64_t objectHash, Instant now)
{
    State *state = find(id);
    if (state == nullptr)
        return;
    ++state->inFlight;
    remember(*state, objectHash, now);
    state->trialAt = now + trialInterval;
    if (state->coldUntil > now)
        state->coldBucket.tryTake(now);
}

void UpstreamSet::eject(State &state, Instant now) const
{
    const Interval time
        = std::min(longestEjection, firstEjection * (1 << std::min(state.ejections, 5)));
    ++state.ejections;
    state.ejectedUntil = now + time;
    // It may have restarted, and is cold then.
    const auto service = settings_.find(state.entry.service);
    if (service != settings_.end())
        makeCold(state, state.ejectedUntil + service->second.coldTime, now);
}

void UpstreamSet::finished(
    const UpstreamId &id, AttemptResult result, double relativeTime, Instant now)
{
    State *state = find(id);
    if (state == nullptr)
        return;
    state->inFlight = std::max(0, state->inFlight - 1);
    const auto move = [](double &mean, double sample) { mean += attemptWeight * (sample - mean); };
    switch (result) {
    case AttemptResult::Good:
        state->failuresInRow = 0;
        state->ejections = 0;
        move(state->failureRate, 0);
        move(state->slowness, std::clamp(relativeTime, 0.2, 10.0));
        break;
    case AttemptResult::Failed:
        move(state->failureRate, 1);
        if (++state->failuresInRow >= ejectAfterFailures)
            eject(*state, now);
        break;
    case AttemptResult::Shed:
        // Sheds with free slots are a fault of the upstream, not a sign of load.
        if (load(*state, now) < state->entry.slots)
            move(state->failureRate, 1);
        break;
    case AttemptResult::Unreachable:
    case AttemptResult::Misdirected:
        eject(*state, now);
        break;
    case AttemptResult::Cancelled:
        break;
    }
    updateSums(state->entry.service);
    if (!state->listed && state->inFlight == 0)
        states_.erase(id);
}

void UpstreamSet::reported(const UpstreamId &id, const Occupancy &occupancy, Instant now)
{
    State *state = find(id);
    if (state == nullptr)
        return;
    // The reporting request itself is counted both in the report and in inFlight.
    state->others = std::max(0, occupancy.running + occupancy.waiting - state->inFlight);
    state->reportedAt = now;
    state->usualOthers += reportWeight * (state->others - state->usualOthers);
}

bool UpstreamSet::usable(const UpstreamId &id) const
{
    const State *state = find(id);
    return state != nullptr && open(*state);
}

int UpstreamSet::inFlight(const UpstreamId &id) const
{
    const State *state = find(id);
    return state == nullptr ? 0 : state->inFlight;
}

} // namespace endivequay
