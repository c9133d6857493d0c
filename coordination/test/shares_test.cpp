#include "fleet.h"

#include <CppUTest/TestHarness.h>

using namespace endivequay;
using namespace endivequay::test;

namespace {

const std::vector<FailureDomainId> sixDomains { FailureDomainId("d0"), FailureDomainId("d1"),
    FailureDomainId("d2"), FailureDomainId("d3"), FailureDomainId("d4"), FailureDomainId("d5") };
const FailureDomainId d0("d0");
const ResourceId small("team/small");
const ResourceId slots("slots/u");
const Instant start { seconds(100) };

CellSet allCells()
{
    return CellSet().set();
}

LoanRequest request(const ResourceDefinition &definition, std::uint64_t number)
{
    LoanRequest request;
    request.id = { Incarnation(2), number };
    request.resource = definition.id;
    request.definition = definition.digest();
    return request;
}

/// Simulates a failure domain with one active keeper. Its writes and the releases take effect at
/// once.
struct Domain
{
    Domain()
    {
        members.push_back({ Incarnation(1), Address("10.0.0.1:1"), now, false });
        keeper.applyLedger(stored);
    }
    /// Adds a member with an incarnation for which the first member remains the keeper.
    std::uint64_t join(const std::string &address)
    {
        list.addresses.insert(Address(address));
        for (members.emplace_back();; ++lastId) {
            members.back() = { Incarnation(lastId), Address(address), now, false };
            if (keeperOf(d0, members, now) == Incarnation(1))
                return lastId++;
        }
    }
    void run(Interval interval)
    {
        for (const Instant end = now + interval; now < end; now += seconds(1)) {
            for (LedgerMember &member : members) {
                if (!silent.contains(member.incarnation))
                    member.lastSeenAt = now;
            }
            list.readAt = now;
            step();
        }
    }
    void step()
    {
        const KeeperActions actions = keeper.tick(now, members, list);
        for (const ShareOutgoing &out : actions.messages) {
            const auto release = std::get<CellRelease>(out.message);
            moved += static_cast<int>(release.cells.size());
            keeper.onCellReleased({ d0, out.to, release.ledger, release.cells });
        }
        if (actions.write && actions.write->basedOn == stored.revision) {
            stored = { Revision(stored.revision.value() + 1), actions.write->ledger };
            keeper.applyLedger(stored);
        }
    }
    std::size_t cells(std::uint64_t id) const
    {
        return stored.ledger.cellsOf(Incarnation(id)).count();
    }

    Instant now = start;
    std::vector<LedgerMember> members;
    std::set<Incarnation> silent;
    PlatformList list;
    LedgerSnapshot stored { Revision(), CellLedger(d0) };
    Keeper keeper { d0, Incarnation(1), start };
    std::uint64_t lastId = 100;
    int moved = 0;
};

} // namespace

TEST_GROUP(Shares) {};

// The pieces of all domains must add up to exactly the limit.
TEST(Shares, PiecesAddUpToTheTotal)
{
    for (const double burst : { 1.0, 8.0, 33.3, 1000.0, 1e6 }) {
        const auto team = ResourceDefinition::team(
            small, RequestRate(burst / 3), RequestCount(burst), sixDomains);
        Allotment sum;
        int pieces = 0;
        for (const FailureDomainId &domain : sixDomains) {
            sum += team.allotmentOf(domain, allCells());
            pieces += team.piecesIn(domain, allCells());
        }
        CHECK(sum == team.total);
        LONGS_EQUAL(6 * team.piecesPerDomain, pieces);
        CHECK(team.allotmentOf(FailureDomainId("other"), allCells()) == Allotment());
    }
    const auto upstream = ResourceDefinition::slots(slots, SlotCount(300), d0);
    LONGS_EQUAL(300, upstream.piecesIn(d0, allCells()));
    LONGS_EQUAL(0, upstream.piecesIn(sixDomains[1], allCells()));
}

