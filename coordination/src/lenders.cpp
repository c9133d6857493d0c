#include "endivequay/shares.h"

#include <algorithm>
#include <cmath>

namespace endivequay {

namespace {

// Long enough to average over the gaps of a few requests a second, short enough to notice within
// the wait for a loan that the traffic has moved.
constexpr Interval demandWindow = std::chrono::milliseconds(500);

// A round whose answers are late counts as over; a lost message should not block the next one for
// longer than a request waits.
constexpr Interval roundTimeout = loanWait;

// A lender without spare tokens is asked again only after it may have refilled.
constexpr Interval emptyPause = std::chrono::milliseconds(200);

// A team above its rate finds nothing in any round; this bounds the requests it causes.
constexpr Interval maxRoundInterval = std::chrono::milliseconds(400);

} // namespace

void DemandEstimate::add(double count, Instant now)
{
    value_ = perSecond(now) + count / toSeconds(demandWindow);
    updatedAt_ = now;
}

double DemandEstimate::perSecond(Instant now) const
{
    return value_ * std::exp(-toSeconds(now - updatedAt_) / toSeconds(demandWindow));
}

bool DemandEstimate::idle(Instant now) const
{
    if (value_ <= 0)
        return true;
    // Four times the mean gap happens by chance once in 55 requests.
    const double gap = std::clamp(4 / value_, 0.1, 2.0);
    return toSeconds(now - updatedAt_) > gap;
}

void LenderChoice::setOwners(const ResourceDefinition &definition,
    const std::vector<DomainOwners> &domains, Incarnation self)
{
    lenders_.clear();
    nearCount_ = 0;
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
            nearCount_ = lenders_.size();
    }
    // Instances that start together would otherwise all ask the same lenders.
    if (cursor_ == 0)
        cursor_ = self.value() % 97;
}

std::vector<Incarnation> LenderChoice::candidates(
    Instant now, const std::set<Incarnation> &suspects) const
{
    std::vector<Incarnation> chosen;
    const auto add = [&](Incarnation lender) {
        const auto empty = emptyUntil_.find(lender);
        const bool usable
            = !suspects.contains(lender) && (empty == emptyUntil_.end() || empty->second <= now);
        if (usable && std::ranges::find(chosen, lender) == chosen.end())
            chosen.push_back(lender);
    };
    std::ranges::for_each(named_, add);
    std::for_each(lenders_.begin(), lenders_.begin() + static_cast<long>(nearCount_), add);
    const std::size_t farCount = lenders_.size() - nearCount_;
    for (std::size_t i = 0; i < farCount; ++i)
        add(lenders_[nearCount_ + (cursor_ + i) % farCount]);
    return chosen;
}

std::vector<Incarnation> LenderChoice::startRound(
    std::size_t count, Instant now, const std::set<Incarnation> &suspects)
{
    if (now < nextRoundAt_ || roundOpen(now))
        return {};
    std::vector<Incarnation> chosen = candidates(now, suspects);
    chosen.resize(std::min(count, chosen.size()));
    named_.clear();
    if (chosen.empty())
        return {};
    interval_ = fruitful_ ? loanRoundInterval : std::min(2 * interval_, maxRoundInterval);
    fruitful_ = false;
    cursor_ += chosen.size();
    awaited_ = chosen.size();
    nextRoundAt_ = now + interval_;
    roundEndsAt_ = now + roundTimeout;
    return chosen;
}

void LenderChoice::onReply(const LoanReply &reply, bool granted, Incarnation self, Instant now)
{
    awaited_ -= std::min<std::size_t>(awaited_, 1);
    if (granted)
        emptyUntil_.erase(reply.lender);
    else
        emptyUntil_[reply.lender] = now + emptyPause;
    const bool names = reply.holder && *reply.holder != self;
    if (names && std::ranges::find(named_, *reply.holder) == named_.end())
        named_.push_back(*reply.holder);
    fruitful_ = fruitful_ || granted || names;
}

} // namespace endivequay
