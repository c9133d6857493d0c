#ifndef ENDIVEQUAY_PLACEMENT_H
#define ENDIVEQUAY_PLACEMENT_H

#include "endivequay/clock.h"
#include "endivequay/types.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace endivequay {

/// Demand and capacity of one service in one region.
struct RegionLoad
{
    double demand = 0; ///< Slots that the requests arriving in the region would occupy.
    double slots = 0; ///< Slots of the usable upstreams in the region.
};

/// Fractions of one region's requests by the region that serves them; they add up to 1.
using PlacementShares = std::map<RegionId, double>;

/// Serves the demand of \a origin locally as far as there is capacity, and sends the rest to other
/// regions in proportion to their spare capacity. All instances compute the same shares from the
/// same loads. \a localFraction reduces the part that is served locally, see LocalCapacity.
PlacementShares balancedShares(
    const RegionId &origin, const std::map<RegionId, RegionLoad> &loads, double localFraction = 1);

/// Corrects the part of the demand that the local region can serve by the measured load of its
/// upstreams. Not thread safe.
///
/// The demand alone does not tell it: requests that only this region may serve come from other
/// regions as well, and where they fill the caches, runs take several times as long.
class LocalCapacity
{
public:
    /// \a utilization is the measured number of requests at the upstreams by their slots.
    void observe(double utilization);
    double fraction() const { return fraction_; }

private:
    static constexpr double overloadedFrom = 0.95; ///< Utilization; above it requests queue.
    static constexpr double growsBelow = 0.8;
    static constexpr double step = 0.03; ///< For each rebalance: an eighth in a second.
    static constexpr double minFraction = 0.02; ///< Keeps some requests local as a measurement.
    double fraction_ = 1;
};

/// Regions that have capacity left once they serve the demand that arrives in them. An instance
/// sees only its own requests at the upstreams of a region that is short of capacity, so many
/// instances would each find room there and overload it together.
std::set<RegionId> regionsWithSpareCapacity(const std::map<RegionId, RegionLoad> &loads);

/// Regional shares of the requests for one service that arrive at this instance. Not thread safe.
///
/// Handles demand peaks that move from region to region, and capacity in other regions than the
/// callers. The shares move slowly toward their target, so that the shift between regions stays
/// below its cap and the caches of the upstreams stay warm.
class Placement
{
public:
    /// Maximum change of the shares per second. The change over two seconds stays well below the
    /// usual cap of 0.15 per two seconds; the rest is left to sampling noise and to requests that
    /// find no capacity.
    static constexpr double maxShareChangePerSecond = 0.025;

    /// Moves the shares toward \a target. Before the first request the target is adopted at once:
    /// the upstreams of the regions register one after another, and no request changes its region
    /// yet.
    void moveToward(const PlacementShares &target, Instant now);
    /// The region for an object; stable as long as the shares do not change.
    std::optional<RegionId> regionOf(std::uint64_t objectHash);
    const PlacementShares &shares() const { return shares_; }

private:
    PlacementShares shares_;
    Instant updatedAt_;
    bool hasPlacedRequest_ = false; ///< A region was chosen for at least one request.
};

/// Estimates how long the attempts of a route take at upstreams that have the object cached. Not
/// thread safe.
///
/// Upstreams do not report cache misses; they are inferred from the duration of the attempt.
class WarmDurationEstimate
{
public:
    void observe(double seconds);
    /// Whether an attempt that took \a seconds was probably a cache miss, or waited about as long.
    bool looksCold(double seconds) const { return seconds > coldDurationRatio * seconds_; }
    /// Typical duration at an upstream that has the object cached; 0 before the first attempt.
    double typicalWarm() const { return typicalRatio * seconds_; }

private:
    /// A cold run takes about three times as long as a warm one; durations of the same kind vary by
    /// a few tenths.
    static constexpr double coldDurationRatio = 2;
    static constexpr double typicalRatio = 1.2; ///< Typical duration by that of the fast attempts.
    double seconds_ = 0; ///< 0 before the first attempt.
};

/// Fraction of the objects whose primary upstream is chosen within the failure domain of the
/// instance. Not thread safe.
///
/// Reduces traffic between failure domains. A primary in each domain makes an upstream cache more
/// objects. The fraction grows, up to a ceiling, while the share of cold runs is below
/// growThreshold, and is halved when it exceeds shrinkThreshold: objects are evicted. In between it
/// stays unchanged: each change moves objects, which are cold at their new primary.
class LocalityShare
{
public:
    /// Records a successful attempt at an upstream of the local domain. \a cold means that the
    /// upstream had evicted the object; don't report the first run of an object at an upstream. \a
    /// members is the number of instances in the domain: each sees only part of the attempts, and
    /// together they have to adapt as fast as a single instance would.
    void observe(bool cold, std::size_t members);
    /// Whether the object's primary upstream is chosen within the local domain.
    bool covers(std::uint64_t objectHash) const;
    double fraction() const { return fraction_; }

private:
    static constexpr double growthPerAttempt = 0.003; ///< Multiplied by the number of members.
    static constexpr double shrinkFactor
        = 0.5; ///< Applied in one step when upstreams evict objects.
    static constexpr std::size_t maxMemberWeight = 8; ///< Limits the weight of a single attempt.
    /// Weight of one attempt in the moving average of cold runs: about 25 attempts decide.
    static constexpr double attemptWeight = 0.04;
    /// Limits for the fraction of cold runs. A cold run takes three times as long as a warm one, so
    /// one in twelve costs a sixth of the slots. Queueing alone makes a few percent look cold.
    static constexpr double growThreshold = 0.03;
    static constexpr double shrinkThreshold = 0.08;
    /// Growth of ceiling_, multiplied by the number of members. Growing until objects are evicted
    /// costs about a hundred cold runs, so it is repeated rarely.
    static constexpr double ceilingGrowthPerAttempt = 0.0002;
    double fraction_ = 0;
    double ceiling_ = 1; ///< Limit of fraction_; set to the halved fraction_ on evictions.
    double coldFraction_ = 0; ///< Moving average.
};

/// Limits how many requests are sent to another region than the one chosen by Placement. Not thread
/// safe.
///
/// Such spills count toward the cap on shifts between regions, and they come in bursts; the limiter
/// grants a fixed fraction of the requests of the last seconds.
class SpillLimiter
{
public:
    /// Fraction of the requests that may spill; together with the changes of the shares it stays
    /// below the cap.
    static constexpr double spillFraction = 0.05;

    void recordArrival() { tokens_ = std::min(maxTokens, tokens_ + spillFraction); }
    bool maySpill() const { return tokens_ >= 1; }
    void recordSpill() { tokens_ -= 1; }

private:
    static constexpr double maxTokens
        = 4; ///< A twentieth of the requests of two seconds at a small site.
    double tokens_ = 1;
};

} // namespace endivequay

#endif
