#ifndef ENDIVEQUAY_PEERS_H
#define ENDIVEQUAY_PEERS_H

#include "endivequay/peermessages.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace endivequay {

/// A peer as this instance knows it.
struct Peer
{
    MemberRecord member;
    bool registered = false; ///< In the store's list.
    bool leaving = false;
    Instant listedAt; ///< When it first appeared in the list of this process.
    Instant heardAt; ///< Latest heartbeat; long ago if there was none.
    Instant messageAt; ///< Latest message that is no heartbeat.
    Revision stateAsOf;
    Instant stateConfirmedAt; ///< Local time, from the age in the heartbeat.
    DemandReport demand; ///< In a large fleet a relay has the sum of its domain, others nothing.
    bool relayed = false; ///< Known through the digests of its domain.
};

/// The other instances, from the store's list and from their heartbeats. Not thread safe.
class PeerTable
{
public:
    /// A peer that is not in the store's list counts as a member this long after its last
    /// heartbeat: an outage of the store lets registrations lapse.
    static constexpr Interval memberMemory = std::chrono::seconds(5);
    /// A peer without heartbeats for this long is not named to callers if others are left.
    static constexpr Interval suspectAfter = std::chrono::milliseconds(2400);
    /// The same for peers known through digests, which come every second and add a hop.
    static constexpr Interval suspectAfterRelayed = std::chrono::milliseconds(3400);

    explicit PeerTable(InstanceId self);

    void setRegistered(const std::vector<MemberRecord> &members, Instant now);
    void heard(const PeerBeat &heartbeat, Instant now);
    void heard(const DomainDigest &digest, Instant now);
    /// A message without a report came from \a id.
    void heardFrom(const InstanceId &id, Instant now);
    void expire(Instant now);

    std::vector<PeerView> views() const;
    const std::map<InstanceId, Peer> &peers() const { return peers_; }
    static bool suspect(const Peer &peer, Instant now);

private:
    InstanceId self_;
    std::map<InstanceId, Peer> peers_;
};

/// Sends and receives heartbeats over UDP. Not thread safe.
class HeartbeatSocket
{
public:
    using Received = std::function<void(const PeerMessage &)>;
    /// A message that could not be read or sent, with the peer's address.
    using Failed = std::function<void(const Error &)>;

    static Result<std::unique_ptr<HeartbeatSocket>> open(
        asio::io_context &loop, const Address &address, Received received, Failed failed);

    void send(const std::string &bytes, const Address &to);

private:
    HeartbeatSocket(asio::io_context &loop, Received received, Failed failed);
    void receive();

    static constexpr std::size_t largestDatagram = std::size_t { 16 } * 1024;
    asio::ip::udp::socket socket_;
    asio::ip::udp::endpoint sender_;
    std::array<char, largestDatagram> buffer_ {};
    Received received_;
    Failed failed_;
};

} // namespace endivequay

#endif
