#ifndef ENDIVEQUAY_SHIFT_H
#define ENDIVEQUAY_SHIFT_H

#include "endivequay/clock.h"
#include "endivequay/lookuptable.h"
#include "endivequay/result.h"
#include "endivequay/types.h"

#include <cstdint>
#include <span>

namespace endivequay {

/// Maximum time between two instances applying the same step (invariant 10).
inline constexpr Interval maxStepSkew = std::chrono::seconds(10);

/// Time for which a client may cache the answer to a look-up.
inline constexpr Interval lookupLifetime = std::chrono::seconds(2);

/// Hash of a block to [0, 1). The blocks of a service move in ascending order of this position.
double shiftPosition(const ServiceId &service, const ClientBlock &block);

/// Operator's plan to move a fraction of a region's client blocks to another region, or back.
///
/// The blocks move in steps of cap / 8, one every (window + 12 s) / 3. A step needs 12 s to take
/// effect (skew of the instances and cached answers), so at most 4 steps, half of the cap, overlap
/// any window.
struct ShiftPlan
{
    RegionId from;
    RegionId to;
    double initialFraction = 0; ///< Of the blocks of \a from, moved before the plan; 0 to 1.
    double fraction = 0; ///< Target: of the blocks of \a from, moved at the end; 0 to 1.
    double cap = 0; ///< Maximum fraction of the service's traffic moved per window, 0 to 1.
    Interval window {};
    Instant adoptedAt; ///< When this instance applied the plan and its first step.

    /// Fails on a fraction outside of [0, 1], a cap outside of (0, 1], a window that is not
    /// positive, or equal regions.
    Status validate() const;

    double stepFraction() const { return cap / 8; }
    Interval stepInterval() const { return (window + maxStepSkew + lookupLifetime) / 3; }
    /// Number of steps from the initial to the final fraction.
    int stepCount() const;
    /// Number of steps applied at \a now; 0 before adoptedAt.
    int stepsApplied(Instant now) const;
    /// Fraction of the blocks that have moved at \a now.
    double movedFraction(Instant now) const;
    /// When the last step is applied.
    Instant finishedAt() const;
    /// Whether a block at \a position has moved at \a now.
    bool hasMoved(double position, Instant now) const { return position < movedFraction(now); }
};

/// Home region of a block at \a now under \a plans. \a siteHome is the home region of the block's
/// site. At most one plan may move blocks from a region. Concurrent plans of one service must share
/// its cap.
RegionId homeRegion(const RegionId &siteHome, const ServiceId &service, const ClientBlock &block,
    std::span<const ShiftPlan> plans, Instant now);

/// Whether \a region may serve the block without a token of the shift budget.
///
/// While a step takes effect, both regions are home: another instance may have applied the step up
/// to maxStepSkew earlier or later, and a client may use a cached answer for lookupLifetime.
bool isHome(const RegionId &region, const RegionId &siteHome, const ServiceId &service,
    const ClientBlock &block, std::span<const ShiftPlan> plans, Instant now);

} // namespace endivequay

#endif
