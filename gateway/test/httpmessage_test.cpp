#include "proptest.h"

#include "endivequay/httpmessage.h"

using namespace endivequay;

TEST_GROUP(HttpMessage) {};

namespace {

HttpParser::State stateOf(HttpParser::Kind kind, std::string_view text, HttpLimits limits = {})
{
    HttpParser parser(kind, limits);
    while (!text.empty() && parser.state() == HttpParser::State::Reading)
        text.remove_prefix(parser.feed(text));
    return parser.state();
}

} // namespace

// Guards against request smuggling: requests whose length implementations see differently.
TEST(HttpMessage, AmbiguousLengthsAreMalformed)
{
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\n";
    for (const char *fields : { "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
             "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             "Content-Length: -1\r\n\r\n", "Content-Length: 3x\r\n\r\nabc",
             "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "Content Length: 3\r\n\r\nabc" })
        CHECK(stateOf(HttpParser::Kind::Request, head + fields) == HttpParser::State::Malformed);
}

// Guards against unbounded headers and bodies.
TEST(HttpMessage, LimitsAreKept)
{
    const std::string large
        = "GET / HTTP/1.1\r\nHost: h\r\nA: " + std::string(300, 'x') + "\r\n\r\n";
    CHECK(stateOf(HttpParser::Kind::Request, large, { 1000, 10 }) == HttpParser::State::Complete);
    HttpParser parser(HttpParser::Kind::Request, { 100, 10 });
    parser.feed(std::string_view(large).substr(0, 200));
    CHECK(parser.state() == HttpParser::State::HeaderTooLarge);
    CHECK(stateOf(HttpParser::Kind::Request, "POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n",
              { 1000, 10 })
        == HttpParser::State::BodyTooLarge);
    CHECK(stateOf(HttpParser::Kind::Request,
              "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nabcdefghijk\r\n",
              { 1000, 10 })
        == HttpParser::State::BodyTooLarge);
}

// Guards against accepting a truncated response as complete.
TEST(HttpMessage, CutResponseIsNotComplete)
{
    HttpParser parser(HttpParser::Kind::Response);
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    parser.finish();
    CHECK(parser.state() == HttpParser::State::Malformed);
    HttpParser unframed(HttpParser::Kind::Response);
    unframed.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    CHECK(unframed.state() == HttpParser::State::Reading);
    unframed.finish();
    CHECK(unframed.state() == HttpParser::State::Complete);
    STRCMP_EQUAL("abc", unframed.message().body.c_str());
}

// Guards against losing bytes of the next message or adding them to the current one.
TEST(HttpMessage, MessagesAreSplitAtTheirEnds)
{
    const std::string first
        = "POST /a?x=1%202&y=z HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi";
    const std::string both = first + "GET /b HTTP/1.1\r\n\r\n";
    for (std::size_t cut = 1; cut < both.size(); ++cut) {
        HttpParser parser(HttpParser::Kind::Request);
        std::string_view remaining = std::string_view(both).substr(0, cut);
        std::size_t consumed = parser.feed(remaining);
        if (parser.state() == HttpParser::State::Reading)
            consumed += parser.feed(std::string_view(both).substr(cut));
        CHECK(parser.state() == HttpParser::State::Complete);
        LONGS_EQUAL(first.size(), consumed);
        STRCMP_EQUAL("hi", parser.message().body.c_str());
        STRCMP_EQUAL("/a", std::string(parser.message().path()).c_str());
        STRCMP_EQUAL("1 2", parser.message().query("x")->c_str());
    }
}

// Guards against matching a cookie with a similar name, and against white space in values.
TEST(HttpMessage, CookieIsFoundByItsWholeName)
{
    HttpMessage message;
    message.fields = { { "cookie", "xkey=1; key = 2 ;other=3" } };
    STRCMP_EQUAL("2", std::string(cookie(message, "key")).c_str());
    CHECK(cookie(message, "none").empty());
}

// Guards against crashes and endless loops on arbitrary input.
TEST(HttpMessage, AnyBytesAreReadOrRefused)
{
    const auto property = [](const std::string &bytes, bool request) {
        HttpParser parser(request ? HttpParser::Kind::Request : HttpParser::Kind::Response);
        parser.feed(bytes);
        parser.finish();
        RC_ASSERT(parser.state() != HttpParser::State::Reading);
    };
    CHECK_PROPERTY("any bytes end in a state", property);
}
