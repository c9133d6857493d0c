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

/// Entry of the platform's membership list, which lags and knows no incarnations.
struct ListedInstance
{
    Address address;
    FailureDomainId domain;
    bool leaving = false;
};

/// A member of the fleet as one node sees it.
struct Member
{
    MemberIdentity identity; ///< Incarnation 0 while it is known from the list only.
    MemberState state = MemberState::Serving; ///< Last state heard, without own suspicion.
    std::uint64_t sequence = 0; ///< Of the latest heartbeat known.
    Revision revision;
    std::optional<Instant> confirmedAsOf; ///< Estimate from its heartbeat, for choices only.
    LoadSummary load;
    std::vector<Incarnation> syncPath;
    std::optional<Instant> heardAt; ///< By anybody, as far as known here.
    std::optional<Instant> firstKnownAt; ///< When this node learned of the incarnation.
    bool direct = false; ///< Heard over an own link.
    bool suspect = false;
    bool listed = false;
    bool listedLeaving = false;

    /// Heard, not suspect and not leaving: may be named, asked and given duties.
    bool usable() const;
};

/// What is known about the end of an incarnation; the cell keeper decides by it.
struct EndEvidence
{
    /// Since when a newer incarnation has been seen at the same address.
    std::optional<Instant> replacedAt;
    /// Since when the list, which has shown the address, does not show it any more.
    std::optional<Instant> unlistedAt;
    /// When anybody of its domain last heard it, as far as known here.
    std::optional<Instant> heardAt;
};

/// A change of the view, for the events PeerJoined, PeerSuspected, PeerRecovered and PeerLeft.
struct MemberEvent
{
    enum class Kind : std::uint8_t { Joined, Suspected, Recovered, Left, Replaced };

    Kind kind = Kind::Joined;
    MemberIdentity identity;
};

struct MembershipSettings
{
    Interval suspicion = std::chrono::seconds(3);
    /// For members without an own link. Their suspicion is told by digests at once; this is the
    /// fallback, longer than several rotations of the digests at 1,700 members.
    Interval remoteSuspicion = std::chrono::seconds(600);
    /// An address to which no link could be opened is not chosen again for so long, if there is
    /// another one.
    Interval linkRetry = std::chrono::seconds(15);
    /// Ended and unlisted members are forgotten after this time.
    /// Long, because the ledger may name them until the store is writable again.
    Interval retention = std::chrono::hours(24);
    std::size_t digestEntries = 64; ///< Most entries of one digest.
    std::size_t rotatingEntries = 16; ///< Unchanged entries that fill up a digest.
    std::size_t maxMembers = 10'000;
};

/// View of the fleet on one node: the platform's list, heartbeats and digests. Not thread safe.
class Membership
{
public:
    Membership(MemberIdentity self, MembershipSettings settings = {});

    /// Regions of the failure domains, from the configuration.
    void setRegions(std::map<FailureDomainId, RegionId> regions);
    /// The platform's list at \a now; replaces the list before.
    void listed(const std::vector<ListedInstance> &instances, Instant now);
    /// A peer introduced itself. False if its incarnation is older than the known one at its
    /// address.
    bool greeted(const MemberIdentity &identity, Instant now);
    /// A heartbeat arrived over an own link. False if the incarnation is unknown or replaced.
    bool heard(const Heartbeat &heartbeat, Instant now);
    /// The peer has ended its link after announcing that it leaves.
    void left(const Incarnation &incarnation, Instant now);
    void digestReceived(const MemberDigest &digest, Instant now);
    /// Suspects silent members and forgets ended ones. Call about every 250 ms.
    void tick(Instant now);
    /// Own state as told to others.
    void setLeaving();
    /// Events since the last call.
    std::vector<MemberEvent> takeEvents();

    /// Entries for \a peer: changes that it has not been sent, then others in rotation; bounded.
    /// Empty if it is not the peer's turn and nothing has changed. Call once a second per link.
    MemberDigest digestFor(const Address &peer, Instant now);

    const MemberIdentity &self() const { return self_; }
    const Member *find(const Incarnation &incarnation) const;
    const Member *at(const Address &address) const;
    /// All members except this node.
    std::vector<const Member *> members() const;
    /// Members of \a domain except this node.
    std::vector<const Member *> membersOf(const FailureDomainId &domain) const;
    std::size_t size() const { return members_.size(); }

