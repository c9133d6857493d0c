#include "httpserver.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>

// After the standard headers: its macros for new clash with them.
#include <CppUTest/TestHarness.h>

using namespace endivequay;

namespace {

constexpr int port = 18431;

/// Sends raw bytes on a new connection and returns everything received until it closes.
std::string exchange(const std::string &bytes)
{
    const int socketFd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CHECK_EQUAL(0, connect(socketFd, reinterpret_cast<sockaddr *>(&address), sizeof address));
    CHECK_EQUAL(static_cast<ssize_t>(bytes.size()),
        send(socketFd, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    shutdown(socketFd, SHUT_WR);
    std::string answer;
    char buffer[4096];
    for (ssize_t count = 0; (count = recv(socketFd, buffer, sizeof buffer, 0)) > 0;)
        answer.append(buffer, static_cast<std::size_t>(count));
    close(socketFd);
    return answer;
}

} // namespace

TEST_GROUP(HttpServer)
{
    std::atomic<int> handled { 0 };
    std::unique_ptr<HttpServer> server;

    void setup() override
    {
        auto started = HttpServer::start({ Address("127.0.0.1:" + std::to_string(port)), 1, 1000 },
            [this](HttpRequest request, const Responder &responder) {
                ++handled;
                responder({ 200, { { "X-Target", request.target } }, request.body, false });
            });
        CHECK_TEXT(started.hasValue(), toString(started.lastReason()).c_str());
        server = *std::move(started);
    }
    void teardown() override
    {
        server.reset();
    }

    void checkRejected(const std::string &bytes)
    {
        const std::string answer = exchange(bytes);
        CHECK_EQUAL_TEXT(0, handled.load(), bytes.c_str());
        STRCMP_CONTAINS("400 Bad Request", answer.c_str());
    }
};

// The handler receives the target and the body unchanged.
TEST(HttpServer, PassesTheWholeRequestToTheHandler)
{
    const std::string answer
        = exchange("POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello");
    STRCMP_CONTAINS("200 OK", answer.c_str());
    STRCMP_CONTAINS("X-Target: /a?b=c", answer.c_str());
    STRCMP_CONTAINS("hello", answer.c_str());
}

// Guards against request smuggling with two Content-Length headers.
TEST(HttpServer, RejectsTwoLengths)
{
    checkRejected(
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!");
}

// Guards against request smuggling with Content-Length beside chunked transfer encoding.
TEST(HttpServer, RejectsLengthWithChunkedEncoding)
{
    checkRejected("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    checkRejected("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
                  "Content-Length: 5\r\n\r\n0\r\n\r\n");
}

// Guards against malformed headers that a lenient upstream would parse as a different header.
TEST(HttpServer, RejectsMalformedHeaders)
{
    checkRejected("POST / HTTP/1.1\r\nHost: x\r\nContent-Length : 5\r\n\r\nhello");
    checkRejected("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5 6\r\n\r\nhello");
    checkRejected("GET / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n");
    checkRejected("GET / HTTP/1.1\r\nHost: x\r\n Endivequay-Key: a\r\n\r\n");
}

// Guards against memory exhaustion by a large body.
TEST(HttpServer, RejectsABodyOverTheLimit)
{
    exchange("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'x'));
    CHECK_EQUAL(0, handled.load());
}
