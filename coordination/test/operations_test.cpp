#include "proptest.h"

#include "opsim.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <unordered_set>

using namespace endivequay;
using namespace endivequay::test;
using namespace std::chrono_literals;

namespace {

const TeamId team("a");
const Instant start { 1h };

OperationTable makeTable(OperationSettings settings = {}, std::uint64_t incarnation = 1)
{
    return OperationTable(Incarnation(incarnation), Address("10.0.0.1:80"), "secret", settings);
}

OperationHandle beginRun(OperationTable &table, const std::string &id, Instant now)
{
    return std::get<RunOperation>(table.begin(id, team, "r", now)).handle;
}

OperationRefusal refusal(const BeginDecision &decision)
{
    return std::get<RefuseOperation>(decision).reason;
}

/// Model of one operation with four copies at one issuer; the last copy has a different request.
/// next() enumerates deliveries, losses, refusals, upstream executions, responses, crashes, memory
/// pressure and time steps.
struct ModelState
{
    enum class Phase : char { Unsent, Waiting, Running, ReachedUpstream, Ended };
    struct Copy
    {
        Phase phase = Phase::Unsent;
        int incarnation = 0;
        OperationHandle handle;
        WaitTicket ticket;
    };

    std::optional<OperationTable> table;
    std::string id;
    std::string otherId;
    int time = 0;
    int incarnation = 1;
    std::optional<OperationHandle> memoryHolder;
    Copy copies[4];
    int runs[2] = { 0, 0 };
    bool reportedNotRun[2] = { false, false };
    bool reportedDone[2] = { false, false };

    // In time steps of 1 s.
    static constexpr int expiry = 2;
    static constexpr int lastTime = 3;

    static OperationSettings settings()
    {
        OperationSettings settings;
        settings.lifetime = expiry * 1s;
        settings.maxResponseBytes = 1'000;
        settings.maxKeptBytes = 1'900; // One running operation and the kept answer of another.
        return settings;
    }
    ModelState()
        : table(makeTable(settings()))
        , id((*table->issue(team, start)).id)
        , otherId((*table->issue(team, start)).id)
    { }

    Instant now() const { return start + time * 1s; }
    static int requestOf(int copy) { return copy == 3 ? 1 : 0; }
    static const char *digestOf(int copy) { return copy == 3 ? "other" : "r"; }

    void recordOutcome(int copy, Outcome outcome)
    {
        copies[copy].phase = Phase::Ended;
        reportedNotRun[requestOf(copy)] |= outcome == Outcome::NotRun;
        reportedDone[requestOf(copy)] |= outcome == Outcome::Done;
    }
    void deliver(int i)
    {
        const auto decision = table->begin(id, team, digestOf(i), now());
        copies[i].incarnation = incarnation;
        if (const auto *run = std::get_if<RunOperation>(&decision)) {
            copies[i].phase = Phase::Running;
            copies[i].handle = run->handle;
        } else if (const auto *wait = std::get_if<WaitForRunningCopy>(&decision)) {
            copies[i].phase = Phase::Waiting;
            copies[i].ticket = wait->ticket;
        } else if (const auto *replay = std::get_if<Replay>(&decision)) {
            recordOutcome(i, replay->outcome);
        } else {
            recordOutcome(i, std::get<RefuseOperation>(decision).outcome);
        }
    }
    void finish(int i, Outcome outcome)
    {
        const auto finished = table->finish(copies[i].handle, outcome, {}, now());
        recordOutcome(i, outcome);
        if (!finished)
            return;
        for (int other = 0; other < 4; ++other) {
            const auto &waiters = finished.value()->waiters;
            if (copies[other].phase == Phase::Waiting
                && std::ranges::find(waiters, copies[other].ticket) != waiters.end())
                recordOutcome(other, outcome);
        }
    }
    void crash()
    {
        ++incarnation;
        table.emplace(makeTable(settings(), static_cast<std::uint64_t>(incarnation)));
        memoryHolder.reset();
        for (auto &copy : copies) {
            if (copy.phase == Phase::Waiting || copy.phase == Phase::ReachedUpstream)
                copy.phase = Phase::Ended;
        }
    }
    void toggleMemoryPressure()
    {
        if (memoryHolder) {
            (void)table->finish(*std::exchange(memoryHolder, {}), Outcome::Unknown, {}, now());
            return;
        }
        const auto decision = table->begin(otherId, team, "holder", now());
        if (const auto *run = std::get_if<RunOperation>(&decision))
            memoryHolder = run->handle;
    }

