#include "http.h"
#include "settings.h"

#include <map>

// After the standard headers: its macros for new clash with them.
#include <CppUTest/TestHarness.h>

using namespace endivequay;

namespace {

std::vector<Error> errors;

Result<Invocation> parse(
    const std::vector<std::string> &arguments, std::map<std::string, std::string> variables = {})
{
    errors.clear();
    return parseSettings(
        arguments,
        [&](const std::string &name) {
            const auto found = variables.find(name);
            return found == variables.end() ? std::nullopt : std::optional(found->second);
        },
        &errors);
}

const std::map<std::string, std::string> complete { { "ENDIVEQUAY_SECRET", "0123456789abcdef" },
    { "ENDIVEQUAY_FAILURE_DOMAIN", "gulf-a" }, { "ENDIVEQUAY_STORE", "10.0.0.1:2379" } };

} // namespace

TEST_GROUP(Settings) {};

// A flag takes precedence over its environment variable.
TEST(Settings, FlagOverridesVariable)
{
    const auto parsed = parse({ "--failure-domain", "gulf-b" }, complete);
    CHECK_TEXT(parsed.hasValue(), toString(parsed.lastReason()).c_str());
    STRCMP_EQUAL("gulf-b", parsed->settings.failureDomain.value().c_str());
    STRCMP_EQUAL("10.0.0.1:2379", parsed->settings.storeEndpoints.front().value().c_str());
}

// All errors are reported at once, not only the first.
TEST(Settings, ReportsAllErrors)
{
    CHECK_FALSE(parse({ "--workers", "0", "--listen", "nowhere" }).hasValue());
    CHECK(errors.size() >= 5);
}

// A misspelled flag is an error and is not ignored.
TEST(Settings, RejectsUnknownFlags)
{
    CHECK_FALSE(parse({ "--worker", "3" }, complete).hasValue());
}

// Guards against leaking the secret into logs.
TEST(Settings, DescriptionHidesTheSecret)
{
    const std::string text = describe(parse({}, complete)->settings);
    CHECK(text.find("0123456789abcdef") == std::string::npos);
    STRCMP_CONTAINS("secret = (set)", text.c_str());
}

// Guards against connecting to peers at the wrong port.
TEST(Settings, PeerLinksUseTheNextPort)
{
    STRCMP_EQUAL("10.0.0.1:8401", peerAddressOf(Address("10.0.0.1:8400")).value().c_str());
    STRCMP_EQUAL("10.0.0.1:8400", callerAddressOf(Address("10.0.0.1:8401")).value().c_str());
}

// Guards against missing an API key because its header name differs in letter case.
TEST(Settings, HeadersMatchInAnyCase)
{
    HttpRequest request;
    request.target = "/v1/lookup?service=a%20b&client=10.0.0.1";
    request.headers = { { "ENDIVEQUAY-key", "one" }, { "Endivequay-Key", "two" } };
    LONGS_EQUAL(2, request.headerValues("endivequay-key").size());
    STRCMP_EQUAL("a b", request.parameter("service")->c_str());
    CHECK_FALSE(request.parameter("other").has_value());
    CHECK_FALSE(percentDecode("%4").has_value());
}
