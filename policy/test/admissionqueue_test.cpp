#include "proptest.h"

#include "endivequay/admissionqueue.h"

#include <map>

using namespace endivequay;
using namespace std::chrono_literals;

namespace {

WaitingRequest request(
    Ticket ticket, const char *team, double weight, Instant deadline, bool deferrable = false)
{
    return { ticket, TeamId(team), RequestRate(weight), deadline, deferrable };
}

} // namespace

TEST_GROUP(AdmissionQueue)
{
    ManualClock clock;
    AdmissionQueue queue;
};

// Guards against a request that is lost, returned twice or run after its deadline, and against a
// queue that grows beyond its limit.
TEST(AdmissionQueue, AccountsForEveryRequest)
{
    const auto property = [] {
        ManualClock time;
        AdmissionQueue requests(8);
        std::map<Ticket, Instant> waiting;
        for (Ticket ticket = 0; ticket < 100; ++ticket) {
            time.advance(1ms * *rc::gen::inRange(0, 30));
            const Instant deadline = time.now() + 1ms * *rc::gen::inRange(0, 200);
            const auto team = *rc::gen::element("", "a", "b");
            waiting[ticket] = deadline;
            const auto dropped = requests.push(request(ticket, team, *rc::gen::inRange(0, 5),
                                                   deadline, *rc::gen::arbitrary<bool>()),
                time.now());
            if (dropped) {
                RC_ASSERT(waiting.erase(dropped->ticket) == 1U);
                RC_ASSERT(dropped->refusal.retryAt > time.now());
            }
            if (*rc::gen::inRange(0, 3) == 0) {
                if (const auto next = requests.pop(time.now())) {
                    RC_ASSERT(next->deadline > time.now());
                    RC_ASSERT(waiting.erase(next->ticket) == 1U);
                }
            }
            if (*rc::gen::inRange(0, 10) == 0) {
                for (const DroppedRequest &late : requests.expire(time.now())) {
                    RC_ASSERT(waiting.at(late.ticket) <= time.now());
                    waiting.erase(late.ticket);
                }
            }
            if (*rc::gen::inRange(0, 10) == 0)
                RC_ASSERT(requests.remove(ticket) == (waiting.erase(ticket) == 1U));
            RC_ASSERT(requests.size() == waiting.size());
            RC_ASSERT(requests.size() <= 8U);
        }
    };
    CHECK_PROPERTY("pushed = popped + dropped + removed + waiting", property);
}

// Guards against a team that floods the queue and takes slots or queue places of other teams.
TEST(AdmissionQueue, FloodOfOneTeamDoesNotLowerTheSharesOfOthers)
{
    std::map<std::string, int> served;
    Ticket ticket = 0;
    const Instant deadline = clock.now() + 1h;
    for (int round = 0; round < 3'000; ++round) {
        for (int i = 0; i < 10; ++i)
            queue.push(request(++ticket, "flood", 1, deadline), clock.now());
        for (int i = 0; i < 2; ++i) {
            queue.push(request(++ticket, "large", 2, deadline), clock.now());
            queue.push(request(++ticket, "", 1, deadline), clock.now());
        }
        clock.advance(1ms);
        for (int i = 0; i < 4; ++i)
            ++served[queue.pop(clock.now())->team.value()];
    }
    DOUBLES_EQUAL(6'000, served["large"], 60);
    DOUBLES_EQUAL(3'000, served["flood"], 60);
    DOUBLES_EQUAL(3'000, served[""], 60);
}

// Guards against a team that accumulates credit while idle and then starves the others.
TEST(AdmissionQueue, IdleTeamSavesNoCredit)
{
    const Instant deadline = clock.now() + 1h;
    for (Ticket i = 0; i < 100; ++i) {
        queue.push(request(i, "busy", 1, deadline), clock.now());
        queue.pop(clock.now());
    }
    for (Ticket i = 0; i < 10; ++i) {
        queue.push(request(200 + i, "busy", 1, deadline), clock.now());
        queue.push(request(300 + i, "idle", 1, deadline), clock.now());
    }
    int busy = 0;
    for (int i = 0; i < 10; ++i)
        busy += queue.pop(clock.now())->team.value() == "busy";
    DOUBLES_EQUAL(5, busy, 1);
}

// Guards against a request that misses its deadline behind deferrable ones, and against a
// deferrable request that starves behind a steady stream of others.
TEST(AdmissionQueue, EarliestDeadlineFirstAndDeferrableLastWithinTheAgingBound)
{
    const Instant start = clock.now();
    queue.push(request(1, "a", 1, start + 1s, true), start);
    queue.push(request(2, "a", 1, start + 9s), start);
    queue.push(request(3, "a", 1, start + 5s), start);
    queue.push(request(4, "b", 1, start + 9s), start);
    LONGS_EQUAL(3, queue.pop(start)->ticket);
    LONGS_EQUAL(4, queue.pop(start)->ticket);
    LONGS_EQUAL(2, queue.pop(start)->ticket);
    LONGS_EQUAL(1, queue.pop(start)->ticket);

    queue.push(request(5, "a", 1, start + 1h, true), start);
    Ticket ticket = 10;
    bool isServed = false;
    while (!isServed && clock.now() < start + AdmissionQueue::agingDelay + 100ms) {
        clock.advance(10ms);
        queue.push(request(++ticket, "a", 1, clock.now() + 300ms), clock.now());
        queue.push(request(++ticket, "b", 1, clock.now() + 300ms), clock.now());
        queue.expire(clock.now());
        isServed = queue.pop(clock.now())->ticket == 5;
        CHECK(!isServed || clock.now() >= start + AdmissionQueue::agingDelay);
    }
    CHECK(isServed);
}

// Guards against a retry time before the queued requests of the caller's team are done.
TEST(AdmissionQueue, RetryTimeGrowsWithTheTeamsOwnQueue)
{
    queue.setServiceRate(RequestRate(10));
    const Instant deadline = clock.now() + 1ms;
    for (Ticket i = 0; i < 20; ++i)
        queue.push(request(i, "a", 1, deadline), clock.now());
    clock.advance(1s);
    const auto dropped = queue.expire(clock.now());
    LONGS_EQUAL(20, dropped.size());
    CHECK(dropped[0].refusal.reason == RefusalReason::Deadline);
    CHECK(dropped[0].refusal.retryAt == clock.now() + 2s);
}
