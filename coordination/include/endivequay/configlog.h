#ifndef ENDIVEQUAY_CONFIGLOG_H
#define ENDIVEQUAY_CONFIGLOG_H

#include "endivequay/clock.h"
#include "endivequay/types.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace endivequay {

/// Text of a document, shared between the current state, the recent changes and snapshots.
using DocumentText = std::shared_ptr<const std::string>;

/// Documents by name, for example "teams/a".
using SharedDocuments = std::map<std::string, DocumentText>;

/// One accepted change of the configuration.
struct LoggedChange
{
    Revision revision;
    Revision previous; ///< Revision that the change is based on.
    ChangeId change;
    std::vector<std::pair<std::string, DocumentText>> puts;
    std::vector<std::string> deletes;

    /// Size of all names and texts.
    std::size_t bytes() const;
};

/// Result of applying a change or snapshot to a ConfigLog.
enum class ApplyResult : std::uint8_t {
    Applied,
    Partial, ///< A snapshot part was stored; the revision is unchanged.
    AlreadyKnown, ///< This or a later revision or part is present; no change.
    Gap ///< An earlier change or snapshot part is missing; a snapshot is needed.
};

/// Position in a snapshot transfer.
struct SnapshotCursor
{
    Revision snapshot;
    std::string after; ///< Last document name received.

    bool operator==(const SnapshotCursor &) const = default;
};

/// Consecutive changes; empty if the requesting node is up to date.
struct ConfigDelta
{
    std::vector<LoggedChange> changes;
};

/// Part of a snapshot, with documents in ascending order of their names.
struct SnapshotPart
{
    Revision revision;
    ChangeId change;
    std::string after; ///< Last document name of the previous part; empty in the first part.
    std::vector<std::pair<std::string, DocumentText>> documents;
    bool last = true;
};

using ConfigUpdate = std::variant<ConfigDelta, SnapshotPart>;

struct ConfigLogSettings
{
    /// Recent changes that are retained for deltas to peers.
    std::size_t maxChanges = 1'024;
    /// Total size of the retained changes; limits their number further if they are large.
    std::size_t maxChangeBytes = 32 << 20;
    /// Size of one update. A single document may exceed it with its name, as the store's limit is
    /// the same.
    std::size_t maxUpdateBytes = 1 << 20;
};

/// Applied configuration of one node and its recent changes. The revision never decreases. Not
/// thread safe.
class ConfigLog
{
public:
    explicit ConfigLog(ConfigLogSettings settings = {});

    ApplyResult applyChange(LoggedChange change);
    /// Replaces all documents. A snapshot is never a Gap.
    ApplyResult applySnapshot(Revision revision, ChangeId change, SharedDocuments documents);
    /// Applies an update from a peer. The parts of a snapshot take effect together with the last
    /// one.
    ///
    /// Parts of an older snapshot and parts that do not follow the previous one are ignored.
    ApplyResult applyUpdate(ConfigUpdate update);

    /// Next update for a peer at \a revision: a delta if the changes since then are retained,
    /// otherwise the snapshot part after \a cursor.
    ConfigUpdate changesSince(Revision revision, const std::optional<SnapshotCursor> &cursor = {});
    /// Progress of the snapshot transfer into this log, to be sent with the next pull.
    std::optional<SnapshotCursor> cursor() const;

    Revision revision() const { return revision_; }
    const ChangeId &change() const { return change_; }
    const SharedDocuments &documents() const { return *documents_; }
    std::size_t recentChangeCount() const { return recentChanges_.size(); }
    /// Estimated size of the documents, the recent changes and the snapshots in transfer.
    std::size_t memoryBytes() const;

private:
    struct Snapshot
    {
        Revision revision;
        ChangeId change;
        std::shared_ptr<const SharedDocuments> documents;
    };
    struct Transfer
    {
        Revision revision;
        SharedDocuments documents;

        std::string after() const { return documents.empty() ? "" : documents.rbegin()->first; }
    };

