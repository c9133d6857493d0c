#include "endivequay/memorystore.h"

#include <algorithm>
#include <array>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <set>
#include <thread>

namespace endivequay {

namespace {

/// Value of a key from a revision on.
struct Version
{
    Revision modified;
    std::optional<std::string> value; ///< std::nullopt if the key was deleted.
    LeaseId lease;
};

using History = std::vector<Version>;

struct Lease
{
    std::int64_t seconds = 0;
    Instant expires;
};

struct Watch
{
    WatchRequest request;
    WatchCallback callback;
    bool ended = false; ///< The last message was queued, or the owner stopped the watch.
    bool stopped = false; ///< Stopped by its owner. Queued messages are discarded.
};

struct Delivery
{
    std::shared_ptr<Watch> watch;
    WatchMessage message;
};

bool inScope(const std::string &key, const std::string &requestedKey, KeyScope scope)
{
    return scope == KeyScope::Key ? key == requestedKey : key.starts_with(requestedKey);
}

/// Returns the version that was current at \a revision, or nullptr if the key did not exist.
const Version *versionAt(const History &history, Revision revision)
{
    const auto next = std::ranges::upper_bound(history, revision, {}, &Version::modified);
    if (next == history.begin() || !std::prev(next)->value)
        return nullptr;
    return &*std::prev(next);
}

Error unavailableError(const char *step)
{
    return { step, "memory", "the store is down" };
}

WriteResult notApplied(const std::string &reason)
{
    return { WriteOutcome::NotApplied, {}, {}, { "store.txn", "memory", reason } };
}

std::optional<std::string> findViolation(const TransactionRequest &request)
{
    if (request.puts.size() + request.deletes.size() > maxStoreTransactionSize)
        return "too many operations in one transaction";
    std::set<std::string> keys(request.deletes.begin(), request.deletes.end());
    for (const Put &put : request.puts) {
        if (put.value.size() > maxStoreValueSize)
            return "the value of " + put.key + " exceeds the maximum size";
        keys.insert(put.key);
    }
    if (keys.size() != request.puts.size() + request.deletes.size())
        return "a key is written twice in one transaction";
    return std::nullopt;
}

} // namespace

struct MemoryStore::State
{
    using Lock = std::unique_lock<std::mutex>;

    explicit State(std::size_t r)
        : retainedChanges(r)
    { }

    const Version *latest(const std::string &key) const;
    std::vector<KeyValue> select(const RangeRequest &request, Revision at, bool &more) const;
    bool isSatisfied(const Compare &compare) const;
    WriteResult conflict(const TransactionRequest &request) const;
    WriteResult apply(const TransactionRequest &request);
    std::vector<Change> changesSince(const WatchRequest &request) const;
    void addVersion(const std::string &key, std::optional<std::string> value, LeaseId lease);
    void commit(const std::vector<Put> &puts, std::vector<std::string> deletes);
    void notify();
    void endWatch(const std::shared_ptr<Watch> &watch, Error reason, bool compacted);
    void compactBefore(Revision before);
    void trimHistory(const std::string &key);
    void expireLeases();
    void deliver(Lock &lock);
    void stop(const std::shared_ptr<Watch> &watch);
    bool recordCall(Call kind);

    mutable std::mutex mutex;
    const std::size_t retainedChanges;
    std::map<std::string, History> keys;
    std::deque<std::pair<Revision, std::string>> log; ///< Retained changes.
    Revision revision { 1 };
    Revision oldestRevision { 1 }; ///< Reads and watches of earlier revisions fail.
    Instant now {};
    std::map<LeaseId, Lease> leases;
    std::int64_t lastLease = 0;
    std::vector<std::shared_ptr<Watch>> watches;

    std::deque<Delivery> deliveries;
    std::shared_ptr<Watch> activeWatch; ///< Watch whose callback is running.
    std::thread::id deliveringThread;
    std::condition_variable callbackReturned;

