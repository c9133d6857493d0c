#include "scriptedserver.h"

#include "endivequay/upstreamclient.h"

#include <CppUTest/TestHarness.h>

using namespace endivequay;

namespace {

// Never reached in a passing test: a call that ends only at this deadline visibly stalls the run.
Instant distantDeadline()
{
    return SteadyClock().now() + std::chrono::minutes(10);
}

UpstreamRequest requestTo(const Address &address, RequestKind kind)
{
    UpstreamRequest request;
    request.address = address;
    request.method = "POST";
    request.path = "/reserve";
    request.body = "bale 7";
    request.deadline = distantDeadline();
    request.kind = kind;
    return request;
}

std::size_t runs(const ScriptedServer &server)
{
    std::size_t count = 0;
    for (const Received &received : server.requests())
        count += received.body == "bale 7" ? 1 : 0;
    return count;
}

/// Responds to requests without a body and closes the connection on those with one.
Reply closeOnBody(const Received &received)
{
    return received.body.empty() ? okReply("kept") : Reply { "", true };
}

void openIdleConnection(UpstreamClient &client, const Address &address)
{
    UpstreamRequest request = requestTo(address, RequestKind::Idempotent);
    request.body.clear();
    CHECK(client.send(request).outcome == UpstreamOutcome::Answered);
    LONGS_EQUAL(1, client.idleConnections(address));
}

/// Sends with increasing timeouts until one is long enough to connect.
UpstreamResponse sendUntilSent(UpstreamClient &client, UpstreamRequest request)
{
    UpstreamResponse response;
    Interval timeout = std::chrono::milliseconds(50);
    do {
        request.deadline = SteadyClock().now() + timeout;
        response = client.send(request);
        timeout *= 2;
    } while (response.outcome == UpstreamOutcome::NotRun);
    return response;
}

} // namespace

TEST_GROUP(UpstreamClient)
{
    UpstreamClient client;
};

// Guards against delivering a response with an invalid status code from a failing upstream.
TEST(UpstreamClient, StatusThatIsNoneIsAnUnknownOutcome)
{
    for (const std::string status : { "000", "001", "099", "600", "999", "1000", "OK", "" }) {
        ScriptedServer server([&](const Received &) {
            return Reply { "HTTP/1.1 " + status + " Trouble\r\nContent-Length: 2\r\n\r\nno", true };
        });
        const auto response = client.send(requestTo(server.address(), RequestKind::Once));
        CHECK(response.outcome == UpstreamOutcome::Unknown);
    }
}

// Guards against the automatic retry of libcurl when a reused connection closes: a deposit would be
// charged twice.
TEST(UpstreamClient, ReusedConnectionThatClosesRunsTheRequestOnce)
{
    ScriptedServer server(closeOnBody);
    openIdleConnection(client, server.address());
    const auto response = client.send(requestTo(server.address(), RequestKind::Idempotent));
    CHECK(response.outcome == UpstreamOutcome::Unknown);
    CHECK(response.failure == UpstreamFailure::ReusedConnectionClosed);
    LONGS_EQUAL(1, runs(server));
    LONGS_EQUAL(0, client.idleConnections(server.address()));
}

// Guards against an at-most-once request on a reused connection, or one that is reported with a
// known outcome after the upstream executed it and closed the connection.
TEST(UpstreamClient, OnceRequestUsesAConnectionOfItsOwn)
{
    ScriptedServer server(closeOnBody);
    openIdleConnection(client, server.address());
    const auto response = client.send(requestTo(server.address(), RequestKind::Once));
    CHECK(response.outcome == UpstreamOutcome::Unknown);
    CHECK_FALSE(response.mayRetry(RequestKind::Once));
    LONGS_EQUAL(1, runs(server));
    LONGS_EQUAL(1, server.requests().back().connection);
    LONGS_EQUAL(1, client.idleConnections(server.address()));
}

// Guards against an at-most-once request that leaves its connection in the pool.
TEST(UpstreamClient, OnceConnectionIsNotKept)
{
    ScriptedServer server([](const Received &) { return okReply("done"); });
    const auto response = client.send(requestTo(server.address(), RequestKind::Once));
    CHECK(response.outcome == UpstreamOutcome::Answered);
    STRCMP_EQUAL("done", response.body.c_str());
    LONGS_EQUAL(0, client.idleConnections(server.address()));
}

// Guards against a refused connection being reported as unknown, which forbids a harmless retry.
TEST(UpstreamClient, RefusedConnectionIsNotRun)
{
    Address address;
    {
        ScriptedServer server([](const Received &) { return Reply {}; });
        address = server.address();
    }
    const auto response = client.send(requestTo(address, RequestKind::Once));
    CHECK(response.outcome == UpstreamOutcome::NotRun);
    CHECK(response.failure == UpstreamFailure::Connect);
    STRCMP_EQUAL(address.value().c_str(), response.reason.peer.c_str());
}

