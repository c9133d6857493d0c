#ifndef ENDIVEQUAY_FLEETRELAY_H
#define ENDIVEQUAY_FLEETRELAY_H

#include "endivequay/peers.h"

#include <utility>
#include <vector>

namespace endivequay {

/// Rank for the election of store readers and relays; the highest rank wins. Members with more link
/// bandwidth rank higher: a configuration of tens of kilobytes sent to dozens of members saturates
/// a link of 10 Mbit/s.
std::pair<double, std::uint64_t> relayRank(const MemberRecord &member);

/// Selects the receivers of heartbeats and digests in a fleet that is too large for heartbeats
/// between all pairs of instances.
///
/// The highest-ranked members of a failure domain are its relays. The others send their heartbeats
/// to them; the relays send a digest of the domain to its members and to one relay of each other
/// domain, which forwards it to its own members. Otherwise traffic between domains and the number
/// of datagrams would grow with the square of the fleet size or of a domain. Contains no I/O.
class FleetRelay
{
public:
    /// In fleets of up to this many instances all exchange heartbeats directly: the traffic costs
    /// less than the delay of a relay.
    static constexpr std::size_t maxDirectFleetSize = 16;
    /// Two, so that one remains when the other crashes or is partitioned.
    static constexpr std::size_t relaysPerDomain = 2;

    FleetRelay(MemberRecord self, const PeerTable &peers)
        : self_(std::move(self))
        , peers_(peers)
    { }

    bool isLarge() const { return peers_.peers().size() >= maxDirectFleetSize; }
    bool isRelay(Instant now) const;
    /// Heartbeat addresses of the other relays of the own domain.
    std::vector<Address> domainRelays(Instant now) const;
    /// Heartbeat addresses of the other members of the own domain.
    std::vector<Address> domainMembers() const;
    /// Heartbeat address of one relay of each other domain; \a round alternates between the relays.
    std::vector<Address> remoteRelays(std::uint64_t round, Instant now) const;
    /// Digest of the own domain. \a own and \a ownDemand describe this instance; \a withRecords
    /// adds the member records.
    DomainDigest digest(
        MemberState own, const DemandReport &ownDemand, bool withRecords, Instant now) const;

private:
    /// Live members by failure domain, highest rank first.
    std::map<FailureDomainId, std::vector<const MemberRecord *>> aliveByDomain(Instant now) const;

    MemberRecord self_;
    const PeerTable &peers_;
};

} // namespace endivequay

#endif
