// CppUTest's memory macros clash with Asio, so Asio goes first.
#include "endivequay/edgeclient.h"
#include "endivequay/edgeserver.h"

#include <asio/write.hpp>

#include "proptest.h"

using namespace endivequay;
using namespace std::chrono_literals;

namespace {

/// Longest time that a test waits for something that must happen.
constexpr auto patience = 10s;

/// The system chooses a free port: a fixed one may be the local end of another process's
/// connection.
const Address anyPort { "127.0.0.1:0" };

/// A peer that is scripted byte by byte.
class RawPeer
{
public:
    explicit RawPeer(asio::io_context &loop)
        : socket_(loop)
    { }

    void connect(const Address &address) { socket_.connect(*parseEndpoint(address)); }
    void accept(asio::ip::tcp::acceptor &acceptor) { acceptor.accept(socket_); }
    void send(std::string_view text) { asio::write(socket_, asio::buffer(text)); }
    void close() { socket_.close(); }
    /// Resets the connection instead of closing it.
    void reset()
    {
        socket_.set_option(asio::socket_base::linger(true, 0));
        socket_.close();
    }

    /// What arrived so far.
    std::string take()
    {
        socket_.non_blocking(true);
        char chunk[4096];
        asio::error_code error;
        while (const std::size_t size = socket_.read_some(asio::buffer(chunk), error))
            received_.append(chunk, size);
        ended_ = ended_ || error == asio::error::eof;
        return received_;
    }

    bool ended()
    {
        take();
        return ended_;
    }

private:
    asio::ip::tcp::socket socket_;
    std::string received_;
    bool ended_ = false;
};

HttpMessage text(int status, std::string body)
{
    HttpMessage message;
    message.status = status;
    message.body = std::move(body);
    return message;
}

} // namespace

TEST_GROUP(EdgeServer)
{
    asio::io_context loop;
    SteadyClock clock;
    Address address; ///< Known once the server listens.
    std::vector<std::pair<ExchangeId, HttpMessage>> requests;
    std::vector<ExchangeId> left;
    std::unique_ptr<EdgeServer> server;

    void setup() override
    {
        auto listening = EdgeServer::listen(loop, anyPort, {},
            { [this](ExchangeId id, HttpMessage &&request) {
                 requests.emplace_back(id, std::move(request));
             },
                [this](ExchangeId id) { left.push_back(id); },
                [](const HttpMessage &request) { return request.method == "GET"; },
                [this] { return clock.now(); } });
        CHECK(listening.hasValue());
        server = *std::move(listening);
        address = server->address();
    }

    template <class Condition>
    void until(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!condition()) {
            CHECK(std::chrono::steady_clock::now() < end);
            loop.run_for(5ms);
            loop.restart();
        }
    }
};

// Guards against answers that overtake each other on a connection.
TEST(EdgeServer, PipelinedRequestsAreAnsweredInOrder)
{
    RawPeer client(loop);
    client.connect(address);
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    until([&] { return requests.size() == 2; });
    server->respond(requests[1].first, text(200, "second"));
    server->respond(requests[0].first, text(200, "first"));
    until([&] { return client.take().find("second") != std::string::npos; });
    CHECK(client.take().find("first") < client.take().find("second"));
}

// Guards against a request that runs although a closing answer makes its client send it again.
TEST(EdgeServer, RequestThatMustNotRepeatWaitsForItsPredecessors)
{
    RawPeer client(loop);
    client.connect(address);
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nPOST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: "
                "0\r\n\r\n");
    until([&] { return requests.size() == 1; });
    loop.run_for(20ms);
    loop.restart();
    LONGS_EQUAL(1, requests.size());
    server->startDraining();
    server->respond(requests[0].first, text(200, "first"));
    until([&] { return client.ended(); });
    LONGS_EQUAL(1, requests.size());
    CHECK(client.take().find("Connection: close") != std::string::npos);
}

// Guards against a pipeline that never empties, so that a stopping server never closes it and cuts
// the requests that it started last, with answers that were ready behind a slow one.
TEST(EdgeServer, StoppingServerStartsNothingBehindAnOpenRequest)
{
    RawPeer client(loop);
    client.connect(address);
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    until([&] { return requests.size() == 1; });
    server->startDraining();
    client.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    loop.run_for(20ms);
    loop.restart();
    LONGS_EQUAL(1, requests.size());
    server->respond(requests[0].first, text(200, "first"));
    until([&] { return client.ended(); });
    CHECK(client.take().find("first") != std::string::npos);
    CHECK(client.take().find("Connection: close") != std::string::npos);
    LONGS_EQUAL(1, requests.size());
}

// Guards against work for a client that has gone.
TEST(EdgeServer, LeavingClientIsNoticedWhileItsRequestIsOpen)
{
    RawPeer client(loop);
    client.connect(address);
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    until([&] { return requests.size() == 1; });
    client.close();
    until([&] { return left.size() == 1; });
    CHECK(left.front() == requests.front().first);
    server->respond(requests.front().first, text(200, "late")); // Harmless.
}

