#include "endivequay/membership.h"

#include "endivequay/digest.h"

#include <algorithm>
#include <tuple>
#include <utility>

// Which peers to follow, to link to and to ask: the part of the membership that concerns links.
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

EndEvidence Membership::evidence(
    const Incarnation &incarnation, const Address &address, std::uint64_t start) const
{
    EndEvidence evidence;
    if (const auto gone = unlistedAt_.find(address); gone != unlistedAt_.end())
        evidence.unlistedAt = gone->second;
    if (const auto past = past_.find(incarnation); past != past_.end()) {
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
    // The hash differs between the asking nodes, so that their links spread over the members.
    using Rank = std::tuple<bool, bool, std::uint64_t, Address>;
    std::optional<Rank> best;
    for (const auto &domain : domains) {
        for (const Member *member : membersOf(domain)) {
            if (!member->listed && !member->heardAt)
                continue;
            // Suspect members come last, but come: a region that was cut off must be found again.
            const Address &address = member->identity.address;
            const bool unfit
                = member->suspect || member->listedLeaving || member->state != MemberState::Serving;
            const Rank rank { avoidUntil_.contains(address), unfit,
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
    avoidUntil_.erase(address);
}

void Membership::linkClosed(const Address &address)
{
    links_.erase(address);
}

void Membership::linkFailed(const Address &address, Instant now)
{
    links_.erase(address);
    avoidUntil_[address] = now + settings_.linkRetry;
}

void Membership::linkReleased(const Address &address)
{
    links_.erase(address);
    if (const auto found = members_.find(address); found != members_.end())
        found->second.member.direct = false;
}

std::vector<Address> Membership::silentLinks(Instant now)
{
    std::vector<Address> silentOnes;
    for (auto &[address, link] : links_) {
        if (now - std::max(link.heardAt, link.proposedAt) < settings_.suspicion)
            continue;
        link.proposedAt = now;
        silentOnes.push_back(address);
    }
    return silentOnes;
}

} // namespace endivequay
