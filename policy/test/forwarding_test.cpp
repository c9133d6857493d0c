#include "proptest.h"

#include "endivequay/forwarding.h"
#include "endivequay/retrybudget.h"

using namespace endivequay;
using namespace std::chrono_literals;

namespace {

struct FakeTokenBucket
{
    int left = 0;
    bool tryTake(Instant) { return left > 0 && left-- > 0; }
};

const RegionId here("r0");
const RegionId there("r1");

} // namespace

TEST_GROUP(Forwarding)
{
    ManualClock clock;
    FakeTokenBucket tokens;
    LinkBudget links;
    BlockedRequest request { here, Instant {}, 20ms, 0, 1000, false, 1 };
    QueueState queue { 500ms, false };
    std::vector<ForwardTarget> targets { { Address("b:1"), FailureDomainId("b"), there, 20ms, 5 },
        { Address("a:1"), FailureDomainId("a"), here, 4ms, 5, true, true } };

    void setup() override
    {
        request.deadline = clock.now() + 1s;
        links.setLimit(here, there, 1e6, 2000, clock.now());
        clock.advance(10ms);
    }
    ForwardDecision decide()
    {
        return decideForward(request, queue, targets, tokens, links, clock.now());
    }
    int forwardedTo()
    {
        const ForwardDecision decision = decide();
        const Forward *forward = std::get_if<Forward>(&decision);
        return forward ? static_cast<int>(forward->target) : -1;
    }
    RefusalReason refusedFor()
    {
        const ForwardDecision decision = decide();
        CHECK(std::holds_alternative<Refusal>(decision));
        return std::get<Refusal>(decision).reason;
    }
};

// Guards against forwarding to another region while the own region has free slots, and to a target
// that is full or unusable.
TEST(Forwarding, PrefersTheOwnRegion)
{
    LONGS_EQUAL(1, forwardedTo());
    targets[1].freeSlots = 0;
    tokens.left = 1;
    LONGS_EQUAL(0, forwardedTo());
    targets[0].usable = false;
    tokens.left = 1;
    LONGS_EQUAL(-1, forwardedTo());
}

// Guards against forwarding loops between domains.
TEST(Forwarding, ForwardsOnlyOnce)
{
    request.hops = 1;
    CHECK(std::holds_alternative<WaitHere>(decide()));
    queue.full = true;
    CHECK(refusedFor() == RefusalReason::HopLimit);
}

// Guards against forwarding when the response cannot return before the deadline.
TEST(Forwarding, RespectsTheDeadline)
{
    request.deadline = clock.now() + 27ms;
    CHECK(refusedFor() == RefusalReason::Deadline);
    request.deadline = clock.now() + 28ms;
    LONGS_EQUAL(1, forwardedTo());
}

// Guards against forwarding when a local slot is expected to be free sooner.
TEST(Forwarding, WaitsWhenThatIsSooner)
{
    queue.expectedWait = 5ms;
    const ForwardDecision decision = decide();
    CHECK(std::holds_alternative<WaitHere>(decision));
    CHECK(std::get<WaitHere>(decision).until > clock.now());
    CHECK(std::get<WaitHere>(decision).until <= request.deadline);
}

// Guards against forwarding beyond the shift cap or the link's byte budget, and against budget
// taken for a request that is not forwarded.
TEST(Forwarding, TakesBudgetsOnlyWhenForwarded)
{
    targets.pop_back();
    queue.full = true;
    CHECK(refusedFor() == RefusalReason::ShiftCap);
    CHECK(links.has(here, there, 2000, clock.now()));
    tokens.left = 3;
    LONGS_EQUAL(0, forwardedTo());
    LONGS_EQUAL(0, forwardedTo());
    CHECK(refusedFor() == RefusalReason::LinkBudget);
    LONGS_EQUAL(1, tokens.left);
    clock.advance(1ms);
    targets[0].isHome = true;
    LONGS_EQUAL(0, forwardedTo());
    LONGS_EQUAL(1, tokens.left);
}

// Guards against a link that carries more than its budget in any window.
TEST(Forwarding, LinkBudgetHoldsInEveryWindow)
{
    const auto property = [] {
        ManualClock time;
        LinkBudget budget;
        budget.setLimit(here, there, 1000, 500, time.now());
        RC_ASSERT(!budget.tryTake(there, here, 1, time.now()));
        std::vector<std::pair<Instant, std::uint64_t>> granted;
        for (int i = 0; i < 60; ++i) {
            time.advance(1ms * *rc::gen::inRange(0, 400));
            const auto bytes = *rc::gen::inRange<std::uint64_t>(1, 600);
            if (budget.tryTake(here, there, bytes, time.now()))
                granted.emplace_back(time.now(), bytes);
            std::uint64_t sum = 0;
            for (auto entry = granted.rbegin(); entry != granted.rend(); ++entry) {
                sum += entry->second;
                RC_ASSERT(sum <= 500 + 1000 * toSeconds(time.now() - entry->first) + 1e-6);
            }
        }
    };
    CHECK_PROPERTY("bytes in any window w <= burst + rate * w", property);
}

// Guards against retries that multiply the load on failing upstreams.
TEST(Forwarding, RetriesStayBelowATenthOfRequests)
{
    const auto property = [] {
        RetryBudget budget;
        const ServiceId service("godown");
        std::map<std::string, std::pair<int, int>> counts;
        for (int i = 0; i < 300; ++i) {
            const std::string team = *rc::gen::element<std::string>("a", "b");
            auto &[requests, retries] = counts[team];
            if (*rc::gen::arbitrary<bool>()) {
                budget.requestStarted(service, TeamId(team));
                ++requests;
            } else {
                retries += budget.tryRetry(service, TeamId(team));
            }
            RC_ASSERT(retries * 10 <= requests);
        }
    };
    CHECK_PROPERTY("retries <= requests / 10 for each team and service", property);
    RetryBudget budget;
    for (int i = 0; i < 10; ++i)
        budget.requestStarted(ServiceId("s"), TeamId("a"));
    CHECK(budget.tryRetry(ServiceId("s"), TeamId("a")));
    CHECK_FALSE(budget.tryRetry(ServiceId("s"), TeamId("a")));
}
