// CppUTest's memory macros clash with Asio, so Asio goes first.
#include "endivequay/entrynode.h"

#include "proptest.h"

using namespace endivequay;
using namespace std::chrono_literals;

namespace {

const Address anyPort("127.0.0.1:0");
constexpr auto patience = 5s; ///< For what must happen.

EntrySettings settings()
{
    EntrySettings result;
    result.name = InstanceId("self");
    result.domain = FailureDomainId("w-a");
    result.region = RegionId("w");
    result.regions = { { FailureDomainId("w-a"), RegionId("w") } };
    result.callers = result.control = result.heartbeats = anyPort;
    result.logLinesPerSecond = 0;
    result.quota = { 0.1, 20, 5s };
    return result;
}

} // namespace

TEST_GROUP(EntryCore)
{
    asio::io_context loop;
    EntryCore core { settings(), loop };
    asio::ip::udp::socket peer { loop, { asio::ip::make_address("127.0.0.1"), 0 } };
    asio::ip::udp::endpoint sender;

    void setup() override
    {
        CHECK(core.listen({}).hasValue());
    }

    /// A member whose heartbeats arrive at the test.
    MemberRecord member(const std::string &id) const
    {
        const Address heartbeats("127.0.0.1:" + std::to_string(peer.local_endpoint().port()));
        return { InstanceId(id), FailureDomainId("w-a"), RegionId("w"), anyPort, anyPort,
            heartbeats, 1 };
    }

    ControlState state(int members) const
    {
        ControlState result;
        for (int i = 0; i < members; ++i)
            result.members.push_back(member("p" + std::to_string(i)));
        return result;
    }

    std::optional<PeerMessage> received()
    {
        peer.non_blocking(true);
        std::array<char, 4096> buffer {};
        asio::error_code error;
        const std::size_t size = peer.receive_from(asio::buffer(buffer), sender, 0, error);
        if (error)
            return std::nullopt;
        const auto message = decodePeerMessage({ buffer.data(), size });
        return message ? std::optional(*message) : std::nullopt;
    }

    template <class Condition>
    void until(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!condition()) {
            CHECK(std::chrono::steady_clock::now() < end);
            loop.run_for(5ms);
            loop.restart();
        }
    }
};

// Guards against peers that learn of a restarted instance only with its next regular heartbeat, and
// against a sender of messages that is taken for silent.
TEST(EntryCore, PeersHearOfAnInstanceWithItsFirstState)
{
    core.beat(std::nullopt); // Nobody is known yet.
    core.adopt(state(1));
    core.beat(std::nullopt);
    std::optional<PeerMessage> heartbeat;
    until([&] { return (heartbeat = received()).has_value(); });
    const auto *first = std::get_if<PeerBeat>(&*heartbeat);
    CHECK(first != nullptr);
    STRCMP_EQUAL("self", first->id.value().c_str());

    const TokenMessage question { false, InstanceId("p0"), DemandKey(1), 1 };
    peer.send_to(asio::buffer(encodeTokenMessage(question)), sender);
    until([&] { return core.peers().peers().at(InstanceId("p0")).messageAt != Instant {}; });
}

// Guards against datagrams that are dropped without a trace: two versions that do not understand
// each other would look like a broken network.
TEST(EntryCore, UnreadableMessagesAreCounted)
{
    core.adopt(state(1));
    core.beat(std::nullopt);
    until([&] { return received().has_value(); });
    peer.send_to(asio::buffer(std::string("no message")), sender);
    until([&] {
        return core.metricsPage().body.find("endivequay_peer_messages_failed_total")
            != std::string::npos;
    });
}

// Guards against reserves that are made before the members are known: a keeper then has only the
// part of the few that the deployment has at least, right after a restart of all.
TEST(EntryCore, FirstDivisionOfTheLimitsCountsAllMembers)
{
    RoutingDocument document;
    document.version = ConfigVersion(1);
    document.keysRequired = true;
    for (int i = 0; i < 200; ++i)
        document.teams.push_back({ TeamId("t" + std::to_string(i)), { "k" + std::to_string(i) }, {},
            RequestRate(500), RequestCount(500), {} });
    auto table = RoutingTable::create(document);
    CHECK(table.hasValue());
    ControlState first = state(19);
    first.table = std::make_shared<const RoutingTable>(*std::move(table));
    core.adopt(first);
    int most = 0;
    for (const TeamSettings &team : document.teams)
        most = std::max(most, core.engine().grantTokens(demandKey(team.id), 1000, core.now()));
    // 0.6 of 0.9 of the depth, which is 0.6 of what a window allows beyond the refill.
    const double depth = 0.6 * ((500 * 5 + 500) * 1.1 + 20 - (500 * 5 + 0.4 * 500));
    CHECK(most >= 0.9 * 0.6 * 0.9 * depth);
}
