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

/// Largest value that the store accepts, in bytes.
inline constexpr std::size_t maxStoreValueSize = 1'000'000;

/// Largest number of puts and deletes in one transaction; the default of etcd's --max-txn-ops.
inline constexpr std::size_t maxStoreTransactionSize = 128;

/// Id of a lease; 0 stands for none.
using LeaseId = Strong<struct LeaseTag, std::int64_t>;

/// One key of the store with its value.
struct KeyValue
{
    std::string key;
    std::string value;
    Revision modified; ///< Revision of the transaction that last put the key.
    LeaseId lease;

    bool operator==(const KeyValue &) const = default;
};

/// Which keys a request means.
enum class KeyScope {
    Key, ///< The key itself.
    Prefix, ///< Every key that starts with it.
};

/// Linearizable read of one key or of a prefix.
struct RangeRequest
{
    std::string key;
    KeyScope scope = KeyScope::Key;
    Revision at; ///< 0 reads the latest revision.
    std::size_t limit = 0; ///< Largest number of keys in the answer; 0 is unlimited.
    std::string after; ///< With a prefix: only keys greater than this one, to read on after a page.
    Instant deadline;
};

/// Answer to a RangeRequest.
struct RangeResponse
{
    Revision revision; ///< The store's latest revision when it answered.
    std::vector<KeyValue> values; ///< Ascending by key.
    bool more = false; ///< The limit cut the answer.
};

/// Condition of a transaction: \a key was last put at \a modified; 0 means that it does not exist.
struct Compare
{
    std::string key;
    Revision modified;
};

/// Write of one key.
struct Put
{
    std::string key;
    std::string value;
    LeaseId lease;
};

/// Puts and deletes that take effect together if every comparison holds. Names each key once.
struct TransactionRequest
{
    std::vector<Compare> compares;
    std::vector<Put> puts;
    std::vector<std::string> deletes;
    Instant deadline;
};

/// What is known about a write after the call.
enum class WriteOutcome {
    Done, ///< It took effect.
    Conflict, ///< A comparison failed or the lease to renew has lapsed; it did not take effect.
    NotApplied, ///< It did not and will not take effect, for example connection refused.
    Unknown, ///< The answer was lost; it may have taken effect or may still do so.
};

/// Answer to a TransactionRequest.
struct WriteResult
{
    WriteOutcome outcome = WriteOutcome::Unknown;
    Revision revision; ///< Done: of this transaction. Conflict: the store's latest.
    std::vector<KeyValue> current; ///< Conflict: present values of the compared keys that exist.
    Error reason; ///< NotApplied and Unknown.
};

/// Grant of a new lease.
struct LeaseGrantRequest
{
    std::int64_t seconds = 0; ///< Time to live.
    Instant deadline;
};

/// Renewal of a lease for its original time to live.
struct LeaseKeepAliveRequest
{
    LeaseId id;
    Instant deadline;
};

/// Answer to a lease request. Conflict means that the lease has lapsed.
struct LeaseResult
{
    WriteOutcome outcome = WriteOutcome::Unknown;
    LeaseId id;
    Instant expires; ///< Counted from the sending of the request, so never later than the store's.
    Error reason; ///< NotApplied and Unknown.
};

/// Watch of one key or of a prefix.
struct WatchRequest
{
    std::string key;
    KeyScope scope = KeyScope::Key;
    Revision from; ///< First revision to report; 0 starts with the next change.
    Instant deadline; ///< The watch ends then. This bounds how long a silent connection is trusted.
};

/// One put or delete that a watch reports.
struct Change
{
    std::string key;
    std::optional<std::string> value; ///< Empty if the key was deleted.
    Revision modified;

    bool operator==(const Change &) const = default;
};

/// One message of a watch.
struct WatchMessage
{
    /// Ascending by revision. All changes of one transaction are in one message.
    std::vector<Change> changes;
    /// Why the watch ended; no message follows. The owner starts a new watch after the last
    /// revision it saw, or reads anew if \a compacted.
    std::optional<Error> ended;
    bool compacted = false; ///< The store no longer has the requested revision.
};

/// Receives the messages of one watch, one at a time, on a thread that the store chooses.
using WatchCallback = std::function<void(const WatchMessage &)>;

/// Owner of a running watch; stops it when destroyed.
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

    /// Stops the watch and waits until its callback has returned, so the caller must hold no lock
    /// that the callback takes. Called from within the callback, it does not wait.
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
/// Every call returns by the deadline of its request. Errors name the step "store.range" etc. and
/// the endpoint.
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
