#include "endivequay/upstreamset.h"

#include "endivequay/digest.h"
#include "endivequay/objectplacement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <utility>

namespace endivequay {

namespace {

/// Weight of one attempt in the moving averages: ten attempts outweigh the history.
constexpr double attemptWeight = 0.1;

/// Excess of the fraction of failed attempts over the mean of the other upstreams above which an
/// upstream is an outlier: several times the error rate of healthy upstreams.
constexpr double outlierFailureRate = 0.25;

/// An upstream is an outlier if it is this many times slower than the mean of the other upstreams.
/// Cold caches slow down a healthy one as well, but rarely more than twofold.
constexpr double outlierSlowness = 2.5;
/// Caps the slowness of one upstream in the mean, so that one very slow upstream does not distort
/// it.
constexpr double maxSlownessInMean = 2;

/// How long an upstream is assumed to have an object after the last request for it there.
constexpr Interval objectLifetime = std::chrono::seconds(20);
/// Number of objects tracked for each upstream; the caches of the upstreams are not much larger.
constexpr std::size_t maxTrackedObjects = 64;

/// Interval between two probe requests to an outlier.
constexpr Interval probeInterval = std::chrono::milliseconds(700);

/// Consecutive failures after which an upstream is ejected.
constexpr int ejectionFailureThreshold = 3;

/// Duration of the first ejection; doubles with each consecutive one up to maxEjectionDuration,
/// about the time that a restart takes.
constexpr Interval baseEjectionDuration = std::chrono::milliseconds(400);
constexpr Interval maxEjectionDuration = std::chrono::seconds(4);

/// As a report ages, the estimate of other instances' requests moves within reportLifetime from the
/// reported number to the mean of the reports. The mean falls to 0 in meanReportLifetime: in a
/// large fleet an instance receives a report from an upstream only every few seconds.
constexpr Interval reportLifetime = std::chrono::seconds(3);
constexpr Interval meanReportLifetime = std::chrono::seconds(15);
/// Weight of one report in the mean.
constexpr double reportWeight = 0.2;

/// The same for upstreams that report their pace: their choice looks a few runs ahead, and an older
/// report says little about the requests that are there now.
constexpr Interval pacedReportLifetime = std::chrono::milliseconds(500);

/// Time in which a reported pace loses its weight. It changes many times a second.
constexpr Interval paceLifetime = std::chrono::milliseconds(400);
/// Bounds of the weight of one report.
constexpr double minPace = 1;
constexpr double maxPace = 4;

/// Limits of the relative duration of one attempt in the moving average. Where upstreams report
/// their pace, three of a hundred runs may take seven times as long; with the lower limit two of
/// them in a row do not make an outlier.
constexpr double maxRelativeTime = 10;
constexpr double maxRelativeTimePaced = 6;
constexpr double minRelativeTime = 0.2;

/// Added to the cold time that service discovery reports, for the propagation delay of its lists.
constexpr Interval discoveryDelayMargin = std::chrono::milliseconds(500);

} // namespace

UpstreamSet::UpstreamSet(InstanceId self, std::size_t minSenders)
    : self_(std::move(self))
    , minSenders_(minSenders)
    , senders_ { self_ }
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

bool UpstreamSet::acceptsRequests(const State &state)
{
    return state.listed && !state.entry.draining && !state.saidLeaving && !state.evacuated;
}

std::span<UpstreamSet::State *const> UpstreamSet::statesOf(
    const ServiceId &service, const RegionId &region) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return {};
    const auto states = found->second.byRegion.find(region);
    return states == found->second.byRegion.end() ? std::span<State *const> {}
                                                  : std::span(states->second);
}

bool UpstreamSet::isOutlier(const State &state)
{
    const Service *service = state.service;
    if (service == nullptr || service->states.size() < 2)
        return false;
    // Compared with the other upstreams: if all fail or are slow, there is no better choice.
    const auto others = static_cast<double>(service->states.size() - 1);
    const double failureRate = (service->failureRateSum - state.failureRate) / others;
    const double slowness = (service->slownessSum - boundedSlowness(state)) / others;
    return state.failureRate > outlierFailureRate + failureRate
        || state.slowness > outlierSlowness * std::max(1.0, slowness);
}

bool UpstreamSet::countsAsCapacity(const State &state, Instant now)
{
    return acceptsRequests(state) && state.ejectedUntil <= now && state.coldUntil <= now
        && !isOutlier(state);
}

double UpstreamSet::boundedSlowness(const State &state)
{
    return std::min(state.slowness, maxSlownessInMean);
}

