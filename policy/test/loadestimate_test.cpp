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

/// Runs \a count sequential requests on upstream \a id.
void runOn(UpstreamPool &pool, ManualClock &clock, const UpstreamId &id, RequestResult outcome,
    int count, Interval latency = 20ms)
{
    for (int i = 0; i < count; ++i) {
        pool.started(id, clock.now());
        clock.advance(latency);
        pool.finished(id, outcome, latency, clock.now());
    }
}

/// Keeps all usable slots busy with good responses for \a rounds rounds of 20 ms.
void saturate(UpstreamPool &pool, ManualClock &clock, int rounds)
{
    for (int round = 0; round < rounds; ++round) {
        std::vector<UpstreamId> taken;
        while (const auto id = pool.choose(clock.now())) {
            pool.started(*id, clock.now());
            taken.push_back(*id);
        }
        clock.advance(20ms);
        for (const UpstreamId &id : taken)
            pool.finished(id, RequestResult::Good, 20ms, clock.now());
    }
}

LoadReport randomReport()
{
    return { *rc::gen::inRange(-1, 40), *rc::gen::inRange(-1, 40), false };
}

} // namespace

TEST_GROUP(UpstreamPool)
{
    ManualClock clock;
    UpstreamPool pool { 7 };
};

// Guards against more requests in flight at an upstream than this instance owns slots, for any load
// reports and request outcomes.
TEST(UpstreamPool, NeverExceedsOwnSlots)
{
    CHECK_PROPERTY("in flight <= own slots", [] {
        ManualClock time;
        UpstreamPool upstreams(*rc::gen::arbitrary<std::uint64_t>());
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

// Guards against a wrong load report (constant, zero, stale or of another upstream) that takes an
// upstream out of service although its responses are good.
TEST(UpstreamPool, GoodResponsesOutweighWrongReports)
{
    for (const LoadReport lie :
        { LoadReport { 0, 0, false }, { 9, 1, false }, { 30, 9, false }, { 2, 4, false } }) {
        UpstreamPool upstreams(1);
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

// Guards against a report of no load, or a missing report, that raises the estimate of an upstream
// that sheds load.
TEST(UpstreamPool, ReportsNeverRaiseTheEstimate)
{
    pool.setShare(up, { 8, 9, false, false }, clock.now());
    for (int i = 0; i < 8; ++i)
        pool.started(up, clock.now());
    pool.finished(up, RequestResult::Shed, 1ms, clock.now());
    const int lowered = pool.usableSlots(up, clock.now());
    CHECK(lowered < 8);
    pool.reportReceived(up, { 0, 9, false }, clock.now());
    LONGS_EQUAL(lowered, pool.usableSlots(up, clock.now()));
    clock.advance(1min);
    LONGS_EQUAL(lowered, pool.usableSlots(up, clock.now()));
}

// Guards against new requests to an upstream that drains by configuration or by its own report, and
// against full load at once when it returns.
TEST(UpstreamPool, LeavingUpstreamGetsNoWorkAndReturnsCold)
{
    pool.setShare(up, { 5, 9, true, false }, clock.now());
    CHECK_FALSE(pool.choose(clock.now()).has_value());
    pool.setShare(up, { 5, 9, false, true }, clock.now());
    LONGS_EQUAL(1, pool.usableSlots(up, clock.now()));
    saturate(pool, clock, 500);
    LONGS_EQUAL(5, pool.usableSlots(up, clock.now()));
    pool.reportReceived(up, { 0, 9, true }, clock.now());
    LONGS_EQUAL(0, pool.usableSlots(up, clock.now()));
    pool.reportReceived(up, { 0, 9, false }, clock.now());
    LONGS_EQUAL(1, pool.usableSlots(up, clock.now()));
}

// Guards against a cold upstream whose limit more than doubles per second, or rises without good
// responses.
TEST(UpstreamPool, ColdUpstreamDoublesPerSecond)
{
    pool.setShare(up, { 9, 9, false, true }, clock.now());
    clock.advance(10s);
    LONGS_EQUAL(1, pool.usableSlots(up, clock.now()));
    runOn(pool, clock, up, RequestResult::Good, 1);
    for (int expected : { 2, 4, 8 }) {
        runOn(pool, clock, up, RequestResult::Good, 50);
        LONGS_EQUAL(expected, pool.usableSlots(up, clock.now()));
    }
}

// Guards against a failing upstream that still receives requests or retries, and against an ejected
// one that is never probed.
TEST(UpstreamPool, EjectsAfterFailuresAndProbes)
{
    pool.setShare(up, { 5, 9, false, false }, clock.now());
    runOn(pool, clock, up, RequestResult::Failed, 5);
    CHECK(pool.isEjected(up, clock.now()));
    CHECK_FALSE(pool.choose(clock.now()).has_value());
    CHECK_FALSE(pool.hasHealthyUpstream(clock.now()));
    clock.advance(1s);
    LONGS_EQUAL(1, pool.usableSlots(up, clock.now()));
    runOn(pool, clock, up, RequestResult::Failed, 1);
    clock.advance(1s);
    CHECK(pool.isEjected(up, clock.now()));
    clock.advance(1s);
    runOn(pool, clock, up, RequestResult::Good, 1);
    CHECK_FALSE(pool.isEjected(up, clock.now()));
    CHECK(pool.hasHealthyUpstream(clock.now()));
    LONGS_EQUAL(1, pool.usableSlots(up, clock.now()));
}

// Guards against a slow upstream that gets as many requests as a fast one that has free slots.
TEST(UpstreamPool, AvoidsSlowUpstreams)
{
    pool.setShare(upstream(0), { 9, 9, false, false }, clock.now());
    pool.setShare(upstream(1), { 9, 9, false, false }, clock.now());
    runOn(pool, clock, upstream(0), RequestResult::Good, 10, 20ms);
    runOn(pool, clock, upstream(1), RequestResult::Good, 10, 400ms);
    int slow = 0;
    for (int i = 0; i < 1'000; ++i) {
        const UpstreamId id = *pool.choose(clock.now());
        slow += id == upstream(1);
        runOn(pool, clock, id, RequestResult::Good, 1, id == upstream(1) ? 400ms : 20ms);
    }
    CHECK(slow > 0);
    CHECK(slow < 100);
}
