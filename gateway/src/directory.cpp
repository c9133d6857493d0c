#include "endivequay/directory.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace endivequay {

namespace {

/// A caller fails over to another address of the same directory response, so one is not enough.
constexpr std::size_t minAddresses = 2;

struct Candidate
{
    const MemberRecord *member = nullptr;
    bool overloaded = false;
};

std::vector<Candidate> liveInstances(
    const std::optional<DirectorySelf> &self, const PeerTable &peers, Instant now)
{
    std::vector<Candidate> live;
    if (self)
        live.push_back({ &self->member, self->overloaded });
    for (const auto &[id, peer] : peers.peers())
        if (!peer.leaving && !PeerTable::isSuspected(peer, now))
            live.push_back({ &peer.member, peer.overloaded });
    return live;
}

template <class Predicate>
std::vector<Candidate> select(const std::vector<Candidate> &from, Predicate predicate)
{
    std::vector<Candidate> selected;
    std::ranges::copy_if(from, std::back_inserter(selected), predicate);
    return selected;
}

/// The live instances that are closest to the caller.
std::vector<Candidate> closest(const std::vector<Candidate> &live, const DirectoryQuery &query)
{
    auto inDomain
        = select(live, [&](const Candidate &each) { return each.member->domain == query.domain; });
    if (inDomain.size() >= minAddresses)
        return inDomain;
    auto inRegion
        = select(live, [&](const Candidate &each) { return each.member->region == query.region; });
    return inRegion.empty() ? live : inRegion;
}

std::vector<Candidate> preferred(const std::vector<Candidate> &candidates)
{
    InstanceCapacity strongest;
    std::ranges::for_each(candidates,
        [&](const Candidate &each) { strongest = std::max(strongest, each.member->capacity()); });
    auto usable = select(candidates, [](const Candidate &each) { return !each.overloaded; });
    auto strong = select(usable,
        [&](const Candidate &each) { return isPreferred(each.member->capacity(), strongest); });
    if (strong.size() >= minAddresses)
        return strong;
    return usable.size() >= minAddresses ? usable : candidates;
}

} // namespace

std::vector<Address> instancesFor(const DirectoryQuery &query,
    const std::optional<DirectorySelf> &self, const PeerTable &peers, Instant now)
{
    auto named = preferred(closest(liveInstances(self, peers, now), query));
    // The edge protocol may limit the number of addresses.
    std::ranges::stable_sort(
        named, std::greater {}, [](const Candidate &each) { return each.member->cores; });
    std::vector<Address> addresses;
    std::ranges::transform(named, std::back_inserter(addresses),
        [](const Candidate &each) { return each.member->callers; });
    // No live instance is known, and this one is stopping: return suspected ones.
    if (addresses.empty())
        for (const auto &[id, peer] : peers.peers())
            if (!peer.leaving)
                addresses.push_back(peer.member.callers);
    return addresses;
}

} // namespace endivequay
