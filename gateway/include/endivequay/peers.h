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

/// A peer, as known to this instance.
struct Peer
{
    MemberRecord member;
    bool registered = false; ///< Listed in the store.
    bool leaving = false;
    Instant listedAt; ///< When this process first saw its current incarnation in the store's list.
    Instant lastHeartbeatAt; ///< Epoch if there was none.
    Instant lastMessageAt; ///< Latest message other than a heartbeat.
    StorePosition stateAsOf;
    Instant stateConfirmedAt; ///< Local time, derived from the age in the heartbeat.
    DemandReport demand; ///< From digests: the domain's sum at its relay, empty for other members.
    bool relayed = false; ///< Known from the digests of its domain.
    bool overloaded = false; ///< Its event loop runs late, by its latest report.
};

/// The other instances, known from the store's list and from their messages. Not thread safe.
class PeerTable
{
public:
    /// A peer that the store does not list remains a member for this long after its last heartbeat:
    /// registrations expire during an outage of the store.
    static constexpr Interval unregisteredPeerTimeout = std::chrono::seconds(5);
    /// A peer without a message for longer than this is suspected: callers are not sent to it if
    /// others are left.
    static constexpr Interval suspectAfter = std::chrono::milliseconds(2400);
    /// The same for peers known from digests, which arrive every second and add a hop.
    static constexpr Interval suspectAfterRelayed = std::chrono::milliseconds(3400);

    explicit PeerTable(InstanceId self);

    void setRegistered(const std::vector<MemberRecord> &members, Instant now);
    void recordReport(const PeerHeartbeat &heartbeat, Instant now);
    void recordReport(const DomainDigest &digest, Instant now);
    /// Records that a message other than a heartbeat arrived from \a id.
    void recordMessage(const InstanceId &id, Instant now);
    /// Removes unregistered peers whose last heartbeat is older than unregisteredPeerTimeout.
    void removeExpired(Instant now);

    std::vector<PeerView> views() const;
    const std::map<InstanceId, Peer> &peers() const { return peers_; }
    static bool isSuspected(const Peer &peer, Instant now);

private:
    /// Limit of remembered incarnations; more than there are instances.
    static constexpr std::size_t maxRemoved = 4096;

    InstanceId self_;
    std::map<InstanceId, Peer> peers_;
    /// Incarnations that were removed. A restored store may list them again.
    std::map<InstanceId, std::uint64_t> removed_;
};

/// Sends and receives messages between instances over UDP. Not thread safe.
class PeerSocket
{
public:
    using MessageHandler = std::function<void(const PeerMessage &)>;
    /// Called with the peer's address when a message cannot be decoded or sent.
    using ErrorHandler = std::function<void(const Error &)>;

    static Result<std::unique_ptr<PeerSocket>> open(asio::io_context &loop, const Address &address,
        MessageHandler onMessage, ErrorHandler onError);

    void send(const std::string &bytes, const Address &to);

private:
    PeerSocket(asio::io_context &loop, MessageHandler onMessage, ErrorHandler onError);
    void receive();
    /// Handles one datagram. An exception drops the datagram and is reported.
    void handleDatagram(std::string_view bytes);

    static constexpr std::size_t maxDatagramBytes = std::size_t { 16 } * 1024;
    asio::ip::udp::socket socket_;
    asio::ip::udp::endpoint sender_;
    std::array<char, maxDatagramBytes> buffer_ {};
    MessageHandler onMessage_;
    ErrorHandler onError_;
};

} // namespace endivequay

#endif
