#ifndef ENDIVEQUAY_MEMBERSHIP_H
#define ENDIVEQUAY_MEMBERSHIP_H

#include "endivequay/clock.h"
#include "endivequay/messages.h"
#include "endivequay/types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivequay {

/// Entry of the platform's instance list. The list is delayed and does not contain incarnations.
struct ListedInstance
{
    Address address;
    FailureDomainId domain;
    bool leaving = false;
};

/// State of one instance of the fleet as known to this node.
struct Member
{
    MemberIdentity identity; ///< Incarnation 0 while only the platform's list names it.
    MemberState state = MemberState::Serving; ///< Last reported state, without local suspicion.
    std::uint64_t sequence = 0; ///< Sequence of the latest known heartbeat.
    Revision revision;
    /// Estimate from its heartbeat; only for choosing a sync source.
    std::optional<Instant> confirmedAsOf;
    LoadSummary load;
    std::vector<Incarnation> syncPath;
    std::optional<Instant> heardAt; ///< Last heartbeat received by any node, as known here.
    std::optional<Instant> firstKnownAt; ///< When this node first learned of the incarnation.
    bool direct = false; ///< Its heartbeats arrive over a link of this node.
    bool suspect = false;
    bool listed = false;
    bool listedLeaving = false;

    /// Whether the member can be selected for requests and roles: heartbeats are known, and it is
    /// neither suspect nor leaving.
    bool usable() const;
};

/// Evidence that an incarnation has terminated. The cell keeper reclaims cells based on it.
struct TerminationEvidence
{
    /// When this node first saw a newer incarnation at the same address.
    std::optional<Instant> replacedAt;
    /// When the address disappeared from the platform's list, if it had been listed before.
    std::optional<Instant> unlistedAt;
    /// Last heartbeat received by any node of its failure domain, as known here.
    std::optional<Instant> heardAt;
};

/// A membership change, reported as one of the events PeerJoined, PeerSuspected, PeerRecovered and
/// PeerLeft.
struct MemberEvent
{
    enum class Kind : std::uint8_t { Joined, Suspected, Recovered, Left, Replaced };

    Kind kind = Kind::Joined;
    MemberIdentity identity;
};

struct MembershipSettings
{
    Interval suspicionTimeout = std::chrono::seconds(3);
    /// For members without a direct link. Digests report their suspicion at once; this timeout is
    /// the fallback. It exceeds several digest rotations at 1,700 members.
    Interval remoteSuspicionTimeout = std::chrono::seconds(600);
    /// Delay before an address whose link failed is selected again, unless it is the only one.
    Interval linkRetryDelay = std::chrono::seconds(15);
    /// Terminated and unlisted members are removed after this time. It is long because the ledger
    /// may name them until the store is writable again.
    Interval retention = std::chrono::hours(24);
    std::size_t maxDigestEntries = 64; ///< Per digest.
    std::size_t rotationFillEntries = 16; ///< In rotation, a digest is filled up to this size.
    std::size_t maxMembers = 10'000;
};

/// Membership view of one node, built from the platform's list, heartbeats and digests. Not thread
/// safe.
class Membership
{
public:
    Membership(MemberIdentity self, MembershipSettings settings = {});

    /// Regions of the failure domains, from the configuration.
    void setRegions(std::map<FailureDomainId, RegionId> regions);
    /// Replaces the platform's list; \a now is the time of receipt.
    void setListedInstances(const std::vector<ListedInstance> &instances, Instant now);
    /// Handles the Hello of a peer. False if a newer incarnation is known at its address.
    bool helloReceived(const MemberIdentity &identity, Instant now);
    /// Handles a heartbeat from a direct link. False if the incarnation is unknown or replaced.
    bool heartbeatReceived(const Heartbeat &heartbeat, Instant now);
    /// The peer announced that it leaves and then closed its link.
    void peerLeft(const Incarnation &incarnation, Instant now);
    void digestReceived(const MemberDigest &digest, Instant now);
    /// Marks members without heartbeats as suspect and removes terminated ones. Call about every
    /// 250 ms.
    void tick(Instant now);
    /// Excludes this node from the store readers of its domain.
    void setLeaving();
    /// Returns and clears the events since the last call.
    std::vector<MemberEvent> takeEvents();

    /// Digest for \a peer: changes not yet sent to it, followed by other members in rotation, at
    /// most maxDigestEntries. Empty if nothing changed and the rotation is not at this peer. Call
    /// once a second per link.
    MemberDigest digestFor(const Address &peer, Instant now);

    const MemberIdentity &self() const { return self_; }
    const Member *find(const Incarnation &incarnation) const;
    const Member *at(const Address &address) const;
    /// All members except this node.
    std::vector<const Member *> members() const;
    /// Members of \a domain except this node.
    std::vector<const Member *> membersOf(const FailureDomainId &domain) const;
    std::size_t size() const { return members_.size(); }

