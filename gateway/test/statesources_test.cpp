// Asio must be included before CppUTest, whose memory macros break it.
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
    const StateSources::Position none { false, StorePosition(Revision(0)) };
    const StateSources::Position at5 { true, StorePosition(Revision(5)) };

    StateSources makeSources(bool firstStart = false)
    {
        return { self, { Address("s1:2"), Address("s2:2"), Address("s3:2") }, firstStart, peers,
            relay };
    }

    void addHeartbeat(const std::string &id, const std::string &domain, std::int64_t asOf)
    {
        peers.recordReport({ InstanceId(id), 1, member(id, domain), false,
                               StorePosition(Revision(asOf)), 100ms, {} },
            now);
    }

    void addLargeFleet(std::int64_t asOf)
    {
        for (int i = 0; i < 8; ++i) {
            addHeartbeat("a" + std::to_string(i), "w-a", 5);
            addHeartbeat("b" + std::to_string(i), "w-b", asOf);
            addHeartbeat("e" + std::to_string(i), "e-a", asOf);
        }
    }
};

// Guards against a restarted instance that rejects requests for long, because it delays its state
// request or keeps asking a single seed that is down.
TEST(StateSources, RestartedInstanceAsksAllSeedsSoon)
{
    StateSources restarted = makeSources();
    std::set<Address> asked;
    restarted.markBehind(now);
    const Instant start = now;
    std::optional<Instant> first;
    for (; now < start + 4s; now += 20ms) {
        restarted.markBehind(now);
        if (const auto source = restarted.nextSource(none, now)) {
            first = first.value_or(now);
            asked.insert(*source);
            restarted.requestStarted(none, now);
            restarted.requestFailed(*source, now);
        }
    }
    CHECK(*first - start <= 100ms);
    LONGS_EQUAL(3, asked.size());
}

// Guards against instances that poll each other many times a second on the first start of a fleet,
// when none has a configuration.
TEST(StateSources, FirstStartAsksRarely)
{
    StateSources first = makeSources(true);
    int asked = 0;
    for (const Instant start = now; now < start + 3s; now += 20ms) {
        first.markBehind(now);
        if (const auto source = first.nextSource(none, now)) {
            ++asked;
            first.requestStarted(none, now);
            first.requestFailed(*source, now);
        }
    }
    CHECK(asked <= 10);
}

// Guards against peer requests for changes that the store is about to deliver.
TEST(StateSources, SmallFleetLeavesNewsToTheStoreFirst)
{
    StateSources sources = makeSources();
    addHeartbeat("p", "w-b", 6);
    sources.markBehind(now);
    CHECK_FALSE(sources.nextSource(at5, now + 200ms));
    STRCMP_EQUAL("p:2", sources.nextSource(at5, now + 300ms)->value().c_str());
}

// Guards against repeated requests to a peer that does not answer while another one would, and
// against a peer that is never asked again.
TEST(StateSources, SilentPeerIsLeftOutForAWhile)
{
    StateSources sources = makeSources();
    addHeartbeat("p", "w-a", 6);
    addHeartbeat("q", "e-a", 6);
    sources.markBehind(now);
    now += 300ms;
    STRCMP_EQUAL("p:2", sources.nextSource(at5, now)->value().c_str());
    sources.requestStarted(at5, now);
    CHECK_FALSE(sources.nextSource(at5, now)); // One request at a time.
    sources.requestFailed(Address("p:2"), now);
    STRCMP_EQUAL("q:2", sources.nextSource(at5, now)->value().c_str());
    now += StateSources::failedSourceBackoff;
    addHeartbeat("p", "w-a", 6);
    STRCMP_EQUAL("p:2", sources.nextSource(at5, now)->value().c_str());
}

// Guards against all members of a domain fetching the same document from another domain, and
// against members that stay behind because their relay does not fetch it.
TEST(StateSources, MembersLeaveNewsOfOtherDomainsToTheirRelays)
{
    addLargeFleet(6);
    CHECK(relay.isLarge());
    StateSources sources = makeSources();
    sources.markBehind(now);
    now += 50ms;
    const auto soon = sources.nextSource(at5, now);
    CHECK(soon.has_value() == relay.isRelay(now));
    now += 300ms;
    CHECK(sources.nextSource(at5, now).has_value());
}

// Guards against one request for each of ten configurations a second.
TEST(StateSources, FollowersAskAtMostFourTimesASecond)
{
    addLargeFleet(5);
    addHeartbeat("a0", "w-a", 6); // A member of the own domain is ahead.
    StateSources sources = makeSources();
    int asked = 0;
    for (const Instant start = now; now < start + 1s; now += 20ms) {
        sources.markBehind(now);
        if (const auto source = sources.nextSource(at5, now)) {
            ++asked;
            sources.requestStarted(at5, now);
            sources.requestSucceeded(*source);
        }
    }
    CHECK(asked >= 3);
    CHECK(asked <= 4);
}
