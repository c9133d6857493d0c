// Asio must be included before CppUTest, whose memory macros break it.
#include "endivequay/compression.h"
#include "endivequay/entrynode.h"

#include "proptest.h"

using namespace endivequay;
using namespace std::chrono_literals;

namespace {

MemberRecord member(const std::string &id, const std::string &domain, const std::string &region,
    std::uint64_t incarnation = 1)
{
    return { InstanceId(id), FailureDomainId(domain), RegionId(region), Address(id + ":1"),
        Address(id + ":2"), Address(id + ":3"), incarnation };
}

PeerHeartbeat heartbeatFrom(const MemberRecord &from)
{
    return { from.id, from.incarnation, from, false, StorePosition(Revision(5)), 100ms, {} };
}

} // namespace

TEST_GROUP(Peers)
{
    Instant now { std::chrono::hours(1) };
    PeerTable table { InstanceId("self") };
    const DirectorySelf self { member("self", "w-a", "w"), false };

    std::size_t countAddress(
        const std::string &region, const std::string &domain, const std::string &callers)
    {
        const auto addresses
            = instancesFor({ RegionId(region), FailureDomainId(domain) }, self, table, now);
        return static_cast<std::size_t>(std::ranges::count(addresses, Address(callers)));
    }
};

// Guards against directory responses with an instance that crashed.
TEST(Peers, SilentInstancesAreNotNamed)
{
    table.setRegistered({ member("p", "w-a", "w") }, now);
    LONGS_EQUAL(1, countAddress("w", "w-a", "p:1"));
    now += 3s;
    LONGS_EQUAL(0, countAddress("w", "w-a", "p:1"));
    table.recordReport(heartbeatFrom(member("p", "w-a", "w")), now);
    LONGS_EQUAL(1, countAddress("w", "w-a", "p:1"));
}

// Guards against directory responses with an instance that ended long ago and that a restored store
// lists again.
TEST(Peers, RemovedInstanceThatIsListedAgainIsNotNamed)
{
    const std::vector<MemberRecord> members { member("p", "w-a", "w") };
    table.setRegistered(members, now);
    table.recordReport(heartbeatFrom(members.front()), now);
    now += PeerTable::unregisteredPeerTimeout + 1s;
    table.setRegistered({}, now);
    table.removeExpired(now);
    CHECK(table.peers().empty());
    table.setRegistered(members, now);
    LONGS_EQUAL(0, countAddress("w", "w-a", "p:1"));
    table.recordReport(heartbeatFrom(members.front()), now); // It was only cut off.
    LONGS_EQUAL(1, countAddress("w", "w-a", "p:1"));
    table.setRegistered({ member("p", "w-a", "w", 2) }, now + 1h); // It has started again.
    now += 1h;
    LONGS_EQUAL(1, countAddress("w", "w-a", "p:1"));
}

// Guards against directory responses with an instance that is stopping.
TEST(Peers, LeavingInstancesAreNotNamed)
{
    PeerHeartbeat last = heartbeatFrom(member("p", "w-a", "w"));
    last.leaving = true;
    table.recordReport(last, now);
    LONGS_EQUAL(0, countAddress("w", "w-a", "p:1"));
    table.recordReport(heartbeatFrom(member("p", "w-a", "w", 2)), now);
    LONGS_EQUAL(1, countAddress("w", "w-a", "p:1"));
}

// Guards against sending callers to another region while an instance of their own is alive.
TEST(Peers, CallersStayInTheirRegion)
{
    table.setRegistered({ member("p", "w-b", "w"), member("q", "e-a", "e") }, now);
    LONGS_EQUAL(0, countAddress("w", "w-a", "q:1"));
    LONGS_EQUAL(1, countAddress("w", "w-a", "p:1"));
    LONGS_EQUAL(1, countAddress("e", "e-a", "q:1"));
    LONGS_EQUAL(0, countAddress("e", "e-a", "self:1"));
    LONGS_EQUAL(1, countAddress("unknown", "x", "self:1"));
}