// Guards against truncated responses reported as complete: with Content-Length, chunked, and
// without a length.
TEST(UpstreamClient, PartialAnswerIsUnknown)
{
    const std::string answers[] = { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\n\r\nhalf", "HTTP/1.1 200 OK\r\nContent-Le" };
    for (const std::string &answer : answers) {
        ScriptedServer server([&](const Received &) { return Reply { answer, true }; });
        for (const auto kind : { RequestKind::Once, RequestKind::Idempotent }) {
            const auto response = client.send(requestTo(server.address(), kind));
            CHECK(response.outcome == UpstreamOutcome::Unknown);
            CHECK(response.failure == UpstreamFailure::Incomplete);
            CHECK_EQUAL(kind == RequestKind::Idempotent, response.mayRetry(kind));
            LONGS_EQUAL(0, client.idleConnections(server.address()));
        }
        LONGS_EQUAL(2, runs(server));
    }
}

// Guards against an upstream that stops within the head of its response and closes: libcurl reports
// success, and the caller would get an empty response or a "not run" that is not certain.
TEST(UpstreamClient, TruncatedHeadIsUnknown)
{
    for (const std::string head : { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA: b\r\n\r\n",
             "HTTP/1.1 204 No Content\r\nA: b\r\n\r\n",
             "HTTP/1.1 503 Busy\r\nEndivequay-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" }) {
        for (std::size_t size = 0; size < head.size(); ++size) {
            ScriptedServer server([&](const Received &) {
                return Reply { head.substr(0, size), true };
            });
            const auto response = client.send(requestTo(server.address(), RequestKind::Once));
            CHECK_TEXT(response.outcome == UpstreamOutcome::Unknown, head.substr(0, size).c_str());
        }
    }
}

// Guards against a worker blocked by a request that its caller cancelled.
TEST(UpstreamClient, CancellationEndsARequestInFlight)
{
    ScriptedServer server([](const Received &) { return Reply {}; });
    std::stop_source source;
    UpstreamRequest request = requestTo(server.address(), RequestKind::Idempotent);
    request.cancelled = source.get_token();
    std::thread canceller([&] {
        server.waitForRequests(1);
        source.request_stop();
    });
    const auto response = client.send(request);
    canceller.join();
    CHECK(response.outcome == UpstreamOutcome::Unknown);
    CHECK(response.failure == UpstreamFailure::Cancelled);
    LONGS_EQUAL(0, client.idleConnections(server.address()));
}

// Guards against sending a request that was cancelled before the call.
TEST(UpstreamClient, CancelledRequestIsNotSent)
{
    ScriptedServer server([](const Received &) { return okReply(""); });
    std::stop_source source;
    source.request_stop();
    UpstreamRequest request = requestTo(server.address(), RequestKind::Once);
    request.cancelled = source.get_token();
    CHECK(client.send(request).outcome == UpstreamOutcome::NotRun);
    LONGS_EQUAL(0, server.requests().size());
}

// Guards against reuse of an unresponsive connection, where the late response to the first request
// would be taken for the response to the second.
TEST(UpstreamClient, SilentConnectionEndsAtTheDeadlineAndIsNotKept)
{
    ScriptedServer server([](const Received &received) {
        return received.body == "silent" ? Reply {} : okReply("kept");
    });
    openIdleConnection(client, server.address());
    UpstreamRequest request = requestTo(server.address(), RequestKind::Idempotent);
    request.body = "silent";
    const auto response = sendUntilSent(client, request);
    CHECK(response.outcome == UpstreamOutcome::Unknown);
    CHECK(response.failure == UpstreamFailure::Deadline);
    LONGS_EQUAL(0, client.idleConnections(server.address()));
    const std::size_t silent = server.requests().back().connection;
    openIdleConnection(client, server.address());
    CHECK(server.requests().back().connection > silent);
}

// Guards against a key, a hop-by-hop header or one listed in Connection that reaches an upstream.
TEST(UpstreamClient, KeysAndHopByHopHeadersStayBehind)
{
    ScriptedServer server([](const Received &) {
        return Reply { "HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n"
                       "Content-Length: 0\r\n\r\n" };
    });
    UpstreamRequest request = requestTo(server.address(), RequestKind::Once);
    request.headers = { { "ENDIVEQUAY-key", "secret" }, { "endivequay_KEY", "secret" },
        { "Connection", "close, X-Listed" }, { "X-Listed", "secret" }, { "TE", "secret" },
        { "Transfer-Encoding", "secret" }, { "Host", "secret" }, { "Content-Length", "1" },
        { "Endivequay-Team", "a" }, { "X-Empty", "" } };
    const auto response = client.send(request);
    const std::string head = server.requests().front().head;
    CHECK(head.find("secret") == std::string::npos);
    STRCMP_CONTAINS("Endivequay-Team: a\r\n", head.c_str());
    STRCMP_CONTAINS("X-Empty:\r\n", head.c_str());
    STRCMP_CONTAINS("Content-Length: 6\r\n", head.c_str());
    LONGS_EQUAL(1, response.headers.size());
    STRCMP_EQUAL("X-End", response.headers.front().first.c_str());
}

// Guards against request smuggling through a header, path or method.
TEST(UpstreamClient, MalformedRequestIsNotSent)
{
    ScriptedServer server([](const Received &) { return okReply(""); });
    const std::string injected = "x\r\nEndivequay-Key: secret";
    for (int part = 0; part < 5; ++part) {
        UpstreamRequest request = requestTo(server.address(), RequestKind::Once);
        request.headers.emplace_back("X-A", part == 0 ? injected : "a");
        request.headers.emplace_back(part == 1 ? "X: y" : "X-B", "b");
        request.path = part == 2 ? "/a b" : part == 3 ? "*" : "/a";
        request.method = part == 4 ? "GET /" : "GET";
        const auto response = client.send(request);
        CHECK(response.outcome == UpstreamOutcome::NotRun);
        CHECK(response.failure == UpstreamFailure::Malformed);
    }
    LONGS_EQUAL(0, server.requests().size());
}

// Guards against a path that libcurl rewrites, which could reach another resource.
TEST(UpstreamClient, PathAndMethodArriveUnchanged)
{
    ScriptedServer server([](const Received &) { return okReply(""); });
    UpstreamRequest request = requestTo(server.address(), RequestKind::Once);
    request.path = "/a/../b/./c?d=%2e#e";
    for (const std::string method :
        { "GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "HEAD" }) {
        request.method = method;
        request.body.clear();
        CHECK(client.send(request).outcome == UpstreamOutcome::Answered);
        STRCMP_CONTAINS((method + " " + request.path + " HTTP/1.1\r\n").c_str(),
            server.requests().back().head.c_str());
    }
}

// Guards against a followed redirect, a response of unlimited size, and a declined request reported
// as executed.
TEST(UpstreamClient, AnswersAreTakenAsTheyAre)
{
    UpstreamClient::Settings settings;
    settings.maxResponseBytes = 100;
    UpstreamClient limited(settings);
    std::string answer = "HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n";
    ScriptedServer server([&](const Received &) { return Reply { answer }; });
    const UpstreamRequest request = requestTo(server.address(), RequestKind::Once);
    LONGS_EQUAL(302, limited.send(request).status);
    LONGS_EQUAL(1, runs(server));
    answer = okReply(std::string(101, 'x')).bytes;
    CHECK(limited.send(request).failure == UpstreamFailure::TooLarge);
    answer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nEndivequay-Not-Run: TRUE\r\n"
             "Content-Length: 0\r\n\r\n";
    const auto declined = limited.send(request);
    CHECK(declined.outcome == UpstreamOutcome::NotRun);
    LONGS_EQUAL(503, declined.status);
}

// Guards against responses swapped between requests when threads share pooled connections.
TEST(UpstreamClient, ConcurrentRequestsGetTheirOwnAnswers)
{
    ScriptedServer server([](const Received &received) { return okReply(received.body); });
    std::atomic<int> wrong { 0 };
    const auto work = [&](int thread) {
        UpstreamRequest request = requestTo(server.address(), RequestKind::Idempotent);
        for (int i = 0; i < 50; ++i) {
            request.body = std::to_string(thread * 1000 + i);
            wrong += client.send(request).body == request.body ? 0 : 1;
        }
    };
    std::vector<std::thread> threads;
    for (int thread = 0; thread < 8; ++thread)
        threads.emplace_back(work, thread);
    for (std::thread &thread : threads)
        thread.join();
    LONGS_EQUAL(0, wrong.load());
    LONGS_EQUAL(400, server.requests().size());
    CHECK(client.idleConnections(server.address()) <= 8);
}

// Guards against an extra response on a reused connection that is taken for the next response.
TEST(UpstreamClient, SurplusAnswerIsNotUsed)
{
    ScriptedServer server([](const Received &received) {
        return Reply { okReply(received.body).bytes + okReply("surplus").bytes };
    });
    UpstreamRequest request = requestTo(server.address(), RequestKind::Idempotent);
    for (const std::string body : { "a", "b", "c" }) {
        request.body = body;
        const auto response = client.send(request);
        CHECK(response.outcome == UpstreamOutcome::Unknown || response.body == body);
    }
}

// Guards against idle connections without a limit, or that remain open after an upstream left.
TEST(UpstreamClient, KeptConnectionsAreBoundedAndClosedOnRequest)
{
    UpstreamClient::Settings settings;
    settings.idlePerUpstream = 0;
    UpstreamClient none(settings);
    ScriptedServer server([](const Received &) { return okReply(""); });
    none.send(requestTo(server.address(), RequestKind::Idempotent));
    LONGS_EQUAL(0, none.idleConnections(server.address()));
    openIdleConnection(client, server.address());
    client.closeIdle(server.address());
    LONGS_EQUAL(0, client.idleConnections(server.address()));
}
