#include "commands.h"
#include "fakefleet.h"

#include "endivequay/etcdstore.h"
#include "endivequay/standins.h"
#include "endivequay/upstreamclient.h"

// CppUTest replaces "new" by a macro, so that it comes after all other headers.
#include "proptest.h"

using namespace endivequay;
using nlohmann::json;

namespace {

/// Runs \a arguments against the store at \a address over the network.
int runAt(const Address &address, std::vector<std::string> arguments, const std::string &input,
    std::string &out)
{
    std::optional<EtcdStore> store;
    const cli::StoreConnector connect
        = [&](cli::Backend &backend, const cli::Settings &) -> Status {
        store.emplace(*EtcdStore::create({ { address } }));
        cli::useStore(backend, *store);
        return Done {};
    };
    std::istringstream in(input);
    std::ostringstream outStream;
    std::ostringstream errStream;
    const auto code = cli::run(arguments, [](const std::string &) { return std::nullopt; },
        cli::networkBackend(), connect, { in, outStream, errStream });
    out = outStream.str();
    return static_cast<int>(code);
}

} // namespace

TEST_GROUP(Network) {};

// Guards against faults that appear only over a real connection to the store: a change split over
// transactions, a lost response, and a store that is down.
TEST(Network, AppliesToAStoreOverHttp)
{
    const auto standin = startStoreStandin(Address("127.0.0.1:0"));
    CHECK(standin.hasValue());
    const Address address = standin.value()->address();
    const auto control = [&](const json &value) {
        UpstreamRequest request;
        request.address = address;
        request.method = "POST";
        request.path = "/control";
        request.body = value.dump();
        request.deadline = SteadyClock().now() + std::chrono::seconds(30);
        LONGS_EQUAL(200, UpstreamClient().send(request).status);
    };
    json large = smallConfiguration();
    for (int i = 0; i < 150; ++i)
        large["teams"].push_back(
            { { "id", "t" + std::to_string(i) }, { "rate", 1 }, { "burst", 1 } });
    std::string out;
    LONGS_EQUAL(0, runAt(address, { "apply", "--json" }, large.dump(), out));
    LONGS_EQUAL(2, json::parse(out)["changes"].get<int>());
    LONGS_EQUAL(0, runAt(address, { "diff", "--exit-code" }, large.dump(), out));
    control({ { "lose_next_answer", true } });
    LONGS_EQUAL(0, runAt(address, { "apply" }, smallConfiguration().dump(), out));
    LONGS_EQUAL(0, runAt(address, { "diff", "--exit-code" }, smallConfiguration().dump(), out));
    control({ { "down", true } });
    LONGS_EQUAL(4, runAt(address, { "diff" }, smallConfiguration().dump(), out));
}

// Guards against unreachable instances that prevent the report on the others.
TEST(Network, AsksManyInstancesAtOnce)
{
    std::vector<Address> addresses;
    for (int port = 1; port <= 100; ++port)
        addresses.emplace_back("127.0.0.1:" + std::to_string(port));
    const auto standin = startStoreStandin(Address("127.0.0.1:0"));
    addresses.push_back(standin.value()->address());
    const auto responses = cli::networkBackend().fetch(addresses, "/control/counts");
    LONGS_EQUAL(101, responses.size());
    CHECK(responses.back().hasValue());
    CHECK_FALSE(responses.front().hasValue());
}