    /// The two usable instances of \a domain with the lowest rendezvous hash, lowest first.
    std::vector<Incarnation> readers(const FailureDomainId &domain) const;
    /// The first of readers().
    std::optional<Incarnation> keeper(const FailureDomainId &domain) const;
    bool isReader() const;

    /// Failure domains of \a region that have members: listed or heard, suspect ones included.
    std::set<FailureDomainId> domainsWithMembers(const RegionId &region) const;
    /// Readers of all domainsWithMembers(); empty if one of these domains has no usable reader.
    std::set<Incarnation> readersOf(const RegionId &region) const;
    std::optional<RegionId> regionOf(const FailureDomainId &domain) const;
    Proximity proximity(const FailureDomainId &domain) const;
    /// Usable members with an own link, for SyncSource.
    std::vector<SyncCandidate> syncCandidates() const;
    /// Evidence about the end of an incarnation that was bound to \a address. With its \a start, as
    /// in MemberIdentity, a replacement is seen even if this node never knew the incarnation.
    EndEvidence evidence(
        const Incarnation &incarnation, const Address &address, std::uint64_t start = 0) const;

    /// Addresses to which this node keeps a link: its own domain, and for readers one instance of
    /// every other domain of the region and one of every other region.
    std::vector<Address> peersToConnect() const;
    /// A link to \a address is open; it was opened at \a now.
    void linkOpened(const Address &address, Instant now);
    void linkClosed(const Address &address);
    /// No link to \a address could be opened, or the link was silent.
    void linkFailed(const Address &address, Instant now);
    /// An unused link was closed on purpose: the member is not expected to be heard any more.
    void linkReleased(const Address &address);
    /// Links without a heartbeat for 3 s, which are to be replaced. Each is proposed again after a
    /// further 3 s if it stays silent.
    std::vector<Address> silentLinks(Instant now);

    std::size_t memoryBytes() const;

private:
    struct Entry
    {
        Member member;
        std::uint64_t rank = 0; ///< Rendezvous hash in its own domain.
        std::uint64_t changed = 0; ///< Key in changed_, 0 if there is none.
        std::uint64_t directSequence = 0;
        std::optional<Instant> directHeardAt;
    };
    struct Link
    {
        Instant heardAt;
        Instant proposedAt;
        std::uint64_t sentChanges = 0;
    };
    struct Past
    {
        std::optional<Instant> heardAt;
        Instant replacedAt;
    };
    using Members = std::map<Address, Entry>;

    Entry *entryOf(const Incarnation &incarnation);
    Entry *adopt(const MemberIdentity &identity, Instant now);
    void identify(Entry &entry, const MemberIdentity &identity, Instant now);
    Entry &create(const Address &address, const FailureDomainId &domain);
    void touch(Entry &entry);
    void setSuspect(Entry &entry, bool suspect);
    void setState(Entry &entry, MemberState state);
    void merge(const DigestEntry &news, Instant now);
    void mergeState(Entry &entry, const DigestEntry &news);
    Members::iterator erase(Members::iterator entry);
    bool silent(const Entry &entry, Instant now) const;
    bool forgettable(const Entry &entry, Instant now) const;
    static DigestEntry digestEntry(const Entry &entry, Instant now);
    void addRotating(MemberDigest &digest, const Address &peer, Instant now);
    bool isTurnOf(const Address &peer, Instant now) const;
    std::optional<Address> representative(const std::vector<FailureDomainId> &domains) const;
    void report(MemberEvent::Kind kind, const Entry &entry);

    const MemberIdentity self_;
    const MembershipSettings settings_;
    MemberState ownState_ = MemberState::Serving;
    std::map<FailureDomainId, RegionId> regions_;
    Members members_;
    std::unordered_map<Incarnation, Address> addressOf_;
    std::map<FailureDomainId, std::set<Address>> byDomain_;
    /// Incarnations that were replaced at their address.
    std::unordered_map<Incarnation, Past> past_;
    /// Addresses that the list has shown and shows no more.
    std::map<Address, Instant> unlistedAt_;
    std::map<Address, Link> links_;
    std::map<Address, Instant> avoidUntil_;
    /// Members by the number of their last change, for digests.
    std::map<std::uint64_t, Address> changed_;
    std::uint64_t changes_ = 0;
    Address rotation_;
    std::vector<MemberEvent> events_;
};

} // namespace endivequay

#endif
