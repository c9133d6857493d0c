#ifndef ENDIVEQUAY_LEDGER_H
#define ENDIVEQUAY_LEDGER_H

#include "endivequay/cells.h"
#include "endivequay/clock.h"
#include "endivequay/sharemessages.h"

#include <concepts>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace endivequay {

/// After a longer pause an instance doesn't use its cells until it has read the ledger again.
inline constexpr Interval maxPauseDuration = std::chrono::seconds(10);
/// Time from the proof that an owner has terminated until its cells are reassigned. Its requests
/// run for at most 10 s, its loans for 15 s plus lenderMargin().
inline constexpr Interval reclaimDelay = std::chrono::seconds(16);
/// An unlisted owner not seen by any instance of the domain for this long counts as terminated.
inline constexpr Interval ownerFailureTimeout = std::chrono::seconds(30);
/// A member not seen for this long gets no more cells.
inline constexpr Interval suspectTimeout = std::chrono::seconds(3);

/// Tracks which cells of its domain one instance may use.
class OwnerState
{
public:
    OwnerState(FailureDomainId domain, Incarnation self, Instant now);

    /// Cells that may be used at \a now: owned, not being released, and not suspended after a
    /// pause.
    CellSet usableCells(Instant now) const;
    /// Until when usableCells() stays valid without another tick().
    Instant usableUntil() const { return lastTick_ + maxPauseDuration; }
    Revision revision() const { return ledger_.revision; }
    const CellLedger &ledger() const { return ledger_.ledger; }

    /// Applies a ledger whose read started at \a readStartedAt. Returns false and changes nothing
    /// if its revision is lower than the present one or it belongs to another domain.
    bool applyLedger(const LedgerSnapshot &snapshot, Instant readStartedAt);
    /// Stops using the requested cells. Ignores a request for an older ledger than the present one.
    void onCellRelease(const CellRelease &request);
    /// Releases all cells, including those that later ledgers assign.
    void leave() { leaving_ = true; }
    /// True once leave() was called and no cell is owned any more.
    bool hasLeft() const { return leaving_ && ledger_.ledger.cellsOf(self_).none(); }

    /// Detects pauses and reports released cells to \a keeper. Call at least once a second, and
    /// after onCellRelease(). \a fits returns whether the given cells alone cover all requests in
    /// flight and all loans.
    template <std::predicate<const CellSet &> Fits>
    std::vector<ShareOutgoing> tick(
        Instant now, std::optional<Incarnation> keeper, const Fits &fits)
    {
        detectPause(now);
        const auto release = releasedCells();
        if (release.second.none() || !fits(usableCells(now)))
            return {};
        return releaseReports(now, release, keeper);
    }

private:
    void detectPause(Instant now);
    /// Cells released at the highest ledger revision, and that revision.
    std::pair<Revision, CellSet> releasedCells() const;
    std::vector<ShareOutgoing> releaseReports(Instant now,
        const std::pair<Revision, CellSet> &release, std::optional<Incarnation> keeper);

    FailureDomainId domain_;
    Incarnation self_;
    LedgerSnapshot ledger_;
    std::map<int, Revision> released_; ///< By cell: ledger revision of the release.
    std::set<Incarnation> requesters_; ///< Keepers that asked for a release and get reports.
    Instant lastTick_;
    Instant readRequiredSince_; ///< Only a ledger read started at or after this ends readRequired_.
    bool readRequired_ = false;
    bool reclaimPossible_ = false; ///< The pause was long enough for a reclaim of the cells.
    bool leaving_ = false;
    std::pair<Revision, CellSet> lastReport_;
    Instant nextReportAt_ {};
};

/// A member of a failure domain, as known to its keeper.
struct LedgerMember
{
    Incarnation incarnation;
    Address address;
    Instant lastSeenAt; ///< When any instance of the domain last saw it, by the keeper's clock.
    bool leaving = false;
};

/// The last successful read of the platform's list of instances.
struct PlatformList
{
    std::set<Address> addresses; ///< Listed instances of the domain, live or leaving.
    Instant readAt;
};

/// The instance that coordinates the ledger of \a domain: of the members last seen within
/// suspectTimeout and are not leaving, the one with the lowest rendezvous hash.
std::optional<Incarnation> keeperOf(
    const FailureDomainId &domain, const std::vector<LedgerMember> &members, Instant now);

/// Messages to send and the ledger to write after Keeper::tick().
struct KeeperActions
{
    std::vector<ShareOutgoing> messages;
    std::optional<LedgerWrite> write;
};

/// Coordinator that assigns the cells of one failure domain to instances. Every instance runs one.
/// Only the one that keeperOf() returns acts; the others just watch for terminated owners. Two that
/// act at the same time do no harm, because each write is conditional on the ledger revision at
/// which the owners released the cells.
class Keeper
{
public:
    Keeper(FailureDomainId domain, Incarnation self, Instant now);

    /// Applies a ledger read and discards releases that were reported for a lower revision.
    void applyLedger(const LedgerSnapshot &snapshot);
    void onCellReleased(const CellReleased &report);
    /// Call once a second and after onCellReleased(). Whether a write succeeded is known only from
    /// the next ledger read. \a members includes this instance.
    KeeperActions tick(Instant now, const std::vector<LedgerMember> &members,
        const std::optional<PlatformList> &list);

private:
    struct TerminationEvidence
    {
        Instant observedSince; ///< Since when this keeper has watched the owner.
        std::optional<Instant> confirmedSince; ///< Since when its termination has been proved.
    };

    void updateEvidence(Instant now, const std::vector<LedgerMember> &members,
        const std::optional<PlatformList> &list);
    bool terminationConfirmed(Incarnation owner, const CellOwner &details,
        const TerminationEvidence &evidence, Instant now, const std::vector<LedgerMember> &members,
        const std::optional<PlatformList> &list) const;
    bool reclaimable(Incarnation owner, Instant now) const;
    /// Cells that are free, released or reclaimable.
    CellSet assignableCells(Instant now) const;
    /// For each receiver, the cells that it holds above its target; negative if it is below.
    std::map<Incarnation, int> surpluses(
        const std::vector<LedgerMember> &receivers, const CellSet &assignable) const;
    std::vector<ShareOutgoing> releaseRequests(
        Instant now, const std::map<Incarnation, int> &surplus, const CellSet &assignable);
    CellLedger rebalanced(const std::vector<LedgerMember> &receivers, const CellSet &assignable,
        std::map<Incarnation, int> surplus, const std::optional<PlatformList> &list) const;

    FailureDomainId domain_;
    Incarnation self_;
    std::optional<LedgerSnapshot> ledger_;
    CellSet released_; ///< Reported as released for the present ledger revision.
    std::map<Incarnation, TerminationEvidence> evidence_;
    Instant lastTick_;
    std::optional<Instant> requestedAt_; ///< First release request for the present revision.
    Instant nextRequestAt_ {};
    Instant nextWriteAt_ {};
};

} // namespace endivequay

#endif
