#include "proptest.h"

#include "endivequay/loadestimate.h"

using namespace endivequay;
using namespace std::chrono_literals;

namespace {

const UpstreamId up("u0");

UpstreamId upstream(int number)
{
    return UpstreamId("u" + std::to_string(number));
}

/// Runs \a count requests one after the other on \a upstream.
void runOn(UpstreamView &view, ManualClock &clock, const UpstreamId &id, RequestResult outcome,
    int count, Interval latency = 20ms)
{
    for (int i = 0; i < count; ++i) {
        view.started(id, clock.now());
        clock.advance(latency);
        view.finished(id, outcome, latency, clock.now());
    }
}

/// Keeps all usable slots busy with good responses for \a rounds rounds of 20 ms.
void saturate(UpstreamView &view, ManualClock &clock, int rounds)
{
    for (int round = 0; round < rounds; ++round) {
        std::vector<UpstreamId> taken;
        while (const auto id = view.choose(clock.now())) {
            view.started(*id, clock.now());
            taken.push_back(*id);
        }
        clock.advance(20ms);
        for (const UpstreamId &id : taken)
            view.finished(id, RequestResult::Good, 20ms, clock.now());
    }
}

LoadReport randomReport()
{
    return { *rc::gen::inRange(-1, 40), *rc::gen::inRange(-1, 40), false };
}

} // namespace

TEST_GROUP(UpstreamView)
{
    ManualClock clock;
    UpstreamView view { 7 };
};

// Guards against more requests in flight at an upstream than this instance owns slots, whatever
// the reports say and however requests end.
TEST(UpstreamView, NeverExceedsOwnSlots)
{
    CHECK_PROPERTY("in flight <= own slots", [] {
        ManualClock time;
        UpstreamView upstreams(*rc::gen::arbitrary<std::uint64_t>());
        std::vector<UpstreamId> running;
        for (int i = 0; i < 3; ++i)
            upstreams.setShare(upstream(i), { 4 + i, 9, false, i == 2 }, time.now());
        for (int step = 0; step < 100; ++step) {
            time.advance(1ms * *rc::gen::inRange(0, 300));
            const int action = *rc::gen::inRange(0, 5);
            if (action == 0)
                upstreams.reportReceived(
                    upstream(*rc::gen::inRange(0, 3)), randomReport(), time.now());
            if (action == 1 && !running.empty()) {
                const auto outcome = *rc::gen::element(RequestResult::Good, RequestResult::Shed,
                    RequestResult::Failed, RequestResult::Cancelled);
                upstreams.finished(running.back(), outcome, 20ms, time.now());
                running.pop_back();
            }
            if (const auto chosen = action > 1 ? upstreams.choose(time.now()) : std::nullopt) {
                upstreams.started(*chosen, time.now());
                running.push_back(*chosen);
            }
            for (int i = 0; i < 3; ++i) {
                RC_ASSERT(upstreams.inFlight(upstream(i)) <= 4 + i);
                RC_ASSERT(upstreams.usableSlots(upstream(i), time.now()) <= 4 + i);
            }
        }
    });
}

// Guards against a lying load endpoint (constant, zero, frozen or another upstream's) that takes
// an upstream out of use although it answers well.
TEST(UpstreamView, GoodResponsesOutweighWrongReports)
{
    for (const LoadReport lie :
        { LoadReport { 0, 0, false }, { 9, 1, false }, { 30, 9, false }, { 2, 4, false } }) {
        UpstreamView upstreams(1);
        upstreams.setShare(up, { 5, 9, false, false }, clock.now());
        upstreams.reportReceived(up, lie, clock.now());
        CHECK(upstreams.usableSlots(up, clock.now()) < 5);
        for (int i = 0; i < 20; ++i) {
            upstreams.reportReceived(up, lie, clock.now());
            saturate(upstreams, clock, 5);
        }
        LONGS_EQUAL(5, upstreams.usableSlots(up, clock.now()));
    }
}

