#ifndef ENDIVEQUAY_GATEWAY_TEST_RAWPEER_H
#define ENDIVEQUAY_GATEWAY_TEST_RAWPEER_H

#include "endivequay/edgeserver.h"

#include <asio/write.hpp>

#include <chrono>
#include <string>

namespace endivequay {

/// For events that must happen.
inline constexpr auto waitTimeout = std::chrono::seconds(10);

/// The system selects a free port: a fixed one may be in use as the local port of another
/// connection.
inline const Address anyPort { "127.0.0.1:0" };

/// Runs \a loop until \a condition holds; returns false if it does not within waitTimeout.
template <class Condition>
bool runUntil(asio::io_context &loop, Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + waitTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        loop.run_for(std::chrono::milliseconds(5));
        loop.restart();
    }
    return true;
}

/// A raw TCP peer that sends and receives exact bytes.
class RawPeer
{
public:
    explicit RawPeer(asio::io_context &loop)
        : socket_(loop)
    { }

    void connect(const Address &address) { socket_.connect(*parseEndpoint(address)); }
    void accept(asio::ip::tcp::acceptor &acceptor) { acceptor.accept(socket_); }
    void send(std::string_view bytes) { asio::write(socket_, asio::buffer(bytes)); }
    void close() { socket_.close(); }
    /// Closes the connection with a TCP reset.
    void reset()
    {
        socket_.set_option(asio::socket_base::linger(true, 0));
        socket_.close();
    }

    /// All bytes received so far.
    std::string received()
    {
        socket_.non_blocking(true);
        char chunk[4096];
        asio::error_code error;
        while (const std::size_t size = socket_.read_some(asio::buffer(chunk), error))
            received_.append(chunk, size);
        resetByPeer_ = resetByPeer_ || error == asio::error::connection_reset;
        closedByPeer_ = closedByPeer_ || error == asio::error::eof;
        return received_;
    }

    bool resetByPeer()
    {
        received();
        return resetByPeer_;
    }

    bool closedByPeer()
    {
        received();
        return closedByPeer_;
    }

private:
    asio::ip::tcp::socket socket_;
    std::string received_;
    bool closedByPeer_ = false; ///< In an orderly way.
    bool resetByPeer_ = false;
};

} // namespace endivequay

#endif
