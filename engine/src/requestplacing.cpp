#include "endivequay/requestengine.h"

#include <algorithm>

// Where requests go: shares of the regions, order of regions and choice of the upstream.
namespace endivequay {

namespace {

/// Least time between two divisions of limits and demand: their cost grows with teams and members.
constexpr Interval rebalanceInterval = std::chrono::milliseconds(250);
/// The same for an instance that starts. It hears more of the others with every message, and until
/// then it refuses what they would lend it.
constexpr Interval rebalanceIntervalAtStart = std::chrono::milliseconds(50);
constexpr Interval startTime = std::chrono::seconds(2);

/// A request waits this long for an upstream that knows its object before it goes to another one.
/// Slots of warm upstreams become free every few milliseconds, and a cold run takes several times
/// as long as a warm one. More than warmPatiencePart of the objective would be lost in any case.
constexpr Interval warmPatience = std::chrono::milliseconds(120);
constexpr double warmPatiencePart = 0.4;

/// Slots of the own region that an instance may fill, as a multiple of its share by demand: the
/// demand of single instances varies by about the root of their few requests in flight.
constexpr double regionShareRoom = 1.25;
/// Demand that each instance is assumed to have beside its measured one, in slots.
constexpr double assumedSlots = 0.5;
/// Requests beyond the share, by urgency: an urgent one does not wait behind others at the
/// instance.
constexpr double urgentBeyondShare = 1;

/// Part of the slots that is assumed to be asked for while less than knownFill is heard of.
constexpr double assumedFill = 0.7;
constexpr double knownFill = 0.15;

} // namespace

DemandReport RequestEngine::demand(Instant now)
{
    DemandReport report = demand_.report(now);
    for (const auto &[service, state] : services_) {
        const auto rate = report.find(demandKey(service));
        if (rate != report.end())
            rate->second *= state.meanTime;
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
        if (now - peer.heardAt >= FleetQuota::staleReport)
            continue;
        loads[peer.region].demand += demandOf(peer.demand, key);
        total += demandOf(peer.demand, key);
    }
    // Callers are assumed to be spread evenly over the failure domains until they are heard of: the
    // shares change slowly, so a start with everything at home would last.
    const double missing = std::max(0.0, assumedFill * slots - total);
    const auto domains = static_cast<double>(std::max<std::size_t>(1, self_.failureDomains()));
    if (total < knownFill * slots)
        for (const auto &[region, count] : self_.domainsByRegion)
            loads[region].demand += missing * count / domains;
    return loads;
}

double RequestEngine::regionShare(
    const ServiceId &service, const DemandReport &own, Instant now) const
{
    const DemandKey key = demandKey(service);
    const double ownDemand = demandOf(own, key) + assumedSlots;
    double demand = ownDemand;
    for (const PeerView &peer : peers_)
        if (peer.region == self_.region && now - peer.heardAt < FleetQuota::staleReport)
            demand += demandOf(peer.demand, key) + assumedSlots;
    const double slots = upstreams_.slots(service, self_.region, now);
    return std::max(1.0, regionShareRoom * slots * ownDemand / demand);
}

bool RequestEngine::mayUseRegion(const Request &request, const RegionId &region) const
{
    const ServiceState &service = services_.at(request.service);
    if (region != self_.region || !service.regionShare)
        return true;
    const double beyond = request.priority == 0 ? urgentBeyondShare : 0;
    return service.inFlightInRegion < *service.regionShare + beyond;
}

void RequestEngine::rebalanceSoon(Instant now)
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
    if (startedAt_ == Instant {})
        startedAt_ = now;
    rebalanceAt_
        = now + (now - startedAt_ < startTime ? rebalanceIntervalAtStart : rebalanceInterval);
    const DemandReport own = demand(now);
    quota_.rebalance(table_->document(), own, peers_, now);
    for (const ServiceSettings &service : table_->document().services)
        if (!upstreams_.regions(service.id).empty()) {
            ServiceState &state = services_[service.id];
            state.placement.follow(
                balancedShares(self_.region, loadsOf(service.id, own, now)), now);
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

const UpstreamEntry *RequestEngine::chooseUpstream(const Request &request, Instant now)
{
    if (request.regions.empty())
        return nullptr;
    const Interval waited = now - request.arrivedAt;
    const Interval patience = std::min(
        warmPatience, fromSeconds(warmPatiencePart * toSeconds(request.route->objective)));
    UpstreamQuery query { request.service, {}, self_.domain,
        services_[request.service].locality.covers(request.objectHash), request.objectHash,
        waited < patience && request.sends == 0,
        std::max(0, request.priority - (request.returning ? 1 : 0)),
        request.route->repeatability == Repeatability::Idempotent, &request.tried };
    const RegionId &preferred = request.regions.front();
    const bool preferredServes = upstreams_.serves(request.service, preferred, now);
    for (const RegionId &region : request.regions) {
        const bool spills = region != preferred && preferredServes;
        // Elsewhere the object is cold, which costs more than a short wait.
        if (spills && (query.warmOnly || !spill_.mayTake()))
            return nullptr;
        if (!mayUseRegion(request, region))
            continue;
        query.region = region;
        if (const UpstreamEntry *entry = upstreams_.choose(query, now)) {
            if (spills)
                spill_.take();
            return entry;
        }
    }
    return nullptr;
}

std::optional<Step> RequestEngine::place(Ticket, Request &request, Instant now)
{
    const UpstreamEntry *upstream = chooseUpstream(request, now);
    if (upstream == nullptr)
        return std::nullopt;
    request.current = upstream->id;
    request.tried.push_back(upstream->id);
    request.sentAt = now;
    request.objectKnown = upstreams_.sentLately(upstream->id, request.objectHash, now);
    ++request.sends;
    request.inRegion = upstream->region == self_.region;
    services_[request.service].inFlightInRegion += request.inRegion ? 1 : 0;
    upstreams_.started(upstream->id, request.objectHash, now);
    return SendOrder { upstream->id, upstream->address, request.service, upstream->region,
        upstream->domain, request.team, request.finalDeadline,
        request.route->repeatability == Repeatability::Idempotent, request.sends };
}

} // namespace endivequay