bool UpstreamSet::mayHold(const State &state, std::uint64_t objectHash, Instant now)
{
    const auto found = state.objects.find(objectHash);
    return found != state.objects.end() && now - found->second < objectLifetime;
}

void UpstreamSet::recordObject(State &state, std::uint64_t objectHash, Instant now)
{
    state.objects[objectHash] = now;
    if (state.objects.size() > maxTrackedObjects)
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
    const auto coldDuration = [&](const ServiceId &service) {
        const auto found = settings_.find(service);
        return found == settings_.end() ? Interval {} : found->second.coldDuration;
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
            const auto left = leftRuns_.find(entry.id);
            state->saidLeaving = left != leftRuns_.end() && left->second == entry.startedAt;
        }
        const bool returned
            = evacuated_.contains(entry.domain) && !evacuated.contains(entry.domain);
        state->entry = entry;
        state->listed = true;
        state->evacuated = evacuated.contains(entry.domain);
        if (entry.coldUntil > now)
            makeCold(*state, entry.coldUntil + discoveryDelayMargin, now);
        if ((initialized_ && (fresh || restarted)) || returned)
            makeCold(*state, now + coldDuration(entry.service), now);
    }
    std::erase_if(states_,
        [](const auto &entry) { return !entry.second->listed && entry.second->inFlight == 0; });
    services_.clear();
    for (auto &[id, state] : states_) {
        state->service = nullptr;
        if (!state->listed)
            continue;
        Service &service = services_[state->entry.service];
        service.states.push_back(state.get());
        service.byRegion[state->entry.region].push_back(state.get());
        state->service = &service;
    }
    for (const ServiceSettings &service : table.document().services)
        updateSums(service.id);
    evacuated_ = evacuated;
    initialized_ = true;
}

void UpstreamSet::setSenders(std::vector<InstanceId> senders)
{
    senders_ = std::move(senders);
    for (auto &[id, state] : states_)
        assignColdRate(*state, Instant {});
}

void UpstreamSet::makeCold(State &state, Instant until, Instant now) const
{
    const bool wasCold = state.coldUntil > now;
    state.coldUntil = std::max(state.coldUntil, until);
    if (!wasCold)
        assignColdRate(state, now);
}

void UpstreamSet::assignColdRate(State &state, Instant now) const
{
    const auto service = settings_.find(state.entry.service);
    if (service == settings_.end())
        return;
    const auto rank = [&](const InstanceId &id) { return hash64(id.value(), state.hash); };
    const std::uint64_t own = rank(self_);
    const auto ahead = std::ranges::count_if(
        senders_, [&](const InstanceId &id) { return id != self_ && rank(id) > own; });
    const auto used = std::min(maxColdSenders, senders_.size());
    // With few known senders, as after the store has lost the registrations, every instance would
    // take the whole cold rate.
    state.coldSender = senders_.size() >= minSenders_ && static_cast<std::size_t>(ahead) < used
        && std::ranges::find(senders_, self_) != senders_.end();
    const double rate = service->second.coldRate / static_cast<double>(used);
    if (now == Instant {})
        state.coldBucket.setLimit(rate, 1, now);
    else
        state.coldBucket = TokenBucket(rate, 1, 1, now);
}

double UpstreamSet::load(const State &state, Instant now) const
{
    const double age = toSeconds(now - state.reportedAt);
    const Interval lifetime
        = state.paceReportedAt != Instant {} ? pacedReportLifetime : reportLifetime;
    const double reportFreshness = std::clamp(1 - age / toSeconds(lifetime), 0.0, 1.0);
    const double meanWeight = std::clamp(1 - age / toSeconds(meanReportLifetime), 0.0, 1.0);
    return state.inFlight + reportFreshness * state.otherRequests
        + (1 - reportFreshness) * meanWeight * state.meanOtherRequests;
}

double UpstreamSet::currentPace(const State &state, Instant now)
{
    const double age = toSeconds(now - state.paceReportedAt);
    return 1 + (state.pace - 1) * std::clamp(1 - age / toSeconds(paceLifetime), 0.0, 1.0);
}

std::optional<FailureDomainId> UpstreamSet::domainOf(const UpstreamId &id) const
{
    const State *state = find(id);
    return state == nullptr ? std::nullopt : std::optional(state->entry.domain);
}

bool UpstreamSet::sentRecently(const UpstreamId &id, std::uint64_t objectHash, Instant now) const
{
    const State *state = find(id);
    return state != nullptr && mayHold(*state, objectHash, now);
}

