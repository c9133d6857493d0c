#include "proptest.h"

#include "endivequay/replica.h"

using namespace endivequay;

TEST_GROUP(Replica)
{
    Replica replica;
    const Instant now { std::chrono::hours(1) };

    std::string valueOf(const std::string &key)
    {
        std::string found = "-";
        replica.forEach(key, [&](const std::string &name, const std::string &value, Revision) {
            if (name == key)
                found = value;
        });
        return found;
    }
};

// Guards against a key that goes back to an earlier value when updates arrive out of order.
TEST(Replica, KeysNeverGoBack)
{
    const auto property = [](std::vector<std::uint8_t> writes) {
        // A single writer: value and revision grow together; a multiple of 5 is a removal.
        std::vector<ReplicaItem> history;
        for (std::size_t i = 0; i < writes.size(); ++i) {
            ReplicaItem item { "k" + std::to_string(writes[i] % 3), std::to_string(i),
                Revision(static_cast<std::int64_t>(i) + 2) };
            if (writes[i] % 5 == 0)
                item.value.reset();
            history.push_back(item);
        }
        Replica copy;
        copy.apply({ {}, StorePosition(Revision(1)), true, {} });
        std::map<std::string, Revision> seen;
        // Two sources: one delivers every second update, then the other delivers all.
        std::vector<ReplicaItem> order;
        for (std::size_t i = 0; i < history.size(); i += 2)
            order.push_back(history[i]);
        order.insert(order.end(), history.begin(), history.end());
        for (const ReplicaItem &item : order) {
            copy.apply({ { item }, StorePosition(item.revision), false, {} });
            copy.forEach("", [&](const std::string &key, const std::string &, Revision revision) {
                RC_ASSERT(revision >= seen[key]);
                seen[key] = revision;
            });
        }
        std::map<std::string, std::optional<std::string>> last;
        for (const ReplicaItem &item : history)
            last[item.key] = item.value;
        for (const auto &[key, value] : last) {
            std::optional<std::string> found;
            copy.forEach(
                key, [&](const std::string &, const std::string &text, Revision) { found = text; });
            RC_ASSERT(found == value);
        }
    };
    CHECK_PROPERTY("keys never go back", property);
}

// Guards against keys that remain after they were removed while no watch was open.
TEST(Replica, WholeUpdateRemovesMissingKeys)
{
    replica.apply({ { { "a", "1", Revision(3) }, { "b", "2", Revision(4) } },
        StorePosition(Revision(4)), true, now });
    replica.apply({ { { "b", "2", Revision(4) }, { "c", "3", Revision(9) } },
        StorePosition(Revision(7)), true, now });
    STRCMP_EQUAL("-", valueOf("a").c_str());
    STRCMP_EQUAL("3", valueOf("c").c_str());
    // An older snapshot must not restore the removed key.
    replica.apply({ { { "a", "1", Revision(3) } }, StorePosition(Revision(5)), true, now });
    STRCMP_EQUAL("-", valueOf("a").c_str());
    STRCMP_EQUAL("2", valueOf("b").c_str());
}

// Guards against peers that miss removals when they request changes.
TEST(Replica, UpdatesSinceARevisionCarryRemovals)
{
    replica.apply({ { { "a", "1", Revision(3) } }, StorePosition(Revision(4)), true, now });
    replica.apply({ { { "a", {}, Revision(6) }, { "b", "2", Revision(7) } },
        StorePosition(Revision(7)), false, now });
    Replica peer;
    peer.apply({ { { "a", "1", Revision(3) } }, StorePosition(Revision(4)), true, now });
    const auto decoded = decodeUpdate(encodeUpdate(replica.updates(peer.asOf()), now), now);
    CHECK(decoded.hasValue());
    CHECK(peer.apply(*decoded));
    CHECK(peer.asOf() == StorePosition(Revision(7)));
    const auto snapshot = replica.updates(StorePosition(Revision(0)));
    CHECK(snapshot.isSnapshot);
    LONGS_EQUAL(1, snapshot.items.size());
}

