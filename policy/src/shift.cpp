#include "endivequay/shift.h"

#include "endivequay/digest.h"

#include "mix.h"

#include <algorithm>
#include <cmath>

namespace endivequay {

namespace {

/// A remainder below this fraction of a step is a rounding error and adds no step.
constexpr double roundingTolerance = 1e-9;

bool isFraction(double value)
{
    return value >= 0 && value <= 1;
}

} // namespace

double shiftPosition(const ServiceId &service, const ClientBlock &block)
{
    const std::uint64_t key = std::uint64_t { block.prefix } << 8 | block.length;
    return detail::toUnit(detail::mix64(hash64(service.value()) ^ key));
}

Status ShiftPlan::validate() const
{
    const std::string name = from.value() + " to " + to.value();
    if (!isFraction(fraction) || !isFraction(initialFraction))
        return Error { "shift.validate", name, "a fraction is not between 0 and 1" };
    if (!isFraction(cap) || cap == 0)
        return Error { "shift.validate", name, "the cap is not above 0 and at most 1" };
    if (window <= Interval::zero())
        return Error { "shift.validate", name, "the window is not positive" };
    if (from == to)
        return Error { "shift.validate", name, "both regions are the same" };
    return Done {};
}

int ShiftPlan::stepCount() const
{
    const double steps = std::abs(fraction - initialFraction) / stepFraction();
    return static_cast<int>(std::ceil(steps - roundingTolerance));
}

int ShiftPlan::stepsApplied(Instant now) const
{
    if (now < adoptedAt)
        return 0;
    const auto steps = 1 + (now - adoptedAt) / stepInterval();
    return static_cast<int>(std::min<std::int64_t>(steps, stepCount()));
}

double ShiftPlan::movedFraction(Instant now) const
{
    const double moved = stepsApplied(now) * stepFraction();
    return fraction >= initialFraction ? std::min(fraction, initialFraction + moved)
                                       : std::max(fraction, initialFraction - moved);
}

Instant ShiftPlan::finishedAt() const
{
    return adoptedAt + std::max(0, stepCount() - 1) * stepInterval();
}

RegionId homeRegion(const RegionId &siteHome, const ServiceId &service, const ClientBlock &block,
    std::span<const ShiftPlan> plans, Instant now)
{
    const auto plan = std::ranges::find(plans, siteHome, &ShiftPlan::from);
    if (plan == plans.end() || !plan->hasMoved(shiftPosition(service, block), now))
        return siteHome;
    return plan->to;
}

bool isHome(const RegionId &region, const RegionId &siteHome, const ServiceId &service,
    const ClientBlock &block, std::span<const ShiftPlan> plans, Instant now)
{
    // A block changes its home region at most once per plan, so checking both ends covers all times
    // between them.
    const Instant earliest = now - maxStepSkew - lookupLifetime;
    return region == homeRegion(siteHome, service, block, plans, earliest)
        || region == homeRegion(siteHome, service, block, plans, now + maxStepSkew);
}

} // namespace endivequay
