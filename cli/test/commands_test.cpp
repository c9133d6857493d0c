#include "fakefleet.h"
#include "settings.h"

#include "endivequay/digest.h"

#include <fstream>

// CppUTest replaces "new" by a macro, so that it comes after all other headers.
#include "proptest.h"

using namespace endivequay;
using namespace std::chrono_literals;
using nlohmann::json;

TEST_GROUP(Commands)
{
    FakeFleet fleet;
    const std::string small = smallConfiguration().dump();

    void apply()
    {
        LONGS_EQUAL(0, fleet.run("apply", small));
    }

    /// Commits a change by another operator just before the next transaction of the tool.
    void commitConcurrentChange()
    {
        fleet.store.beforeNextTransaction([this] {
            ConfigStore store(fleet.store);
            const auto snapshot = store.readDocuments(fleet.clock.now() + 1s);
            Documents wanted = snapshot.value()->documents;
            json team = json::parse(wanted.at("teams/desk"));
            team["rate"] = team["rate"].get<int>() + 1;
            wanted["teams/desk"] = team.dump();
            const auto change
                = ConfigChange::between(*snapshot, wanted, ChangeId("other"), "burak");
            CHECK(store.submit(*change, fleet.clock.now() + 1s).outcome == WriteOutcome::Done);
        });
    }
};

// Guards against usage errors that are ignored, so that another command runs than was meant.
TEST(Commands, RefusesWrongArguments)
{
    for (const char *line : { "aply", "--json status", "apply --jsn", "check extra", "shift",
             "status --instances 10.0.0.7", "apply --wait soon", "apply --wait -1",
             "shift --service orders --from gulf --to ege --fraction nan", "key", "key withdraw",
             "drain", "drain u1 --instance 127.0.0.1:1", "completion zsh", "help nothing",
             "check --instances 10.0.0.7:80", "apply --wai 5" }) {
        LONGS_EQUAL_TEXT(2, fleet.run(line), line);
        CHECK_TEXT(!fleet.err.empty(), line);
    }
    CHECK(fleet.documents().empty());
    fleet.environment.clear();
    LONGS_EQUAL(2, fleet.run("status"));
    STRCMP_CONTAINS("ENDIVEQUAY_INSTANCES", fleet.err.c_str());
}

// Guards against commands, options or exit codes that are missing in the help or in docs/cli.md.
TEST(Commands, HelpAndPageCoverEverything)
{
    std::ifstream file(ENDIVEQUAY_DOCS "/cli.md");
    const std::string page { std::istreambuf_iterator<char>(file), {} };
    LONGS_EQUAL(0, fleet.run("help"));
    const std::string overview = fleet.out;
    LONGS_EQUAL(0, fleet.run("completion bash"));
    const std::string completion = fleet.out;
    for (const cli::CommandInfo &command : cli::allCommands()) {
        const std::string name(command.name);
        STRCMP_CONTAINS(name.c_str(), overview.c_str());
        STRCMP_CONTAINS(name.c_str(), completion.c_str());
        STRCMP_CONTAINS(("endivequay " + name).c_str(), page.c_str());
        LONGS_EQUAL(0, fleet.run(name + " --help"));
        const std::string byOption = fleet.out;
        LONGS_EQUAL(0, fleet.run("help " + name));
        CHECK(byOption == fleet.out);
        for (std::string_view option : command.options) {
            STRCMP_CONTAINS(("--" + std::string(option)).c_str(), fleet.out.c_str());
            STRCMP_CONTAINS(("--" + std::string(option)).c_str(), page.c_str());
        }
    }
}

// Guards against a check that accepts an invalid configuration or omits a warning.
TEST(Commands, CheckReportsFaultsAndWarnings)
{
    LONGS_EQUAL(0, fleet.run("check", small));
    STRCMP_CONTAINS("1 service,", fleet.out.c_str());
    STRCMP_CONTAINS("warning: teams/desk: has no key", fleet.err.c_str());
    json wrong = smallConfiguration();
    wrong["teams"][0]["burst"] = 0;
    LONGS_EQUAL(1, fleet.run("check --json", wrong.dump()));
    const json report = json::parse(fleet.out);
    STRCMP_EQUAL("teams[0].burst", report["errors"][0]["path"].get<std::string>().c_str());
    LONGS_EQUAL(1, fleet.run("apply", wrong.dump()));
    CHECK(fleet.documents().empty());
}