// Guards against state of before a restore of the store that returns, and against changes after it
// that are added to the state before.
TEST(Replica, EpochsAreNotMixed)
{
    const auto position = [](std::int64_t epoch, std::int64_t revision) {
        return StorePosition(Revision(revision), StoreEpoch(epoch));
    };
    replica.apply({ { { "a", "1", Revision(30) } }, position(1, 30), true, now });
    CHECK_FALSE(replica.apply({ { { "b", "2", Revision(9) } }, position(2, 9), false, now }));
    CHECK(replica.apply({ { { "b", "2", Revision(9) } }, position(2, 9), true, now }));
    STRCMP_EQUAL("-", valueOf("a").c_str());
    CHECK_FALSE(replica.apply({ { { "a", "1", Revision(30) } }, position(1, 30), true, now }));
    CHECK_FALSE(replica.apply({ { { "a", "3", Revision(31) } }, position(1, 31), false, now }));
    STRCMP_EQUAL("-", valueOf("a").c_str());
    CHECK(replica.updates(position(1, 30)).isSnapshot);
    const auto decoded = decodeUpdate(encodeUpdate(replica.updates(position(2, 9)), now), now);
    CHECK(decoded->asOf == position(2, 9));
    CHECK_FALSE(decoded->isSnapshot);
}

// Guards against an instance that drops what it knows for a backup, before the writers have written
// again what the backup lacks.
TEST(Replica, StateIsKeptUntilTheWritersWroteAgain)
{
    const Instant adoptAt = now + std::chrono::seconds(1);
    replica.epochSeen(StoreEpoch(1), adoptAt);
    CHECK(replica.mayAdopt(StoreEpoch(1), now)); // There is no state to keep.
    replica.apply({ {}, StorePosition(Revision(5), StoreEpoch(1)), true, now });
    replica.epochSeen(StoreEpoch(2), adoptAt);
    CHECK_FALSE(replica.mayAdopt(StoreEpoch(2), now));
    CHECK(replica.mayAdopt(StoreEpoch(1), now));
    replica.epochSeen(StoreEpoch(2), adoptAt + std::chrono::hours(1)); // Known already.
    CHECK(replica.mayAdopt(StoreEpoch(2), adoptAt));
}

// Guards against applying changes to a replica that has no snapshot yet.
TEST(Replica, ChangesWithoutAStateAreIgnored)
{
    CHECK_FALSE(
        replica.apply({ { { "a", "1", Revision(3) } }, StorePosition(Revision(4)), false, now }));
    CHECK_FALSE(replica.loaded());
}

// Guards against crashes on malformed updates.
TEST(Replica, AnyBytesAreDecodedOrRefused)
{
    const auto property = [](const std::string &bytes) {
        const auto decoded = decodeUpdate(bytes, Instant {});
        RC_ASSERT(decoded.hasValue() || !decoded.lastReason().reason.empty());
    };
    CHECK_PROPERTY("any bytes are decoded or refused", property);
}

// Guards against an upstream that has left, or a key that was withdrawn, and stays in use at an
// instance that gets its changes from a restarted one: the snapshot with which that one started
// does not tell what was removed before.
TEST(Replica, PeersOfARestartedInstanceLearnOfRemovals)
{
    const auto item = [](const std::string &key, std::int64_t revision) {
        return ReplicaItem { key, "value", Revision(revision) };
    };
    Replica behind;
    behind.apply({ { item("gone", 3), item("kept", 4) }, StorePosition(Revision(5)), true, {} });
    Replica restarted; // "gone" was removed at revision 8.
    restarted.apply({ { item("kept", 4), item("new", 9) }, StorePosition(Revision(10)), true, {} });
    behind.apply(restarted.updates(StorePosition(Revision(5))));
    std::vector<std::string> keys;
    behind.forEach(
        "", [&](const std::string &key, const std::string &, Revision) { keys.push_back(key); });
    CHECK(keys == (std::vector<std::string> { "kept", "new" }));
    CHECK_FALSE(restarted.updates(StorePosition(Revision(10))).isSnapshot);
}