// Guards against clients that hold a connection with half a header.
TEST(EdgeServer, SlowHeaderIsEnded)
{
    RawPeer client(loop);
    client.connect(address);
    client.send("GET /1 HT");
    until([&] { return server->connections() == 1; });
    loop.run_for(20ms);
    loop.restart();
    server->advance(clock.now() + 4s);
    until([&] { return client.ended(); });
    CHECK(client.take().starts_with("HTTP/1.1 408"));
}

// Guards against a malformed request that is passed on or left without an answer.
TEST(EdgeServer, MalformedRequestIsRejected)
{
    RawPeer client(loop);
    client.connect(address);
    client.send("GET /1 HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    until([&] { return client.ended(); });
    CHECK(client.take().starts_with("HTTP/1.1 400"));
    LONGS_EQUAL(0, requests.size());
}

TEST_GROUP(EdgeClient)
{
    asio::io_context loop;
    SteadyClock clock;
    asio::ip::tcp::acceptor acceptor { loop, *parseEndpoint(anyPort) };
    const Address address = addressOf(acceptor.local_endpoint());
    EdgeClient client { loop, {}, [this] { return clock.now(); } };
    std::vector<CallEnd> ends;

    template <class Condition>
    void until(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!condition()) {
            CHECK(std::chrono::steady_clock::now() < end);
            loop.run_for(5ms);
            loop.restart();
        }
    }

    void call(const std::string &id, bool mayReuse = true)
    {
        client.send({ address, "GET /" + id + " HTTP/1.1\r\nHost: h\r\n\r\n", clock.now() + 5s,
                        mayReuse, false, "Id", id, "Not-Run" },
            [this](CallEnd &&end) { ends.push_back(std::move(end)); });
    }

    void turn()
    {
        loop.run_for(20ms);
        loop.restart();
    }
};

// Guards against an answer to an earlier request that is taken for the present one.
TEST(EdgeClient, ResponseToAnotherRequestIsSkipped)
{
    RawPeer server(loop);
    call("b");
    server.accept(acceptor);
    until([&] { return !server.take().empty(); });
    server.send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nold"
                "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 3\r\n\r\nnew");
    until([&] { return ends.size() == 1; });
    STRCMP_EQUAL("new", ends[0].response.body.c_str());
}

// Guards against surplus bytes that are taken for the response to the next request.
TEST(EdgeClient, ConnectionWithSurplusBytesIsNotUsedAgain)
{
    RawPeer first(loop);
    call("a");
    first.accept(acceptor);
    until([&] { return !first.take().empty(); });
    first.send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nId: b\r\n"
               "Content-Length: 1\r\n\r\ny");
    until([&] { return ends.size() == 1; });
    call("b");
    RawPeer second(loop);
    second.accept(acceptor);
    until([&] { return !second.take().empty(); });
    LONGS_EQUAL(1, ends.size());
}

// Guards against a response without length that is cut by a reset and passes for complete.
TEST(EdgeClient, ResetResponseIsNotComplete)
{
    RawPeer server(loop);
    call("a");
    server.accept(acceptor);
    until([&] { return !server.take().empty(); });
    server.send("HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf");
    turn();
    server.reset();
    until([&] { return ends.size() == 1; });
    CHECK(ends[0].kind == CallEnd::Kind::Broken);
    CHECK(ends[0].sent);
}

// Guards against a kept connection that the server closed and that is used again.
TEST(EdgeClient, ClosedConnectionIsNotUsedAgain)
{
    RawPeer first(loop);
    call("a");
    first.accept(acceptor);
    until([&] { return !first.take().empty(); });
    first.send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n");
    until([&] { return ends.size() == 1; });
    first.close();
    turn();
    call("b");
    RawPeer second(loop);
    second.accept(acceptor);
    until([&] { return !second.take().empty(); });
    LONGS_EQUAL(2, client.connectionsOpened());
}

// Guards against "not sent" for a request of which the server got a part, and the reverse.
TEST(EdgeClient, TellsWhetherAnythingWasSent)
{
    acceptor.close();
    call("a");
    until([&] { return ends.size() == 1; });
    CHECK(ends[0].kind == CallEnd::Kind::NotConnected);
    CHECK_FALSE(ends[0].sent);
}

// Guards against calls without an end.
TEST(EdgeClient, DeadlineEndsASilentCall)
{
    RawPeer server(loop);
    call("a");
    server.accept(acceptor);
    until([&] { return !server.take().empty(); });
    client.advance(clock.now() + 6s);
    LONGS_EQUAL(1, ends.size());
    CHECK(ends[0].kind == CallEnd::Kind::TimedOut);
    until([&] { return server.ended(); }); // The server can stop its work.
}

// Guards against a cancelled call that keeps its server busy or reports later.
TEST(EdgeClient, CancelledCallClosesItsConnection)
{
    RawPeer server(loop);
    const CallId id
        = client.send({ address, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", clock.now() + 5s },
            [this](CallEnd &&end) { ends.push_back(std::move(end)); });
    server.accept(acceptor);
    until([&] { return !server.take().empty(); });
    client.cancel(id);
    until([&] { return server.ended(); });
    LONGS_EQUAL(0, ends.size());
}
