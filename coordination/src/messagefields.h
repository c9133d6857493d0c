#ifndef ENDIVEQUAY_COORDINATION_MESSAGEFIELDS_H
#define ENDIVEQUAY_COORDINATION_MESSAGEFIELDS_H

#include "endivequay/codec.h"

#include <array>
#include <type_traits>
#include <variant>

// Fields of the messages between instances, for the archives of the codec.
namespace endivequay::detail {

struct Key
{
    const char *key; ///< In the encoded map.
    const char *name; ///< In error messages.
};

/// T or const T, as the archive reads or writes.
template <class Archive, class T>
using Of = std::conditional_t<Archive::reading, T, const T>;

// One description per structure serves both directions. A further message type needs an entry here
// (before the archives) and in kinds below.

template <class A>
void describe(A &a, Of<A, MemberIdentity> &m)
{
    a({ "i", "incarnation" }, m.incarnation);
    a({ "b", "start" }, m.start);
    a({ "a", "address" }, m.address);
    a({ "d", "domain" }, m.domain);
}

template <class A>
void describe(A &a, Of<A, LoadSummary> &m)
{
    a({ "f", "inFlight" }, m.inFlight);
    a({ "s", "slots" }, m.slots);
    a({ "q", "queued" }, m.queued);
}

template <class A>
void describe(A &a, Of<A, SilenceReport> &m)
{
    a({ "i", "reader" }, m.reader);
    a({ "r", "revision" }, m.revision);
    a({ "s", "sinceAge" }, m.sinceAge);
    a({ "a", "asOfAge" }, m.asOfAge);
}

template <class A>
void describe(A &a, Of<A, SnapshotCursor> &m)
{
    a({ "r", "snapshot" }, m.snapshot);
    a({ "n", "after" }, m.after);
}

template <class A>
void describe(A &a, Of<A, LoggedChange> &m)
{
    a({ "r", "revision" }, m.revision);
    a({ "b", "previous" }, m.previous);
    a({ "c", "change" }, m.change);
    a({ "p", "puts" }, m.puts);
    a({ "x", "deletes" }, m.deletes);
}

template <class A>
void describe(A &a, Of<A, ConfigDelta> &m)
{
    a({ "c", "changes" }, m.changes);
}

template <class A>
void describe(A &a, Of<A, SnapshotPart> &m)
{
    a({ "r", "revision" }, m.revision);
    a({ "c", "change" }, m.change);
    a({ "a", "after" }, m.after);
    a({ "d", "documents" }, m.documents);
    a({ "l", "last" }, m.last);
}

template <class A>
void describe(A &a, Of<A, DigestEntry> &m)
{
    a({ "m", "identity" }, m.identity);
    a({ "n", "sequence" }, m.sequence);
    a({ "s", "state" }, m.state);
    a({ "h", "heardAge" }, m.heardAge);
}

template <class A>
void describe(A &a, Of<A, Hello> &m)
{
    a({ "t", "time" }, m.time);
    a({ "m", "identity" }, m.identity);
}

template <class A>
void describe(A &a, Of<A, Heartbeat> &m)
{
    a({ "t", "time" }, m.time);
    a({ "i", "incarnation" }, m.incarnation);
    a({ "n", "sequence" }, m.sequence);
    a({ "s", "state" }, m.state);
    a({ "r", "revision" }, m.revision);
    a({ "c", "confirmedAge" }, m.confirmedAge);
    a({ "l", "load" }, m.load);
    a({ "p", "syncPath" }, m.syncPath);
}

template <class A>
void describe(A &a, Of<A, HeartbeatEcho> &m)
{
    a({ "n", "sequence" }, m.sequence);
    a({ "q", "silences" }, m.silences);
}

template <class A>
void describe(A &a, Of<A, ConfigPull> &m)
{
    a({ "n", "number" }, m.number);
    a({ "r", "revision" }, m.revision);
    a({ "u", "cursor" }, m.cursor);
}

template <class A>
void describe(A &a, Of<A, ConfigReply> &m)
{
    a({ "t", "time" }, m.time);
    a({ "n", "number" }, m.number);
    a({ "r", "revision" }, m.revision);
    a({ "c", "confirmedAge" }, m.confirmedAge);
    a({ "p", "syncPath" }, m.syncPath);
    a({ "q", "silences" }, m.silences);
    a.alternatives({ "d", "delta" }, { "s", "snapshot" }, m.update);
}

template <class A>
void describe(A &a, Of<A, MemberDigest> &m)
{
    a({ "i", "incarnation" }, m.incarnation);
    a({ "e", "entries" }, m.entries);
}

template <class A>
void describe(A &a, Of<A, KnownLedger> &m)
{
    a({ "d", "domain" }, m.domain);
    a({ "r", "revision" }, m.revision);
}

template <class A>
void describe(A &a, Of<A, LedgerPull> &m)
{
    a({ "n", "number" }, m.number);
    a({ "i", "incarnation" }, m.incarnation);
    a({ "d", "domain" }, m.domain);
    a({ "l", "known" }, m.known);
    a({ "f", "all" }, m.all);
}

template <class A>
void describe(A &a, Of<A, LedgerEntry> &m)
{
    a({ "d", "domain" }, m.domain);
    a({ "r", "revision" }, m.revision);
    a({ "a", "age" }, m.age);
    a({ "t", "document" }, m.document);
}

template <class A>
void describe(A &a, Of<A, LedgerReply> &m)
{
    a({ "n", "number" }, m.number);
    a({ "i", "incarnation" }, m.incarnation);
    a({ "e", "entries" }, m.entries);
}

template <class A>
void describe(A &a, Of<A, Allotment> &m)
{
    a({ "r", "rate" }, m.rate);
    a({ "b", "burst" }, m.burst);
}

template <class A>
void describe(A &a, Of<A, LoanId> &m)
{
    a({ "i", "borrower" }, m.borrower);
    a({ "n", "sequence" }, m.sequence);
}

template <class A>
void describe(A &a, Of<A, LoanOrigin> &m)
{
    a({ "i", "lender" }, m.lender);
    a({ "l", "id" }, m.id);
}

template <class A>
void describe(A &a, Of<A, CellRelease> &m)
{
    a({ "d", "domain" }, m.domain);
    a({ "i", "keeper" }, m.keeper);
    a({ "r", "ledger" }, m.ledger);
    a({ "c", "cells" }, m.cells);
}

template <class A>
void describe(A &a, Of<A, CellReleased> &m)
{
    a({ "d", "domain" }, m.domain);
    a({ "i", "owner" }, m.owner);
    a({ "r", "ledger" }, m.ledger);
    a({ "c", "cells" }, m.cells);
}

template <class A>
void describe(A &a, Of<A, LoanRequest> &m)
{
    a({ "l", "id" }, m.id);
    a({ "r", "resource" }, m.resource);
    a({ "d", "definition" }, m.definition);
    a({ "a", "amount" }, m.amount);
    a({ "t", "tokens" }, m.tokens);
    a({ "s", "slots" }, m.slots);
    a({ "w", "renews" }, m.renews);
}

template <class A>
void describe(A &a, Of<A, LoanReply> &m)
{
    a({ "l", "id" }, m.id);
    a({ "r", "resource" }, m.resource);
    a({ "i", "lender" }, m.lender);
    a({ "d", "definition" }, m.definition);
    a({ "a", "amount" }, m.amount);
    a({ "t", "tokens" }, m.tokens);
    a({ "s", "slots" }, m.slots);
    a({ "e", "term" }, m.term);
    a({ "o", "origin" }, m.origin);
    a({ "h", "holder" }, m.holder);
}

template <class A>
void describe(A &a, Of<A, LoanReturn> &m)
{
    a({ "l", "id" }, m.id);
    a({ "m", "message" }, m.message);
    a({ "r", "resource" }, m.resource);
    a({ "a", "amount" }, m.amount);
    a({ "t", "tokens" }, m.tokens);
    a({ "s", "slots" }, m.slots);
}

/// Kinds in the order of the alternatives of Message. A kind is never reused for another meaning.
inline constexpr std::array<Key, std::variant_size_v<Message>> kinds { { { "he", "hello" },
    { "hb", "heartbeat" }, { "ec", "echo" }, { "pu", "pull" }, { "re", "reply" },
    { "md", "digest" }, { "lp", "ledgerPull" }, { "lr", "ledgerReply" }, { "cr", "cellRelease" },
    { "cd", "cellReleased" }, { "lq", "loanRequest" }, { "la", "loanReply" },
    { "lb", "loanReturn" } } };

} // namespace endivequay::detail

#endif
