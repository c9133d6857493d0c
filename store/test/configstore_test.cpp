#include "proptest.h"

#include "endivequay/configstore.h"
#include "endivequay/memorystore.h"

#include <set>

using namespace endivequay;

namespace {

const Instant deadline { std::chrono::hours(2) };

/// Store that runs an action once, after its first range call, to simulate a concurrent client.
struct InterruptedStore
{
    MemoryStore &inner;
    std::function<void()> action;

    Result<RangeResponse> range(const RangeRequest &request)
    {
        auto response = inner.range(request);
        if (const auto once = std::exchange(action, nullptr))
            once();
        return response;
    }
    WriteResult transact(const TransactionRequest &request) { return inner.transact(request); }
    LeaseResult grantLease(const LeaseGrantRequest &request) { return inner.grantLease(request); }
    LeaseResult keepLeaseAlive(const LeaseKeepAliveRequest &request)
    {
        return inner.keepLeaseAlive(request);
    }
    WatchHandle watch(const WatchRequest &request, WatchCallback callback)
    {
        return inner.watch(request, std::move(callback));
    }
};

ConfigChange changeOf(ConfigStore<MemoryStore> &config, const std::string &id,
    const std::string &document, const std::string &text)
{
    const auto base = config.readDocuments(deadline);
    auto wanted = base->documents;
    wanted[document] = text;
    return *ConfigChange::between(*base, wanted, ChangeId(id), "operator-" + id);
}

} // namespace

TEST_GROUP(ConfigStore)
{
    MemoryStore store;
    ConfigStore<MemoryStore> config { store };
};

// Guards against documents that are lost or left over when a configuration is replaced.
TEST(ConfigStore, ChangeReplacesPutsAndDeletes)
{
    CHECK(config.submit(changeOf(config, "1", "teams/a", "x"), deadline).outcome
        == WriteOutcome::Done);
    const auto base = config.readDocuments(deadline);
    const auto change
        = ConfigChange::between(*base, { { "regions", "r" } }, ChangeId("2"), "deniz");
    const auto result = config.submit(*change, deadline);
    CHECK(result.outcome == WriteOutcome::Done);
    const auto read = config.readDocuments(deadline);
    CHECK(read->head == result.head);
    CHECK((read->documents == std::map<std::string, std::string> { { "regions", "r" } }));
}

// Guards against a snapshot that mixes two versions if a change is applied between two pages.
TEST(ConfigStore, PagesAreReadAtOneRevision)
{
    std::map<std::string, std::string> wanted;
    for (int i = 0; i < 50; ++i)
        wanted["blocks/" + std::to_string(i)] = "old";
    config.submit(*ConfigChange::between({}, wanted, ChangeId("1"), "a"), deadline);
    const auto later = changeOf(config, "2", "blocks/9", "new");
    InterruptedStore interrupted { store,
        [&] { CHECK(config.submit(later, deadline).outcome == WriteOutcome::Done); } };
    const auto read = ConfigStore<InterruptedStore>(interrupted).readDocuments(deadline);
    CHECK(read->documents == wanted);
    STRCMP_EQUAL("1", read->head.change.value().c_str());
}

// Guards against overwriting a concurrent change, and against a conflict without its operator.
TEST(ConfigStore, ConflictNamesTheOtherChangeAndOperator)
{
    const auto mine = changeOf(config, "mine", "teams/a", "x");
    const auto other = changeOf(config, "other", "teams/b", "y");
    config.submit(other, deadline);
    const auto result = config.submit(mine, deadline);
    CHECK(result.outcome == WriteOutcome::Conflict);
    STRCMP_EQUAL("other", result.head.change.value().c_str());
    STRCMP_EQUAL("operator-other", result.head.by.c_str());
    STRCMP_CONTAINS("change other by operator-other", result.reason.reason.c_str());
}

// Guards against an accepted change that is reported as failed because its response was lost.
TEST(ConfigStore, LostResponseIsResolvedByReadingTheHead)
{
    store.loseResponses(1);
    const auto result = config.submit(changeOf(config, "1", "teams/a", "x"), deadline);
    CHECK(result.outcome == WriteOutcome::Done);
    CHECK(result.head.revision == store.revision());
}

// Guards against a delayed transaction that is applied after it was reported as failed.
TEST(ConfigStore, LostRequestIsSentAgainWithTheSameComparison)
{
    store.loseRequests(1);
    const Revision before = store.revision();
    const auto result = config.submit(changeOf(config, "1", "teams/a", "x"), deadline);
    CHECK(result.outcome == WriteOutcome::Done);
    LONGS_EQUAL(before.value() + 1, store.revision().value());
}

// Guards against a lost response that is reported as a conflict after later changes replaced the
// head.
TEST(ConfigStore, LostChangeIsFoundInTheHistory)
{
    const auto mine = changeOf(config, "mine", "teams/a", "x");
    store.loseResponses(1);
    const auto written = store.transact(detail::toTransaction(mine, deadline));
    CHECK(written.outcome == WriteOutcome::Unknown);
    for (const std::string id : { "2", "3", "4" })
        config.submit(changeOf(config, id, "teams/b", id), deadline);
    const auto found = config.resolve(mine, deadline);
    CHECK(found.outcome == WriteOutcome::Done);
    CHECK(found.head.revision < config.readHead(deadline)->revision);

    auto never = mine;
    never.id = ChangeId("never");
    const auto result = config.resolve(never, deadline);
    CHECK(result.outcome == WriteOutcome::Conflict);
    STRCMP_EQUAL("mine", result.head.change.value().c_str());
}