    /// Store readers of \a domain: the two usable instances with the lowest rendezvous hash, lowest
    /// first.
    std::vector<Incarnation> readers(const FailureDomainId &domain) const;
    /// Instance that manages the cells of \a domain: the first of readers().
    std::optional<Incarnation> keeper(const FailureDomainId &domain) const;
    bool isReader() const;

    /// Failure domains of \a region with a listed member, or with one that sends heartbeats
    /// and is not suspect.
    std::set<FailureDomainId> domainsWithMembers(const RegionId &region) const;
    /// Readers of all domainsWithMembers(); empty if one of these domains has no usable reader.
    std::set<Incarnation> readersOf(const RegionId &region) const;
    std::optional<RegionId> regionOf(const FailureDomainId &domain) const;
    Proximity proximity(const FailureDomainId &domain) const;
    /// Usable members with a direct link, as candidates for SyncSource.
    std::vector<SyncCandidate> syncCandidates() const;
    /// Termination evidence for an incarnation that ran at \a address. With its \a start (see
    /// MemberIdentity), a replacement is detected even if this node never saw the incarnation.
    TerminationEvidence evidence(
        const Incarnation &incarnation, const Address &address, std::uint64_t start = 0) const;

    /// Addresses to which this node keeps a link: all instances of its domain and, on a store
    /// reader, one instance of every other domain of the region and one of every other region.
    std::vector<Address> peersToConnect() const;
    /// A link to \a address was opened at \a now.
    void linkOpened(const Address &address, Instant now);
    void linkClosed(const Address &address);
    /// A link to \a address could not be opened, or received no heartbeats.
    void linkFailed(const Address &address, Instant now);
    /// An unused link was closed on purpose; no direct heartbeats are expected from the member.
    void linkReleased(const Address &address);
    /// Links to replace because they received no heartbeat for suspicionTimeout. A link is returned
    /// again after the same time if there is still no heartbeat.
    std::vector<Address> silentLinks(Instant now);

    std::size_t memoryBytes() const;

private:
    struct Entry
    {
        Member member;
        std::uint64_t rank = 0; ///< Rendezvous hash within its domain.
        std::uint64_t changeNumber = 0; ///< Key in addressByChange_, 0 if there is none.
        std::uint64_t directSequence = 0;
        std::optional<Instant> directHeardAt;
    };
    struct Link
    {
        Instant heardAt;
        Instant reportedAt;
        std::uint64_t sentChanges = 0;
    };
    struct ReplacedIncarnation
    {
        std::optional<Instant> heardAt;
        Instant replacedAt;
    };
    using Members = std::map<Address, Entry>;

    Entry *entryOf(const Incarnation &incarnation);
    Entry *findOrAdd(const MemberIdentity &identity, Instant now);
    void replaceIdentity(Entry &entry, const MemberIdentity &identity, Instant now);
    Entry &create(const Address &address, const FailureDomainId &domain);
    void markChanged(Entry &entry);
    void setSuspect(Entry &entry, bool suspect);
    void setState(Entry &entry, MemberState state);
    void mergeEntry(const DigestEntry &update, Instant now);
    void mergeState(Entry &entry, const DigestEntry &update);
    Members::iterator erase(Members::iterator entry);
    bool heartbeatTimedOut(const Entry &entry, Instant now) const;
    bool removable(const Entry &entry, Instant now) const;
    static DigestEntry digestEntry(const Entry &entry, Instant now);
    void addRotatingEntries(MemberDigest &digest, const Address &peer, Instant now);
    bool isRotationTurnOf(const Address &peer, Instant now) const;
    std::optional<Address> representative(const std::vector<FailureDomainId> &domains) const;
    void report(MemberEvent::Kind kind, const Entry &entry);

    const MemberIdentity self_;
    const MembershipSettings settings_;
    MemberState ownState_ = MemberState::Serving;
    std::map<FailureDomainId, RegionId> regions_;
    Members members_;
    std::unordered_map<Incarnation, Address> addressOf_;
    std::map<FailureDomainId, std::set<Address>> byDomain_;
    std::unordered_map<Incarnation, ReplacedIncarnation> replacedIncarnations_;
    /// When each address disappeared from the platform's list.
    std::map<Address, Instant> unlistedAt_;
    std::map<Address, Link> links_;
    /// Addresses whose link failed, with the end of their linkRetryDelay.
    std::map<Address, Instant> retryAt_;
    /// Members by the number of their last change. Digests send changes in this order.
    std::map<std::uint64_t, Address> addressByChange_;
    std::uint64_t lastChangeNumber_ = 0;
    Address lastRotatedAddress_;
    std::vector<MemberEvent> events_;
};

} // namespace endivequay

#endif
