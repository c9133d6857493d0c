#ifndef ENDIVEQUAY_CONFIGSTORE_H
#define ENDIVEQUAY_CONFIGSTORE_H

#include "endivequay/store.h"

#include <map>

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
    /// resolve().
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
    SubmitResult searchHistory(const ConfigChange &change, ConfigHead head, Instant deadline);

    S *store_;
};

} // namespace endivequay

#endif
