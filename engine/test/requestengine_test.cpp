#include "proptest.h"

#include "engine_fixture.h"

#include <set>

using namespace endivequay;
using namespace endivequay::test;

TEST_GROUP(RequestEngine)
{
    EngineFixture f;
};

// Guards against responses other than "not run" before a configuration is known.
TEST(RequestEngine, WithoutConfigurationRequestsAreRefusedAsNotRun)
{
    const Step step = f.requestArrived("/view/1");
    CHECK(answeredLocally(step) != nullptr);
    LONGS_EQUAL(503, answeredLocally(step)->status);
    CHECK(answeredLocally(step)->retryAfter > Interval {});
}

// Guards against callers that retry before a restarted instance can have a configuration, or all at
// the same time.
TEST(RequestEngine, CallersReturnWhenARestartedInstanceHasAConfiguration)
{
    std::set<Interval> times;
    for (int i = 0; i < 20; ++i) {
        const Step step = f.requestArrived("/view/1", std::to_string(i));
        const Interval time = answeredLocally(step)->retryAfter;
        CHECK(time >= 600ms);
        CHECK(time <= 1300ms);
        times.insert(time);
    }
    CHECK(times.size() > 10);
}

// Guards against running an at-most-once request twice.
TEST(RequestEngine, AtMostOnceRequestIsNotRepeatedAfterItMayHaveRun)
{
    f.start(document(), { upstream("u1"), upstream("u2") });
    const Step first = f.requestArrived("/order/1");
    CHECK(sent(first) != nullptr);
    CHECK_FALSE(sent(first)->repeatable);
    const Step end = f.engine.attemptEnded(1, interruptedAttempt, f.now);
    CHECK(answeredLocally(end) != nullptr);
    LONGS_EQUAL(502, answeredLocally(end)->status);
}

// Guards against giving up a request that is known not to have run.
TEST(RequestEngine, AtMostOnceRequestGoesElsewhereWhenItDidNotRun)
{
    for (const AttemptOutcome &end : { shed, misdirected, unreachable }) {
        EngineFixture own;
        own.start(document(), { upstream("u1"), upstream("u2") });
        const Step first = own.requestArrived("/order/1");
        const Step second = own.engine.attemptEnded(1, end, own.now);
        CHECK(sent(second) != nullptr);
        CHECK(sent(first)->upstream != sent(second)->upstream);
    }
}

// Guards against reporting "not run" for a request whose first attempt may have run.
TEST(RequestEngine, RefusalAfterAnUnknownOutcomePromisesNothing)
{
    f.start(document(), { upstream("u1"), upstream("u2") });
    f.requestArrived("/view/1");
    const Step second = f.engine.attemptEnded(1, interruptedAttempt, f.now);
    CHECK(sent(second) != nullptr);
    const Step end = f.engine.attemptEnded(1, shed, f.now);
    CHECK(answeredLocally(end) != nullptr);
    LONGS_EQUAL(502, answeredLocally(end)->status);
}

// Guards against more attempts for one request than its route allows.
TEST(RequestEngine, AttemptsAreBounded)
{
    f.start(document(), { upstream("u1"), upstream("u2"), upstream("u3") });
    f.requestArrived("/view/1");
    CHECK(sent(f.engine.attemptEnded(1, failureResponse, f.now)) != nullptr);
    CHECK(
        std::holds_alternative<DeliverResponse>(f.engine.attemptEnded(1, failureResponse, f.now)));
    LONGS_EQUAL(0, f.engine.openRequests());
}

// Guards against requests that stay open beyond the timeout of their route.
TEST(RequestEngine, RouteTimeoutEndsARunningRequest)
{
    f.start(document(), { upstream("u1") });
    f.requestArrived("/order/1");
    f.now += 799ms;
    CHECK(f.engine.advance(f.now).empty());
    f.now += 1ms;
    const auto steps = f.engine.advance(f.now);
    LONGS_EQUAL(1, steps.size());
    LONGS_EQUAL(504, answeredLocally(steps.front().second)->status);
    LONGS_EQUAL(0, f.engine.upstreams().inFlight(UpstreamId("u1")));
}

// Guards against an upstream deadline that exceeds the caller's.
TEST(RequestEngine, DeadlineIsTheEarlierOfCallerAndRoute)
{
    f.start(document(), { upstream("u1") });
    const RequestInfo hurried { "shop.example", "/view/1", {}, "o1", f.now + 100ms };
    const Step step = f.engine.requestArrived(1, hurried, f.now);
    CHECK(sent(step)->deadline == f.now + 100ms);
}

