#include "endivequay/fleetquota.h"

#include "endivequay/digest.h"

#include <fmt/format.h>

#include <algorithm>

namespace endivequay {

namespace {

/// Demand that each member is assumed to have beside its measured one, in requests per second.
constexpr double assumedDemand = 1;

/// Smallest depth of a share: one request in a small fleet. In a large one this would add up, and
/// the reserve serves such teams.
double leastBurst(std::size_t members)
{
    return members > FleetQuota::largeFleet ? 0 : 1;
}

} // namespace

double fleetShare(
    double ownDemand, double fleetDemand, std::size_t freshMembers, std::size_t staleMembers)
{
    const auto fresh = static_cast<double>(freshMembers);
    const double rest = fresh / (fresh + static_cast<double>(staleMembers));
    return rest * (ownDemand + assumedDemand) / (fleetDemand + assumedDemand * fresh);
}

InstanceId FleetQuota::keeperOf(DemandKey team) const
{
    return std::ranges::max_element(keepers_, {}, [&](const auto &keeper) {
        return (keeper.second ^ team.value()) * 0x9e3779b97f4a7c15ULL;
    })->first;
}

DemandReport FleetQuota::knownDemand(const DemandReport &own, Interval delay, Instant now)
{
    ownDemands_.emplace_back(now, own);
    // The first entry is the latest one that is old enough.
    while (ownDemands_.size() > 1 && ownDemands_[1].first <= now - delay)
        ownDemands_.pop_front();
    if (ownDemands_.front().first > now - delay)
        return {};
    DemandReport known;
    for (const auto &[key, rate] : own)
        known[key] = std::min(rate, demandOf(ownDemands_.front().second, key));
    return known;
}

void FleetQuota::rebalance(const RoutingDocument &document, const DemandReport &own,
    std::span<const PeerView> peers, Instant now)
{
    const std::size_t members = std::max(peers.size() + 1, leastMembers_);
    const DemandReport ownKnown
        = knownDemand(own, members > largeFleet ? demandDelayLargeFleet : demandDelay, now);
    DemandReport fleet = ownKnown;
    std::vector<std::pair<InstanceId, std::uint64_t>> keepers { { self_, hash64(self_.value()) } };
    std::size_t heard = 1;
    std::size_t present = 1;
    for (const PeerView &peer : peers) {
        const bool fresh = now - peer.heardAt < staleReport;
        // After a restart of all, the first to be asked is the one that all others ask as well.
        if (fresh || now - peer.listedAt < staleReport)
            keepers.emplace_back(peer.id, hash64(peer.id.value()));
        present += fresh || now - peer.listedAt < listedCountsAsHeard ? 1 : 0;
        if (!fresh)
            continue;
        ++heard;
        for (const auto &[key, rate] : peer.demand)
            fleet[key] += rate;
    }
    if (keepers != keepers_)
        ++keepersVersion_;
    keepers_ = std::move(keepers);
    const std::size_t stale = members - heard;
    const double window = toSeconds(tolerance_.window);
    const double reserved = members > largeFleet ? reservePartLargeFleet : reservePart;
    const double presentPart = static_cast<double>(present) / static_cast<double>(members);
    std::map<TeamId, Share> shares;
    for (const TeamSettings &team : document.teams) {
        if (team.rate.value() <= 0)
            continue;
        const DemandKey key = demandKey(team.id);
        const auto known = shares_.find(team.id);
        Share share = known == shares_.end() ? Share {} : known->second;
        share.key = key;
        share.ownDemand = demandOf(ownKnown, key);
        share.fleetDemand = demandOf(fleet, key);
        share.part = fleetShare(share.ownDemand, share.fleetDemand, heard, stale);
        share.rate = team.rate.value();
        share.members = members;
        share.stale = stale;
        const double allowed
            = (team.rate.value() * window + team.burst.value()) * (1 + tolerance_.over)
            + tolerance_.slack;
        const double refill = team.rate.value() + spreadBurst * team.burst.value() / window;
        const double depth = grantedDepth * (allowed - refill * window);
        const double ownPart = (1 - reserved) * share.part;
        const double kept = reserved * presentPart;
        // New shares start full. If all instances restart at once, their depth is granted twice,
        // which the part of it that is never granted makes up for.
        if (known == shares_.end()) {
            share.bucket = RefillBucket(ownPart * refill, ownPart * depth, ownPart * depth, now);
            const double atStart = heard == 1 ? reserveAtStart : 0;
            share.reserve = RefillBucket(kept * refill, kept * depth, atStart * kept * depth, now);
        }
        share.bucket.setLimit(
            ownPart * refill, std::max(leastBurst(members), ownPart * depth), now);
        share.reserve.setLimit(kept * refill, std::max(1.0, kept * depth), now);
        if (share.keepersVersion != keepersVersion_) {
            const InstanceId keeper = keeperOf(key);
            const bool takesOver
                = known != shares_.end() && keeper == self_ && share.keeper != self_;
            if (takesOver)
                share.reserve.drain(now);
            share.keeper = keeper;
            share.keepersVersion = keepersVersion_;
        }
        shares.emplace(team.id, share);
    }
    shares_ = std::move(shares);
}

bool FleetQuota::tryTake(const TeamId &team, Instant now)
{
    const auto found = shares_.find(team);
    if (found == shares_.end() || found->second.bucket.tryTake(now))
        return true;
    Share &share = found->second;
    if (share.keeper == self_)
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

std::optional<TokenRequest> FleetQuota::ask(const TeamId &team, Instant now) const
{
    const auto found = shares_.find(team);
    if (found == shares_.end())
        return std::nullopt;
    const Share &share = found->second;
    if (share.keeper == self_ || now < share.refusedUntil)
        return std::nullopt;
    return TokenRequest { share.key, 1, share.keeper };
}

int FleetQuota::grant(DemandKey team, int count, Instant now)
{
    Share *share = find(team);
    if (share == nullptr || share->keeper != self_)
        return 0;
    int tokens = 0;
    while (tokens < count && share->reserve.tryTake(now))
        ++tokens;
    return tokens;
}

std::optional<TeamId> FleetQuota::granted(DemandKey team, int count, Instant now)
{
    Share *share = find(team);
    if (share == nullptr)
        return std::nullopt;
    if (now >= share->grantedUntil)
        share->grantedTokens = 0;
    share->grantedTokens += count;
    share->grantedUntil = now + grantLifetime;
    if (count == 0)
        share->refusedUntil = now + refusalMemory;
    const auto found
        = std::ranges::find_if(shares_, [&](const auto &entry) { return &entry.second == share; });
    return found->first;
}

void FleetQuota::giveBack(const TeamId &team)
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
    // The requests of one second beyond the limit are served within this time.
    const Share &share = found->second;
    const double excess = std::max(0.0, share.fleetDemand / share.rate - 1);
    return std::clamp<Interval>(fromSeconds(excess), shortestRetry, longestRetry);
}

std::string FleetQuota::describe(const TeamId &team, Instant now)
{
    const auto found = shares_.find(team);
    if (found == shares_.end())
        return {};
    Share &share = found->second;
    return fmt::format("team={} tokens={:.2f} share={:.3f} limit={:.1f} demand={:.1f}/{:.1f} "
                       "members={} stale={} keeper={}",
        team.value(), share.bucket.level(now), share.part, share.rate, share.ownDemand,
        share.fleetDemand, share.members, share.stale, share.keeper.value());
}

} // namespace endivequay
