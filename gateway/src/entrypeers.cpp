#include "endivequay/entrynode.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

// What an entry instance tells its peers and takes from them: heartbeats, digests, tokens, state.
namespace endivequay {

namespace {

/// Interval of heartbeats. Limits follow a shift of demand within about two of them.
constexpr Interval beatInterval = std::chrono::milliseconds(500);

/// A peer must be ahead for this long before it is asked: the store's own news takes as long.
constexpr Interval behindTolerance = std::chrono::milliseconds(300);
constexpr Interval behindToleranceOfFollower = std::chrono::milliseconds(10);

/// A peer that did not hand over its state is not asked again for this long: about the time until
/// it is suspected.
constexpr Interval silentSourceTime = std::chrono::milliseconds(2500);

/// A peer whose store answered within this time is followed; the store's clients wait 1.5 s for an
/// answer.
constexpr Interval freshSource = std::chrono::milliseconds(3500);

/// A starting instance leaves the store to the seeds for this long.
constexpr Interval seedPatience = std::chrono::milliseconds(300);
constexpr Interval seedPatienceFirstStart = std::chrono::seconds(2);

/// Least time between two announcements of news.
constexpr Interval announceInterval = std::chrono::milliseconds(100);

/// State age that an instance reports if it does not follow the store.
constexpr Interval noSource = std::chrono::hours(24);

/// Least time between two requests for changes. A series of configurations comes ten times a
/// second; each is a whole document, and every instance must have the last within seconds.
constexpr Interval askInterval = std::chrono::milliseconds(250);

/// Longest wait for a peer's state: of a starting instance, which needs all of it, and of others.
constexpr Interval askTimeout = std::chrono::seconds(1);
constexpr Interval askTimeoutForChanges = std::chrono::milliseconds(500);

/// Heartbeats to other regions go out with every second beat, because bytes between regions cost
/// most and what they say matters less.
constexpr std::uint64_t remoteBeats = 2;
/// The own member record goes out with every eighth beat.
constexpr std::uint64_t memberBeats = 8;
/// Digests of a relay go out with every second beat, with the member records every eighth.
constexpr std::uint64_t digestBeats = 2;

} // namespace

void EntryCore::notePeerChanges(Instant now)
{
    std::map<InstanceId, bool> states;
    for (const auto &[id, peer] : peers_.peers()) {
        const bool suspect = PeerTable::suspect(peer, now);
        states[id] = suspect;
        const auto known = peerStates_.find(id);
        const auto silent = toSeconds(now - peer.heardAt);
        if (known == peerStates_.end())
            log_.write(EventId::PeerJoined, id.value(), now,
                { { "peer", id.value() }, { "region", peer.member.region.value() } });
        else if (known->second != suspect)
            log_.write(suspect ? EventId::PeerSuspected : EventId::PeerRecovered, id.value(), now,
                { { "peer", id.value() }, { "silent_s", silent } });
    }
    for (const auto &[id, suspect] : peerStates_)
        if (!states.contains(id))
            log_.write(EventId::PeerLeft, id.value(), now, { { "peer", id.value() } });
    peerStates_ = std::move(states);
}

void EntryCore::received(const PeerMessage &message)
{
    std::visit([this](const auto &alternative) { heard(alternative); }, message);
}

void EntryCore::heard(const TokenMessage &message)
{
    const Instant at = now();
    if (message.answer) {
        gateway_->carryOut(engine_.tokensGranted(message.team, message.count, at));
        return;
    }
    const auto peer = peers_.peers().find(message.from);
    if (peer == peers_.peers().end())
        return;
    const bool wasSilent = at - peer->second.heardAt >= FleetQuota::staleReport
        && at - peer->second.messageAt >= FleetQuota::staleReport;
    peers_.heardFrom(message.from, at);
    if (wasSilent)
        engine_.setPeers(peers_.views(), at);
    const int granted = engine_.grantTokens(message.team, message.count, at);
    heartbeats_->send(encodeTokenMessage({ true, self_.id, message.team, granted }),
        peer->second.member.heartbeats);
}

void EntryCore::sendTokenRequests()
{
    for (const TokenRequest &request : engine_.takeTokenRequests()) {
        const auto peer = peers_.peers().find(request.keeper);
        if (peer != peers_.peers().end())
            heartbeats_->send(encodeTokenMessage({ false, self_.id, request.team, request.count }),
                peer->second.member.heartbeats);
    }
}

void EntryCore::heard(const PeerBeat &heartbeat)
{
    const Instant at = now();
    peers_.heard(heartbeat, at);
    if (heartbeat.stateAsOf > replica_.asOf() && behindSince_ == Instant {})
        behindSince_ = at;
}

void EntryCore::heard(const DomainDigest &digest)
{
    if (digest.domain == self_.domain)
        return;
    const Instant at = now();
    peers_.heard(digest, at);
    const bool ahead = std::ranges::any_of(digest.members,
        [&](const MemberState &state) { return state.stateAsOf > replica_.asOf(); });
    if (ahead && behindSince_ == Instant {})
        behindSince_ = at;
    if (digest.forwarded)
        return;
    DomainDigest copy = digest;
    copy.forwarded = true;
    sendTo(relay_.domainMembers(), encodeDigest(copy));
}

bool EntryCore::shouldRead(bool reading) const
{
    const Instant at = now();
    if (!replica_.loaded()) {
        const bool isSeed
            = std::ranges::find(settings_.seeds, settings_.control) != settings_.seeds.end();
        const Interval patience = settings_.firstStart ? seedPatienceFirstStart : seedPatience;
        return isSeed || at - startedAt_ > patience;
    }
    if (!relay_.isLarge())
        return true; // The calls cost less than the delay and the risk of a relay.
    // The first of the region in an order that all instances share; the others only if no one
    // before them gets answers, so that a reader that is cut off or dead is replaced.
    const auto own = relayRank(self_);
    bool first = true;
    bool covered = false;
    for (const auto &[id, peer] : peers_.peers()) {
        if (peer.member.region != self_.region || peer.leaving || PeerTable::suspect(peer, at))
            continue;
        const bool ahead = relayRank(peer.member) > own;
        first = first && !ahead;
        const bool fresh = at - peer.stateConfirmedAt < freshSource;
        covered = covered || (fresh && (ahead || !reading));
    }
    return first || !covered;
}

void EntryCore::announceNews(bool reading)
{
    const Instant at = now();
    if (!reading && !(relay_.isLarge() && relay_.isRelay(at)))
        return;
    newsForRegion_ = newsForRegion_ || reading;
    beatAt_ = std::min(beatAt_, std::max(at, lastBeatAt_ + announceInterval));
}

void EntryCore::sendTo(const std::vector<Address> &addresses, const std::string &bytes)
{
    std::ranges::for_each(
        addresses, [&](const Address &address) { heartbeats_->send(bytes, address); });
}

void EntryCore::sendDirect(const PeerBeat &heartbeat, bool regular)
{
    const std::string bytes = encodePeerBeat(heartbeat);
    for (const auto &[id, peer] : peers_.peers())
        if (peer.member.region == self_.region || (regular && beats_ % remoteBeats == 1)
            || stopping_)
            heartbeats_->send(bytes, peer.member.heartbeats);
}

void EntryCore::sendThroughRelays(PeerBeat heartbeat, bool regular)
{
    const Instant at = now();
    sendTo(relay_.domainMembers(), encodePeerBeat(heartbeat));
    if (regular && beats_ % digestBeats == 0 && relay_.isRelay(at)) {
        const MemberState own { self_.id, self_.incarnation, {}, stopping_, heartbeat.stateAsOf,
            heartbeat.stateAge, {} };
        const auto round = beats_ / digestBeats;
        const auto digest = relay_.digest(own, *heartbeat.demand, beats_ % memberBeats == 0, at);
        sendTo(relay_.otherRelays(round, at), encodeDigest(digest));
    }
    if (!newsForRegion_ && !stopping_)
        return;
    // Demand comes with the digests.
    heartbeat.demand.reset();
    const std::string bytes = encodePeerBeat(heartbeat);
    for (const auto &[id, peer] : peers_.peers())
        if (peer.member.domain != self_.domain && (stopping_ || peer.member.region == self_.region))
            heartbeats_->send(bytes, peer.member.heartbeats);
}

void EntryCore::beat(std::optional<Interval> stateAge)
{
    const Instant at = now();
    if (at < beatAt_)
        return;
    // An announcement between two regular beats does not shift them.
    const bool regular = at >= regularBeatAt_;
    if (regular)
        regularBeatAt_ = at + beatInterval;
    beatAt_ = regularBeatAt_;
    lastBeatAt_ = at;
    peers_.expire(at);
    notePeerChanges(at);
    engine_.setPeers(peers_.views(), at);
    beats_ += regular ? 1 : 0;
    PeerBeat heartbeat { self_.id, self_.incarnation, {}, stopping_, replica_.asOf(),
        stateAge.value_or(noSource), engine_.demand(at) };
    if (beats_ % memberBeats == 1)
        heartbeat.member = self_;
    if (relay_.isLarge())
        sendThroughRelays(std::move(heartbeat), regular);
    else
        sendDirect(heartbeat, regular);
    newsForRegion_ = false;
}

const Peer *EntryCore::stateSource(Instant now) const
{
    const Peer *best = nullptr;
    // Bytes between failure domains and between regions cost most.
    const auto rank = [&](const Peer &peer) {
        return std::tuple(
            peer.member.domain == self_.domain, peer.member.region == self_.region, peer.stateAsOf);
    };
    for (const auto &[id, peer] : peers_.peers()) {
        const auto silent = silentSources_.find(peer.member.control);
        if (peer.stateAsOf > replica_.asOf() && !PeerTable::suspect(peer, now)
            && (silent == silentSources_.end() || silent->second <= now)
            && (best == nullptr || rank(peer) > rank(*best)))
            best = &peer;
    }
    return best;
}

std::optional<Address> EntryCore::seedSource(Instant now) const
{
    if (replica_.loaded() || settings_.seeds.empty())
        return std::nullopt;
    // A start without the store: one of the seeds may know the state.
    const auto tick = static_cast<std::size_t>(now.time_since_epoch() / askTimeout);
    const Address &seed = settings_.seeds[tick % settings_.seeds.size()];
    return seed == settings_.control ? std::nullopt : std::optional(seed);
}

std::optional<Address> EntryCore::whomToAsk(Instant now)
{
    const Interval behind = now - behindSince_;
    const bool follows = replica_.loaded() && relay_.isLarge();
    if (behind < (follows ? behindToleranceOfFollower : behindTolerance)
        || (follows && now - askedAt_ < askInterval))
        return std::nullopt;
    const Peer *peer = stateSource(now);
    if (peer == nullptr) {
        behindSince_ = replica_.loaded() ? Instant {} : now;
        return seedSource(now);
    }
    // A relay of the domain fetches the news for its members; if it fails they do so themselves.
    const bool leftToRelay = follows && peer->member.domain != self_.domain
        && behind < behindTolerance && !relay_.isRelay(now);
    return leftToRelay ? std::nullopt : std::optional(peer->member.control);
}

void EntryCore::askPeers(const std::function<void()> &changed)
{
    const Instant at = now();
    if (!replica_.loaded() && behindSince_ == Instant {})
        behindSince_ = at;
    if (asking_ || behindSince_ == Instant {})
        return;
    if (const auto source = whomToAsk(at))
        askForState(*source, changed);
}

void EntryCore::askForState(const Address &source, const std::function<void()> &changed)
{
    const Instant at = now();
    asking_ = true;
    askedAt_ = at;
    HttpMessage request;
    request.method = "GET";
    request.target = fmt::format("/v1/state?after={}", replica_.asOf().value());
    request.fields.push_back({ "Host", source.value() });
    const Instant deadline = at + (replica_.loaded() ? askTimeoutForChanges : askTimeout);
    HttpCall call { source, serializeRequest(request), deadline, true, false, {}, {}, {} };
    stateClient_.send(std::move(call), [this, at, peer = source, changed](CallEnd &&end) {
        asking_ = false;
        if (end.kind != CallEnd::Kind::Response || end.response.status != 200) {
            // Another peer may be ahead as well; it is asked with the next tick.
            silentSources_[peer] = now() + silentSourceTime;
            return;
        }
        behindSince_ = {};
        silentSources_.erase(peer);
        const auto update = decodeUpdate(end.response.body, at);
        if (!update) {
            log_.write(EventId::PeerMessageRejected, update.lastReason().reason, now(),
                { { "peer", peer.value() }, { "reason", update.lastReason().reason } });
            return;
        }
        log_.write(EventId::StateFromPeer, peer.value(), now(),
            { { "peer", peer.value() }, { "from", replica_.asOf().value() },
                { "to", update->asOf.value() }, { "items", update->items.size() } });
        if (replica_.apply(*update))
            changed();
    });
}

} // namespace endivequay