// A malformed ledger must be rejected, or it could change what an instance owns.
TEST(Shares, LedgerJsonIsCheckedAndKeepsItsMeaning)
{
    CellLedger ledger(d0);
    ledger.assign(CellSet(0xffff), Incarnation(7), { Address("10.0.0.1:1"), true });
    const auto parsed = CellLedger::fromJson(ledger.toJson());
    CHECK(parsed.hasValue() && *parsed == ledger);
    const std::string good = ledger.toJson();
    for (const auto &[from, to] :
        std::map<std::string, std::string> { { "\"d0\"", "3" }, { "[0,", "[1," }, { "[0,", "[" },
            { "true", "1" }, { "0000007\"", "000000x\"" }, { "}", "" } }) {
        std::string bad = good;
        bad.replace(bad.find(from), from.size(), to);
        CHECK_FALSE(CellLedger::fromJson(bad).hasValue());
    }
}

// A small team must not be refused within its limit. Its tokens are spread over six domains in
// pieces of less than two requests, and one instance receives all of its requests, at half of its
// rate.
TEST(Shares, SmallTeamIsServedByOneInstance)
{
    Network network;
    network.delay = [](const auto &from, const auto &to) {
        return from == to ? milliseconds(4) : milliseconds(20);
    };
    Fleet fleet(7, network, sixDomains, 2,
        { ResourceDefinition::team(small, RequestRate(4), RequestCount(8), sixDomains) });
    fleet.run(seconds(20));
    Fleet::Node &node = *fleet.nodes[3];
    int refused = 0;
    std::function<void(int)> attempt = [&](int left) {
        const auto kind = left == 10 ? Attempt::First : Attempt::Repeated;
        if (node.shares.rates().tryAcquire(small, RequestCount(1), fleet.local(node), kind))
            return;
        refused += left == 0 ? 1 : 0;
        if (left == 0)
            return;
        fleet.send(
            node, node.shares.rates().requestLoans(small, RequestCount(1), fleet.local(node)));
        fleet.at(fleet.now + milliseconds(10), [&attempt, left] { attempt(left - 1); });
    };
    for (int i = 0; i < 100; ++i) {
        attempt(10);
        fleet.run(milliseconds(500));
    }
    LONGS_EQUAL(0, refused);
}

// A limit must not be raised while another instance may still use the earlier definition.
TEST(Shares, RaisedLimitsWaitAndLoweredOnesApplyAtOnce)
{
    RateShares rates(Incarnation(1), d0);
    const auto define = [&](double rate, Instant now) {
        rates.define(
            { ResourceDefinition::team(small, RequestRate(rate), RequestCount(8), { d0 }) }, now);
    };
    const auto rateAt = [&](Instant now) { return rates.usage(small, now).effective.rate; };
    rates.setCells(allCells(), Instant::max(), start);
    define(4, start);
    LONGS_EQUAL(0, rateAt(start + milliseconds(5999)));
    LONGS_EQUAL(4'000'000, rateAt(start + seconds(6)));
    define(8, start + seconds(10));
    LONGS_EQUAL(4'000'000, rateAt(start + milliseconds(15999)));
    LONGS_EQUAL(8'000'000, rateAt(start + seconds(16)));
    define(2, start + seconds(20));
    LONGS_EQUAL(2'000'000, rateAt(start + seconds(20)));
}

// Additional slots must not be used while requests admitted under the earlier definition run.
TEST(Shares, RaisedSlotsWaitForEarlierRequests)
{
    SlotShares shares(Incarnation(1), d0);
    shares.setCells(allCells(), Instant::max(), start);
    shares.define(
        { ResourceDefinition::slots(slots, SlotCount(1), d0) }, start, RaiseRule::Immediate);
    shares.define({ ResourceDefinition::slots(slots, SlotCount(3), d0) }, start);
    LONGS_EQUAL(1, shares.freeSlots(slots, start + milliseconds(15999)));
    LONGS_EQUAL(3, shares.freeSlots(slots, start + seconds(16)));
    shares.define({}, start + seconds(20));
    LONGS_EQUAL(0, shares.freeSlots(slots, start + seconds(20)));
}

