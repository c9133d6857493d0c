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

/// Text of a document, shared between the current state, the ring and snapshots.
using DocumentText = std::shared_ptr<const std::string>;

/// SharedDocuments by name, for example "teams/a".
using SharedDocuments = std::map<std::string, DocumentText>;

/// One accepted change of the configuration.
struct LoggedChange
{
    Revision revision;
    Revision previous; ///< Revision that the change was based on.
    ChangeId change;
    std::vector<std::pair<std::string, DocumentText>> puts;
    std::vector<std::string> deletes;

    /// Bytes of names and texts.
    std::size_t bytes() const;
};

/// Effect of a change or snapshot on a ConfigLog.
enum class ApplyResult : std::uint8_t {
    Applied,
    Partial, ///< Part of a snapshot was stored; the revision is unchanged.
    AlreadyKnown, ///< The log has this revision or part, or a higher one; nothing was changed.
    Gap ///< The change is based on a revision that the log has not seen; a snapshot is needed.
};

/// Position in a snapshot that is transferred in parts.
struct SnapshotCursor
{
    Revision snapshot;
    std::string after; ///< Last document name received.

    bool operator==(const SnapshotCursor &) const = default;
};

/// Consecutive changes; empty if the asking side is up to date.
struct ConfigDelta
{
    std::vector<LoggedChange> changes;
};

/// SharedDocuments of a snapshot in ascending order of names.
struct SnapshotPart
{
    Revision revision;
    ChangeId change;
    std::string after; ///< Last document name of the part before; empty in the first part.
    std::vector<std::pair<std::string, DocumentText>> documents;
    bool last = true;
};

using ConfigUpdate = std::variant<ConfigDelta, SnapshotPart>;

struct ConfigLogSettings
{
    std::size_t maxChanges = 1'024;
    /// The ring is cut earlier if its changes are large.
    std::size_t maxChangeBytes = 32 << 20;
    /// Bytes of one update. A single document may exceed it, as the store's limit is the same.
    std::size_t maxUpdateBytes = 1 << 20;
};

/// Configuration in force on one node and the latest changes. Its revision never decreases.
/// Not thread safe.
class ConfigLog
{
public:
    explicit ConfigLog(ConfigLogSettings settings = {});

    ApplyResult applyChange(LoggedChange change);
    /// Replaces all documents. A snapshot is never a Gap.
    ApplyResult applySnapshot(Revision revision, ChangeId change, SharedDocuments documents);
    /// Applies an update of a peer. Parts of a snapshot take effect together with the last one.
    ///
    /// A part of a lower snapshot, or one that does not continue the part before, is not used.
    ApplyResult applyUpdate(ConfigUpdate update);

    /// What a peer at \a revision needs next: changes if the ring reaches back to its revision,
    /// else the part of a snapshot that follows \a cursor.
    ConfigUpdate changesSince(Revision revision, const std::optional<SnapshotCursor> &cursor = {});
    /// Where the transfer of a snapshot into this log stands; to be sent with the next pull.
    std::optional<SnapshotCursor> cursor() const;

    Revision revision() const { return revision_; }
    const ChangeId &change() const { return change_; }
    const SharedDocuments &documents() const { return *documents_; }
    std::size_t ringSize() const { return ring_.size(); }
    /// Estimated bytes of documents, ring and snapshots in transfer.
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
    bool ringReaches(Revision revision) const;
    ApplyResult applyPart(SnapshotPart part);
    void addToRing(LoggedChange change);

    ConfigLogSettings settings_;
    Revision revision_;
    ChangeId change_;
    std::shared_ptr<SharedDocuments> documents_ = std::make_shared<SharedDocuments>();
    std::deque<LoggedChange> ring_;
    std::size_t ringBytes_ = 0;
    /// Snapshot being served. Kept while the ring reaches back to it, so that changes during a
    /// transfer do not restart it.
    std::optional<Snapshot> served_;
    std::optional<Transfer> transfer_;
};

/// How far away a peer is.
enum class Proximity : std::uint8_t { OwnDomain, OwnRegion, Remote };

/// A peer as a possible source of the configuration.
struct SyncCandidate
{
    Incarnation incarnation;
    Proximity proximity = Proximity::Remote;
    Revision revision;
    std::optional<Instant> confirmedAsOf; ///< Estimate from its last heartbeat, own clock.
    std::vector<Incarnation> path; ///< Its source, the source of its source and so on.
};

struct SyncSettings
{
    Interval silence = std::chrono::seconds(1); ///< An older unanswered pull is an error.
    Interval errorPause = std::chrono::seconds(3); ///< A failed source is not chosen for so long.
    /// A source confirmed within this time is kept; half of the 4 s limit of keyed routes.
    Interval goodEnough = std::chrono::seconds(2);
    /// A kept source is given up for an equally near one with a better rank at most this often, so
    /// that the pulling nodes spread over the readers.
    Interval reconsider = std::chrono::seconds(30);
    /// Candidates must be fresher than the node itself by this much, unless they are ahead.
    Interval fresherBy = std::chrono::milliseconds(100);
    /// Paths longer than this are not followed; a cycle grows its path on each pull.
    std::size_t maxPath = 6;
};

/// State of the node that chooses a source.
struct SyncSelf
{
    Incarnation incarnation;
    Revision revision;
    std::optional<Instant> confirmedAsOf;
};

/// Chooses the peer to pull from: nearest first, ahead or fresher, and kept while it is good
/// enough.
///
/// Follows MongoDB's choice of a sync source. A peer whose path holds this node is never chosen and
/// is dropped if it is the source, so a cycle ends with the next replies. Not thread safe.
class SyncSource
{
public:
    explicit SyncSource(SyncSettings settings = {});

    /// The peer to pull from now, if there is a suitable one.
    std::optional<Incarnation> choose(
        const SyncSelf &self, const std::vector<SyncCandidate> &candidates, Instant now);

    void pullSent(Instant now);
    /// A reply arrived from \a source with the path of that node.
    void replied(const Incarnation &self, const Incarnation &source, std::vector<Incarnation> path,
        Instant now);
    /// A pull failed, or the reply was refused.
    void failed(const Incarnation &source, Instant now);

    /// Gives up the source, for a reader that the store answers.
    void clear();

    std::optional<Incarnation> current() const { return current_; }
    /// Own path as sent in replies and heartbeats: the source, its source and so on.
    std::vector<Incarnation> path() const;

private:
    bool loopFree(const SyncSelf &self, const SyncCandidate &candidate) const;
    bool eligible(const SyncSelf &self, const SyncCandidate &candidate) const;

    SyncSettings settings_;
    std::optional<Incarnation> current_;
    std::vector<Incarnation> sourcePath_;
    std::optional<Instant> oldestUnanswered_;
    Instant chosenAt_;
    std::map<Incarnation, Instant> avoidUntil_;
};

} // namespace endivequay

#endif
