#include "endivequay/configstore.h"
#include "endivequay/etcdstore.h"
#include "endivequay/memorystore.h"
#include "endivequay/standins.h"
#include "endivequay/upstreamclient.h"

#include <nlohmann/json.hpp>

#include <future>
#include <thread>

// After the standard headers, which clash with the memory macros of CppUTest.
#include "proptest.h"

using namespace endivequay;
using Json = nlohmann::json;

namespace {

const Address anyPort("127.0.0.1:0");

Instant farDeadline()
{
    return SteadyClock().now() + std::chrono::minutes(10);
}

UpstreamResponse call(const Address &address, const std::string &method, const std::string &path,
    const std::string &body = {}, const HttpHeaders &headers = {})
{
    UpstreamRequest request { address, method, path, headers, body, farDeadline() };
    return UpstreamClient().send(request);
}

void control(const Address &address, const Json &json)
{
    LONGS_EQUAL(200, call(address, "POST", "/control", json.dump()).status);
}

Json get(const Address &address, const std::string &path)
{
    return Json::parse(call(address, "GET", path).body);
}

/// Polls until the JSON field \a name is \a value; the timeout of the test run bounds the wait.
void waitFor(const Address &address, const std::string &path, const char *name, const Json &value)
{
    while (get(address, path)[name] != value)
        std::this_thread::yield();
}

/// Writes, deletes and reads a few keys as \a steps encode; returns the store's results as text.
template <Store S>
std::string transcript(S &store, const std::vector<std::uint8_t> &steps)
{
    std::string text;
    Revision first(0);
    for (const std::uint8_t step : steps) {
        const std::string key = "k" + std::to_string(step & 3);
        TransactionRequest write { {}, {}, {}, farDeadline() };
        if ((step & 4) != 0)
            write.compares = { { key, Revision(step >> 5) } };
        if ((step & 8) != 0)
            write.puts = { { key, std::string(step, '\xff'), {} } };
        else
            write.deletes = { key, "k9" };
        const WriteResult result = store.transact(write);
        first = first == Revision(0) ? result.revision : first;
        RangeRequest read { "k", KeyScope::Prefix, {}, step & 1U, {}, farDeadline() };
        read.after = (step & 16) != 0 ? "k1" : "";
        read.at = (step & 2) != 0 ? first : Revision(0);
        const auto range = store.range(read);
        text += std::to_string(static_cast<int>(result.outcome)) + "@"
            + std::to_string(result.revision.value() - first.value()) + (range->more ? "+" : "");
        for (const auto &values : { result.current, range->values }) {
            for (const KeyValue &value : values)
                text += " " + value.key + "=" + std::to_string(value.value.size()) + "@"
                    + std::to_string(value.modified.value() - first.value());
            text += ";";
        }
    }
    return text;
}

} // namespace

TEST_GROUP(StoreStandin)
{
    Standin standin = *startStoreStandin(anyPort);
    EtcdStore store = *EtcdStore::create({ { standin.address() } });
    ConfigStore<EtcdStore> config { store };
};

// Guards against different semantics of a request in the etcd client, the gateway and MemoryStore.
TEST(StoreStandin, AnswersAsTheMemoryStoreOverTheGateway)
{
    const auto property = [](const std::vector<std::uint8_t> &steps) {
        MemoryStore memory;
        const Standin fresh = *startStoreStandin(anyPort);
        EtcdStore remote = *EtcdStore::create({ { fresh.address() } });
        RC_ASSERT(transcript(memory, steps) == transcript(remote, steps));
    };
    CHECK_PROPERTY("both stores answer alike", property);
}

// Guards against an accepted change that is reported as failed or submitted twice when its response
// is lost, over the real protocol.
TEST(StoreStandin, LostAnswerIsResolvedWithOneTransaction)
{
    control(standin.address(), { { "lose_next_answer", true } });
    const auto change = ConfigChange::between({}, { { "regions", "r" } }, ChangeId("1"), "deniz");
    const auto result = config.submit(*change, farDeadline());
    CHECK(result.outcome == WriteOutcome::Done);
    CHECK(config.readDocuments(farDeadline())->head == result.head);
    LONGS_EQUAL(1, get(standin.address(), "/control/counts")["txn"].get<int>());
}

