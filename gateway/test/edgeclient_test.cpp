// Asio must be included before CppUTest, whose memory macros break it.
#include "endivequay/edgeclient.h"
#include "rawpeer.h"

#include <fmt/format.h>

#include <algorithm>
#include <thread>

#include "proptest.h"

using namespace endivequay;
using namespace std::chrono_literals;

TEST_GROUP(EdgeClient)
{
    asio::io_context loop;
    SteadyClock clock;
    asio::ip::tcp::acceptor acceptor { loop, *parseEndpoint(anyPort) };
    const Address address = addressOf(acceptor.local_endpoint());
    EdgeClient client { loop, {}, [this] { return clock.now(); } };
    std::vector<CallResult> results;

    template <class Condition>
    void waitUntil(Condition condition)
    {
        CHECK(runUntil(loop, condition));
    }

    void call(const std::string &id, bool mayReuse = true)
    {
        client.send({ address, "GET /" + id + " HTTP/1.1\r\nHost: h\r\n\r\n", clock.now() + 5s,
                        mayReuse, false, "Id", id, "Not-Run" },
            [this](CallResult &&end) { results.push_back(std::move(end)); });
    }

    void runLoop()
    {
        loop.run_for(20ms);
        loop.restart();
    }
};

// Guards against attributing the response to an earlier request to the current one.
TEST(EdgeClient, ResponseToAnotherRequestIsSkipped)
{
    RawPeer server(loop);
    call("b");
    server.accept(acceptor);
    waitUntil([&] { return !server.received().empty(); });
    server.send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nold"
                "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 3\r\n\r\nnew");
    waitUntil([&] { return results.size() == 1; });
    STRCMP_EQUAL("new", results[0].response.body.c_str());
}

