#include "proptest.h"

#include "spreadsim.h"

#include <cstdio>

using namespace endivequay;
using namespace endivequay::test;

namespace {

/// Small limits, so that old changes are dropped and snapshots take several parts.
ConfigLogSettings smallLog()
{
    return { 8, 1'500, 400 };
}

SpreadResult simulate(SpreadSettings settings)
{
    return SpreadSimulation(settings).run();
}

void print(const char *name, const SpreadResult &r)
{
    std::printf("%s: in force %.2f s, withdrawn key %.2f s, cycle %.2f s, keyed served %.4f, in "
                "outage %.4f, kills %d, partitions %d, snapshot parts %d\n",
        name, toSeconds(r.inForceMax), toSeconds(r.withdrawnKeyMax), toSeconds(r.cycleMax),
        r.keyedAvailability, r.keyedDuringOutage, r.kills, r.partitions, r.snapshotParts);
}

} // namespace

TEST_GROUP(Spread) {};

// Guards against reverted configurations, false confirmations and nodes that never catch up, under
// message loss, duplicates, reordering, kills, partitions and store outages.
TEST(Spread, ConfigurationReachesAllAndNeverReverts)
{
    CHECK_PROPERTY("revisions rise, confirmations are true, all end equal", [](std::uint64_t seed) {
        SpreadSettings settings;
        settings.seed = seed;
        settings.faults = 8;
        settings.log = smallLog();
        settings.settleDuration = 40s;
        const auto result = simulate(settings);
        RC_ASSERT(result.lowerRevisions == 0);
        RC_ASSERT(result.falseConfirmations == 0);
        RC_ASSERT(result.wrongDocuments == 0);
        RC_ASSERT(result.behindAtEnd == 0);
        RC_ASSERT(toSeconds(result.withdrawnKeyMax) <= 5.0);
        RC_ASSERT(toSeconds(result.cycleMax) <= 2.0);
    });
}

// Guards against state that only old processes hold, by replacing all nodes one after another.
TEST(Spread, ReplacingAllNodesKeepsTheConfiguration)
{
    SpreadSettings settings;
    settings.seed = 7;
    settings.replaceAll = true;
    settings.changes = 40;
    settings.log = smallLog();
    const auto result = simulate(settings);
    print("replacement", result);
    LONGS_EQUAL(0, result.lowerRevisions + result.falseConfirmations + result.wrongDocuments);
    LONGS_EQUAL(0, result.behindAtEnd);
    CHECK(result.snapshotParts > 0);
    CHECK(result.keyedAvailability > 0.99);
}

// Guards against refusing keyed routes during a store outage that affects all nodes.
TEST(Spread, KeyedRoutesContinueWhileTheStoreIsDown)
{
    SpreadSettings settings;
    settings.seed = 11;
    settings.faults = 6;
    settings.onlyOutages = true;
    settings.changes = 60;
    const auto result = simulate(settings);
    print("outage", result);
    LONGS_EQUAL(0, result.falseConfirmations);
    CHECK(result.keyedDuringOutage > 0.99);
}
