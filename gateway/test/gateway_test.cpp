// Asio must be included before CppUTest, whose memory macros break it.
#include "endivequay/gateway.h"
#include "rawpeer.h"

#include "proptest.h"

using namespace endivequay;
using namespace std::chrono_literals;

TEST_GROUP(Gateway)
{
    asio::io_context loop;
    SteadyClock clock;
    DecisionLog log { "test", -1, {} };
    TrafficMetrics metrics;
    RequestEngine engine { { InstanceId("i1"), FailureDomainId("west-a"), RegionId("west"),
                               { { RegionId("west"), 1 } } },
        { 0.2, 50 } };
    asio::ip::tcp::acceptor upstreamAcceptor { loop, *parseEndpoint(anyPort) };
    asio::ip::tcp::acceptor callerAcceptor { loop, *parseEndpoint(anyPort) };
    Address callers = addressOf(callerAcceptor.local_endpoint());
    std::unique_ptr<Gateway> gateway;

    void setup() override
    {
        const Instant now = clock.now();
        RoutingDocument document;
        document.version = ConfigVersion(1);
        document.services = { { ServiceId("web"), 100, 3s, 15 } };
        RequestRoute route;
        route.id = RouteId("order");
        route.host = "shop.example";
        route.prefix = "/order/";
        route.timeout = 5s;
        route.objective = 1s;
        route.attempts = 2;
        route.open = true;
        route.services = { { ServiceId("web"), 1 } };
        document.routes = { route };
        engine.setTable(std::make_shared<const RoutingTable>(*RoutingTable::create(document)), now);
        callerAcceptor.close(); // The gateway listens on the port that was free.
        EdgeHeaders headers;
        headers.requestId = "Id";
        headers.notRun = "Not-Run";
        headers.leaving = "Leaving";
        headers.stamp = "Stamp";
        headers.deadlineMs = "Deadline";
        headers.expectUpstream = "Expect-Upstream";
        auto listening
            = Gateway::listen({ loop, engine, log, metrics, [this] { return clock.now(); }, [] {} },
                headers, callers);
        CHECK(listening.hasValue());
        gateway = *std::move(listening);
    }

    void useUpstream(const std::string &id)
    {
        UpstreamEntry entry;
        entry.id = UpstreamId(id);
        entry.service = ServiceId("web");
        entry.address = addressOf(upstreamAcceptor.local_endpoint());
        entry.domain = FailureDomainId("west-a");
        entry.region = RegionId("west");
        entry.slots = 9;
        engine.setUpstreams({ entry }, {}, clock.now());
    }

    template <class Condition>
    void waitUntil(Condition condition)
    {
        const bool holds = runUntil(loop, [&] {
            gateway->advance(clock.now());
            return condition();
        });
        CHECK(holds);
    }

    static std::string order(const std::string &id)
    {
        return "POST /order/" + id + " HTTP/1.1\r\nHost: shop.example\r\nId: " + id
            + "\r\nContent-Length: 0\r\n\r\n";
    }

    /// Sends the first order over \a caller and accepts the connection on which \a upstream gets
    /// it.
    void sendFirstOrder(RawPeer & caller, RawPeer & upstream, const std::string &id)
    {
        const auto opened = gateway->openedUpstreamConnections();
        caller.connect(callers);
        caller.send(order(id));
        waitUntil([&] { return gateway->openedUpstreamConnections() > opened; });
        upstream.accept(upstreamAcceptor);
        waitUntil([&] { return !upstream.received().empty(); });
    }

    /// Sends an order over \a caller and waits until \a upstream has it.
    void sendOrder(RawPeer & caller, RawPeer & upstream, const std::string &id)
    {
        caller.send(order(id));
        waitUntil([&] { return upstream.received().find("/order/" + id) != std::string::npos; });
    }
};

// Guards against answers of a server of another system that reach callers as successes: only an
// upstream's stamp shows that it ran the request.
TEST(Gateway, SuccessWithoutAStampIsNotPassedOn)
{
    useUpstream("u1");
    RawPeer caller(loop);
    RawPeer upstream(loop);
    sendFirstOrder(caller, upstream, "a");
    upstream.send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nhello");
    waitUntil([&] { return !caller.received().empty(); });
    CHECK(caller.received().starts_with("HTTP/1.1 502"));
    sendOrder(caller, upstream, "b");
    upstream.send("HTTP/1.1 200 OK\r\nId: b\r\nStamp: s\r\nContent-Length: 5\r\n\r\nhello");
    waitUntil([&] { return caller.received().find("HTTP/1.1 200") != std::string::npos; });
}

// Guards against a false "not run": a copy of an earlier refusal must not answer an order that its
// upstream runs.
TEST(Gateway, LateRefusalIsNoPromise)
{
    for (const std::string length : { "Content-Length: 0\r\n", "" })
        for (const std::string id : { "Id: a\r\n", "" }) {
            useUpstream("u" + std::to_string(length.size() + id.size()));
            RawPeer caller(loop);
            RawPeer upstream(loop);
            sendFirstOrder(caller, upstream, "a");
            upstream.send("HTTP/1.1 503 Busy\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
            waitUntil([&] { return caller.received().find("HTTP/1.1 503") != std::string::npos; });
            RawPeer second(loop);
            second.connect(callers);
            sendOrder(second, upstream, "b");
            upstream.send("HTTP/1.1 503 Busy\r\n" + id + "Not-Run: 1\r\n" + length + "\r\n");
            upstream.close();
            waitUntil([&] { return !second.received().empty(); });
            CHECK_TEXT(second.received().starts_with("HTTP/1.1 502"), second.received().c_str());
        }
}

// Guards against an upstream that says it leaves only in refusals or failures and is not heeded. A
// misdirected request is answered by another upstream than the one that is meant.
TEST(Gateway, LeavingIsHeededInEveryKindOfResponse)
{
    const std::map<std::string, bool> responses { { "200 OK\r\nStamp: s\r\nLeaving: 1", true },
        { "503 Busy\r\nNot-Run: 1\r\nLeaving: 1", true }, { "500 Failed\r\nLeaving: 1", true },
        { "404 Unknown\r\nLeaving: 1", true }, { "200 OK\r\nStamp: s\r\nLeaving: 0", false },
        { "200 OK\r\nStamp: s", false }, { "421 Misdirected\r\nLeaving: 1", false } };
    int number = 0;
    for (const auto &[response, leaves] : responses) {
        const std::string id = "u" + std::to_string(++number);
        useUpstream(id);
        CHECK(engine.upstreams().usable(UpstreamId(id)));
        RawPeer caller(loop);
        RawPeer upstream(loop);
        sendFirstOrder(caller, upstream, "a");
        upstream.send("HTTP/1.1 " + response + "\r\nId: a\r\nContent-Length: 0\r\n\r\n");
        waitUntil([&] { return !caller.received().empty(); });
        CHECK_TEXT(engine.upstreams().usable(UpstreamId(id)) != leaves, response.c_str());
        upstream.close();
    }
}
