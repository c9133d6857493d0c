#include "control.h"

#include "endivequay/codec.h"
#include "endivequay/freshness.h"
#include "endivequay/membership.h"
#include "endivequay/operations.h"

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <memory>
#include <random>

namespace endivequay::bench {

namespace {

using namespace std::chrono_literals;

constexpr Interval stepDuration = 250ms;
constexpr int warmUpSteps = 4 * 60;
constexpr int measuredSteps = 4 * 60;
// 53 steps of 250 ms are 13.25 s, or about 6,500 changes a day.
constexpr int stepsPerConfigChange = 53;

double threadCpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

/// Identities and regions of a fleet.
struct Fleet
{
    FleetSize size;
    std::vector<MemberIdentity> members;
    std::map<FailureDomainId, RegionId> regions;

    explicit Fleet(FleetSize fleetSize)
        : size(fleetSize)
    {
        std::mt19937_64 random(20261204);
        for (int i = 0; i < size.nodes; ++i) {
            const int domain = i * size.domains / size.nodes;
            const int region = domain * size.regions / size.domains;
            const FailureDomainId name(fmt::format("region-{}-{}", region, domain));
            regions[name] = RegionId(fmt::format("region-{}", region));
            members.push_back({ Incarnation(random() | 1), 1'700'000'000'000'000 + random() % 1'000,
                Address(fmt::format("10.{}.{}.{}:7400", region, i / 250, i % 250 + 1)), name });
        }
    }

    /// Membership view of \a self that has received a digest of all members.
    std::unique_ptr<Membership> view(const MemberIdentity &self, Instant now) const
    {
        auto membership = std::make_unique<Membership>(self);
        membership->setRegions(regions);
        MemberDigest all { self.incarnation, {} };
        for (const auto &member : members)
            all.entries.push_back({ member, 1, MemberState::Serving, 0ms });
        membership->digestReceived(all, now);
        return membership;
    }
};

/// A node of the sampled domain, or an external peer whose cost is not counted.
struct Node
{
    MemberIdentity identity;
    std::unique_ptr<Membership> membership;
    ConfigLog log;
    Freshness freshness;
    SyncSource source;
    bool isSampled = false;
    int heartbeatStep = 0; ///< Step within each second in which it sends heartbeats.
    std::uint64_t sequence = 1;
    std::uint64_t pullNumber = 0;
    std::map<std::uint64_t, Instant> pullSent;
    std::vector<std::pair<Node *, std::string>> inbox;
    std::vector<std::pair<Node *, std::string>> outbox;
    std::vector<Node *> links;
    double cpuSeconds = 0;
    double sent = 0;
    double received = 0;
    double messages = 0;

    void send(Node *to, const Message &message) { outbox.emplace_back(to, encode(message)); }
};

class ControlSimulation
{
public:
    explicit ControlSimulation(const Fleet &fleet)
        : fleet_(fleet)
    {
        const FailureDomainId domain
            = fleet.members[static_cast<std::size_t>(fleet.size.nodes / 2)].domain;
        for (const auto &member : fleet.members) {
            if (member.domain == domain)
                add(member, true);
        }
        connectSample();
        connectExternalReaders();
        const LoggedChange first { Revision(1), Revision(0), ChangeId("first"), {}, {} };
        for (auto &[address, node] : nodes_) {
            node->log.applyChange(first);
            node->freshness.applied(Revision(1));
        }
    }

    ControlCost run()
    {
        for (int i = 0; i < warmUpSteps; ++i)
            advance(i);
        for (auto &[address, node] : nodes_)
            node->cpuSeconds = node->sent = node->received = node->messages = 0;
        for (int i = 0; i < measuredSteps; ++i)
            advance(warmUpSteps + i);
        return cost();
    }

private:
    Node *add(const MemberIdentity &identity, bool isSampled)
    {
        auto &node = nodes_[identity.address];
        if (!node) {
            node = std::make_unique<Node>();
            node->identity = identity;
            node->membership = fleet_.view(identity, now_);
            node->isSampled = isSampled;
            node->heartbeatStep = static_cast<int>(nodes_.size() % 4);
            // External peers rotate their digests over all their links, including unsimulated ones.
            for (const auto &address : node->membership->peersToConnect()) {
                if (!isSampled)
                    node->membership->linkOpened(address, now_);
            }
        }
        return node.get();
    }

    void connect(Node *a, Node *b)
    {
        if (std::ranges::find(a->links, b) != a->links.end())
            return;
        for (auto [from, to] : { std::pair(a, b), std::pair(b, a) }) {
            from->links.push_back(to);
            from->membership->linkOpened(to->identity.address, now_);
            from->membership->helloReceived(to->identity, now_);
        }
    }

    const MemberIdentity &memberAt(const Address &address) const
    {
        return *std::ranges::find(fleet_.members, address, &MemberIdentity::address);
    }

