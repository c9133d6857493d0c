#include "endivequay/loadestimate.h"

#include "mix.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace endivequay {

namespace {

/// Consecutive failures that eject an upstream. With fewer, single losses on a poor link would
/// eject it.
constexpr int ejectionThreshold = 5;
/// The ejection duration doubles with each consecutive ejection, between these bounds.
constexpr Interval minEjectionDuration = std::chrono::seconds(1);
constexpr Interval maxEjectionDuration = std::chrono::seconds(30);
/// Multiplicative decrease of the limit when an upstream sheds load.
constexpr double limitDecreaseFactor = 0.7;
/// Minimum interval between two decreases: the responses of one overload arrive together and must
/// lower the limit only once.
constexpr Interval limitDecreaseInterval = std::chrono::milliseconds(200);
/// Weight of a new sample in the moving averages.
constexpr double latencyGain = 0.2;
constexpr double meanLatencyGain = 0.05;
/// An upstream is slow if its latency exceeds that of the fastest by this ratio.
constexpr double slowRatio = 3;
/// Interval between the requests that probe whether a slow upstream is still slow.
constexpr Interval slowProbeInterval = std::chrono::seconds(1);
/// Decrease of a report's weight per good response at the reported limit. Four such responses
/// suffice, so that a wrong report lowers the estimate for less than a second.
constexpr double reportWeightDecrement = 0.25;

/// Fraction of the configured slots that \a report shows as usable.
double capacityRatio(const LoadReport &report, int allSlots)
{
    if (report.slots <= 0)
        return 0;
    double factor = 1;
    if (report.slots < allSlots)
        factor = static_cast<double>(report.slots) / allSlots;
    if (report.inFlight > report.slots)
        factor *= static_cast<double>(report.slots) / report.inFlight;
    return factor;
}

void updateMovingAverage(double &mean, double sample, double gain)
{
    mean = mean == 0 ? sample : mean + gain * (sample - mean);
}

} // namespace

UpstreamPool::UpstreamPool(std::uint64_t seed)
    : randomState_(seed)
{ }

std::uint64_t UpstreamPool::random()
{
    return detail::mix64(randomState_++);
}

void UpstreamPool::setShare(const UpstreamId &upstream, const UpstreamShare &share, Instant now)
{
    const auto [found, isNew] = states_.try_emplace(upstream);
    State &state = found->second;
    const bool atFullShare = isNew || state.limit >= state.share.ownSlots;
    const bool startsCold = share.cold && (isNew || !state.share.cold || state.share.leaving);
    if (startsCold)
        state.limit = 1;
    else if (atFullShare)
        state.limit = std::max(1, share.ownSlots);
    state.share = share;
    if (isNew) {
        sortedIds_.insert(std::ranges::lower_bound(sortedIds_, upstream), upstream);
        state.rampedUntil = now;
        state.lastStart = now;
    }
}

void UpstreamPool::remove(const UpstreamId &upstream)
{
    states_.erase(upstream);
    std::erase(sortedIds_, upstream);
}

void UpstreamPool::reportReceived(const UpstreamId &upstream, const LoadReport &report, Instant now)
{
    const auto found = states_.find(upstream);
    if (found == states_.end())
        return;
    State &state = found->second;
    if (state.reportedDraining && !report.draining) {
        state.limit = 1;
        state.rampedUntil = now;
    }
    state.reportedDraining = report.draining;
    state.reportFactor = capacityRatio(report, state.share.allSlots);
}

void UpstreamPool::started(const UpstreamId &upstream, Instant now)
{
    if (const auto found = states_.find(upstream); found != states_.end()) {
        ++found->second.inFlight;
        found->second.lastStart = now;
    }
}

void UpstreamPool::finished(
    const UpstreamId &upstream, RequestResult outcome, Interval latency, Instant now)
{
    const auto found = states_.find(upstream);
    if (found == states_.end() || found->second.inFlight == 0)
        return;
    State &state = found->second;
    if (outcome == RequestResult::Good)
        onSuccess(state, latency, now);
    else if (outcome == RequestResult::Shed)
        onShed(state, now);
    else if (outcome == RequestResult::Failed)
        onFailure(state, now);
    --state.inFlight;
}

void UpstreamPool::onSuccess(State &state, Interval latency, Instant now)
{
    const double seconds = toSeconds(latency);
    const bool reportIsBinding = state.reportFactor < 1 && state.inFlight >= usable(state, now);
    if (reportIsBinding)
        state.reportWeight = std::max(0.0, state.reportWeight - reportWeightDecrement);
    state.consecutiveFailures = 0;
    state.consecutiveEjections = 0;
    state.ejectedUntil.reset();
    // Doubles the limit per second, but counts only time covered by good responses: idle time does
    // not advance the ramp.
    const double covered = toSeconds(std::clamp(now - state.rampedUntil, Interval {}, latency));
    state.limit
        = std::min<double>(std::max(1, state.share.ownSlots), state.limit * std::exp2(covered));
    state.rampedUntil = now;
    updateMovingAverage(state.latency, seconds, latencyGain);
    updateMovingAverage(meanLatency_, seconds, meanLatencyGain);
}