    std::vector<ModelState> next() const
    {
        std::vector<ModelState> states;
        const auto step = [&](auto action) {
            ModelState state(*this);
            action(state);
            states.push_back(std::move(state));
        };
        if (time < lastTime)
            step([](ModelState &s) { ++s.time; });
        if (incarnation < 3)
            step([](ModelState &s) { s.crash(); });
        if (incarnation == 1)
            step([](ModelState &s) { s.toggleMemoryPressure(); });
        for (int i = 0; i < 4; ++i) {
            const Copy &copy = copies[i];
            const bool alive = copy.incarnation == incarnation;
            if (copy.phase == Phase::Unsent) {
                step([i](ModelState &s) { s.deliver(i); });
                step([i](ModelState &s) { s.copies[i].phase = Phase::Ended; });
            } else if (copy.phase == Phase::Running) {
                // The request may reach the upstream even after its sender has crashed.
                step([i, alive](ModelState &s) {
                    ++s.runs[requestOf(i)];
                    s.copies[i].phase = alive ? Phase::ReachedUpstream : Phase::Ended;
                });
                if (alive)
                    step([i](ModelState &s) { s.finish(i, Outcome::NotRun); });
            } else if (copy.phase == Phase::ReachedUpstream) {
                step([i](ModelState &s) { s.finish(i, Outcome::Done); });
                step([i](ModelState &s) { s.finish(i, Outcome::Unknown); });
            }
        }
        return states;
    }

    /// Equal for states with the same behaviour; the table is represented by its decisions.
    std::string key() const
    {
        std::string key = std::to_string(time) + std::to_string(incarnation);
        for (const auto &copy : copies)
            key += static_cast<char>('a' + static_cast<int>(copy.phase))
                + std::to_string(copy.incarnation);
        for (int i : { 0, 1 })
            key += std::to_string(runs[i]) + (reportedNotRun[i] ? 'n' : '-')
                + (reportedDone[i] ? 'd' : '-');
        for (const char *digest : { "r", "other" }) {
            OperationTable probe(*table);
            const auto decision = probe.begin(id, team, digest, now());
            key += std::to_string(decision.index());
            if (const auto *replay = std::get_if<Replay>(&decision))
                key += toString(replay->outcome);
        }
        return key + (memoryHolder ? 'm' : '-') + std::to_string(table->running()) + ' '
            + std::to_string(table->keptBytes()) + ' ' + std::to_string(table->records());
    }
    bool safe() const
    {
        const auto contradicts = [this](int request) {
            return (reportedNotRun[request] && runs[request] > 0)
                || (reportedDone[request] && runs[request] == 0);
        };
        return runs[0] + runs[1] <= 1 && !contradicts(0) && !contradicts(1);
    }
};

} // namespace

TEST_GROUP(Operations) {};

// Guards against running a second copy, and against a response that is not replayed.
TEST(Operations, SecondCopyGetsTheSameAnswer)
{
    auto table = makeTable();
    const auto id = (*table.issue(team, start)).id;
    const auto handle = beginRun(table, id, start);
    const auto wait = std::get<WaitForRunningCopy>(table.begin(id, team, "r", start));
    const auto finished = table.finish(handle, Outcome::Done, { 200, {}, "ok" }, start + 1s);
    CHECK(finished.value()->waiters == std::vector { wait.ticket });
    const auto replay = std::get<Replay>(table.begin(id, team, "r", start + 59s));
    CHECK(replay.outcome == Outcome::Done);
    STRCMP_EQUAL("ok", replay.response->body.c_str());
    CHECK_FALSE(table.finish(handle, Outcome::NotRun, {}, start + 2s).hasValue());
}

// Guards against accepting an id that has expired, was altered or was issued to another team or by
// another instance.
TEST(Operations, IdIsBoundToIssuerTeamRequestAndDeadline)
{
    auto table = makeTable();
    const auto id = (*table.issue(team, start)).id;
    std::string forged = id;
    forged[forged.rfind('.') - 1] ^= 1;
    CHECK(refusal(table.begin(forged, team, "r", start)) == OperationRefusal::Forged);
    CHECK(refusal(table.begin("1.x", team, "r", start)) == OperationRefusal::Malformed);
    CHECK(refusal(table.begin(id, TeamId("b"), "r", start)) == OperationRefusal::OtherTeam);
    beginRun(table, id, start);
    CHECK(refusal(table.begin(id, team, "q", start)) == OperationRefusal::Mismatch);
    CHECK(refusal(table.begin(id, team, "r", start + 60s)) == OperationRefusal::Expired);

    auto successor = makeTable({}, 2);
    CHECK(refusal(successor.begin(id, team, "r", start)) == OperationRefusal::IssuerGone);
    OperationTable other(Incarnation(3), Address("10.0.0.2:80"), "other", {});
    const auto pass = std::get<ForwardToIssuer>(other.begin(id, team, "r", start));
    CHECK(pass.address == Address("10.0.0.1:80") && pass.issuer == Incarnation(1));
}

