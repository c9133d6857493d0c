#include "endivequay/entrynode.h"

#include <fmt/format.h>

#include <algorithm>

// Messages between entry instances: heartbeats, digests, token requests and state requests.
namespace endivequay {

namespace {

/// Limits follow a shift of demand within about two heartbeats.
constexpr Interval heartbeatInterval = std::chrono::milliseconds(500);

/// A starting instance that is no seed does not read the store for this long.
constexpr Interval seedOnlyDuration = std::chrono::milliseconds(300);
constexpr Interval seedOnlyDurationAtFirstStart = std::chrono::seconds(2);

/// Minimum delay between a heartbeat and an early one that announces a state change.
constexpr Interval announceInterval = std::chrono::milliseconds(100);

/// State age that an instance reports if it does not read the store.
constexpr Interval unknownStateAge = std::chrono::hours(24);

/// Every second heartbeat is also sent to other regions, because cross-region traffic costs most
/// and their reports matter less.
constexpr std::uint64_t remoteHeartbeatPeriod = 2;
/// Every eighth heartbeat contains the own member record.
constexpr std::uint64_t memberRecordPeriod = 8;
/// Heartbeats after the start that go to all members of the domain, also in a large fleet.
constexpr std::uint64_t initialHeartbeats = 2;
/// A relay sends a digest with every second heartbeat, with member records every eighth.
constexpr std::uint64_t digestPeriod = 2;

std::string_view roleName(ReaderElection::Role role)
{
    switch (role) {
    case ReaderElection::Role::Follower:
        return "follower";
    case ReaderElection::Role::Candidate:
        return "candidate";
    case ReaderElection::Role::Reader:
        return "reader";
    }
    return "unknown";
}

} // namespace

void EntryCore::logPeerChanges(Instant now)
{
    std::map<InstanceId, bool> states;
    for (const auto &[id, peer] : peers_.peers()) {
        const bool suspect = PeerTable::isSuspected(peer, now);
        states[id] = suspect;
        const auto known = peerStates_.find(id);
        const auto silent = toSeconds(now - peer.lastHeartbeatAt);
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

void EntryCore::handleMessage(const PeerMessage &message)
{
    std::visit([this](const auto &alternative) { handle(alternative); }, message);
}

void EntryCore::handle(const TokenMessage &message)
{
    const Instant at = now();
    if (message.isReply) {
        gateway_->execute(engine_.tokensGranted(message.team, message.count, message.from, at));
        return;
    }
    const auto peer = peers_.peers().find(message.from);
    if (peer == peers_.peers().end())
        return;
    const bool wasSilent = at - peer->second.lastHeartbeatAt >= FleetQuota::reportTimeout
        && at - peer->second.lastMessageAt >= FleetQuota::reportTimeout;
    peers_.recordMessage(message.from, at);
    if (wasSilent)
        engine_.setPeers(peers_.views(), at);
    const int granted = engine_.grantTokens(message.team, message.count, at);
    peerSocket_->send(encodeTokenMessage({ true, self_.id, message.team, granted }),
        peer->second.member.heartbeats);
}

void EntryCore::sendTokenRequests()
{
    for (const TokenRequest &request : engine_.takeTokenRequests()) {
        const auto peer = peers_.peers().find(request.reserveOwner);
        if (peer != peers_.peers().end())
            peerSocket_->send(encodeTokenMessage({ false, self_.id, request.team, request.count }),
                peer->second.member.heartbeats);
    }
}

void EntryCore::peerStateSeen(const StorePosition &position, Instant now)
{
    // In a large fleet the reader has waited for the writers before it announces its position. In a
    // small one, a peer that has just started may have taken the backup at once.
    replica_.epochSeen(position.epoch, relay_.isLarge() ? now : now + Replica::rewriteTime);
    if (position > replica_.asOf() && replica_.mayAdopt(position.epoch, now))
        sources_.markBehind(now);
}

void EntryCore::handle(const PeerHeartbeat &heartbeat)
{
    const Instant at = now();
    peers_.recordReport(heartbeat, at);
    peerStateSeen(heartbeat.stateAsOf, at);
}

void EntryCore::handle(const DomainDigest &digest)
{
    const Instant at = now();
    const bool isOwnDomain = digest.domain == self_.domain;
    // A relay knows the members of its domain from their heartbeats.
    if (isOwnDomain && relay_.isRelay(at))
        return;
    if (isOwnDomain) {
        // The relay's sum includes the demand that this instance reported to it.
        DomainDigest ofOthers = digest;
        for (auto &[key, rate] : ofOthers.demand)
            rate = std::max(0.0, rate - demandOf(reportedDemand_, key));
        peers_.recordReport(ofOthers, at);
    } else {
        peers_.recordReport(digest, at);
    }
    for (const MemberState &state : digest.members)
        peerStateSeen(state.stateAsOf, at);
    if (digest.forwarded || isOwnDomain)
        return;
    DomainDigest forwardedDigest = digest;
    forwardedDigest.forwarded = true;
    sendTo(relay_.domainMembers(), encodeDigest(forwardedDigest));
}

ReaderElection::Role EntryCore::storeRole()
{
    const Instant at = now();
    if (!replica_.loaded()) {
        const bool isSeed
            = std::ranges::find(settings_.seeds, settings_.control) != settings_.seeds.end();
        const Interval seedOnly
            = settings_.firstStart ? seedOnlyDurationAtFirstStart : seedOnlyDuration;
        return isSeed || at - startedAt_ > seedOnly ? ReaderElection::Role::Reader
                                                    : ReaderElection::Role::Follower;
    }
    // In a small fleet, store calls cost less than the delay and the failure risk of a relay.
    if (!relay_.isLarge() || !election_.mayShareReaders())
        return ReaderElection::Role::Reader;
    const ReaderElection::Role before = election_.role();
    const ReaderElection::Role role = election_.update(at);
    if (role != before)
        log_.write(EventId::StoreRoleChanged, roleName(role), at,
            { { "role", roleName(role) }, { "state", replica_.asOf().revision.value() },
                { "silent_ms", toSeconds(at - election_.confirmedAt()) * 1000 } });
    return role;
}

std::optional<Interval> EntryCore::storePollTime() const
{
    return relay_.isLarge() && election_.mayShareReaders() ? std::optional(election_.pollTime())
                                                           : std::nullopt;
}

void EntryCore::stateConfirmed(Instant at)
{
    election_.stateConfirmed(at);
    if (relay_.isLarge())
        announceState(true);
}

void EntryCore::announceState(bool fromStore)
{
    const Instant at = now();
    if (!fromStore && !(relay_.isLarge() && relay_.isRelay(at)))
        return;
    announceToRegion_ = announceToRegion_ || fromStore;
    nextHeartbeatAt_
        = std::min(nextHeartbeatAt_, std::max(at, lastHeartbeatSentAt_ + announceInterval));
}

void EntryCore::sendTo(const std::vector<Address> &addresses, const std::string &bytes)
{
    std::ranges::for_each(
        addresses, [&](const Address &address) { peerSocket_->send(bytes, address); });
}

void EntryCore::sendDirect(const PeerHeartbeat &heartbeat, bool regular)
{
    const std::string bytes = encodeHeartbeat(heartbeat);
    for (const auto &[id, peer] : peers_.peers())
        if (peer.member.region == self_.region
            || (regular && regularHeartbeatCount_ % remoteHeartbeatPeriod == 1) || stopping_)
            peerSocket_->send(bytes, peer.member.heartbeats);
}

void EntryCore::sendDigest(const PeerHeartbeat &heartbeat)
{
    const Instant at = now();
    const MemberState own { self_.id, self_.incarnation, {}, stopping_, heartbeat.stateAsOf,
        heartbeat.stateAge, {}, heartbeat.overloaded };
    const auto round = regularHeartbeatCount_ / digestPeriod;
    DomainDigest digest = relay_.digest(
        own, *heartbeat.demand, regularHeartbeatCount_ % memberRecordPeriod == 0, at);
    sendTo(relay_.remoteRelays(round, at), encodeDigest(digest));
    digest.forwarded = true;
    sendTo(relay_.domainMembers(), encodeDigest(digest));
}

void EntryCore::sendThroughRelays(PeerHeartbeat heartbeat, bool regular)
{
    const bool toAllOfDomain = stopping_ || regularHeartbeatCount_ <= initialHeartbeats;
    if (regular || toAllOfDomain)
        sendTo(toAllOfDomain ? relay_.domainMembers() : relay_.domainRelays(now()),
            encodeHeartbeat(heartbeat));
    if (regular && regularHeartbeatCount_ % digestPeriod == 0 && relay_.isRelay(now()))
        sendDigest(heartbeat);
    if (regular && !announceToRegion_ && !stopping_)
        return;
    // The state is announced without the demand, which the relays collect.
    heartbeat.demand.reset();
    const std::string bytes = encodeHeartbeat(heartbeat);
    for (const auto &[id, peer] : peers_.peers()) {
        const bool inReach = stopping_ || peer.member.domain == self_.domain
            || (announceToRegion_ && peer.member.region == self_.region);
        if (inReach && !(toAllOfDomain && peer.member.domain == self_.domain))
            peerSocket_->send(bytes, peer.member.heartbeats);
    }
}

void EntryCore::sendHeartbeat(std::optional<Interval> stateAge)
{
    const Instant at = now();
    if (at < nextHeartbeatAt_)
        return;
    // An announcement between two regular beats does not shift them.
    const bool isRegular = at >= nextRegularHeartbeatAt_;
    if (isRegular)
        nextRegularHeartbeatAt_ = at + heartbeatInterval;
    nextHeartbeatAt_ = nextRegularHeartbeatAt_;
    lastHeartbeatSentAt_ = at;
    peers_.removeExpired(at);
    logPeerChanges(at);
    engine_.setPeers(peers_.views(), at);
    regularHeartbeatCount_ += isRegular ? 1 : 0;
    PeerHeartbeat heartbeat { self_.id, self_.incarnation, {}, stopping_, replica_.asOf(),
        stateAge.value_or(unknownStateAge), engine_.demand(at), loopMonitor_.overloaded(at) };
    if (regularHeartbeatCount_ % memberRecordPeriod == 1)
        heartbeat.member = self_;
    reportedDemand_ = *heartbeat.demand;
    if (relay_.isLarge())
        sendThroughRelays(std::move(heartbeat), isRegular);
    else
        sendDirect(heartbeat, isRegular);
    announceToRegion_ = false;
}

StateSources::Position EntryCore::position() const
{
    return { replica_.loaded(), replica_.asOf() };
}

void EntryCore::requestStateFromPeers(const std::function<void()> &changed)
{
    const Instant at = now();
    if (!replica_.loaded())
        sources_.markBehind(at);
    if (const auto source = sources_.nextSource(position(), at))
        requestState(*source, changed);
}

void EntryCore::requestState(const Address &source, const std::function<void()> &changed)
{
    const Instant at = now();
    HttpMessage request;
    request.method = "GET";
    request.target = fmt::format("/v1/state?epoch={}&after={}", replica_.asOf().epoch.value(),
        replica_.asOf().revision.value());
    request.fields.push_back({ "Host", source.value() });
    HttpCall call { source, serializeRequest(request), sources_.requestStarted(position(), at),
        true, false, {}, {}, {} };
    stateClient_.send(std::move(call), [this, at, peer = source, changed](CallResult &&end) {
        handleStateResponse(peer, at, end, changed);
    });
}

void EntryCore::handleStateResponse(const Address &source, Instant askedAt, const CallResult &end,
    const std::function<void()> &changed)
{
    if (end.kind != CallResult::Kind::Response || end.response.status != 200) {
        // The next tick tries another peer that is ahead.
        sources_.requestFailed(source, now());
        const std::string reason = end.kind == CallResult::Kind::Response
            ? fmt::format("status {}", end.response.status)
            : end.reason;
        log_.write(EventId::StateNotHandedOver, reason, now(),
            { { "peer", source.value() }, { "reason", reason }, { "loaded", replica_.loaded() } });
        return;
    }
    const auto update = decodeUpdate(end.response.body, askedAt);
    if (update) {
        sources_.requestSucceeded(source);
    } else {
        sources_.requestFailed(source, now());
        log_.write(EventId::PeerMessageRejected, update.lastReason().reason, now(),
            { { "peer", source.value() }, { "reason", update.lastReason().reason } });
        return;
    }
    log_.write(EventId::StateFromPeer, source.value(), now(),
        { { "peer", source.value() }, { "from", replica_.asOf().revision.value() },
            { "to", update->asOf.revision.value() }, { "epoch", update->asOf.epoch.value() },
            { "items", update->items.size() } });
    if (replica_.mayAdopt(update->asOf.epoch, now()) && replica_.apply(*update))
        changed();
}

} // namespace endivequay
