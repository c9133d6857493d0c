#include "endivequay/upstreamset.h"

#include "endivequay/objectplacement.h"

#include <algorithm>
#include <array>
#include <utility>

// Choice of the upstream for a request.
namespace endivequay {

namespace {

/// Requests that an upstream may hold for its objects, as a multiple of its slots, where the choice
/// is by expected completion.
constexpr double maxHeldFraction = 2;

/// Expected completion at the primary upstream, as a multiple of an undelayed run, up to which
/// other upstreams are not considered.
constexpr double maxUndelayedRatio = 1.3;

/// An upstream without the object is used instead of one that has it if it is expected to end
/// within this fraction of the time there: a cold run holds its slot about three times as long.
constexpr double maxColdRatio = 0.6;

/// Requests beyond the slots that may queue at an object's primary upstream, as a fraction of the
/// slots. A warm run takes a third of a cold one, so a short queue there is faster than a free slot
/// elsewhere.
constexpr double primaryQueueFraction = 0.5;

/// Requests beyond the slots that an upstream may hold, by priority. One request of the highest
/// priority queues at the upstream so that no slot is idle for a round trip; the lowest priorities
/// leave one slot free for more urgent requests.
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

} // namespace

bool UpstreamSet::mayReceive(State &state, const UpstreamQuery &query, Instant now) const
{
    if (!acceptsRequests(state) || state.ejectedUntil > now)
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
    return !isOutlier(state)
        || (query.allowProbe && state.inFlight == 0 && state.nextProbeAt <= now);
}

bool UpstreamSet::hasCapacity(
    State &state, const UpstreamQuery &query, double queued, Instant now) const
{
    const double limit = std::max(1.0, state.entry.slots + overcommit(query.priority) + queued);
    return mayReceive(state, query, now) && load(state, now) + 1 <= limit;
}

UpstreamSet::PrimaryUpstreams UpstreamSet::primariesFor(
    std::span<State *const> states, const UpstreamQuery &query, Instant now)
{
    PrimaryUpstreams primaries;
    for (State *state : states) {
        if (!acceptsRequests(*state) || state->ejectedUntil > now || state->coldUntil > now
            || isOutlier(*state))
            continue;
        const double score = placementScore(*state, query.objectHash);
        primaries.inRegion.add(state, score);
        if (state->entry.domain == query.domain)
            primaries.inDomain.add(state, score);
    }
    return primaries;
}

double UpstreamSet::placementScore(const State &state, std::uint64_t objectHash)
{
    return WeightedRendezvous::score(objectHash, state.hash, std::max(1, state.entry.slots));
}

void UpstreamSet::TopUpstreams::add(State *state, double score)
{
    if (first == nullptr || score > firstScore) {
        second = std::exchange(first, state);
        secondScore = std::exchange(firstScore, score);
    } else if (second == nullptr || score > secondScore) {
        second = state;
        secondScore = score;
    }
}

double UpstreamSet::expectedCompletion(
    const State &state, bool warm, const UpstreamQuery &query, Instant now) const
{
    const double slots = std::max(1, state.entry.slots);
    const double ahead = std::max(0.0, load(state, now) + 1 - slots);
    const double run = warm ? query.expected.warm : query.expected.cold;
    return (ahead / slots * query.expected.mean + run) * currentPace(state, now);
}

UpstreamSet::State *UpstreamSet::soonestOther(
    std::span<State *const> states, const UpstreamQuery &query, Instant now) const
{
    State *best = nullptr;
    std::pair<double, double> bestRank;
    for (State *state : states) {
        const bool warm = mayHold(*state, query.objectHash, now);
        if ((query.warmOnly && !warm) || !hasCapacity(*state, query, 0, now))
            continue;
        // Of equally fast ones the same for all instances.
        const std::pair rank { expectedCompletion(*state, warm, query, now),
            -placementScore(*state, query.objectHash) };
        if (best == nullptr || rank < bestRank) {
            best = state;
            bestRank = rank;
        }
    }
    return best;
}

UpstreamSet::State *UpstreamSet::chooseByCompletion(std::span<State *const> states,
    const PrimaryUpstreams &primaries, const UpstreamQuery &query, Instant now) const
{
    const bool useLocal = query.preferDomain && primaries.inDomain.first != nullptr;
    const std::array<State *, 4> holders = useLocal
        ? std::array { primaries.inDomain.first, primaries.inRegion.first,
              primaries.inDomain.second, primaries.inRegion.second }
        : std::array<State *, 4> { primaries.inRegion.first, primaries.inRegion.second };
    State *best = nullptr;
    double bestTime = 0;
    for (State *state : holders) {
        if (state == nullptr
            || !hasCapacity(*state, query, (maxHeldFraction - 1) * state->entry.slots, now))
            continue;
        const bool warm = state == holders.front() || state == primaries.inRegion.first
            || mayHold(*state, query.objectHash, now);
        if (!warm && query.warmOnly)
            continue;
        const double time = expectedCompletion(*state, warm, query, now);
        // The first one keeps the object unless the wait there is long compared with the run.
        if (state == holders.front() && time <= maxUndelayedRatio * query.expected.warm)
            return state;
        if (best == nullptr || time < bestTime) {
            best = state;
            bestTime = time;
        }
    }
    if (best != nullptr && bestTime <= query.remainingObjective)
        return best;
    State *other = soonestOther(states, query, now);
    if (other == nullptr)
        return query.warmOnly ? nullptr : best;
    const double time
        = expectedCompletion(*other, mayHold(*other, query.objectHash, now), query, now);
    if (query.warmOnly)
        return time <= query.remainingObjective ? other : nullptr;
    return best == nullptr || time < maxColdRatio * bestTime ? other : best;
}

UpstreamSet::State *UpstreamSet::bestWithCapacity(
    std::span<State *const> states, const UpstreamQuery &query, Instant now) const
{
    State *best = nullptr;
    std::pair<bool, double> bestRank;
    for (State *state : states) {
        // Upstreams that have the object rank before all others.
        const std::pair rank { mayHold(*state, query.objectHash, now),
            placementScore(*state, query.objectHash) };
        if ((best == nullptr || rank > bestRank) && hasCapacity(*state, query, 0, now)) {
            best = state;
            bestRank = rank;
        }
    }
    return best;
}

const UpstreamEntry *UpstreamSet::choose(const UpstreamQuery &query, Instant now)
{
    const auto states = statesOf(query.service, query.region);
    const PrimaryUpstreams primaries = primariesFor(states, query, now);
    if (query.expected.warm > 0 && reportsPace(query.service)) {
        const State *state = chooseByCompletion(states, primaries, query, now);
        return state == nullptr ? nullptr : &state->entry;
    }
    const bool useLocal = query.preferDomain && primaries.inDomain.first != nullptr;
    State *primary = useLocal ? primaries.inDomain.first : primaries.inRegion.first;
    if (primary != nullptr
        && hasCapacity(*primary, query, primaryQueueFraction * primary->entry.slots, now))
        return &primary->entry;
    // Instances of other failure domains keep the object warm there.
    if (useLocal && hasCapacity(*primaries.inRegion.first, query, 0, now))
        return &primaries.inRegion.first->entry;
    State *other = bestWithCapacity(states, query, now);
    const bool waitForWarm = query.warmOnly && primary != nullptr && other != nullptr
        && !mayHold(*other, query.objectHash, now);
    return other == nullptr || waitForWarm ? nullptr : &other->entry;
}

} // namespace endivequay
