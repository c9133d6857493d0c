#ifndef ENDIVEQUAY_MEMORYSTORE_H
#define ENDIVEQUAY_MEMORYSTORE_H

#include "endivequay/store.h"

#include <map>
#include <memory>

namespace endivequay {

/// In-memory store for tests and for the simulated store server.
///
/// Deterministic: it has neither a thread nor a clock, revisions start at 1, and a write calls the
/// watch callbacks in the order in which the watches were started.
class MemoryStore
{
public:
    enum class Call { Range, Transaction, LeaseGrant, LeaseKeepAlive, Watch };

    /// Keeps the last \a retainedChanges changes for reads and watches of earlier revisions.
    explicit MemoryStore(std::size_t retainedChanges = 10'000);
    ~MemoryStore();
    MemoryStore(const MemoryStore &) = delete;
    MemoryStore &operator=(const MemoryStore &) = delete;

    Result<RangeResponse> range(const RangeRequest &request);
    WriteResult transact(const TransactionRequest &request);
    LeaseResult grantLease(const LeaseGrantRequest &request);
    LeaseResult keepLeaseAlive(const LeaseKeepAliveRequest &request);
    WatchHandle watch(const WatchRequest &request, WatchCallback callback);

    /// Advances the store's time: deletes the keys of expired leases and ends watches whose
    /// deadline has passed.
    void advanceTo(Instant now);

    /// Simulates an outage: reads fail, writes are not applied, and running watches end.
    void setDown(bool down);
    /// The next \a count transactions are applied, but their outcome is Unknown.
    void loseResponses(int count);
    /// The next \a count transactions are not applied, and their outcome is Unknown.
    void loseRequests(int count);
    /// Runs \a action once, just before the next transaction, for example to simulate a concurrent
    /// write that is applied first.
    void beforeNextTransaction(std::function<void()> action);
    /// Discards the history before \a revision.
    void compact(Revision revision);

    Revision revision() const;
    /// Returns the number of calls so far, including those that failed because of an outage.
    std::size_t calls(Call kind) const;
    std::size_t runningWatches() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

static_assert(Store<MemoryStore>);

} // namespace endivequay

#endif
