#include "endivequay/shares.h"

#include <algorithm>

namespace endivequay {

namespace {

void append(std::vector<ShareOutgoing> &out, std::vector<ShareOutgoing> more)
{
    std::ranges::move(more, std::back_inserter(out));
}

} // namespace

InstanceShares::InstanceShares(FailureDomainId domain, Incarnation self, Instant now)
    : domain_(std::move(domain))
    , self_(self)
    , owner_(domain_, self, now)
    , rates_(self, domain_)
    , slots_(self, domain_)
{
    updateCells(now);
}

void InstanceShares::define(
    const std::vector<ResourceDefinition> &definitions, Instant now, RaiseRule rule)
{
    rates_.define(definitions, now, rule);
    slots_.define(definitions, now, rule);
}

void InstanceShares::applyLedger(const LedgerSnapshot &snapshot, Instant readStartedAt, Instant now)
{
    const Revision former = owner_.revision();
    if (!owner_.applyLedger(snapshot, readStartedAt))
        return;
    updateCells(now);
    if (owner_.revision() != former)
        updateOwners();
}

void InstanceShares::setOtherOwners(std::vector<DomainOwners> domains)
{
    others_ = std::move(domains);
    updateOwners();
}

void InstanceShares::updateOwners()
{
    std::vector<DomainOwners> owners { { domain_, owner_.ledger() } };
    std::ranges::copy(others_, std::back_inserter(owners));
    slots_.setOwners(owners);
    rates_.setOwners(std::move(owners));
}

void InstanceShares::setSuspects(const std::set<Incarnation> &suspects)
{
    rates_.setSuspects(suspects);
    slots_.setSuspects(suspects);
}

void InstanceShares::leave(Instant now)
{
    owner_.leave();
    updateCells(now);
}

void InstanceShares::updateCells(Instant now)
{
    const CellSet cells = owner_.usableCells(now);
    rates_.setCells(cells, owner_.usableUntil(), now);
    slots_.setCells(cells, owner_.usableUntil(), now);
}

std::vector<ShareOutgoing> InstanceShares::reportCells(
    Instant now, std::optional<Incarnation> keeper)
{
    // The tick extends the time for which the cells are usable. The token buckets must have
    // advanced past the previous end before that.
    updateCells(now);
    auto out = owner_.tick(now, keeper, [&](const CellSet &cells) {
        return rates_.fitsWithin(cells, now) && slots_.fitsWithin(cells, now);
    });
    updateCells(now);
    return out;
}

std::vector<ShareOutgoing> InstanceShares::onMessage(
    Incarnation from, const ShareMessage &message, Instant now)
{
    if (const auto *release = std::get_if<CellRelease>(&message)) {
        owner_.onCellRelease(*release);
        return reportCells(now, std::nullopt);
    }
    if (const auto *request = std::get_if<LoanRequest>(&message)) {
        const bool counted = slots_.has(request->resource);
        return { { from,
            counted ? slots_.onLoanRequest(*request, now) : rates_.onLoanRequest(*request, now) } };
    }
    if (const auto *reply = std::get_if<LoanReply>(&message)) {
        rates_.onLoanReply(*reply, now);
        slots_.onLoanReply(*reply, now);
    }
    if (const auto *loan = std::get_if<LoanReturn>(&message)) {
        rates_.onLoanReturn(*loan, now);
        slots_.onLoanReturn(*loan, now);
    }
    return {};
}

std::vector<ShareOutgoing> InstanceShares::tick(Instant now, std::optional<Incarnation> keeper)
{
    std::vector<ShareOutgoing> out = reportCells(now, keeper);
    append(out, rates_.tick(now));
    append(out, slots_.tick(now));
    return out;
}

} // namespace endivequay
