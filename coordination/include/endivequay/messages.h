#ifndef ENDIVEQUAY_MESSAGES_H
#define ENDIVEQUAY_MESSAGES_H

#include "endivequay/clock.h"
#include "endivequay/configlog.h"
#include "endivequay/events.h"
#include "endivequay/freshness.h"
#include "endivequay/sharemessages.h"
#include "endivequay/types.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace endivequay {

/// Participation of a member as it is told to others.
enum class MemberState : std::uint8_t {
    Serving,
    Leaving,
    Suspect ///< Unheard for 3 s by the node that reports it.
};

/// Who a member is. Fixed for the life of the process.
struct MemberIdentity
{
    Incarnation incarnation;
    /// Orders incarnations at one address: microseconds of the wall clock at process start.
    std::uint64_t start = 0;
    Address address;
    FailureDomainId domain;

    bool operator==(const MemberIdentity &) const = default;
};

/// Load of an instance for choices between peers.
struct LoadSummary
{
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 0;
    std::uint32_t queued = 0;

    bool operator==(const LoadSummary &) const = default;
};

/// First message on an authenticated link.
struct Hello
{
    HybridTime time;
    MemberIdentity identity;

    bool operator==(const Hello &) const = default;
};

/// Sent on each link once a second.
struct Heartbeat
{
    HybridTime time;
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    MemberState state = MemberState::Serving;
    Revision revision;
    std::optional<Interval> confirmedAge; ///< Absent before the first confirmation.
    LoadSummary load;
    std::vector<Incarnation> syncPath; ///< See SyncSource::path().

    bool operator==(const Heartbeat &) const = default;
};

/// Answer to a heartbeat on the same link. Like the following messages between two peers it does
/// not name its sender, which the Hello of the link has told.
struct HeartbeatEcho
{
    std::uint64_t sequence = 0; ///< Of the heartbeat that is answered.
    std::vector<SilenceReport> silences;

    bool operator==(const HeartbeatEcho &) const = default;
};

/// Asks a peer for the changes since a revision.
struct ConfigPull
{
    std::uint64_t number = 0; ///< Repeated in the reply, which finds the send time by it.
    Revision revision;
    std::optional<SnapshotCursor> cursor;

    bool operator==(const ConfigPull &) const = default;
};

/// Answer to a ConfigPull.
struct ConfigReply
{
    HybridTime time;
    std::uint64_t number = 0;
    Revision revision; ///< That the source has applied; its confirmation is for this revision.
    std::optional<Interval> confirmedAge;
    std::vector<Incarnation> syncPath;
    std::vector<SilenceReport> silences;
    ConfigUpdate update;
};

/// What a node knows about one member.
struct DigestEntry
{
    MemberIdentity identity;
    std::uint64_t sequence = 0; ///< Of the latest heartbeat that anybody has heard.
    MemberState state = MemberState::Serving;
    Interval heardAge {}; ///< Since that heartbeat was heard.

    bool operator==(const DigestEntry &) const = default;
};

/// A part of the sender's membership view.
struct MemberDigest
{
    Incarnation incarnation; ///< Of the sender.
    std::vector<DigestEntry> entries;

    bool operator==(const MemberDigest &) const = default;
};

/// Revision of a cell ledger that the sender has.
struct KnownLedger
{
    FailureDomainId domain;
    Revision revision;

    bool operator==(const KnownLedger &) const = default;
};

/// Asks a peer for the ledger of the sender's domain and for newer ones of other domains.
struct LedgerPull
{
    std::uint64_t number = 0; ///< Repeated in the reply, which finds the send time by it.
    Incarnation incarnation;
    FailureDomainId domain; ///< Of the sender: its entry is always in the reply.
    std::vector<KnownLedger> known;
    bool all = false; ///< \a known is complete: the reply names newer and missing ones too.

    bool operator==(const LedgerPull &) const = default;
};

/// A cell ledger as the sender knows it.
struct LedgerEntry
{
    FailureDomainId domain;
    Revision revision;
    Interval age {}; ///< Since the start of the store read that returned this revision last.
    /// Domain name and ledger text; absent if the asking side has this revision.
    std::optional<std::pair<std::string, DocumentText>> document;
};

/// Answer to a LedgerPull.
struct LedgerReply
{
    std::uint64_t number = 0;
    Incarnation incarnation;
    std::vector<LedgerEntry> entries;
};

/// Every message of a peer link. A further type needs an alternative here and a schema in
/// codec.cpp.
using Message = std::variant<Hello, Heartbeat, HeartbeatEcho, ConfigPull, ConfigReply, MemberDigest,
    LedgerPull, LedgerReply, CellRelease, CellReleased, LoanRequest, LoanReply, LoanReturn>;

} // namespace endivequay

#endif
