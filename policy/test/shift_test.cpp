#include "proptest.h"

#include "endivequay/shift.h"

#include <vector>

using namespace endivequay;
using namespace std::chrono_literals;

namespace {

const Instant start { std::chrono::hours(1) };

Interval randomInterval(Interval longest)
{
    return Interval(*rc::gen::inRange<std::int64_t>(0, longest.count() + 1));
}

/// 0, \a longest or a random interval between them.
Interval extremeInterval(Interval longest)
{
    return *rc::gen::element<Interval>(0ns, longest, randomInterval(longest));
}

ShiftPlan randomPlan()
{
    ShiftPlan plan;
    plan.from = RegionId("a");
    plan.to = RegionId("b");
    plan.cap = *rc::gen::inRange(1, 101) / 100.0;
    plan.initialFraction = *rc::gen::element(0, 100, *rc::gen::inRange(0, 101)) / 100.0;
    plan.fraction = *rc::gen::element(0, 100, *rc::gen::inRange(0, 101)) / 100.0;
    plan.window = 1s + randomInterval(5min);
    plan.adoptedAt = start;
    return plan;
}

/// The same plan at an instance that adopted it \a skew later.
ShiftPlan adoptedLater(ShiftPlan plan, Interval skew)
{
    plan.adoptedAt += skew;
    return plan;
}

ClientBlock blockOf(Ipv4 number)
{
    return { number << 8, 24 };
}

} // namespace

TEST_GROUP(Shift) {};

// Guards against steps so close together that more than half of the cap moves within one window, as
// instances apply a step up to 10 s apart and clients cache answers for 2 s.
TEST(Shift, AtMostHalfOfTheCapMovesInAnyWindow)
{
    CHECK_PROPERTY("moved fraction is at most cap / 2 in any window", [] {
        const ShiftPlan plan = randomPlan();
        // Windows that begin when a step has just taken full effect overlap the most steps.
        const int step = *rc::gen::inRange(0, plan.stepCount() + 1);
        const Interval offset = *rc::gen::element<Interval>(0ns, 1ns, randomInterval(1min));
        const Instant windowStart
            = start + step * plan.stepInterval() + maxStepSkew + lookupLifetime - offset;
        // Each request in the window was routed by an instance with a random skew, from an answer
        // up to lookupLifetime old.
        double lowest = 1;
        double highest = 0;
        for (int i = 0; i < 60; ++i) {
            const bool isEdge = i < 2;
            const Interval skew
                = isEdge ? (i == 0 ? 0s : maxStepSkew) : randomInterval(maxStepSkew);
            const Interval cached
                = isEdge ? (i == 0 ? 0s : lookupLifetime) : randomInterval(lookupLifetime);
            const Instant at = windowStart
                + (isEdge ? (i == 0 ? plan.window : 0s) : randomInterval(plan.window));
            const double movedFraction = adoptedLater(plan, skew).movedFraction(at - cached);
            lowest = std::min(lowest, movedFraction);
            highest = std::max(highest, movedFraction);
        }
        RC_ASSERT(highest - lowest <= plan.cap / 2 + 1e-9);
    });
}

// Guards against a shift that starts early, stops short of its target or overshoots it.
TEST(Shift, StartsAndEndsAtTheGivenFractions)
{
    CHECK_PROPERTY("threshold runs from the initial to the final fraction", [] {
        const ShiftPlan plan = randomPlan();
        RC_ASSERT(plan.validate().hasValue());
        RC_ASSERT(plan.movedFraction(start - 1ns) == plan.initialFraction);
        RC_ASSERT(std::abs(plan.movedFraction(plan.finishedAt()) - plan.fraction) < 1e-6);
    });
}

// Guards against a request that followed a valid answer but is charged to the shift budget.
TEST(Shift, RequestsThatFollowAnAnswerAreHome)
{
    CHECK_PROPERTY("isHome holds for every answer within its lifetime", [] {
        const ShiftPlan plan = randomPlan();
        const ServiceId service("storefront");
        const Interval answeringSkew = extremeInterval(maxStepSkew);
        const std::vector answering(1, adoptedLater(plan, answeringSkew));
        const std::vector serving(1, adoptedLater(plan, extremeInterval(maxStepSkew)));
        // Answers given at or just before the answering instance's own step are the most outdated.
        const Instant step
            = start + *rc::gen::inRange(0, plan.stepCount() + 1) * plan.stepInterval();
        const Instant answeredAt = step + answeringSkew - *rc::gen::element<Interval>(0ns, 1ns);
        const Instant servedAt = answeredAt + extremeInterval(lookupLifetime);
        for (Ipv4 i = 0; i < 200; ++i) {
            const ClientBlock block = blockOf(i);
            const RegionId home = homeRegion(plan.from, service, block, answering, answeredAt);
            RC_ASSERT(isHome(home, plan.from, service, block, serving, servedAt));
        }
    });
}

// Guards against treating every region as home, which would never charge the shift budget.
TEST(Shift, OnlyOneRegionIsHomeOutsideOfAStep)
{
    CHECK_PROPERTY("exactly one region is home long after the last step", [] {
        const ShiftPlan plan = randomPlan();
        const Instant now = plan.finishedAt() + 1min;
        const ClientBlock block = blockOf(*rc::gen::arbitrary<Ipv4>());
        const auto isHomeOf = [&](const char *region) {
            return isHome(RegionId(region), plan.from, ServiceId("s"), block, { &plan, 1 }, now);
        };
        RC_ASSERT(isHomeOf("a") + isHomeOf("b") == 1);
        RC_ASSERT(!isHomeOf("c"));
    });
}

// Guards against unevenly distributed positions, with which a step moves a wrong fraction.
TEST(Shift, PositionsAreUniform)
{
    int below = 0;
    constexpr int blocks = 100'000;
    for (Ipv4 i = 0; i < blocks; ++i)
        below += shiftPosition(ServiceId("sofra"), { i << 8, 24 }) < 0.1;
    DOUBLES_EQUAL(0.1, below / double(blocks), 0.005);
}
