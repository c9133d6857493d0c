#include "endivequay/statesources.h"

#include <tuple>

namespace endivequay {

StateSources::StateSources(MemberRecord self, std::vector<Address> seeds, bool firstStart,
    const PeerTable &peers, const FleetRelay &relay)
    : self_(std::move(self))
    , seeds_(std::move(seeds))
    , firstStart_(firstStart)
    , peers_(peers)
    , relay_(relay)
{ }

void StateSources::markBehind(Instant now)
{
    if (!behindSince_)
        behindSince_ = now;
}

const Peer *StateSources::bestSource(const Position &position, Instant now) const
{
    const Peer *best = nullptr;
    // Prefer nearby peers: traffic between failure domains and between regions costs most.
    const auto rank = [&](const Peer &peer) {
        return std::tuple(
            peer.member.domain == self_.domain, peer.member.region == self_.region, peer.stateAsOf);
    };
    for (const auto &[id, peer] : peers_.peers())
        if (peer.stateAsOf > position.asOf && !PeerTable::isSuspected(peer, now)
            && !excludedUntil_.contains(peer.member.control)
            && (best == nullptr || rank(peer) > rank(*best)))
            best = &peer;
    return best;
}

std::optional<Address> StateSources::currentSeed(Instant now) const
{
    if (seeds_.empty())
        return std::nullopt;
    // Round robin over the seeds; each turn lasts as long as the request timeout.
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / snapshotTimeout);
    const Address &address = seeds_[turn % seeds_.size()];
    return address == self_.control ? std::nullopt : std::optional(address);
}

std::optional<Address> StateSources::nextSource(const Position &position, Instant now)
{
    if (requestOpen_ || !behindSince_)
        return std::nullopt;
    std::erase_if(excludedUntil_, [&](const auto &entry) { return entry.second <= now; });
    const Interval lag = now - *behindSince_;
    const bool isFollower = position.loaded && relay_.isLarge();
    const bool isRestarted = !position.loaded && !firstStart_;
    const Interval tolerance = isFollower ? followerLagTolerance
        : isRestarted                     ? restartedRequestInterval
                                          : lagTolerance;
    if (lag < tolerance || (isFollower && now - requestedAt_ < followerRequestInterval))
        return std::nullopt;
    const Peer *peer = bestSource(position, now);
    if (peer == nullptr) {
        behindSince_.reset();
        if (position.loaded)
            return std::nullopt;
        behindSince_ = now;
        return currentSeed(now);
    }
    // Relays fetch changes of other domains for their members; after lagTolerance the members
    // request them on their own.
    const bool leftToRelay = isFollower && peer->member.domain != self_.domain && lag < lagTolerance
        && !relay_.isRelay(now);
    return leftToRelay ? std::nullopt : std::optional(peer->member.control);
}

Instant StateSources::requestStarted(const Position &position, Instant now)
{
    requestOpen_ = true;
    requestedAt_ = now;
    return now + (position.loaded ? changesTimeout : snapshotTimeout);
}

void StateSources::requestSucceeded(const Address &source)
{
    requestOpen_ = false;
    behindSince_.reset();
    excludedUntil_.erase(source);
}

void StateSources::requestFailed(const Address &source, Instant now)
{
    requestOpen_ = false;
    excludedUntil_[source] = now + failedSourceBackoff;
}

} // namespace endivequay
