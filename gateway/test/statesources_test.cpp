// CppUTest's memory macros clash with Asio, so Asio goes first.
#include "endivequay/statesources.h"

#include "proptest.h"

using namespace endivequay;
using namespace std::chrono_literals;

namespace {

MemberRecord member(const std::string &id, const std::string &domain)
{
    return { InstanceId(id), FailureDomainId(domain), RegionId(domain.substr(0, 1)),
        Address(id + ":1"), Address(id + ":2"), Address(id + ":3"), 1 };
}

} // namespace

TEST_GROUP(StateSources)
{
    Instant now { std::chrono::hours(1) };
    const MemberRecord self = member("self", "w-a");
    PeerTable peers { InstanceId("self") };
    FleetRelay relay { self, peers };
    const StateSources::Position none { false, Revision(0) };
    const StateSources::Position at5 { true, Revision(5) };

    StateSources sources(bool firstStart = false)
    {
        return { self, { Address("s1:2"), Address("s2:2"), Address("s3:2") }, firstStart, peers,
            relay };
    }

    void hear(const std::string &id, const std::string &domain, std::int64_t asOf)
    {
        peers.heard(
            { InstanceId(id), 1, member(id, domain), false, Revision(asOf), 100ms, {} }, now);
    }

    void hearLargeFleet(std::int64_t asOf)
    {
        for (int i = 0; i < 8; ++i) {
            hear("a" + std::to_string(i), "w-a", 5);
            hear("b" + std::to_string(i), "w-b", asOf);
            hear("e" + std::to_string(i), "e-a", asOf);
        }
    }
};

// Guards against an instance that refuses its callers for long after a restart, because it waits
// before it asks, and against one that asks only a seed that is dead.
TEST(StateSources, RestartedInstanceAsksAllSeedsSoon)
{
    StateSources restarted = sources();
    std::set<Address> asked;
    restarted.behind(now);
    const Instant start = now;
    std::optional<Instant> first;
    for (; now < start + 4s; now += 20ms) {
        restarted.behind(now);
        if (const auto source = restarted.next(none, now)) {
            first = first.value_or(now);
            asked.insert(*source);
            restarted.asked(none, now);
            restarted.failed(*source, now);
        }
    }
    CHECK(*first - start <= 100ms);
    LONGS_EQUAL(3, asked.size());
}

// Guards against instances of a fleet that starts for the first time and ask each other for a
// configuration that nobody has, many times a second.
TEST(StateSources, FirstStartAsksRarely)
{
    StateSources first = sources(true);
    int asked = 0;
    for (const Instant start = now; now < start + 3s; now += 20ms) {
        first.behind(now);
        if (const auto source = first.next(none, now)) {
            ++asked;
            first.asked(none, now);
            first.failed(*source, now);
        }
    }
    CHECK(asked <= 10);
}

// Guards against a question for news that the store is about to bring.
TEST(StateSources, SmallFleetLeavesNewsToTheStoreFirst)
{
    StateSources one = sources();
    hear("p", "w-b", 6);
    one.behind(now);
    CHECK_FALSE(one.next(at5, now + 200ms));
    STRCMP_EQUAL("p:2", one.next(at5, now + 300ms)->value().c_str());
}

// Guards against questions to a peer that does not answer while another one would, and against a
// peer that is never asked again.
TEST(StateSources, SilentPeerIsLeftOutForAWhile)
{
    StateSources one = sources();
    hear("p", "w-a", 6);
    hear("q", "e-a", 6);
    one.behind(now);
    now += 300ms;
    STRCMP_EQUAL("p:2", one.next(at5, now)->value().c_str());
    one.asked(at5, now);
    CHECK_FALSE(one.next(at5, now)); // One question at a time.
    one.failed(Address("p:2"), now);
    STRCMP_EQUAL("q:2", one.next(at5, now)->value().c_str());
    now += StateSources::silentSourceTime;
    hear("p", "w-a", 6);
    STRCMP_EQUAL("p:2", one.next(at5, now)->value().c_str());
}

// Guards against members of a domain that all fetch the same document from another domain, and
// against members without news because their relay does not fetch it.
TEST(StateSources, MembersLeaveNewsOfOtherDomainsToTheirRelays)
{
    hearLargeFleet(6);
    CHECK(relay.isLarge());
    StateSources one = sources();
    one.behind(now);
    now += 50ms;
    const auto soon = one.next(at5, now);
    CHECK(soon.has_value() == relay.isRelay(now));
    now += 300ms;
    CHECK(one.next(at5, now).has_value());
}

// Guards against a question for every one of ten configurations a second.
TEST(StateSources, FollowersAskAtMostFourTimesASecond)
{
    hearLargeFleet(5);
    hear("a0", "w-a", 6); // A relay of the own domain has the news.
    StateSources one = sources();
    int asked = 0;
    for (const Instant start = now; now < start + 1s; now += 20ms) {
        one.behind(now);
        if (const auto source = one.next(at5, now)) {
            ++asked;
            one.asked(at5, now);
            one.answered(*source);
        }
    }
    CHECK(asked >= 3);
    CHECK(asked <= 4);
}