    void connectSample()
    {
        std::vector<Node *> sample;
        sample.reserve(nodes_.size());
        for (auto &[address, node] : nodes_)
            sample.push_back(node.get());
        for (Node *node : sample) {
            for (const auto &address : node->membership->peersToConnect())
                connect(node, add(memberAt(address), false));
        }
    }

    /// Connects the links that readers of other domains open to nodes of the sampled domain.
    void connectExternalReaders()
    {
        const auto all = fleet_.view(fleet_.members.front(), now_);
        for (const auto &[domain, region] : fleet_.regions) {
            for (const auto &reader : all->readers(domain)) {
                const auto &identity
                    = *std::ranges::find(fleet_.members, reader, &MemberIdentity::incarnation);
                const auto view = fleet_.view(identity, now_);
                for (const auto &address : view->peersToConnect()) {
                    const auto found = nodes_.find(address);
                    if (found != nodes_.end() && found->second->isSampled)
                        connect(add(identity, false), found->second.get());
                }
            }
        }
    }

    void advance(int stepIndex)
    {
        now_ += stepDuration;
        if (stepIndex % stepsPerConfigChange == 0)
            ++headRevision_;
        for (auto &[address, node] : nodes_) {
            const double before = threadCpuSeconds();
            handleInbox(*node);
            runStep(*node, stepIndex);
            node->cpuSeconds += threadCpuSeconds() - before;
        }
        deliver();
    }

    void deliver()
    {
        for (auto &[address, node] : nodes_) {
            for (auto &[to, bytes] : node->outbox) {
                node->sent += static_cast<double>(bytes.size());
                to->received += static_cast<double>(bytes.size());
                ++node->messages;
                to->inbox.emplace_back(node.get(), std::move(bytes));
            }
            node->outbox.clear();
        }
    }

    void runStep(Node &node, int stepIndex)
    {
        node.membership->tick(now_);
        const bool reader = node.membership->isReader();
        if (stepIndex % 4 == node.heartbeatStep)
            sendHeartbeats(node, reader);
        if (!reader && node.isSampled)
            pull(node);
    }

    void sendHeartbeats(Node &node, bool reader)
    {
        if (node.isSampled)
            (void)node.membership->peersToConnect();
        if (reader)
            simulateStoreRead(node);
        const Heartbeat heartbeat { { wallMicros(), 0 }, node.identity.incarnation, ++node.sequence,
            MemberState::Serving, node.log.revision(), node.freshness.age(now_), { 20, 40, 3 },
            node.source.path() };
        for (Node *peer : node.links) {
            node.send(peer, heartbeat);
            auto digest = node.membership->digestFor(peer->identity.address, now_);
            if (!digest.entries.empty())
                node.send(peer, std::move(digest));
        }
    }

