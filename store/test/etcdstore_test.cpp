#include "../../transport/test/scriptedserver.h"

#include "endivequay/etcdstore.h"

#include <CppUTest/TestHarness.h>

#include <future>

using namespace endivequay;

namespace {

Instant farDeadline()
{
    return SteadyClock().now() + std::chrono::minutes(10);
}

EtcdStore storeAt(std::vector<Address> endpoints)
{
    return *EtcdStore::create({ std::move(endpoints) });
}

TransactionRequest write()
{
    return { { { "a", Revision(3) } }, { { "a", "new", {} } }, { "b" }, farDeadline() };
}

Address refusingAddress()
{
    return ScriptedServer([](const Received &) { return Reply {}; }).address();
}

const std::string rangeResponse = R"({"header":{"revision":"9"},"kvs":[{"key":"YQ==",)"
                                  R"("value":"bmV3","mod_revision":"7"}],"count":"1"})";

} // namespace

TEST_GROUP(EtcdStore) {};

// Guards against libcurl resending a write after a reused connection closed: the second execution
// would conflict with the first.
TEST(EtcdStore, WriteWithALostResponseIsSentOnceAndIsUnknown)
{
    ScriptedServer server([](const Received &received) {
        const bool isWrite = received.head.find("/v3/kv/txn") != std::string::npos;
        return isWrite ? Reply { "", true } : okReply(rangeResponse);
    });
    EtcdStore store = storeAt({ server.address(), refusingAddress() });
    CHECK(store.range({ "a", KeyScope::Key, {}, 0, {}, farDeadline() }).hasValue());
    CHECK(store.transact(write()).outcome == WriteOutcome::Unknown);
    LONGS_EQUAL(2, server.requests().size());
    LONGS_EQUAL(1, server.requests()[1].connection);
}

// Guards against failing if one endpoint is down, and against Unknown for a write that was not
// sent.
TEST(EtcdStore, RefusedWriteTriesTheNextEndpointOrIsNotApplied)
{
    ScriptedServer server([](const Received &) {
        return okReply(R"({"header":{"revision":"9"},"succeeded":true})");
    });
    EtcdStore unreachable = storeAt({ refusingAddress() });
    CHECK(unreachable.transact(write()).outcome == WriteOutcome::NotApplied);
    EtcdStore store = storeAt({ refusingAddress(), server.address() });
    const auto result = store.transact(write());
    CHECK(result.outcome == WriteOutcome::Done);
    CHECK(result.revision == Revision(9));
    LONGS_EQUAL(1, server.requests().size());
}

// Guards against a transaction that etcd cannot parse, and a conflict without the current values.
TEST(EtcdStore, TransactionIsEncodedAsGatewayJson)
{
    ScriptedServer server([](const Received &) {
        return okReply(R"({"header":{"revision":"9"},"responses":[{"response_range":)"
            + rangeResponse + "}]}");
    });
    EtcdStore store = storeAt({ server.address() });
    const auto result = store.transact(write());
    CHECK(result.outcome == WriteOutcome::Conflict);
    CHECK((result.current == std::vector<KeyValue> { { "a", "new", Revision(7), {} } }));
    STRCMP_EQUAL(
        R"({"compare":[{"key":"YQ==","mod_revision":"3","result":"EQUAL","target":"MOD"}],)"
        R"("failure":[{"request_range":{"key":"YQ=="}}],)"
        R"("success":[{"request_put":{"key":"YQ==","value":"bmV3"}},)"
        R"({"request_delete_range":{"key":"Yg=="}}]})",
        server.requests().front().body.c_str());
}

