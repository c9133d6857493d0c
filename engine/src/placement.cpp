#include "endivequay/placement.h"

#include <algorithm>
#include <cmath>

namespace endivequay {

namespace {

/// Utilization of the slots of a region above which other regions take over requests. The rest
/// absorbs bursts and objects of unequal cost.
constexpr double targetUtilization = 0.75;

double unitInterval(std::uint64_t hash)
{
    constexpr double scale = 1.0 / 18446744073709551616.0; // 2^-64
    return static_cast<double>(hash) * scale;
}

double usableSlots(const RegionLoad &load, double utilization)
{
    return load.slots * utilization;
}

/// Utilization that all regions would have if their demand were spread evenly, but at least
/// targetUtilization.
double evenUtilization(const std::map<RegionId, RegionLoad> &loads)
{
    double demand = 0;
    double slots = 0;
    for (const auto &[region, load] : loads) {
        demand += load.demand;
        slots += load.slots;
    }
    return slots <= 0 ? targetUtilization : std::max(targetUtilization, demand / slots);
}

} // namespace

PlacementShares balancedShares(
    const RegionId &origin, const std::map<RegionId, RegionLoad> &loads, double localFraction)
{
    const auto own = loads.find(origin);
    if (own == loads.end()
        || std::ranges::none_of(loads, [](const auto &entry) { return entry.second.slots > 0; }))
        return { { origin, 1 } };
    const double utilization = evenUtilization(loads);
    const double localShare = own->second.demand <= 0
        ? (own->second.slots > 0 ? 1.0 : 0.0)
        : localFraction * std::min(1.0, usableSlots(own->second, utilization) / own->second.demand);
    double spare = 0;
    for (const auto &[region, load] : loads)
        spare += region == origin ? 0 : std::max(0.0, usableSlots(load, utilization) - load.demand);
    if (localShare >= 1 || spare <= 0)
        return { { origin, 1 } };
    PlacementShares shares { { origin, localShare } };
    for (const auto &[region, load] : loads)
        if (region != origin && usableSlots(load, utilization) > load.demand)
            shares[region]
                = (1 - localShare) * (usableSlots(load, utilization) - load.demand) / spare;
    return shares;
}

void LocalCapacity::observe(double utilization)
{
    if (utilization > overloadedFrom)
        fraction_ = std::max(minFraction, fraction_ * (1 - step));
    else if (utilization < growsBelow)
        fraction_ = std::min(1.0, fraction_ * (1 + step));
}

std::set<RegionId> regionsWithSpareCapacity(const std::map<RegionId, RegionLoad> &loads)
{
    const double utilization = evenUtilization(loads);
    std::set<RegionId> regions;
    for (const auto &[region, load] : loads)
        if (usableSlots(load, utilization) > load.demand)
            regions.insert(region);
    return regions;
}

void Placement::moveToward(const PlacementShares &target, Instant now)
{
    if (!hasPlacedRequest_) {
        shares_ = target;
        updatedAt_ = now;
        return;
    }
    const double maxChange = maxShareChangePerSecond * std::min(1.0, toSeconds(now - updatedAt_));
    updatedAt_ = now;
    const auto targetOf = [&](const RegionId &region) {
        const auto found = target.find(region);
        return found == target.end() ? 0.0 : found->second;
    };
    PlacementShares next = shares_;
    for (const auto &[region, share] : target)
        next.try_emplace(region, 0);
    double distance = 0;
    for (const auto &[region, share] : next)
        distance += std::abs(targetOf(region) - share) / 2;
    if (distance <= 0)
        return;
    const double step = std::min(1.0, maxChange / distance);
    for (auto &[region, share] : next)
        share += step * (targetOf(region) - share);
    shares_ = std::move(next);
}

std::optional<RegionId> Placement::regionOf(std::uint64_t objectHash)
{
    hasPlacedRequest_ = hasPlacedRequest_ || !shares_.empty();
    double point = unitInterval(objectHash);
    for (const auto &[region, share] : shares_) {
        if (point < share)
            return region;
        point -= share;
    }
    return shares_.empty() ? std::nullopt : std::optional(shares_.rbegin()->first);
}

void WarmDurationEstimate::observe(double seconds)
{
    // Tracks the fast attempts: falls quickly and rises slowly.
    constexpr double downWeight = 0.15;
    constexpr double upWeight = 0.01;
    if (seconds_ == 0)
        seconds_ = seconds;
    seconds_ += (seconds < seconds_ ? downWeight : upWeight) * (seconds - seconds_);
}

void LocalityShare::observe(bool cold, std::size_t members)
{
    coldFraction_ += attemptWeight * ((cold ? 1 : 0) - coldFraction_);
    const auto weight = static_cast<double>(std::min(members, maxMemberWeight));
    if (coldFraction_ < growThreshold) {
        ceiling_ = std::min(1.0, ceiling_ + weight * ceilingGrowthPerAttempt);
        fraction_ = std::min(ceiling_, fraction_ + weight * growthPerAttempt);
    } else if (coldFraction_ > shrinkThreshold) {
        fraction_ *= shrinkFactor;
        ceiling_ = fraction_;
        coldFraction_
            = (growThreshold + shrinkThreshold) / 2; // Requires new samples before the next step.
    }
}

bool LocalityShare::covers(std::uint64_t objectHash) const
{
    // Differs from the hash that divides the objects among regions.
    return unitInterval(objectHash * 0x9e3779b97f4a7c15ULL) < fraction_;
}

} // namespace endivequay