// Guards against requests to upstreams that are draining or in an evacuated failure domain.
TEST(RequestEngine, LeavingAndEvacuatedUpstreamsGetNothing)
{
    UpstreamEntry leaving = upstream("u1");
    leaving.draining = true;
    f.start(document(), { leaving });
    LONGS_EQUAL(503, answeredLocally(f.requestArrived("/view/1"))->status);
    f.engine.setUpstreams({ upstream("u2") }, { FailureDomainId("west-a") }, f.now);
    LONGS_EQUAL(503, answeredLocally(f.requestArrived("/view/1"))->status);
}

// Guards against sending a queued request to an upstream that has started to drain meanwhile.
TEST(RequestEngine, WaitingRequestDoesNotGoToAnUpstreamThatLeft)
{
    f.start(document(), { upstream("u1", "west", 1) });
    CHECK(sent(f.requestArrived("/order/1")) != nullptr);
    CHECK(std::holds_alternative<KeepWaiting>(f.requestArrived("/order/2")));
    UpstreamEntry leaving = upstream("u1", "west", 1);
    leaving.draining = true;
    f.engine.setUpstreams({ leaving }, {}, f.now);
    f.engine.attemptEnded(1, good, f.now);
    for (const auto &[requestId, step] : f.engine.advance(f.now))
        CHECK(sent(step) == nullptr);
}

// Guards against queueing requests that can no longer be served in time.
TEST(RequestEngine, OverloadIsRefusedWithinPartOfTheObjective)
{
    f.start(document(), { upstream("u1", "west", 1) });
    f.requestArrived("/view/1");
    CHECK(std::holds_alternative<KeepWaiting>(f.requestArrived("/view/2")));
    f.now += 151ms;
    const auto steps = f.engine.advance(f.now);
    LONGS_EQUAL(1, steps.size());
    LONGS_EQUAL(503, answeredLocally(steps.front().second)->status);
    CHECK(answeredLocally(steps.front().second)->retryAfter > Interval {});
}

// Guards against idle slots while requests are queued, and against a wrong order of priority.
TEST(RequestEngine, FreedSlotGoesToTheMostUrgentRequest)
{
    RoutingDocument source = document();
    source.routes[0].priority = 2;
    source.routes[1].priority = 0;
    f.start(source, { upstream("u1", "west", 3) });
    const auto fillSlots = [&](std::string_view path) {
        while (sent(f.requestArrived(path)) != nullptr) { }
        return f.nextRequestId - 1; // The first queued request.
    };
    fillSlots("/view/1");
    const RequestId urgent = fillSlots("/order/1");
    f.engine.attemptEnded(1, good, f.now);
    const auto steps = f.engine.advance(f.now);
    LONGS_EQUAL(1, steps.size());
    CHECK(steps.front().first == urgent);
    CHECK(sent(steps.front().second) != nullptr);
}

// Guards against a stopping instance that accepts requests it cannot finish.
TEST(RequestEngine, StoppingInstanceTakesNothingMore)
{
    f.start(document(), { upstream("u1") });
    CHECK(sent(f.requestArrived("/order/1")) != nullptr);
    f.engine.stopAccepting();
    const Step refused = f.requestArrived("/order/1");
    LONGS_EQUAL(503, answeredLocally(refused)->status);
    CHECK(answeredLocally(refused)->retryAfter < 100ms);
    CHECK(std::holds_alternative<DeliverResponse>(f.engine.attemptEnded(1, good, f.now)));
}

// Guards against keys that are not checked, and against 4xx responses to permitted requests.
TEST(RequestEngine, KeysAndRoutesAreChecked)
{
    RoutingDocument source = document();
    source.keysRequired = true;
    source.routes[0].open = false;
    source.teams = { { TeamId("t1"), { "secret" }, {}, RequestRate(0), RequestCount(0), {} } };
    f.start(source, { upstream("u1") });
    LONGS_EQUAL(404, answeredLocally(f.requestArrived("/none/1"))->status);
    LONGS_EQUAL(401, answeredLocally(f.requestArrived("/view/1"))->status);
    RequestInfo withKey = f.info("/view/1");
    withKey.key = "wrong";
    LONGS_EQUAL(401, answeredLocally(f.engine.requestArrived(90, withKey, f.now))->status);
    withKey.key = "secret";
    const Step step = f.engine.requestArrived(91, withKey, f.now);
    STRCMP_EQUAL("t1", sent(step)->team.value().c_str());
    CHECK(sent(f.requestArrived("/order/1")) != nullptr); // Open route.
}

