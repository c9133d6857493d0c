#include "proptest.h"

#include "endivequay/memorystore.h"

#include <algorithm>

using namespace endivequay;

namespace {

const Instant deadline { std::chrono::hours(2) };

WriteResult put(MemoryStore &store, const std::string &key, const std::string &value)
{
    return store.transact({ {}, { { key, value, {} } }, {}, deadline });
}

RangeRequest prefix(const std::string &key, Revision at = {})
{
    return { key, KeyScope::Prefix, at, 0, {}, deadline };
}

} // namespace

TEST_GROUP(MemoryStore)
{
    MemoryStore store;
};

// Guards against reads of an earlier revision that return later values, also after compaction.
TEST(MemoryStore, RetainedRevisionsAreReadUnchanged)
{
    const auto property = [](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &writes) {
        MemoryStore memory(8);
        std::map<std::int64_t, std::vector<KeyValue>> states;
        for (const auto &[key, value] : writes) {
            const std::string name = "k" + std::to_string(key % 4);
            if (value % 4 == 0)
                memory.transact({ {}, {}, { name }, deadline });
            else
                put(memory, name, std::to_string(value));
            states[memory.revision().value()] = memory.range(prefix(""))->values;
        }
        for (const auto &[revision, values] : states) {
            const auto read = memory.range(prefix("", Revision(revision)));
            RC_ASSERT(read.hasValue() == (revision > memory.revision().value() - 8));
            // RC_ASSERT overloads ||, which then evaluates both sides, so the read is tested first.
            if (read) {
                RC_ASSERT(read->values == values);
            }
        }
    };
    CHECK_PROPERTY("a range at a revision returns the state of that revision", property);
}

// Guards against a write despite a failed comparison, and against a conflict without the current
// value.
TEST(MemoryStore, TransactionComparesRevisions)
{
    const Revision first = put(store, "a", "1").revision;
    put(store, "a", "2");
    const auto result
        = store.transact({ { { "a", first } }, { { "a", "3", {} } }, { "b" }, deadline });
    CHECK(result.outcome == WriteOutcome::Conflict);
    STRCMP_EQUAL("2", result.current.front().value.c_str());
    CHECK(store.transact({ { { "b", Revision(0) } }, { { "b", "1", {} } }, {}, deadline }).outcome
        == WriteOutcome::Done);
}

// Guards against a watch that loses, repeats or reorders changes, or splits a transaction.
TEST(MemoryStore, WatchReplaysAndFollows)
{
    const Revision from = put(store, "a/1", "x").revision;
    std::vector<WatchMessage> messages;
    {
        const auto watch
            = store.watch({ "a/", KeyScope::Prefix, from, deadline }, [&](const auto &m) {
                  messages.push_back(m);
                  // A write from within the callback must be reported after earlier ones.
                  if (messages.size() == 2)
                      put(store, "a/3", "z");
              });
        store.transact({ {}, { { "a/2", "y", {} }, { "b", "-", {} } }, { "a/1" }, deadline });
    }
    put(store, "a/4", "after the end");
    LONGS_EQUAL(3, messages.size());
    LONGS_EQUAL(2, messages[1].changes.size());
    CHECK_FALSE(messages[1].changes[1].value.has_value());
    STRCMP_EQUAL("a/3", messages[2].changes[0].key.c_str());
    LONGS_EQUAL(0, store.runningWatches());
}

// Guards against a watch that ends unreported: at its deadline, in an outage or after compaction.
TEST(MemoryStore, EveryEndOfAWatchIsReported)
{
    std::vector<WatchMessage> ends;
    const auto record = [&](const WatchMessage &message) { ends.push_back(message); };
    const auto late = store.watch({ "a", KeyScope::Key, Revision(1), deadline }, record);
    store.advanceTo(deadline);
    const auto cut = store.watch({ "a", KeyScope::Key, Revision(1), deadline }, record);
    store.setDown(true);
    store.setDown(false);
    put(store, "a", "1");
    store.compact(put(store, "a", "2").revision);
    const auto old = store.watch({ "a", KeyScope::Key, Revision(1), deadline }, record);
    LONGS_EQUAL(3, ends.size());
    CHECK(std::ranges::all_of(ends, [](const auto &m) { return m.ended.has_value(); }));
    CHECK(ends[2].compacted && !ends[1].compacted);
}

// Guards against keys that remain after their lease has expired.
TEST(MemoryStore, ExpiredLeaseDeletesItsKeys)
{
    const Instant start { std::chrono::hours(1) };
    store.advanceTo(start);
    const auto lease = store.grantLease({ 10, deadline });
    store.transact({ {}, { { "a", "1", lease.id } }, {}, deadline });
    store.advanceTo(start + std::chrono::seconds(9));
    CHECK(store.keepLeaseAlive({ lease.id, deadline }).outcome == WriteOutcome::Done);
    store.advanceTo(start + std::chrono::seconds(18));
    LONGS_EQUAL(1, store.range(prefix("a"))->values.size());
    store.advanceTo(start + std::chrono::seconds(19));
    LONGS_EQUAL(0, store.range(prefix("a"))->values.size());
    CHECK(store.keepLeaseAlive({ lease.id, deadline }).outcome == WriteOutcome::Conflict);
    CHECK(store.transact({ {}, { { "b", "1", lease.id } }, {}, deadline }).outcome
        == WriteOutcome::NotApplied);
}

// Guards against a test double that accepts requests that etcd rejects.
TEST(MemoryStore, RejectsWhatEtcdRejects)
{
    const auto outcome
        = [&](TransactionRequest request) { return store.transact(request).outcome; };
    const std::string large(maxStoreValueSize + 1, 'x');
    CHECK(outcome({ {}, { { "a", large, {} } }, {}, deadline }) == WriteOutcome::NotApplied);
    CHECK(outcome({ {}, { { "a", "1", {} } }, { "a" }, deadline }) == WriteOutcome::NotApplied);
    CHECK(outcome({ {}, {}, std::vector<std::string>(129, "a"), deadline })
        == WriteOutcome::NotApplied);
    CHECK_FALSE(store.range(prefix("", Revision(99))).hasValue());
    LONGS_EQUAL(1, store.revision().value());
}
