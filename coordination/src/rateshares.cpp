#include "endivequay/shares.h"

#include "millionths.h"

#include <algorithm>
#include <cmath>

namespace endivequay {

namespace {

using detail::million;
using detail::scaled;
using detail::toMillionths;
using detail::Wide;

// Lenders asked in one round: a request waits for two rounds, and a small team's tokens lie in one
// piece per domain.
constexpr std::size_t lendersPerRound = 4;

// Tokens that come in vain are lost for a while, so fewer lenders are asked for tokens alone.
constexpr std::size_t tokenLendersPerRound = 3;

// A single request is no reason to borrow rate for seconds.
constexpr double minSteadyEvents = 6;

// Demand covered by the tokens that an instance keeps or asks for: one and a half round trips
// between regions. More than that is missing elsewhere.
constexpr double coverSeconds = 0.06;

// A rest shorter than this is not worth passing on.
constexpr Interval minPassOnTerm = std::chrono::milliseconds(500);

// Rate wanted above the measured demand, because arrivals vary. The square root added to it covers
// two standard deviations of the arrivals in a second.
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
    return reducedBy(own(at) + borrowedAt(at), lentAt(at));
}

Allotment RateShares::Resource::cover(Instant now) const
{
    const Instant end = now + tokenLoanTerm + lenderMargin(tokenLoanTerm);
    return reducedBy(own(now) + borrowedAt(end), lentAt(now));
}

bool RateShares::Resource::canGive(const Borrowed &loan, const Allotment &part, Instant now) const
{
    const Instant end = now + tokenLoanTerm + lenderMargin(tokenLoanTerm);
    Allotment covering = own(now) + borrowedAt(end);
    if (loan.deadline > end)
        covering -= part;
    const Allotment lentNow = lentAt(now);
    return lowerOf(covering, lentNow) == lentNow;
}

Instant RateShares::Resource::nextChange(Instant at, Instant limit) const
{
    const auto consider = [&](Instant change) {
        if (change > at)
            limit = std::min(limit, change);
    };
    consider(usableUntil);
    consider(definitions.nextChange(at));
    for (const auto &[loanId, loan] : lent)
        consider(loan.deadline);
    for (const auto &[loanId, loan] : borrowed)
        consider(loan.deadline);
    return limit;
}

void RateShares::Resource::advance(Instant now)
{
    while (updatedAt < now) {
        // The limits are constant between two changes, so each piece is refilled at its own rate.
        const Instant until = nextChange(updatedAt, now);
        const Allotment limits = effective(updatedAt);
        const Wide gained = Wide { limits.rate } * (until - updatedAt).count() + remainder;
        const Wide filled = tokens + gained / 1'000'000'000;
        tokens = static_cast<std::int64_t>(std::min<Wide>(filled, limits.burst));
        remainder = tokens == limits.burst ? 0 : static_cast<std::int64_t>(gained % 1'000'000'000);
        updatedAt = until;
        clamp(until);
    }
    dropExpired(now);
}

void RateShares::Resource::clamp(Instant at)
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
    std::erase_if(answers, [&](const auto &entry) { return entry.second.keptUntil <= now; });
}

std::int64_t RateShares::Resource::demandRate(Instant now) const
{
    // The lower of both follows a fall at once and a rise only when it lasts.
    const double rate = std::min(demand.perSecond(now), steadyDemand.perSecond(now));
    return demand.idle(now) ? 0 : toMillionths(rate);
}

std::int64_t RateShares::Resource::wantedRate(Instant now) const
{
    const double demanded = static_cast<double>(demandRate(now)) / 1e6;
    if (demanded <= 0)
        return 0;
    // The missing tokens are to be refilled in a second, or other instances' full buckets would
    // waste their rate.
    const std::int64_t missing = effective(now).burst - tokens;
    return toMillionths(rateHeadroom * demanded + 2 * std::sqrt(demanded)) + missing;
}

std::int64_t RateShares::Resource::reserve(Instant now) const
{
    return toMillionths(static_cast<double>(demandRate(now)) / 1e6 * coverSeconds);
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

bool RateShares::Resource::surplusWithout(const Allotment &amount, Instant now) const
{
    if (demand.idle(now))
        return true;
    const Allotment limits = effective(now);
    const Allotment rest = reducedBy(limits, amount);
    return rest.rate >= wantedRate(now) * 5 / 4
        && scaled(tokens, rest.burst, limits.burst) >= 2 * reserve(now) + million;
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
        // Under a lower or differently divided limit the lender may no longer cover the loan.
        const bool covered = former && definition && former->domains == definition->domains
            && former->piecesPerDomain == definition->piecesPerDomain
            && lowerOf(former->total, definition->total) == former->total
            && rule != RaiseRule::AfterGap;
        if (!covered)
            resource.borrowed.clear();
        resource.clamp(now);
        if (definition)
            resource.lenders.setOwners(*definition, owners_, self_);
    }
    std::erase_if(resources_, [](const auto &entry) {
        const Resource &resource = entry.second;
        return resource.definitions.finished() && resource.lent.empty();
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
        resource.clamp(now);
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
    found->starved = found->tokens < needed;
    if (found->starved)
        return false;
    found->tokens -= needed;
    return true;
}

Instant RateShares::waitHint(const ResourceId &resource, RequestCount count, Instant now)
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
    const Wide nanoseconds = Wide { missing } * 1'000'000'000 / limits.rate + 1;
    return now + Interval(static_cast<Interval::rep>(nanoseconds));
}

std::vector<ShareOutgoing> RateShares::wantLoan(
    const ResourceId &resource, RequestCount waiting, Instant now)
{
    Resource *found = find(resource, now);
    if (!found || !found->definitions.current())
        return {};
    return startRound(*found, toMillionths(waiting.value()), now);
}

LoanRequest RateShares::requestFor(Resource &resource, Incarnation lender, Instant now)
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
    const bool lasting = resource.steadyDemand.perSecond(now) * 3 >= minSteadyEvents;
    const std::int64_t kept = lasting ? 2 * resource.reserve(now) + million : 0;
    const std::int64_t missingRate = lasting
        ? std::max<std::int64_t>(0, resource.wantedRate(now) - resource.effective(now).rate)
        : 0;
    const std::int64_t missingTokens = std::max<std::int64_t>(0, waiting + kept - resource.tokens);
    if (missingRate == 0 && missingTokens == 0)
        return {};

    if (const auto largest = resource.largestBorrower(now))
        resource.lenders.addHolder(*largest);
    const auto lenders = resource.lenders.startRound(
        lasting ? lendersPerRound : tokenLendersPerRound, now, suspects_);
    std::vector<ShareOutgoing> out;
    for (const Incarnation lender : lenders) {
        LoanRequest request = requestFor(resource, lender, now);
        // Each is asked for more than its part, because some have less to give.
        const auto parts = static_cast<std::int64_t>(lenders.size());
        request.amount.rate = std::min(missingRate, missingRate * 2 / parts);
        request.tokens = std::max(std::min(missingTokens, 2 * million), missingTokens * 2 / parts);
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
    if (const auto known = found->answers.find(request.id); known != found->answers.end())
        return known->second.reply;
    LoanReply reply = answer(*found, request, now);
    found->answers[request.id] = { reply, now + rateLoanTerm + lenderMargin(rateLoanTerm) };
    return reply;
}

LoanReply RateShares::answer(Resource &resource, const LoanRequest &request, Instant now)
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
        const Allotment spare = reducedBy(resource.own(now), resource.lentAt(now));
        if (spare.burst >= offer.amount.burst / 2 && spare.burst > 0)
            grantOwn(resource, offer, reply, now);
        else
            passOn(resource, offer, reply, now);
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
    if (resource.starved && !idle)
        return;
    const std::int64_t spare = std::max<std::int64_t>(0, resource.tokens - resource.reserve(now));
    // Half of the spare tokens, but a whole request if there is one.
    const std::int64_t given = idle ? spare : std::max(spare / 2, std::min(spare, million));
    reply.tokens
        = std::min({ std::max<std::int64_t>(0, request.tokens), given, resource.cover(now).burst });
    if (reply.tokens == 0)
        return;
    reply.amount = { 0, reply.tokens };
    reply.term = tokenLoanTerm;
    resource.lent[reply.id] = { reply.amount, now + tokenLoanTerm + lenderMargin(tokenLoanTerm) };
    resource.tokens -= reply.tokens;
    resource.clamp(now);
}

RateShares::Offer RateShares::offerFor(
    const Resource &resource, const LoanRequest &request, Instant now) const
{
    const Allotment limits = resource.effective(now);
    const bool idle = resource.demand.idle(now);
    if ((resource.starved && !idle) || limits.burst == 0)
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
    offer.amount.burst = std::max(tokens, scaled(limits.burst, rate, limits.rate));
    offer.amount.rate
        = std::max(rate, std::min(spareRate, scaled(limits.rate, tokens, limits.burst)));
    // A rest below one request helps nobody here.
    if (idle && limits.burst - offer.amount.burst < million)
        offer.amount = limits;
    offer.tokens = std::max(
        tokens, std::min(spareTokens, scaled(resource.tokens, offer.amount.burst, limits.burst)));
    return offer;
}

void RateShares::grantOwn(Resource &resource, const Offer &offer, LoanReply &reply, Instant now)
{
    reply.amount = lowerOf(offer.amount, reducedBy(resource.own(now), resource.lentAt(now)));
    reply.tokens = std::min(offer.tokens, reply.amount.burst);
    reply.term = rateLoanTerm;
    resource.lent[reply.id] = { reply.amount, now + rateLoanTerm + lenderMargin(rateLoanTerm) };
    resource.tokens -= reply.tokens;
    resource.clamp(now);
}

void RateShares::passOn(Resource &resource, const Offer &offer, LoanReply &reply, Instant now)
{
    // The part passed on leaves this instance for good. The receiver's deadline counts from before
    // its request arrived here, so it is the earlier one.
    const auto largest = std::ranges::max_element(resource.borrowed, {}, [&](const auto &entry) {
        const Borrowed &loan = entry.second;
        return loan.deadline - now > minPassOnTerm ? loan.amount.rate : -1;
    });
    if (largest == resource.borrowed.end() || largest->second.deadline - now <= minPassOnTerm)
        return;
    Borrowed &loan = largest->second;
    const Allotment part = lowerOf(offer.amount, loan.amount);
    if (part.burst == 0 || !resource.canGive(loan, part, now))
        return;
    loan.amount -= part;
    reply.amount = part;
    reply.origin = loan.origin;
    reply.tokens = std::min(offer.tokens, part.burst);
    reply.term = loan.deadline - now - lenderMargin(rateLoanTerm);
    if (loan.amount == Allotment())
        resource.borrowed.erase(largest);
    resource.tokens -= reply.tokens;
    resource.clamp(now);
}

bool RateShares::fitsWithin(const CellSet &cells, Instant now)
{
    return std::ranges::all_of(resources_, [&](auto &entry) {
        Resource &resource = entry.second;
        resource.advance(now);
        const Allotment lent = resource.lentAt(now);
        return lent == Allotment()
            || lowerOf(lent, resource.definitions.lowestOf(cells, now).first) == lent;
    });
}

RateAccount RateShares::account(const ResourceId &resource, Instant now)
{
    const Resource *found = find(resource, now);
    if (!found)
        return {};
    return { found->own(now), found->lentAt(now), found->borrowedAt(now), found->effective(now),
        found->tokens, found->demand.perSecond(now) };
}

} // namespace endivequay