// Guards against callers that are spread evenly over machines of unequal strength, and against
// sending them to a machine that cannot keep up.
TEST(Peers, StrongInstancesThatKeepUpAreNamed)
{
    std::vector<MemberRecord> members;
    for (int i = 0; i < 5; ++i) {
        members.push_back(member("p" + std::to_string(i), "w-b", "w"));
        members.back().cores = i < 3 ? 0.5 : 0.1;
    }
    table.setRegistered(members, now);
    const auto named
        = [&](int i) { return countAddress("w", "w-b", "p" + std::to_string(i) + ":1") == 1; };
    for (int i = 0; i < 5; ++i)
        LONGS_EQUAL(i < 3, named(i));
    const auto report = [&](int i, bool overloaded) {
        PeerHeartbeat heartbeat = heartbeatFrom(members[i]);
        heartbeat.overloaded = overloaded;
        table.recordReport(heartbeat, now);
    };
    report(0, true);
    for (int i = 0; i < 5; ++i)
        LONGS_EQUAL(i == 1 || i == 2, named(i));
    report(1, true); // One strong instance is left: the others help it.
    for (int i = 0; i < 5; ++i)
        LONGS_EQUAL(i >= 2, named(i));
    for (int i = 2; i < 5; ++i)
        report(i, true); // All are overloaded: any is better than none.
    for (int i = 0; i < 5; ++i)
        CHECK(named(i));
    report(0, false);
    report(1, false);
    for (int i = 0; i < 5; ++i)
        LONGS_EQUAL(i < 2, named(i));
}

// Guards against an instance that counts as overloaded after one pause, and against one that does
// not while each of its timers is late.
TEST(Peers, LoopThatRunsLateIsOverloaded)
{
    LoopMonitor monitor;
    const auto tick = [&](Interval delay) {
        const Instant dueAt = now + 20ms;
        now = dueAt + delay;
        monitor.timerExpired(dueAt, now);
    };
    monitor.timerExpired({}, now);
    tick(10s);
    CHECK_FALSE(monitor.overloaded(now));
    for (int i = 0; i < 40; ++i)
        tick(80ms);
    CHECK(monitor.overloaded(now));
    for (int i = 0; i < 100; ++i)
        tick(1ms);
    CHECK(monitor.overloaded(now));
    now += LoopMonitor::minOverloadDuration;
    CHECK_FALSE(monitor.overloaded(now));
}

// Guards against members that lose their share of the limits when registrations expire during an
// outage of the store.
TEST(Peers, HeardInstancesRemainMembersWithoutRegistration)
{
    table.setRegistered({ member("p", "w-a", "w") }, now);
    table.recordReport(heartbeatFrom(member("p", "w-a", "w")), now);
    table.setRegistered({}, now);
    table.removeExpired(now + 4s);
    LONGS_EQUAL(1, table.views().size());
    table.removeExpired(now + 6s);
    LONGS_EQUAL(0, table.views().size());
}

// Guards against heartbeats that are altered by encoding and decoding.
TEST(Peers, HeartbeatsSurviveTheirEncoding)
{
    PeerHeartbeat sent = heartbeatFrom(member("p", "w-a", "w"));
    sent.demand = DemandReport { { DemandKey(77), 12.3 } };
    const auto received = decodeHeartbeat(encodeHeartbeat(sent));
    CHECK(received.hasValue());
    CHECK(received->member == sent.member);
    DOUBLES_EQUAL(12.3, received->demand->at(DemandKey(77)), 0.05);
    const auto property = [](const std::string &bytes) {
        const auto decoded = decodeHeartbeat(bytes);
        RC_ASSERT(decoded.hasValue() || !decoded.lastReason().reason.empty());
    };
    CHECK_PROPERTY("any bytes are decoded or refused", property);
}

