// Asio must be included before CppUTest, whose memory macros break it.
#include "endivequay/entrynode.h"

#include "proptest.h"

using namespace endivequay;
using namespace std::chrono_literals;

namespace {

const Address anyPort("127.0.0.1:0");
constexpr auto waitTimeout = 5s; ///< For events that must happen.

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

    /// A member whose heartbeat address is the test's socket.
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

    std::optional<PeerMessage> receiveMessage()
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
    void waitUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + waitTimeout;
        while (!condition()) {
            CHECK(std::chrono::steady_clock::now() < end);
            loop.run_for(5ms);
            loop.restart();
        }
    }
};

// Guards against a restarted instance that announces itself only with its next regular heartbeat,
// and against suspicion of a peer that sends messages other than heartbeats.
TEST(EntryCore, PeersHearOfAnInstanceWithItsFirstState)
{
    core.sendHeartbeat(std::nullopt); // No peer is known yet.
    core.applyState(state(1));
    core.sendHeartbeat(std::nullopt);
    std::optional<PeerMessage> heartbeat;
    waitUntil([&] { return (heartbeat = receiveMessage()).has_value(); });
    const auto *first = std::get_if<PeerHeartbeat>(&*heartbeat);
    CHECK(first != nullptr);
    STRCMP_EQUAL("self", first->id.value().c_str());

    const TokenMessage tokenRequest { false, InstanceId("p0"), DemandKey(1), 1 };
    peer.send_to(asio::buffer(encodeTokenMessage(tokenRequest)), sender);
    waitUntil(
        [&] { return core.peers().peers().at(InstanceId("p0")).lastMessageAt != Instant {}; });
}

// Guards against datagrams that are dropped without a metric: two incompatible versions would look
// like a broken network.
TEST(EntryCore, UnreadableMessagesAreCounted)
{
    core.applyState(state(1));
    core.sendHeartbeat(std::nullopt);
    waitUntil([&] { return receiveMessage().has_value(); });
    peer.send_to(asio::buffer(std::string("no message")), sender);
    waitUntil([&] {
        return core.metricsResponse().body.find("endivequay_peer_messages_failed_total")
            != std::string::npos;
    });
}

// Guards against reserves that are sized before the members are known: right after a restart of the
// whole fleet, a keeper would have only the share for the minimum number of members.
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
    core.applyState(first);
    int largestGrant = 0;
    for (const TeamSettings &team : document.teams)
        largestGrant = std::max(
            largestGrant, core.engine().grantTokens(demandKey(team.id), 1000, core.now()));
    // The reserve is 0.6 * 0.9 of the bucket depth; the depth is 0.6 of what a quota window allows
    // beyond the refill.
    const double depth = 0.6 * ((500 * 5 + 500) * 1.1 + 20 - (500 * 5 + 0.4 * 500));
    CHECK(largestGrant >= 0.9 * 0.6 * 0.9 * depth);
}

// Guards against a state request that is answered with other changes than it asked for.
TEST(EntryCore, StateRequestsNeedAWholeNumber)
{
    ReplicaUpdate update;
    update.isSnapshot = true;
    update.asOf = StorePosition(Revision(7));
    core.replica().apply(update);
    const auto status = [&](const std::string &after) {
        HttpMessage request;
        request.target = "/v1/state?after=" + after;
        return core.stateResponse(request).status;
    };
    LONGS_EQUAL(200, status("5"));
    for (const std::string after : { "5x", "-1", "", "99999999999999999999" })
        LONGS_EQUAL(400, status(after));
}
