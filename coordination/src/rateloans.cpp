#include "endivequay/shares.h"

#include "millionths.h"

#include <algorithm>

// What happens to loans of rate after they were granted: replies, renewals and returns.
namespace endivequay {

namespace {

using detail::mulDiv;
using detail::toMillionths;

// A loan is renewed this long before it ends, which leaves time for the renewal and one retry.
constexpr Interval renewalLeadTime = std::chrono::milliseconds(1500);
constexpr Interval renewalRetryInterval = std::chrono::milliseconds(600);

// A loan is held at least this long, because the measured demand doesn't yet show the need that it
// was taken for.
constexpr Interval minHoldDuration = std::chrono::milliseconds(300);

} // namespace

void RateShares::renew(
    Resource &resource, const LoanRequest &request, LoanReply &reply, Instant now)
{
    const auto former = resource.lent.find(*request.renews);
    const Allotment own = resource.own(now);
    const bool covered = memberwiseMin(own, resource.lentAt(now)) == resource.lentAt(now);
    const bool needsTokens = resource.lastAcquireFailed && !resource.demand.idle(now);
    if (former == resource.lent.end() || !covered || needsTokens)
        return;
    // Parts transferred to other holders stay lent until the former deadline.
    reply.amount = memberwiseMin(request.amount, former->second.amount);
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

    const Borrowed loan { reply.origin.value_or(LoanOrigin { reply.lender, reply.id }),
        reply.amount, now, deadline, deadline - renewalLeadTime };
    if (sent.renews) {
        applyRenewal(*found, *sent.renews, reply, loan);
        return false;
    }
    found->borrowed[reply.id] = loan;
    found->tokens += std::min(reply.tokens, reply.amount.burst);
    found->clampTokens(now);
    return reply.tokens > 0;
}

void RateShares::applyRenewal(
    Resource &resource, const LoanId &old, const LoanReply &reply, Borrowed loan)
{
    const auto former = resource.borrowed.find(old);
    if (former == resource.borrowed.end())
        return;
    // Parts of the former loan may have been transferred since the request was sent.
    loan.amount = memberwiseMin(loan.amount, former->second.amount);
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
    if (lent == found->lent.end() || !lent->second.returns.insert(loan.message).second)
        return;
    // Parts transferred to other holders stay lent until the deadline.
    const Allotment returned = memberwiseMin(loan.amount, lent->second.amount);
    lent->second.amount -= returned;
    found->tokens += std::min(loan.tokens, returned.burst);
    found->clampTokens(now);
}

void RateShares::renewLoans(Resource &resource, Instant now, std::vector<ShareOutgoing> &out)
{
    for (auto &[id, loan] : resource.borrowed) {
        if (now < loan.renewAt || loan.amount.rate == 0
            || resource.hasSurplusWithout(loan.amount, now))
            continue;
        loan.renewAt = now + renewalRetryInterval;
        LoanRequest request = createRequest(resource, loan.origin.lender, now);
        resource.pending[request.id].renews = id;
        request.renews = loan.origin.id;
        request.amount = loan.amount;
        out.push_back({ loan.origin.lender, request });
    }
}

void RateShares::returnLoans(Resource &resource, Instant now, std::vector<ShareOutgoing> &out)
{
    const auto returnable = [&](const auto &entry) {
        const Borrowed &loan = entry.second;
        // A loan of tokens alone is for requests that were waiting; return what they didn't use.
        if (loan.amount.rate == 0)
            return !resource.lastAcquireFailed && loan.deadline - now > minHoldDuration / 3
                && now > loan.receivedAt && resource.lentCoveredWithout(loan, loan.amount, now);
        return now - loan.receivedAt >= minHoldDuration
            && resource.hasSurplusWithout(loan.amount, now)
            && resource.lentCoveredWithout(loan, loan.amount, now);
    };
    // Only one per call, because each return changes the surplus.
    const auto found = std::ranges::find_if(resource.borrowed, returnable);
    if (found == resource.borrowed.end())
        return;
    const Borrowed loan = found->second;
    const Allotment limits = resource.effective(now);
    const std::int64_t tokens
        = std::min(loan.amount.burst, mulDiv(resource.tokens, loan.amount.burst, limits.burst));
    resource.borrowed.erase(found);
    resource.tokens -= tokens;
    resource.clampTokens(now);
    out.push_back({ loan.origin.lender,
        LoanReturn {
            loan.origin.id, { self_, ++lastSequence_ }, resource.id, loan.amount, tokens, 0 } });
}

std::vector<ShareOutgoing> RateShares::tick(Instant now)
{
    std::vector<ShareOutgoing> out;
    for (auto &[resourceId, resource] : resources_) {
        resource.advance(now);
        renewLoans(resource, now, out);
        returnLoans(resource, now, out);
        // Request loans before the bucket is empty, so that requests need not wait.
        const Allotment limits = resource.effective(now);
        const bool rateTooLow
            = resource.tokens < limits.burst / 2 && resource.wantedRate(now) > limits.rate;
        if (resource.definitions.current()
            && (rateTooLow || resource.tokens < 2 * resource.reserve(now)))
            std::ranges::move(startRound(resource, 0, now), std::back_inserter(out));
    }
    return out;
}

} // namespace endivequay
