#ifndef ENDIVEQUAY_REPLICA_H
#define ENDIVEQUAY_REPLICA_H

#include "endivequay/clock.h"
#include "endivequay/result.h"
#include "endivequay/storeposition.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace endivequay {

/// Latest known revision of one key of the store.
struct ReplicaItem
{
    std::string key;
    std::optional<std::string> value; ///< None: tombstone of a removed key.
    Revision revision; ///< In the epoch of the update or replica.
};

/// Changes since a revision, or a snapshot of the whole state.
struct ReplicaUpdate
{
    std::vector<ReplicaItem> items;
    StorePosition asOf; ///< The sender has all changes up to this position.
    bool isSnapshot = false; ///< Keys that are not in items do not exist at asOf.
    Instant confirmedAt; ///< Local time of the store request that confirmed asOf; a lower bound
                         ///< if the update is from a peer.
};

/// Local copy of the control state in the store. A key never goes back to an earlier revision of an
/// epoch, whatever the source and the order of updates, and the state never to an earlier epoch. A
/// later epoch begins with a snapshot, which replaces all keys. Not thread safe.
class Replica
{
public:
    /// Limit of retained tombstones, which updates() passes on and which reject late updates.
    static constexpr std::size_t maxTombstones = 4096;

    /// After a restore, an instance with state keeps it for this long. The writers write again what
    /// the backup lacks; until then, the backup may have withdrawn keys and upstreams that left.
    static constexpr Interval rewriteTime = std::chrono::milliseconds(1500);

    /// Returns whether any key changed.
    bool apply(const ReplicaUpdate &update);
    /// Changes after \a since, or a snapshot if \a since is of another epoch or tombstones after it
    /// may have been dropped.
    ReplicaUpdate updates(StorePosition since) const;

    /// Records that the store is in \a epoch. If that is news, a state of the epoch may replace the
    /// one that is there from \a adoptAt.
    void epochSeen(StoreEpoch epoch, Instant adoptAt);
    /// Whether a state of \a epoch may replace the one that is there.
    bool mayAdopt(StoreEpoch epoch, Instant now) const
    {
        return !loaded() || epoch <= asOf_.epoch || now >= adoptAt_;
    }

    /// The replica includes all changes up to this position; revision 0 before the first snapshot.
    StorePosition asOf() const { return asOf_; }
    Instant confirmedAt() const { return confirmedAt_; }
    bool loaded() const { return asOf_.revision > Revision(0); }

    /// Calls \a visit(key, value, revision) for each existing key that begins with \a prefix.
    template <class Visit>
    void forEach(const std::string &prefix, Visit visit) const
    {
        for (auto item = items_.lower_bound(prefix);
             item != items_.end() && item->first.starts_with(prefix); ++item)
            if (item->second.value)
                visit(item->first, *item->second.value, item->second.revision);
    }

private:
    void beginEpoch(StoreEpoch epoch);
    bool applyItem(const ReplicaItem &item);
    void removeMissing(const ReplicaUpdate &update, bool &changed);
    void dropTombstones();

    std::map<std::string, ReplicaItem> items_;
    std::size_t tombstoneCount_ = 0;
    Revision droppedUpTo_; ///< Tombstones up to this revision may be missing.
    StorePosition asOf_;
    Instant confirmedAt_;
    StoreEpoch latestEpoch_; ///< May be later than the epoch of asOf_.
    Instant adoptAt_; ///< When the state of latestEpoch_ may be adopted.
};

/// Compressed CBOR of \a update. Confirmation time is sent as an age, because the clocks of two
/// machines are not comparable.
std::string encodeUpdate(const ReplicaUpdate &update, Instant now);
/// \a askedAt is the local time at which the update was requested.
Result<ReplicaUpdate> decodeUpdate(std::string_view bytes, Instant askedAt);

} // namespace endivequay

#endif
