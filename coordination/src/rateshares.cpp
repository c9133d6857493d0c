#include "endivequay/shares.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace endivequay {

namespace {

__extension__ using Wide = __int128;

constexpr std::int64_t million = 1'000'000;

// Lenders asked in one round: a request waits for two rounds, and a small team's tokens lie in one
// piece per domain.
constexpr std::size_t lendersPerRound = 4;

// Demand covered by the tokens that an instance keeps or asks for: two round trips between regions.
constexpr double coverSeconds = 0.1;

// Below this rest a loan is renewed: the renewal and one repetition fit in.
constexpr Interval renewBefore = std::chrono::milliseconds(1500);
constexpr Interval renewRepeat = std::chrono::milliseconds(600);

// Loans are not returned at once, because the demand that they were for is not measured yet.
constexpr Interval minHolding = std::chrono::milliseconds(300);

// A rest shorter than this is not worth passing on.
constexpr Interval minPassOnTerm = std::chrono::milliseconds(500);

// Rate wanted above the measured demand, because arrivals vary.
constexpr double rateHeadroom = 1.2;

std::int64_t toMillionths(double amount)
{
    return static_cast<std::int64_t>(std::llround(amount * 1e6));
}

std::int64_t scaled(std::int64_t amount, std::int64_t part, std::int64_t whole)
{
    return whole == 0 ? 0 : static_cast<std::int64_t>(Wide { amount } * part / whole);
}

} // namespace

Allotment RateShares::Resource::own(Instant at) const
{
    return at < usableUntil ? definitions.allotmentAt(at) : Allotment();
}

Allotment RateShares::Resource::lentAt(Instant at) const
{
    Allotment sum;
    for (const Lent &loan : lent | std::views::values) {
        if (loan.deadline > at)
            sum += loan.amount;
    }
    return sum;
}

Allotment RateShares::Resource::borrowedAt(Instant at) const
{
    Allotment sum;
    for (const Borrowed &loan : borrowed | std::views::values) {
        if (loan.deadline > at)
            sum += loan.amount;
    }
    return sum;
}

Allotment RateShares::Resource::effective(Instant at) const
{
    return reducedBy(own(at), lentAt(at)) + borrowedAt(at);
}

Instant RateShares::Resource::nextChange(Instant at, Instant limit) const
{
    const auto consider = [&](Instant change) {
        if (change > at)
            limit = std::min(limit, change);
    };
    consider(usableUntil);
    consider(definitions.nextChange(at));
    for (const Lent &loan : lent | std::views::values)
        consider(loan.deadline);
    for (const Borrowed &loan : borrowed | std::views::values)
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
    return demand.idle(now) ? 0 : toMillionths(demand.perSecond(now));
}

std::int64_t RateShares::Resource::reserve(Instant now) const
{
    return toMillionths(static_cast<double>(demandRate(now)) / 1e6 * coverSeconds);
}

