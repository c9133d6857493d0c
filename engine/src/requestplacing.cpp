#include "endivequay/requestengine.h"

#include <algorithm>

// Placement of requests: regional shares, order of the regions and choice of the upstream.
namespace endivequay {

namespace {

/// Minimum time between two rebalances of limits and demand: their cost grows with teams and
/// members.
constexpr Interval rebalanceInterval = std::chrono::milliseconds(250);
/// The same for a starting instance. Every message adds data on the other members; until the
/// next rebalance it refuses requests that their tokens would allow.
constexpr Interval startupRebalanceInterval = std::chrono::milliseconds(50);
constexpr Interval startupDuration = std::chrono::seconds(2);

/// How long a request waits for an upstream that has its object before it goes to another one. Warm
/// upstreams free a slot every few milliseconds, and a cold run takes several times as long as a
/// warm one. The wait is limited to maxWarmWaitFraction of the objective, beyond which the
/// objective would be missed in any case.
constexpr Interval maxWarmWait = std::chrono::milliseconds(120);
constexpr double maxWarmWaitFraction = 0.4;

/// Slots of the local region that an instance may occupy, as a multiple of its share by demand: the
/// demand of one instance varies by about the square root of its few requests in flight.
constexpr double regionShareHeadroom = 1.25;
/// Demand assumed for each instance in addition to its measured one, in slots.
constexpr double assumedSlotDemand = 0.5;
/// Slots beyond the share for requests of the highest priority, so that they do not queue behind
/// others at the instance.
constexpr double urgentExtraSlots = 1;

/// While the reported demand is below minReportedUtilization of the slots, a demand of
/// assumedUtilization of the slots is assumed.
constexpr double assumedUtilization = 0.7;
constexpr double minReportedUtilization = 0.15;

} // namespace

DemandReport RequestEngine::demand(Instant now)
{
    DemandReport report = demand_.report(now);
    for (const auto &[service, state] : services_) {
        const auto rate = report.find(demandKey(service));
        if (rate != report.end())
            rate->second *= state.meanServiceSeconds;
    }
    return report;
}

std::map<RegionId, RegionLoad> RequestEngine::loadsOf(
    const ServiceId &service, const DemandReport &own, Instant now) const
{
    std::map<RegionId, RegionLoad> loads;
    double slots = 0;
    for (const RegionId &region : upstreams_.regions(service)) {
        loads[region].slots = upstreams_.slots(service, region, now);
        slots += loads[region].slots;
    }
    const DemandKey key = demandKey(service);
    double total = demandOf(own, key);
    loads[self_.region].demand += demandOf(own, key);
    for (const PeerView &peer : peers_) {
        if (now - peer.lastSeenAt >= FleetQuota::reportTimeout)
            continue;
        loads[peer.region].demand += demandOf(peer.demand, key);
        total += demandOf(peer.demand, key);
    }
    // Until enough demand is reported, callers are assumed to be spread evenly over the failure
    // domains. Otherwise an instance would serve everything locally after its start, and would
    // continue to for long, because the shares change slowly.
    const double missing = std::max(0.0, assumedUtilization * slots - total);
    const auto domains = static_cast<double>(std::max<std::size_t>(1, self_.failureDomainCount()));
    if (total < minReportedUtilization * slots)
        for (const auto &[region, count] : self_.domainsByRegion)
            loads[region].demand += missing * count / domains;
    return loads;
}

double RequestEngine::regionShare(
    const ServiceId &service, const DemandReport &own, Instant now) const
{
    const DemandKey key = demandKey(service);
    const double ownDemand = demandOf(own, key) + assumedSlotDemand;
    double demand = ownDemand;
    for (const PeerView &peer : peers_)
        if (peer.region == self_.region && now - peer.lastSeenAt < FleetQuota::reportTimeout)
            demand += demandOf(peer.demand, key) + assumedSlotDemand;
    const double slots = upstreams_.slots(service, self_.region, now);
    return std::max(1.0, regionShareHeadroom * slots * ownDemand / demand);
}

bool RequestEngine::mayUseRegion(const Request &request, const RegionId &region) const
{
    const ServiceState &service = services_.at(request.service);
    if (region != self_.region || !service.regionShare)
        return true;
    const double beyond = request.priority == 0 ? urgentExtraSlots : 0;
    return service.inFlightInRegion < *service.regionShare + beyond;
}

void RequestEngine::requestRebalance(Instant now)
{
    rebalancePending_ = true;
    if (now >= rebalanceAt_)
        rebalance(now);
}

void RequestEngine::rebalance(Instant now)
{
    rebalancePending_ = false;
    if (!table_)
        return;
    if (firstRebalanceAt_ == Instant {})
        firstRebalanceAt_ = now;
    rebalanceAt_ = now
        + (now - firstRebalanceAt_ < startupDuration ? startupRebalanceInterval
                                                     : rebalanceInterval);
    const DemandReport own = demand(now);
    quota_.rebalance(table_->document(), own, peers_, now);
    for (const ServiceSettings &service : table_->document().services)
        if (!upstreams_.regions(service.id).empty()) {
            ServiceState &state = services_[service.id];
            const auto loads = loadsOf(service.id, own, now);
            state.spareRegions = regionsWithSpareCapacity(loads);
            const auto used = upstreams_.utilization(service.id, self_.region, now);
            if (used && !state.spareRegions.contains(self_.region))
                state.localCapacity.observe(*used);
            state.placement.moveToward(
                balancedShares(self_.region, loads, state.localCapacity.fraction()), now);
            state.regionShare = regionShare(service.id, own, now);
        }
}

std::vector<RegionId> RequestEngine::regionsFor(const Request &request, Instant now)
{
    const TeamSettings *team = nullptr;
    if (!request.team.value().empty()) {
        const auto &teams = request.table->document().teams;
        const auto found = std::ranges::find(teams, request.team, &TeamSettings::id);
        team = found == teams.end() ? nullptr : &*found;
    }
    const auto isHome = [](const std::vector<RegionId> &homes, const RegionId &region) {
        return homes.empty() || std::ranges::find(homes, region) != homes.end();
    };
    std::vector<RegionId> regions;
    for (const RegionId &region : upstreams_.regions(request.service))
        if (isHome(request.route->homes, region)
            && (team == nullptr || isHome(team->homes, region)))
            regions.push_back(region);
    const auto preferred = services_[request.service].placement.regionOf(request.objectHash);
    std::ranges::stable_sort(regions, std::greater {}, [&](const RegionId &region) {
        return (upstreams_.serves(request.service, region, now) ? 4 : 0)
            + (region == preferred ? 2 : 0) + (region == self_.region ? 1 : 0);
    });
    return regions;
}

ExpectedRun RequestEngine::expectedRun(const Request &request) const
{
    const auto stats = routes_.find(request.route->id);
    const auto service = services_.find(request.service);
    if (stats == routes_.end() || service == services_.end())
        return {};
    const double warm = stats->second.warmDuration.typicalWarm();
    return { warm, std::max(warm, stats->second.meanColdSeconds), service->second.meanRunSeconds };
}

const UpstreamEntry *RequestEngine::selectUpstream(const Request &request, Instant now)
{
    if (request.regions.empty())
        return nullptr;
    const Interval waited = now - request.arrivedAt;
    Interval warmWait = std::min(
        maxWarmWait, fromSeconds(maxWarmWaitFraction * toSeconds(request.route->objective)));
    // Where the cost of a cold run is known, it is tried before the request is refused.
    if (upstreams_.reportsPace(request.service))
        warmWait = std::min(warmWait, (request.waitUntil - request.arrivedAt) / 2);
    UpstreamQuery query { request.service, {}, self_.domain,
        services_[request.service].locality.covers(request.objectHash), request.objectHash,
        waited < warmWait && request.sends == 0,
        std::max(0, request.priority - (request.callerRetry ? 1 : 0)),
        request.route->repeatability == Repeatability::Idempotent, &request.tried,
        expectedRun(request), toSeconds(request.route->objective - waited) };
    const RegionId &preferred = request.regions.front();
    const bool preferredServes = upstreams_.serves(request.service, preferred, now);
    for (const RegionId &region : request.regions) {
        const bool spills = region != preferred && preferredServes;
        // The object is cold in other regions, which costs more than a short wait.
        if (spills && (query.warmOnly || !spillLimiter_.maySpill()))
            return nullptr;
        if (spills && !services_[request.service].spareRegions.contains(region))
            continue;
        if (!mayUseRegion(request, region))
            continue;
        query.region = region;
        if (const UpstreamEntry *entry = upstreams_.choose(query, now)) {
            if (spills)
                spillLimiter_.recordSpill();
            return entry;
        }
    }
    return nullptr;
}

std::optional<Step> RequestEngine::trySend(RequestId, Request &request, Instant now)
{
    const UpstreamEntry *upstream = selectUpstream(request, now);
    if (upstream == nullptr)
        return std::nullopt;
    request.currentUpstream = upstream->id;
    request.tried.push_back(upstream->id);
    request.sentAt = now;
    request.sentObjectBefore = upstreams_.sentRecently(upstream->id, request.objectHash, now);
    ++request.sends;
    request.inOwnRegion = upstream->region == self_.region;
    services_[request.service].inFlightInRegion += request.inOwnRegion ? 1 : 0;
    upstreams_.attemptStarted(upstream->id, request.objectHash, now);
    return SendToUpstream { upstream->id, upstream->address, request.service, upstream->region,
        upstream->domain, request.team, request.finalDeadline,
        request.route->repeatability == Repeatability::Idempotent, request.sends };
}

} // namespace endivequay
