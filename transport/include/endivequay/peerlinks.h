#ifndef ENDIVEQUAY_PEERLINKS_H
#define ENDIVEQUAY_PEERLINKS_H

// A C++17 source file includes this header, so it uses neither the strong types nor concepts.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace endivequay {

/// Peer at the other end of an authenticated link.
struct PeerIdentity
{
    std::string address; ///< Advertised peer address, "ip:port".
    std::uint64_t incarnation = 0;
};

/// Settings of the peer links of one process.
struct PeerLinkSettings
{
    std::string listenAddress; ///< "ip:port" to bind; port 0 selects a free port.
    std::string advertisedAddress; ///< Address that peers connect to; empty: the bound address.
    std::string cluster; ///< Peers of another cluster name are rejected.
    std::string secret; ///< Shared secret, at least 16 bytes.
    std::uint64_t incarnation = 0;
    std::size_t maxMessageBytes = 1'500'000;
};

/// Callbacks, invoked on the I/O thread of the links. They must not block.
struct PeerLinkHandlers
{
    std::function<void(const PeerIdentity &)> connected;
    std::function<void(const PeerIdentity &)> disconnected;
    std::function<void(const PeerIdentity &, const std::string &message)> message;
    /// A peer failed authentication or violated the protocol; \a peer is its remote address.
    std::function<void(const std::string &peer, const std::string &reason)> rejected;
};

/// Messages and payload bytes since the start, for metrics of control traffic.
struct PeerLinkCounters
{
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedMessages = 0;
    std::uint64_t receivedBytes = 0;
};

/// Links to other instances: WebSocket connections with mutual HMAC-SHA256 authentication.
///
/// Each side proves knowledge of the shared secret with an HMAC that covers both nonces before a
/// message is delivered.
/// All functions are thread safe.
class PeerLinks
{
public:
    /// Binds the address and starts the I/O thread. Returns null and sets \a error if the address
    /// can't be bound or a setting is invalid.
    static std::unique_ptr<PeerLinks> start(
        PeerLinkSettings settings, PeerLinkHandlers handlers, std::string *error);
    ~PeerLinks();

    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    /// The advertised address; the bound address if none was configured.
    std::string address() const;

    /// Opens a link to \a address unless one is open or is being opened.
    void connect(const std::string &address);
    /// Closes the link to \a address and opens a new one, for links that no longer deliver
    /// messages.
    void replace(const std::string &address);
    /// Closes the link to \a address.
    void drop(const std::string &address);
    /// Queues \a message; discarded if no authenticated link to \a address is open.
    void send(const std::string &address, std::string message);

    PeerLinkCounters counters() const;

    /// Closes all links and stops the I/O thread. The destructor calls it too.
    void stop();

private:
    class Implementation;
    explicit PeerLinks(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation_;
};

} // namespace endivequay

#endif