    bool down = false;
    int lostResponses = 0;
    int lostRequests = 0;
    std::function<void()> beforeTransaction;
    std::array<std::size_t, 5> callCounts {};
};

const Version *MemoryStore::State::latest(const std::string &key) const
{
    const auto found = keys.find(key);
    return found == keys.end() ? nullptr : versionAt(found->second, revision);
}

std::vector<KeyValue> MemoryStore::State::select(
    const RangeRequest &request, Revision at, bool &more) const
{
    std::vector<KeyValue> values;
    const auto first = request.after > request.key ? keys.upper_bound(request.after)
                                                   : keys.lower_bound(request.key);
    for (auto it = first; it != keys.end() && inScope(it->first, request.key, request.scope);
         ++it) {
        const Version *version = versionAt(it->second, at);
        if (version == nullptr)
            continue;
        if (request.limit != 0 && values.size() == request.limit) {
            more = true;
            break;
        }
        values.push_back({ it->first, *version->value, version->modified, version->lease });
    }
    return values;
}

bool MemoryStore::State::isSatisfied(const Compare &compare) const
{
    const Version *version = latest(compare.key);
    return compare.modified == (version == nullptr ? Revision(0) : version->modified);
}

WriteResult MemoryStore::State::conflict(const TransactionRequest &request) const
{
    WriteResult result;
    result.outcome = WriteOutcome::Conflict;
    result.revision = revision;
    for (const Compare &compare : request.compares) {
        if (const Version *version = latest(compare.key))
            result.current.push_back(
                { compare.key, *version->value, version->modified, version->lease });
    }
    return result;
}

WriteResult MemoryStore::State::apply(const TransactionRequest &request)
{
    if (const auto reason = findViolation(request))
        return notApplied(*reason);
    const auto expired
        = [this](const Put &put) { return put.lease != LeaseId(0) && !leases.contains(put.lease); };
    if (std::ranges::any_of(request.puts, expired))
        return notApplied("the lease has expired");
    if (!std::ranges::all_of(request.compares, [this](const auto &c) { return isSatisfied(c); }))
        return conflict(request);
    commit(request.puts, request.deletes);
    return { WriteOutcome::Done, revision, {}, {} };
}

void MemoryStore::State::commit(const std::vector<Put> &puts, std::vector<std::string> deletes)
{
    std::erase_if(deletes, [this](const auto &key) { return latest(key) == nullptr; });
    if (puts.empty() && deletes.empty())
        return;
    revision = Revision(revision.value() + 1);
    for (const Put &put : puts)
        addVersion(put.key, put.value, put.lease);
    for (const std::string &key : deletes)
        addVersion(key, std::nullopt, {});
    notify();
    if (log.size() > retainedChanges)
        compactBefore(log[log.size() - retainedChanges].first);
}

void MemoryStore::State::addVersion(
    const std::string &key, std::optional<std::string> value, LeaseId lease)
{
    keys[key].push_back({ revision, std::move(value), lease });
    log.emplace_back(revision, key);
}

std::vector<Change> MemoryStore::State::changesSince(const WatchRequest &request) const
{
    std::vector<Change> changes;
    const auto first
        = std::ranges::lower_bound(log, request.from, {}, &std::pair<Revision, std::string>::first);
    for (auto it = first; it != log.end(); ++it) {
        if (!inScope(it->second, request.key, request.scope))
            continue;
        const History &history = keys.at(it->second);
        const auto version = std::ranges::find(history, it->first, &Version::modified);
        changes.push_back({ it->second, version->value, version->modified });
    }
    return changes;
}

void MemoryStore::State::notify()
{
    for (const auto &watch : watches) {
        if (watch->ended)
            continue;
        WatchRequest request = watch->request;
        request.from = std::max(request.from, revision);
        if (auto changes = changesSince(request); !changes.empty())
            deliveries.push_back({ watch, { std::move(changes), std::nullopt, false } });
    }
}

void MemoryStore::State::endWatch(const std::shared_ptr<Watch> &watch, Error reason, bool compacted)
{
    if (std::exchange(watch->ended, true))
        return;
    deliveries.push_back({ watch, { {}, std::move(reason), compacted } });
}

void MemoryStore::State::compactBefore(Revision before)
{
    oldestRevision = std::max(oldestRevision, before);
    while (!log.empty() && log.front().first < before) {
        const std::string key = std::move(log.front().second);
        log.pop_front();
        trimHistory(key);
    }
}

void MemoryStore::State::trimHistory(const std::string &key)
{
    const auto found = keys.find(key);
    if (found == keys.end())
        return;
    History &history = found->second;
    // The version that is current at the oldest retained revision can still be read.
    auto keep = std::ranges::lower_bound(history, oldestRevision, {}, &Version::modified);
    if (keep != history.begin() && std::prev(keep)->value)
        --keep;
    history.erase(history.begin(), keep);
    if (history.empty())
        keys.erase(found);
}

void MemoryStore::State::expireLeases()
{
    const auto expired = [this](const auto &entry) { return entry.second.expires <= now; };
    for (auto it = std::ranges::find_if(leases, expired); it != leases.end();
         it = std::ranges::find_if(leases, expired)) {
        std::vector<std::string> deletes;
        for (const auto &[key, history] : keys) {
            const Version *version = versionAt(history, revision);
            if (version != nullptr && version->lease == it->first)
                deletes.push_back(key);
        }
        leases.erase(it);
        commit({}, std::move(deletes));
    }
}

void MemoryStore::State::deliver(Lock &lock)
{
    // A call from within a callback only queues messages; the outer call delivers them in order.
    if (deliveringThread != std::thread::id())
        return;
    deliveringThread = std::this_thread::get_id();
    while (!deliveries.empty()) {
        const Delivery delivery = std::move(deliveries.front());
        deliveries.pop_front();
        if (delivery.watch->stopped)
            continue;
        activeWatch = delivery.watch;
        lock.unlock();
        delivery.watch->callback(delivery.message);
        lock.lock();
        activeWatch.reset();
        callbackReturned.notify_all();
    }
    std::erase_if(watches, [](const auto &watch) { return watch->ended; });
    deliveringThread = std::thread::id();
}

void MemoryStore::State::stop(const std::shared_ptr<Watch> &watch)
{
    Lock lock(mutex);
    watch->stopped = true;
    watch->ended = true;
    std::erase(watches, watch);
    if (deliveringThread != std::this_thread::get_id())
        callbackReturned.wait(lock, [&] { return activeWatch != watch; });
}

bool MemoryStore::State::recordCall(Call kind)
{
    ++callCounts.at(static_cast<std::size_t>(kind));
    return !down;
}

MemoryStore::MemoryStore(std::size_t retainedChanges)
    : state_(std::make_shared<State>(std::max<std::size_t>(retainedChanges, 1)))
{ }

MemoryStore::~MemoryStore() = default;

Result<RangeResponse> MemoryStore::range(const RangeRequest &request)
{
    const State::Lock lock(state_->mutex);
    if (!state_->recordCall(Call::Range))
        return unavailableError("store.range");
    const Revision at = request.at == Revision(0) ? state_->revision : request.at;
    if (at < state_->oldestRevision)
        return Error { "store.range", "memory", "the revision was compacted" };
    if (at > state_->revision)
        return Error { "store.range", "memory", "the revision is in the future" };
    RangeResponse response;
    response.revision = state_->revision;
    response.values = state_->select(request, at, response.more);
    return response;
}

WriteResult MemoryStore::transact(const TransactionRequest &request)
{
    State::Lock lock(state_->mutex);
    if (const auto action = std::exchange(state_->beforeTransaction, nullptr)) {
        lock.unlock();
        action();
        lock.lock();
    }
    if (!state_->recordCall(Call::Transaction))
        return { WriteOutcome::NotApplied, {}, {}, unavailableError("store.txn") };
    const Error responseLost { "store.txn", "memory", "the response was lost" };
    if (state_->lostRequests > 0) {
        --state_->lostRequests;
        return { WriteOutcome::Unknown, {}, {}, responseLost };
    }
    WriteResult result = state_->apply(request);
    state_->deliver(lock);
    if (state_->lostResponses == 0)
        return result;
    --state_->lostResponses;
    return { WriteOutcome::Unknown, {}, {}, responseLost };
}

LeaseResult MemoryStore::grantLease(const LeaseGrantRequest &request)
{
    const State::Lock lock(state_->mutex);
    if (!state_->recordCall(Call::LeaseGrant))
        return { WriteOutcome::NotApplied, {}, {}, unavailableError("store.lease_grant") };
    if (request.seconds <= 0)
        return { WriteOutcome::NotApplied, {}, {},
            { "store.lease_grant", "memory", "the time to live is not positive" } };
    const LeaseId id(++state_->lastLease);
    const Instant expires = state_->now + std::chrono::seconds(request.seconds);
    state_->leases[id] = { request.seconds, expires };
    return { WriteOutcome::Done, id, expires, {} };
}

LeaseResult MemoryStore::keepLeaseAlive(const LeaseKeepAliveRequest &request)
{
    const State::Lock lock(state_->mutex);
    if (!state_->recordCall(Call::LeaseKeepAlive))
        return { WriteOutcome::NotApplied, {}, {}, unavailableError("store.lease_keepalive") };
    const auto found = state_->leases.find(request.id);
    if (found == state_->leases.end())
        return { WriteOutcome::Conflict, request.id, {}, {} };
    found->second.expires = state_->now + std::chrono::seconds(found->second.seconds);
    return { WriteOutcome::Done, request.id, found->second.expires, {} };
}

WatchHandle MemoryStore::watch(const WatchRequest &request, WatchCallback callback)
{
    const auto watch = std::make_shared<Watch>(Watch { request, std::move(callback) });
    State::Lock lock(state_->mutex);
    if (watch->request.from == Revision(0))
        watch->request.from = Revision(state_->revision.value() + 1);
    state_->watches.push_back(watch);
    if (!state_->recordCall(Call::Watch))
        state_->endWatch(watch, unavailableError("store.watch"), false);
    else if (watch->request.from < state_->oldestRevision)
        state_->endWatch(watch, { "store.watch", "memory", "the revision was compacted" }, true);
    else if (auto changes = state_->changesSince(watch->request); !changes.empty())
        state_->deliveries.push_back({ watch, { std::move(changes), std::nullopt, false } });
    state_->deliver(lock);
    return WatchHandle([state = state_, watch] { state->stop(watch); });
}

void MemoryStore::advanceTo(Instant now)
{
    State::Lock lock(state_->mutex);
    state_->now = std::max(state_->now, now);
    state_->expireLeases();
    for (const auto &watch : state_->watches) {
        if (watch->request.deadline <= state_->now)
            state_->endWatch(watch, { "store.watch", "memory", "the deadline has passed" }, false);
    }
    state_->deliver(lock);
}

void MemoryStore::setDown(bool down)
{
    State::Lock lock(state_->mutex);
    state_->down = down;
    if (down) {
        for (const auto &watch : state_->watches)
            state_->endWatch(watch, unavailableError("store.watch"), false);
    }
    state_->deliver(lock);
}

void MemoryStore::loseResponses(int count)
{
    const State::Lock lock(state_->mutex);
    state_->lostResponses = count;
}

void MemoryStore::loseRequests(int count)
{
    const State::Lock lock(state_->mutex);
    state_->lostRequests = count;
}

void MemoryStore::beforeNextTransaction(std::function<void()> action)
{
    const State::Lock lock(state_->mutex);
    state_->beforeTransaction = std::move(action);
}

void MemoryStore::compact(Revision revision)
{
    const State::Lock lock(state_->mutex);
    state_->compactBefore(std::min(revision, state_->revision));
}

Revision MemoryStore::revision() const
{
    const State::Lock lock(state_->mutex);
    return state_->revision;
}

std::size_t MemoryStore::calls(Call kind) const
{
    const State::Lock lock(state_->mutex);
    return state_->callCounts.at(static_cast<std::size_t>(kind));
}

std::size_t MemoryStore::runningWatches() const
{
    const State::Lock lock(state_->mutex);
    return static_cast<std::size_t>(
        std::ranges::count(state_->watches, false, [](const auto &watch) { return watch->ended; }));
}

} // namespace endivequay
