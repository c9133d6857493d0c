#ifndef ENDIVEQUAY_CONFIGSTORE_H
#define ENDIVEQUAY_CONFIGSTORE_H

#include "endivequay/store.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string_view>

namespace endivequay {

/// Maximum number of documents that a change puts or deletes.
inline constexpr std::size_t maxChangedDocuments = 100;

/// Document /endivequay/v1/config/head, which describes the last accepted change.
struct ConfigHead
{
    ChangeId change; ///< Empty if no change has been accepted yet.
    std::string by; ///< Name of the operator who submitted the change.
    std::size_t documents = 0; ///< Number of documents in the configuration, not counting the head.
    Revision revision; ///< Version of the configuration; 0 if no change has been accepted yet.

    bool operator==(const ConfigHead &) const = default;
};

/// All documents of one version. Names omit the key prefix, for example "teams/a".
struct ConfigSnapshot
{
    ConfigHead head;
    std::map<std::string, std::string> documents;
};

/// Maps document names to their new text, or to std::nullopt for a deleted document.
using DocumentEdits = std::map<std::string, std::optional<std::string>>;

/// A change to the configuration, submitted by an operator.
struct ConfigChange
{
    ChangeId id; ///< Unique among all changes, for example random.
    std::string by;
    Revision base; ///< Version that the change is based on.
    DocumentEdits edits; ///< At most maxChangedDocuments entries.
    std::size_t documents = 0; ///< Number of documents after the change.

    /// Returns the change that turns \a base into \a wanted. Fails if they are equal or differ in
    /// more than maxChangedDocuments documents.
    static Result<ConfigChange> between(const ConfigSnapshot &base,
        const std::map<std::string, std::string> &wanted, ChangeId id, std::string by);
};

/// Result of submitting a change.
struct SubmitResult
{
    WriteOutcome outcome = WriteOutcome::Unknown;
    /// Done: describes this change. Conflict: describes the change that was accepted instead.
    ConfigHead head;
    Error reason; ///< Empty if Done. Conflict: contains the other change's id and operator.
};

/// An accepted change, as reported by a watch.
struct AcceptedChange
{
    ConfigHead head;
    DocumentEdits edits;
};

/// Message of a configuration watch; \a ended and \a compacted are as in WatchMessage.
struct ConfigWatchMessage
{
    std::vector<AcceptedChange> changes; ///< In ascending order of their versions.
    std::optional<Error> ended;
    bool compacted = false;
};

/// The cell ledger document of a failure domain.
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

/// Reads and writes the configuration and the cell ledgers in a store, which must outlive this
/// object. Thread safe if the store is.
template <Store S>
class ConfigStore
{
public:
    explicit ConfigStore(S &store)
        : store_(&store)
    { }

    /// Returns the head document, which describes the last accepted change.
    Result<ConfigHead> readHead(Instant deadline) { return readHeadAt(Revision(0), deadline); }

    /// Returns all documents of the latest version. All pages are read at the same revision, so the
    /// result includes a concurrent change either completely or not at all.
    Result<ConfigSnapshot> readDocuments(Instant deadline);

    /// Submits \a change if its base is still the latest version. If the response is lost, calls
    /// resolve(). After Unknown, call resolve() instead of submit() again: submit() would report a
    /// conflict of the change with itself.
    SubmitResult submit(const ConfigChange &change, Instant deadline);

    /// Determines the outcome of a change whose submission ended with Unknown. If its base is still
    /// the latest version, sends the same transaction again. At most one of two transactions with
    /// the same comparison is applied, so a delayed first one is harmless.
    SubmitResult resolve(const ConfigChange &change, Instant deadline);

    /// Reports all changes accepted at revision \a from or later.
    WatchHandle watchChanges(
        Revision from, Instant deadline, std::function<void(const ConfigWatchMessage &)> callback);

    Result<LedgerValue> readLedger(const FailureDomainId &domain, Instant deadline);

    /// Replaces the ledger if \a base is still its revision; 0 means that it must not exist. A
    /// conflict returns the current ledger.
    WriteResult writeLedger(
        const FailureDomainId &domain, Revision base, std::string text, Instant deadline);

private:
    // Limits the memory for a response: a document can have up to 1 MB.
    static constexpr std::size_t pageSize = 16;
    static constexpr int maxResolveAttempts = 3;
    // Number of accepted changes that are searched for one whose response was lost.
    static constexpr int maxSearchedChanges = 32;

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
    for (int attempt = 0; attempt < maxResolveAttempts; ++attempt) {
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
    for (int searched = 0; searched < maxSearchedChanges; ++searched) {
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
        { "config.resolve", change.id.value(), "too many later changes were accepted" } };
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
    return store_->watch(request,
        [callback = std::move(callback), hasEnded = false](const WatchMessage &raw) mutable {
            if (hasEnded)
                return;
            const ConfigWatchMessage message = detail::toConfigMessage(raw);
            hasEnded = message.ended.has_value();
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
