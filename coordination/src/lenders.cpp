#include "endivequay/shares.h"

#include <algorithm>
#include <cmath>

namespace endivequay {

namespace {

// A round ends after this time even if replies are outstanding, so that a lost message doesn't
// block the next round for longer than a request waits.
constexpr Interval roundTimeout = maxLoanWait;

// How long a lender without spare tokens is skipped: it is left out of the next round, unless that
// is the last round that a waiting request gets.
constexpr Interval emptyLenderBackoff = std::chrono::milliseconds(30);

// Holders change with the traffic; older ones have lent what they had to others.
constexpr std::size_t maxHolders = 2;

// Upper bound of the backoff between rounds without result. A team above its rate gets nothing in
// any round; the backoff limits the number of messages that it causes.
constexpr Interval maxRoundInterval = std::chrono::milliseconds(400);

// After this time without a round the backoff is reset: earlier rounds don't predict the next one.
constexpr Interval idleResetInterval = std::chrono::milliseconds(100);

} // namespace

void DemandEstimate::add(double count, Instant now)
{
    value_ = perSecond(now) + count / window_;
    updatedAt_ = now;
}

double DemandEstimate::perSecond(Instant now) const
{
    return value_ * std::exp(-toSeconds(now - updatedAt_) / window_);
}

bool DemandEstimate::idle(Instant now) const
{
    if (value_ <= 0)
        return true;
    // A random gap exceeds four times the mean once in 55 requests.
    const double gap = std::clamp(4 / value_, 0.1, 2.0);
    return toSeconds(now - updatedAt_) > gap;
}

void LenderSelector::setOwners(const ResourceDefinition &definition,
    const std::vector<DomainOwners> &domains, Incarnation self)
{
    lenders_.clear();
    nearestDomainCount_ = 0;
    const CellSet cells = definition.cells();
    for (const DomainOwners &domain : domains) {
        std::set<Incarnation> owners;
        if (std::ranges::binary_search(definition.domains, domain.domain)) {
            for (int cell = 0; cell < cellsPerDomain; ++cell) {
                if (cells[static_cast<std::size_t>(cell)])
                    owners.insert(domain.ledger.ownerOf(cell));
            }
        }
        std::ranges::copy_if(owners, std::back_inserter(lenders_),
            [&](Incarnation owner) { return owner != self && owner != Incarnation(); });
        if (&domain == &domains.front())
            nearestDomainCount_ = lenders_.size();
    }
    // Otherwise instances that start together would all ask the same lenders.
    if (cursor_ == 0)
        cursor_ = self.value() % 97;
}

std::vector<Incarnation> LenderSelector::candidates(
    Instant now, const std::set<Incarnation> &suspects) const
{
    std::vector<Incarnation> chosen;
    const auto add = [&](Incarnation lender) {
        const auto empty = skippedUntil_.find(lender);
        const bool usable
            = !suspects.contains(lender) && (empty == skippedUntil_.end() || empty->second <= now);
        if (usable && std::ranges::find(chosen, lender) == chosen.end())
            chosen.push_back(lender);
    };
    std::ranges::for_each(holders_, add);
    std::for_each(lenders_.begin(), lenders_.begin() + static_cast<long>(nearestDomainCount_), add);
    const std::size_t otherCount = lenders_.size() - nearestDomainCount_;
    for (std::size_t i = 0; i < otherCount; ++i)
        add(lenders_[nearestDomainCount_ + (cursor_ + i) % otherCount]);
    return chosen;
}

std::vector<Incarnation> LenderSelector::startRound(
    std::size_t count, Instant now, const std::set<Incarnation> &suspects)
{
    if (now < nextRoundAt_ || roundOpen(now))
        return {};
    std::vector<Incarnation> chosen = candidates(now, suspects);
    chosen.resize(std::min(count, chosen.size()));
    if (chosen.empty())
        return {};
    const bool wasIdle = now - nextRoundAt_ > idleResetInterval;
    roundInterval_ = lastRoundUseful_ || wasIdle ? loanRoundInterval
                                                 : std::min(2 * roundInterval_, maxRoundInterval);
    lastRoundUseful_ = false;
    cursor_ += chosen.size();
    awaitedReplies_ = chosen.size();
    nextRoundAt_ = now + roundInterval_;
    roundEndsAt_ = now + roundTimeout;
    return chosen;
}

void LenderSelector::onReply(const LoanReply &reply, bool granted, Incarnation self, Instant now)
{
    awaitedReplies_ -= std::min<std::size_t>(awaitedReplies_, 1);
    if (granted) {
        skippedUntil_.erase(reply.lender);
    } else {
        skippedUntil_[reply.lender] = now + emptyLenderBackoff;
    }
    const bool namesHolder = reply.holder && *reply.holder != self;
    if (namesHolder)
        addHolder(*reply.holder);
    lastRoundUseful_ = lastRoundUseful_ || granted || namesHolder;
}

void LenderSelector::addHolder(Incarnation holder)
{
    if (std::ranges::find(holders_, holder) != holders_.end())
        return;
    holders_.push_back(holder);
    if (holders_.size() > maxHolders)
        holders_.erase(holders_.begin());
}

} // namespace endivequay
