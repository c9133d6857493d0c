// CppUTest's memory macros clash with Asio, so Asio goes first.
#include "endivequay/statefeed.h"

#include "proptest.h"

using namespace endivequay;
using namespace std::chrono_literals;

namespace {

/// Store that records calls; the test answers them.
struct ScriptedStore
{
    std::vector<Callback<ReplicaUpdate>> lists;
    std::vector<std::pair<Revision, Callback<WatchResult>>> watches;
    std::vector<Callback<LeaseId>> grants;
    std::vector<std::pair<LeaseId, Callback<Done>>> entries;
    std::vector<std::pair<LeaseId, Callback<bool>>> renewals;
    std::vector<LeaseId> ended;

    void list(Callback<ReplicaUpdate> done) { lists.push_back(std::move(done)); }
    void watch(Revision after, Callback<WatchResult> done)
    {
        watches.emplace_back(after, std::move(done));
    }
    void grantLease(Callback<LeaseId> done) { grants.push_back(std::move(done)); }
    void registerMember(const MemberRecord &, LeaseId lease, Callback<Done> done)
    {
        entries.emplace_back(lease, std::move(done));
    }
    void renewLease(LeaseId lease, Callback<bool> done)
    {
        renewals.emplace_back(lease, std::move(done));
    }
    void endLease(LeaseId lease, const Callback<Done> &) { ended.push_back(lease); }
};

const Error down { "store.watch", "10.0.0.1:1", "reset" };

ReplicaUpdate update(std::int64_t asOf, bool whole)
{
    return { { { "k", std::to_string(asOf), Revision(asOf) } }, Revision(asOf), whole, {} };
}

} // namespace

TEST_GROUP(StateFeed)
{
    Instant now { 1h };
    ScriptedStore store;
    Replica replica;
    DecisionLog log { "test", -1, {} };
    int changes = 0;
    StateFeed<ScriptedStore> feed { store, replica, log, [this] { return now; },
        [this] { ++changes; } };

    void pass(Interval interval)
    {
        now += interval;
        feed.advance(now);
    }

    void load()
    {
        pass(0s);
        store.lists.back()(update(5, true));
        pass(1s);
    }
};

// Guards against changes between the first read and the watch that are missed.
TEST(StateFeed, FollowsFromTheRevisionThatWasRead)
{
    load();
    LONGS_EQUAL(1, store.watches.size());
    CHECK(store.watches[0].first == Revision(5));
    store.watches[0].second(WatchResult { update(9, false), false });
    pass(1s);
    CHECK(store.watches[1].first == Revision(9));
    LONGS_EQUAL(2, changes);
}

// Guards against a feed that stops after a failure, or that floods a store in trouble.
TEST(StateFeed, RetriesWithABoundedBackoff)
{
    load();
    std::size_t calls = store.watches.size();
    for (int i = 0; i < 10; ++i) {
        store.watches.back().second(down);
        pass(1ms);
        LONGS_EQUAL(calls, store.watches.size());
        pass(StateFeed<ScriptedStore>::longestBackoff);
        LONGS_EQUAL(++calls, store.watches.size());
    }
    CHECK_FALSE(feed.healthy());
    store.watches.back().second(WatchResult { update(9, false), false });
    CHECK(feed.healthy());
}

// Guards against changes that are lost with the store's history.
TEST(StateFeed, LostHistoryIsReadAnew)
{
    load();
    store.watches.back().second(WatchResult { {}, true });
    pass(1s);
    LONGS_EQUAL(2, store.lists.size());
    store.lists.back()(update(30, true));
    pass(1s);
    CHECK(store.watches.back().first == Revision(30));
}

// Guards against a watch that repeats what a peer already brought.
TEST(StateFeed, ContinuesFromWhatPeersBrought)
{
    load();
    replica.apply(update(20, false));
    store.watches.back().second(down);
    pass(1s);
    CHECK(store.watches.back().first == Revision(20));
}

TEST_GROUP(Registration)
{
    Instant now { 1h };
    ScriptedStore store;
    DecisionLog log { "test", -1, {} };
    Registration<ScriptedStore> registration { store, {}, 3s, [this] { return now; }, log,
        [](const Status &) {} };

    void pass(Interval interval)
    {
        now += interval;
        registration.advance(now);
    }

    void enter()
    {
        pass(0s);
        store.grants.back()(LeaseId { 7 });
        pass(0s);
        store.entries.back().second(Done {});
    }
};

// Guards against an instance that stays unregistered after its lease lapsed in an outage.
TEST(Registration, LapsedLeaseIsReplaced)
{
    enter();
    CHECK(registration.registered());
    pass(1s);
    LONGS_EQUAL(7, store.renewals.back().first);
    store.renewals.back().second(false);
    CHECK_FALSE(registration.registered());
    pass(0s);
    LONGS_EQUAL(2, store.grants.size());
    store.grants.back()(LeaseId { 8 });
    pass(0s);
    LONGS_EQUAL(8, store.entries.back().first);
}

// Guards against a renewal without an answer that ends the registration.
TEST(Registration, LostRenewalIsRepeated)
{
    enter();
    pass(1s);
    store.renewals.back().second(down);
    CHECK(registration.registered());
    pass(1s);
    LONGS_EQUAL(2, store.renewals.size());
}

// Guards against a stopped instance that remains in the list.
TEST(Registration, StopEndsTheLease)
{
    enter();
    registration.stop();
    LONGS_EQUAL(1, store.ended.size());
    pass(10s);
    LONGS_EQUAL(0, store.renewals.size());
}

// Guards against an instance that misses every change for as long as a watch may wait, because the
// store took the watch while it was down and never answers it.
TEST(StateFeed, WatchIsRepeatedWhenASilentStoreAnswersAgain)
{
    load();
    LONGS_EQUAL(1, store.watches.size());
    feed.storeFailed(down, now); // A renewal had no answer.
    pass(4s);
    LONGS_EQUAL(1, store.watches.size());
    feed.storeAnswered(now); // The next one had.
    pass(20ms);
    LONGS_EQUAL(2, store.watches.size());
    // The lost watch ends late; the new one goes on.
    store.watches[0].second(down);
    pass(1s);
    LONGS_EQUAL(2, store.watches.size());
    CHECK(feed.healthy());
    store.watches[1].second(WatchResult { update(9, false), false });
    LONGS_EQUAL(2, changes);
}
