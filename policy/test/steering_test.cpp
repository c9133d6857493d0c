#include "proptest.h"

#include "endivequay/steering.h"

#include <algorithm>
#include <map>

using namespace endivequay;
using namespace std::chrono_literals;

namespace {

const Instant now { std::chrono::hours(1) };

/// Regions r0 and r1 with domains d0, d1 and d2, d3; two instances each; one site near each domain.
SteeringView twoRegions()
{
    SteeringView view;
    view.service = ServiceId("storefront");
    for (int d = 0; d < 4; ++d) {
        DomainState domain;
        domain.id = FailureDomainId("d" + std::to_string(d));
        domain.region = RegionId("r" + std::to_string(d / 2));
        domain.slots = 20;
        view.domains.push_back(domain);
        SiteState site { SiteId("s" + std::to_string(d)), domain.region, {} };
        for (int other = 0; other < 4; ++other)
            site.delays.push_back(other == d ? 8ms : other / 2 == d / 2 ? 12ms : 28ms);
        view.sites.push_back(site);
        for (int i = 0; i < 2; ++i)
            view.instances.push_back({ Address(domain.id.value() + ":" + std::to_string(i)),
                static_cast<std::size_t>(d), 60, false, false });
    }
    return view;
}

ClientBlock block(Ipv4 number)
{
    return { number << 8, 24 };
}

/// Fraction of callers of site 0 whose first choice lies in each domain.
std::map<std::string, double> shares(const SteeringView &view, Instant at = now)
{
    const Steering steering = *Steering::create(view);
    std::map<std::string, double> result;
    for (Ipv4 i = 0; i < 4'000; ++i)
        result[steering.choose(block(i), 0, at).at(0).domain.value()] += 1 / 4'000.0;
    return result;
}

void report(DomainState &domain, double freeSlots, Interval age)
{
    domain.freeSlots = freeSlots;
    domain.reportedAt = now - age;
}

} // namespace

TEST_GROUP(Steering) {};

// Guards against choosing an instance that is suspect, leaving, without cells, or in a draining or
// unreachable domain.
TEST(Steering, ChoosesOnlyUsableInstances)
{
    CHECK_PROPERTY("choices are usable, distinct and complete", [] {
        SteeringView view = twoRegions();
        for (DomainState &domain : view.domains) {
            domain.draining = *rc::gen::inRange(0, 5) == 0;
            domain.reachable = *rc::gen::inRange(0, 5) > 0;
            report(domain, *rc::gen::inRange(0, 21), 1s * *rc::gen::inRange(0, 15));
        }
        std::vector<Address> usable;
        for (InstanceState &instance : view.instances) {
            instance.suspect = *rc::gen::inRange(0, 5) == 0;
            instance.leaving = *rc::gen::inRange(0, 5) == 0;
            instance.cells = *rc::gen::inRange(0, 3) * 30;
            const DomainState &domain = view.domains[instance.domain];
            if (!instance.suspect && !instance.leaving && instance.cells > 0 && domain.reachable
                && !domain.draining)
                usable.push_back(instance.address);
        }
        const auto choices
            = Steering::create(view)->choose(block(*rc::gen::arbitrary<Ipv4>()), 0, now, 8);
        RC_ASSERT(choices.empty() == usable.empty());
        for (std::size_t i = 0; i < choices.size(); ++i) {
            RC_ASSERT(std::ranges::count(usable, choices[i].address) == 1);
            RC_ASSERT(std::ranges::count(choices, choices[i].address, &Choice::address) == 1);
        }
    });
}

// Guards against callers sent out of their home region without a plan, and against answers without
// an alternative domain for failover.
TEST(Steering, HomeRegionGoesFirst)
{
    const Steering steering = *Steering::create(twoRegions());
    for (Ipv4 i = 0; i < 200; ++i) {
        const auto choices = steering.choose(block(i), 2, now, 8);
        LONGS_EQUAL(5, choices.size());
        CHECK(choices[0].domain == choices[1].domain);
        for (int c = 0; c < 3; ++c)
            CHECK(choices[c].domain.value() == "d2" || choices[c].domain.value() == "d3");
    }
    CHECK(steering.choose(block(1), 9, now).empty());
}

// Guards against the loss of an instance moving callers of other instances.
TEST(Steering, LosingAnInstanceMovesOnlyItsCallers)
{
    SteeringView view = twoRegions();
    const Steering before = *Steering::create(view);
    view.instances[0].suspect = true;
    const Steering after = *Steering::create(view);
    for (Ipv4 i = 0; i < 2'000; ++i) {
        const Address first = before.choose(block(i), 0, now).at(0).address;
        if (first != view.instances[0].address)
            CHECK(first == after.choose(block(i), 0, now).at(0).address);
    }
}

// Guards against all callers herding to the domain with the best last report, and against a report
// that keeps its effect after its sender stopped reporting.
TEST(Steering, ReportsMoveOnlyPartOfTheCallers)
{
    SteeringView view = twoRegions();
    report(view.domains[0], 20, 0s);
    report(view.domains[1], 20, 0s);
    const double normal = shares(view)["d0"];
    CHECK(normal > 0.8);
    report(view.domains[0], 0, 0s);
    const double full = shares(view)["d0"];
    CHECK(full > 0.1);
    CHECK(full < 0.6);
    report(view.domains[0], 0, 8s);
    const double old = shares(view)["d0"];
    CHECK(old > full);
    CHECK(old < normal);
    report(view.domains[0], 0, 1min);
    DOUBLES_EQUAL(normal, shares(view)["d0"], 1e-9);
}

// Guards against sending full traffic at once to a domain that returns from a drain with cold
// upstreams.
TEST(Steering, ReturningDomainRampsUp)
{
    SteeringView view = twoRegions();
    const double normal = shares(view)["d0"];
    view.domains[0].rampSince = now;
    const double cold = shares(view)["d0"];
    CHECK(cold < 0.5);
    CHECK(cold < shares(view, now + 2s)["d0"]);
    DOUBLES_EQUAL(normal, shares(view, now + 10s)["d0"], 1e-9);
}

// Guards against look-ups that do not follow a shift plan.
TEST(Steering, FollowsThePlan)
{
    SteeringView view = twoRegions();
    view.shifts.push_back({ RegionId("r0"), RegionId("r1"), 0, 1, 0.8, 60s, now });
    DOUBLES_EQUAL(0.1, shares(view)["d2"] + shares(view)["d3"], 0.02);
    DOUBLES_EQUAL(1, shares(view, now + 1h)["d2"] + shares(view, now + 1h)["d3"], 1e-9);
    view.shifts.push_back(view.shifts.front());
    CHECK_FALSE(Steering::create(view).hasValue());
}