// Guards against "not applied" for a write that a slow store still applied after the deadline.
TEST(StoreStandin, WriteToASlowStoreIsUnknownAndTakesEffect)
{
    control(standin.address(), { { "delay_ms", 600'000 } });
    const FailureDomainId domain("a");
    WriteResult written;
    Interval timeout = std::chrono::milliseconds(100);
    // NotApplied means that the deadline expired before the connection was open.
    do {
        written = config.writeLedger(domain, Revision(0), "x", SteadyClock().now() + timeout);
        timeout *= 2;
    } while (written.outcome == WriteOutcome::NotApplied);
    CHECK(written.outcome == WriteOutcome::Unknown);
    control(standin.address(), { { "delay_ms", 0 } });
    STRCMP_EQUAL("x", config.readLedger(domain, farDeadline())->text.c_str());
}

// Guards against a watch that misses changes, counts as several calls, or does not report its end
// in an outage.
TEST(StoreStandin, WatchIsOneCallAndEndsWithAnOutage)
{
    std::promise<std::string> changed;
    std::promise<void> ended;
    auto watch = config.watchChanges(Revision(1), farDeadline(), [&](const auto &message) {
        if (!message.changes.empty())
            changed.set_value(message.changes.front().head.by);
        if (message.ended)
            ended.set_value();
    });
    config.submit(
        *ConfigChange::between({}, { { "regions", "r" } }, ChangeId("1"), "deniz"), farDeadline());
    STRCMP_EQUAL("deniz", changed.get_future().get().c_str());
    LONGS_EQUAL(1, get(standin.address(), "/control/counts")["running_watches"].get<int>());
    control(standin.address(), { { "down", true } });
    ended.get_future().wait();
    CHECK_FALSE(config.readHead(farDeadline()).hasValue());
    control(standin.address(), { { "down", false } });
    const Json counts = get(standin.address(), "/control/counts");
    LONGS_EQUAL(1, counts["watch"].get<int>());
    LONGS_EQUAL(0, counts["running_watches"].get<int>());
}

// Guards against watches that stay open at the store after the client has stopped them.
TEST(StoreStandin, StoppedWatchIsForgotten)
{
    auto watch = config.watchChanges(Revision(1), farDeadline(), [](const auto &) {});
    waitFor(standin.address(), "/control/counts", "running_watches", 1);
    watch.stop();
    waitFor(standin.address(), "/control/counts", "running_watches", 0);
}

// Guards against leases that expire despite renewal, or that can be renewed after expiry.
TEST(StoreStandin, LeasesAreGrantedAndRenewed)
{
    const auto lease = store.grantLease({ 600, farDeadline() });
    CHECK(lease.outcome == WriteOutcome::Done);
    const auto renewed = store.keepLeaseAlive({ lease.id, farDeadline() });
    CHECK(renewed.outcome == WriteOutcome::Done);
    CHECK(renewed.expires > SteadyClock().now() + std::chrono::minutes(9));
    CHECK(store.keepLeaseAlive({ LeaseId(99), farDeadline() }).outcome == WriteOutcome::Conflict);
    CHECK(store.grantLease({ 0, farDeadline() }).outcome == WriteOutcome::NotApplied);
}

// Guards against malformed requests that crash the stand-in, and with it a test run.
TEST(StoreStandin, MalformedRequestsAreRefused)
{
    for (const std::string path :
        { "/v3/kv/range", "/v3/kv/txn", "/v3/lease/grant", "/v3/watch" }) {
        for (const std::string body : { "", "[]", R"({"key":7})", R"({"compare":[7],"TTL":{}})" })
            CHECK(call(standin.address(), "POST", path, body).status != 500);
    }
    LONGS_EQUAL(400, call(standin.address(), "POST", "/control", "{\"down\":1}").status);
    CHECK(config.readHead(farDeadline()).hasValue());
}

TEST_GROUP(ListStandin) {};

// Guards against a list that ignores its lag, or accepts an instance with an invalid state.
TEST(ListStandin, ShowsANewListAfterItsLag)
{
    const Standin list = *startListStandin(anyPort);
    const Json one = { { { "address", "a" }, { "failure_domain", "d" }, { "state", "live" } } };
    const Json two = { { { "address", "b" }, { "failure_domain", "d" }, { "state", "leaving" } } };
    control(list.address(), { { "instances", one } });
    control(list.address(), { { "instances", two }, { "lag_ms", 600'000 } });
    CHECK(get(list.address(), "/instances") == one);
    control(list.address(), { { "instances", two }, { "lag_ms", 1 } });
    while (get(list.address(), "/instances") != two)
        std::this_thread::yield();
    const auto bad = call(list.address(), "POST", "/control",
        R"({"instances":[{"address":"a","failure_domain":"d","state":"dead"}]})");
    LONGS_EQUAL(400, bad.status);
}

TEST_GROUP(UpstreamStandin)
{
    Standin standin = *startUpstreamStandin({ anyPort, "godown", "u1", 1, 0 });

    UpstreamResponse reserve(const std::string &operation, const HttpHeaders &extra = {})
    {
        HttpHeaders headers = extra;
        headers.emplace_back("Endivequay-Operation", operation);
        headers.emplace_back("Endivequay-Request", "r-" + operation);
        return call(standin.address(), "POST", "/reserve?bale=7", "body", headers);
    }
    Json stats()
    {
        return get(standin.address(), "/control/stats");
    }
};

// Guards against a response that cannot be matched to its request.
TEST(UpstreamStandin, AnswerNamesItsRequest)
{
    const Json answer = Json::parse(reserve("op1").body);
    CHECK(answer["service"] == "godown" && answer["upstream"] == "u1");
    CHECK(answer["path"] == "/reserve?bale=7" && answer["request"] == "r-op1");
    control(standin.address(), { { "answer_bytes", 5'000 } });
    LONGS_EQUAL(5'000, reserve("op2").body.size());
}

// Guards against faults that omit a run from the counts, or count one that did not take place.
TEST(UpstreamStandin, FaultsHaveTheirOutcomesAndRunsAreCounted)
{
    LONGS_EQUAL(-1, stats()["last_new_work_age_ms"].get<std::int64_t>());
    const auto outcomeOf = [&](const char *fault, const std::string &operation) {
        control(standin.address(), { { fault, 1 } });
        return reserve(operation).outcome;
    };
    CHECK(outcomeOf("shed", "shed") == UpstreamOutcome::NotRun);
    CHECK(outcomeOf("close_after_run", "closed") == UpstreamOutcome::Unknown);
    CHECK(outcomeOf("partial_answer", "partial") == UpstreamOutcome::Unknown);
    CHECK(reserve("plain").outcome == UpstreamOutcome::Answered);
    control(standin.address(), { { "delay_ms", 50 } });
    CHECK(
        reserve("late", { { "Endivequay-Deadline-Ms", "49" } }).outcome == UpstreamOutcome::NotRun);
    const Json expected = { { "closed", 1 }, { "partial", 1 }, { "plain", 1 } };
    CHECK(stats()["operations"] == expected);
    control(standin.address(), { { "never_answer", true }, { "delay_ms", 0 } });
    UpstreamRequest request { standin.address(), "GET", "/", {}, {}, farDeadline() };
    request.deadline = SteadyClock().now() + std::chrono::milliseconds(50);
    CHECK(UpstreamClient().send(request).failure == UpstreamFailure::Deadline);
    while (stats()["last_new_work_age_ms"].get<std::int64_t>() < 1)
        std::this_thread::yield();
}

// Guards against excess concurrency that is not counted, and slots held for disconnected callers.
TEST(UpstreamStandin, CountsConcurrencyAndFreesCancelledWork)
{
    control(standin.address(), { { "delay_ms", 600'000 } });
    std::stop_source source;
    UpstreamRequest request { standin.address(), "GET", "/", {}, {}, farDeadline() };
    request.cancelled = source.get_token();
    std::thread caller([&] { UpstreamClient().send(request); });
    waitFor(standin.address(), "/load", "in_flight", 1);
    control(standin.address(), { { "delay_ms", 0 }, { "lie_load", "frozen" } });
    reserve("second");
    source.request_stop();
    caller.join();
    waitFor(standin.address(), "/control/stats", "in_flight", 0);
    LONGS_EQUAL(1, get(standin.address(), "/load")["in_flight"].get<int>());
    LONGS_EQUAL(2, stats()["max_concurrency"].get<int>());
    LONGS_EQUAL(1, stats()["over_slots"].get<int>());
}

// Guards against a key that reaches an upstream undetected in another spelling or place.
TEST(UpstreamStandin, ReportsWhateverLooksLikeAKey)
{
    control(standin.address(), { { "secrets", { "s3cret" } } });
    reserve("clean", { { "Accept", "*/*" } });
    CHECK(stats()["keys"].empty());
    reserve("a", { { "Authorization", "x" } });
    reserve("b", { { "X-Endivequay_Key", "x" } });
    reserve("c", { { "X-Other", "a s3cret" } });
    call(standin.address(), "GET", "/?endivequay-key=x");
    call(standin.address(), "POST", "/", "s3cret");
    LONGS_EQUAL(5, stats()["keys"].size());
}
