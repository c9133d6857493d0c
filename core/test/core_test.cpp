#include "endivequay/compression.h"
#include "endivequay/digest.h"
#include "endivequay/events.h"
#include "endivequay/metrics.h"
#include "endivequay/result.h"

#include <CppUTest/TestHarness.h>

using namespace endivequay;

TEST_GROUP(Core) {};

// Guards against a digest that differs from what operators compute with standard tools.
TEST(Core, DigestsMatchPublishedVectors)
{
    STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
        sha256Hex("abc").c_str());
    // RFC 4231, test case 2.
    STRCMP_EQUAL("5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843",
        hmacSha256Hex("Jefe", "what do ya want for nothing?").c_str());
}

// Guards against causally ordered events getting reversed timestamps when the wall clock is set
// back.
TEST(Core, HybridClockKeepsCausalOrderWhenWallClockGoesBack)
{
    HybridClock sender;
    HybridClock receiver;
    const HybridTime sent = sender.tick(2'000);
    const HybridTime received = receiver.receive(sent, 1'000);
    const HybridTime next = receiver.tick(900);
    CHECK(sent < received);
    CHECK(received < next);
}

// Guards against a timeline that grows without bound.
TEST(Core, TimelineKeepsTheLatestEvents)
{
    Timeline timeline("a", 2, Timeline::Log::Off);
    timeline.record(EventId::ProcessStarted);
    timeline.record(EventId::ConfigApplied, { { "revision", "7" } });
    timeline.record(EventId::ProcessStopping);
    const auto events = timeline.events();
    LONGS_EQUAL(2, events.size());
    CHECK(events.front().id == EventId::ConfigApplied);
    STRCMP_CONTAINS("E200 ConfigApplied process=a revision=7", formatEvent(events.front()).c_str());
}

// Guards against two events with the same number.
TEST(Core, EventNumbersAreUniqueAndAscending)
{
    const auto events = allEvents();
    for (std::size_t i = 1; i < events.size(); ++i)
        CHECK(events[i - 1].first < events[i].first);
}

// Guards against metrics that a scraper cannot parse.
TEST(Core, MetricsRenderInTextFormat)
{
    Metrics metrics;
    metrics.count("requests_total", "team=\"a\"");
    metrics.count("requests_total", "team=\"a\"", 2);
    metrics.observe("latency_seconds", "", 0.5);
    DOUBLES_EQUAL(3, metrics.value("requests_total", "team=\"a\""), 0);
    STRCMP_CONTAINS("requests_total{team=\"a\"} 3\n", metrics.render().c_str());
    STRCMP_CONTAINS("latency_seconds_count 1\n", metrics.render().c_str());
}

// Guards against an error message that does not name its step and peer.
TEST(Core, ErrorNamesStepAndPeer)
{
    const Result<int> result = Error { "store.txn", "10.0.0.1:2379", "connection refused" };
    CHECK_FALSE(result.hasValue());
    STRCMP_EQUAL(
        "store.txn (10.0.0.1:2379): connection refused", toString(result.lastReason()).c_str());
}

TEST_GROUP(Compression) {};

// Guards against content changed by a round trip, and against a short message whose content
// exhausts the memory.
TEST(Compression, RoundTripAndBounds)
{
    const std::string text(100'000, 'x');
    const std::string small = compressed(text);
    CHECK(small.size() < text.size() / 50);
    CHECK(*decompressed(small, text.size()) == text);
    CHECK(decompressed(compressed({}), 10)->empty());
    STRCMP_CONTAINS("too large", decompressed(small, text.size() - 1).lastReason().reason.c_str());
    const std::string cut = small.substr(0, small.size() - 4);
    STRCMP_CONTAINS("truncated", decompressed(cut, text.size()).lastReason().reason.c_str());
    CHECK_FALSE(decompressed("no zlib", 100).hasValue());
}
