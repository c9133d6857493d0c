#ifndef ENDIVEQUAY_PEERMESSAGES_H
#define ENDIVEQUAY_PEERMESSAGES_H

#include "endivequay/fleet.h"
#include "endivequay/result.h"
#include "endivequay/routing.h"
#include "endivequay/storeposition.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace endivequay {

/// Registration of an instance in the store.
struct MemberRecord
{
    InstanceId id;
    FailureDomainId domain;
    RegionId region;
    Address callers; ///< Address for callers.
    Address control; ///< Address for state requests of peers.
    Address heartbeats; ///< UDP address for messages of other instances.
    std::uint64_t incarnation = 0;
    double linkMbps = 0; ///< Bandwidth of the machine in Mbit/s; 0: unknown.
    double cores = 0; ///< Processor cores, with fractions; 0: unknown.

    InstanceCapacity capacity() const { return { cores, linkMbps }; }

    bool operator==(const MemberRecord &) const = default;
};

std::string encodeMember(const MemberRecord &record);
Result<MemberRecord> decodeMember(std::string_view text);

/// Heartbeat of an instance, sent a few times a second.
struct PeerHeartbeat
{
    InstanceId id;
    std::uint64_t incarnation = 0;
    std::optional<MemberRecord>
        member; ///< In some heartbeats, for receivers without the list from the store.
    bool leaving = false;
    StorePosition stateAsOf; ///< Position of the sender's replica.
    Interval stateAge {}; ///< Time since the store confirmed that position.
    std::optional<DemandReport> demand; ///< None if the domain digest carries the demand.
    bool overloaded = false; ///< The sender's event loop runs late.
};

/// Entry of one instance in the digest of its failure domain.
struct MemberState
{
    InstanceId id;
    std::uint64_t incarnation = 0;
    Interval age {}; ///< Time since its last heartbeat at the relay.
    bool leaving = false;
    StorePosition stateAsOf;
    Interval stateAge {};
    std::optional<MemberRecord> member; ///< In some digests, as in PeerHeartbeat.
    bool overloaded = false; ///< As in PeerHeartbeat.
};

/// State of all instances of a failure domain, sent by its relays to other domains.
struct DomainDigest
{
    InstanceId relay;
    FailureDomainId domain;
    bool forwarded = false; ///< Forwarded by the relay of the receiver's domain.
    std::vector<MemberState> members; ///< Including the relay.
    DemandReport demand; ///< Sum over the members.
};

/// Token request to the instance that keeps a team's reserve, or the reply to one.
struct TokenMessage
{
    bool isReply = false;
    InstanceId from;
    DemandKey team;
    int count = 0; ///< Requested or granted tokens.
};

std::string encodeTokenMessage(const TokenMessage &message);

/// Any message between instances.
using PeerMessage = std::variant<PeerHeartbeat, TokenMessage, DomainDigest>;
Result<PeerMessage> decodePeerMessage(std::string_view bytes);

std::string encodeHeartbeat(const PeerHeartbeat &heartbeat);
Result<PeerHeartbeat> decodeHeartbeat(std::string_view bytes);

std::string encodeDigest(const DomainDigest &digest);
Result<DomainDigest> decodeDigest(std::string_view bytes);

} // namespace endivequay

#endif