// A repeated request must not get a second loan, and a lender must not use lent capacity before the
// borrower's term has surely ended.
TEST(Shares, LenderAnswersOnceAndRegainsAfterItsDeadline)
{
    const auto definition
        = ResourceDefinition::team(small, RequestRate(4), RequestCount(16), { d0 });
    RateShares rates(Incarnation(1), d0);
    rates.setCells(allCells(), Instant::max(), start);
    rates.define({ definition }, start, RaiseRule::Immediate);
    const Instant now = start + seconds(10);
    LoanRequest wanted = request(definition, 1);
    wanted.amount = { 1'000'000, 0 };
    const LoanReply first = rates.onLoanRequest(wanted, now);
    const LoanReply second = rates.onLoanRequest(wanted, now + seconds(1));
    CHECK(first.amount.rate > 0 && first.amount == second.amount);
    LONGS_EQUAL(first.tokens, second.tokens);
    CHECK(rates.usage(small, now).lent == first.amount);
    const Instant end = now + rateLoanTerm + lenderMargin(rateLoanTerm);
    CHECK(rates.usage(small, end - Interval(1)).lent == first.amount);
    CHECK(rates.usage(small, end).lent == Allotment());
    LoanRequest other = request(definition, 2);
    other.definition ^= 1;
    other.amount = wanted.amount;
    CHECK(rates.onLoanRequest(other, now).amount == Allotment());
}

// A request must not run longer than the loan of the slot that it uses.
TEST(Shares, BorrowedSlotServesOnlyShorterRequests)
{
    const auto definition = ResourceDefinition::slots(slots, SlotCount(1), d0);
    CellLedger ledger(d0);
    ledger.assign(allCells(), Incarnation(1), {});
    SlotShares shares(Incarnation(2), d0);
    shares.define({ definition }, start, RaiseRule::Immediate);
    shares.setOwners({ { d0, ledger } });
    const auto out = shares.requestLoans(slots, 1, start);
    LONGS_EQUAL(1, out.size());
    LoanReply reply;
    reply.id = std::get<LoanRequest>(out[0].message).id;
    reply.resource = slots;
    reply.lender = Incarnation(1);
    reply.definition = definition.digest();
    reply.slots = 1;
    reply.term = slotLoanTerm;
    CHECK(shares.onLoanReply(reply, start + seconds(6)));
    CHECK_FALSE(shares.acquire(slots, start + seconds(15), start + seconds(6)).has_value());
    CHECK(shares.acquire(slots, start + milliseconds(14999), start + seconds(6)).has_value());
}

// Cells must be distributed evenly, with no more moves than that takes.
TEST(Shares, KeeperBalancesWithFewMoves)
{
    Domain domain;
    domain.run(seconds(3));
    LONGS_EQUAL(120, domain.cells(1));
    for (const char *address : { "a:1", "b:1", "c:1" })
        domain.join(address);
    domain.run(seconds(5));
    for (const LedgerMember &member : domain.members)
        LONGS_EQUAL(30, domain.cells(member.incarnation.value()));
    LONGS_EQUAL(90, domain.moved);
    domain.run(seconds(5));
    LONGS_EQUAL(90, domain.moved);
}

// Cells must not be taken from an owner that may still run. Neither missing heartbeats nor the
// platform's list alone proves that it has terminated, and its requests and loans must have ended.
TEST(Shares, KeeperReclaimsOnlyAfterProofAndWait)
{
    Domain domain;
    const std::uint64_t other = domain.join("x:1");
    domain.run(seconds(5));
    LONGS_EQUAL(60, domain.cells(other));
    domain.silent.insert(Incarnation(other));
    domain.run(seconds(100));
    LONGS_EQUAL(60, domain.cells(other));
    domain.list.addresses.erase(Address("x:1"));
    domain.run(seconds(15));
    LONGS_EQUAL(60, domain.cells(other));
    domain.run(seconds(5));
    LONGS_EQUAL(120, domain.cells(1));
}

