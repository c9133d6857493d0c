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

/// An instance paused for longer stops using its cells until it has read the ledger again.
inline constexpr Interval pauseLimit = std::chrono::seconds(10);
/// Requests of an ended owner run for 10 s at most, its loans for 15 s and the margin.
inline constexpr Interval reclaimWait = std::chrono::seconds(16);
/// Silence in the whole domain after which an unlisted owner counts as ended.
inline constexpr Interval endedSilence = std::chrono::seconds(30);
/// Silence after which a member gets no more cells.
inline constexpr Interval suspectSilence = std::chrono::seconds(3);

/// What one instance may use of its domain's cells.
class OwnerState
{
public:
    OwnerState(FailureDomainId domain, Incarnation self, Instant now);

    /// Cells in use at \a now: owned, not being released, not stopped by a pause.
    CellSet usableCells(Instant now) const;
    /// End of the time for which usableCells() holds without another tick().
    Instant usableUntil() const { return lastTick_ + pauseLimit; }
    Revision revision() const { return ledger_.revision; }
    const CellLedger &ledger() const { return ledger_.ledger; }

    /// Takes over a ledger read that started at \a readStartedAt. Returns false and changes nothing
    /// for a lower revision or another domain.
    bool applyLedger(const LedgerSnapshot &snapshot, Instant readStartedAt);
    /// Stops using the cells. Ignores requests that an already known ledger has overtaken.
    void onCellRelease(const CellRelease &request);
    /// Releases all cells, now and in every later ledger.
    void leave() { leaving_ = true; }
    /// True if a leaving instance owns no cell any more.
    bool hasLeft() const { return leaving_ && ledger_.ledger.cellsOf(self_).none(); }

    /// Detects pauses and reports released cells. Call at least once a second, and after
    /// onCellRelease(). \a fits tells whether all requests in flight and loans are covered by the
    /// given cells alone. \a keeper gets the reports.
    template <std::predicate<const CellSet &> Fits>
    std::vector<ShareOutgoing> tick(
        Instant now, std::optional<Incarnation> keeper, const Fits &fits)
    {
        observeTime(now);
        const auto given = unusedCells();
        if (given.second.none() || !fits(usableCells(now)))
            return {};
        return reports(now, given, keeper);
    }

private:
    void observeTime(Instant now);
    /// Released cells of the latest release, with its revision.
    std::pair<Revision, CellSet> unusedCells() const;
    std::vector<ShareOutgoing> reports(
        Instant now, const std::pair<Revision, CellSet> &given, std::optional<Incarnation> keeper);

    FailureDomainId domain_;
    Incarnation self_;
    LedgerSnapshot ledger_;
    std::map<int, Revision> released_; ///< Cell and ledger revision of the release request.
    std::set<Incarnation> requesters_; ///< Keepers to report to besides the present one.
    Instant lastTick_;
    Instant readNeededSince_; ///< Cells are usable only after a ledger read started since then.
    bool mustRead_ = false;
    bool reclaimPossible_ = false; ///< Paused so long that the cells may have been reclaimed.
    bool leaving_ = false;
    std::pair<Revision, CellSet> lastReport_;
    Instant nextReportAt_ {};
};

/// A member of a failure domain as its keeper sees it.
struct LedgerMember
{
    Incarnation incarnation;
    Address address;
    Instant heardAt; ///< Last time that anyone in the domain heard it, in the keeper's clock.
    bool leaving = false;
};

/// The last good answer of the platform's membership list.
struct PlatformList
{
    std::set<Address> addresses; ///< Listed instances of the domain, live or leaving.
    Instant readAt;
};

/// The live instance that writes the ledger of \a domain: lowest rendezvous hash among the members
/// heard within suspectSilence that are not leaving.
std::optional<Incarnation> keeperOf(
    const FailureDomainId &domain, const std::vector<LedgerMember> &members, Instant now);

/// What a keeper does next.
struct KeeperActions
{
    std::vector<ShareOutgoing> messages;
    std::optional<LedgerWrite> write;
};

/// Assigns the cells of one failure domain. Every instance runs one; only the one that keeperOf()
/// names acts, the others collect evidence. Two that act at once are harmless, because each write
/// depends on the ledger revision at which the owners released the cells.
class Keeper
{
public:
    Keeper(FailureDomainId domain, Incarnation self, Instant now);

    /// Takes over a ledger read; discards releases that were reported for a lower revision.
    void applyLedger(const LedgerSnapshot &snapshot);
    void onCellReleased(const CellReleased &report);
    /// Call once a second and after onCellReleased(). The result of a write is learned by reading
    /// the ledger. \a members includes this instance.
    KeeperActions tick(Instant now, const std::vector<LedgerMember> &members,
        const std::optional<PlatformList> &list);

private:
    struct Evidence
    {
        Instant since; ///< Start of this keeper's observation of the owner.
        std::optional<Instant> endedAt; ///< Since when a proof of its end has held.
    };

    void observe(Instant now, const std::vector<LedgerMember> &members,
        const std::optional<PlatformList> &list);
    bool provedEnded(Incarnation owner, const CellOwner &details, const Evidence &evidence,
        Instant now, const std::vector<LedgerMember> &members,
        const std::optional<PlatformList> &list) const;
    bool reclaimable(Incarnation owner, Instant now) const;
    /// Free, released and reclaimable cells.
    CellSet movableCells(Instant now) const;
    /// Held cells of each receiver above its target; negative if it is to get some.
    std::map<Incarnation, int> surpluses(
        const std::vector<LedgerMember> &receivers, const CellSet &movable) const;
    std::vector<ShareOutgoing> releaseRequests(
        Instant now, const std::map<Incarnation, int> &surplus, const CellSet &movable);
    CellLedger reassigned(const std::vector<LedgerMember> &receivers, const CellSet &movable,
        std::map<Incarnation, int> surplus, const std::optional<PlatformList> &list) const;

    FailureDomainId domain_;
    Incarnation self_;
    std::optional<LedgerSnapshot> ledger_;
    CellSet released_; ///< Reported as released at the present ledger revision.
    std::map<Incarnation, Evidence> evidence_;
    Instant lastTick_;
    std::optional<Instant> requestedAt_; ///< First release request at the present revision.
    Instant nextRequestAt_ {};
    Instant nextWriteAt_ {};
};

} // namespace endivequay

#endif