// Guards against requests that are served outside of their home regions.
TEST(RequestEngine, HomeRegionsOfRouteAndTeamBothBind)
{
    RoutingDocument source = document();
    source.keysRequired = true;
    source.routes[0].homes = { RegionId("west"), RegionId("east") };
    source.teams
        = { { TeamId("t1"), { "k" }, {}, RequestRate(0), RequestCount(0), { RegionId("east") } } };
    f.start(source, { upstream("u1", "west"), upstream("u2", "east"), upstream("u3", "north") });
    RequestInfo withKey = f.info("/view/1");
    withKey.key = "k";
    // Two slots and one queued request fill the only permitted region; other regions must not be
    // used.
    constexpr RequestId homeCapacity = 3;
    for (RequestId requestId = 100; requestId < 100 + homeCapacity; ++requestId) {
        const Step step = f.engine.requestArrived(requestId, withKey, f.now);
        STRCMP_EQUAL("u2", sent(step)->upstream.value().c_str());
    }
    CHECK(sent(f.engine.requestArrived(100 + homeCapacity, withKey, f.now)) == nullptr);
}

// Guards against a traffic split that deviates from its weights.
TEST(RequestEngine, SplitFollowsItsWeights)
{
    RoutingDocument source = document();
    source.routes[0].services = { { ServiceId("web"), 90 }, { ServiceId("alt"), 10 } };
    UpstreamEntry other = upstream("u2", "west", 100);
    other.service = ServiceId("alt");
    f.start(source, { upstream("u1", "west", 100), other });
    int alt = 0;
    for (int i = 0; i < 50; ++i) {
        const Step step = f.requestArrived("/view/1");
        alt += sent(step)->service == ServiceId("alt") ? 1 : 0;
    }
    LONGS_EQUAL(5, alt);
}

// Guards against moving objects between upstreams without need, which causes cache misses.
TEST(RequestEngine, AnObjectStaysAtItsUpstream)
{
    f.start(document(),
        { upstream("u1", "west", 9), upstream("u2", "west", 9), upstream("u3", "west", 9) });
    const UpstreamId first = sent(f.requestArrived("/view/1", "object"))->upstream;
    for (int i = 0; i < 5; ++i) {
        const Step step = f.requestArrived("/view/1", "object");
        CHECK(sent(step)->upstream == first);
    }
}

// Guards against slots that stay occupied and requests that stay open after the caller disconnects.
TEST(RequestEngine, LeavingCallersFreeTheirSlots)
{
    f.start(document(), { upstream("u1", "west", 1) });
    f.requestArrived("/order/1");
    CHECK(std::holds_alternative<KeepWaiting>(f.requestArrived("/order/2")));
    f.engine.left(2, f.now);
    f.engine.left(1, f.now);
    LONGS_EQUAL(0, f.engine.openRequests());
    CHECK_FALSE(f.engine.hasWaiting());
    CHECK(sent(f.requestArrived("/order/3")) != nullptr);
}

// Guards against retries that multiply the load of a failing service.
TEST(RequestEngine, RetriesStayWithinTheBudget)
{
    f.engine = RequestEngine(
        { InstanceId("i1"), FailureDomainId("west-a"), RegionId("west"), {} }, { 0.2, 10 });
    f.start(document(), { upstream("u1", "west", 500), upstream("u2", "west", 500) });
    int retries = 0;
    constexpr int requests = 200;
    for (RequestId requestId = 1; requestId <= requests; ++requestId) {
        f.engine.requestArrived(requestId, f.info("/view/1"), f.now);
        const Step second = f.engine.attemptEnded(requestId, shed, f.now);
        if (sent(second) != nullptr) {
            ++retries;
            f.engine.attemptEnded(requestId, shed, f.now);
        }
    }
    CHECK(retries > 0);
    CHECK(retries <= requests * 0.2 + 10);
}

