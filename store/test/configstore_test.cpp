#include "proptest.h"

#include "endivequay/configstore.h"
#include "endivequay/memorystore.h"

#include <set>

using namespace endivequay;

namespace {

const Instant deadline { std::chrono::hours(2) };

/// A store that runs an action once after its first range call, as another client would.
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

// Guards against documents lost or left over when a configuration is replaced.
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

// Guards against a snapshot that mixes two versions when a change lands between two pages.
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

// Guards against an operator who overwrites a change unseen, or is not told whose it was.
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

// Guards against an accepted change reported as failed because its answer was lost.
TEST(ConfigStore, LostAnswerIsResolvedByReadingBack)
{
    store.loseAnswers(1);
    const auto result = config.submit(changeOf(config, "1", "teams/a", "x"), deadline);
    CHECK(result.outcome == WriteOutcome::Done);
    CHECK(result.head.revision == store.revision());
}

// Guards against a delayed first transaction that takes effect after it was reported as failed.
TEST(ConfigStore, LostRequestIsSentAgainWithTheSameComparison)
{
    store.loseRequests(1);
    const Revision before = store.revision();
    const auto result = config.submit(changeOf(config, "1", "teams/a", "x"), deadline);
    CHECK(result.outcome == WriteOutcome::Done);
    LONGS_EQUAL(before.value() + 1, store.revision().value());
}

// Guards against a lost answer taken for a conflict when later changes cover the head.
TEST(ConfigStore, LostChangeIsFoundUnderLaterOnes)
{
    const auto mine = changeOf(config, "mine", "teams/a", "x");
    store.loseAnswers(1);
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

// Guards against "not applied" for a change of which only the answer was lost before an outage.
TEST(ConfigStore, OutageAfterALostAnswerStaysUnknownUntilResolved)
{
    const auto change = changeOf(config, "1", "teams/a", "x");
    store.setDown(true);
    CHECK(config.submit(change, deadline).outcome == WriteOutcome::NotApplied);
    store.setDown(false);
    store.loseAnswers(1);
    CHECK(store.transact(detail::toTransaction(change, deadline)).outcome == WriteOutcome::Unknown);
    store.setDown(true);
    CHECK(config.resolve(change, deadline).outcome == WriteOutcome::Unknown);
    store.setDown(false);
    CHECK(config.resolve(change, deadline).outcome == WriteOutcome::Done);
}

// Guards against a false verdict under any mix of faults and rivals: a change reported as done
// must be in the history exactly once, any other verdict but unknown means that it is not.
TEST(ConfigStore, VerdictsAgreeWithTheHistory)
{
    const auto property = [](const std::vector<std::uint8_t> &faults) {
        MemoryStore memory;
        ConfigStore<MemoryStore> operators(memory);
        std::multiset<std::string> history;
        const auto watch = operators.watchChanges(Revision(1), deadline, [&](const auto &message) {
            for (const AcceptedChange &change : message.changes)
                history.insert(change.head.change.value());
        });
        std::map<std::string, WriteOutcome> verdicts;
        const auto submit = [&](const ConfigChange &change) {
            verdicts[change.id.value()] = operators.submit(change, deadline).outcome;
        };
        for (const std::uint8_t fault : faults) {
            const std::string id = std::to_string(verdicts.size());
            const auto mine = changeOf(operators, "mine" + id, "teams/a", id);
            const auto rival = changeOf(operators, "rival" + id, "teams/b", id);
            memory.loseAnswers(fault & 3);
            memory.loseRequests(fault >> 2 & 3);
            if ((fault & 16) != 0)
                memory.beforeNextTransaction([&submit, rival] { submit(rival); });
            submit(mine);
            memory.loseAnswers(0);
            memory.loseRequests(0);
        }
        for (const auto &[id, verdict] : verdicts) {
            if (verdict != WriteOutcome::Unknown)
                RC_ASSERT(history.count(id) == (verdict == WriteOutcome::Done ? 1U : 0U));
        }
    };
    CHECK_PROPERTY("verdicts agree with the history", property);
}

// Guards against a change that is applied in parts, or without its deletions.
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

// Guards against a partly read configuration and a malformed head taken for valid ones.
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

// Guards against changes that the store refuses, overwrite the head or hide in odd names.
TEST(ConfigStore, UnusableChangesAreNotSent)
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

// Guards against two keepers that overwrite each other's ledger.
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
