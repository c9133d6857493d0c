#ifndef ENDIVEQUAY_STORE_H
#define ENDIVEQUAY_STORE_H

#include "endivequay/clock.h"
#include "endivequay/result.h"
#include "endivequay/types.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace endivequay {

/// Maximum size of a value, in bytes.
inline constexpr std::size_t maxStoreValueSize = 1'000'000;

/// Maximum number of puts and deletes in one transaction; the default of etcd's --max-txn-ops.
inline constexpr std::size_t maxStoreTransactionSize = 128;

/// Id of a lease; 0 means no lease.
using LeaseId = Strong<struct LeaseTag, std::int64_t>;

/// A key of the store with its value.
struct KeyValue
{
    std::string key;
    std::string value;
    Revision modified; ///< Revision of the last transaction that put the key.
    LeaseId lease;

    bool operator==(const KeyValue &) const = default;
};

/// Keys that a request applies to.
enum class KeyScope {
    Key, ///< Exactly the given key.
    Prefix, ///< All keys that start with the given key.
};

/// Linearizable read of one key or of a prefix.
struct RangeRequest
{
    std::string key;
    KeyScope scope = KeyScope::Key;
    Revision at; ///< Revision to read; 0 is the latest.
    std::size_t limit = 0; ///< Maximum number of keys in the response; 0 means no limit.
    std::string after; ///< With a prefix: returns only keys greater than this one, for paging.
    Instant deadline;
};

/// Response to a RangeRequest.
struct RangeResponse
{
    Revision revision; ///< The store's latest revision at the time of the response.
    std::vector<KeyValue> values; ///< In ascending order of their keys.
    bool more = false; ///< True if the limit truncated the response.
};

/// Condition of a transaction: \a key was last put at revision \a modified; 0: it does not exist.
struct Compare
{
    std::string key;
    Revision modified;
};

/// Write of one key, optionally bound to a lease.
struct Put
{
    std::string key;
    std::string value;
    LeaseId lease;
};

/// Puts and deletes that are applied atomically if all comparisons hold. No key may be written
/// twice.
struct TransactionRequest
{
    std::vector<Compare> compares;
    std::vector<Put> puts;
    std::vector<std::string> deletes;
    Instant deadline;
};

/// Outcome of a write.
enum class WriteOutcome {
    Done, ///< The write was applied.
    Conflict, ///< Not applied: a comparison failed, or the lease to renew has expired.
    NotApplied, ///< Not applied and never will be, for example because the connection was refused.
    Unknown, ///< The response was lost; the write may have been applied or may still be.
};

/// Response to a TransactionRequest.
struct WriteResult
{
    WriteOutcome outcome = WriteOutcome::Unknown;
    Revision
        revision; ///< Done: revision of this transaction. Conflict: the store's latest revision.
    std::vector<KeyValue>
        current; ///< Conflict: the compared keys that exist, with their current values.
    Error reason; ///< NotApplied and Unknown.
};

/// Grant of a new lease.
struct LeaseGrantRequest
{
    std::int64_t seconds = 0; ///< Time to live in seconds.
    Instant deadline;
};

/// Renewal of a lease by its original time to live.
struct LeaseKeepAliveRequest
{
    LeaseId id;
    Instant deadline;
};

/// Response to a lease request. Conflict means that the lease has expired.
struct LeaseResult
{
    WriteOutcome outcome = WriteOutcome::Unknown;
    LeaseId id;
    Instant
        expires; ///< Counted from the time of sending, so never later than the store's expiry time.
    Error reason; ///< NotApplied and Unknown.
};

/// Watch of one key or of a prefix.
struct WatchRequest
{
    std::string key;
    KeyScope scope = KeyScope::Key;
    Revision from; ///< First revision to report; 0 means the next change.
    /// The watch ends at this time, which limits how long a broken connection that reports
    /// no error goes undetected.
    Instant deadline;
};

/// A put or delete that a watch reports.
struct Change
{
    std::string key;
    std::optional<std::string> value; ///< std::nullopt if the key was deleted.
    Revision modified;

    bool operator==(const Change &) const = default;
};

/// Message of a watch.
struct WatchMessage
{
    /// In ascending order of their revisions. All changes of a transaction are in the same message.
    std::vector<Change> changes;
    /// Set in the last message: the reason why the watch ended. The owner starts a new watch after
    /// the last revision that it received, or reads all keys again if \a compacted is true.
    std::optional<Error> ended;
    bool compacted = false; ///< True if the requested revision was compacted.
};

/// Receives the messages of a watch, one at a time, on a thread of the store's choice.
using WatchCallback = std::function<void(const WatchMessage &)>;

/// Handle of a running watch; stops the watch on destruction.
class WatchHandle
{
public:
    WatchHandle() = default;
    explicit WatchHandle(std::function<void()> stop)
        : stop_(std::move(stop))
    { }
    ~WatchHandle() { stop(); }

    WatchHandle(WatchHandle &&other) noexcept
        : stop_(std::exchange(other.stop_, nullptr))
    { }
    WatchHandle &operator=(WatchHandle &&other) noexcept
    {
        if (this != &other) {
            stop();
            stop_ = std::exchange(other.stop_, nullptr);
        }
        return *this;
    }
    WatchHandle(const WatchHandle &) = delete;
    WatchHandle &operator=(const WatchHandle &) = delete;

    /// Stops the watch and waits until its callback has returned, so the caller must not hold a
    /// lock that the callback takes. Does not wait if called from within the callback.
    void stop()
    {
        if (const auto stop = std::exchange(stop_, nullptr))
            stop();
    }

private:
    std::function<void()> stop_;
};

/// A key-value store with revisions, transactions, leases and watches, such as etcd. Thread safe.
///
/// Each call returns by the deadline of its request. Errors contain a step such as "store.range"
/// and the endpoint.
template <class S>
concept Store = requires(S &store, const RangeRequest &range, const TransactionRequest &transaction,
    const LeaseGrantRequest &grant, const LeaseKeepAliveRequest &keepAlive,
    const WatchRequest &watch, WatchCallback callback)
{
    {
        store.range(range)
        } -> std::same_as<Result<RangeResponse>>;
    {
        store.transact(transaction)
        } -> std::same_as<WriteResult>;
    {
        store.grantLease(grant)
        } -> std::same_as<LeaseResult>;
    {
        store.keepLeaseAlive(keepAlive)
        } -> std::same_as<LeaseResult>;
    {
        store.watch(watch, callback)
        } -> std::same_as<WatchHandle>;
};

} // namespace endivequay

#endif