// Guards against requests that end twice, never, or as "not run" although an attempt may have run.
TEST(RequestEngine, EveryRequestEndsOnceAndTruthfully)
{
    const auto property = [](const std::vector<std::uint8_t> &moves) {
        EngineFixture own;
        own.start(document(), { upstream("u1", "west", 2), upstream("u2", "west", 1) });
        std::map<RequestId, bool> mayHaveRun;
        std::map<RequestId, bool> inFlight;
        std::set<RequestId> ended;
        const auto note = [&](RequestId requestId, const Step &step) {
            RC_ASSERT(!ended.contains(requestId));
            if (sent(step) != nullptr) {
                RC_ASSERT(!inFlight[requestId]);
                inFlight[requestId] = true;
            } else if (const LocalResponse *answer = answeredLocally(step)) {
                ended.insert(requestId);
                const bool promised = answer->status == 503 || answer->status == 429;
                RC_ASSERT(!(promised && (mayHaveRun[requestId] || inFlight[requestId])));
            } else if (std::holds_alternative<DeliverResponse>(step)) {
                ended.insert(requestId);
            }
        };
        for (std::uint8_t move : moves) {
            const RequestId requestId = own.nextRequestId;
            switch (move % 4) {
            case 0:
            case 1:
                mayHaveRun[requestId] = inFlight[requestId] = false;
                note(requestId, own.requestArrived(move % 8 < 4 ? "/order/1" : "/view/1"));
                break;
            case 2: {
                own.now += std::chrono::milliseconds(move);
                for (const auto &[due, step] : own.engine.advance(own.now))
                    note(due, step);
                break;
            }
            default: {
                const auto open = std::ranges::find_if(inFlight, [&](const auto &entry) {
                    return entry.second && !ended.contains(entry.first);
                });
                if (open == inFlight.end())
                    break;
                const RequestId due = open->first;
                const AttemptOutcome ends[] { good, interruptedAttempt, shed, unreachable };
                const AttemptOutcome end = ends[move / 4 % 4];
                inFlight[due] = false;
                mayHaveRun[due] = mayHaveRun[due] || end.mayHaveRun;
                note(due, own.engine.attemptEnded(due, end, own.now));
            }
            }
        }
        own.now += std::chrono::seconds(60);
        for (const auto &[due, step] : own.engine.advance(own.now))
            note(due, step);
        RC_ASSERT(ended.size() == mayHaveRun.size());
        RC_ASSERT(own.engine.openRequests() == 0u);
    };
    CHECK_PROPERTY("each request gets one truthful final step", property);
}

namespace {

/// An engine of a deployment with six failure domains.
RequestEngine engineOfSixDomains()
{
    return RequestEngine({ InstanceId("i1"), FailureDomainId("west-a"), RegionId("west"),
                             { { RegionId("west"), 2 }, { RegionId("east"), 4 } } },
        { 0.2, 50 }, QuotaTolerance { 0.1, 20, 5s });
}

RoutingDocument limitedTeam(double rate, double burst)
{
    RoutingDocument source = document();
    source.keysRequired = true;
    source.teams = { { TeamId("t"), { "k" }, {}, RequestRate(rate), RequestCount(burst), {} } };
    return source;
}

std::vector<PeerView> peersOf(int count, Instant lastSeenAt)
{
    std::vector<PeerView> peers;
    for (int i = 0; i < count; ++i)
        peers.push_back({ InstanceId("p" + std::to_string(i)), FailureDomainId("west-a"),
            RegionId("west"), {}, lastSeenAt });
    return peers;
}

} // namespace

// Guards against an instance that uses a whole limit or the whole rate of a cold upstream because
// the store has lost the registrations and it lists no other member.
TEST(RequestEngine, InstanceThatKnowsNoMemberTakesThePartOfOneDomain)
{
    RequestEngine engine = engineOfSixDomains();
    engine.setTable(table(limitedTeam(500, 500)), f.now);
    engine.setUpstreams({ upstream("u1", "west", 500) }, {}, f.now);
    RequestInfo info = f.info("/view/1");
    info.key = "k";
    int admitted = 0;
    for (RequestId requestId = 1; requestId <= 900; ++requestId)
        admitted += sent(engine.requestArrived(requestId, info, f.now)) != nullptr ? 1 : 0;
    CHECK(admitted > 0);
    CHECK(6 * admitted <= (500 * 5 + 500) * 1.1 + 20 - 500 * 5);

    RequestEngine other = engineOfSixDomains();
    UpstreamEntry cold = upstream("u1", "west", 500);
    cold.coldUntil = f.now + 3s;
    other.setTable(table(document()), f.now);
    other.setUpstreams({ cold }, {}, f.now);
    CHECK(sent(other.requestArrived(1, f.info("/view/1"), f.now)) == nullptr);
}

