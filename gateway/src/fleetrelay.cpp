#include "endivequay/fleetrelay.h"

#include "endivequay/digest.h"

#include <algorithm>
#include <span>

namespace endivequay {

std::pair<double, std::uint64_t> relayRank(const MemberRecord &member)
{
    return { member.linkMbps, hash64(member.id.value()) };
}

std::map<FailureDomainId, std::vector<const MemberRecord *>> FleetRelay::aliveByDomain(
    Instant now) const
{
    std::map<FailureDomainId, std::vector<const MemberRecord *>> alive;
    alive[self_.domain].push_back(&self_);
    for (const auto &[id, peer] : peers_.peers())
        if (!peer.leaving && !PeerTable::isSuspected(peer, now))
            alive[peer.member.domain].push_back(&peer.member);
    for (auto &[domain, members] : alive)
        std::ranges::sort(members, std::greater {},
            [](const MemberRecord *member) { return relayRank(*member); });
    return alive;
}

bool FleetRelay::isRelay(Instant now) const
{
    const auto members = aliveByDomain(now).at(self_.domain);
    const auto own = std::ranges::find(members, self_.id, &MemberRecord::id);
    return own - members.begin() < static_cast<std::ptrdiff_t>(relaysPerDomain);
}

std::vector<Address> FleetRelay::domainRelays(Instant now) const
{
    const auto members = aliveByDomain(now).at(self_.domain);
    std::vector<Address> addresses;
    for (const MemberRecord *member :
        std::span(members).first(std::min(relaysPerDomain, members.size())))
        if (member->id != self_.id)
            addresses.push_back(member->heartbeats);
    return addresses;
}

std::vector<Address> FleetRelay::domainMembers() const
{
    std::vector<Address> addresses;
    for (const auto &[id, peer] : peers_.peers())
        if (peer.member.domain == self_.domain)
            addresses.push_back(peer.member.heartbeats);
    return addresses;
}

std::vector<Address> FleetRelay::remoteRelays(std::uint64_t round, Instant now) const
{
    std::vector<Address> addresses;
    for (const auto &[domain, members] : aliveByDomain(now))
        if (domain != self_.domain)
            addresses.push_back(
                members[round % std::min(relaysPerDomain, members.size())]->heartbeats);
    // Also try some suspected members: a domain that seems down may be reachable again.
    for (const auto &[id, peer] : peers_.peers())
        if (peer.member.domain != self_.domain && PeerTable::isSuspected(peer, now)
            && hash64(id.value(), round) % peers_.peers().size() < relaysPerDomain)
            addresses.push_back(peer.member.heartbeats);
    return addresses;
}

DomainDigest FleetRelay::digest(
    MemberState own, const DemandReport &ownDemand, bool withRecords, Instant now) const
{
    DomainDigest digest { self_.id, self_.domain, false, {}, ownDemand };
    if (withRecords)
        own.member = self_;
    digest.members.push_back(std::move(own));
    for (const auto &[id, peer] : peers_.peers()) {
        if (peer.member.domain != self_.domain || PeerTable::isSuspected(peer, now))
            continue;
        MemberState state { id, peer.member.incarnation, now - peer.lastHeartbeatAt, peer.leaving,
            peer.stateAsOf, now - peer.stateConfirmedAt, {}, peer.overloaded };
        if (withRecords)
            state.member = peer.member;
        digest.members.push_back(std::move(state));
        for (const auto &[key, rate] : peer.demand)
            digest.demand[key] += rate;
    }
    return digest;
}

} // namespace endivequay
