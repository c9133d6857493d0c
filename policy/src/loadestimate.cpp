#include "endivequay/loadestimate.h"

#include "mix.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace endivequay {

namespace {

/// Failures in a row that eject an upstream. Fewer would eject on single losses of a poor link.
constexpr int ejectAfter = 5;
constexpr Interval firstEjection = std::chrono::seconds(1);
constexpr Interval longestEjection = std::chrono::seconds(30);
/// Part of the limit that is left after an upstream shed load.
constexpr double shedFactor = 0.7;
/// Responses of one overload arrive together; the limit is lowered once for them.
constexpr Interval cutPause = std::chrono::milliseconds(200);
/// Weights of a new sample in the moving means.
constexpr double latencyGain = 0.2;
constexpr double meanLatencyGain = 0.05;
/// Ratio to the fastest upstream above which one is slow.
constexpr double slowRatio = 3;
/// Time between requests that observe whether a slow upstream is still slow.
constexpr Interval observePause = std::chrono::seconds(1);
/// Loss of trust in a report per good response at the reported limit. Four are enough, so that a
/// wrong report costs less than a second.
constexpr double trustLoss = 0.25;

double factorOf(const LoadReport &report, int allSlots)
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

void moveTowards(double &mean, double sample, double gain)
{
    mean = mean == 0 ? sample : mean + gain * (sample - mean);
}

} // namespace

UpstreamView::UpstreamView(std::uint64_t seed)
    : randomState_(seed)
{ }

std::uint64_t UpstreamView::random()
{
    return detail::mix64(randomState_++);
}

void UpstreamView::setShare(const UpstreamId &upstream, const UpstreamShare &share, Instant now)
{
    const auto [found, isNew] = states_.try_emplace(upstream);
    State &state = found->second;
    const bool atFullShare = isNew || state.limit >= state.share.ownSlots;
    const bool restarts = share.cold && (isNew || !state.share.cold || state.share.leaving);
    if (restarts)
        state.limit = 1;
    else if (atFullShare)
        state.limit = std::max(1, share.ownSlots);
    state.share = share;
    if (isNew) {
        order_.insert(std::ranges::lower_bound(order_, upstream), upstream);
        state.lastGood = now;
        state.lastStart = now;
    }
}

void UpstreamView::remove(const UpstreamId &upstream)
{
    states_.erase(upstream);
    std::erase(order_, upstream);
}

void UpstreamView::reportReceived(const UpstreamId &upstream, const LoadReport &report, Instant now)
{
    const auto found = states_.find(upstream);
    if (found == states_.end())
        return;
    State &state = found->second;
    if (state.reportedDraining && !report.draining) {
        state.limit = 1;
        state.lastGood = now;
    }
    state.reportedDraining = report.draining;
    state.reportFactor = factorOf(report, state.share.allSlots);
}

void UpstreamView::started(const UpstreamId &upstream, Instant now)
{
    if (const auto found = states_.find(upstream); found != states_.end()) {
        ++found->second.inFlight;
        found->second.lastStart = now;
    }
}

void UpstreamView::finished(
    const UpstreamId &upstream, RequestResult outcome, Interval latency, Instant now)
{
    const auto found = states_.find(upstream);
    if (found == states_.end() || found->second.inFlight == 0)
        return;
    State &state = found->second;
    if (outcome == RequestResult::Good)
        good(state, latency, now);
    else if (outcome == RequestResult::Shed)
        shed(state, now);
    else if (outcome == RequestResult::Failed)
        failed(state, now);
    --state.inFlight;
}

void UpstreamView::good(State &state, Interval latency, Instant now)
{
    const double seconds = toSeconds(latency);
    const bool reportIsBinding = state.reportFactor < 1 && state.inFlight >= usable(state, now);
    if (reportIsBinding)
        state.reportTrust = std::max(0.0, state.reportTrust - trustLoss);
    state.failuresInRow = 0;
    state.ejections = 0;
    state.ejectedUntil.reset();
    // Counts the time that good responses cover, so that idle time does not advance the ramp.
    const double covered = toSeconds(std::clamp(now - state.lastGood, Interval {}, latency));
    state.limit
        = std::min<double>(std::max(1, state.share.ownSlots), state.limit * std::exp2(covered));
    state.lastGood = now;
    moveTowards(state.latency, seconds, latencyGain);
    moveTowards(meanLatency_, seconds, meanLatencyGain);
}

