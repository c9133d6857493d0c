#include "fakefleet.h"
#include "mergedtimeline.h"

// CppUTest replaces "new" by a macro, so that it comes after all other headers.
#include "proptest.h"

using namespace endivequay;
using nlohmann::json;

namespace {

std::string timelineOf(const std::string &process, const json &events)
{
    return json { { "process", process }, { "events", events } }.dump();
}

// Microseconds since the epoch in 2026; a double of this size has no digits left for nanoseconds.
constexpr std::int64_t baseWallMicros = 1'796'361'320'324'601;

json eventOf(std::int64_t wall, int counter, EventId id, const json &fields)
{
    return { { "wall_us", baseWallMicros + wall }, { "counter", counter },
        { "id", static_cast<int>(id) }, { "name", eventName(id) }, { "fields", fields } };
}

} // namespace

TEST_GROUP(Timelines) {};

// Guards against an effect that is listed before its cause because of clock skew.
TEST(Timelines, MergeShowsCausesBeforeEffects)
{
    const auto property = [] {
        constexpr int processCount = 3;
        const auto messages = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, processCount), rc::gen::inRange(0, processCount)));
        const std::vector<std::int64_t> skew { 0, 5'000, -5'000 };
        std::vector<HybridClock> clocks(processCount);
        std::vector<std::vector<cli::NamedEvent>> timelines(processCount);
        std::int64_t now = 100'000;
        const auto add = [&](int process, HybridTime time, std::size_t message, const char *name) {
            const Event event { time, EventId::RequestPassedOn, std::to_string(process),
                { { "request", std::to_string(message) } } };
            timelines[static_cast<std::size_t>(process)].push_back({ event, name });
        };
        for (std::size_t i = 0; i < messages.size(); ++i, now += 10) {
            const auto [from, to] = messages[i];
            const auto sender = static_cast<std::size_t>(from);
            const auto receiver = static_cast<std::size_t>(to);
            const HybridTime sent = clocks[sender].tick(now + skew[sender]);
            add(from, sent, i, "sent");
            add(to, clocks[receiver].receive(sent, now + skew[receiver]), i, "received");
        }
        std::map<std::string, bool> sent;
        for (const auto &[event, name] : cli::mergeTimelines(timelines)) {
            bool &seen = sent[event.fields.at("request")];
            RC_ASSERT((name == "received") == seen);
            seen = true;
        }
    };
    CHECK_PROPERTY("a receipt comes after its sending", property);
}

// Guards against filters that remove matching events or keep others.
TEST(Timelines, FiltersCombine)
{
    FakeFleet fleet;
    fleet.environment["ENDIVEQUAY_INSTANCES"] = "127.0.0.1:1,127.0.0.1:2,127.0.0.1:3";
    fleet.instances["127.0.0.1:1"].timeline = timelineOf("a",
        { eventOf(20, 0, EventId::RequestAdmitted, { { "request", "r1" }, { "team", "desk" } }),
            eventOf(30, 0, EventId::ConfigApplied, { { "change", "c1" } }) });
    fleet.instances["127.0.0.1:2"].timeline = timelineOf("b",
        { eventOf(20, 1, EventId::RequestAnswered, { { "request", "r1" }, { "team", "desk" } }),
            eventOf(
                10, 0, EventId::RequestAdmitted, { { "request", "r2" }, { "team", "desk" } }) });
    fleet.instances["127.0.0.1:3"].reachable = false;
    LONGS_EQUAL(0, fleet.run("timeline --team desk --request r1"));
    const auto begin = fleet.out.find("RequestAdmitted process=a request=r1");
    const auto end = fleet.out.find("RequestAnswered process=b request=r1");
    CHECK(begin < end && end != std::string::npos);
    CHECK(fleet.out.find("r2") == std::string::npos);
    STRCMP_CONTAINS("127.0.0.1:3", fleet.err.c_str());
    LONGS_EQUAL(0, fleet.run("timeline --json --change c1"));
    LONGS_EQUAL(1, json::parse(fleet.out)["events"].size());
    LONGS_EQUAL(0, fleet.run("timeline --upstream u1"));
    STRCMP_EQUAL("", fleet.out.c_str());
    LONGS_EQUAL(0, fleet.run("timeline --chrome --request r1"));
    const json trace = json::parse(fleet.out)["traceEvents"];
    LONGS_EQUAL(4, trace.size());
    STRCMP_EQUAL("M", trace[0]["ph"].get<std::string>().c_str());
    STRCMP_EQUAL("b", trace[1]["ph"].get<std::string>().c_str());
    STRCMP_EQUAL("e", trace[3]["ph"].get<std::string>().c_str());
    CHECK(trace[1]["ts"] < trace[3]["ts"]);
}

// Guards against a malformed response of one instance that terminates the program.
TEST(Timelines, RefusesMalformedTimelines)
{
    const json event = eventOf(1, 0, EventId::ProcessStarted, json::object());
    CHECK(cli::parseTimeline(timelineOf("a", json::array({ event }))).hasValue());
    for (const char *field : { "wall_us", "counter", "id", "name" }) {
        json damaged = event;
        damaged[field] = json::object();
        CHECK_FALSE(cli::parseTimeline(timelineOf("a", json::array({ damaged }))).hasValue());
    }
    json list = event;
    list["fields"] = json::array({ 1 });
    for (const std::string &text :
        { timelineOf("a", json::array({ list })), timelineOf("a", json::array({ 1 })),
            timelineOf("a", "x"), std::string("{"), std::string() })
        CHECK_FALSE(cli::parseTimeline(text).hasValue());
}