bool UpstreamSet::serves(const ServiceId &service, const RegionId &region, Instant now) const
{
    return std::ranges::any_of(statesOf(service, region),
        [&](const State *state) { return acceptsRequests(*state) && state->ejectedUntil <= now; });
}

double UpstreamSet::slots(const ServiceId &service, const RegionId &region, Instant now) const
{
    double sum = 0;
    for (const State *state : statesOf(service, region))
        if (countsAsCapacity(*state, now))
            sum += state->entry.slots;
    return sum;
}

std::optional<double> UpstreamSet::utilization(
    const ServiceId &service, const RegionId &region, Instant now) const
{
    const double all = slots(service, region, now);
    if (all <= 0 || !reportsPace(service))
        return std::nullopt;
    double requests = 0;
    for (const State *state : statesOf(service, region))
        if (countsAsCapacity(*state, now))
            requests += load(*state, now);
    return requests / all;
}

std::vector<RegionId> UpstreamSet::regions(const ServiceId &service) const
{
    const auto found = services_.find(service);
    std::vector<RegionId> regions;
    if (found != services_.end())
        std::ranges::transform(found->second.byRegion, std::back_inserter(regions),
            [](const auto &entry) { return entry.first; });
    return regions;
}

void UpstreamSet::attemptStarted(const UpstreamId &id, std::uint64_t objectHash, Instant now)
{
    State *state = find(id);
    if (state == nullptr)
        return;
    ++state->inFlight;
    recordObject(*state, objectHash, now);
    state->nextProbeAt = now + probeInterval;
    if (state->coldUntil > now)
        state->coldBucket.tryTake(now);
}

void UpstreamSet::eject(State &state, Instant now) const
{
    const Interval time
        = std::min(maxEjectionDuration, baseEjectionDuration * (1 << std::min(state.ejections, 5)));
    ++state.ejections;
    state.ejectedUntil = now + time;
    // The upstream may have restarted and then is cold.
    const auto service = settings_.find(state.entry.service);
    if (service != settings_.end())
        makeCold(state, state.ejectedUntil + service->second.coldDuration, now);
}

void UpstreamSet::leavingReported(const UpstreamId &id)
{
    State *state = find(id);
    if (state == nullptr)
        return;
    state->saidLeaving = true;
    if (leftRuns_.size() >= maxLeftRuns)
        std::erase_if(leftRuns_, [&](const auto &run) { return find(run.first) == nullptr; });
    leftRuns_[id] = state->entry.startedAt;
}

void UpstreamSet::attemptFinished(
    const UpstreamId &id, AttemptResult result, double relativeTime, Instant now)
{
    State *state = find(id);
    if (state == nullptr)
        return;
    state->inFlight = std::max(0, state->inFlight - 1);
    const auto updateMean
        = [](double &mean, double sample) { mean += attemptWeight * (sample - mean); };
    switch (result) {
    case AttemptResult::Good:
        state->consecutiveFailures = 0;
        state->ejections = 0;
        updateMean(state->failureRate, 0);
        updateMean(state->slowness,
            std::clamp(relativeTime, minRelativeTime,
                reportsPace(state->entry.service) ? maxRelativeTimePaced : maxRelativeTime));
        break;
    case AttemptResult::Failed:
        updateMean(state->failureRate, 1);
        if (++state->consecutiveFailures >= ejectionFailureThreshold)
            eject(*state, now);
        break;
    case AttemptResult::Shed:
        // Load shedding despite free slots is a fault of the upstream, not a sign of load.
        if (load(*state, now) < state->entry.slots)
            updateMean(state->failureRate, 1);
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

void UpstreamSet::occupancyReported(const UpstreamId &id, const Occupancy &occupancy, Instant now)
{
    State *state = find(id);
    if (state == nullptr)
        return;
    // The report and inFlight both count the reporting request.
    state->otherRequests = std::max(0, occupancy.running + occupancy.waiting - state->inFlight);
    state->reportedAt = now;
    if (occupancy.pacePercent) {
        state->pace = std::clamp(*occupancy.pacePercent / 100.0, minPace, maxPace);
        state->paceReportedAt = now;
        pacedServices_.insert(state->entry.service);
    }
    state->meanOtherRequests += reportWeight * (state->otherRequests - state->meanOtherRequests);
}

bool UpstreamSet::usable(const UpstreamId &id) const
{
    const State *state = find(id);
    return state != nullptr && acceptsRequests(*state);
}

int UpstreamSet::inFlight(const UpstreamId &id) const
{
    const State *state = find(id);
    return state == nullptr ? 0 : state->inFlight;
}

} // namespace endivequay