// Guards against a short message of nested arrays or maps that overflows the stack of the parser.
TEST(Peers, DeeplyNestedMessagesAreRefused)
{
    constexpr int levels = 2'000'000;
    const std::string arrays(levels, '\x81');
    std::string maps;
    std::string tags(levels, '\xc1');
    for (int i = 0; i < levels; ++i)
        maps += "\xa1\x60";
    for (const std::string &nested :
        { arrays, arrays + '\x01', maps, maps + '\x01', tags + arrays }) {
        CHECK_FALSE(decodePeerMessage(nested).hasValue());
        CHECK_FALSE(decodeUpdate(compressed(nested), now).hasValue());
    }
}

TEST_GROUP(FleetRelay)
{
    Instant now { std::chrono::hours(1) };
    const std::vector<std::string> domains { "w-a", "w-b", "e-a" };
    static constexpr int membersPerDomain = 8;
    std::vector<MemberRecord> members;

    void setup() override
    {
        for (const std::string &domain : domains)
            for (int i = 0; i < membersPerDomain; ++i)
                members.push_back(member(domain + std::to_string(i), domain, domain.substr(0, 1)));
    }

    /// Peer table of member \a index right after heartbeats from all others.
    PeerTable tableOf(std::size_t index) const
    {
        PeerTable table(members[index].id);
        table.setRegistered(members, now);
        for (const MemberRecord &other : members) {
            PeerHeartbeat heartbeat = heartbeatFrom(other);
            heartbeat.demand = DemandReport { { DemandKey(7), 2 } };
            table.recordReport(heartbeat, now);
        }
        return table;
    }

    MemberState stateOf(std::size_t index) const
    {
        return { members[index].id, members[index].incarnation, {}, false,
            StorePosition(Revision(5)), {}, {} };
    }

    static double demandIn(const PeerTable &table, const std::string &domain)
    {
        double sum = 0;
        for (const PeerView &view : table.views())
            sum += view.domain.value() == domain ? demandOf(view.demand, DemandKey(7)) : 0;
        return sum;
    }
};

// Guards against domains without a relay and against fleets in which every instance is a relay.
TEST(FleetRelay, EveryDomainHasTwoRelays)
{
    std::map<FailureDomainId, int> relays;
    for (std::size_t i = 0; i < members.size(); ++i) {
        const PeerTable table = tableOf(i);
        const FleetRelay relay(members[i], table);
        CHECK(relay.isLarge());
        relays[members[i].domain] += relay.isRelay(now);
        LONGS_EQUAL(domains.size() - 1, relay.remoteRelays(1, now).size());
        LONGS_EQUAL(membersPerDomain - 1, relay.domainMembers().size());
    }
    for (const auto &[domain, count] : relays)
        LONGS_EQUAL(FleetRelay::relaysPerDomain, count);
}

// Guards against heartbeats whose number grows with the square of a domain's size.
TEST(FleetRelay, MembersReportToTheRelaysOfTheirDomain)
{
    for (std::size_t i = 0; i < members.size(); ++i) {
        const PeerTable table = tableOf(i);
        const FleetRelay relay(members[i], table);
        LONGS_EQUAL(FleetRelay::relaysPerDomain - (relay.isRelay(now) ? 1 : 0),
            relay.domainRelays(now).size());
    }
}

// Guards against a domain that is cut off because its relays crashed.
TEST(FleetRelay, OtherMembersFollowDeadRelays)
{
    const PeerTable atStart = tableOf(0);
    const FleetRelay own(members[0], atStart);
    std::set<Address> relays;
    for (const std::uint64_t round : { 0, 1 })
        for (const Address &address : own.remoteRelays(round, now))
            relays.insert(address);
    LONGS_EQUAL(4, relays.size());
    PeerTable later = tableOf(0);
    now += 3s;
    for (const MemberRecord &other : members)
        if (!relays.contains(other.heartbeats))
            later.recordReport(heartbeatFrom(other), now);
    const FleetRelay after(members[0], later);
    std::set<Address> others;
    for (const std::uint64_t round : { 0, 1 })
        for (const Address &address : after.remoteRelays(round, now))
            if (!relays.contains(address))
                others.insert(address);
    LONGS_EQUAL(4, others.size());
}