// A leaving instance must release its cells, but not while a request uses one.
TEST(Shares, LeavingInstanceReleasesCellsAfterItsRequests)
{
    InstanceShares shares(d0, Incarnation(1), start);
    shares.define(
        { ResourceDefinition::slots(slots, SlotCount(2), d0) }, start, RaiseRule::Immediate);
    LedgerSnapshot snapshot { Revision(3), CellLedger(d0) };
    snapshot.ledger.assign(allCells(), Incarnation(1), {});
    shares.applyLedger(snapshot, start, start);
    const auto lease = shares.slots().acquire(slots, start + seconds(9), start);
    CHECK(lease.has_value());
    shares.leave(start);
    CHECK_FALSE(shares.slots().acquire(slots, start + seconds(9), start).has_value());
    CHECK(shares.tick(start, Incarnation(2)).empty());
    shares.slots().release(*lease, start);
    const auto out = shares.tick(start, Incarnation(2));
    LONGS_EQUAL(1, out.size());
    LONGS_EQUAL(120, std::get<CellReleased>(out[0].message).cells.size());
    CHECK_FALSE(shares.hasLeft());
    snapshot = { Revision(4), CellLedger(d0) };
    shares.applyLedger(snapshot, start, start);
    CHECK(shares.hasLeft());
}

// An instance must not use its cells after a pause during which they may have been reclaimed.
TEST(Shares, PausedInstanceWaitsForALedgerReadAfterTheResume)
{
    OwnerState owner(d0, Incarnation(1), start);
    LedgerSnapshot snapshot { Revision(3), CellLedger(d0) };
    snapshot.ledger.assign(allCells(), Incarnation(1), {});
    const auto fits = [](const CellSet &) { return true; };
    owner.applyLedger(snapshot, start);
    const Instant resumed = start + seconds(11);
    CHECK(owner.usableCells(resumed).none());
    owner.tick(resumed, {}, fits);
    owner.applyLedger(snapshot, resumed - Interval(1));
    CHECK(owner.usableCells(resumed).none());
    owner.applyLedger(snapshot, resumed);
    CHECK(owner.usableCells(resumed).all());
    // After a pause long enough for a reclaim, a reclaiming write may still be on its way.
    const Instant late = resumed + seconds(50);
    owner.tick(late, {}, fits);
    owner.applyLedger(snapshot, late);
    CHECK(owner.usableCells(late).none());
    snapshot.revision = Revision(4);
    owner.applyLedger(snapshot, late);
    CHECK(owner.usableCells(late).all());
}

// A renewal must not restore the part of a loan that was transferred while the renewal was in
// flight.
TEST(Shares, RenewalCoversOnlyWhatIsStillHeld)
{
    const auto definition
        = ResourceDefinition::team(small, RequestRate(4), RequestCount(16), { d0 });
    CellLedger ledger(d0);
    ledger.assign(allCells(), Incarnation(1), {});
    RateShares rates(Incarnation(3), d0);
    rates.define({ definition }, start, RaiseRule::Immediate);
    rates.setOwners({ { d0, ledger } });
    const auto attempts = [&](int count, Instant now) {
        for (int i = 0; i < count; ++i)
            rates.tryAcquire(small, RequestCount(1), now);
    };
    const auto answer = [&](const LoanRequest &wanted, Instant now) {
        LoanReply reply;
        reply.id = wanted.id;
        reply.resource = small;
        reply.lender = Incarnation(1);
        reply.definition = definition.digest();
        reply.amount = { 4'000'000, 8'000'000 };
        reply.term = rateLoanTerm;
        rates.onLoanReply(reply, now);
    };
    attempts(8, start);
    answer(
        std::get<LoanRequest>(rates.requestLoans(small, RequestCount(8), start)[0].message), start);
    const Instant renewing = start + milliseconds(3600);
    attempts(6, renewing);
    const auto out = rates.tick(renewing);
    const auto renewal = std::ranges::find_if(out, [](const ShareOutgoing &message) {
        const auto *sent = std::get_if<LoanRequest>(&message.message);
        return sent && sent->renews;
    });
    CHECK(renewal != out.end());
    LoanRequest other = request(definition, 9);
    other.amount.rate = 1'000'000;
    const Allotment transferred = rates.onLoanRequest(other, renewing).amount;
    CHECK(transferred.rate > 0);
    answer(std::get<LoanRequest>(renewal->message), renewing);
    const Allotment held = rates.usage(small, start + milliseconds(5001)).borrowed;
    LONGS_EQUAL(4'000'000, held.rate + transferred.rate);
    LONGS_EQUAL(8'000'000, held.burst + transferred.burst);
}
