#include "proptest.h"

#include "engine_fixture.h"

#include <set>

using namespace endivequay;
using namespace endivequay::test;

TEST_GROUP(RequestEngine)
{
    EngineFixture f;
};

// Guards against answers other than "not run" before any configuration is known.
TEST(RequestEngine, WithoutConfigurationRequestsAreRefusedAsNotRun)
{
    const Step step = f.arrive("/view/1");
    CHECK(answered(step) != nullptr);
    LONGS_EQUAL(503, answered(step)->status);
    CHECK(answered(step)->retryAfter > Interval {});
}

// Guards against callers that come back before a restarted instance can have a configuration, or
// all at the same moment.
TEST(RequestEngine, CallersReturnWhenARestartedInstanceHasAConfiguration)
{
    std::set<Interval> times;
    for (int i = 0; i < 20; ++i) {
        const Step step = f.arrive("/view/1", std::to_string(i));
        const Interval time = answered(step)->retryAfter;
        CHECK(time >= 600ms);
        CHECK(time <= 1300ms);
        times.insert(time);
    }
    CHECK(times.size() > 10);
}

// Guards against a second run of a request that may have run.
TEST(RequestEngine, AtMostOnceRequestIsNotRepeatedAfterItMayHaveRun)
{
    f.start(document(), { upstream("u1"), upstream("u2") });
    const Step first = f.arrive("/order/1");
    CHECK(sent(first) != nullptr);
    CHECK_FALSE(sent(first)->repeatable);
    const Step end = f.engine.attemptEnded(1, brokenOff, f.now);
    CHECK(answered(end) != nullptr);
    LONGS_EQUAL(502, answered(end)->status);
}

// Guards against giving up a request that certainly did not run.
TEST(RequestEngine, AtMostOnceRequestGoesElsewhereWhenItDidNotRun)
{
    for (const AttemptEnd &end : { shed, misdirected, unreachable }) {
        EngineFixture own;
        own.start(document(), { upstream("u1"), upstream("u2") });
        const Step first = own.arrive("/order/1");
        const Step second = own.engine.attemptEnded(1, end, own.now);
        CHECK(sent(second) != nullptr);
        CHECK(sent(first)->upstream != sent(second)->upstream);
    }
}

// Guards against the promise "not run" for a request whose first attempt may have run.
TEST(RequestEngine, RefusalAfterAnUnknownOutcomePromisesNothing)
{
    f.start(document(), { upstream("u1"), upstream("u2") });
    f.arrive("/view/1");
    const Step second = f.engine.attemptEnded(1, brokenOff, f.now);
    CHECK(sent(second) != nullptr);
    const Step end = f.engine.attemptEnded(1, shed, f.now);
    CHECK(answered(end) != nullptr);
    LONGS_EQUAL(502, answered(end)->status);
}

// Guards against more upstreams for one request than its route allows.
TEST(RequestEngine, AttemptsAreBounded)
{
    f.start(document(), { upstream("u1"), upstream("u2"), upstream("u3") });
    f.arrive("/view/1");
    CHECK(sent(f.engine.attemptEnded(1, failureResponse, f.now)) != nullptr);
    CHECK(
        std::holds_alternative<DeliverResponse>(f.engine.attemptEnded(1, failureResponse, f.now)));
    LONGS_EQUAL(0, f.engine.openRequests());
}

// Guards against requests that stay open past the time that the operator wants.
TEST(RequestEngine, RouteTimeoutEndsARunningRequest)
{
    f.start(document(), { upstream("u1") });
    f.arrive("/order/1");
    f.now += 799ms;
    CHECK(f.engine.advance(f.now).empty());
    f.now += 1ms;
    const auto steps = f.engine.advance(f.now);
    LONGS_EQUAL(1, steps.size());
    LONGS_EQUAL(504, answered(steps.front().second)->status);
    LONGS_EQUAL(0, f.engine.upstreams().inFlight(UpstreamId("u1")));
}

// Guards against an upstream deadline that exceeds the caller's.
TEST(RequestEngine, DeadlineIsTheEarlierOfCallerAndRoute)
{
    f.start(document(), { upstream("u1") });
    const RequestFacts hurried { "shop.example", "/view/1", {}, "o1", f.now + 100ms };
    const Step step = f.engine.arrive(1, hurried, f.now);
    CHECK(sent(step)->deadline == f.now + 100ms);
}