// Guards against a late second copy of a response that answers the next request on the connection.
// Without an id the first response on a connection can only belong to its first request; a "not
// run" of an earlier request would let one that runs be sent again.
TEST(EdgeClient, LateCopiesOnAReusedConnectionAnswerNoRequest)
{
    for (const std::string copy : { "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nold",
             "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 200 OK\r\nId: b\r\nId: a\r\nContent-Length: 3\r\n\r\nold",
             "HTTP/1.1 102 Processing\r\nId: b\r\n\r\n" }) {
        results.clear();
        RawPeer server(loop);
        call("a", false);
        server.accept(acceptor);
        waitUntil([&] { return !server.received().empty(); });
        server.send("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
        waitUntil([&] { return results.size() == 1; });
        call("b");
        waitUntil([&] { return server.received().find("/b") != std::string::npos; });
        server.send(copy);
        runLoop();
        LONGS_EQUAL(1, results.size());
        server.send("HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 3\r\n\r\nnew");
        waitUntil([&] { return results.size() == 2; });
        STRCMP_EQUAL("new", results[1].response.body.c_str());
        server.close();
        runLoop();
    }
}

// Guards against the same for a copy that ends with the connection because it states no length: a
// "not run" of an earlier request would be a false promise for one that runs.
TEST(EdgeClient, LateCopiesThatEndWithTheConnectionAnswerNoRequest)
{
    for (const std::string copy : { "HTTP/1.1 503 Busy\r\nId: a\r\nNot-Run: 1\r\n\r\n",
             "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n\r\n", "HTTP/1.1 421 Misdirected\r\n\r\n",
             "HTTP/1.1 200 OK\r\nId: a\r\n\r\nold" }) {
        results.clear();
        RawPeer server(loop);
        call("a", false);
        server.accept(acceptor);
        waitUntil([&] { return !server.received().empty(); });
        server.send("HTTP/1.1 503 Busy\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        waitUntil([&] { return results.size() == 1; });
        call("b");
        waitUntil([&] { return server.received().find("/b") != std::string::npos; });
        server.send(copy);
        server.close();
        waitUntil([&] { return results.size() == 2; });
        CHECK(results[1].kind == CallResult::Kind::Broken);
        CHECK(results[1].sent);
    }
}

// Guards against a late copy of a refusal that answers a repetition of its own request on the same
// connection: the id does not tell them apart.
TEST(EdgeClient, RepeatedRequestUsesAnotherConnection)
{
    RawPeer first(loop);
    call("a");
    first.accept(acceptor);
    waitUntil([&] { return !first.received().empty(); });
    first.send("HTTP/1.1 503 Busy\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    waitUntil([&] { return results.size() == 1; });
    call("b");
    waitUntil([&] { return first.received().find("/b") != std::string::npos; });
    first.send("HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 0\r\n\r\n");
    waitUntil([&] { return results.size() == 2; });
    RawPeer second(loop);
    call("a");
    runLoop();
    LONGS_EQUAL(2, client.connectionsOpened());
    second.accept(acceptor);
    waitUntil([&] { return !second.received().empty(); });
    second.send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nnew");
    waitUntil([&] { return results.size() == 3; });
    STRCMP_EQUAL("new", results[2].response.body.c_str());
}

// Guards against a truncated response that looks complete: an upstream that stops anywhere in its
// response and closes has not answered, unless only a body without a stated length is cut.
TEST(EdgeClient, TruncatedResponsesAreNotComplete)
{
    struct Case
    {
        std::string head;
        std::string body;
        bool endsWithConnection = false;
    };
    for (const Case &each :
        { Case { "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\n", "0123456789" },
            Case { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: a\r\nStamp: s\r\n\r\n", "" },
            Case { "HTTP/1.1 204 No Content\r\nId: a\r\nA: b\r\n\r\n", "" },
            Case { "HTTP/1.1 503 Busy\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "" },
            Case { "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n",
                "3\r\nabc\r\n0\r\n\r\n" },
            Case { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: "
                   "2\r\n\r\n",
                "ab" },
            Case { "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\n", "rest", true } }) {
        const std::string whole = each.head + each.body;
        for (std::size_t size = 0; size < whole.size(); ++size) {
            if (each.endsWithConnection && size >= each.head.size())
                break;
            results.clear();
            RawPeer server(loop);
            call("a", false);
            server.accept(acceptor);
            waitUntil([&] { return !server.received().empty(); });
            server.send(whole.substr(0, size));
            server.close();
            waitUntil([&] { return results.size() == 1; });
            CHECK_TEXT(results[0].kind == CallResult::Kind::Broken, whole.substr(0, size).c_str());
        }
    }
}

// Guards against a server in trouble that sends without end and takes the memory or the loop of the
// instance. Each case is repeated until the client closes; bound: 64 MB.
TEST(EdgeClient, EndlessResponsesEndTheCall)
{
    struct Case
    {
        std::string head;
        std::string repeated;
    };
    const std::string block(std::size_t { 64 } * 1024, 'x');
    for (const Case &each :
        { Case { "", block }, Case { "HTTP/1.1 200 OK\r\n", "A: b\r\n" + block },
            Case { "HTTP/1.1 200 ", block }, Case { "HTTP/1.1 200 OK\r\nId: a\r\n\r\n", block },
            Case { "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 99999999999\r\n\r\n", block },
            Case { "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n",
                "10000\r\n" + block + "\r\n" },
            Case { "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1;", block },
            Case { "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                "A: b\r\nB: " + block + "\r\n" },
            Case { "", "HTTP/1.1 100 Continue\r\n\r\n" },
            Case { "", "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 0\r\n\r\n" } }) {
        results.clear();
        asio::ip::tcp::socket server(loop);
        call("a", false);
        acceptor.accept(server);
        server.non_blocking(true);
        std::string output = each.head;
        std::size_t sent = 0;
        waitUntil([&] {
            while (results.empty()) {
                if (output.size() < block.size())
                    output += each.repeated;
                asio::error_code error;
                const std::size_t written = server.write_some(asio::buffer(output), error);
                output.erase(0, written);
                sent += written;
                if (error)
                    break;
            }
            return !results.empty();
        });
        CHECK(results[0].kind == CallResult::Kind::Broken);
        CHECK(results[0].sent);
        CHECK(sent < std::size_t { 64 } * 1024 * 1024);
    }
}

// Guards against many endless responses that each stay within the limit of one.
TEST(EdgeClient, UnfinishedResponsesShareALimit)
{
    constexpr std::size_t bodyBytes = std::size_t { 12 } * 1024 * 1024;
    const std::string part(bodyBytes, 'x');
    std::vector<std::unique_ptr<RawPeer>> servers;
    for (int i = 0; i < 4; ++i) {
        call("a", false);
        servers.push_back(std::make_unique<RawPeer>(loop));
        servers.back()->accept(acceptor);
    }
    std::vector<std::thread> senders;
    for (const auto &server : servers)
        senders.emplace_back([&part, peer = server.get()] {
            try {
                peer->send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 16000000\r\n\r\n" + part);
            } catch (const asio::system_error &) {
                return; // The client has closed the connection.
            }
        });
    waitUntil([&] { return !results.empty(); });
    client.advance(clock.now() + 6s); // Ends the other calls, and with them the senders.
    std::ranges::for_each(senders, [](std::thread &sender) { sender.join(); });
    CHECK(results[0].kind == CallResult::Kind::Broken);
}

// Guards against attributing excess bytes to the next request.
TEST(EdgeClient, ConnectionWithSurplusBytesIsNotUsedAgain)
{
    RawPeer first(loop);
    call("a");
    first.accept(acceptor);
    waitUntil([&] { return !first.received().empty(); });
    first.send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nId: b\r\n"
               "Content-Length: 1\r\n\r\ny");
    waitUntil([&] { return results.size() == 1; });
    call("b");
    RawPeer second(loop);
    second.accept(acceptor);
    waitUntil([&] { return !second.received().empty(); });
    LONGS_EQUAL(1, results.size());
}

// Guards against a response without a length that is truncated by a reset and accepted as complete.
TEST(EdgeClient, ResetResponseIsNotComplete)
{
    RawPeer server(loop);
    call("a");
    server.accept(acceptor);
    waitUntil([&] { return !server.received().empty(); });
    server.send("HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf");
    runLoop();
    server.reset();
    waitUntil([&] { return results.size() == 1; });
    CHECK(results[0].kind == CallResult::Kind::Broken);
    CHECK(results[0].sent);
}

// Guards against reusing an idle connection that the server has closed.
TEST(EdgeClient, ClosedConnectionIsNotUsedAgain)
{
    RawPeer first(loop);
    call("a");
    first.accept(acceptor);
    waitUntil([&] { return !first.received().empty(); });
    first.send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n");
    waitUntil([&] { return results.size() == 1; });
    first.close();
    runLoop();
    call("b");
    RawPeer second(loop);
    second.accept(acceptor);
    waitUntil([&] { return !second.received().empty(); });
    LONGS_EQUAL(2, client.connectionsOpened());
}

// Guards against reporting a request as not sent although the server received a part, and the
// reverse.
TEST(EdgeClient, TellsWhetherAnythingWasSent)
{
    acceptor.close();
    call("a");
    waitUntil([&] { return results.size() == 1; });
    CHECK(results[0].kind == CallResult::Kind::NotConnected);
    CHECK_FALSE(results[0].sent);
}

// Guards against calls that never complete.
TEST(EdgeClient, DeadlineEndsASilentCall)
{
    RawPeer server(loop);
    call("a");
    server.accept(acceptor);
    waitUntil([&] { return !server.received().empty(); });
    client.advance(clock.now() + 6s);
    LONGS_EQUAL(1, results.size());
    CHECK(results[0].kind == CallResult::Kind::TimedOut);
    waitUntil([&] { return server.resetByPeer(); }); // The server can abort its work.
}

// Guards against a cancelled call that keeps its server busy or still calls its callback.
TEST(EdgeClient, CancelledCallClosesItsConnection)
{
    RawPeer server(loop);
    const CallId id
        = client.send({ address, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", clock.now() + 5s },
            [this](CallResult &&end) { results.push_back(std::move(end)); });
    server.accept(acceptor);
    waitUntil([&] { return !server.received().empty(); });
    client.cancel(id);
    waitUntil([&] { return server.resetByPeer(); });
    LONGS_EQUAL(0, results.size());
}

// Guards against a request that its upstream gets long after its caller got an answer: an orderly
// close delivers bytes that a partition holds up, a reset does not.
TEST(EdgeClient, AbandonedCallsResetTheirConnections)
{
    RawPeer first(loop);
    const CallId id = client.send(
        { address, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", clock.now() + 5s }, [](CallResult &&) {});
    first.accept(acceptor);
    waitUntil([&] { return !first.received().empty(); });
    client.cancel(id);
    waitUntil([&] { return first.resetByPeer(); });
    RawPeer second(loop);
    call("b");
    second.accept(acceptor);
    waitUntil([&] { return !second.received().empty(); });
    client.advance(clock.now() + 6s);
    waitUntil([&] { return second.resetByPeer(); });
    RawPeer third(loop);
    call("c");
    third.accept(acceptor);
    waitUntil([&] { return !third.received().empty(); });
    third.send("HTTP/1.1 200 OK\r\nId: c\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    waitUntil([&] { return third.closedByPeer(); });
    CHECK_FALSE(third.resetByPeer());
}

// Guards against delivering a response with an invalid status code from a failing upstream. The
// request may have run, so the attempt has to end with an unknown outcome.
TEST(EdgeClient, StatusThatIsNoneIsABrokenResponse)
{
    const auto property = [this](std::uint16_t number) {
        for (const std::string &status :
            { fmt::format("{:03}", number % 100), std::to_string(600 + number % 400),
                std::to_string(1000 + number % 9000), std::string("OK"), std::string() }) {
            results.clear();
            RawPeer server(loop);
            call("a", false);
            server.accept(acceptor);
            RC_ASSERT(runUntil(loop, [&] { return !server.received().empty(); }));
            server.send("HTTP/1.1 " + status + " Trouble\r\nId: a\r\nContent-Length: 2\r\n\r\nno");
            RC_ASSERT(runUntil(loop, [&] { return !results.empty(); }));
            RC_ASSERT(results[0].kind == CallResult::Kind::Broken);
            RC_ASSERT(results[0].sent);
        }
    };
    CHECK_PROPERTY("a status that is none is a broken response", property);
}
