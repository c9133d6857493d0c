#include "endivequay/membership.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace endivequay;
using namespace std::chrono_literals;

namespace {

const Instant start { 1h };

Address address(int number)
{
    return Address("10.0.0." + std::to_string(number) + ":7400");
}

MemberIdentity identity(int number, const char *domain = "a-1", std::uint64_t startMicros = 100)
{
    return { Incarnation(static_cast<std::uint64_t>(number) * 1'000 + startMicros), startMicros,
        address(number), FailureDomainId(domain) };
}

Heartbeat heartbeat(const MemberIdentity &from, std::uint64_t sequence)
{
    Heartbeat message;
    message.incarnation = from.incarnation;
    message.sequence = sequence;
    return message;
}

/// Membership with two peers in the own domain, one more in the own region and two in another
/// region.
Membership view()
{
    Membership membership(identity(1));
    membership.setRegions(
        { { FailureDomainId("a-1"), RegionId("a") }, { FailureDomainId("a-2"), RegionId("a") },
            { FailureDomainId("b-1"), RegionId("b") }, { FailureDomainId("b-2"), RegionId("b") } });
    membership.helloReceived(identity(2), start);
    membership.helloReceived(identity(3), start);
    membership.helloReceived(identity(4, "a-2"), start);
    membership.helloReceived(identity(5, "b-1"), start);
    membership.helloReceived(identity(6, "b-2"), start);
    return membership;
}

bool contains(const std::vector<Address> &addresses, int number)
{
    return std::find(addresses.begin(), addresses.end(), address(number)) != addresses.end();
}

} // namespace

TEST_GROUP(Membership) {};

// Guards against a failed peer that stays a reader, and against one that stays suspect after it
// recovers.
TEST(Membership, SilentPeerIsSuspectedAndRecovers)
{
    auto membership = view();
    membership.heartbeatReceived(heartbeat(identity(2), 1), start + 2900ms);
    membership.tick(start + 3s);
    CHECK(membership.find(identity(2).incarnation)->usable());
    CHECK(membership.find(identity(3).incarnation)->suspect);
    const auto readers = membership.readers(FailureDomainId("a-1"));
    CHECK(std::find(readers.begin(), readers.end(), identity(3).incarnation) == readers.end());
    membership.heartbeatReceived(heartbeat(identity(3), 1), start + 4s);
    CHECK(membership.find(identity(3).incarnation)->usable());
}

// Guards against an old process or a delayed message that replaces the newer incarnation.
TEST(Membership, NewerIncarnationReplacesTheOlder)
{
    auto membership = view();
    const auto old = identity(2);
    const auto successor = identity(2, "a-1", 200);
    CHECK(membership.helloReceived(successor, start + 1s));
    CHECK_FALSE(membership.helloReceived(old, start + 2s));
    CHECK_FALSE(membership.heartbeatReceived(heartbeat(old, 9), start + 2s));
    // An older incarnation is rejected even if this node has never seen it.
    CHECK_FALSE(membership.helloReceived(identity(2, "a-1", 50), start + 2s));
    CHECK(membership.at(old.address)->identity == successor);
    const auto evidence = membership.evidence(old.incarnation, old.address);
    CHECK(evidence.replacedAt == start + 1s);
    CHECK(evidence.heardAt == start);
    // Replacement is detected for an unseen incarnation if its start is known.
    CHECK(membership.evidence(Incarnation(1), old.address, 150).replacedAt == start + 1s);
    CHECK_FALSE(membership.evidence(Incarnation(1), old.address, 250).replacedAt.has_value());
}

// Guards against reclaiming the cells of a live owner because the platform's list is delayed.
TEST(Membership, ListProvesAnEndOnlyTogetherWithSilence)
{
    auto membership = view();
    membership.setListedInstances({ { address(2), FailureDomainId("a-1") } }, start);
    CHECK_FALSE(membership.evidence(identity(3).incarnation, address(3)).unlistedAt.has_value());
    membership.setListedInstances({}, start + 5s);
    membership.heartbeatReceived(heartbeat(identity(2), 1), start + 6s);
    const auto evidence = membership.evidence(identity(2).incarnation, address(2));
    CHECK(evidence.unlistedAt == start + 5s);
    CHECK(evidence.heardAt == start + 6s);
    // A later heartbeat received by another peer counts as well.
    membership.digestReceived(
        { identity(3).incarnation, { { identity(2), 20, MemberState::Serving, 1s } } },
        start + 20s);
    CHECK(membership.evidence(identity(2).incarnation, address(2)).heardAt == start + 19s);
}

// Guards against a leaving instance that becomes a reader, and against a return to serving.
TEST(Membership, LeavingMemberHasNoDuties)
{
    auto membership = view();
    auto leaving = heartbeat(identity(2), 1);
    leaving.state = MemberState::Leaving;
    membership.heartbeatReceived(leaving, start + 1s);
    membership.heartbeatReceived(heartbeat(identity(2), 2), start + 2s);
    CHECK_FALSE(membership.find(identity(2).incarnation)->usable());
    membership.setLeaving();
    const auto readers = membership.readers(FailureDomainId("a-1"));
    CHECK(readers == std::vector { identity(3).incarnation });
    CHECK(membership.keeper(FailureDomainId("a-1")) == identity(3).incarnation);
    CHECK_FALSE(membership.isReader());
}

// Guards against a domain without links to other domains, and against links to every remote
// instance.
TEST(Membership, ReadersConnectDomainsAndRegions)
{
    int readers = 0;
    for (int self = 1; self <= 3; ++self) {
        Membership membership(identity(self));
        membership.setRegions({ { FailureDomainId("a-1"), RegionId("a") },
            { FailureDomainId("a-2"), RegionId("a") }, { FailureDomainId("b-1"), RegionId("b") },
            { FailureDomainId("b-2"), RegionId("b") } });
        for (int peer = 1; peer <= 3; ++peer)
            membership.helloReceived(identity(peer), start);
        membership.helloReceived(identity(4, "a-2"), start);
        membership.helloReceived(identity(5, "b-1"), start);
        membership.helloReceived(identity(6, "b-2"), start);
        const auto peers = membership.peersToConnect();
        if (!membership.isReader()) {
            LONGS_EQUAL(2, peers.size());
            continue;
        }
        ++readers;
        LONGS_EQUAL(4, peers.size());
        CHECK(contains(peers, 4));
        CHECK(contains(peers, 5) != contains(peers, 6));
    }
    LONGS_EQUAL(2, readers);
}

// Guards against keeping a link without heartbeats when a new one would work.
TEST(Membership, SilentLinksAreProposedForReplacement)
{
    auto membership = view();
    membership.linkOpened(address(2), start);
    membership.linkOpened(address(3), start);
    membership.heartbeatReceived(heartbeat(identity(2), 1), start + 2s);
    CHECK(membership.silentLinks(start + 3s) == std::vector { address(3) });
    CHECK(membership.silentLinks(start + 4s).empty());
    LONGS_EQUAL(2, membership.silentLinks(start + 6s).size());
}

// Guards against unbounded digests, and against changes that never reach a peer.
TEST(Membership, DigestsAreBoundedAndCarryAllChanges)
{
    Membership sender(identity(1));
    Membership receiver(identity(2));
    for (int number = 2; number <= 200; ++number)
        sender.helloReceived(identity(number, "b-1"), start);
    sender.linkOpened(address(2), start);
    for (int second = 0; second < 4; ++second) {
        const auto digest = sender.digestFor(address(2), start + second * 1s);
        CHECK(digest.entries.size() <= MembershipSettings().maxDigestEntries);
        receiver.digestReceived(digest, start + second * 1s);
    }
    LONGS_EQUAL(198, receiver.size());
    sender.tick(start + 4s);
    for (int second = 4; second < 8; ++second)
        receiver.digestReceived(sender.digestFor(address(2), start + second * 1s), start + 8s);
    const auto members = receiver.members();
    CHECK(std::all_of(members.begin(), members.end(), [](const Member *m) { return m->suspect; }));
}