// Guards against members of other domains that are lost, and against demand that is counted twice,
// once per relay of a domain.
TEST(FleetRelay, DigestsStandForHeartbeats)
{
    const PeerTable first = tableOf(0);
    const PeerTable second = tableOf(1);
    const DemandReport ownDemand { { DemandKey(7), 2 } };
    PeerTable receiver = tableOf(membersPerDomain); // The first of the next domain.
    now += 2s;
    for (const auto &[relay, table] : { std::pair(0, &first), std::pair(1, &second) }) {
        const DomainDigest digest
            = FleetRelay(members[relay], *table).digest(stateOf(relay), ownDemand, false, now);
        const auto received = decodeDigest(encodeDigest(digest));
        CHECK(received.hasValue());
        LONGS_EQUAL(membersPerDomain, received->members.size());
        receiver.recordReport(*received, now);
        DOUBLES_EQUAL(2 * membersPerDomain, demandIn(receiver, "w-a"), 0.5);
    }
    const Peer &relay = receiver.peers().at(members[0].id);
    const Peer &silent = receiver.peers().at(members[2].id);
    CHECK_FALSE(PeerTable::isSuspected(relay, now + 3s));
    // The digest carries the time since the member's last heartbeat at the relay.
    CHECK(PeerTable::isSuspected(silent, now + 3s));
}

// Guards against an instance that is known only from a digest and is never returned to callers.
TEST(FleetRelay, DigestsWithRecordsMakeMembersKnown)
{
    const PeerTable known = tableOf(0);
    const DomainDigest digest = FleetRelay(members[0], known).digest(stateOf(0), {}, true, now);
    PeerTable fresh(InstanceId("new"));
    fresh.recordReport(digest, now);
    LONGS_EQUAL(membersPerDomain, fresh.views().size());
}

// Guards against relaying state through the link with the least bandwidth in a domain.
TEST(FleetRelay, WidestLinksRelay)
{
    members[3].linkMbps = 200;
    members[3 + membersPerDomain].linkMbps = 200;
    const PeerTable table = tableOf(3);
    const FleetRelay relay(members[3], table);
    CHECK(relay.isRelay(now));
    const auto others = relay.remoteRelays(0, now);
    CHECK(std::ranges::find(others, members[3 + membersPerDomain].heartbeats) != others.end());
}

// Guards against a number of datagrams that grows with the square of the fleet size.
TEST(FleetRelay, AnInstanceSendsToItsDomainAndToOneRelayOfEachOther)
{
    std::size_t addresses = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
        const PeerTable table = tableOf(i);
        const FleetRelay relay(members[i], table);
        addresses += relay.domainMembers().size();
        addresses += relay.isRelay(now) ? relay.remoteRelays(0, now).size() : 0;
    }
    const std::size_t direct = members.size() * (members.size() - 1);
    CHECK(addresses * 3 <= direct);
}

// Guards against a keeper that refuses tokens because it has no heartbeats of the requesting
// instances, and against messages that mask later digests.
TEST(Peers, MessagesShowThatTheirSenderLives)
{
    table.setRegistered({ member("p", "w-a", "w") }, now);
    now += 5s;
    CHECK(PeerTable::isSuspected(table.peers().at(InstanceId("p")), now));
    table.recordMessage(InstanceId("p"), now);
    CHECK_FALSE(PeerTable::isSuspected(table.peers().at(InstanceId("p")), now));
    CHECK(table.views()[0].lastSeenAt == now);
    const MemberState leaving { InstanceId("p"), 1, 500ms, true, StorePosition(Revision(9)), {},
        {} };
    table.recordReport(
        DomainDigest { InstanceId("r"), FailureDomainId("w-a"), false, { leaving }, {} }, now);
    CHECK(table.peers().at(InstanceId("p")).leaving);
    table.recordMessage(InstanceId("unknown"), now);
    LONGS_EQUAL(1, table.views().size());
}
