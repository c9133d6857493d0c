#include "endivequay/shares.h"

#include "millionths.h"

#include <algorithm>
#include <cmath>

namespace endivequay {

namespace {

using detail::millionthsPerRequest;
using detail::mulDiv;
using detail::toMillionths;
using detail::WideInt;

// Lenders asked in one round. A request waits for two rounds (100 ms / 50 ms, see maxLoanWait and
// loanRoundInterval), and a small team has only one piece with tokens per domain.
constexpr std::size_t lendersPerRound = 4;

// Lenders asked for tokens alone: fewer, because borrowed tokens that turn out not to be needed are
// unavailable elsewhere for a while.
constexpr std::size_t tokenLendersPerRound = 3;

// Demand below this many requests in 3 s is too little to borrow rate for seconds; it is met with
// loans of tokens.
constexpr double minSustainedRequests = 6;

// The tokens that an instance reserves cover its demand for this long: one and a half round trips
// between regions. More would be missing in other instances.
constexpr double reserveSeconds = 0.06;

// A part of a loan with less of its term left than this is not worth transferring.
constexpr Interval minTransferTerm = std::chrono::milliseconds(500);

// Factor on the measured demand, because arrivals vary. wantedRate() also adds two standard
// deviations of the arrivals in a second.
constexpr double rateHeadroom = 1.2;

} // namespace

Allotment RateShares::Resource::own(Instant at) const
{
    return at < usableUntil ? definitions.allotmentAt(at) : Allotment();
}

Allotment RateShares::Resource::lentAt(Instant at) const
{
    Allotment sum;
    for (const auto &[loanId, loan] : lent) {
        if (loan.deadline > at)
            sum += loan.amount;
    }
    return sum;
}

Allotment RateShares::Resource::borrowedAt(Instant at) const
{
    Allotment sum;
    for (const auto &[loanId, loan] : borrowed) {
        if (loan.deadline > at)
            sum += loan.amount;
    }
    return sum;
}

Allotment RateShares::Resource::effective(Instant at) const
{
    return saturatingSubtract(own(at) + borrowedAt(at), lentAt(at));
}

Allotment RateShares::Resource::tokenLoanCapacity(Instant now) const
{
    const Instant end = now + tokenLoanTerm + lenderMargin(tokenLoanTerm);
    return saturatingSubtract(own(now) + borrowedAt(end), lentAt(now));
}

bool RateShares::Resource::lentCoveredWithout(
    const Borrowed &loan, const Allotment &part, Instant now) const
{
    const Instant end = now + tokenLoanTerm + lenderMargin(tokenLoanTerm);
    Allotment covering = own(now) + borrowedAt(end);
    if (loan.deadline > end)
        covering -= part;
    const Allotment lentNow = lentAt(now);
    return memberwiseMin(covering, lentNow) == lentNow;
}

Instant RateShares::Resource::nextLimitChange(Instant at, Instant limit) const
{
    const auto consider = [&](Instant change) {
        if (change > at)
            limit = std::min(limit, change);
    };
    consider(usableUntil);
    consider(definitions.nextLimitChange(at));
    for (const auto &[loanId, loan] : lent)
        consider(loan.deadline);
    for (const auto &[loanId, loan] : borrowed)
        consider(loan.deadline);
    return limit;
}

void RateShares::Resource::advance(Instant now)
{
    while (updatedAt < now) {
        // The limits are constant between two changes, so refill each of these periods at its rate.
        const Instant until = nextLimitChange(updatedAt, now);
        const Allotment limits = effective(updatedAt);
        const WideInt refill = WideInt { limits.rate } * (until - updatedAt).count() + remainder;
        const WideInt refilled = tokens + refill / 1'000'000'000;
        tokens = static_cast<std::int64_t>(std::min<WideInt>(refilled, limits.burst));
        remainder = tokens == limits.burst ? 0 : static_cast<std::int64_t>(refill % 1'000'000'000);
        updatedAt = until;
        clampTokens(until);
    }
    dropExpired(now);
}

void RateShares::Resource::clampTokens(Instant at)
{
    const std::int64_t burst = effective(at).burst;
    if (tokens >= burst) {
        tokens = burst;
        remainder = 0;
    }
}

void RateShares::Resource::dropExpired(Instant now)
{
    definitions.expire(now);
    std::erase_if(lent, [&](const auto &entry) { return entry.second.deadline <= now; });
    std::erase_if(borrowed, [&](const auto &entry) { return entry.second.deadline <= now; });
    std::erase_if(
        pending, [&](const auto &entry) { return entry.second.sentAt + rateLoanTerm <= now; });
    std::erase_if(cachedReplies, [&](const auto &entry) { return entry.second.expiresAt <= now; });
}

std::int64_t RateShares::Resource::demandRate(Instant now) const
{
    // The lower estimate follows a drop at once, but an increase only if it lasts.
    const double rate = std::min(demand.perSecond(now), steadyDemand.perSecond(now));
    return demand.idle(now) ? 0 : toMillionths(rate);
}

std::int64_t RateShares::Resource::wantedRate(Instant now) const
{
    const double demanded = static_cast<double>(demandRate(now)) / 1e6;
    if (demanded <= 0)
        return 0;
    // The rate should refill the missing tokens within a second. Otherwise rate is wasted in the
    // full buckets of other instances.
    const std::int64_t missing = effective(now).burst - tokens;
    return toMillionths(rateHeadroom * demanded + 2 * std::sqrt(demanded)) + missing;
}

std::int64_t RateShares::Resource::reserve(Instant now) const
{
    return toMillionths(static_cast<double>(demandRate(now)) / 1e6 * reserveSeconds);
}

std::optional<Incarnation> RateShares::Resource::largestBorrower(Instant now) const
{
    std::map<Incarnation, std::int64_t> sums;
    for (const auto &[loanId, loan] : lent) {
        if (loan.deadline > now)
            sums[loanId.borrower] += loan.amount.burst;
    }
    const auto largest
        = std::ranges::max_element(sums, {}, [](const auto &sum) { return sum.second; });
    if (largest == sums.end() || largest->second == 0)
        return std::nullopt;
    return largest->first;
}

bool RateShares::Resource::hasSurplusWithout(const Allotment &amount, Instant now) const
{
    if (demand.idle(now))
        return true;
    const Allotment limits = effective(now);
    const Allotment rest = saturatingSubtract(limits, amount);
    return rest.rate >= wantedRate(now) * 5 / 4
        && mulDiv(tokens, rest.burst, limits.burst) >= 2 * reserve(now) + millionthsPerRequest;
}

RateShares::RateShares(Incarnation self, FailureDomainId domain)
    : self_(self)
    , domain_(std::move(domain))
{ }

RateShares::Resource *RateShares::find(const ResourceId &resource, Instant now)
{
    const auto found = resources_.find(resource);
    if (found == resources_.end())
        return nullptr;
    found->second.advance(now);
    return &found->second;
}

void RateShares::define(
    const std::vector<ResourceDefinition> &definitions, Instant now, RaiseRule rule)
{
    std::map<ResourceId, std::optional<ResourceDefinition>> next;
    for (const auto &[id, resource] : resources_)
        next[id] = std::nullopt;
    for (const ResourceDefinition &definition : definitions) {
        if (definition.kind == ResourceKind::Rate)
            next[definition.id] = definition;
    }
    for (const auto &[id, definition] : next) {
        Resource &resource = resources_[id];
        resource.id = id;
        resource.advance(now);
        resource.usableUntil = usableUntil_;
        const std::optional<ResourceDefinition> former = resource.definitions.current();
        if (!resource.definitions.adopt(definition, now, rateRaiseDelay, rule))
            continue;
        resource.definitions.setCells(domain_, cells_);
        // If the limit is lower or divided differently, the lender may no longer cover the loan.
        const bool loansCovered = former && definition && former->domains == definition->domains
            && former->piecesPerDomain == definition->piecesPerDomain
            && memberwiseMin(former->total, definition->total) == former->total
            && rule != RaiseRule::AfterGap;
        if (!loansCovered)
            resource.borrowed.clear();
        resource.clampTokens(now);
        if (definition)
            resource.lenders.setOwners(*definition, owners_, self_);
    }
    std::erase_if(resources_, [](const auto &entry) {
        const Resource &resource = entry.second;
        return resource.definitions.isObsolete() && resource.lent.empty();
    });
}

void RateShares::setCells(const CellSet &cells, Instant usableUntil, Instant now)
{
    const bool changed = cells != cells_;
    cells_ = cells;
    usableUntil_ = usableUntil;
    for (auto &[resourceId, resource] : resources_) {
        resource.advance(now);
        resource.usableUntil = usableUntil;
        if (!changed)
            continue;
        resource.definitions.setCells(domain_, cells);
        resource.clampTokens(now);
    }
}

void RateShares::setOwners(std::vector<DomainOwners> domains)
{
    owners_ = std::move(domains);
    for (auto &[resourceId, resource] : resources_) {
        if (const auto &definition = resource.definitions.current())
            resource.lenders.setOwners(*definition, owners_, self_);
    }
}

bool RateShares::tryAcquire(
    const ResourceId &resource, RequestCount count, Instant now, Attempt attempt)
{
    Resource *found = find(resource, now);
    if (!found)
        return false;
    if (attempt == Attempt::First) {
        found->demand.add(count.value(), now);
        found->steadyDemand.add(count.value(), now);
    }
    const auto needed = static_cast<std::int64_t>(std::ceil(count.value() * 1e6));
    found->lastAcquireFailed = found->tokens < needed;
    if (found->lastAcquireFailed)
        return false;
    found->tokens -= needed;
    return true;
}

Instant RateShares::nextAvailableAt(const ResourceId &resource, RequestCount count, Instant now)
{
    Resource *found = find(resource, now);
    if (!found)
        return Instant::max();
    const std::int64_t needed = toMillionths(count.value());
    const std::int64_t missing = needed - found->tokens;
    if (missing <= 0)
        return now;
    const Allotment limits = found->effective(now);
    if (limits.rate == 0 || limits.burst < needed)
        return Instant::max();
    const WideInt nanoseconds = WideInt { missing } * 1'000'000'000 / limits.rate + 1;
    return now + Interval(static_cast<Interval::rep>(nanoseconds));
}

std::vector<ShareOutgoing> RateShares::requestLoans(
    const ResourceId &resource, RequestCount waiting, Instant now)
{
    Resource *found = find(resource, now);
    if (!found || !found->definitions.current())
        return {};
    return startRound(*found, toMillionths(waiting.value()), now);
}

LoanRequest RateShares::createRequest(Resource &resource, Incarnation lender, Instant now)
{
    const LoanId id { self_, ++lastSequence_ };
    resource.pending[id] = { lender, now, std::nullopt };
    LoanRequest request;
    request.id = id;
    request.resource = resource.id;
    request.definition = resource.definitions.currentDigest();
    return request;
}

std::vector<ShareOutgoing> RateShares::startRound(
    Resource &resource, std::int64_t waiting, Instant now)
{
    const bool sustained = resource.steadyDemand.perSecond(now) * 3 >= minSustainedRequests;
    const std::int64_t targetTokens
        = sustained ? 2 * resource.reserve(now) + millionthsPerRequest : 0;
    const std::int64_t missingRate = sustained
        ? std::max<std::int64_t>(0, resource.wantedRate(now) - resource.effective(now).rate)
        : 0;
    const std::int64_t missingTokens
        = std::max<std::int64_t>(0, waiting + targetTokens - resource.tokens);
    if (missingRate == 0 && missingTokens == 0)
        return {};

    if (const auto largest = resource.largestBorrower(now))
        resource.lenders.addHolder(*largest);
    const auto lenders = resource.lenders.startRound(
        sustained ? lendersPerRound : tokenLendersPerRound, now, suspects_);
    std::vector<ShareOutgoing> out;
    for (const Incarnation lender : lenders) {
        LoanRequest request = createRequest(resource, lender, now);
        // Ask each lender for up to twice its part, because some have less to spare.
        const auto parts = static_cast<std::int64_t>(lenders.size());
        request.amount.rate = std::min(missingRate, missingRate * 2 / parts);
        request.tokens = std::max(
            std::min(missingTokens, 2 * millionthsPerRequest), missingTokens * 2 / parts);
        out.push_back({ lender, request });
    }
    return out;
}

LoanReply RateShares::onLoanRequest(const LoanRequest &request, Instant now)
{
    Resource *found = find(request.resource, now);
    if (!found) {
        LoanReply none;
        none.id = request.id;
        none.resource = request.resource;
        none.lender = self_;
        return none;
    }
    if (const auto known = found->cachedReplies.find(request.id);
        known != found->cachedReplies.end())
        return known->second.reply;
    LoanReply reply = replyTo(*found, request, now);
    found->cachedReplies[request.id] = { reply, now + rateLoanTerm + lenderMargin(rateLoanTerm) };
    return reply;
}

LoanReply RateShares::replyTo(Resource &resource, const LoanRequest &request, Instant now)
{
    LoanReply reply;
    reply.id = request.id;
    reply.resource = request.resource;
    reply.lender = self_;
    reply.definition = resource.definitions.currentDigest();
    if (!resource.definitions.current() || request.definition != reply.definition)
        return reply;
    if (request.renews) {
        renew(resource, request, reply, now);
        return reply;
    }
    if (request.amount != Allotment()) {
        const Offer offer = offerFor(resource, request, now);
        const Allotment spare = saturatingSubtract(resource.own(now), resource.lentAt(now));
        if (spare.burst >= offer.amount.burst / 2 && spare.burst > 0)
            lendOwn(resource, offer, reply, now);
        else
            transferBorrowed(resource, offer, reply, now);
    }
    if (reply.amount.burst == 0)
        lendTokens(resource, request, reply, now);
    const auto largest = resource.largestBorrower(now);
    if (reply.tokens < request.tokens && largest && *largest != request.id.borrower)
        reply.holder = largest;
    return reply;
}

void RateShares::lendTokens(
    Resource &resource, const LoanRequest &request, LoanReply &reply, Instant now)
{
    const bool idle = resource.demand.idle(now);
    if (resource.lastAcquireFailed && !idle)
        return;
    const std::int64_t spare = std::max<std::int64_t>(0, resource.tokens - resource.reserve(now));
    // Half of the spare tokens, but at least one token if there is one.
    const std::int64_t given
        = idle ? spare : std::max(spare / 2, std::min(spare, millionthsPerRequest));
    reply.tokens = std::min({ std::max<std::int64_t>(0, request.tokens), given,
        resource.tokenLoanCapacity(now).burst });
    if (reply.tokens == 0)
        return;
    reply.amount = { 0, reply.tokens };
    reply.term = tokenLoanTerm;
    resource.lent[reply.id] = { reply.amount, now + tokenLoanTerm + lenderMargin(tokenLoanTerm) };
    resource.tokens -= reply.tokens;
    resource.clampTokens(now);
}

RateShares::Offer RateShares::offerFor(
    const Resource &resource, const LoanRequest &request, Instant now) const
{
    const Allotment limits = resource.effective(now);
    const bool idle = resource.demand.idle(now);
    if ((resource.lastAcquireFailed && !idle) || limits.burst == 0)
        return {};
    const int divisor = idle ? 1 : 2;
    const auto needed
        = static_cast<std::int64_t>(rateHeadroom * static_cast<double>(resource.demandRate(now)));
    const std::int64_t spareRate = std::max<std::int64_t>(0, limits.rate - needed) / divisor;
    const std::int64_t spareTokens
        = std::max<std::int64_t>(0, resource.tokens - resource.reserve(now)) / divisor;
    const std::int64_t rate = std::min(std::max<std::int64_t>(0, request.amount.rate), spareRate);
    const std::int64_t tokens = std::min(std::max<std::int64_t>(0, request.tokens), spareTokens);

    Offer offer;
    offer.amount.burst = std::max(tokens, mulDiv(limits.burst, rate, limits.rate));
    offer.amount.rate
        = std::max(rate, std::min(spareRate, mulDiv(limits.rate, tokens, limits.burst)));
    // Less than one request left over is of no use here, so an idle instance gives everything.
    if (idle && limits.burst - offer.amount.burst < millionthsPerRequest)
        offer.amount = limits;
    offer.tokens = std::max(
        tokens, std::min(spareTokens, mulDiv(resource.tokens, offer.amount.burst, limits.burst)));
    return offer;
}

void RateShares::lendOwn(Resource &resource, const Offer &offer, LoanReply &reply, Instant now)
{
    reply.amount
        = memberwiseMin(offer.amount, saturatingSubtract(resource.own(now), resource.lentAt(now)));
    reply.tokens = std::min(offer.tokens, reply.amount.burst);
    reply.term = rateLoanTerm;
    resource.lent[reply.id] = { reply.amount, now + rateLoanTerm + lenderMargin(rateLoanTerm) };
    resource.tokens -= reply.tokens;
    resource.clampTokens(now);
}

void RateShares::transferBorrowed(
    Resource &resource, const Offer &offer, LoanReply &reply, Instant now)
{
    // The transferred part doesn't come back to this instance. The receiver's deadline is earlier
    // than the one here, because its term counts from when it sent the request.
    const auto largest = std::ranges::max_element(resource.borrowed, {}, [&](const auto &entry) {
        const Borrowed &loan = entry.second;
        return loan.deadline - now > minTransferTerm ? loan.amount.rate : -1;
    });
    if (largest == resource.borrowed.end() || largest->second.deadline - now <= minTransferTerm)
        return;
    Borrowed &loan = largest->second;
    const Allotment part = memberwiseMin(offer.amount, loan.amount);
    if (part.burst == 0 || !resource.lentCoveredWithout(loan, part, now))
        return;
    loan.amount -= part;
    reply.amount = part;
    reply.origin = loan.origin;
    reply.tokens = std::min(offer.tokens, part.burst);
    reply.term = loan.deadline - now - lenderMargin(rateLoanTerm);
    if (loan.amount == Allotment())
        resource.borrowed.erase(largest);
    resource.tokens -= reply.tokens;
    resource.clampTokens(now);
}

bool RateShares::fitsWithin(const CellSet &cells, Instant now)
{
    return std::ranges::all_of(resources_, [&](auto &entry) {
        Resource &resource = entry.second;
        resource.advance(now);
        const Allotment lent = resource.lentAt(now);
        return lent == Allotment()
            || memberwiseMin(lent, resource.definitions.lowestFor(cells, now).first) == lent;
    });
}

RateUsage RateShares::usage(const ResourceId &resource, Instant now)
{
    const Resource *found = find(resource, now);
    if (!found)
        return {};
    return { found->own(now), found->lentAt(now), found->borrowedAt(now), found->effective(now),
        found->tokens, found->demand.perSecond(now) };
}

} // namespace endivequay
