#include "endivequay/entrynode.h"

#include <fmt/format.h>

#include <algorithm>

// What an entry instance tells its peers and takes from them: heartbeats, digests, tokens, state.
namespace endivequay {

namespace {

/// Interval of heartbeats. Limits follow a shift of demand within about two of them.
constexpr Interval beatInterval = std::chrono::milliseconds(500);

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
    const bool wasSilent = at - peer->second.heardAt >= FleetQuota::reportTimeout
        && at - peer->second.messageAt >= FleetQuota::reportTimeout;
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
        const auto peer = peers_.peers().find(request.reserveOwner);
        if (peer != peers_.peers().end())
            heartbeats_->send(encodeTokenMessage({ false, self_.id, request.team, request.count }),
                peer->second.member.heartbeats);
    }
}

void EntryCore::heard(const PeerBeat &heartbeat)
{
    const Instant at = now();
    peers_.heard(heartbeat, at);
    if (heartbeat.stateAsOf > replica_.asOf())
        sources_.behind(at);
}

void EntryCore::heard(const DomainDigest &digest)
{
    if (digest.domain == self_.domain)
        return;
    const Instant at = now();
    peers_.heard(digest, at);
    const bool ahead = std::ranges::any_of(digest.members,
        [&](const MemberState &state) { return state.stateAsOf > replica_.asOf(); });
    if (ahead)
        sources_.behind(at);
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

StateSources::Position EntryCore::position() const
{
    return { replica_.loaded(), replica_.asOf() };
}

void EntryCore::askPeers(const std::function<void()> &changed)
{
    const Instant at = now();
    if (!replica_.loaded())
        sources_.behind(at);
    if (const auto source = sources_.next(position(), at))
        askForState(*source, changed);
}

void EntryCore::askForState(const Address &source, const std::function<void()> &changed)
{
    const Instant at = now();
    HttpMessage request;
    request.method = "GET";
    request.target = fmt::format("/v1/state?after={}", replica_.asOf().value());
    request.fields.push_back({ "Host", source.value() });
    HttpCall call { source, serializeRequest(request), sources_.asked(position(), at), true, false,
        {}, {}, {} };
    stateClient_.send(std::move(call), [this, at, peer = source, changed](CallEnd &&end) {
        stateAnswered(peer, at, end, changed);
    });
}

void EntryCore::stateAnswered(const Address &source, Instant askedAt, const CallEnd &end,
    const std::function<void()> &changed)
{
    if (end.kind != CallEnd::Kind::Response || end.response.status != 200) {
        // Another peer may be ahead as well; it is asked with the next tick.
        sources_.failed(source, now());
        const std::string reason = end.kind == CallEnd::Kind::Response
            ? fmt::format("status {}", end.response.status)
            : end.reason;
        log_.write(EventId::StateNotHandedOver, reason, now(),
            { { "peer", source.value() }, { "reason", reason }, { "loaded", replica_.loaded() } });
        return;
    }
    sources_.answered(source);
    const auto update = decodeUpdate(end.response.body, askedAt);
    if (!update) {
        log_.write(EventId::PeerMessageRejected, update.lastReason().reason, now(),
            { { "peer", source.value() }, { "reason", update.lastReason().reason } });
        return;
    }
    log_.write(EventId::StateFromPeer, source.value(), now(),
        { { "peer", source.value() }, { "from", replica_.asOf().value() },
            { "to", update->asOf.value() }, { "items", update->items.size() } });
    if (replica_.apply(*update))
        changed();
}

} // namespace endivequay
