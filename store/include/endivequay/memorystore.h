#ifndef ENDIVEQUAY_MEMORYSTORE_H
#define ENDIVEQUAY_MEMORYSTORE_H

#include "endivequay/store.h"

#include <map>
#include <memory>

namespace endivequay {

/// Store in the memory of the process, for tests and stand-ins.
///
/// Deterministic: it has no thread and no clock, revisions start at 1, and watches are called in
/// the order of their start from within the call that writes.
class MemoryStore
{
public:
    enum class Call { Range, Transaction, LeaseGrant, LeaseKeepAlive, Watch };

    /// Keeps the last \a retained changes for reads and watches of earlier revisions.
    explicit MemoryStore(std::size_t retained = 10'000);
    ~MemoryStore();
    MemoryStore(const MemoryStore &) = delete;
    MemoryStore &operator=(const MemoryStore &) = delete;

    Result<RangeResponse> range(const RangeRequest &request);
    WriteResult transact(const TransactionRequest &request);
    LeaseResult grantLease(const LeaseGrantRequest &request);
    LeaseResult keepLeaseAlive(const LeaseKeepAliveRequest &request);
    WatchHandle watch(const WatchRequest &request, WatchCallback callback);

    /// Moves the store's time on: keys of lapsed leases are deleted, watches past their deadline
    /// end.
    void advanceTo(Instant now);

    /// While down, reads fail, writes are not applied, and running watches have ended.
    void setDown(bool down);
    /// The next \a count transactions take effect, but their outcome is Unknown.
    void loseAnswers(int count);
    /// The next \a count transactions do not take effect, and their outcome is Unknown.
    void loseRequests(int count);
    /// Runs once, just before the next transaction; a test makes another writer win with it.
    void beforeNextTransaction(std::function<void()> action);
    /// Drops all history before \a revision.
    void compact(Revision revision);

    Revision revision() const;
    /// Number of calls so far; also those that failed because the store was down.
    std::size_t calls(Call kind) const;
    std::size_t runningWatches() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

static_assert(Store<MemoryStore>);

} // namespace endivequay

#endif
