#include "fields.h"
#include "fixtures.h"

#include "endivequay/digest.h"
#include "endivequay/operators.h"

#include <chrono>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

// CppUTest replaces "new" by a macro, so that it comes after all other headers.
#include "proptest.h"

using namespace endivequay;
using nlohmann::json;
using namespace std::chrono_literals;

TEST_GROUP(Configuration) {
    /// Fails unless the fixture with \a value at \a pointer is rejected with one error, at \a path.
    void expectError(const char *pointer, const json &value, const char *path, const char *reason) {
        json changed = fixtures::complete();
changed[json::json_pointer(pointer)] = value;
std::vector<Error> errors;
CHECK_FALSE(Configuration::fromJson(changed.dump(), &errors).hasValue());
CHECK_FALSE(errors.empty());
STRCMP_EQUAL(path, errors.front().peer.c_str());
STRCMP_CONTAINS(reason, errors.front().reason.c_str());
LONGS_EQUAL(1, errors.size());
}
}
;

// Guards against fields that are lost in a round trip through documents or JSON.
TEST(Configuration, SurvivesDocumentsAndJsonUnchanged)
{
    const Configuration original = fixtures::read(fixtures::complete());
    LONGS_EQUAL(4, original.clientBlockCount());
    const Documents documents = original.toDocuments();
    const auto reread = Configuration::fromDocuments(documents);
    CHECK(reread.hasValue());
    CHECK(reread->toDocuments() == documents);
    const std::string text = original.toJson();
    CHECK(fixtures::read(json::parse(text)).toJson() == text);
    STRCMP_EQUAL(text.c_str(), reread.value()->toJson().c_str());

    const Service &service = *original.service(ServiceId("orders"));
    DOUBLES_EQUAL(100.25, service.plannedRate.value(), 0);
    CHECK(service.whenStale == WhenStale::Continue);
    CHECK(service.lookupLifetime == 1500ms);
    DOUBLES_EQUAL(2.5, Configuration::weight(service, FailureDomainId("gulf-a")), 0);
    DOUBLES_EQUAL(0.025, service.plannedShift->fraction, 0);
    CHECK(original.upstreams()[0].state == UpstreamState::Draining);
    CHECK(original.topology().regionDelays[0].delay == 20'500us);
}

// Guards against serialized bytes that depend on the input order, which would look like changes.
TEST(Configuration, EqualConfigurationsGiveTheSameBytes)
{
    json reordered = fixtures::complete();
    for (const char *list : { "regions", "failure_domains", "sites", "services" })
        std::reverse(reordered[list].begin(), reordered[list].end());
    std::reverse(
        reordered["services"][0]["routes"].begin(), reordered["services"][0]["routes"].end());
    std::swap(reordered["links"][0]["between"][0], reordered["links"][0]["between"][1]);
    std::swap(reordered["client_blocks"]["s1"][0], reordered["client_blocks"]["s1"][1]);
    CHECK(fixtures::read(reordered).toDocuments()
        == fixtures::read(fixtures::complete()).toDocuments());
}

// Guards against invalid values that are accepted, and against errors without the path of the
// field.
TEST(Configuration, RefusesWrongValuesAtTheirPath)
{
    expectError("/services/0/shift_cap/fraction", 1.5, "services[0].shift_cap.fraction", "0 to 1");
    expectError("/services/0/shift_cap/window_s", 1e300, "services[0].shift_cap.window_s", "large");
    expectError("/services/0/lookup_lifetime_ms", 3000, "services[0].lookup_lifetime_ms", "2000");
    expectError(
        "/services/0/routes/0/max_time_ms", 10001, "services[0].routes[0].max_time_ms", "10000");
    expectError("/services/0/routes/0/access", "open", "services[0].routes[0].access", "keyed");
    expectError("/services/0/routes/0/path", "/a/%2e", "services[0].routes[0].path", "escape");
    expectError("/services/0/routes/1/kind", "twice", "services[0].routes[1].kind", "once");
    expectError("/services/0/weights/ege-b", 1, "services[0].weights.ege-b", "no failure domain");
    expectError("/services/0/weights", { { "ege-a", 0 }, { "gulf-a", 0 } }, "services[0].weights",
        "above 0");
    expectError("/services/0/colour", "red", "services[0].colour", "not a known field");
    expectError("/services/0/planned_rate", "10", "services[0].planned_rate", "must be a number");
    expectError(
        "/upstreams/0/failure_domain", "x", "upstreams[0].failure_domain", "no failure domain");
    expectError("/upstreams/0/service", "x", "upstreams[0].service", "no service");
    expectError("/upstreams/0/slots", 1.5, "upstreams[0].slots", "whole");
    expectError("/upstreams/0/connections", 8, "upstreams[0].connections", "slots");
    expectError("/teams/0/burst", 0.5, "teams[0].burst", "must be from 1");
    expectError("/teams/0/rate", 0, "teams[0].rate", "above 0");
    expectError("/teams/0/keys/0/sha256", "xyz", "teams[0].keys[0].sha256", "64");
    expectError("/teams/0/keys/0/id", "K 1", "teams[0].keys[0].id", "characters");
    expectError("/regions/-", { { "id", "gulf" } }, "regions[2].id", "used twice");
    expectError("/links/0/between", { "gulf", "gulf" }, "links[0].between", "same region");
    expectError("/client_blocks/s2/0", "10.1.0.0/16", "client_blocks.s2", "listed twice");
    expectError("/client_blocks/s3", { "12.0.0.0/8" }, "client_blocks.s3", "no site");
    for (const char *network : { "10.1.0.1/16", "10.1.0/16", "10.1.0.0/33", "010.1.0.0/16", "" })
        expectError("/client_blocks/s2/0", network, "client_blocks.s2[0]", "");
    for (const char *address : { "10.0.0.7", "10.0.0.256:80", "10.0.0.7:0", "10.0.0.7:65536",
             "host:80", "0.0.0.0:80", "10.0.0.7:8 " })
        expectError("/upstreams/0/address", address, "upstreams[0].address", "address");
}

// Guards against a team without a rate limit because the rate is missing.
TEST(Configuration, RefusesMissingFields)
{
    for (const char *field : { "rate", "burst", "id" }) {
        json changed = fixtures::complete();
        changed["teams"][0].erase(field);
        const auto result = Configuration::fromJson(changed.dump());
        STRCMP_EQUAL(("teams[0]." + std::string(field)).c_str(), result.lastReason().peer.c_str());
        STRCMP_EQUAL("is missing", result.lastReason().reason.c_str());
    }
}

// Guards against a key that authenticates two teams, of which an instance would pick either.
TEST(Configuration, RefusesOneKeyInTwoTeams)
{
    json changed = fixtures::complete();
    changed["teams"].push_back(changed["teams"][0]);
    changed["teams"][1]["id"] = "till";
    const auto result = Configuration::fromJson(changed.dump());
    STRCMP_EQUAL("teams[1].keys[0].sha256", result.lastReason().peer.c_str());
    STRCMP_CONTAINS("\"desk\"", result.lastReason().reason.c_str());
}

// Guards against a report of only the first error, so that operators need one run per error.
TEST(Configuration, ReportsAllFaultsOnceEach)
{
    json changed = fixtures::complete();
    changed["regions"][0]["capacity"] = -1;
    changed["services"][0]["shift_cap"] = 7;
    changed["teams"][0]["burst"] = "many";
    std::vector<Error> errors;
    const auto result = Configuration::fromJson(changed.dump(), &errors);
    CHECK(result.lastReason() == errors.front());
    std::set<std::string> paths;
    for (const Error &error : errors)
        paths.insert(error.peer);
    CHECK(paths
        == (std::set<std::string> {
            "regions[0].capacity", "services[0].shift_cap", "teams[0].burst" }));
    LONGS_EQUAL(3, errors.size());
}

// Guards against a parser that keeps the last value of a duplicate key, or overflows the stack on
// nested brackets.
TEST(Configuration, RefusesAmbiguousAndHostileJson)
{
    for (const std::string text : { R"({"regions":[],"regions":[],"failure_domains":[]})", "{", "",
             "[]", "null", "{\"regions\":[],\"failure_domains\":[1e999]}", "\"\xff\"" })
        CHECK_FALSE(Configuration::fromJson(text).hasValue());
    CHECK_FALSE(Configuration::fromJson(std::string(1'000'000, '[')).hasValue());
}

// Guards against documents that the store or a peer would reject later.
TEST(Configuration, RefusesDocumentsThatAreTooLargeOrMisnamed)
{
    const std::string large = "{" + std::string(maximumDocumentBytes, ' ') + "}";
    STRCMP_CONTAINS("1000000",
        Configuration::fromDocuments({ { "regions", large } }).lastReason().reason.c_str());
    for (const char *name : { "head", "services/", "blocks/256", "blocks/01", "teams", "x/y" })
        STRCMP_EQUAL(
            name, Configuration::fromDocuments({ { name, "{}" } }).lastReason().peer.c_str());
    Documents documents = fixtures::read(fixtures::complete()).toDocuments();
    documents["teams/till"] = documents.extract("teams/desk").mapped();
    const auto result = Configuration::fromDocuments(documents);
    STRCMP_EQUAL("teams/till.id", result.lastReason().peer.c_str());
}

// Guards against a change of one document that parses all others again, or loses them.
TEST(Configuration, ChangeReadsOnlyItsDocuments)
{
    const Configuration base = fixtures::read(fixtures::complete());
    json team = json::parse(base.toDocuments().at("teams/desk"));
    team["rate"] = 60;
    const auto next = base.withChange({ { { "teams/desk", team.dump() } }, { "blocks/11" } });
    CHECK(next.hasValue());
    DOUBLES_EQUAL(60, next.value()->team(TeamId("desk"))->rate.value(), 0);
    DOUBLES_EQUAL(50, base.team(TeamId("desk"))->rate.value(), 0);
    POINTERS_EQUAL(base.clientBlocks().at(10).get(), next.value()->clientBlocks().at(10).get());
    LONGS_EQUAL(1, next.value()->clientBlocks().size());
    const auto rejected = base.withChange({ {}, { "services/orders" } });
    STRCMP_EQUAL("upstreams/orders.upstreams[0].service", rejected.lastReason().peer.c_str());
}

// Guards against a digest that matches no team, the wrong team or a team of another copy.
TEST(Configuration, FindsTeamsByKeyDigest)
{
    const Configuration configuration = fixtures::read(fixtures::complete());
    const auto owner = configuration.teamByKeyDigest(fixtures::digestA);
    CHECK(owner.has_value());
    STRCMP_EQUAL("desk", owner->team->id.value().c_str());
    STRCMP_EQUAL("k1", owner->key->id.c_str());
    CHECK_FALSE(configuration.teamByKeyDigest(fixtures::digestB).has_value());
    CHECK_FALSE(configuration.teamByKeyDigest("").has_value());
    const Configuration copy = configuration;
    POINTERS_EQUAL(&copy.teams()[0], copy.teamByKeyDigest(fixtures::digestA)->team);
}

// Guards against requests that reach a keyed path of an upstream through an open route.
TEST(Configuration, MatchesRoutesByWholeSegments)
{
    Service service;
    const auto add = [&](const char *method, const char *path) {
        service.routes.push_back({ method, path, Access::Keyed, RouteKind::Idempotent, 1s });
    };
    add("GET", "/bales");
    add("*", "/bales/private");
    add("GET", "/bales/private");
    const auto match = [&](const char *method, const char *path) -> const Route * {
        return matchRoute(service, method, path).route;
    };
    POINTERS_EQUAL(&service.routes[0], match("GET", "/bales"));
    POINTERS_EQUAL(&service.routes[0], match("GET", "/bales/7/"));
    POINTERS_EQUAL(&service.routes[2], match("GET", "/bales/private/7"));
    POINTERS_EQUAL(&service.routes[1], match("POST", "/bales/private"));
    POINTERS_EQUAL(&service.routes[0], match("GET", "/bales/privateer"));
    POINTERS_EQUAL(nullptr, match("GET", "/balesx"));
    POINTERS_EQUAL(nullptr, match("POST", "/bales"));
    for (const char *path : { "", "bales", "/bales/../orders", "/bales/.", "/bales/%2e%2e/orders",
             "/bales//x", "/bales/..;/x", "/bales\\x", "/bales?x=1", "/bales/\x01" })
        CHECK(matchRoute(service, "GET", path).outcome == RouteMatch::Outcome::BadPath);
}

// Guards against delays and bandwidth limits that depend on the direction.
TEST(Configuration, DelaysAndBudgetsAreSymmetric)
{
    const Configuration configuration = fixtures::read(fixtures::complete());
    const FailureDomainId a("gulf-a");
    const FailureDomainId b("ege-a");
    CHECK(configuration.delay(a, b) == 22ms);
    CHECK(configuration.delay(b, a) == 22ms);
    CHECK(configuration.delay(a, a) == 0ms);
    DOUBLES_EQUAL(5e8, *configuration.linkBudget(RegionId("ege"), RegionId("gulf")), 0);
    STRCMP_EQUAL("ege", configuration.regionOf(b).value().c_str());
    CHECK(configuration.regionOf(FailureDomainId("x")).value().empty());
}

// Guards against a reader that rejects the design size of 600,000 client blocks or needs more than
// 8 bytes per block.
TEST(Configuration, ReadsTheDesignSize)
{
    constexpr std::size_t count = 600'000;
    json value = fixtures::complete();
    value["client_blocks"] = json::object();
    for (std::uint32_t i = 0; i < count; ++i) {
        const std::uint32_t network = i * 6'000;
        value["client_blocks"][i % 2 == 0 ? "s1" : "s2"].push_back(
            std::to_string(1 + (network >> 24)) + "." + std::to_string(network >> 16 & 255) + "."
            + std::to_string(network >> 8 & 255) + "." + std::to_string(network & 240) + "/28");
    }
    const auto configuration = Configuration::fromJson(value.dump());
    CHECK(configuration.hasValue());
    LONGS_EQUAL(count, configuration.value()->clientBlockCount());
    LONGS_EQUAL(8, sizeof(ClientBlockEntry));
    std::size_t bytes = 0;
    for (const auto &[octet, group] : configuration.value()->clientBlocks())
        bytes += group->blocks.capacity() * sizeof(ClientBlockEntry);
    CHECK(bytes <= count * 8);
    const auto reread = Configuration::fromDocuments(configuration.value()->toDocuments());
    CHECK(reread.hasValue());
}

// Guards against a JSON schema, as used by editors, whose fields differ from the reader's.
TEST(Configuration, SchemaHasTheFieldsThatTheReaderKnows)
{
    std::ifstream file(ENDIVEQUAY_DOCS "/configuration.schema.json");
    const json schema = json::parse(file);
    std::set<std::string> objects;
    for (const detail::ObjectFields *fields : detail::allObjectFields()) {
        const std::string name(fields->objectName);
        const json &object = name == "configuration" ? schema : schema["$defs"][name];
        objects.insert(name);
        std::set<std::string> known(fields->required.begin(), fields->required.end());
        const std::set<std::string> required = object["required"];
        CHECK_TEXT(known == required, name.c_str());
        known.insert(fields->optional.begin(), fields->optional.end());
        std::set<std::string> documented;
        for (const auto &[field, unused] : object["properties"].items())
            documented.insert(field);
        CHECK_TEXT(known == documented, name.c_str());
        CHECK_TEXT(object["additionalProperties"] == false, name.c_str());
    }
    for (const auto &[name, definition] : schema["$defs"].items())
        CHECK_TEXT(!definition.contains("properties") || objects.contains(name), name.c_str());
}

// Guards against a JSON schema whose ranges or enum values differ from those that the reader
// accepts.
TEST(Configuration, SchemaHasTheRangesThatTheReaderAccepts)
{
    std::ifstream file(ENDIVEQUAY_DOCS "/configuration.schema.json");
    const json schema = json::parse(file);
    json base = fixtures::complete();
    base["services"][0]["routes"][0]["kind"] = "idempotent";
    base["upstreams"][0]["slots"] = 1;
    base["upstreams"][0]["connections"] = 1'000'000;
    const auto accepts = [&](const std::string &pointer, const json &value) {
        json changed = base;
        changed[json::json_pointer(pointer)] = value;
        return Configuration::fromJson(changed.dump()).hasValue();
    };
    int checked = 0;
    for (const auto &[name, pointer] : std::map<std::string, std::string> {
             { "region", "/regions/0" }, { "delay", "/region_delays/0" }, { "link", "/links/0" },
             { "service", "/services/0" }, { "shift_cap", "/services/0/shift_cap" },
             { "route", "/services/0/routes/0" }, { "upstream", "/upstreams/0" },
             { "planned_shift", "/services/0/planned_shift" }, { "team", "/teams/0" } }) {
        for (const auto &[field, rule] : schema["$defs"][name]["properties"].items()) {
            const std::string at = pointer + "/" + field;
            const json enumValues = rule.value("enum", json::array());
            for (const json &enumValue : enumValues)
                CHECK_TEXT(accepts(at, enumValue), at.c_str());
            checked += static_cast<int>(enumValues.size());
            if (!rule.contains("maximum"))
                continue;
            const double maximum = rule["maximum"];
            CHECK_TEXT(accepts(at, maximum) && !accepts(at, maximum * 1.01 + 1), at.c_str());
            const bool exclusive = rule.contains("exclusiveMinimum");
            const double minimum = rule[exclusive ? "exclusiveMinimum" : "minimum"];
            CHECK_TEXT(
                accepts(at, minimum) != exclusive && !accepts(at, minimum - 0.5), at.c_str());
            ++checked;
        }
    }
    // 17 enum values of five fields and 13 ranges.
    LONGS_EQUAL(17 + 13, checked);
}

// Guards against builders that print JSON which the reader rejects, or different bytes for the same
// input.
TEST(Configuration, BuildersPrintWhatTheReaderAccepts)
{
    using namespace operators;
    Fleet fleet;
    fleet.region("gulf").capacity(10).domain("gulf-a");
    auto service = fleet.service("orders").plannedRate(5).shiftCap(0.5, 60s);
    service.route(get("/x").open().within(1s)).route(post("/y").once()).weight("gulf-a", 2);
    fleet.upstream("orders", "o-1", "gulf-a", "127.0.0.1:9").slots(1).connections(1);
    fleet.team("desk").rate(1).burst(2).key("k", fixtures::digestA);
    fleet.clientBlock("10.0.0.0/8", "gulf-a");
    std::ostringstream first;
    std::ostringstream second;
    std::ostringstream faults;
    LONGS_EQUAL(0, print(fleet, first, faults));
    LONGS_EQUAL(0, print(fleet, second, faults));
    CHECK(first.str() == second.str());
    CHECK(Configuration::fromJson(first.str()).hasValue());
    fleet.clientBlock("10.0.0.1/8", "gulf-a");
    LONGS_EQUAL(1, print(fleet, first, faults));
    STRCMP_CONTAINS("client_blocks.gulf-a[1]: has bits after the prefix", faults.str().c_str());
}

// Guards against input bytes that crash the reader instead of being rejected.
TEST(Configuration, DamagedTextIsRefusedOrValid)
{
    const std::string original = fixtures::complete().dump();
    CHECK_PROPERTY("damage never crashes", [&](std::vector<std::pair<std::uint16_t, char>> damage) {
        std::string text = original;
        for (const auto &[position, byte] : damage)
            text[position % text.size()] = byte;
        std::vector<Error> errors;
        const auto result = Configuration::fromJson(text, &errors);
        RC_ASSERT(result.hasValue() == errors.empty());
    });
}
