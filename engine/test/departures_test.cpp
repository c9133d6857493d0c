#include "engine_fixture.h"

#include "proptest.h"

using namespace endivequay;
using namespace endivequay::test;

TEST_GROUP(Departures)
{
    EngineFixture f;
};

// Guards against requests that a stopping instance passes on and then cuts off, because they last
// longer than the rest of its grace period.
TEST(Departures, StoppingInstanceSendsOnlyWhatEndsInTime)
{
    f.start(document(), { upstream("u1", "west", 1) });
    f.requestArrived("/order/1");
    f.now += 500ms;
    f.engine.attemptEnded(1, good, f.now); // A run takes 0.5 s.
    CHECK(sent(f.requestArrived("/order/1", "o2")) != nullptr);
    const RequestId running = f.nextRequestId - 1;
    while (!std::holds_alternative<KeepWaiting>(f.requestArrived("/order/1", "o3")))
        CHECK(f.nextRequestId < 10);
    const RequestId waiting = f.nextRequestId - 1;
    f.engine.stopBy(f.now + 1050ms);
    CHECK(f.engine.advance(f.now + 10ms).empty());
    f.now += 100ms;
    const Step late = f.requestArrived("/order/1");
    LONGS_EQUAL(503, answeredLocally(late)->status);
    CHECK(answeredLocally(late)->cause == LocalResponseCause::Stopping);
    f.engine.attemptEnded(running, good, f.now);
    const auto steps = f.engine.advance(f.now);
    LONGS_EQUAL(1, steps.size());
    LONGS_EQUAL(static_cast<long>(waiting), static_cast<long>(steps[0].first));
    LONGS_EQUAL(503, answeredLocally(steps[0].second)->status);
}

// Guards against a second attempt that a stopping instance would cut off.
TEST(Departures, StoppingInstanceDoesNotRepeatShortOfItsEnd)
{
    f.start(document(), { upstream("u1"), upstream("u2") });
    f.requestArrived("/view/1");
    f.now += 400ms;
    f.engine.attemptEnded(1, good, f.now);
    f.requestArrived("/view/1");
    f.engine.stopBy(f.now + 700ms);
    LONGS_EQUAL(502, answeredLocally(f.engine.attemptEnded(2, interruptedAttempt, f.now))->status);
}

// Guards against requests to an upstream that said in a response that it leaves, while service
// discovery cannot be reached or still has its entry of before.
TEST(Departures, UpstreamThatSaysItLeavesGetsNothingMore)
{
    const std::vector<UpstreamEntry> entries { upstream("u1"), upstream("u2") };
    f.start(document(), entries);
    const auto upstreamOf = [&](const char *object) {
        const Step step = f.requestArrived("/view/1", object);
        const UpstreamId id = sent(step)->upstream;
        f.engine.attemptEnded(f.nextRequestId - 1, good, f.now);
        return id;
    };
    const UpstreamId leaver = upstreamOf("o1");
    f.requestArrived("/view/1", "o1");
    AttemptOutcome saysLeaving = good;
    saysLeaving.upstreamLeaving = true;
    f.engine.attemptEnded(f.nextRequestId - 1, saysLeaving, f.now);
    CHECK(upstreamOf("o1") != leaver);
    f.engine.setUpstreams(entries, {}, f.now);
    CHECK(upstreamOf("o1") != leaver);
    std::vector<UpstreamEntry> restarted = entries;
    for (UpstreamEntry &entry : restarted)
        entry.startedAt = 7;
    f.engine.setUpstreams(restarted, {}, f.now);
    CHECK(f.engine.upstreams().usable(leaver));
}

// Guards against a queued request that goes to an upstream that has said meanwhile that it leaves.
TEST(Departures, WaitingRequestDoesNotGoToAnUpstreamThatSaysItLeaves)
{
    f.start(document(), { upstream("u1", "west", 1) });
    CHECK(sent(f.requestArrived("/order/1")) != nullptr);
    CHECK(std::holds_alternative<KeepWaiting>(f.requestArrived("/order/2")));
    AttemptOutcome saysLeaving = good;
    saysLeaving.upstreamLeaving = true;
    f.engine.attemptEnded(1, saysLeaving, f.now);
    for (const auto &[requestId, step] : f.engine.advance(f.now))
        CHECK(sent(step) == nullptr);
}

// Guards against an upstream that is used again after it has said that it leaves, because its entry
// lapsed and was listed once more.
TEST(Departures, EntryThatReturnsDoesNotUndoALeaving)
{
    const std::vector<UpstreamEntry> entries { upstream("u1"), upstream("u2") };
    f.start(document(), entries);
    const UpstreamId leaver = sent(f.requestArrived("/view/1"))->upstream;
    AttemptOutcome saysLeaving = good;
    saysLeaving.upstreamLeaving = true;
    f.engine.attemptEnded(1, saysLeaving, f.now);
    std::vector<UpstreamEntry> others = entries;
    std::erase_if(others, [&](const UpstreamEntry &entry) { return entry.id == leaver; });
    f.engine.setUpstreams(others, {}, f.now);
    f.engine.setUpstreams(entries, {}, f.now);
    CHECK_FALSE(f.engine.upstreams().usable(leaver));
    std::vector<UpstreamEntry> restarted = entries;
    for (UpstreamEntry &entry : restarted)
        entry.startedAt = 7;
    f.engine.setUpstreams(restarted, {}, f.now);
    CHECK(f.engine.upstreams().usable(leaver));
}
