#ifndef ENDIVEQUAY_CONTROLSTORE_H
#define ENDIVEQUAY_CONTROLSTORE_H

#include "endivequay/peers.h"
#include "endivequay/replica.h"
#include "endivequay/routing.h"
#include "endivequay/upstreamset.h"

#include <concepts>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace endivequay {

/// Control state that the edge protocol decodes from the replica.
struct ControlState
{
    std::shared_ptr<const RoutingTable> table; ///< Null until a configuration is known.
    std::vector<UpstreamEntry> upstreams;
    std::set<FailureDomainId> evacuated;
    std::vector<MemberRecord> members;
    std::vector<Error> rejected; ///< One error per entry that cannot be used.
};

struct WatchResult
{
    ReplicaUpdate update;
    bool compacted = false; ///< The store discarded the history; list again.
};

template <class T>
using Callback = std::function<void(Result<T>)>;

using LeaseId = std::int64_t;

/// Asynchronous client of the store that holds the control state.
///
/// list() reads the whole state. watch() is a long poll: it completes on a change after the given
/// position or after the given time at most, and as compacted if the store is in a later epoch.
/// renewLease() yields false if the lease has expired. epoch() is the latest epoch that the store
/// has told. watchTimeout() is the time after which a lost watch is repeated; it leaves enough of
/// the recovery time for the changes to reach all instances.
template <class T>
concept ControlStore
    = requires(T store, StorePosition after, Interval pollTime, MemberRecord member, LeaseId lease,
        Callback<ReplicaUpdate> listed, Callback<WatchResult> watched, Callback<LeaseId> granted,
        Callback<bool> renewed, Callback<Done> done)
{
    {
        store.epoch()
        } -> std::convertible_to<StoreEpoch>;
    {
        store.watchTimeout()
        } -> std::convertible_to<Interval>;
    store.list(listed);
    store.watch(after, pollTime, watched);
    store.grantLease(granted);
    store.registerMember(member, lease, done);
    store.renewLease(lease, renewed);
    store.endLease(lease, done);
};

} // namespace endivequay

#endif
