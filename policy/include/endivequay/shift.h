#ifndef ENDIVEQUAY_SHIFT_H
#define ENDIVEQUAY_SHIFT_H

#include "endivequay/clock.h"
#include "endivequay/lookuptable.h"
#include "endivequay/result.h"
#include "endivequay/types.h"

#include <cstdint>
#include <span>

namespace endivequay {

/// Longest time between two instances applying the same step (bound of invariant 10).
inline constexpr Interval shiftSkew = std::chrono::seconds(10);

/// Time for which a client may use an answer to a look-up.
inline constexpr Interval lookupLifetime = std::chrono::seconds(2);

/// Position of a block in the order in which a service's blocks move, from 0 to below 1.
double shiftPosition(const ServiceId &service, const ClientBlock &block);

/// An operator's planned move of a fraction of a region's blocks to another region, or back.
///
/// The move runs in steps of cap / 8, one every (window + 12 s) / 3. A step takes effect over 12 s
/// (skew and cached answers), so at most 4 steps touch any window: half of the cap.
struct ShiftPlan
{
    RegionId from;
    RegionId to;
    double initialFraction = 0; ///< Of the blocks of \a from moved before the plan, 0 to 1.
    double fraction = 0; ///< Of the blocks of \a from moved at the end, 0 to 1.
    double cap = 0; ///< Largest fraction of the service's traffic to move per window, 0 to 1.
    Interval window {};
    Instant adoptedAt; ///< When this instance applied the plan; the first step is at that time.

    /// Fails on a fraction outside of 0 to 1, a cap that is not above 0 and at most 1, a window
    /// that is not positive, or regions that are the same.
    Status validate() const;

    double stepFraction() const { return cap / 8; }
    Interval stepInterval() const { return (window + shiftSkew + lookupLifetime) / 3; }
    /// Number of steps from the initial to the final fraction.
    int stepCount() const;
    /// Steps applied at \a now, 0 before adoption.
    int stepsApplied(Instant now) const;
    /// Fraction of the blocks that have moved at \a now.
    double threshold(Instant now) const;
    /// When the last step is applied.
    Instant finishedAt() const;
    /// Whether a block at \a position has moved at \a now.
    bool hasMoved(double position, Instant now) const { return position < threshold(now); }
};

/// Home region of a block at \a now under \a plans. \a siteHome is the home of the block's site.
/// At most one plan may leave a region. Plans of the same service that run at the same time must
/// share one cap between them.
RegionId homeRegion(const RegionId &siteHome, const ServiceId &service, const ClientBlock &block,
    std::span<const ShiftPlan> plans, Instant now);

/// Whether \a region may serve the block without a token of the shift budget.
///
/// While a step takes effect, both regions are home: another instance may have applied it up to
/// shiftSkew earlier or later, and a client may use an answer for lookupLifetime.
bool isHome(const RegionId &region, const RegionId &siteHome, const ServiceId &service,
    const ClientBlock &block, std::span<const ShiftPlan> plans, Instant now);

} // namespace endivequay

#endif