    std::optional<ConfigDelta> deltaSince(Revision revision) const;
    SnapshotPart snapshotPart(const std::optional<SnapshotCursor> &cursor);
    bool retainsChangesSince(Revision revision) const;
    ApplyResult applyPart(SnapshotPart part);
    void retainChange(LoggedChange change);

    ConfigLogSettings settings_;
    Revision revision_;
    ChangeId change_;
    std::shared_ptr<SharedDocuments> documents_ = std::make_shared<SharedDocuments>();
    std::deque<LoggedChange> recentChanges_;
    std::size_t recentChangeBytes_ = 0;
    /// Snapshot being sent to peers. Retained while the changes since then are, so that changes
    /// during a transfer do not restart it.
    std::optional<Snapshot> servedSnapshot_;
    /// Snapshot being received.
    std::optional<Transfer> transfer_;
};

/// Distance of a peer, in ascending order.
enum class Proximity : std::uint8_t { OwnDomain, OwnRegion, Remote };

/// A peer from which the configuration can be pulled.
struct SyncCandidate
{
    Incarnation incarnation;
    Proximity proximity = Proximity::Remote;
    Revision revision;
    std::optional<Instant> confirmedAsOf; ///< Estimate from its last heartbeat, on the local clock.
    std::vector<Incarnation> path; ///< Chain of sync sources, starting with its own.
};

struct SyncSettings
{
    /// A source that does not answer a pull within this time has failed.
    Interval replyTimeout = std::chrono::seconds(1);
    /// Delay until a failed source may be chosen again.
    Interval failedSourceDelay = std::chrono::seconds(3);
    /// The source is kept while this node was confirmed within this time, which is half of the 4 s
    /// limit of keyed routes. Candidates confirmed within it rank first.
    Interval maxSourceStaleness = std::chrono::seconds(2);
    /// Minimum time between switches to an equally near source of better rank. The switches
    /// distribute the pulling nodes over the readers.
    Interval reselectionInterval = std::chrono::seconds(30);
    /// A candidate with the same revision must be confirmed this much later than this node.
    Interval minFreshnessGain = std::chrono::milliseconds(100);
    /// Sources with a path of this length or longer are rejected. In a cycle the path grows with
    /// each pull.
    std::size_t maxPathLength = 6;
};

/// State of the node that chooses its source.
struct SyncNodeState
{
    Incarnation incarnation;
    Revision revision;
    std::optional<Instant> confirmedAsOf;
};

/// Selects the peer to pull the configuration from: the nearest one that is ahead or fresher. The
/// source is kept while this node is fresh enough.
///
/// Modelled on MongoDB's sync source selection. A peer whose path contains this node is never
/// chosen, and is dropped if it is the source, so a cycle ends with the next replies. Not thread
/// safe.
class SyncSource
{
public:
    explicit SyncSource(SyncSettings settings = {});

    /// Peer to pull from now, if there is a suitable one.
    std::optional<Incarnation> choose(
        const SyncNodeState &self, const std::vector<SyncCandidate> &candidates, Instant now);

    void pullSent(Instant now);
    /// A reply arrived from \a source; \a path is the path() of that node.
    void replied(const Incarnation &self, const Incarnation &source, std::vector<Incarnation> path,
        Instant now);
    /// A pull failed, or its reply was rejected.
    void failed(const Incarnation &source, Instant now);

    /// Drops the source. Also used on a store reader that reaches the store.
    void clear();

    std::optional<Incarnation> current() const { return current_; }
    /// Chain of sync sources starting with current(), as sent in replies and heartbeats.
    std::vector<Incarnation> path() const;

private:
    bool isLoopFree(const SyncNodeState &self, const SyncCandidate &candidate) const;
    bool isEligible(const SyncNodeState &self, const SyncCandidate &candidate) const;

    SyncSettings settings_;
    std::optional<Incarnation> current_;
    std::vector<Incarnation> sourcePath_;
    std::optional<Instant> oldestUnanswered_;
    Instant chosenAt_;
    /// Failed sources, with the end of their failedSourceDelay.
    std::map<Incarnation, Instant> retryAt_;
};

} // namespace endivequay

#endif