void UpstreamPool::onShed(State &state, Instant now)
{
    state.reportWeight = 1;
    state.rampedUntil = now;
    if (now - state.lastDecrease < limitDecreaseInterval)
        return;
    state.lastDecrease = now;
    state.limit
        = std::max(1.0, std::min<double>(state.limit, state.inFlight) * limitDecreaseFactor);
}

void UpstreamPool::onFailure(State &state, Instant now)
{
    ++state.consecutiveFailures;
    const bool isEjectedNow = state.ejectedUntil && now < *state.ejectedUntil;
    if (state.consecutiveFailures < ejectionThreshold || isEjectedNow)
        return;
    const Interval duration = minEjectionDuration * (1 << std::min(state.consecutiveEjections, 5));
    state.ejectedUntil = now + std::min(duration, maxEjectionDuration);
    ++state.consecutiveEjections;
    state.limit = 1;
}

int UpstreamPool::usable(const State &state, Instant now) const
{
    const bool isEjectedNow = state.ejectedUntil && now < *state.ejectedUntil;
    if (state.share.leaving || state.reportedDraining || isEjectedNow || state.share.ownSlots <= 0)
        return 0;
    if (state.ejectedUntil)
        return 1; // After an ejection, one probe at a time until a good response.
    const double reported = 1 - state.reportWeight * (1 - state.reportFactor);
    const double slots = std::min(state.limit, state.share.ownSlots * reported);
    return std::max(1, static_cast<int>(slots));
}

double UpstreamPool::expectedTime(const State &state) const
{
    const double latency = state.latency > 0 ? state.latency : meanLatency_;
    return latency * (1 + (state.inFlight + 1) / std::max(1.0, state.limit));
}

std::optional<UpstreamId> UpstreamPool::chooseAmong(
    std::span<const std::pair<const UpstreamId *, const State *>> free, Instant now)
{
    double lowestLatency = 0;
    for (const auto &[id, state] : states_) {
        if (state.latency > 0 && usable(state, now) > 0)
            lowestLatency
                = lowestLatency == 0 ? state.latency : std::min(lowestLatency, state.latency);
    }
    std::vector<std::pair<const UpstreamId *, const State *>> preferred;
    for (const auto &candidate : free) {
        const State &state = *candidate.second;
        if (state.latency <= slowRatio * lowestLatency)
            preferred.push_back(candidate);
        else if (now - state.lastStart >= slowProbeInterval)
            return *candidate.first;
    }
    const auto pool = preferred.empty() ? free : std::span(std::as_const(preferred));
    if (pool.empty())
        return std::nullopt;
    const std::size_t first = random() % pool.size();
    std::size_t second = first;
    if (pool.size() > 1)
        second = (first + 1 + random() % (pool.size() - 1)) % pool.size();
    const bool firstIsBetter
        = expectedTime(*pool[first].second) <= expectedTime(*pool[second].second);
    return *pool[firstIsBetter ? first : second].first;
}

std::optional<UpstreamId> UpstreamPool::choose(std::span<const UpstreamId> candidates, Instant now)
{
    std::vector<std::pair<const UpstreamId *, const State *>> free;
    for (const UpstreamId &id : candidates) {
        const auto found = states_.find(id);
        if (found != states_.end() && found->second.inFlight < usable(found->second, now))
            free.emplace_back(&found->first, &found->second);
    }
    return chooseAmong(free, now);
}

std::optional<UpstreamId> UpstreamPool::choose(Instant now)
{
    return choose(sortedIds_, now);
}

int UpstreamPool::usableSlots(const UpstreamId &upstream, Instant now) const
{
    const auto found = states_.find(upstream);
    return found == states_.end() ? 0 : usable(found->second, now);
}

int UpstreamPool::usableSlots(Instant now) const
{
    return std::accumulate(states_.begin(), states_.end(), 0,
        [&](int sum, const auto &entry) { return sum + usable(entry.second, now); });
}

int UpstreamPool::freeSlots(Instant now) const
{
    return std::accumulate(states_.begin(), states_.end(), 0, [&](int sum, const auto &entry) {
        return sum + std::max(0, usable(entry.second, now) - entry.second.inFlight);
    });
}

int UpstreamPool::inFlight(const UpstreamId &upstream) const
{
    const auto found = states_.find(upstream);
    return found == states_.end() ? 0 : found->second.inFlight;
}

bool UpstreamPool::isEjected(const UpstreamId &upstream, Instant now) const
{
    const auto found = states_.find(upstream);
    return found != states_.end() && found->second.ejectedUntil
        && now < *found->second.ejectedUntil;
}

bool UpstreamPool::hasHealthyUpstream(Instant now) const
{
    return std::ranges::any_of(states_, [&](const auto &entry) {
        return entry.second.consecutiveFailures == 0 && usable(entry.second, now) > 0;
    });
}

Interval UpstreamPool::meanLatency() const
{
    return fromSeconds(meanLatency_);
}

std::vector<UpstreamId> UpstreamPool::upstreams() const
{
    return sortedIds_;
}

} // namespace endivequay
