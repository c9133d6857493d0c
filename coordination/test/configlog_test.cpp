#include "proptest.h"

#include "endivequay/configlog.h"
#include "endivequay/freshness.h"

using namespace endivequay;
using namespace std::chrono_literals;

namespace {

const Instant start { 1h };

LoggedChange change(int revision, int previous, std::size_t bytes = 10)
{
    return { Revision(revision), Revision(previous), ChangeId("c"),
        { { "doc" + std::to_string(revision),
            std::make_shared<const std::string>(std::string(bytes, 'x')) } },
        {} };
}

/// Pulls until \a to is up to date. Returns the size of the largest update in bytes.
std::size_t pullAll(ConfigLog &from, ConfigLog &to)
{
    std::size_t largest = 0;
    while (to.revision() < from.revision()) {
        const auto update = from.changesSince(to.revision(), to.cursor());
        std::size_t bytes = 0;
        if (const auto *part = std::get_if<SnapshotPart>(&update)) {
            for (const auto &[name, text] : part->documents)
                bytes += name.size() + text->size();
        } else {
            for (const auto &step : std::get<ConfigDelta>(update).changes)
                bytes += step.bytes();
        }
        largest = std::max(largest, bytes);
        to.applyUpdate(update);
    }
    return largest;
}

SyncCandidate candidate(int id, Proximity proximity, int revision, Interval age)
{
    return { Incarnation(static_cast<std::uint64_t>(id)), proximity, Revision(revision),
        start - age, {} };
}

} // namespace

TEST_GROUP(ConfigLog) {};

// Guards against a decreasing revision, and against applying a change when an earlier one is
// missing.
TEST(ConfigLog, OnlyTheNextChangeIsApplied)
{
    ConfigLog log;
    CHECK(log.applyChange(change(3, 0)) == ApplyResult::Applied);
    CHECK(log.applyChange(change(3, 0)) == ApplyResult::AlreadyKnown);
    CHECK(log.applyChange(change(9, 5)) == ApplyResult::Gap);
    CHECK(log.applySnapshot(Revision(2), ChangeId("s"), {}) == ApplyResult::AlreadyKnown);
    CHECK(log.revision() == Revision(3));
    CHECK(log.applySnapshot(Revision(5), ChangeId("s"), {}) == ApplyResult::Applied);
    CHECK(log.documents().empty());
    CHECK(log.applyChange(change(9, 5)) == ApplyResult::Applied);
}