// Guards against a diff that omits a changed document or lists an unchanged one.
TEST(Commands, DiffNamesDocumentsAndFields)
{
    apply();
    LONGS_EQUAL(0, fleet.run("diff --exit-code", small));
    STRCMP_EQUAL("", fleet.out.c_str());
    json changed = smallConfiguration();
    changed["teams"][0]["rate"] = 60;
    changed["teams"].push_back({ { "id", "till" }, { "rate", 1 }, { "burst", 1 } });
    changed["upstreams"].clear();
    LONGS_EQUAL(6, fleet.run("diff --exit-code", changed.dump()));
    STRCMP_EQUAL(
        "~ teams/desk /rate: 50 -> 60\n+ teams/till\n- upstreams/orders\n", fleet.out.c_str());
    LONGS_EQUAL(0, fleet.run("diff", changed.dump()));
}

// Guards against an apply that ends before the change is in force, or does not report an
// unreachable instance.
TEST(Commands, ApplyWaitsForEveryReachableInstance)
{
    fleet.instances["127.0.0.1:1"].members.push_back("127.0.0.1:3");
    fleet.instances["127.0.0.1:3"].reachable = false;
    apply();
    CHECK(Revision(fleet.instances["127.0.0.1:2"].revision) == fleet.store.revision());
    STRCMP_CONTAINS("not reachable: 127.0.0.1:3", fleet.err.c_str());
    STRCMP_CONTAINS("in force on 2 instances", fleet.err.c_str());

    fleet.instances["127.0.0.1:2"].adoptsRevisions = false;
    json changed = smallConfiguration();
    changed["teams"][0]["rate"] = 60;
    const Instant start = fleet.clock.now();
    LONGS_EQUAL(5, fleet.run("apply --wait 5 --json", changed.dump()));
    STRCMP_CONTAINS("127.0.0.1:2", fleet.out.c_str());
    CHECK(fleet.clock.now() - start >= 5s);
    CHECK(fleet.clock.now() - start < 6s);
    DOUBLES_EQUAL(60, fleet.configuration().team(TeamId("desk"))->rate.value(), 0);
}

// Guards against an apply that overwrites another operator's change without an error.
TEST(Commands, ApplyReportsAConflict)
{
    apply();
    commitConcurrentChange();
    json changed = smallConfiguration();
    changed["teams"][0]["burst"] = 7;
    LONGS_EQUAL(3, fleet.run("apply", changed.dump()));
    STRCMP_CONTAINS("change other by burak", fleet.err.c_str());
    DOUBLES_EQUAL(100, fleet.configuration().team(TeamId("desk"))->burst.value(), 0);
}

// Guards against a lost response that is reported as a failure, and an outage that is reported as a
// change.
TEST(Commands, ApplyTellsLostAnswersFromOutages)
{
    fleet.store.loseResponses(1);
    apply();
    fleet.store.setDown(true);
    LONGS_EQUAL(4, fleet.run("apply", small));
    fleet.store.setDown(false);
    LONGS_EQUAL(0, fleet.run("apply", small));
    STRCMP_CONTAINS("nothing to change", fleet.err.c_str());
    LONGS_EQUAL(2, fleet.store.revision().value());
}

// Guards against an initial configuration too large for one transaction of the store.
TEST(Commands, ApplySplitsLargeLoads)
{
    json large = smallConfiguration();
    for (int i = 0; i < 250; ++i)
        large["teams"].push_back(
            { { "id", "t" + std::to_string(i) }, { "rate", 1 }, { "burst", 1 } });
    LONGS_EQUAL(0, fleet.run("apply", large.dump()));
    STRCMP_CONTAINS("change 3 of 3 accepted", fleet.err.c_str());
    LONGS_EQUAL(251, fleet.configuration().teams().size());
}

// Guards against an apply that moves a planned shift faster than the cap allows.
TEST(Commands, ApplyRefusesAJumpOfAPlannedShift)
{
    apply();
    json jump = smallConfiguration();
    jump["services"][0]["planned_shift"]
        = { { "from", "gulf" }, { "to", "ege" }, { "fraction", 1 } };
    LONGS_EQUAL(1, fleet.run("apply", jump.dump()));
    STRCMP_CONTAINS("endivequay shift", fleet.err.c_str());
    LONGS_EQUAL(2, fleet.store.revision().value());
}

