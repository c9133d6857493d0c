#include "endivequay/peers.h"

#include "endivequay/edgeserver.h"

#include <algorithm>
#include <iterator>

namespace endivequay {

PeerTable::PeerTable(InstanceId self)
    : self_(std::move(self))
{ }

void PeerTable::setRegistered(const std::vector<MemberRecord> &members, Instant now)
{
    for (auto &[id, peer] : peers_)
        peer.registered = false;
    for (const MemberRecord &member : members) {
        if (member.id == self_)
            continue;
        const bool known = peers_.contains(member.id);
        Peer &peer = peers_[member.id];
        if (!known || peer.member.incarnation != member.incarnation) {
            const auto removed = removed_.find(member.id);
            const bool returns = removed != removed_.end() && removed->second == member.incarnation;
            peer.listedAt = returns ? Instant {} : now; // Suspected until its next message.
            peer.leaving = false;
        }
        peer.member = member;
        peer.registered = true;
    }
}

void PeerTable::recordReport(const PeerHeartbeat &heartbeat, Instant now)
{
    if (heartbeat.id == self_ || (!heartbeat.member && !peers_.contains(heartbeat.id)))
        return;
    Peer &peer = peers_[heartbeat.id];
    // The store's list may still have the record of the previous incarnation.
    if (heartbeat.member && peer.member.incarnation != heartbeat.incarnation)
        peer.member = *heartbeat.member;
    peer.leaving = heartbeat.leaving;
    peer.overloaded = heartbeat.overloaded;
    peer.lastHeartbeatAt = now;
    peer.stateAsOf = heartbeat.stateAsOf;
    peer.stateConfirmedAt = now - heartbeat.stateAge;
    if (heartbeat.demand) {
        peer.demand = *heartbeat.demand;
        peer.relayed = false;
    }
}

void PeerTable::recordReport(const DomainDigest &digest, Instant now)
{
    for (const MemberState &state : digest.members) {
        if (state.id == self_ || (!state.member && !peers_.contains(state.id)))
            continue;
        Peer &peer = peers_[state.id];
        if (state.member && peer.member.incarnation != state.incarnation)
            peer.member = *state.member;
        // Digests of the two relays may arrive out of order.
        const Instant lastHeartbeatAt = now - state.age;
        if (peer.member.incarnation != state.incarnation || lastHeartbeatAt < peer.lastHeartbeatAt)
            continue;
        peer.lastHeartbeatAt = lastHeartbeatAt;
        peer.leaving = state.leaving;
        peer.overloaded = state.overloaded;
        peer.stateAsOf = state.stateAsOf;
        peer.stateConfirmedAt = now - state.stateAge;
        peer.relayed = true;
    }
    for (auto &[id, peer] : peers_)
        if (peer.member.domain == digest.domain)
            peer.demand = id == digest.relay ? digest.demand : DemandReport {};
}

void PeerTable::recordMessage(const InstanceId &id, Instant now)
{
    if (const auto found = peers_.find(id); found != peers_.end())
        found->second.lastMessageAt = now;
}

void PeerTable::removeExpired(Instant now)
{
    if (removed_.size() >= maxRemoved)
        removed_.clear();
    std::erase_if(peers_, [&](const auto &entry) {
        const Peer &peer = entry.second;
        if (peer.registered || now - peer.lastHeartbeatAt <= unregisteredPeerTimeout)
            return false;
        removed_[entry.first] = peer.member.incarnation;
        return true;
    });
}

std::vector<PeerView> PeerTable::views() const
{
    std::vector<PeerView> views;
    std::ranges::transform(peers_, std::back_inserter(views), [](const auto &entry) {
        const Peer &peer = entry.second;
        return PeerView { peer.member.id, peer.member.domain, peer.member.region, peer.demand,
            std::max(peer.lastHeartbeatAt, peer.lastMessageAt), peer.listedAt,
            peer.member.capacity() };
    });
    return views;
}

bool PeerTable::isSuspected(const Peer &peer, Instant now)
{
    const Interval limit = peer.relayed ? suspectAfterRelayed : suspectAfter;
    return now - std::max({ peer.lastHeartbeatAt, peer.lastMessageAt, peer.listedAt }) > limit;
}

PeerSocket::PeerSocket(asio::io_context &loop, MessageHandler onMessage, ErrorHandler onError)
    : socket_(loop)
    , onMessage_(std::move(onMessage))
    , onError_(std::move(onError))
{ }

Result<std::unique_ptr<PeerSocket>> PeerSocket::open(
    asio::io_context &loop, const Address &address, MessageHandler onMessage, ErrorHandler onError)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return endpoint.lastReason();
    std::unique_ptr<PeerSocket> socket(
        new PeerSocket(loop, std::move(onMessage), std::move(onError)));
    asio::error_code error;
    const asio::ip::udp::endpoint local(endpoint->address(), endpoint->port());
    socket->socket_.open(local.protocol(), error);
    if (!error)
        socket->socket_.bind(local, error);
    if (!error)
        socket->socket_.non_blocking(true, error);
    if (error)
        return Error { "heartbeat.open", address.value(), error.message() };
    socket->receive();
    return socket;
}

void PeerSocket::receive()
{
    socket_.async_receive_from(
        asio::buffer(buffer_), sender_, [this](const asio::error_code &error, std::size_t size) {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
                handleDatagram({ buffer_.data(), size });
            receive();
        });
}

void PeerSocket::handleDatagram(std::string_view bytes)
{
    const std::string sender = sender_.address().to_string() + ':' + std::to_string(sender_.port());
    try {
        const auto message = decodePeerMessage(bytes);
        if (message)
            onMessage_(*message);
        else
            onError_({ message.lastReason().step, sender, message.lastReason().reason });
    } catch (const std::exception &error) {
        onError_({ "peer.handle", sender, error.what() });
    }
}

void PeerSocket::send(const std::string &bytes, const Address &to)
{
    const auto endpoint = parseEndpoint(to);
    if (!endpoint) {
        onError_(endpoint.lastReason());
        return;
    }
    asio::error_code error;
    socket_.send_to(asio::buffer(bytes),
        asio::ip::udp::endpoint(endpoint->address(), endpoint->port()), 0, error);
    // No retry: the next heartbeat supersedes a lost one.
    if (error)
        onError_({ "heartbeat.send", to.value(), error.message() });
}

} // namespace endivequay
