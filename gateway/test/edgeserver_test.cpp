// Asio must be included before CppUTest, whose memory macros break it.
#include "endivequay/edgeserver.h"
#include "rawpeer.h"

#include <algorithm>
#include <thread>

#include "proptest.h"

using namespace endivequay;
using namespace std::chrono_literals;

namespace {

HttpMessage makeResponse(int status, std::string body)
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
    std::vector<ExchangeId> disconnected;
    std::unique_ptr<EdgeServer> server;

    void setup() override
    {
        auto listening = EdgeServer::listen(loop, anyPort, {},
            { [this](ExchangeId id, HttpMessage &&request) {
                 requests.emplace_back(id, std::move(request));
             },
                [this](ExchangeId id) { disconnected.push_back(id); },
                [](const HttpMessage &request) { return request.method == "GET"; },
                [this] { return clock.now(); } });
        CHECK(listening.hasValue());
        server = *std::move(listening);
        address = server->address();
    }

    template <class Condition>
    void waitUntil(Condition condition)
    {
        CHECK(runUntil(loop, condition));
    }
};

// Guards against a planned stop that ends the process while the response to a slow client is still
// being written, or while a request is half received.
TEST(EdgeServer, UnsentResponsesKeepTheServerBusy)
{
    RawPeer client(loop);
    client.connect(address);
    CHECK(server->isIdle());
    client.send("GET /1 HTTP/1.1\r\n");
    waitUntil([&] { return !server->isIdle(); });
    client.send("Host: h\r\n\r\n");
    waitUntil([&] { return requests.size() == 1; });
    server->startDraining();
    const std::string body(std::size_t { 16 } * 1024 * 1024, 'x');
    server->respond(requests[0].first, makeResponse(200, body));
    loop.run_for(20ms);
    loop.restart();
    CHECK_FALSE(server->isIdle());
    waitUntil([&] { return client.received().size() > body.size(); });
    waitUntil([&] { return server->isIdle(); });
}

// Guards against responses on a connection that are sent out of order.
TEST(EdgeServer, PipelinedRequestsAreAnsweredInOrder)
{
    RawPeer client(loop);
    client.connect(address);
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    waitUntil([&] { return requests.size() == 2; });
    server->respond(requests[1].first, makeResponse(200, "second"));
    server->respond(requests[0].first, makeResponse(200, "first"));
    waitUntil([&] { return client.received().find("second") != std::string::npos; });
    CHECK(client.received().find("first") < client.received().find("second"));
}

// Guards against a request that runs twice: its client resends it after a response that closes the
// connection.
TEST(EdgeServer, RequestThatMustNotRepeatWaitsForItsPredecessors)
{
    RawPeer client(loop);
    client.connect(address);
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nPOST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: "
                "0\r\n\r\n");
    waitUntil([&] { return requests.size() == 1; });
    loop.run_for(20ms);
    loop.restart();
    LONGS_EQUAL(1, requests.size());
    server->startDraining();
    server->respond(requests[0].first, makeResponse(200, "first"));
    waitUntil([&] { return client.closedByPeer(); });
    LONGS_EQUAL(1, requests.size());
    CHECK(client.received().find("Connection: close") != std::string::npos);
}

// Guards against a pipeline that never drains: a stopping server would never close the connection
// and would abort the last requests, including finished ones behind a slow one.
TEST(EdgeServer, StoppingServerStartsNothingBehindAnOpenRequest)
{
    RawPeer client(loop);
    client.connect(address);
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    waitUntil([&] { return requests.size() == 1; });
    server->startDraining();
    client.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    loop.run_for(20ms);
    loop.restart();
    LONGS_EQUAL(1, requests.size());
    server->respond(requests[0].first, makeResponse(200, "first"));
    waitUntil([&] { return client.closedByPeer(); });
    CHECK(client.received().find("first") != std::string::npos);
    CHECK(client.received().find("Connection: close") != std::string::npos);
    LONGS_EQUAL(1, requests.size());
}

// Guards against continued work for a client that has disconnected.
TEST(EdgeServer, LeavingClientIsNoticedWhileItsRequestIsOpen)
{
    RawPeer client(loop);
    client.connect(address);
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    waitUntil([&] { return requests.size() == 1; });
    client.close();
    waitUntil([&] { return disconnected.size() == 1; });
    CHECK(disconnected.front() == requests.front().first);
    server->respond(requests.front().first, makeResponse(200, "late")); // Ignored.
}

// Guards against clients that hold a connection open with an incomplete header.
TEST(EdgeServer, SlowHeaderIsEnded)
{
    RawPeer client(loop);
    client.connect(address);
    client.send("GET /1 HT");
    waitUntil([&] { return server->connectionCount() == 1; });
    loop.run_for(20ms);
    loop.restart();
    server->advance(clock.now() + 4s);
    waitUntil([&] { return client.closedByPeer(); });
    CHECK(client.received().starts_with("HTTP/1.1 408"));
}

// Guards against a malformed request that is forwarded or gets no response.
TEST(EdgeServer, MalformedRequestIsRejected)
{
    RawPeer client(loop);
    client.connect(address);
    client.send("GET /1 HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    waitUntil([&] { return client.closedByPeer(); });
    CHECK(client.received().starts_with("HTTP/1.1 400"));
    LONGS_EQUAL(0, requests.size());
}
