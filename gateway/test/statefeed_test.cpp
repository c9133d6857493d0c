// Asio must be included before CppUTest, whose memory macros break it.
#include "endivequay/statefeed.h"

#include "proptest.h"

using namespace endivequay;
using namespace std::chrono_literals;

namespace {

/// Fake store that records calls; the test completes them.
struct ScriptedStore
{
    std::vector<Interval> pollTimes;
    std::vector<Callback<ReplicaUpdate>> lists;
    std::vector<std::pair<StorePosition, Callback<WatchResult>>> watches;
    std::vector<Callback<LeaseId>> grants;
    std::vector<std::pair<LeaseId, Callback<Done>>> registrations;
    std::vector<std::pair<LeaseId, Callback<bool>>> renewals;
    std::vector<LeaseId> ended;

    StoreEpoch currentEpoch;

    StoreEpoch epoch() const { return currentEpoch; }
    Interval watchTimeout() const { return 2200ms; }
    void list(Callback<ReplicaUpdate> done) { lists.push_back(std::move(done)); }
    void watch(StorePosition after, Interval pollTime, Callback<WatchResult> done)
    {
        pollTimes.push_back(pollTime);
        watches.emplace_back(after, std::move(done));
    }
    void grantLease(Callback<LeaseId> done) { grants.push_back(std::move(done)); }
    void registerMember(const MemberRecord &, LeaseId lease, Callback<Done> done)
    {
        registrations.emplace_back(lease, std::move(done));
    }
    void renewLease(LeaseId lease, Callback<bool> done)
    {
        renewals.emplace_back(lease, std::move(done));
    }
    void endLease(LeaseId lease, const Callback<Done> &) { ended.push_back(lease); }
};

const Error storeError { "store.watch", "10.0.0.1:1", "reset" };

ReplicaUpdate update(std::int64_t asOf, bool isSnapshot)
{
    return { { { "k", std::to_string(asOf), Revision(asOf) } }, StorePosition(Revision(asOf)),
        isSnapshot, {} };
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

    void advanceClock(Interval interval)
    {
        now += interval;
        feed.advance(now);
    }

    void loadState()
    {
        advanceClock(0s);
        store.lists.back()(update(5, true));
        advanceClock(1s);
    }
};

// Guards against missing the changes between the first list and the first watch.
TEST(StateFeed, FollowsFromTheRevisionThatWasRead)
{
    loadState();
    LONGS_EQUAL(1, store.watches.size());
    CHECK(store.watches[0].first == StorePosition(Revision(5)));
    store.watches[0].second(WatchResult { update(9, false), false });
    advanceClock(1s);
    CHECK(store.watches[1].first == StorePosition(Revision(9)));
    LONGS_EQUAL(2, changes);
}

// Guards against a feed that stops after a failure, or that overloads a failing store.
TEST(StateFeed, RetriesWithABoundedBackoff)
{
    loadState();
    std::size_t calls = store.watches.size();
    for (int i = 0; i < 10; ++i) {
        store.watches.back().second(storeError);
        advanceClock(1ms);
        LONGS_EQUAL(calls, store.watches.size());
        advanceClock(StateFeed<ScriptedStore>::maxBackoff);
        LONGS_EQUAL(++calls, store.watches.size());
    }
    CHECK_FALSE(feed.healthy());
    store.watches.back().second(WatchResult { update(9, false), false });
    CHECK(feed.healthy());
}

// Guards against a further delay after a call that timed out: the store may have been back for as
// long as the call waited.
TEST(StateFeed, CallThatTimedOutIsRepeatedAtOnce)
{
    loadState();
    for (int i = 0; i < 10; ++i) {
        store.watches.back().second(storeError);
        advanceClock(StateFeed<ScriptedStore>::maxBackoff);
    }
    const std::size_t calls = store.watches.size();
    advanceClock(2s);
    store.watches.back().second(storeError);
    advanceClock(1ms);
    LONGS_EQUAL(calls + 1, store.watches.size());
}

// Guards against missing the changes in a history that the store has compacted.
TEST(StateFeed, LostHistoryIsReadAnew)
{
    loadState();
    store.watches.back().second(WatchResult { {}, true });
    advanceClock(1s);
    LONGS_EQUAL(2, store.lists.size());
    store.lists.back()(update(30, true));
    advanceClock(1s);
    CHECK(store.watches.back().first == StorePosition(Revision(30)));
}

// Guards against a watch that fetches changes again that a peer already delivered.
TEST(StateFeed, ContinuesFromWhatPeersBrought)
{
    loadState();
    replica.apply(update(20, false));
    store.watches.back().second(storeError);
    advanceClock(1s);
    CHECK(store.watches.back().first == StorePosition(Revision(20)));
}

TEST_GROUP(Registration)
{
    Instant now { 1h };
    ScriptedStore store;
    DecisionLog log { "test", -1, {} };
    Registration<ScriptedStore> registration { store, {}, 3s, [this] { return now; }, log,
        [](const Status &) {} };

    void advanceClock(Interval interval)
    {
        now += interval;
        registration.advance(now);
    }

    void registerInstance()
    {
        advanceClock(0s);
        store.grants.back()(LeaseId { 7 });
        advanceClock(0s);
        store.registrations.back().second(Done {});
    }
};

// Guards against an instance that stays unregistered after its lease expired during an outage.
TEST(Registration, LapsedLeaseIsReplaced)
{
    registerInstance();
    CHECK(registration.registered());
    advanceClock(1s);
    LONGS_EQUAL(7, store.renewals.back().first);
    store.renewals.back().second(false);
    CHECK_FALSE(registration.registered());
    advanceClock(0s);
    LONGS_EQUAL(2, store.grants.size());
    store.grants.back()(LeaseId { 8 });
    advanceClock(0s);
    LONGS_EQUAL(8, store.registrations.back().first);
}

// Guards against an instance that takes the lease of another one for its own: a restored store
// gives the ids of the leases that it lost out again.
TEST(Registration, LeaseOfAnEarlierEpochIsReplaced)
{
    store.currentEpoch = StoreEpoch(1);
    registerInstance();
    store.currentEpoch = StoreEpoch(2);
    advanceClock(0s);
    CHECK_FALSE(registration.registered());
    registration.probe(now); // Must not bring the writes of a whole fleet together.
    advanceClock(0s);
    LONGS_EQUAL(1, store.grants.size());
    advanceClock(Registration<ScriptedStore>::reregistrationSpread);
    LONGS_EQUAL(2, store.grants.size());
    store.grants.back()(LeaseId { 7 });
    advanceClock(0s);
    store.registrations.back().second(Done {});
    CHECK(registration.registered());
    store.currentEpoch = StoreEpoch(3);
    registration.stop();
    CHECK(store.ended.empty());
}

// Guards against a registration that is given up after one failed renewal.
TEST(Registration, LostRenewalIsRepeated)
{
    registerInstance();
    advanceClock(1s);
    store.renewals.back().second(storeError);
    CHECK(registration.registered());
    advanceClock(1s);
    LONGS_EQUAL(2, store.renewals.size());
}

// Guards against a stopped instance that remains registered until its lease expires.
TEST(Registration, StopEndsTheLease)
{
    registerInstance();
    registration.stop();
    LONGS_EQUAL(1, store.ended.size());
    advanceClock(10s);
    LONGS_EQUAL(0, store.renewals.size());
}

// Guards against an instance that misses all changes until the watch times out, because the store
// lost the watch in an outage and never answers it.
TEST(StateFeed, WatchIsRepeatedWhenASilentStoreAnswersAgain)
{
    loadState();
    LONGS_EQUAL(1, store.watches.size());
    feed.storeFailed(storeError, now); // A lease renewal failed.
    advanceClock(4s);
    LONGS_EQUAL(1, store.watches.size());
    feed.storeAnswered(now); // The next one succeeded.
    advanceClock(20ms);
    LONGS_EQUAL(2, store.watches.size());
    // The abandoned watch completes late; the new one must not be affected.
    store.watches[0].second(storeError);
    advanceClock(1s);
    LONGS_EQUAL(2, store.watches.size());
    CHECK(feed.healthy());
    store.watches[1].second(WatchResult { update(9, false), false });
    LONGS_EQUAL(2, changes);
}

// Guards against instances that wait for a whole long poll before they know that a new reader is
// up to date.
TEST(StateFeed, ReaderThatBeginsConfirmsTheStateAtOnce)
{
    constexpr Interval pollTime = 450ms;
    const Interval shortest = StateFeed<ScriptedStore>::confirmingPollTime;
    feed.setPollTime(pollTime);
    loadState();
    CHECK(store.pollTimes.back() == pollTime);
    feed.resume(now); // The watch from before may be lost.
    advanceClock(0s);
    CHECK(store.pollTimes.back() == shortest);
    store.watches.back().second(WatchResult { update(5, false), false });
    advanceClock(1s);
    CHECK(store.pollTimes.back() == pollTime);
    store.watches.back().second(storeError);
    advanceClock(1s);
    CHECK(store.pollTimes.back() == shortest);
    feed.setPollTime(std::nullopt);
    store.watches.back().second(storeError);
    advanceClock(1s);
    CHECK(store.pollTimes.back() == store.watchTimeout());
}

// Guards against a reader whose renewals succeed while its watch is lost, and that others take for
// up to date.
TEST(StateFeed, OtherCallsDoNotConfirmTheState)
{
    loadState();
    const Instant confirmedAt = feed.confirmedAt();
    advanceClock(1s);
    feed.storeAnswered(now);
    CHECK(feed.confirmedAt() == confirmedAt);
    store.watches.back().second(WatchResult { update(5, false), false });
    CHECK(feed.confirmedAt() == now);
}

// Guards against an instance that does not find out in time that the store answers it, and against
// one that calls a store that is away again and again.
TEST(Registration, ProbesBackOff)
{
    constexpr Interval leaseTime = 30s; // No regular renewal falls between the probes.
    Registration<ScriptedStore> rare { store, {}, leaseTime, [this] { return now; }, log,
        [](const Status &) {} };
    rare.advance(now);
    store.grants.back()(LeaseId { 7 });
    rare.advance(now);
    store.registrations.back().second(Done {});
    rare.probe(now);
    rare.advance(now);
    LONGS_EQUAL(1, store.renewals.size());
    store.renewals.back().second(storeError);
    Interval wait = Registration<ScriptedStore>::initialProbeInterval;
    for (std::size_t calls = 1; calls < 6; ++calls) {
        rare.probe(now + wait - 1ms);
        rare.advance(now + wait - 1ms);
        LONGS_EQUAL(calls, store.renewals.size());
        now += wait;
        rare.probe(now);
        rare.advance(now);
        LONGS_EQUAL(calls + 1, store.renewals.size());
        store.renewals.back().second(storeError);
        wait = std::min(
            wait * Registration<ScriptedStore>::probeIntervalGrowth, store.watchTimeout());
    }
    now += store.watchTimeout();
    rare.probe(now);
    rare.advance(now);
    store.renewals.back().second(true);
    rare.probe(now);
    rare.advance(now);
    LONGS_EQUAL(8, store.renewals.size()); // At once after a success.
}
