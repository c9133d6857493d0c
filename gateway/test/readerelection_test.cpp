// Asio must be included before CppUTest, whose memory macros break it.
#include "endivequay/readerelection.h"

#include "proptest.h"

#include <algorithm>

using namespace endivequay;
using namespace std::chrono_literals;

TEST_GROUP(ReaderElection)
{
    using Role = ReaderElection::Role;

    static constexpr Interval changeTime = 2500ms;
    static constexpr std::size_t size = 6; ///< Members of a region.

    Instant now { 1h };
    std::vector<MemberRecord> members;
    std::vector<PeerTable> tables;
    std::vector<ReaderElection> elections;

    void setup()
    {
        for (const std::string region : { "w", "e" })
            for (std::size_t i = 0; i < size; ++i) {
                const std::string name = region + std::to_string(i);
                members.push_back({ InstanceId(name), FailureDomainId(region + "-a"),
                    RegionId(region), Address(name + ":1"), Address(name + ":2"),
                    Address(name + ":3"), 1, static_cast<double>(size - i) });
            }
        for (const MemberRecord &self : members) {
            tables.emplace_back(self.id);
            tables.back().setRegistered(members, now);
        }
        for (std::size_t i = 0; i < members.size(); ++i) {
            elections.emplace_back(members[i], tables[i], changeTime);
            elections.back().stateConfirmed(now);
        }
    }

    void beatAll(Interval stateAge)
    {
        for (PeerTable &table : tables)
            for (const MemberRecord &member : members)
                table.recordReport({ member.id, 1, {}, false, {}, stateAge, {} }, now);
    }

    std::size_t count(Role role, Instant at)
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            elections, [&](ReaderElection &each) { return each.update(at) == role; }));
    }
};

// Guards against a region without a reader, and against a fleet in which all instances call the
// store in calm.
TEST(ReaderElection, OneInstanceOfEachRegionReads)
{
    beatAll(24h);
    LONGS_EQUAL(2, count(Role::Reader, now + 100ms));
    LONGS_EQUAL(10, count(Role::Follower, now + 100ms));
}

// Guards against instances that are candidates too late for the change, and against all members of
// a region calling a store at the same time that is down or has just come back.
TEST(ReaderElection, MembersBecomeCandidatesOneAfterTheOtherInTime)
{
    beatAll(24h);
    const Interval silence = elections.front().maxSilence();
    LONGS_EQUAL(0, count(Role::Candidate, now + silence));
    LONGS_EQUAL(2, count(Role::Candidate, now + silence + silence / 6 + 1ms));
    LONGS_EQUAL(6, count(Role::Candidate, now + silence + silence / 2 + 1ms));
    LONGS_EQUAL(10, count(Role::Candidate, now + 2 * silence));
    LONGS_EQUAL(10, count(Role::Candidate, now + changeTime - ReaderElection::handoverReserve));
    // None that got no answer reads.
    LONGS_EQUAL(2, count(Role::Reader, now + changeTime - ReaderElection::handoverReserve));
}

// Guards against a candidate that reads although the store does not answer it, and against readers
// that remain when the highest-ranked one is back.
TEST(ReaderElection, AnsweredCandidateReadsUntilAHigherRankedOneDoes)
{
    beatAll(24h);
    ReaderElection &second = elections[1];
    now += 2 * second.maxSilence();
    second.storeAnswered(now - 1ms); // Before it was a candidate.
    CHECK(second.update(now) == Role::Candidate);
    CHECK(second.update(now) == Role::Candidate);
    second.storeAnswered(now);
    CHECK(second.update(now) == Role::Reader);
    now += 10s;
    beatAll(24h);
    CHECK(second.update(now) == Role::Reader);
    tables[1].recordReport({ members[2].id, 1, {}, false, {}, 0s, {} }, now);
    CHECK(second.update(now) == Role::Reader);
    tables[1].recordReport({ members[0].id, 1, {}, false, {}, 0s, {} }, now);
    CHECK(second.update(now) == Role::Follower);
}

// Guards against all members of a region calling the store at once when their reader leaves.
TEST(ReaderElection, NextInRankReadsWhenTheReaderLeaves)
{
    beatAll(24h);
    for (PeerTable &table : tables)
        table.recordReport({ members[0].id, 1, {}, false, {}, 0s, {} }, now);
    LONGS_EQUAL(2, count(Role::Reader, now));
    for (PeerTable &table : tables)
        table.recordReport({ members[0].id, 1, {}, true, {}, 24h, {} }, now);
    CHECK(elections[1].update(now + 100ms) == Role::Reader);
    for (std::size_t i = 2; i < size; ++i)
        CHECK(elections[i].update(now + 100ms) == Role::Follower);
}

// Guards against a promise that is given up silently where the time for a change is too short for
// readers that others follow.
TEST(ReaderElection, ShortTimesAreNotShared)
{
    for (const Interval time : { 2500ms, 3000ms, 4000ms }) {
        const ReaderElection election(members.front(), tables.front(), time);
        CHECK(election.mayShareReaders());
        // The longest silence, all candidates and the way of a change fit.
        CHECK(2 * election.maxSilence() + ReaderElection::handoverReserve <= time);
    }
    CHECK_FALSE(ReaderElection(members.front(), tables.front(), 1500ms).mayShareReaders());
}
