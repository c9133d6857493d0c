#ifndef ENDIVEQUAY_COORDINATION_MESSAGEFIELDS_H
#define ENDIVEQUAY_COORDINATION_MESSAGEFIELDS_H

#include "endivequay/codec.h"

#include <array>
#include <type_traits>
#include <variant>

// Field descriptions of the messages between instances, used by the reader and writer of the codec.
namespace endivequay::detail {

struct FieldKey
{
    const char *key; ///< Key in the encoded map.
    const char *name; ///< Field name in error messages.
};

/// T for an archive that reads, const T for one that writes.
template <class ArchiveType, class T>
using MaybeConst = std::conditional_t<ArchiveType::reading, T, const T>;

// Each overload serves both directions. A new message type needs an overload here, ahead of the
// archive classes, and an entry in messageKinds.

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, MemberIdentity> &value)
{
    archive({ "i", "incarnation" }, value.incarnation);
    archive({ "b", "start" }, value.start);
    archive({ "a", "address" }, value.address);
    archive({ "d", "domain" }, value.domain);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, LoadSummary> &value)
{
    archive({ "f", "inFlight" }, value.inFlight);
    archive({ "s", "slots" }, value.slots);
    archive({ "q", "queued" }, value.queued);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, SilenceReport> &value)
{
    archive({ "i", "reader" }, value.reader);
    archive({ "r", "revision" }, value.revision);
    archive({ "s", "sinceAge" }, value.sinceAge);
    archive({ "a", "asOfAge" }, value.asOfAge);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, SnapshotCursor> &value)
{
    archive({ "r", "snapshot" }, value.snapshot);
    archive({ "n", "after" }, value.after);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, LoggedChange> &value)
{
    archive({ "r", "revision" }, value.revision);
    archive({ "b", "previous" }, value.previous);
    archive({ "c", "change" }, value.change);
    archive({ "p", "puts" }, value.puts);
    archive({ "x", "deletes" }, value.deletes);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, ConfigDelta> &value)
{
    archive({ "c", "changes" }, value.changes);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, SnapshotPart> &value)
{
    archive({ "r", "revision" }, value.revision);
    archive({ "c", "change" }, value.change);
    archive({ "a", "after" }, value.after);
    archive({ "d", "documents" }, value.documents);
    archive({ "l", "last" }, value.last);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, DigestEntry> &value)
{
    archive({ "m", "identity" }, value.identity);
    archive({ "n", "sequence" }, value.sequence);
    archive({ "s", "state" }, value.state);
    archive({ "h", "heardAge" }, value.heardAge);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, Hello> &value)
{
    archive({ "t", "time" }, value.time);
    archive({ "m", "identity" }, value.identity);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, Heartbeat> &value)
{
    archive({ "t", "time" }, value.time);
    archive({ "i", "incarnation" }, value.incarnation);
    archive({ "n", "sequence" }, value.sequence);
    archive({ "s", "state" }, value.state);
    archive({ "r", "revision" }, value.revision);
    archive({ "c", "confirmedAge" }, value.confirmedAge);
    archive({ "l", "load" }, value.load);
    archive({ "p", "syncPath" }, value.syncPath);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, HeartbeatEcho> &value)
{
    archive({ "n", "sequence" }, value.sequence);
    archive({ "q", "silences" }, value.silences);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, ConfigPull> &value)
{
    archive({ "n", "number" }, value.number);
    archive({ "r", "revision" }, value.revision);
    archive({ "u", "cursor" }, value.cursor);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, ConfigReply> &value)
{
    archive({ "t", "time" }, value.time);
    archive({ "n", "number" }, value.number);
    archive({ "r", "revision" }, value.revision);
    archive({ "c", "confirmedAge" }, value.confirmedAge);
    archive({ "p", "syncPath" }, value.syncPath);
    archive({ "q", "silences" }, value.silences);
    archive.alternatives({ "d", "delta" }, { "s", "snapshot" }, value.update);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, MemberDigest> &value)
{
    archive({ "i", "incarnation" }, value.incarnation);
    archive({ "e", "entries" }, value.entries);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, KnownLedger> &value)
{
    archive({ "d", "domain" }, value.domain);
    archive({ "r", "revision" }, value.revision);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, LedgerPull> &value)
{
    archive({ "n", "number" }, value.number);
    archive({ "i", "incarnation" }, value.incarnation);
    archive({ "d", "domain" }, value.domain);
    archive({ "l", "known" }, value.known);
    archive({ "f", "all" }, value.all);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, LedgerEntry> &value)
{
    archive({ "d", "domain" }, value.domain);
    archive({ "r", "revision" }, value.revision);
    archive({ "a", "age" }, value.age);
    archive({ "t", "document" }, value.document);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, LedgerReply> &value)
{
    archive({ "n", "number" }, value.number);
    archive({ "i", "incarnation" }, value.incarnation);
    archive({ "e", "entries" }, value.entries);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, Allotment> &value)
{
    archive({ "r", "rate" }, value.rate);
    archive({ "b", "burst" }, value.burst);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, LoanId> &value)
{
    archive({ "i", "borrower" }, value.borrower);
    archive({ "n", "sequence" }, value.sequence);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, LoanOrigin> &value)
{
    archive({ "i", "lender" }, value.lender);
    archive({ "l", "id" }, value.id);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, CellRelease> &value)
{
    archive({ "d", "domain" }, value.domain);
    archive({ "i", "keeper" }, value.keeper);
    archive({ "r", "ledger" }, value.ledger);
    archive({ "c", "cells" }, value.cells);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, CellReleased> &value)
{
    archive({ "d", "domain" }, value.domain);
    archive({ "i", "owner" }, value.owner);
    archive({ "r", "ledger" }, value.ledger);
    archive({ "c", "cells" }, value.cells);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, LoanRequest> &value)
{
    archive({ "l", "id" }, value.id);
    archive({ "r", "resource" }, value.resource);
    archive({ "d", "definition" }, value.definition);
    archive({ "a", "amount" }, value.amount);
    archive({ "t", "tokens" }, value.tokens);
    archive({ "s", "slots" }, value.slots);
    archive({ "w", "renews" }, value.renews);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, LoanReply> &value)
{
    archive({ "l", "id" }, value.id);
    archive({ "r", "resource" }, value.resource);
    archive({ "i", "lender" }, value.lender);
    archive({ "d", "definition" }, value.definition);
    archive({ "a", "amount" }, value.amount);
    archive({ "t", "tokens" }, value.tokens);
    archive({ "s", "slots" }, value.slots);
    archive({ "e", "term" }, value.term);
    archive({ "o", "origin" }, value.origin);
    archive({ "h", "holder" }, value.holder);
}

template <class Archive>
void archiveFields(Archive &archive, MaybeConst<Archive, LoanReturn> &value)
{
    archive({ "l", "id" }, value.id);
    archive({ "m", "message" }, value.message);
    archive({ "r", "resource" }, value.resource);
    archive({ "a", "amount" }, value.amount);
    archive({ "t", "tokens" }, value.tokens);
    archive({ "s", "slots" }, value.slots);
}

/// Message types in the order of the alternatives of Message. A key is never reused for another
/// type.
inline constexpr std::array<FieldKey, std::variant_size_v<Message>> messageKinds {
    { { "he", "hello" }, { "hb", "heartbeat" }, { "ec", "echo" }, { "pu", "pull" },
        { "re", "reply" }, { "md", "digest" }, { "lp", "ledgerPull" }, { "lr", "ledgerReply" },
        { "cr", "cellRelease" }, { "cd", "cellReleased" }, { "lq", "loanRequest" },
        { "la", "loanReply" }, { "lb", "loanReturn" } }
};

} // namespace endivequay::detail

#endif