// Guards against issued keys that do not authenticate their team, or that work after withdrawal.
TEST(Commands, KeysAreIssuedAndWithdrawn)
{
    apply();
    commitConcurrentChange();
    LONGS_EQUAL(0, fleet.run("key new --team desk --id k1 --json"));
    const json issued = json::parse(fleet.out);
    const auto digest = sha256Hex(issued["key"].get<std::string>());
    STRCMP_EQUAL(issued["sha256"].get<std::string>().c_str(), digest.c_str());
    const Configuration withKey = fleet.configuration();
    STRCMP_EQUAL("desk", withKey.teamByKeyDigest(digest)->team->id.value().c_str());
    DOUBLES_EQUAL(51, withKey.team(TeamId("desk"))->rate.value(), 0);
    for (const auto &[name, text] : fleet.documents())
        CHECK(text.find(issued["key"].get<std::string>()) == std::string::npos);

    LONGS_EQUAL(1, fleet.run("key new --team desk --id k1"));
    LONGS_EQUAL(1, fleet.run("key new --team nobody"));
    LONGS_EQUAL(0, fleet.run("key withdraw --team desk --id k1"));
    CHECK_FALSE(fleet.configuration().teamByKeyDigest(digest).has_value());
    LONGS_EQUAL(1, fleet.run("key withdraw --team desk --id k1"));
    const auto revision = fleet.store.revision();
    LONGS_EQUAL(0, fleet.run("key new"));
    CHECK(fleet.store.revision() == revision);
}

// Guards against a drain that is reported as finished while requests are in flight.
TEST(Commands, DrainWaitsForRequestsInFlight)
{
    apply();
    fleet.instances["127.0.0.1:2"].inFlight = 5;
    LONGS_EQUAL(0, fleet.run("drain u1"));
    LONGS_EQUAL(0, fleet.instances["127.0.0.1:2"].inFlight);
    CHECK(fleet.configuration().upstreams()[0].state == UpstreamState::Draining);
    LONGS_EQUAL(0, fleet.run("drain u1 --undo"));
    CHECK(fleet.configuration().upstreams()[0].state == UpstreamState::Active);
    fleet.instances["127.0.0.1:2"].inFlight = 1'000;
    LONGS_EQUAL(5, fleet.run("drain u1 --wait 10"));
    LONGS_EQUAL(1, fleet.run("drain u2"));
    LONGS_EQUAL(2, fleet.run("drain --instance 127.0.0.1:2"));
    fleet.environment["ENDIVEQUAY_SECRET"] = "s3cret";
    LONGS_EQUAL(0, fleet.run("drain --instance 127.0.0.1:2"));
    STRCMP_EQUAL(("127.0.0.1:2/v1/drain " + hmacSha256Hex("s3cret", "drain 127.0.0.1:2")).c_str(),
        fleet.posts.back().c_str());
}

// Guards against a shift, also one that is interrupted and resumed, that moves more than half of
// the cap within a window.
TEST(Commands, ShiftKeepsUnderTheCapInEveryWindow)
{
    apply();
    std::vector<std::pair<Instant, double>> history;
    fleet.onSleep = [&] {
        const Configuration now = fleet.configuration();
        const auto &shift = now.service(ServiceId("orders"))->plannedShift;
        history.emplace_back(fleet.clock.now(), shift ? shift->fraction : 0);
    };
    const std::string shift = "shift --service orders --from gulf --to ege --fraction ";
    LONGS_EQUAL(0, fleet.run(shift + "0.33"));
    LONGS_EQUAL(0, fleet.run(shift + "0.1"));
    LONGS_EQUAL(0, fleet.run(shift + "0.5 --json"));
    fleet.onSleep();
    DOUBLES_EQUAL(0.5, history.back().second, 0);
    // Instances apply a step up to 10 s apart and responses are cached for 2 s, which extends the
    // window of 60 s to 72 s.
    for (const auto &[end, last] : history) {
        for (const auto &[start, first] : history) {
            if (start <= end && end - start < 72s)
                CHECK(std::abs(last - first) <= 0.2 + 1e-9);
        }
    }
    LONGS_EQUAL(1, fleet.run("shift --service orders --from ege --to gulf --fraction 0.1"));
    STRCMP_CONTAINS("take it back to 0 first", fleet.err.c_str());
}

// Guards against a status that omits an unreachable instance or accepts a malformed response.
TEST(Commands, StatusShowsEveryKnownInstance)
{
    apply();
    fleet.instances["127.0.0.1:2"].reachable = false;
    LONGS_EQUAL(0, fleet.run("status"));
    STRCMP_CONTAINS("gulf-a", fleet.out.c_str());
    STRCMP_CONTAINS("not reachable: connection refused", fleet.out.c_str());
    STRCMP_CONTAINS("by asha", fleet.out.c_str());
    fleet.instances["127.0.0.1:1"].reachable = false;
    LONGS_EQUAL(4, fleet.run("status --json"));
    LONGS_EQUAL(1, json::parse(fleet.out)["instances"].size());
    for (const char *text : { "", "[]", "{}", "{\"state\":\"serving\",\"revision\":\"1\"}" })
        CHECK_FALSE(cli::parseStatus(text).hasValue());
}