// Guards against replies over the size limit, too many retained changes and a node that never
// catches up.
TEST(ConfigLog, UpdatesAreBoundedAndComplete)
{
    CHECK_PROPERTY("a node that pulls ends with the same documents", [] {
        ConfigLog from({ 4, 100'000, 1'000 });
        ConfigLog to;
        int revision = 0;
        for (int size : *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(1, 1'400))) {
            const int previous = revision;
            from.applyChange(
                change(revision += 1 + size % 3, previous, static_cast<std::size_t>(size)));
            if (size % 7 == 0)
                RC_ASSERT(pullAll(from, to) <= 1'500u);
        }
        RC_ASSERT(pullAll(from, to) <= 1'500u);
        RC_ASSERT(from.recentChangeCount() <= 4u);
        RC_ASSERT(to.documents().size() == from.documents().size());
        RC_ASSERT(from.memoryBytes() >= 30u);
    });
}

// Guards against snapshots that lack documents because parts were duplicated or reordered.
TEST(ConfigLog, PartsAreAppliedOnlyInOrder)
{
    const auto part = [](int revision, const char *after, const char *name, bool last) {
        return SnapshotPart { Revision(revision), ChangeId("s"), after,
            { { name, std::make_shared<const std::string>("x") } }, last };
    };
    ConfigLog log;
    CHECK(log.applyUpdate(part(5, "", "a", false)) == ApplyResult::Partial);
    CHECK(log.applyUpdate(part(5, "", "a", false)) == ApplyResult::AlreadyKnown);
    CHECK(log.applyUpdate(part(5, "b", "c", true)) == ApplyResult::AlreadyKnown);
    CHECK(log.applyUpdate(part(6, "", "a", false)) == ApplyResult::Partial);
    CHECK(log.applyUpdate(part(5, "a", "b", false)) == ApplyResult::Gap);
    CHECK(log.applyUpdate(part(6, "a", "b", true)) == ApplyResult::Applied);
    LONGS_EQUAL(2, log.documents().size());
}

// Guards against a source that is distant, stale or in a cycle, and against needless changes of it.
TEST(ConfigLog, SourceIsNearestThatIsAheadAndIsKept)
{
    SyncSource source;
    const SyncNodeState self { Incarnation(1), Revision(5), start - 3s };
    const auto remote = candidate(2, Proximity::Remote, 9, 0s);
    const auto near = candidate(3, Proximity::OwnDomain, 5, 0s);
    auto cyclic = candidate(4, Proximity::OwnDomain, 9, 0s);
    cyclic.path = { Incarnation(7), Incarnation(1) };
    const auto stale = candidate(5, Proximity::OwnDomain, 5, 3s);
    CHECK(source.choose(self, { cyclic, stale }, start) == std::nullopt);
    CHECK(source.choose(self, { remote, cyclic, stale }, start) == Incarnation(2));
    CHECK(source.choose(self, { remote, near }, start) == Incarnation(3));

    const SyncNodeState fresh { Incarnation(1), Revision(5), start };
    const auto ahead = candidate(6, Proximity::OwnDomain, 6, 0s);
    CHECK(source.choose(fresh, { near, ahead }, start) == Incarnation(3));
    source.pullSent(start);
    CHECK(source.choose(fresh, { near, ahead }, start + 1100ms) == Incarnation(6));
    source.replied(Incarnation(1), Incarnation(6), { Incarnation(8), Incarnation(1) }, start + 2s);
    CHECK_FALSE(source.current().has_value());
}

TEST_GROUP(Freshness) {};

// Guards against a confirmation that takes effect before its revision is applied.
TEST(Freshness, ConfirmationWaitsForItsRevision)
{
    Freshness freshness;
    freshness.storeAnswered(start, Revision(7));
    CHECK_FALSE(freshness.servesKeyed(StalePolicy::Continue, start));
    freshness.applied(Revision(7));
    CHECK(freshness.servesKeyed(StalePolicy::Refuse, start + 3999ms));
    CHECK_FALSE(freshness.servesKeyed(StalePolicy::Refuse, start + 4s));
    CHECK(freshness.servesKeyed(StalePolicy::Continue, start + 4s));
    CHECK(freshness.stateChange(start + 4s) == FreshnessState::Stale);
    CHECK_FALSE(freshness.stateChange(start + 5s).has_value());
    freshness.peerAnswered(start + 5s, 2s, Revision(7));
    CHECK(freshness.confirmedAsOf() == start + 3s - 2ms);
}

// Guards against refusing keyed routes during a store outage in which reads fail at once
// (connection refused) instead of timing out.
TEST(Freshness, AFailedReadCountsAsSilenceAtOnce)
{
    Freshness freshness;
    freshness.applied(Revision(7));
    freshness.storeFailed(Incarnation(1), start);
    freshness.confirmByStoreSilence({ Incarnation(1) }, start + 1ms);
    CHECK(freshness.confirmedAsOf() == start);
    CHECK(freshness.servesKeyed(StalePolicy::Refuse, start + 1s));
}

// Guards against a confirmation when only one reader gets no response from the store, or when two
// readers get none at different times.
TEST(Freshness, SilenceNeedsAllReadersAtOneInstant)
{
    Freshness freshness;
    const std::set readers { Incarnation(1), Incarnation(2) };
    freshness.applied(Revision(7));
    freshness.storeUnanswered(Incarnation(1), start, start + 300ms);
    freshness.storeUnanswered(Incarnation(1), start + 1s, start + 1300ms);
    freshness.confirmByStoreSilence(readers, start + 1300ms);
    CHECK_FALSE(freshness.confirmedAsOf().has_value());
    // The first unanswered read of the other reader is later than the latest one of this reader.
    freshness.silenceReported(
        { Incarnation(2), Revision(8), 100ms, 100ms }, start + 1300ms, start + 1400ms);
    freshness.confirmByStoreSilence(readers, start + 1400ms);
    CHECK_FALSE(freshness.confirmedAsOf().has_value());
    freshness.storeUnanswered(Incarnation(1), start + 2s, start + 2300ms);
    freshness.silenceReported(
        { Incarnation(2), Revision(8), 1s, 100ms }, start + 2300ms, start + 2310ms);
    freshness.confirmByStoreSilence(readers, start + 2310ms);
    // The confirmation is for the highest revision that any reader holds.
    CHECK_FALSE(freshness.confirmedAsOf().has_value());
    freshness.applied(Revision(8));
    CHECK(freshness.confirmedAsOf() == start + 2s);
    CHECK(freshness.state(start + 3s) == FreshnessState::StoreSilent);
}