// Guards against unbounded memory, and against running an operation after its refusal for lack of
// memory.
TEST(Operations, MemoryIsBoundedAndRefusalIsFinal)
{
    OperationSettings settings;
    settings.maxRecords = 4;
    settings.maxRecordsPerTeam = 3;
    settings.maxResponseBytes = 1'000;
    settings.maxKeptBytes = 1'500;
    auto table = makeTable(settings);
    const auto first = (*table.issue(team, start)).id;
    const auto second = (*table.issue(team, start)).id;
    const auto third = (*table.issue(team, start)).id;
    CHECK_FALSE(table.issue(team, start).hasValue());
    CHECK(table.issue(TeamId("b"), start).hasValue());
    CHECK_FALSE(table.issue(TeamId("b"), start).hasValue());

    const auto handle = beginRun(table, first, start);
    CHECK(refusal(table.begin(second, team, "r", start)) == OperationRefusal::MemoryFull);
    const std::string large(2'000, 'x');
    CHECK_FALSE(table.finish(handle, Outcome::Done, { 200, {}, large }, start).value()->kept);
    const auto replay = std::get<Replay>(table.begin(first, team, "r", start));
    CHECK(replay.outcome == Outcome::Done && replay.response == nullptr);
    CHECK(std::get<Replay>(table.begin(second, team, "r", start)).outcome == Outcome::NotRun);
    (void)table.finish(beginRun(table, third, start), Outcome::Done, { 200, {}, "ok" }, start);
    CHECK(table.keptBytes() > 0);
    table.expire(start + 60s);
    LONGS_EQUAL(0, table.records());
    LONGS_EQUAL(0, table.keptBytes());
    std::printf("operation record: %zu bytes without response\n", OperationTable::recordBytes());
}

// Guards against losing the waiting copies of an operation that finishes after its deadline.
TEST(Operations, RunningOperationOutlivesItsDeadline)
{
    auto table = makeTable();
    const auto id = (*table.issue(team, start)).id;
    const auto handle = beginRun(table, id, start + 59s);
    const auto wait = std::get<WaitForRunningCopy>(table.begin(id, team, "r", start + 59s));
    CHECK(refusal(table.begin(id, team, "r", start + 61s)) == OperationRefusal::Expired);
    const auto finished = table.finish(handle, Outcome::Done, {}, start + 62s);
    CHECK(finished.value()->waiters == std::vector { wait.ticket });
    LONGS_EQUAL(0, table.records());
    LONGS_EQUAL(0, table.running());
}

// Guards against a History checker that misses violations.
TEST(Operations, CheckerReportsEachFault)
{
    History history;
    history.issued("i");
    history.ran("i", "r", "body");
    const std::string other = "other";
    history.answered("i", "r", Outcome::Done, &other);
    history.answered("i", "r", Outcome::NotRun, nullptr);
    LONGS_EQUAL(0, history.doubleRuns());
    history.ran("i", "r", "body");
    LONGS_EQUAL(1, history.doubleRuns());
    LONGS_EQUAL(1, history.falseNotRun());
    LONGS_EQUAL(1, history.wrongAnswers());
}

// Guards against double execution, false "not-run" outcomes and responses of other requests under
// retries, duplicates, reordering, crashes, lack of memory and races with the deadline.
TEST(Operations, RandomHistoriesAreSafe)
{
    int replays = 0;
    int waits = 0;
    int refused = 0;
    CHECK_PROPERTY("no double run, no false not-run, no wrong answer", [&](std::uint64_t seed) {
        const OperationSimulation simulation(seed, 60, static_cast<int>(seed % 4));
        RC_ASSERT(simulation.history().doubleRuns() == 0);
        RC_ASSERT(simulation.history().falseNotRun() == 0);
        RC_ASSERT(simulation.history().wrongAnswers() == 0);
        replays += simulation.replays();
        waits += simulation.waits();
        refused += simulation.refusedForMemory();
    });
    std::printf("replays %d, waits %d, refused for memory %d\n", replays, waits, refused);
    CHECK(replays > 100 && waits > 100 && refused > 10);
}

// Guards against unsafe interleavings that random histories miss.
TEST(Operations, ExhaustiveExplorationIsSafe)
{
    std::unordered_set<std::string> seen;
    std::deque<ModelState> open;
    open.emplace_back();
    seen.insert(open.front().key());
    int unsafe = 0;
    for (; !open.empty(); open.pop_front()) {
        for (auto &state : open.front().next()) {
            if (!seen.insert(state.key()).second)
                continue;
            unsafe += state.safe() ? 0 : 1;
            open.push_back(std::move(state));
        }
    }
    std::printf("explored %zu states\n", seen.size());
    LONGS_EQUAL(0, unsafe);
    CHECK(seen.size() > 1'000);
}