// Guards against work for upstreams that leave or stand in an evacuated domain.
TEST(RequestEngine, LeavingAndEvacuatedUpstreamsGetNothing)
{
    UpstreamEntry leaving = upstream("u1");
    leaving.draining = true;
    f.start(document(), { leaving });
    LONGS_EQUAL(503, answered(f.arrive("/view/1"))->status);
    f.engine.setUpstreams({ upstream("u2") }, { FailureDomainId("west-a") }, f.now);
    LONGS_EQUAL(503, answered(f.arrive("/view/1"))->status);
}

// Guards against a waiting request that is sent to an upstream that began to leave meanwhile.
TEST(RequestEngine, WaitingRequestDoesNotGoToAnUpstreamThatLeft)
{
    f.start(document(), { upstream("u1", "west", 1) });
    CHECK(sent(f.arrive("/order/1")) != nullptr);
    CHECK(std::holds_alternative<KeepWaiting>(f.arrive("/order/2")));
    UpstreamEntry leaving = upstream("u1", "west", 1);
    leaving.draining = true;
    f.engine.setUpstreams({ leaving }, {}, f.now);
    f.engine.attemptEnded(1, good, f.now);
    for (const auto &[ticket, step] : f.engine.advance(f.now))
        CHECK(sent(step) == nullptr);
}

// Guards against requests that wait although they cannot be served in time any more.
TEST(RequestEngine, OverloadIsRefusedWithinPartOfTheObjective)
{
    f.start(document(), { upstream("u1", "west", 1) });
    f.arrive("/view/1");
    CHECK(std::holds_alternative<KeepWaiting>(f.arrive("/view/2")));
    f.now += 151ms;
    const auto steps = f.engine.advance(f.now);
    LONGS_EQUAL(1, steps.size());
    LONGS_EQUAL(503, answered(steps.front().second)->status);
    CHECK(answered(steps.front().second)->retryAfter > Interval {});
}

// Guards against slots that stay idle while requests wait, and against the wrong order.
TEST(RequestEngine, FreedSlotGoesToTheMostUrgentRequest)
{
    RoutingDocument source = document();
    source.routes[0].priority = 2;
    source.routes[1].priority = 0;
    f.start(source, { upstream("u1", "west", 3) });
    const auto fill = [&](std::string_view path) {
        while (sent(f.arrive(path)) != nullptr) { }
        return f.nextTicket - 1; // The first that waits.
    };
    fill("/view/1");
    const Ticket urgent = fill("/order/1");
    f.engine.attemptEnded(1, good, f.now);
    const auto steps = f.engine.advance(f.now);
    LONGS_EQUAL(1, steps.size());
    CHECK(steps.front().first == urgent);
    CHECK(sent(steps.front().second) != nullptr);
}

// Guards against requests that a stopping instance takes and cannot finish.
TEST(RequestEngine, StoppingInstanceTakesNothingMore)
{
    f.start(document(), { upstream("u1") });
    CHECK(sent(f.arrive("/order/1")) != nullptr);
    f.engine.stopTaking();
    const Step refused = f.arrive("/order/1");
    LONGS_EQUAL(503, answered(refused)->status);
    CHECK(answered(refused)->retryAfter < 100ms);
    CHECK(std::holds_alternative<DeliverResponse>(f.engine.attemptEnded(1, good, f.now)));
}

// Guards against keys that are ignored, and against 4xx answers to permitted requests.
TEST(RequestEngine, KeysAndRoutesAreChecked)
{
    RoutingDocument source = document();
    source.keysRequired = true;
    source.routes[0].open = false;
    source.teams = { { TeamId("t1"), { "secret" }, {}, RequestRate(0), RequestCount(0), {} } };
    f.start(source, { upstream("u1") });
    LONGS_EQUAL(404, answered(f.arrive("/none/1"))->status);
    LONGS_EQUAL(401, answered(f.arrive("/view/1"))->status);
    RequestFacts withKey = f.facts("/view/1");
    withKey.key = "wrong";
    LONGS_EQUAL(401, answered(f.engine.arrive(90, withKey, f.now))->status);
    withKey.key = "secret";
    const Step step = f.engine.arrive(91, withKey, f.now);
    STRCMP_EQUAL("t1", sent(step)->team.value().c_str());
    CHECK(sent(f.arrive("/order/1")) != nullptr); // Open route.
}