// Guards against reporting a change as not applied if only its response was lost before an outage.
TEST(ConfigStore, OutageAfterALostResponseStaysUnknownUntilResolved)
{
    const auto change = changeOf(config, "1", "teams/a", "x");
    store.setDown(true);
    CHECK(config.submit(change, deadline).outcome == WriteOutcome::NotApplied);
    store.setDown(false);
    store.loseResponses(1);
    CHECK(store.transact(detail::toTransaction(change, deadline)).outcome == WriteOutcome::Unknown);
    store.setDown(true);
    CHECK(config.resolve(change, deadline).outcome == WriteOutcome::Unknown);
    store.setDown(false);
    CHECK(config.resolve(change, deadline).outcome == WriteOutcome::Done);
}

// Guards against a wrong outcome under random faults and concurrent changes: a change reported as
// Done must be in the history exactly once; one with another outcome except Unknown must not.
TEST(ConfigStore, OutcomesAgreeWithTheHistory)
{
    const auto property = [](const std::vector<std::uint8_t> &faults) {
        MemoryStore memory;
        ConfigStore<MemoryStore> operators(memory);
        std::multiset<std::string> history;
        const auto watch = operators.watchChanges(Revision(1), deadline, [&](const auto &message) {
            for (const AcceptedChange &change : message.changes)
                history.insert(change.head.change.value());
        });
        std::map<std::string, WriteOutcome> outcomes;
        const auto submit = [&](const ConfigChange &change) {
            outcomes[change.id.value()] = operators.submit(change, deadline).outcome;
        };
        for (const std::uint8_t fault : faults) {
            const std::string id = std::to_string(outcomes.size());
            const auto mine = changeOf(operators, "mine" + id, "teams/a", id);
            const auto concurrent = changeOf(operators, "rival" + id, "teams/b", id);
            memory.loseResponses(fault & 3);
            memory.loseRequests(fault >> 2 & 3);
            if ((fault & 16) != 0)
                memory.beforeNextTransaction([&submit, concurrent] { submit(concurrent); });
            submit(mine);
            memory.loseResponses(0);
            memory.loseRequests(0);
        }
        for (const auto &[id, submitOutcome] : outcomes) {
            if (submitOutcome != WriteOutcome::Unknown)
                RC_ASSERT(history.count(id) == (submitOutcome == WriteOutcome::Done ? 1U : 0U));
        }
    };
    CHECK_PROPERTY("outcomes agree with the history", property);
}

// Guards against a change that is reported in parts, or without its deletions.
TEST(ConfigStore, WatchReportsWholeChangesInOrder)
{
    std::vector<AcceptedChange> seen;
    std::optional<Error> ended;
    const auto watch = config.watchChanges(Revision(1), deadline, [&](const auto &message) {
        std::ranges::copy(message.changes, std::back_inserter(seen));
        ended = message.ended;
    });
    config.submit(changeOf(config, "1", "teams/a", "x"), deadline);
    const auto base = config.readDocuments(deadline);
    config.submit(
        *ConfigChange::between(*base, { { "regions", "r" } }, ChangeId("2"), "b"), deadline);
    LONGS_EQUAL(2, seen.size());
    CHECK((seen[1].edits == DocumentEdits { { "teams/a", std::nullopt }, { "regions", "r" } }));
    LONGS_EQUAL(1, seen[1].head.documents);
    CHECK_FALSE(ended.has_value());
    store.transact({ {}, { { "/endivequay/v1/config/teams/c", "z", {} } }, {}, deadline });
    CHECK(ended.has_value());
    LONGS_EQUAL(2, seen.size());
}

// Guards against accepting an incomplete configuration or a malformed head.
TEST(ConfigStore, InconsistentDocumentsAreAnError)
{
    store.transact({ {}, { { "/endivequay/v1/config/teams/c", "z", {} } }, {}, deadline });
    CHECK_FALSE(config.readDocuments(deadline).hasValue());
    for (const std::string head : { "", "[]", "{\"change\":1,\"by\":\"a\",\"documents\":1}",
             "{\"change\":\"1\",\"by\":\"a\",\"documents\":-1}" }) {
        store.transact({ {}, { { "/endivequay/v1/config/head", head, {} } }, {}, deadline });
        CHECK_FALSE(config.readHead(deadline).hasValue());
    }
}

// Guards against sending changes that the store would reject, that overwrite the head or that have
// invalid document names.
TEST(ConfigStore, InvalidChangesAreNotSent)
{
    ConfigChange change = changeOf(config, "1", "teams/a", "x");
    for (const std::string name : { "head", "", "/a", "a b", "a\n" }) {
        change.edits = { { name, "x" } };
        CHECK(config.submit(change, deadline).outcome == WriteOutcome::NotApplied);
    }
    for (int i = 0; i <= 100; ++i)
        change.edits["d" + std::to_string(i)] = "x";
    CHECK(config.submit(change, deadline).outcome == WriteOutcome::NotApplied);
    CHECK_FALSE(ConfigChange::between({}, {}, ChangeId("1"), "a").hasValue());
    LONGS_EQUAL(0, store.calls(MemoryStore::Call::Transaction));
}

// Guards against two keepers of a ledger that overwrite each other's version.
TEST(ConfigStore, LedgerIsReplacedOnlyAtItsRevision)
{
    const FailureDomainId domain("gulf-1");
    CHECK(config.readLedger(domain, deadline)->revision == Revision(0));
    const auto first = config.writeLedger(domain, Revision(0), "a", deadline);
    CHECK(first.outcome == WriteOutcome::Done);
    const auto late = config.writeLedger(domain, Revision(0), "b", deadline);
    CHECK(late.outcome == WriteOutcome::Conflict);
    STRCMP_EQUAL("a", late.current.front().value.c_str());
    CHECK(config.writeLedger(domain, first.revision, "c", deadline).outcome == WriteOutcome::Done);
    STRCMP_EQUAL("c", config.readLedger(domain, deadline)->text.c_str());
}
