#include "endivequay/shift.h"

#include "endivequay/digest.h"

#include "mix.h"

#include <algorithm>
#include <cmath>

namespace endivequay {

namespace {

/// A rest of a step below this is rounding, not a step.
constexpr double roundingError = 1e-9;

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
    return static_cast<int>(std::ceil(steps - roundingError));
}

int ShiftPlan::stepsApplied(Instant now) const
{
    if (now < adoptedAt)
        return 0;
    const auto steps = 1 + (now - adoptedAt) / stepInterval();
    return static_cast<int>(std::min<std::int64_t>(steps, stepCount()));
}

double ShiftPlan::threshold(Instant now) const
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
    // A block changes its home at most once per plan, so the two ends cover all times between.
    const Instant earliest = now - shiftSkew - lookupLifetime;
    return region == homeRegion(siteHome, service, block, plans, earliest)
        || region == homeRegion(siteHome, service, block, plans, now + shiftSkew);
}

} // namespace endivequay
