#ifndef ENDIVEQUAY_CONFIGSTORE_H
#define ENDIVEQUAY_CONFIGSTORE_H

#include "endivequay/store.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string_view>

namespace endivequay {

/// Largest number of documents that one change puts or deletes.
inline constexpr std::size_t maxChangedDocuments = 100;

/// The document /endivequay/v1/config/head: the last accepted change.
struct ConfigHead
{
    ChangeId change; ///< Empty if no change was accepted yet.
    std::string by; ///< The operator.
    std::size_t documents = 0; ///< Number of documents of the whole configuration, without head.
    Revision revision; ///< Version of the configuration; 0 if no change was accepted yet.

    bool operator==(const ConfigHead &) const = default;
};

/// All documents at one version. Names are without the prefix, for example "teams/a".
struct ConfigSnapshot
{
    ConfigHead head;
    std::map<std::string, std::string> documents;
};

/// Document names with their new text; empty for a deleted document.
using DocumentEdits = std::map<std::string, std::optional<std::string>>;

/// One change as an operator submits it.
struct ConfigChange
{
    ChangeId id; ///< Unique over all changes, for example random.
    std::string by;
    Revision base; ///< Version that the change was made from.
    DocumentEdits edits; ///< At most maxChangedDocuments.
    std::size_t documents = 0; ///< Number of documents after the change.

    /// The change that turns \a base into \a wanted. Fails if nothing or too much differs.
    static Result<ConfigChange> between(const ConfigSnapshot &base,
        const std::map<std::string, std::string> &wanted, ChangeId id, std::string by);
};

/// What became of a submitted change.
struct SubmitResult
{
    WriteOutcome outcome = WriteOutcome::Unknown;
    /// Done: this change, with its version. Conflict: the change that was accepted instead.
    ConfigHead head;
    Error reason; ///< Empty if Done; names the other change and its operator on a conflict.
};

/// One accepted change as a watch reports it.
struct AcceptedChange
{
    ConfigHead head;
    DocumentEdits edits;
};

/// Message of a watch of the configuration; fields as in WatchMessage.
struct ConfigWatchMessage
{
    std::vector<AcceptedChange> changes; ///< In the order of their versions.
    std::optional<Error> ended;
    bool compacted = false;
};

/// Text of the cell ledger of a failure domain.
struct LedgerValue
{
    std::string text; ///< Empty if the ledger does not exist yet.
    Revision revision; ///< 0 if the ledger does not exist yet.
};

namespace detail {

inline constexpr std::string_view configPrefix = "/endivequay/v1/config/";
inline constexpr std::string_view ledgerPrefix = "/endivequay/v1/ledger/";

std::string configKey(std::string_view name);
std::string ledgerKey(const FailureDomainId &domain);
std::string formatHead(const ConfigChange &change);
Result<ConfigHead> parseHead(const std::string &text, Revision revision);
Status checkChange(const ConfigChange &change);
TransactionRequest toTransaction(const ConfigChange &change, Instant deadline);
Result<ConfigSnapshot> toSnapshot(std::vector<KeyValue> values);
SubmitResult conflictWith(const ConfigHead &other);
ConfigWatchMessage toConfigMessage(const WatchMessage &message);

} // namespace detail

/// Reads and changes the configuration and the cell ledgers in a store. The store must outlive it.
/// Thread safe if the store is.
template <Store S>
class ConfigStore
{
public:
    explicit ConfigStore(S &store)
        : store_(&store)
    { }

    /// The last accepted change.
    Result<ConfigHead> readHead(Instant deadline) { return readHeadAt(Revision(0), deadline); }

    /// All documents of the latest version. Reads pages at one revision, so that a change during
    /// the call is either in all of them or in none.
    Result<ConfigSnapshot> readDocuments(Instant deadline);

    /// Submits \a change if its base is still the latest version. A lost answer is resolved as in
    /// resolve(). After Unknown, call resolve() rather than submit(), which would report the change
    /// itself as a conflict.
    SubmitResult submit(const ConfigChange &change, Instant deadline);

    /// Finds out what became of a change whose submission ended Unknown. If the base is still the
    /// latest version, the same transaction is sent again: of two transactions with the same
    /// comparison at most one takes effect, so a delayed first one can no longer surprise.
    SubmitResult resolve(const ConfigChange &change, Instant deadline);

    /// Reports every change accepted from revision \a from on.
    WatchHandle watchChanges(
        Revision from, Instant deadline, std::function<void(const ConfigWatchMessage &)> callback);

    Result<LedgerValue> readLedger(const FailureDomainId &domain, Instant deadline);

    /// Replaces the ledger if \a base is still its revision (0: if it does not exist). A conflict
    /// carries the present ledger.
    WriteResult writeLedger(
        const FailureDomainId &domain, Revision base, std::string text, Instant deadline);

private:
    // Documents are up to 1 MB each; a page bounds the memory of an answer.
    static constexpr std::size_t pageSize = 16;
    static constexpr int resolveAttempts = 3;
    // Changes accepted after a lost one that are searched for it.
    static constexpr int searchedChanges = 32;

    Result<ConfigHead> readHeadAt(Revision at, Instant deadline);
    Result<std::vector<KeyValue>> readPages(Instant deadline);
    static SubmitResult accepted(const ConfigChange &change, Revision revision)
    {
        return { WriteOutcome::Done, { change.id, change.by, change.documents, revision }, {} };
    }
    SubmitResult searchHistory(const ConfigChange &change, ConfigHead head, Instant deadline);