// Guards against an idle report or a missing one raising the estimate of an upstream that sheds.
TEST(UpstreamView, ReportsNeverRaiseTheEstimate)
{
    view.setShare(up, { 8, 9, false, false }, clock.now());
    for (int i = 0; i < 8; ++i)
        view.started(up, clock.now());
    view.finished(up, RequestResult::Shed, 1ms, clock.now());
    const int lowered = view.usableSlots(up, clock.now());
    CHECK(lowered < 8);
    view.reportReceived(up, { 0, 9, false }, clock.now());
    LONGS_EQUAL(lowered, view.usableSlots(up, clock.now()));
    clock.advance(1min);
    LONGS_EQUAL(lowered, view.usableSlots(up, clock.now()));
}

// Guards against new work for an upstream that leaves by configuration or by its own report, and
// against its full load at once when it comes back.
TEST(UpstreamView, LeavingUpstreamGetsNoWorkAndReturnsCold)
{
    view.setShare(up, { 5, 9, true, false }, clock.now());
    CHECK_FALSE(view.choose(clock.now()).has_value());
    view.setShare(up, { 5, 9, false, true }, clock.now());
    LONGS_EQUAL(1, view.usableSlots(up, clock.now()));
    saturate(view, clock, 500);
    LONGS_EQUAL(5, view.usableSlots(up, clock.now()));
    view.reportReceived(up, { 0, 9, true }, clock.now());
    LONGS_EQUAL(0, view.usableSlots(up, clock.now()));
    view.reportReceived(up, { 0, 9, false }, clock.now());
    LONGS_EQUAL(1, view.usableSlots(up, clock.now()));
}

// Guards against a cold upstream that ramps faster than by doubling per second, or without any
// good response.
TEST(UpstreamView, ColdUpstreamDoublesPerSecond)
{
    view.setShare(up, { 9, 9, false, true }, clock.now());
    clock.advance(10s);
    LONGS_EQUAL(1, view.usableSlots(up, clock.now()));
    runOn(view, clock, up, RequestResult::Good, 1);
    for (int expected : { 2, 4, 8 }) {
        runOn(view, clock, up, RequestResult::Good, 50);
        LONGS_EQUAL(expected, view.usableSlots(up, clock.now()));
    }
}

// Guards against a failing upstream that keeps its share of requests or gets retries, and against
// one that is never tried again.
TEST(UpstreamView, EjectsAfterFailuresAndProbes)
{
    view.setShare(up, { 5, 9, false, false }, clock.now());
    runOn(view, clock, up, RequestResult::Failed, 5);
    CHECK(view.isEjected(up, clock.now()));
    CHECK_FALSE(view.choose(clock.now()).has_value());
    CHECK_FALSE(view.hasHealthyUpstream(clock.now()));
    clock.advance(1s);
    LONGS_EQUAL(1, view.usableSlots(up, clock.now()));
    runOn(view, clock, up, RequestResult::Failed, 1);
    clock.advance(1s);
    CHECK(view.isEjected(up, clock.now()));
    clock.advance(1s);
    runOn(view, clock, up, RequestResult::Good, 1);
    CHECK_FALSE(view.isEjected(up, clock.now()));
    CHECK(view.hasHealthyUpstream(clock.now()));
    LONGS_EQUAL(1, view.usableSlots(up, clock.now()));
}

// Guards against a slow upstream that gets as many requests as the fast ones while these have room.
TEST(UpstreamView, AvoidsSlowUpstreams)
{
    view.setShare(upstream(0), { 9, 9, false, false }, clock.now());
    view.setShare(upstream(1), { 9, 9, false, false }, clock.now());
    runOn(view, clock, upstream(0), RequestResult::Good, 10, 20ms);
    runOn(view, clock, upstream(1), RequestResult::Good, 10, 400ms);
    int slow = 0;
    for (int i = 0; i < 1'000; ++i) {
        const UpstreamId id = *view.choose(clock.now());
        slow += id == upstream(1);
        runOn(view, clock, id, RequestResult::Good, 1, id == upstream(1) ? 400ms : 20ms);
    }
    CHECK(slow > 0);
    CHECK(slow < 100);
}
