#ifndef ENDIVEQUAY_TRANSPORT_TEST_SCRIPTEDSERVER_H
#define ENDIVEQUAY_TRANSPORT_TEST_SCRIPTEDSERVER_H

#include "endivequay/types.h"

#include <asio.hpp>

#include <charconv>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// A request received by the server.
struct Received
{
    std::size_t connection = 0; ///< Number of the connection, from 0.
    std::string head; ///< Request line and headers.
    std::string body;
};

/// Response to a request. With neither bytes nor close the server never responds.
struct Reply
{
    std::string bytes;
    bool close = false;
};

inline Reply okReply(const std::string &body)
{
    return { "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body };
}

/// Server on the loopback interface that sends the exact bytes returned by a script.
class ScriptedServer
{
public:
    using Script = std::function<Reply(const Received &)>;

    explicit ScriptedServer(Script script)
        : script_(std::move(script))
        , acceptor_(io_, { asio::ip::address_v4::loopback(), 0 })
        , port_(acceptor_.local_endpoint().port())
    {
        accept();
        thread_ = std::thread([this] { io_.run(); });
    }
    ~ScriptedServer()
    {
        io_.stop();
        thread_.join();
    }
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    endivequay::Address address() const
    {
        return endivequay::Address("127.0.0.1:" + std::to_string(port_));
    }

    std::vector<Received> requests() const
    {
        const std::lock_guard lock(mutex_);
        return requests_;
    }

    /// Blocks until \a count requests have arrived.
    void waitForRequests(std::size_t count) const
    {
        std::unique_lock lock(mutex_);
        arrived_.wait(lock, [&] { return requests_.size() >= count; });
    }

private:
    struct Session
    {
        asio::ip::tcp::socket socket;
        std::size_t number;
        std::string input;
    };

    void accept()
    {
        acceptor_.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            readHead(std::make_shared<Session>(Session { std::move(socket), connections_++, {} }));
            accept();
        });
    }

    void readHead(const std::shared_ptr<Session> &session)
    {
        asio::async_read_until(session->socket, asio::dynamic_buffer(session->input), "\r\n\r\n",
            [this, session](std::error_code error, std::size_t size) {
                if (!error)
                    readBody(session, size);
            });
    }

    void readBody(const std::shared_ptr<Session> &session, std::size_t headSize)
    {
        const std::string head = session->input.substr(0, headSize);
        std::size_t bodySize = 0;
        if (const auto at = head.find("Content-Length: "); at != std::string::npos)
            std::from_chars(head.data() + at + 16, head.data() + head.size(), bodySize);
        session->input.erase(0, headSize);
        const std::size_t missing = bodySize - std::min(bodySize, session->input.size());
        asio::async_read(session->socket, asio::dynamic_buffer(session->input),
            asio::transfer_exactly(missing),
            [this, session, head, bodySize](std::error_code error, std::size_t) {
                if (!error)
                    reply(session, { session->number, head, session->input.substr(0, bodySize) });
            });
    }

    void reply(const std::shared_ptr<Session> &session, const Received &received)
    {
        session->input.erase(0, received.body.size());
        {
            const std::lock_guard lock(mutex_);
            requests_.push_back(received);
        }
        arrived_.notify_all();
        const auto answer = std::make_shared<Reply>(script_(received));
        asio::async_write(session->socket, asio::buffer(answer->bytes),
            [this, session, answer](std::error_code error, std::size_t) {
                if (answer->close || error)
                    session->socket.close();
                else
                    readHead(session);
            });
    }

    const Script script_;
    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_;
    const std::uint16_t port_;
    std::size_t connections_ = 0;
    mutable std::mutex mutex_;
    mutable std::condition_variable arrived_;
    std::vector<Received> requests_;
    std::thread thread_;
};

#endif