    /// Simulates a store read that returns the head and the changes up to it.
    void simulateStoreRead(Node &node)
    {
        while (node.log.revision().value() < headRevision_) {
            const std::int64_t next = node.log.revision().value() + 1;
            node.log.applyChange(
                { Revision(next), Revision(next - 1), ChangeId(std::to_string(next)),
                    { { "teams/" + std::to_string(next % 8),
                        std::make_shared<const std::string>(std::string(2'000, 'x')) } },
                    {} });
        }
        node.freshness.applied(node.log.revision());
        node.freshness.storeAnswered(now_, node.log.revision());
        node.source.clear();
    }

    void pull(Node &node)
    {
        const SyncNodeState self { node.identity.incarnation, node.log.revision(),
            node.freshness.confirmedAsOf() };
        const auto source = node.source.choose(self, node.membership->syncCandidates(), now_);
        const Member *member = source ? node.membership->find(*source) : nullptr;
        if (member == nullptr)
            return;
        node.source.pullSent(now_);
        node.pullSent[++node.pullNumber] = now_;
        node.send(nodes_.at(member->identity.address).get(),
            ConfigPull { node.pullNumber, node.log.revision(), node.log.cursor() });
    }

    void handleInbox(Node &node)
    {
        for (const auto &[from, bytes] : std::exchange(node.inbox, {})) {
            const auto message = decode(bytes);
            if (const auto *heartbeat = std::get_if<Heartbeat>(&*message)) {
                node.membership->heartbeatReceived(*heartbeat, now_);
                node.send(
                    from, HeartbeatEcho { heartbeat->sequence, node.freshness.silences(now_) });
            } else if (const auto *digest = std::get_if<MemberDigest>(&*message)) {
                node.membership->digestReceived(*digest, now_);
            } else if (const auto *asked = std::get_if<ConfigPull>(&*message)) {
                node.send(from,
                    ConfigReply { { wallMicros(), 0 }, asked->number, node.log.revision(),
                        node.freshness.age(now_), node.source.path(), node.freshness.silences(now_),
                        node.log.changesSince(asked->revision, asked->cursor) });
            } else if (const auto *reply = std::get_if<ConfigReply>(&*message)) {
                applyReply(node, from->identity.incarnation, *reply);
            }
        }
    }

    void applyReply(Node &node, const Incarnation &source, const ConfigReply &reply)
    {
        const auto sent = node.pullSent.extract(reply.number);
        node.log.applyUpdate(reply.update);
        node.freshness.applied(node.log.revision());
        if (sent && reply.confirmedAge)
            node.freshness.peerAnswered(sent.mapped(), *reply.confirmedAge, reply.revision);
        node.source.replied(node.identity.incarnation, source, reply.syncPath, now_);
    }

    std::int64_t wallMicros() const
    {
        return 1'700'000'000'000'000 + now_.time_since_epoch() / 1us;
    }

    ControlCost cost() const
    {
        const double seconds = toSeconds(measuredSteps * stepDuration);
        ControlCost cost;
        int count = 0;
        for (const auto &[address, node] : nodes_) {
            if (!node->isSampled)
                continue;
            ++count;
            cost.meanSentRate += node->sent / seconds;
            cost.meanCpuPercent += 100 * node->cpuSeconds / seconds;
            cost.worstCpuPercent = std::max(cost.worstCpuPercent, 100 * node->cpuSeconds / seconds);
            cost.worstTotalRate
                = std::max(cost.worstTotalRate, (node->sent + node->received) / seconds);
            if (node->sent / seconds > cost.worstSentRate) {
                cost.worstSentRate = node->sent / seconds;
                cost.sentMessageRate = node->messages / seconds;
                cost.worstLinks = static_cast<int>(node->links.size());
            }
        }
        cost.meanSentRate /= count;
        cost.meanCpuPercent /= count;
        return cost;
    }

    const Fleet &fleet_;
    Instant now_ { 1h };
    std::int64_t headRevision_ = 1;
    std::map<Address, std::unique_ptr<Node>> nodes_;
};

double heartbeatMicros(const Fleet &fleet)
{
    constexpr int rounds = 20'000;
    const Instant now { 1h };
    const auto view = fleet.view(fleet.members.front(), now);
    Heartbeat heartbeat;
    heartbeat.incarnation = fleet.members.back().incarnation;
    const double before = threadCpuSeconds();
    for (int i = 1; i <= rounds; ++i) {
        heartbeat.sequence = static_cast<std::uint64_t>(i);
        view->heartbeatReceived(std::get<Heartbeat>(*decode(encode(heartbeat))), now + i * 1us);
    }
    return (threadCpuSeconds() - before) / rounds * 1e6;
}

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Fills the log with 256 documents of 600,000 client blocks in all, a full change ring and a
/// snapshot that is being served.
void fillLog(ConfigLog &log)
{
    constexpr int blocksPerDocument = 600'000 / 256;
    const auto document = [](std::int64_t octet) {
        std::string text;
        for (int i = 0; i < blocksPerDocument; ++i)
            text += fmt::format(
                R"({{"prefix":"{}.{}.{}.0/24","site":"s{}"}},)", octet, i / 250, i % 250, i % 270);
        return std::make_shared<const std::string>(std::move(text));
    };
    SharedDocuments documents;
    for (int octet = 0; octet < 256; ++octet)
        documents.emplace(fmt::format("blocks/{}", octet), document(octet));
    log.applySnapshot(Revision(1), ChangeId("load"), std::move(documents));
    (void)log.changesSince(Revision(0));
    for (std::int64_t i = 1; i <= 1'024; ++i)
        log.applyChange({ Revision(i + 1), Revision(i), ChangeId(std::to_string(i)),
            { { fmt::format("blocks/{}", i % 256), document(i % 256) } }, {} });
}

void fillOperations(OperationTable &table)
{
    const Instant now { 1h };
    const OperationSettings settings;
    for (int team = 0; table.records() < settings.maxRecords; ++team) {
        const TeamId id(fmt::format("team-{}", team));
        for (auto issued = table.issue(id, now); issued; issued = table.issue(id, now)) {
            const auto decision = table.begin((*issued).id, id, "digest", now);
            if (const auto *run = std::get_if<RunOperation>(&decision))
                (void)table.finish(
                    run->handle, Outcome::Done, { 200, {}, std::string(1'000, 'x') }, now);
        }
    }
}

} // namespace

ControlCost measureControlCost(FleetSize size)
{
    const Fleet fleet(size);
    ControlCost cost = ControlSimulation(fleet).run();
    cost.heartbeatMicros = heartbeatMicros(fleet);
    return cost;
}

std::size_t measureControlMemory(FleetSize size)
{
    const Fleet fleet(size);
    const std::size_t before = heapBytes();
    const auto membership = fleet.view(fleet.members.front(), Instant(1h));
    ConfigLog log;
    fillLog(log);
    OperationTable operations(Incarnation(1), Address("10.0.0.1:7400"), "secret");
    fillOperations(operations);
    return heapBytes() - before;
}

} // namespace endivequay::bench