// Guards against NotApplied for errors that etcd can also return for a write that was applied, such
// as Unavailable ("request timed out").
TEST(EtcdStore, OnlyDefiniteErrorsProveThatAWriteWasNotApplied)
{
    std::string body;
    ScriptedServer server([&](const Received &) {
        return Reply { "HTTP/1.1 503 Error\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body };
    });
    EtcdStore store = storeAt({ server.address() });
    const auto outcomeOf = [&](const std::string &responseBody) {
        body = responseBody;
        return store.transact(write()).outcome;
    };
    CHECK(outcomeOf(R"({"error":"x","code":3})") == WriteOutcome::NotApplied);
    CHECK(outcomeOf(R"({"error":"x","code":14})") == WriteOutcome::Unknown);
    for (const std::string invalidBody : { "", "[]", "{}", "null", "{\"header\":3}" })
        CHECK(outcomeOf(invalidBody) == WriteOutcome::Unknown);
}

// Guards against reads that fail or time out because a reused connection is unresponsive or closed.
TEST(EtcdStore, ReadsAreRetriedAfterSilentAndClosedConnections)
{
    for (const Reply &broken : { Reply {}, Reply { "", true } }) {
        ScriptedServer server([broken](const Received &received) {
            return received.connection == 0 && received.body.find("Yg==") != std::string::npos
                ? broken
                : okReply(rangeResponse);
        });
        EtcdStore store = storeAt({ server.address() });
        CHECK(store.range({ "a", KeyScope::Key, {}, 0, {}, farDeadline() }).hasValue());
        const Instant soon = SteadyClock().now() + std::chrono::seconds(2);
        const auto response = store.range({ "b", KeyScope::Key, {}, 0, {}, soon });
        CHECK(response.hasValue());
        LONGS_EQUAL(3, server.requests().size());
        LONGS_EQUAL(1, server.requests().back().connection);
    }
}

// Guards against a crash or a wrong value caused by a malformed response.
TEST(EtcdStore, MalformedResponsesAreErrors)
{
    std::string body;
    ScriptedServer server([&](const Received &) { return okReply(body); });
    EtcdStore store = storeAt({ server.address() });
    for (const std::string responseBody : { "", "[]", "{}", "{\"header\":{\"revision\":{}}}",
             "{\"header\":{\"revision\":\"9\"},\"kvs\":[7]}",
             "{\"header\":{\"revision\":\"9\"},\"kvs\":[{\"key\":\"!\",\"mod_revision\":\"1\"}]}",
             "{\"header\":{\"revision\":\"9\"},\"kvs\":[{\"key\":\"YQ==\"}]}" }) {
        body = responseBody;
        CHECK_FALSE(store.range({ "a", KeyScope::Prefix, {}, 0, {}, farDeadline() }).hasValue());
    }
    CHECK_FALSE(EtcdStore::create({}).hasValue());
    CHECK_FALSE(EtcdStore::create({ { Address("http://store") } }).hasValue());
}

// Guards against losing or splitting watch messages at the chunk boundaries of the stream.
TEST(EtcdStore, WatchReadsMessagesFromAStream)
{
    const std::string stream
        = "{\"result\":{\"header\":{\"revision\":\"4\"},\"created\":true}}\n"
          "{\"result\":{\"events\":[{\"kv\":{\"key\":\"YQ==\",\"value\":\"bmV3\",\"mod_revision\":"
          "\"5\"}},{\"type\":\"DELETE\",\"kv\":{\"key\":\"Yg==\",\"mod_revision\":\"5\"}}]}}\n"
          "{\"result\":{\"canceled\":true,\"compact_revision\":\"3\"}}\n";
    std::string chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t i = 0; i < stream.size(); i += 10) {
        const std::string chunk = stream.substr(i, 10);
        chunks
            += (chunk.size() == 10 ? "a" : std::to_string(chunk.size())) + "\r\n" + chunk + "\r\n";
    }
    ScriptedServer server([&](const Received &) { return Reply { chunks }; });
    EtcdStore store = storeAt({ refusingAddress(), server.address() });
    std::vector<Change> changes;
    std::promise<WatchMessage> ended;
    const auto watch = store.watch(
        { "a", KeyScope::Prefix, Revision(5), farDeadline() }, [&](const WatchMessage &message) {
            changes.insert(changes.end(), message.changes.begin(), message.changes.end());
            if (message.ended)
                ended.set_value(message);
        });
    CHECK(ended.get_future().get().compacted);
    CHECK((changes
        == std::vector<Change> {
            { "a", "new", Revision(5) }, { "b", std::nullopt, Revision(5) } }));
}

// Guards against a stop that blocks on an unresponsive connection, called from outside or from
// the callback.
TEST(EtcdStore, WatchStopsAtOnce)
{
    ScriptedServer silent([](const Received &) { return Reply {}; });
    EtcdStore store = storeAt({ silent.address() });
    auto watch = store.watch({ "a", KeyScope::Key, Revision(5), farDeadline() },
        [](const WatchMessage &) { FAIL("a stopped watch reported something"); });
    silent.waitForRequests(1);
    watch.stop();

    EtcdStore unreachable = storeAt({ refusingAddress() });
    const auto stopped = std::make_shared<std::promise<void>>();
    std::mutex mutex;
    WatchHandle own;
    {
        const std::lock_guard lock(mutex);
        own = unreachable.watch({ "a", KeyScope::Key, Revision(5), farDeadline() },
            [&mutex, &own, stopped](const WatchMessage &) {
                const std::lock_guard inner(mutex);
                own.stop();
                stopped->set_value();
            });
    }
    stopped->get_future().wait();
    const std::lock_guard lock(mutex);
}
