// Two instances share the limit of one team on a clock that the example advances explicitly.
// docs/embedding.md explains the steps.

#include "endivequay/shares.h"

#include <cstdio>
#include <variant>

namespace {

using namespace endivequay;
using namespace std::chrono_literals;

const ResourceId desk("team/desk");
const RequestRate rate(10);
const RequestCount burst(16);

/// Ledger of a failure domain with one instance, which owns all cells.
DomainOwners ownedBy(Incarnation owner, const char *domain, const char *address)
{
    CellLedger ledger { FailureDomainId(domain) };
    ledger.assign(CellSet().set(), owner, { Address(address), true });
    return { FailureDomainId(domain), ledger };
}

int takeAll(RateShares &shares, Instant now)
{
    int admitted = 0;
    while (shares.tryAcquire(desk, RequestCount(1), now))
        ++admitted;
    return admitted;
}

/// Asks \a lender for tokens and delivers its answer, as a transport would.
void borrow(RateShares &borrower, RateShares &lender, Instant now)
{
    for (const ShareOutgoing &outgoing : borrower.requestLoans(desk, RequestCount(4), now)) {
        if (const auto *request = std::get_if<LoanRequest>(&outgoing.message))
            borrower.onLoanReply(lender.onLoanRequest(*request, now), now);
    }
}

} // namespace

int main()
{
    ManualClock clock;
    const Instant start = clock.now();
    const Incarnation first(1);
    const Incarnation second(2);
    const DomainOwners gulfA = ownedBy(first, "gulf-a", "10.0.0.1:8400");
    const DomainOwners gulfB = ownedBy(second, "gulf-b", "10.0.0.2:8400");

    RateShares a(first, gulfA.domain);
    RateShares b(second, gulfB.domain);
    const auto limit = ResourceDefinition::team(desk, rate, burst, { gulfA.domain, gulfB.domain });
    for (RateShares *shares : { &a, &b }) {
        shares->define({ limit }, start, RaiseRule::Immediate);
        shares->setCells(CellSet().set(), start + 1h, start);
    }
    a.setOwners({ gulfA, gulfB });
    b.setOwners({ gulfB, gulfA });

    int admitted = takeAll(a, clock.now());
    std::printf("a new bucket is empty: %d admitted\n", admitted);
    clock.advance(2s);
    const int own = takeAll(a, clock.now());
    std::printf("a admits %d of its own share\n", own);
    borrow(a, b, clock.now());
    const int borrowed = takeAll(a, clock.now());
    std::printf("a admits %d more with a loan of b\n", borrowed);
    const int rest = takeAll(b, clock.now());
    std::printf("b admits %d with what is left\n", rest);
    admitted += own + borrowed + rest;

    const double seconds = toSeconds(clock.now() - start);
    const double allowed = burst.value() + rate.value() * seconds;
    std::printf("%d admitted, %.0f allowed in %.0f s\n", admitted, allowed, seconds);
    return borrowed > 0 && admitted <= allowed ? 0 : 1;
}