    S *store_;
};

template <Store S>
Result<ConfigHead> ConfigStore<S>::readHeadAt(Revision at, Instant deadline)
{
    RangeRequest request;
    request.key = detail::configKey("head");
    request.at = at;
    request.deadline = deadline;
    const auto response = store_->range(request);
    if (!response)
        return response.lastReason();
    if (response->values.empty())
        return ConfigHead {};
    const KeyValue &head = response->values.front();
    return detail::parseHead(head.value, head.modified);
}

template <Store S>
Result<std::vector<KeyValue>> ConfigStore<S>::readPages(Instant deadline)
{
    RangeRequest request;
    request.key = std::string(detail::configPrefix);
    request.scope = KeyScope::Prefix;
    request.limit = pageSize;
    request.deadline = deadline;
    std::vector<KeyValue> values;
    for (bool more = true; more;) {
        auto page = store_->range(request);
        if (!page)
            return page.lastReason();
        std::ranges::move(page->values, std::back_inserter(values));
        more = page->more && !page->values.empty();
        if (request.at == Revision(0))
            request.at = page->revision;
        if (more)
            request.after = values.back().key;
    }
    return values;
}

template <Store S>
Result<ConfigSnapshot> ConfigStore<S>::readDocuments(Instant deadline)
{
    auto values = readPages(deadline);
    if (!values)
        return values.lastReason();
    return detail::toSnapshot(*std::move(values));
}

template <Store S>
SubmitResult ConfigStore<S>::submit(const ConfigChange &change, Instant deadline)
{
    if (const Status checked = detail::checkChange(change); !checked)
        return { WriteOutcome::NotApplied, {}, checked.lastReason() };
    const WriteResult written = store_->transact(detail::toTransaction(change, deadline));
    if (written.outcome == WriteOutcome::Done)
        return accepted(change, written.revision);
    if (written.outcome == WriteOutcome::Unknown)
        return resolve(change, deadline);
    if (written.outcome == WriteOutcome::NotApplied)
        return { WriteOutcome::NotApplied, {}, written.reason };
    if (written.current.empty())
        return detail::conflictWith({});
    const KeyValue &current = written.current.front();
    const auto head = detail::parseHead(current.value, current.modified);
    if (!head)
        return { WriteOutcome::Conflict, {}, head.lastReason() };
    return detail::conflictWith(*head);
}

template <Store S>
SubmitResult ConfigStore<S>::resolve(const ConfigChange &change, Instant deadline)
{
    SubmitResult result;
    for (int attempt = 0; attempt < resolveAttempts; ++attempt) {
        const auto head = readHead(deadline);
        if (!head) {
            result.reason = head.lastReason();
            continue;
        }
        if (head->change == change.id || head->revision != change.base)
            return searchHistory(change, *head, deadline);
        const WriteResult written = store_->transact(detail::toTransaction(change, deadline));
        if (written.outcome == WriteOutcome::Done)
            return accepted(change, written.revision);
        result.reason = written.reason;
    }
    return result;
}

template <Store S>
SubmitResult ConfigStore<S>::searchHistory(
    const ConfigChange &change, ConfigHead head, Instant deadline)
{
    for (int searched = 0; searched < searchedChanges; ++searched) {
        if (head.change == change.id)
            return { WriteOutcome::Done, head, {} };
        const auto previous = readHeadAt(Revision(head.revision.value() - 1), deadline);
        if (!previous)
            return { WriteOutcome::Unknown, {}, previous.lastReason() };
        if (previous->revision <= change.base)
            return detail::conflictWith(head);
        head = *previous;
    }
    return { WriteOutcome::Unknown, {},
        { "config.resolve", change.id.value(), "too many changes were accepted since" } };
}

template <Store S>
WatchHandle ConfigStore<S>::watchChanges(
    Revision from, Instant deadline, std::function<void(const ConfigWatchMessage &)> callback)
{
    WatchRequest request;
    request.key = std::string(detail::configPrefix);
    request.scope = KeyScope::Prefix;
    request.from = from;
    request.deadline = deadline;
    return store_->watch(
        request, [callback = std::move(callback), over = false](const WatchMessage &raw) mutable {
            if (over)
                return;
            const ConfigWatchMessage message = detail::toConfigMessage(raw);
            over = message.ended.has_value();
            callback(message);
        });
}

template <Store S>
Result<LedgerValue> ConfigStore<S>::readLedger(const FailureDomainId &domain, Instant deadline)
{
    RangeRequest request;
    request.key = detail::ledgerKey(domain);
    request.deadline = deadline;
    auto response = store_->range(request);
    if (!response)
        return response.lastReason();
    if (response->values.empty())
        return LedgerValue {};
    KeyValue &ledger = response->values.front();
    return LedgerValue { std::move(ledger.value), ledger.modified };
}

template <Store S>
WriteResult ConfigStore<S>::writeLedger(
    const FailureDomainId &domain, Revision base, std::string text, Instant deadline)
{
    const std::string key = detail::ledgerKey(domain);
    TransactionRequest request;
    request.compares = { { key, base } };
    request.puts = { { key, std::move(text), {} } };
    request.deadline = deadline;
    return store_->transact(request);
}

} // namespace endivequay

#endif
