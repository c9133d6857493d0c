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

void StateSources::behind(Instant now)
{
    if (!behindSince_)
        behindSince_ = now;
}

const Peer *StateSources::mostAhead(const Position &position, Instant now) const
{
    const Peer *best = nullptr;
    // Bytes between failure domains and between regions cost most.
    const auto rank = [&](const Peer &peer) {
        return std::tuple(
            peer.member.domain == self_.domain, peer.member.region == self_.region, peer.stateAsOf);
    };
    for (const auto &[id, peer] : peers_.peers())
        if (peer.stateAsOf > position.asOf && !PeerTable::suspect(peer, now)
            && !silentUntil_.contains(peer.member.control)
            && (best == nullptr || rank(peer) > rank(*best)))
            best = &peer;
    return best;
}

std::optional<Address> StateSources::seed(Instant now) const
{
    if (seeds_.empty())
        return std::nullopt;
    // The seeds are asked in turn, for as long as an answer may take.
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / askTimeout);
    const Address &seed = seeds_[turn % seeds_.size()];
    return seed == self_.control ? std::nullopt : std::optional(seed);
}

std::optional<Address> StateSources::next(const Position &position, Instant now)
{
    if (asking_ || !behindSince_)
        return std::nullopt;
    std::erase_if(silentUntil_, [&](const auto &entry) { return entry.second <= now; });
    const Interval behind = now - *behindSince_;
    const bool follows = position.loaded && relay_.isLarge();
    const bool restarted = !position.loaded && !firstStart_;
    const Interval tolerance = follows ? behindToleranceOfFollower
        : restarted                    ? restartInterval
                                       : behindTolerance;
    if (behind < tolerance || (follows && now - askedAt_ < askInterval))
        return std::nullopt;
    const Peer *peer = mostAhead(position, now);
    if (peer == nullptr) {
        behindSince_.reset();
        if (position.loaded)
            return std::nullopt;
        behindSince_ = now;
        return seed(now);
    }
    // A relay of the domain fetches the news for its members; if it fails they do so themselves.
    const bool leftToRelay = follows && peer->member.domain != self_.domain
        && behind < behindTolerance && !relay_.isRelay(now);
    return leftToRelay ? std::nullopt : std::optional(peer->member.control);
}

Instant StateSources::asked(const Position &position, Instant now)
{
    asking_ = true;
    askedAt_ = now;
    return now + (position.loaded ? askTimeoutForChanges : askTimeout);
}

void StateSources::answered(const Address &source)
{
    asking_ = false;
    behindSince_.reset();
    silentUntil_.erase(source);
}

void StateSources::failed(const Address &source, Instant now)
{
    asking_ = false;
    silentUntil_[source] = now + silentSourceTime;
}

} // namespace endivequay