// Guards against a starting instance that receives messages from the other members but keeps the
// share of a limit that it had alone for another 250 ms.
TEST(RequestEngine, StartingInstanceDividesTheLimitsWithEveryMessage)
{
    RoutingDocument source = limitedTeam(0, 0);
    source.teams.clear();
    for (int i = 0; i < 200; ++i)
        source.teams.push_back({ TeamId("t" + std::to_string(i)), { "k" + std::to_string(i) }, {},
            RequestRate(2000), RequestCount(2000), {} });
    f.engine.setPeers(peersOf(19, epoch - 1h), f.now);
    f.start(source, { upstream("u1", "west", 500) });
    const auto maxGranted = [&] {
        int most = 0;
        for (const TeamSettings &team : source.teams)
            most = std::max(most, f.engine.grantTokens(demandKey(team.id), 1000, f.now));
        return most;
    };
    f.now += 60ms;
    f.engine.setPeers(peersOf(19, f.now), f.now);
    maxGranted();
    f.now += 50ms;
    // A reserve that it owns has about 0.9 of the rate, not the twentieth of one member.
    CHECK(maxGranted() >= 0.8 * 0.9 * 2000 * 0.05);
}

// Guards against an urgent request that queues behind less urgent ones that have used up the share
// of the instance in the slots of the region.
TEST(RequestEngine, UrgentRequestGoesBeyondTheShareOfTheRegion)
{
    RoutingDocument source = document();
    source.routes[0].priority = 1;
    source.routes[1].priority = 0;
    f.engine.setPeers(peersOf(9, f.now), f.now);
    f.start(source, { upstream("u1", "west", 16), upstream("u2", "west", 16) });
    f.now += 60ms; // The next rebalance.
    f.engine.advance(f.now);
    int sentNow = 0;
    while (sent(f.requestArrived("/view/1", std::to_string(sentNow))) != nullptr)
        ++sentNow;
    // A tenth of 32 slots, with 25% headroom.
    LONGS_EQUAL(4, sentNow);
    CHECK(sent(f.requestArrived("/order/1", "o")) != nullptr);
    CHECK(sent(f.requestArrived("/order/1", "o")) == nullptr);
}

// Guards against running requests that are given up or sent again while their upstream, or the
// other instances, only do not report for a while: service discovery lists neither, and no message
// comes.
TEST(RequestEngine, SilenceDoesNotEndOrRepeatRunningRequests)
{
    RoutingDocument source = document();
    std::ranges::for_each(source.routes, [](RequestRoute &route) { route.timeout = 30s; });
    f.engine.setPeers(peersOf(9, f.now), f.now);
    f.start(source, { upstream("u1"), upstream("u2") });
    const RequestInfo view { "shop.example", "/view/1", {}, "o1", f.now + 30s };
    const RequestInfo order { "shop.example", "/order/1", {}, "o2", f.now + 30s };
    CHECK(sent(f.engine.requestArrived(1, view, f.now)) != nullptr);
    CHECK(sent(f.engine.requestArrived(2, order, f.now)) != nullptr);
    for (int i = 0; i < 100; ++i) {
        f.now += 100ms;
        if (i == 5)
            f.engine.setUpstreams({}, {}, f.now);
        f.engine.setPeers(i < 50 ? peersOf(9, epoch) : std::vector<PeerView> {}, f.now);
        CHECK(f.engine.advance(f.now).empty());
    }
    for (const RequestId requestId : { 1, 2 })
        CHECK(
            std::holds_alternative<DeliverResponse>(f.engine.attemptEnded(requestId, good, f.now)));
}

// Guards against an instance that wakes after a pause and acts on what has run out meanwhile: a
// caller's deadline, an upstream that has left, an evacuation.
TEST(RequestEngine, RequestsThatWaitedThroughAPauseAreNotSent)
{
    f.start(document(), { upstream("u1", "west", 1) });
    const Step first = f.requestArrived("/view/1");
    CHECK(sent(first) != nullptr);
    while (sent(f.requestArrived("/order/1", "o2")) != nullptr) { }
    f.now += 10s; // All deadlines have passed; the slots look free again.
    const auto steps = f.engine.advance(f.now);
    CHECK_FALSE(steps.empty());
    for (const auto &[requestId, step] : steps)
        CHECK(sent(step) == nullptr);
    f.engine.setUpstreams({ upstream("u1") }, { FailureDomainId("west-a") }, f.now);
    CHECK(sent(f.requestArrived("/view/1")) == nullptr);
}
