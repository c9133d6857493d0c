#include "endivequay/ledger.h"

#include "endivequay/digest.h"

#include <algorithm>

namespace endivequay {

namespace {

constexpr Interval retryInterval = std::chrono::seconds(1);

// How long a write waits for outstanding releases. Owners with long requests release late and
// shouldn't hold up the cells of the others; but each write makes the late owners start over, so
// the keeper doesn't write at once either.
constexpr Interval partialWriteDelay = std::chrono::seconds(2);

// A keeper that didn't run for this long discards its evidence: it may have missed an owner's
// heartbeats.
constexpr Interval maxObservationGap = std::chrono::seconds(5);

std::vector<int> toList(const CellSet &cells)
{
    std::vector<int> list;
    for (int cell = 0; cell < cellsPerDomain; ++cell) {
        if (cells[static_cast<std::size_t>(cell)])
            list.push_back(cell);
    }
    return list;
}

CellSet toSet(const std::vector<int> &list)
{
    CellSet cells;
    for (const int cell : list) {
        if (cell >= 0 && cell < cellsPerDomain)
            cells.set(static_cast<std::size_t>(cell));
    }
    return cells;
}

std::uint64_t rank(std::string_view item, Incarnation incarnation)
{
    return hash64(item, incarnation.value());
}

std::uint64_t rank(std::size_t cell, Incarnation incarnation)
{
    return rank(std::to_string(cell), incarnation);
}

bool isEligible(const LedgerMember &member, Instant now)
{
    return !member.leaving && now - member.lastSeenAt <= suspectTimeout;
}

/// The \a count cells of \a cells with the lowest rank for \a owner.
CellSet lowestRanked(const CellSet &cells, int count, Incarnation owner)
{
    std::vector<int> list = toList(cells);
    std::ranges::sort(
        list, {}, [&](int cell) { return rank(static_cast<std::size_t>(cell), owner); });
    list.resize(static_cast<std::size_t>(std::min<int>(count, static_cast<int>(list.size()))));
    return toSet(list);
}

} // namespace

OwnerState::OwnerState(FailureDomainId domain, Incarnation self, Instant now)
    : domain_(std::move(domain))
    , self_(self)
    , ledger_ { Revision(), CellLedger(domain_) }
    , lastTick_(now)
{ }

CellSet OwnerState::usableCells(Instant now) const
{
    if (leaving_ || readRequired_ || now >= usableUntil())
        return {};
    CellSet cells = ledger_.ledger.cellsOf(self_);
    for (const auto &[cell, revision] : released_)
        cells.reset(static_cast<std::size_t>(cell));
    return cells;
}

bool OwnerState::applyLedger(const LedgerSnapshot &snapshot, Instant readStartedAt)
{
    if (snapshot.revision < ledger_.revision || snapshot.ledger.domain() != domain_)
        return false;
    ledger_ = snapshot;
    std::erase_if(released_, [&](const auto &entry) { return entry.second < snapshot.revision; });
    if (readRequired_ && readStartedAt >= readRequiredSince_) {
        readRequired_ = false;
        // A write that reclaims the cells may still be on its way to the store. It can't succeed
        // any more once the ledger has a higher revision.
        if (std::exchange(reclaimPossible_, false)) {
            for (const int cell : toList(ledger_.ledger.cellsOf(self_)))
                released_[cell] = snapshot.revision;
        }
    }
    if (released_.empty())
        requesters_.clear();
    return true;
}

void OwnerState::onCellRelease(const CellRelease &request)
{
    if (request.domain != domain_ || request.ledger < ledger_.revision)
        return;
    for (const int cell : toList(toSet(request.cells)))
        released_[cell] = std::max(released_[cell], request.ledger);
    requesters_.insert(request.keeper);
}

void OwnerState::detectPause(Instant now)
{
    const Interval gap = now - lastTick_;
    if (gap >= maxPauseDuration) {
        readRequired_ = true;
        readRequiredSince_ = now;
        reclaimPossible_ = reclaimPossible_ || gap >= ownerFailureTimeout;
    }
    lastTick_ = now;
}

std::pair<Revision, CellSet> OwnerState::releasedCells() const
{
    Revision revision = leaving_ ? ledger_.revision : Revision();
    for (const auto &[cell, released] : released_)
        revision = std::max(revision, released);
    CellSet cells;
    if (leaving_ && revision == ledger_.revision)
        cells = ledger_.ledger.cellsOf(self_);
    for (const auto &[cell, released] : released_) {
        if (released == revision)
            cells.set(static_cast<std::size_t>(cell));
    }
    return { revision, cells };
}

std::vector<ShareOutgoing> OwnerState::releaseReports(
    Instant now, const std::pair<Revision, CellSet> &release, std::optional<Incarnation> keeper)
{
    if (release == lastReport_ && now < nextReportAt_)
        return {};
    std::set<Incarnation> receivers = requesters_;
    if (keeper)
        receivers.insert(*keeper);
    if (receivers.empty())
        return {};
    lastReport_ = release;
    nextReportAt_ = now + retryInterval;
    std::vector<ShareOutgoing> out;
    std::ranges::transform(receivers, std::back_inserter(out), [&](Incarnation to) {
        return ShareOutgoing { to,
            CellReleased { domain_, self_, release.first, toList(release.second) } };
    });
    return out;
}

std::optional<Incarnation> keeperOf(
    const FailureDomainId &domain, const std::vector<LedgerMember> &members, Instant now)
{
    const auto lowest = std::ranges::min_element(members, {}, [&](const LedgerMember &member) {
        return std::tuple(
            !isEligible(member, now), rank(domain.value(), member.incarnation), member.incarnation);
    });
    if (lowest == members.end() || !isEligible(*lowest, now))
        return std::nullopt;
    return lowest->incarnation;
}

Keeper::Keeper(FailureDomainId domain, Incarnation self, Instant now)
    : domain_(std::move(domain))
    , self_(self)
    , lastTick_(now)
{ }

void Keeper::applyLedger(const LedgerSnapshot &snapshot)
{
    if (snapshot.ledger.domain() != domain_ || (ledger_ && snapshot.revision <= ledger_->revision))
        return;
    ledger_ = snapshot;
    released_.reset();
    requestedAt_.reset();
    nextRequestAt_ = {};
    nextWriteAt_ = {};
}

void Keeper::onCellReleased(const CellReleased &report)
{
    if (!ledger_ || report.domain != domain_ || report.ledger != ledger_->revision)
        return;
    released_ |= toSet(report.cells) & ledger_->ledger.cellsOf(report.owner);
}

bool Keeper::terminationConfirmed(Incarnation owner, const CellOwner &details,
    const TerminationEvidence &evidence, Instant now, const std::vector<LedgerMember> &members,
    const std::optional<PlatformList> &list) const
{
    Instant silentSince = evidence.observedSince;
    for (const LedgerMember &member : members) {
        if (member.incarnation == owner)
            silentSince = std::max(silentSince, member.lastSeenAt);
    }
    const auto replacesOwner = [&](const LedgerMember &member) {
        return member.incarnation != owner && member.address == details.address
            && member.lastSeenAt > silentSince && now - member.lastSeenAt <= suspectTimeout;
    };
    if (std::ranges::any_of(members, replacesOwner))
        return true;
    return details.listed && list && list->readAt > silentSince
        && !list->addresses.contains(details.address) && now - silentSince >= ownerFailureTimeout;
}

void Keeper::updateEvidence(
    Instant now, const std::vector<LedgerMember> &members, const std::optional<PlatformList> &list)
{
    if (now - lastTick_ > maxObservationGap)
        evidence_.clear();
    lastTick_ = now;
    const auto &owners = ledger_->ledger.owners();
    std::erase_if(evidence_, [&](const auto &entry) { return !owners.contains(entry.first); });
    for (const auto &[owner, details] : owners) {
        TerminationEvidence &evidence
            = evidence_.try_emplace(owner, TerminationEvidence { now, {} }).first->second;
        if (!terminationConfirmed(owner, details, evidence, now, members, list))
            evidence.confirmedSince.reset();
        else if (!evidence.confirmedSince)
            evidence.confirmedSince = now;
    }
}

bool Keeper::reclaimable(Incarnation owner, Instant now) const
{
    const auto found = evidence_.find(owner);
    return found != evidence_.end() && found->second.confirmedSince
        && now - *found->second.confirmedSince >= reclaimDelay;
}

CellSet Keeper::assignableCells(Instant now) const
{
    CellSet assignable = released_ | ledger_->ledger.cellsOf(Incarnation());
    for (const auto &[owner, details] : ledger_->ledger.owners()) {
        if (reclaimable(owner, now))
            assignable |= ledger_->ledger.cellsOf(owner);
    }
    return assignable;
}

std::map<Incarnation, int> Keeper::surpluses(
    const std::vector<LedgerMember> &receivers, const CellSet &assignable) const
{
    // The members with the most cells get the remainder of the division; this moves the fewest.
    std::vector<std::pair<int, Incarnation>> counts;
    int available = static_cast<int>(assignable.count());
    for (const LedgerMember &member : receivers) {
        const CellSet held = ledger_->ledger.cellsOf(member.incarnation) & ~assignable;
        counts.emplace_back(-static_cast<int>(held.count()), member.incarnation);
        available += static_cast<int>(held.count());
    }
    std::ranges::sort(counts);
    const int size = static_cast<int>(counts.size());
    std::map<Incarnation, int> surplus;
    for (int i = 0; i < size; ++i) {
        const int target = available / size + (i < available % size ? 1 : 0);
        surplus[counts[static_cast<std::size_t>(i)].second]
            = -counts[static_cast<std::size_t>(i)].first - target;
    }
    return surplus;
}

std::vector<ShareOutgoing> Keeper::releaseRequests(
    Instant now, const std::map<Incarnation, int> &surplus, const CellSet &assignable)
{
    if (now < nextRequestAt_)
        return {};
    nextRequestAt_ = now + retryInterval;
    std::vector<ShareOutgoing> out;
    for (const auto &[owner, count] : surplus) {
        if (count <= 0)
            continue;
        const CellSet held = ledger_->ledger.cellsOf(owner) & ~assignable;
        out.push_back({ owner,
            CellRelease {
                domain_, self_, ledger_->revision, toList(lowestRanked(held, count, owner)) } });
    }
    if (!out.empty() && !requestedAt_)
        requestedAt_ = now;
    return out;
}

CellLedger Keeper::rebalanced(const std::vector<LedgerMember> &receivers, const CellSet &assignable,
    std::map<Incarnation, int> surplus, const std::optional<PlatformList> &list) const
{
    CellLedger next = ledger_->ledger;
    const auto isListed
        = [&](const Address &address) { return list && list->addresses.contains(address); };
    for (const auto &[owner, details] : ledger_->ledger.owners())
        next.setListed(owner, details.listed || isListed(details.address));
    std::map<Incarnation, CellSet> assigned;
    for (const int cell : toList(assignable)) {
        const Incarnation former = ledger_->ledger.ownerOf(cell);
        const auto best = std::ranges::min_element(receivers, {}, [&](const LedgerMember &member) {
            return std::tuple(surplus.at(member.incarnation) >= 0, member.incarnation != former,
                rank(static_cast<std::size_t>(cell), member.incarnation));
        });
        ++surplus.at(best->incarnation);
        assigned[best->incarnation].set(static_cast<std::size_t>(cell));
    }
    for (const LedgerMember &member : receivers) {
        const auto known = ledger_->ledger.owners().find(member.incarnation);
        const bool wasListed = known != ledger_->ledger.owners().end() && known->second.listed;
        if (assigned[member.incarnation].any())
            next.assign(assigned[member.incarnation], member.incarnation,
                { member.address, wasListed || isListed(member.address) });
    }
    return next;
}

KeeperActions Keeper::tick(
    Instant now, const std::vector<LedgerMember> &members, const std::optional<PlatformList> &list)
{
    if (!ledger_)
        return {};
    updateEvidence(now, members, list);
    if (keeperOf(domain_, members, now) != self_)
        return {};
    std::vector<LedgerMember> receivers;
    std::ranges::copy_if(members, std::back_inserter(receivers),
        [&](const LedgerMember &member) { return isEligible(member, now); });

    const CellSet assignable = assignableCells(now);
    const auto surplus = surpluses(receivers, assignable);
    const bool complete
        = std::ranges::none_of(surplus, [](const auto &entry) { return entry.second > 0; });
    KeeperActions actions;
    actions.messages = releaseRequests(now, surplus, assignable);

    const bool due = complete || (requestedAt_ && now - *requestedAt_ >= partialWriteDelay);
    if (!due || now < nextWriteAt_)
        return actions;
    CellLedger next = rebalanced(receivers, assignable, surplus, list);
    // Released cells need a new revision even if they return to the same owner.
    if (assignable.none() && next == ledger_->ledger)
        return actions;
    nextWriteAt_ = now + retryInterval;
    actions.write = LedgerWrite { ledger_->revision, std::move(next) };
    return actions;
}

} // namespace endivequay
