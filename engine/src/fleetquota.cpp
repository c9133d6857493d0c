#include "endivequay/fleetquota.h"

#include "endivequay/digest.h"

#include <fmt/format.h>

#include <algorithm>

namespace endivequay {

namespace {

/// Demand assumed for each member in addition to its measured one, in requests per second.
constexpr double assumedMemberDemand = 1;

/// The same for each member of a region in the division among regions: chance matters less there,
/// and a larger constant would leave idle regions a large part.
constexpr double assumedRegionMemberDemand = 0.2;

double shareOfLimit(double demand, double fleetDemand, double assumedPart, double assumedFleet,
    std::size_t freshMembers, std::size_t staleMembers)
{
    const auto fresh = static_cast<double>(freshMembers);
    const double freshFraction = fresh / (fresh + static_cast<double>(staleMembers));
    return freshFraction * (demand + assumedPart) / (fleetDemand + assumedFleet);
}

/// Minimum depth of a share: one request in a small fleet. In a large fleet these minimums would
/// add up, and the reserve serves small teams there.
double minShareDepth(std::size_t members)
{
    return members > FleetQuota::largeFleetMembers ? 0 : 1;
}

} // namespace

double fleetShare(
    double ownDemand, double fleetDemand, std::size_t freshMembers, std::size_t staleMembers)
{
    return shareOfLimit(ownDemand, fleetDemand, assumedMemberDemand,
        assumedMemberDemand * static_cast<double>(freshMembers), freshMembers, staleMembers);
}

double regionShareOfLimit(double regionDemand, std::size_t regionMembers, double fleetDemand,
    std::size_t freshMembers, std::size_t staleMembers)
{
    return shareOfLimit(regionDemand, fleetDemand,
        assumedRegionMemberDemand * static_cast<double>(regionMembers),
        assumedRegionMemberDemand * static_cast<double>(freshMembers), freshMembers, staleMembers);
}

/// What the reports of the other members add up to.
struct FleetQuota::Members
{
    std::size_t all = 1;
    std::size_t fresh = 1; ///< With a fresh report, including this instance.
    std::size_t present = 1; ///< Fresh or newly listed, see newMemberGracePeriod.
    std::map<RegionId, std::size_t> presentByRegion;
    std::map<RegionId, DemandReport> demandByRegion; ///< Without this instance.
    std::map<RegionId, std::vector<OwnerCandidate>> candidates;

