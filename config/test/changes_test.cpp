#include "fixtures.h"

#include <algorithm>
#include <numeric>

// CppUTest replaces "new" by a macro, so that it comes after all other headers.
#include "proptest.h"

using namespace endivequay;
using namespace std::chrono_literals;

namespace {

/// Returns the documents of \a regions regions with one service, upstream and team each. \a shift
/// rotates the keys among the teams.
Documents makeFleet(int regions, int shift)
{
    nlohmann::json value { { "regions", nlohmann::json::array() },
        { "failure_domains", nlohmann::json::array() } };
    for (int i = 0; i < regions; ++i) {
        const std::string id = std::to_string(i);
        const std::string digit = std::to_string((i + shift) % regions);
        value["regions"].push_back({ { "id", "r" + id } });
        value["failure_domains"].push_back({ { "id", "d" + id }, { "region", "r" + id } });
        value["services"].push_back({ { "id", "s" + id }, { "planned_rate", 1 },
            { "shift_cap", { { "fraction", 0.1 }, { "window_s", 60 } } },
            { "routes", nlohmann::json::array() } });
        value["upstreams"].push_back({ { "id", "u" + id }, { "service", "s" + id },
            { "failure_domain", "d" + id }, { "address", "10.0.0.1:" + std::to_string(1000 + i) },
            { "slots", 1 }, { "connections", 1 } });
        value["teams"].push_back({ { "id", "t" + id }, { "rate", 1 }, { "burst", 1 },
            { "keys",
                { { { "id", "k" },
                    { "sha256", std::string(64 - digit.size(), '0') + digit } } } } });
        value["client_blocks"]["d" + id] = { id + ".0.0.0/8" };
    }
    return fixtures::read(value).toDocuments();
}

/// Whether applying \a changes turns \a from into \a to in valid, non-empty changes of at most
/// \a limit documents.
bool reachesTarget(const Documents &from, const Documents &to,
    const std::vector<DocumentChange> &changes, std::size_t limit)
{
    auto current = Configuration::fromDocuments(from);
    for (const DocumentChange &change : changes) {
        if (change.size() > limit || change.size() == 0)
            return false;
        current = current->withChange(change);
        if (!current)
            return false;
    }
    return current->toDocuments() == to;
}

Service serviceWithShift(double cap, double fraction)
{
    Service service;
    service.id = ServiceId("s");
    service.shiftCap = { cap, 60s };
    service.plannedShift = PlannedShift { RegionId("a"), RegionId("b"), fraction };
    return service;
}

} // namespace

TEST_GROUP(Changes) {};

// Guards against a split whose intermediate configurations are invalid.
TEST(Changes, SplitPassesOnlyThroughValidConfigurations)
{
    CHECK_PROPERTY("every step is valid", [] {
        const Documents from = makeFleet(*rc::gen::inRange(0, 12), 0);
        const Documents to = makeFleet(*rc::gen::inRange(1, 12), 0);
        const auto limit = *rc::gen::inRange<std::size_t>(3, 12);
        const auto changes = splitChanges(from, to, limit);
        RC_ASSERT(changes.hasValue());
        RC_ASSERT(reachesTarget(from, to, *changes, limit));
    });
}

// Guards against an initial load of more than 100 documents that an empty store rejects.
TEST(Changes, SplitsAnInitialLoad)
{
    const Documents to = makeFleet(60, 0);
    const auto changes = splitChanges({}, to);
    CHECK(changes.hasValue());
    LONGS_EQUAL(3, changes.value()->size());
    CHECK(reachesTarget({}, to, *changes, maximumDocumentsPerChange));
    CHECK(splitChanges(to, to).value()->empty());
}

// Guards against a split that temporarily gives two teams the same key, or that never ends.
TEST(Changes, RefusesToSplitWhatMustChangeTogether)
{
    const auto changes = splitChanges(makeFleet(10, 0), makeFleet(10, 1), 5);
    CHECK_FALSE(changes.hasValue());
    STRCMP_CONTAINS("cannot change apart", changes.lastReason().reason.c_str());
    CHECK(splitChanges(makeFleet(10, 0), makeFleet(10, 1), 10).hasValue());
}

// Guards against a diff that omits a changed document or contains an unchanged one.
TEST(Changes, DiffHasPutsAndDeletes)
{
    const auto change = diffDocuments(
        { { "a", "1" }, { "b", "1" }, { "c", "1" } }, { { "a", "1" }, { "b", "2" }, { "d", "1" } });
    CHECK(change == (DocumentChange { { { "b", "2" }, { "d", "1" } }, { "c" } }));
}

// Guards against a planned shift that moves more than half of the cap in one window.
TEST(Changes, ShiftStepsStayUnderTheCap)
{
    CHECK_PROPERTY("any window sees at most half of the cap", [] {
        const double cap = *rc::gen::inRange(1, 101) / 100.0;
        const double start = *rc::gen::inRange(0, 101) / 100.0;
        const double target = *rc::gen::inRange(0, 101) / 100.0;
        const auto plan = planShift(serviceWithShift(cap, start), target);
        RC_ASSERT(plan.hasValue());
        RC_ASSERT(plan.value()->stepInterval == 24s);
        std::vector<double> path { start };
        path.insert(path.end(), plan.value()->fractions.begin(), plan.value()->fractions.end());
        RC_ASSERT(path.back() == target || path.size() == 1);
        for (std::size_t i = 1; i < path.size(); ++i)
            RC_ASSERT(std::abs(path[i] - path[i - 1]) <= cap / 8 + 1e-9);
    });
    CHECK_FALSE(planShift(serviceWithShift(0, 0), 0.5).hasValue());
    CHECK_FALSE(planShift(serviceWithShift(1, 0), 1.5).hasValue());
}

// Guards against a change that moves a planned shift to its target in one step.
TEST(Changes, TransitionRefusesJumpsOfAPlannedShift)
{
    const auto withFraction = [](double fraction, const char *to) {
        nlohmann::json value = fixtures::complete();
        value["regions"].push_back({ { "id", "third" } });
        value["services"][0]["planned_shift"]["fraction"] = fraction;
        value["services"][0]["planned_shift"]["to"] = to;
        return fixtures::read(value);
    };
    CHECK(checkTransition(withFraction(0, "ege"), withFraction(0.025, "ege")).empty());
    CHECK(checkTransition(withFraction(0, "ege"), withFraction(0, "third")).empty());
    const auto jump = checkTransition(withFraction(0, "ege"), withFraction(0.026, "ege"));
    STRCMP_EQUAL("services/orders.planned_shift.fraction", jump.front().peer.c_str());
    LONGS_EQUAL(1, checkTransition(withFraction(0.02, "ege"), withFraction(0.02, "third")).size());
}

// Guards against settings that weaken a guarantee without a warning.
TEST(Changes, WarnsAboutWeakenedGuarantees)
{
    const auto list = warnings(fixtures::read(fixtures::complete()));
    const auto has = [&](const char *path) {
        return std::ranges::any_of(list, [path](const Error &e) { return e.peer == path; });
    };
    CHECK(has("services/orders.when_stale"));
    CHECK(has("services/orders"));
    CHECK(has("regions/ege"));
    LONGS_EQUAL(3, list.size());
}
