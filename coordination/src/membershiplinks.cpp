#include "endivequay/membership.h"

#include "endivequay/digest.h"

#include <algorithm>
#include <tuple>
#include <utility>

// Link management of Membership: sync candidates, peers to connect to and link failures.
namespace endivequay {

std::vector<SyncCandidate> Membership::syncCandidates() const
{
    std::vector<SyncCandidate> candidates;
    for (const auto &[address, link] : links_) {
        const Member *member = at(address);
        if (member != nullptr && member->direct && member->usable())
            candidates.push_back({ member->identity.incarnation, proximity(member->identity.domain),
                member->revision, member->confirmedAsOf, member->syncPath });
    }
    return candidates;
}

TerminationEvidence Membership::evidence(
    const Incarnation &incarnation, const Address &address, std::uint64_t start) const
{
    TerminationEvidence evidence;
    if (const auto gone = unlistedAt_.find(address); gone != unlistedAt_.end())
        evidence.unlistedAt = gone->second;
    if (const auto past = replacedIncarnations_.find(incarnation);
        past != replacedIncarnations_.end()) {
        evidence.replacedAt = past->second.replacedAt;
        evidence.heardAt = past->second.heardAt;
    }
    const Member *present = at(address);
    if (present == nullptr)
        return evidence;
    if (present->identity.incarnation == incarnation)
        evidence.heardAt = present->heardAt;
    else if (start != 0 && present->identity.start > start && !evidence.replacedAt)
        evidence.replacedAt = present->firstKnownAt;
    return evidence;
}

std::vector<Address> Membership::peersToConnect() const
{
    std::vector<Address> peers;
    for (const Member *member : membersOf(self_.domain)) {
        if (member->listed || !member->suspect)
            peers.push_back(member->identity.address);
    }
    if (!isReader())
        return peers;
    const auto ownRegion = regionOf(self_.domain);
    std::map<RegionId, std::vector<FailureDomainId>> domainsOf;
    for (const auto &[domain, region] : regions_) {
        if (domain == self_.domain)
            continue;
        if (region != ownRegion)
            domainsOf[region].push_back(domain);
        else if (const auto peer = representative({ domain }))
            peers.push_back(*peer);
    }
    for (const auto &[region, domains] : domainsOf) {
        if (const auto peer = representative(domains))
            peers.push_back(*peer);
    }
    return peers;
}

std::optional<Address> Membership::representative(const std::vector<FailureDomainId> &domains) const
{
    // The hash includes this node's incarnation, so that nodes distribute their links over the
    // members.
    using Rank = std::tuple<bool, bool, std::uint64_t, Address>;
    std::optional<Rank> best;
    for (const auto &domain : domains) {
        for (const Member *member : membersOf(domain)) {
            if (!member->listed && !member->heardAt)
                continue;
            // Suspect members rank last but stay eligible, so that a region that was partitioned
            // away is reconnected.
            const Address &address = member->identity.address;
            const bool lessSuitable
                = member->suspect || member->listedLeaving || member->state != MemberState::Serving;
            const Rank rank { retryAt_.contains(address), lessSuitable,
                hash64(address.value(), self_.incarnation.value()), address };
            if (!best || rank < *best)
                best = rank;
        }
    }
    return best ? std::optional(std::get<Address>(*best)) : std::nullopt;
}

void Membership::linkOpened(const Address &address, Instant now)
{
    links_[address] = { now, now, 0 };
    retryAt_.erase(address);
}

void Membership::linkClosed(const Address &address)
{
    links_.erase(address);
}

void Membership::linkFailed(const Address &address, Instant now)
{
    links_.erase(address);
    retryAt_[address] = now + settings_.linkRetryDelay;
}

void Membership::linkReleased(const Address &address)
{
    links_.erase(address);
    if (const auto found = members_.find(address); found != members_.end())
        found->second.member.direct = false;
}

std::vector<Address> Membership::silentLinks(Instant now)
{
    std::vector<Address> silentAddresses;
    for (auto &[address, link] : links_) {
        if (now - std::max(link.heardAt, link.reportedAt) < settings_.suspicionTimeout)
            continue;
        link.reportedAt = now;
        silentAddresses.push_back(address);
    }
    return silentAddresses;
}

} // namespace endivequay
