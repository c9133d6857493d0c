#ifndef ENDIVEQUAY_PLACEMENT_H
#define ENDIVEQUAY_PLACEMENT_H

#include "endivequay/clock.h"
#include "endivequay/types.h"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace endivequay {

/// Demand and capacity of one service in one region.
struct RegionLoad
{
    double demand = 0; ///< Slots that the region's callers would fill.
    double slots = 0; ///< Slots of the region's usable upstreams.
};

/// Shares of one region's requests by the region in which they run; they add up to 1.
using PlacementShares = std::map<RegionId, double>;

/// Shares that serve the demand of \a origin at home as far as there is room, and send the rest to
/// other regions in proportion to their room. All instances compute the same division from the
/// same loads.
PlacementShares balancedShares(const RegionId &origin, const std::map<RegionId, RegionLoad> &loads);

/// Shares of the requests of one service that arrive at this instance. Not thread safe.
///
/// Answers waves that move from region to region, and slots that stand where the callers are not.
/// The shares follow their target slowly, so that a shift between regions stays under its cap and
/// caches at the upstreams stay warm.
class Placement
{
public:
    /// Largest change of the shares per second. Two seconds' worth stays well under the usual cap
    /// of 0.15 per two seconds; the rest is left to sampling and to requests that find no room.
    static constexpr double changePerSecond = 0.025;

    /// Moves the shares toward \a target. Until the first request it is adopted at once: the
    /// upstreams of the regions register one after the other, and no request changes its region.
    void follow(const PlacementShares &target, Instant now);
    /// The region for an object; the same one as long as the shares do not change.
    std::optional<RegionId> regionOf(std::uint64_t objectHash);
    const PlacementShares &shares() const { return shares_; }

private:
    PlacementShares shares_;
    Instant updatedAt_;
    bool used_ = false; ///< A request was placed.
};

/// Time of a route's attempts at upstreams that know the object. Not thread safe.
///
/// Upstreams do not tell whether they know an object; the time of the attempt does.
class WarmTime
{
public:
    void observe(double seconds);
    /// Whether an attempt that took \a seconds found its object cold, or waited about as long.
    bool looksCold(double seconds) const { return seconds > coldRatio * seconds_; }

private:
    /// A cold run takes about three times as long as a warm one; times of one kind vary by a few
    /// tenths.
    static constexpr double coldRatio = 2;
    double seconds_ = 0; ///< 0 before the first attempt.
};

/// Part of the objects whose home is in the instance's own failure domain. Not thread safe.
///
/// Answers bytes between failure domains. A home in each domain makes an upstream hold more
/// objects, so the part grows while the domain's upstreams answer warm and shrinks while they
/// forget objects. In between it rests: each change moves objects, which are cold at the new home.
class LocalityShare
{
public:
    /// An attempt at an upstream of the own domain ended well. \a cold tells that the upstream had
    /// forgotten the object; the first run of an object at an upstream is not to be reported.
    /// \a members is the number of instances in the domain: each sees a part of the attempts, and
    /// all shall move as fast as one would.
    void observe(bool cold, std::size_t members);
    /// Whether the object's home is in the own domain.
    bool covers(std::uint64_t objectHash) const;
    double part() const { return part_; }

private:
    static constexpr double growth = 0.003; ///< For an attempt, times the members.
    static constexpr double shrinkFactor = 0.5; ///< At once, when upstreams forget objects.
    static constexpr std::size_t mostMembers = 8; ///< More would let single attempts decide.
    /// Weight of one attempt in the part of cold ones: about 25 attempts decide.
    static constexpr double attemptWeight = 0.04;
    /// A cold run takes three times as long as a warm one, so that one in twelve costs a sixth of
    /// the slots. Waits alone make a few in a hundred look cold.
    static constexpr double growBelow = 0.03;
    static constexpr double shrinkAbove = 0.08;
    /// Growth beyond the part at which upstreams last forgot objects. A try there costs about a
    /// hundred cold runs, so it is repeated rarely.
    static constexpr double growthBeyondCeiling = 0.0002;
    double part_ = 0;
    double ceiling_ = 1; ///< The part at which upstreams last forgot objects.
    double coldPart_ = 0; ///< Moving mean.
};

/// Bounds how many requests leave the region that the placement chose. Not thread safe.
///
/// Spills count toward the shift cap, and they come in bursts; the guard grants a fixed part of the
/// requests of the last seconds.
class SpillGuard
{
public:
    /// Part of the requests that may spill; with the changes of the shares it stays under the cap.
    static constexpr double spillPart = 0.05;

    void arrived() { tokens_ = std::min(mostTokens, tokens_ + spillPart); }
    bool mayTake() const { return tokens_ >= 1; }
    void take() { tokens_ -= 1; }

private:
    static constexpr double mostTokens
        = 4; ///< A twentieth of two seconds' requests at small sites.
    double tokens_ = 1;
};

} // namespace endivequay

#endif