void UpstreamView::shed(State &state, Instant now)
{
    state.reportTrust = 1;
    state.lastGood = now;
    if (now - state.lastCut < cutPause)
        return;
    state.lastCut = now;
    state.limit = std::max(1.0, std::min<double>(state.limit, state.inFlight) * shedFactor);
}

void UpstreamView::failed(State &state, Instant now)
{
    ++state.failuresInRow;
    const bool isEjectedNow = state.ejectedUntil && now < *state.ejectedUntil;
    if (state.failuresInRow < ejectAfter || isEjectedNow)
        return;
    const Interval pause = firstEjection * (1 << std::min(state.ejections, 5));
    state.ejectedUntil = now + std::min(pause, longestEjection);
    ++state.ejections;
    state.limit = 1;
}

int UpstreamView::usable(const State &state, Instant now) const
{
    const bool isEjectedNow = state.ejectedUntil && now < *state.ejectedUntil;
    if (state.share.leaving || state.reportedDraining || isEjectedNow || state.share.ownSlots <= 0)
        return 0;
    if (state.ejectedUntil)
        return 1; // One probe at a time until a good response.
    const double reported = 1 - state.reportTrust * (1 - state.reportFactor);
    const double slots = std::min(state.limit, state.share.ownSlots * reported);
    return std::max(1, static_cast<int>(slots));
}

double UpstreamView::expectedTime(const State &state) const
{
    const double latency = state.latency > 0 ? state.latency : meanLatency_;
    return latency * (1 + (state.inFlight + 1) / std::max(1.0, state.limit));
}

std::optional<UpstreamId> UpstreamView::chooseAmong(
    std::span<const std::pair<const UpstreamId *, const State *>> free, Instant now)
{
    double fastest = 0;
    for (const auto &[id, state] : states_) {
        if (state.latency > 0 && usable(state, now) > 0)
            fastest = fastest == 0 ? state.latency : std::min(fastest, state.latency);
    }
    std::vector<std::pair<const UpstreamId *, const State *>> preferred;
    for (const auto &candidate : free) {
        const State &state = *candidate.second;
        if (state.latency <= slowRatio * fastest)
            preferred.push_back(candidate);
        else if (now - state.lastStart >= observePause)
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

std::optional<UpstreamId> UpstreamView::choose(std::span<const UpstreamId> candidates, Instant now)
{
    std::vector<std::pair<const UpstreamId *, const State *>> free;
    for (const UpstreamId &id : candidates) {
        const auto found = states_.find(id);
        if (found != states_.end() && found->second.inFlight < usable(found->second, now))
            free.emplace_back(&found->first, &found->second);
    }
    return chooseAmong(free, now);
}

std::optional<UpstreamId> UpstreamView::choose(Instant now)
{
    return choose(order_, now);
}

int UpstreamView::usableSlots(const UpstreamId &upstream, Instant now) const
{
    const auto found = states_.find(upstream);
    return found == states_.end() ? 0 : usable(found->second, now);
}

int UpstreamView::usableSlots(Instant now) const
{
    return std::accumulate(states_.begin(), states_.end(), 0,
        [&](int sum, const auto &entry) { return sum + usable(entry.second, now); });
}

int UpstreamView::freeSlots(Instant now) const
{
    return std::accumulate(states_.begin(), states_.end(), 0, [&](int sum, const auto &entry) {
        return sum + std::max(0, usable(entry.second, now) - entry.second.inFlight);
    });
}

int UpstreamView::inFlight(const UpstreamId &upstream) const
{
    const auto found = states_.find(upstream);
    return found == states_.end() ? 0 : found->second.inFlight;
}

bool UpstreamView::isEjected(const UpstreamId &upstream, Instant now) const
{
    const auto found = states_.find(upstream);
    return found != states_.end() && found->second.ejectedUntil
        && now < *found->second.ejectedUntil;
}

bool UpstreamView::hasHealthyUpstream(Instant now) const
{
    return std::ranges::any_of(states_, [&](const auto &entry) {
        return entry.second.failuresInRow == 0 && usable(entry.second, now) > 0;
    });
}

Interval UpstreamView::meanLatency() const
{
    return fromSeconds(meanLatency_);
}

std::vector<UpstreamId> UpstreamView::upstreams() const
{
    return order_;
}

} // namespace endivequay