// Guards against requests that leave their home regions.
TEST(RequestEngine, HomeRegionsOfRouteAndTeamBothBind)
{
    RoutingDocument source = document();
    source.keysRequired = true;
    source.routes[0].homes = { RegionId("west"), RegionId("east") };
    source.teams
        = { { TeamId("t1"), { "k" }, {}, RequestRate(0), RequestCount(0), { RegionId("east") } } };
    f.start(source, { upstream("u1", "west"), upstream("u2", "east"), upstream("u3", "north") });
    RequestFacts withKey = f.facts("/view/1");
    withKey.key = "k";
    // Full at home, with two slots and one place in the queue: nothing else will do.
    constexpr Ticket mostAtHome = 3;
    for (Ticket ticket = 100; ticket < 100 + mostAtHome; ++ticket) {
        const Step step = f.engine.arrive(ticket, withKey, f.now);
        STRCMP_EQUAL("u2", sent(step)->upstream.value().c_str());
    }
    CHECK(sent(f.engine.arrive(100 + mostAtHome, withKey, f.now)) == nullptr);
}

// Guards against a split that strays from its weights.
TEST(RequestEngine, SplitFollowsItsWeights)
{
    RoutingDocument source = document();
    source.routes[0].services = { { ServiceId("web"), 90 }, { ServiceId("alt"), 10 } };
    UpstreamEntry other = upstream("u2", "west", 100);
    other.service = ServiceId("alt");
    f.start(source, { upstream("u1", "west", 100), other });
    int alt = 0;
    for (int i = 0; i < 50; ++i) {
        const Step step = f.arrive("/view/1");
        alt += sent(step)->service == ServiceId("alt") ? 1 : 0;
    }
    LONGS_EQUAL(5, alt);
}

// Guards against objects that move between upstreams without need, which makes caches cold.
TEST(RequestEngine, AnObjectStaysAtItsUpstream)
{
    f.start(document(),
        { upstream("u1", "west", 9), upstream("u2", "west", 9), upstream("u3", "west", 9) });
    const UpstreamId first = sent(f.arrive("/view/1", "object"))->upstream;
    for (int i = 0; i < 5; ++i) {
        const Step step = f.arrive("/view/1", "object");
        CHECK(sent(step)->upstream == first);
    }
}

// Guards against a caller's leaving that keeps a slot taken or a request open.
TEST(RequestEngine, LeavingCallersFreeTheirSlots)
{
    f.start(document(), { upstream("u1", "west", 1) });
    f.arrive("/order/1");
    CHECK(std::holds_alternative<KeepWaiting>(f.arrive("/order/2")));
    f.engine.left(2, f.now);
    f.engine.left(1, f.now);
    LONGS_EQUAL(0, f.engine.openRequests());
    CHECK_FALSE(f.engine.hasWaiting());
    CHECK(sent(f.arrive("/order/3")) != nullptr);
}

