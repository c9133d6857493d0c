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

/// State of a member as reported to peers.
enum class MemberState : std::uint8_t {
    Serving,
    Leaving,
    Suspect ///< The reporting node has received no heartbeat for 3 s.
};

/// Identity of a member; constant while the process runs.
struct MemberIdentity
{
    Incarnation incarnation;
    /// Orders incarnations at one address: microseconds of the wall clock at process start.
    std::uint64_t start = 0;
    Address address;
    FailureDomainId domain;

    bool operator==(const MemberIdentity &) const = default;
};

/// Load of an instance, for the selection among peers.
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

/// Response to a heartbeat on the same link. Neither this message nor most of the following ones
/// name their sender, which is known from the Hello of the link.
struct HeartbeatEcho
{
    std::uint64_t sequence = 0; ///< Sequence of the acknowledged heartbeat.
    std::vector<SilenceReport> silences;

    bool operator==(const HeartbeatEcho &) const = default;
};

/// Requests the configuration changes since a revision from a peer.
struct ConfigPull
{
    std::uint64_t number = 0; ///< Repeated in the reply to match it with its send time.
    Revision revision;
    std::optional<SnapshotCursor> cursor;

    bool operator==(const ConfigPull &) const = default;
};

/// Response to a ConfigPull.
struct ConfigReply
{
    HybridTime time;
    std::uint64_t number = 0;
    Revision revision; ///< Applied by the source; confirmedAge refers to it.
    std::optional<Interval> confirmedAge;
    std::vector<Incarnation> syncPath;
    std::vector<SilenceReport> silences;
    ConfigUpdate update;
};

/// State of one member, as known to the sender.
struct DigestEntry
{
    MemberIdentity identity;
    std::uint64_t sequence = 0; ///< Sequence of the latest known heartbeat.
    MemberState state = MemberState::Serving;
    Interval heardAge {}; ///< Time since that heartbeat was received.

    bool operator==(const DigestEntry &) const = default;
};

/// Part of the sender's membership view, as gossip.
struct MemberDigest
{
    Incarnation incarnation; ///< Incarnation of the sender.
    std::vector<DigestEntry> entries;

    bool operator==(const MemberDigest &) const = default;
};

/// Revision of a cell ledger that the sender holds.
struct KnownLedger
{
    FailureDomainId domain;
    Revision revision;

    bool operator==(const KnownLedger &) const = default;
};

/// Requests the ledger of the sender's domain and newer ledgers of other domains from a peer.
struct LedgerPull
{
    std::uint64_t number = 0; ///< Repeated in the reply to match it with its send time.
    Incarnation incarnation;
    FailureDomainId domain; ///< Of the sender; the reply always contains its entry.
    std::vector<KnownLedger> known;
    bool all = false; ///< \a known is complete; the reply has newer and missing ones too.

    bool operator==(const LedgerPull &) const = default;
};

/// A cell ledger as known to the sender.
struct LedgerEntry
{
    FailureDomainId domain;
    Revision revision;
    Interval age {}; ///< Time since the start of the latest store read that returned this revision.
    /// Domain name and ledger text; absent if the requesting node has this revision.
    std::optional<std::pair<std::string, DocumentText>> document;
};

/// Response to a LedgerPull.
struct LedgerReply
{
    std::uint64_t number = 0;
    Incarnation incarnation;
    std::vector<LedgerEntry> entries;
};

/// All messages of a peer link. A new type needs an alternative here and its fields in
/// messagefields.h.
using Message = std::variant<Hello, Heartbeat, HeartbeatEcho, ConfigPull, ConfigReply, MemberDigest,
    LedgerPull, LedgerReply, CellRelease, CellReleased, LoanRequest, LoanReply, LoanReturn>;

} // namespace endivequay

#endif