bool RateShares::Resource::surplusWithout(const Allotment &amount, Instant now) const
{
    if (demand.idle(now))
        return true;
    const Allotment limits = effective(now);
    const Allotment rest = reducedBy(limits, amount);
    const auto wanted = 1.5 * static_cast<double>(demandRate(now));
    return static_cast<double>(rest.rate) >= wanted
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
    for (const ResourceId &id : resources_ | std::views::keys)
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
    for (Resource &resource : resources_ | std::views::values) {
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
    for (Resource &resource : resources_ | std::views::values) {
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
    if (attempt == Attempt::First)
        found->demand.add(count.value(), now);
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
    const auto lenders = resource.lenders.startRound(lendersPerRound, now, suspects_);
    const std::int64_t demand = resource.demandRate(now);
    const auto wantedRate = static_cast<std::int64_t>(rateHeadroom * static_cast<double>(demand));
    const std::int64_t missingRate
        = std::max<std::int64_t>(0, wantedRate - resource.effective(now).rate);
    const std::int64_t missingTokens
        = std::max(million, waiting + 2 * resource.reserve(now) - resource.tokens);
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
    const LoanReply reply = answer(*found, request, now);
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
    const Offer offer = offerFor(resource, request, now);
    const Allotment spare = reducedBy(resource.own(now), resource.lentAt(now));
    if (spare.burst >= offer.amount.burst / 2 && spare.burst > 0)
        grantOwn(resource, offer, reply, now);
    else
        passOn(resource, offer, reply, now);
    if (reply.amount.burst > 0 || resource.lent.empty())
        return reply;
    const auto largest = std::ranges::max_element(
        resource.lent, {}, [](const auto &entry) { return entry.second.amount.burst; });
    if (largest->first.borrower != request.id.borrower)
        reply.holder = largest->first.borrower;
    return reply;
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
    // The part passed on leaves this instance for good: it goes back to the lender at the end. The
    // receiver's deadline counts from before the request arrived here, so it is the earlier one.
    Allotment left = offer.amount;
    Instant end = now + rateLoanTerm;
    for (auto &[id, loan] : resource.borrowed) {
        if (loan.deadline - now <= minPassOnTerm || left.burst == 0)
            continue;
        const Allotment part = lowerOf(left, loan.amount);
        loan.amount -= part;
        left -= part;
        reply.amount += part;
        end = std::min(end, loan.deadline);
    }
    std::erase_if(
        resource.borrowed, [](const auto &entry) { return entry.second.amount == Allotment(); });
    reply.tokens = std::min(offer.tokens, reply.amount.burst);
    reply.term = std::max(Interval(0), end - now - lenderMargin(rateLoanTerm));
    resource.tokens -= reply.tokens;
    resource.clamp(now);
}

void RateShares::renew(
    Resource &resource, const LoanRequest &request, LoanReply &reply, Instant now)
{
    const auto former = resource.lent.find(*request.renews);
    const Allotment own = resource.own(now);
    const bool covered = lowerOf(own, resource.lentAt(now)) == resource.lentAt(now);
    const bool starved = resource.starved && !resource.demand.idle(now);
    if (former == resource.lent.end() || former->first.borrower != request.id.borrower || !covered
        || starved)
        return;
    // What the borrower passed on stays lent until the former deadline.
    reply.amount = lowerOf(request.amount, former->second.amount);
    reply.term = rateLoanTerm;
    former->second.amount -= reply.amount;
    resource.lent[reply.id] = { reply.amount, now + rateLoanTerm + lenderMargin(rateLoanTerm) };
}

bool RateShares::onLoanReply(const LoanReply &reply, Instant now)
{
    Resource *found = find(reply.resource, now);
    if (!found)
        return false;
    const auto pending = found->pending.find(reply.id);
    if (pending == found->pending.end() || pending->second.lender != reply.lender)
        return false;
    const Pending sent = pending->second;
    found->pending.erase(pending);
    const bool granted = reply.amount.burst > 0 || reply.amount.rate > 0;
    if (!sent.renews)
        found->lenders.onReply(reply, granted, self_, now);
    const Instant deadline = sent.sentAt + std::min(reply.term, rateLoanTerm);
    if (!granted || deadline <= now || reply.definition != found->definitions.currentDigest())
        return false;

    const Borrowed loan { reply.lender, reply.amount, now, deadline, deadline - renewBefore };
    if (sent.renews) {
        takeRenewal(*found, *sent.renews, reply, loan);
        return false;
    }
    found->borrowed[reply.id] = loan;
    found->tokens += std::min(reply.tokens, reply.amount.burst);
    found->clamp(now);
    return reply.tokens > 0;
}

void RateShares::takeRenewal(
    Resource &resource, const LoanId &old, const LoanReply &reply, Borrowed loan)
{
    const auto former = resource.borrowed.find(old);
    if (former == resource.borrowed.end())
        return;
    // Parts of the former loan may have been passed on since the request was sent.
    loan.amount = lowerOf(loan.amount, former->second.amount);
    loan.receivedAt = former->second.receivedAt;
    former->second.amount -= loan.amount;
    if (former->second.amount == Allotment())
        resource.borrowed.erase(former);
    resource.borrowed[reply.id] = loan;
}

void RateShares::onLoanReturn(const LoanReturn &loan, Instant now)
{
    Resource *found = find(loan.resource, now);
    if (!found)
        return;
    const auto lent = found->lent.find(loan.id);
    if (lent == found->lent.end() || std::exchange(lent->second.returned, true))
        return;
    // What the borrower passed on stays lent until the deadline.
    const Allotment returned = lowerOf(loan.amount, lent->second.amount);
    lent->second.amount -= returned;
    found->tokens += std::min(loan.tokens, returned.burst);
    found->clamp(now);
}

void RateShares::renewLoans(Resource &resource, Instant now, std::vector<ShareOutgoing> &out)
{
    for (auto &[id, loan] : resource.borrowed) {
        if (now < loan.renewAt || resource.surplusWithout(loan.amount, now))
            continue;
        loan.renewAt = now + renewRepeat;
        LoanRequest request = requestFor(resource, loan.lender, now);
        resource.pending[request.id].renews = id;
        request.renews = id;
        request.amount = loan.amount;
        out.push_back({ loan.lender, request });
    }
}

void RateShares::returnLoans(Resource &resource, Instant now, std::vector<ShareOutgoing> &out)
{
    const auto unneeded = [&](const auto &entry) {
        return now - entry.second.receivedAt >= minHolding
            && resource.surplusWithout(entry.second.amount, now);
    };
    // One at a time, because each changes what is surplus.
    const auto found = std::ranges::find_if(resource.borrowed, unneeded);
    if (found == resource.borrowed.end())
        return;
    const auto [id, loan] = *found;
    const Allotment limits = resource.effective(now);
    const std::int64_t tokens
        = std::min(loan.amount.burst, scaled(resource.tokens, loan.amount.burst, limits.burst));
    resource.borrowed.erase(found);
    resource.tokens -= tokens;
    resource.clamp(now);
    out.push_back({ loan.lender, LoanReturn { id, resource.id, loan.amount, tokens, 0 } });
}

std::vector<ShareOutgoing> RateShares::tick(Instant now)
{
    std::vector<ShareOutgoing> out;
    for (Resource &resource : resources_ | std::views::values) {
        resource.advance(now);
        renewLoans(resource, now, out);
        returnLoans(resource, now, out);
        // Ask before the bucket is empty, so that requests need not wait.
        const std::int64_t demand = resource.demandRate(now);
        const std::int64_t missing = demand - resource.effective(now).rate;
        if (resource.definitions.current() && missing > 0
            && resource.tokens < 2 * resource.reserve(now))
            std::ranges::move(startRound(resource, 0, now), std::back_inserter(out));
    }
    return out;
}

bool RateShares::fitsWithin(const CellSet &cells, Instant now)
{
    return std::ranges::all_of(resources_ | std::views::values, [&](Resource &resource) {
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