// Guards against retries that multiply the load of a failing service.
TEST(RequestEngine, RetriesStayWithinTheBudget)
{
    f.engine = RequestEngine(
        { InstanceId("i1"), FailureDomainId("west-a"), RegionId("west"), {} }, { 0.2, 10 });
    f.start(document(), { upstream("u1", "west", 500), upstream("u2", "west", 500) });
    int retries = 0;
    constexpr int requests = 200;
    for (Ticket ticket = 1; ticket <= requests; ++ticket) {
        f.engine.arrive(ticket, f.facts("/view/1"), f.now);
        const Step second = f.engine.attemptEnded(ticket, shed, f.now);
        if (sent(second) != nullptr) {
            ++retries;
            f.engine.attemptEnded(ticket, shed, f.now);
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
        std::map<Ticket, bool> mayHaveRun;
        std::map<Ticket, bool> inFlight;
        std::set<Ticket> ended;
        const auto note = [&](Ticket ticket, const Step &step) {
            RC_ASSERT(!ended.contains(ticket));
            if (sent(step) != nullptr) {
                RC_ASSERT(!inFlight[ticket]);
                inFlight[ticket] = true;
            } else if (const OwnAnswer *answer = answered(step)) {
                ended.insert(ticket);
                const bool promised = answer->status == 503 || answer->status == 429;
                RC_ASSERT(!(promised && (mayHaveRun[ticket] || inFlight[ticket])));
            } else if (std::holds_alternative<DeliverResponse>(step)) {
                ended.insert(ticket);
            }
        };
        for (std::uint8_t move : moves) {
            const Ticket ticket = own.nextTicket;
            switch (move % 4) {
            case 0:
            case 1:
                mayHaveRun[ticket] = inFlight[ticket] = false;
                note(ticket, own.arrive(move % 8 < 4 ? "/order/1" : "/view/1"));
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
                const Ticket due = open->first;
                const AttemptEnd ends[] { good, brokenOff, shed, unreachable };
                const AttemptEnd end = ends[move / 4 % 4];
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

std::vector<PeerView> peersOf(int count, Instant heardAt)
{
    std::vector<PeerView> peers;
    for (int i = 0; i < count; ++i)
        peers.push_back({ InstanceId("p" + std::to_string(i)), FailureDomainId("west-a"),
            RegionId("west"), {}, heardAt });
    return peers;
}

} // namespace

// Guards against an instance that knows no other member, because the store has lost the
// registrations, and takes a whole limit or the whole rate of a cold upstream for itself.
TEST(RequestEngine, InstanceThatKnowsNoMemberTakesThePartOfOneDomain)
{
    RequestEngine engine = engineOfSixDomains();
    engine.setTable(table(limitedTeam(500, 500)), f.now);
    engine.setUpstreams({ upstream("u1", "west", 500) }, {}, f.now);
    RequestFacts facts = f.facts("/view/1");
    facts.key = "k";
    int admitted = 0;
    for (Ticket ticket = 1; ticket <= 900; ++ticket)
        admitted += sent(engine.arrive(ticket, facts, f.now)) != nullptr ? 1 : 0;
    CHECK(admitted > 0);
    CHECK(6 * admitted <= (500 * 5 + 500) * 1.1 + 20 - 500 * 5);

    RequestEngine other = engineOfSixDomains();
    UpstreamEntry cold = upstream("u1", "west", 500);
    cold.coldUntil = f.now + 3s;
    other.setTable(table(document()), f.now);
    other.setUpstreams({ cold }, {}, f.now);
    CHECK(sent(other.arrive(1, f.facts("/view/1"), f.now)) == nullptr);
}

// Guards against an instance that starts, hears the others and goes on for a quarter of a second
// with the part of a limit that it had alone.
TEST(RequestEngine, StartingInstanceDividesTheLimitsWithEveryMessage)
{
    RoutingDocument source = limitedTeam(0, 0);
    source.teams.clear();
    for (int i = 0; i < 200; ++i)
        source.teams.push_back({ TeamId("t" + std::to_string(i)), { "k" + std::to_string(i) }, {},
            RequestRate(2000), RequestCount(2000), {} });
    f.engine.setPeers(peersOf(19, epoch - 1h), f.now);
    f.start(source, { upstream("u1", "west", 500) });
    const auto mostGranted = [&] {
        int most = 0;
        for (const TeamSettings &team : source.teams)
            most = std::max(most, f.engine.grantTokens(demandKey(team.id), 1000, f.now));
        return most;
    };
    f.now += 60ms;
    f.engine.setPeers(peersOf(19, f.now), f.now);
    mostGranted();
    f.now += 50ms;
    // A reserve that it keeps has about 0.9 of the rate, not the twentieth of one member.
    CHECK(mostGranted() >= 0.8 * 0.9 * 2000 * 0.05);
}

// Guards against an urgent request that waits at its instance behind less urgent ones that have
// filled the instance's share of the region's slots.
TEST(RequestEngine, UrgentRequestGoesBeyondTheShareOfTheRegion)
{
    RoutingDocument source = document();
    source.routes[0].priority = 1;
    source.routes[1].priority = 0;
    f.engine.setPeers(peersOf(9, f.now), f.now);
    f.start(source, { upstream("u1", "west", 16), upstream("u2", "west", 16) });
    f.now += 60ms; // The next division.
    f.engine.advance(f.now);
    int sentNow = 0;
    while (sent(f.arrive("/view/1", std::to_string(sentNow))) != nullptr)
        ++sentNow;
    // A tenth of 32 slots with a quarter of room.
    LONGS_EQUAL(4, sentNow);
    CHECK(sent(f.arrive("/order/1", "o")) != nullptr);
    CHECK(sent(f.arrive("/order/1", "o")) == nullptr);
}
