#include "endivequay/placement.h"

#include <algorithm>
#include <cmath>

namespace endivequay {

namespace {

/// Places are filled to this part of their slots before others help. The rest absorbs bursts and
/// unequal objects.
constexpr double comfortableFill = 0.75;

double unitInterval(std::uint64_t hash)
{
    constexpr double scale = 1.0 / 18446744073709551616.0; // 2^-64
    return static_cast<double>(hash) * scale;
}

double room(const RegionLoad &load, double fill)
{
    return load.slots * fill;
}

} // namespace

PlacementShares balancedShares(const RegionId &origin, const std::map<RegionId, RegionLoad> &loads)
{
    double demand = 0;
    double slots = 0;
    for (const auto &[region, load] : loads) {
        demand += load.demand;
        slots += load.slots;
    }
    const auto own = loads.find(origin);
    if (slots <= 0 || own == loads.end())
        return { { origin, 1 } };
    const double fill = std::max(comfortableFill, demand / slots);
    const double atHome = own->second.demand <= 0
        ? (own->second.slots > 0 ? 1.0 : 0.0)
        : std::min(1.0, room(own->second, fill) / own->second.demand);
    double spare = 0;
    for (const auto &[region, load] : loads)
        spare += region == origin ? 0 : std::max(0.0, room(load, fill) - load.demand);
    if (atHome >= 1 || spare <= 0)
        return { { origin, 1 } };
    PlacementShares shares { { origin, atHome } };
    for (const auto &[region, load] : loads)
        if (region != origin && room(load, fill) > load.demand)
            shares[region] = (1 - atHome) * (room(load, fill) - load.demand) / spare;
    return shares;
}

void Placement::follow(const PlacementShares &target, Instant now)
{
    if (!used_) {
        shares_ = target;
        updatedAt_ = now;
        return;
    }
    const double most = changePerSecond * std::min(1.0, toSeconds(now - updatedAt_));
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
    const double step = std::min(1.0, most / distance);
    for (auto &[region, share] : next)
        share += step * (targetOf(region) - share);
    shares_ = std::move(next);
}

std::optional<RegionId> Placement::regionOf(std::uint64_t objectHash)
{
    used_ = used_ || !shares_.empty();
    double point = unitInterval(objectHash);
    for (const auto &[region, share] : shares_) {
        if (point < share)
            return region;
        point -= share;
    }
    return shares_.empty() ? std::nullopt : std::optional(shares_.rbegin()->first);
}

void WarmTime::observe(double seconds)
{
    // Follows the fast attempts: down at once, up slowly.
    constexpr double downWeight = 0.15;
    constexpr double upWeight = 0.01;
    if (seconds_ == 0)
        seconds_ = seconds;
    seconds_ += (seconds < seconds_ ? downWeight : upWeight) * (seconds - seconds_);
}

void LocalityShare::observe(bool cold, std::size_t members)
{
    coldPart_ += attemptWeight * ((cold ? 1 : 0) - coldPart_);
    const auto weight = static_cast<double>(std::min(members, mostMembers));
    if (coldPart_ < growBelow) {
        ceiling_ = std::min(1.0, ceiling_ + weight * growthBeyondCeiling);
        part_ = std::min(ceiling_, part_ + weight * growth);
    } else if (coldPart_ > shrinkAbove) {
        part_ *= shrinkFactor;
        ceiling_ = part_;
        coldPart_ = (growBelow + shrinkAbove) / 2; // New evidence decides about the next step.
    }
}

bool LocalityShare::covers(std::uint64_t objectHash) const
{
    // Not the hash that divides the objects among regions.
    return unitInterval(objectHash * 0x9e3779b97f4a7c15ULL) < part_;
}

} // namespace endivequay