    bool isLarge() const { return all > largeFleetMembers; }
    double demand(DemandKey key) const
    {
        double sum = 0;
        for (const auto &[region, report] : demandByRegion)
            sum += demandOf(report, key);
        return sum;
    }
};

InstanceId FleetQuota::ownerOf(DemandKey team, const std::vector<OwnerCandidate> &candidates)
{
    return std::ranges::max_element(candidates, {}, [&](const auto &candidate) {
        return (candidate.second ^ team.value()) * 0x9e3779b97f4a7c15ULL;
    })->first;
}

DemandReport FleetQuota::propagatedDemand(
    DemandHistory &history, const DemandReport &current, Interval delay, Instant now)
{
    history.emplace_back(now, current);
    // Keeps the latest entry that is old enough at the front.
    while (history.size() > 1 && history[1].first <= now - delay)
        history.pop_front();
    if (history.front().first > now - delay)
        return {};
    DemandReport known;
    for (const auto &[key, rate] : current)
        known[key] = std::min(rate, demandOf(history.front().second, key));
    return known;
}

FleetQuota::Members FleetQuota::countMembers(
    std::span<const PeerView> peers, bool byRegion, Instant now) const
{
    const auto regionOf = [&](const RegionId &region) { return byRegion ? region : RegionId {}; };
    Members members;
    members.all = std::max(peers.size() + 1, minMembers_);
    members.presentByRegion[regionOf(region_)] = 1;
    std::map<RegionId, InstanceCapacity> strongest { { regionOf(region_), capacity_ } };
    for (const PeerView &peer : peers)
        strongest[regionOf(peer.region)]
            = std::max(strongest[regionOf(peer.region)], peer.capacity);
    // Weak instances answer late, because their links and processors are slow.
    const auto mayOwn = [&](const RegionId &region, const InstanceCapacity &capacity) {
        return !byRegion || isPreferred(capacity, strongest[region]);
    };
    if (mayOwn(regionOf(region_), capacity_))
        members.candidates[regionOf(region_)].emplace_back(self_, hash64(self_.value()));
    for (const PeerView &peer : peers) {
        const RegionId region = regionOf(peer.region);
        const bool fresh = now - peer.lastSeenAt < reportTimeout;
        // Recently listed members are candidates as well, so that all instances choose the same
        // owner after a restart of all.
        if ((fresh || now - peer.firstListedAt < reportTimeout) && mayOwn(region, peer.capacity))
            members.candidates[region].emplace_back(peer.id, hash64(peer.id.value()));
        const bool present = fresh || now - peer.firstListedAt < newMemberGracePeriod;
        members.present += present ? 1 : 0;
        members.presentByRegion[region] += present ? 1 : 0;
        if (!fresh)
            continue;
        ++members.fresh;
        for (const auto &[key, rate] : peer.demand)
            members.demandByRegion[region][key] += rate;
    }
    if (members.candidates[regionOf(region_)].empty())
        members.candidates[regionOf(region_)].emplace_back(self_, hash64(self_.value()));
    return members;
}

void FleetQuota::rebalance(const RoutingDocument &document, const DemandReport &own,
    std::span<const PeerView> peers, Instant now)
{
    const bool byRegion = std::max(peers.size() + 1, minMembers_) > largeFleetMembers;
    const Members members = countMembers(peers, byRegion, now);
    const Interval delay = byRegion ? demandDelayLargeFleet : demandDelay;
    const DemandReport ownPropagated = propagatedDemand(ownDemands_, own, delay, now);
    const RegionalDemand regions = commonDemand(members, own, now);
    if (members.candidates != ownerCandidates_)
        ++candidatesVersion_;
    ownerCandidates_ = members.candidates;
    std::map<TeamId, Share> shares;
    for (const TeamSettings &team : document.teams) {
        if (team.rate.value() <= 0)
            continue;
        const auto known = shares_.find(team.id);
        Share share = known == shares_.end() ? Share {} : known->second;
        updateShare(share, team, members, ownPropagated, regions, known == shares_.end(), now);
        shares.emplace(team.id, share);
    }
    shares_ = std::move(shares);
}

FleetQuota::RegionalDemand FleetQuota::commonDemand(
    const Members &members, const DemandReport &own, Instant now)
{
    const RegionId localRegion = members.isLarge() ? region_ : RegionId {};
    RegionalDemand current = members.demandByRegion;
    for (const auto &[key, rate] : own)
        current[localRegion][key] += rate;
    regionDemands_.emplace_back(now, std::move(current));
    const auto isOld = [&](const auto &entry, Interval age) { return entry.first <= now - age; };
    while (regionDemands_.size() > 1 && isOld(regionDemands_[1], demandDelayLargeFleet))
        regionDemands_.pop_front();
    if (!isOld(regionDemands_.front(), demandDelayLargeFleet))
        return {};
    // What other regions report is older than what is measured in this one.
    const Interval remoteDelay = demandDelayLargeFleet - regionReportAge;
    const auto remote = std::find_if(regionDemands_.rbegin(), regionDemands_.rend(),
        [&](const auto &entry) { return isOld(entry, remoteDelay); });
    RegionalDemand common = remote->second;
    const auto local = regionDemands_.front().second.find(localRegion);
    common[localRegion]
        = local == regionDemands_.front().second.end() ? DemandReport {} : local->second;
    return common;
}

void FleetQuota::updateShare(Share &share, const TeamSettings &team, const Members &members,
    const DemandReport &own, const RegionalDemand &regions, bool isNew, Instant now)
{
    const RegionId localRegion = members.isLarge() ? region_ : RegionId {};
    const std::size_t staleCount = members.all - members.fresh;
    share.key = demandKey(team.id);
    share.ownDemand = demandOf(own, share.key);
    const double othersDemand = members.demand(share.key);
    share.fleetDemand = share.ownDemand + othersDemand;
    share.fraction = fleetShare(share.ownDemand, share.fleetDemand, members.fresh, staleCount);
    share.rate = team.rate.value();
    share.members = members.all;
    share.staleCount = staleCount;
    const double window = toSeconds(tolerance_.window);
    const double reserveShare = members.isLarge() ? reserveFractionLargeFleet : reserveFraction;
    const double allowed
        = (team.rate.value() * window + team.burst.value()) * (1 + tolerance_.overRatio)
        + tolerance_.slack;
    const double refill = team.rate.value() + spreadBurstFraction * team.burst.value() / window;
    const double depth = grantedDepthFraction * (allowed - refill * window);
    const double localFraction = (1 - reserveShare) * share.fraction;
    double regionDemand = 0;
    double regionsDemand = 0;
    for (const auto &[id, report] : regions) {
        regionsDemand += demandOf(report, share.key);
        regionDemand += id == localRegion ? demandOf(report, share.key) : 0;
    }
    const double reserveScale = reserveShare
        * regionShareOfLimit(regionDemand, members.presentByRegion.at(localRegion), regionsDemand,
            members.present, members.all - members.present);
    // New shares start full. If all instances restart at once, this grants their depth twice,
    // which is covered by the part of the depth that is never granted.
    if (isNew) {
        share.bucket = TokenBucket(
            localFraction * refill, localFraction * depth, localFraction * depth, now);
        const double initialFill = members.fresh == 1 ? initialReserveFraction : 0;
        share.reserve = TokenBucket(
            reserveScale * refill, reserveScale * depth, initialFill * reserveScale * depth, now);
    }
    share.bucket.setLimit(
        localFraction * refill, std::max(minShareDepth(members.all), localFraction * depth), now);
    share.reserve.setLimit(reserveScale * refill, std::max(1.0, reserveScale * depth), now);
    share.remoteOwner = remoteOwnerOf(share, members);
    if (share.candidatesVersion == candidatesVersion_)
        return;
    const InstanceId reserveOwner = ownerOf(share.key, ownerCandidates_.at(localRegion));
    if (!isNew && reserveOwner == self_ && share.reserveOwner != self_)
        share.reserve.drain(now);
    share.reserveOwner = reserveOwner;
    share.candidatesVersion = candidatesVersion_;
}

InstanceId FleetQuota::remoteOwnerOf(const Share &share, const Members &members) const
{
    if (!members.isLarge())
        return {};
    const RegionId *best = nullptr;
    double bestPerMember = 0;
    for (const auto &[region, candidates] : ownerCandidates_) {
        const auto report = members.demandByRegion.find(region);
        const auto present = members.presentByRegion.find(region);
        if (region == region_ || report == members.demandByRegion.end() || candidates.empty()
            || present == members.presentByRegion.end())
            continue;
        // The parts follow the demand and a constant for each member: the region with the least
        // demand a member has the largest part beside its demand.
        const double perMember
            = demandOf(report->second, share.key) / static_cast<double>(present->second);
        if (best == nullptr || perMember < bestPerMember) {
            best = &region;
            bestPerMember = perMember;
        }
    }
    return best == nullptr ? InstanceId {} : ownerOf(share.key, ownerCandidates_.at(*best));
}

bool FleetQuota::tryTake(const TeamId &team, Instant now)
{
    const auto found = shares_.find(team);
    if (found == shares_.end() || found->second.bucket.tryTake(now))
        return true;
    Share &share = found->second;
    if (share.reserveOwner == self_)
        return share.reserve.tryTake(now);
    if (share.grantedTokens <= 0 || now >= share.grantedUntil)
        return false;
    --share.grantedTokens;
    return true;
}

FleetQuota::Share *FleetQuota::find(DemandKey team)
{
    const auto found = std::ranges::find_if(
        shares_, [&](const auto &entry) { return entry.second.key == team; });
    return found == shares_.end() ? nullptr : &found->second;
}

std::optional<TokenRequest> FleetQuota::tokenRequestFor(const TeamId &team, Instant now) const
{
    const auto found = shares_.find(team);
    if (found == shares_.end())
        return std::nullopt;
    const Share &share = found->second;
    if (share.reserveOwner == self_ || now < share.refusedUntil)
        return std::nullopt;
    return TokenRequest { share.key, 1, share.reserveOwner };
}

std::optional<TokenRequest> FleetQuota::prefetchFor(const TeamId &team, Instant now)
{
    const auto found = shares_.find(team);
    if (found == shares_.end())
        return std::nullopt;
    Share &share = found->second;
    if (share.reserveOwner == self_ || now < share.refusedUntil)
        return std::nullopt;
    if (now >= share.prefetchedUntil)
        share.prefetchedTokens = 0;
    const int granted = now < share.grantedUntil ? share.grantedTokens : 0;
    const auto count = static_cast<int>(share.ownDemand * toSeconds(prefetchInterval));
    if (count < 1 || granted + share.prefetchedTokens >= share.ownDemand * toSeconds(prefetchLead))
        return std::nullopt;
    share.prefetchedTokens += count;
    share.prefetchedUntil = now + prefetchLead;
    return TokenRequest { share.key, count, share.reserveOwner };
}

std::optional<TokenRequest> FleetQuota::remoteTokenRequestFor(const TeamId &team, Instant now) const
{
    const auto found = shares_.find(team);
    if (found == shares_.end())
        return std::nullopt;
    const Share &share = found->second;
    // A team above its limit has nothing to spare in any region.
    const bool exceedsLimit = share.fleetDemand >= share.rate;
    if (share.remoteOwner.value().empty() || exceedsLimit || now < share.remoteRefusedUntil)
        return std::nullopt;
    return TokenRequest { share.key, 1, share.remoteOwner };
}

int FleetQuota::grant(DemandKey team, int count, Instant now)
{
    Share *share = find(team);
    if (share == nullptr || share->reserveOwner != self_)
        return 0;
    int tokens = 0;
    while (tokens < count && share->reserve.tryTake(now))
        ++tokens;
    return tokens;
}

std::optional<TeamId> FleetQuota::receiveTokens(
    DemandKey team, int count, const InstanceId &from, Instant now)
{
    Share *share = find(team);
    if (share == nullptr)
        return std::nullopt;
    const bool isRemote = !from.value().empty() && from != share->reserveOwner;
    if (now >= share->grantedUntil)
        share->grantedTokens = 0;
    if (!isRemote)
        share->prefetchedTokens = std::max(0, share->prefetchedTokens - std::max(1, count));
    if (count == 0) {
        (isRemote ? share->remoteRefusedUntil : share->refusedUntil) = now + refusalBackoff;
    } else {
        share->grantedTokens += count;
        share->grantedUntil = now + grantLifetime;
    }
    const auto found
        = std::ranges::find_if(shares_, [&](const auto &entry) { return &entry.second == share; });
    return found->first;
}

void FleetQuota::refund(const TeamId &team)
{
    const auto share = shares_.find(team);
    if (share != shares_.end())
        share->second.bucket.add(1);
}

Interval FleetQuota::retryAfter(const TeamId &team) const
{
    const auto found = shares_.find(team);
    if (found == shares_.end())
        return {};
    // Time in which the fleet can serve the requests that exceed the limit during one second.
    const Share &share = found->second;
    const double excess = std::max(0.0, share.fleetDemand / share.rate - 1);
    return std::clamp<Interval>(fromSeconds(excess), minRetryDelay, maxRetryDelay);
}

std::string FleetQuota::describe(const TeamId &team, Instant now)
{
    const auto found = shares_.find(team);
    if (found == shares_.end())
        return {};
    Share &share = found->second;
    return fmt::format("team={} tokens={:.2f} share={:.3f} limit={:.1f} demand={:.1f}/{:.1f} "
                       "members={} stale={} keeper={}",
        team.value(), share.bucket.level(now), share.fraction, share.rate, share.ownDemand,
        share.fleetDemand, share.members, share.staleCount, share.reserveOwner.value());
}

} // namespace endivequay
