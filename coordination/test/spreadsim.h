#ifndef ENDIVEQUAY_TEST_SPREADSIM_H
#define ENDIVEQUAY_TEST_SPREADSIM_H

#include "schedule.h"

#include "endivequay/configlog.h"
#include "endivequay/digest.h"
#include "endivequay/freshness.h"
#include "endivequay/membership.h"

#include <memory>
#include <random>

namespace endivequay::test {

using namespace std::chrono_literals;

struct SpreadSettings
{
    std::uint64_t seed = 1;
    int regions = 3;
    int domainsPerRegion = 2;
    int nodesPerDomain = 3;
    int changes = 20;
    Interval changeInterval = 2s;
    int faults = 0; ///< Number of faults at random instants.
    bool onlyOutages = false; ///< Otherwise faults are kills, partitions and store outages.
    bool replaceAll = false; ///< Each node is replaced once, one after another.
    int lossPercent = 2;
    int duplicatePercent = 2;
    Interval settleDuration = 15s; ///< Time without changes and faults at the end.
    ConfigLogSettings log;
};

struct SpreadResult
{
    Interval inForceMax {}; ///< Apply delay since acceptance, or since the end of a partition.
    Interval withdrawnKeyMax {}; ///< Keyed service of a node that lacks an accepted change.
    Interval cycleMax {}; ///< Longest time that sync sources formed a cycle.
    int lowerRevisions = 0;
    int falseConfirmations = 0; ///< For an instant at which the node lacked a change.
    int wrongDocuments = 0;
    int behindAtEnd = 0;
    int changesAccepted = 0;
    int kills = 0;
    int partitions = 0;
    int snapshotParts = 0;
    double keyedAvailability = 0; ///< Fraction of reachable node time with keyed routes served.
    double keyedDuringOutage = 0; ///< The same while the store was down.
    double storeCallsPerDomain = 0; ///< Per second.
};

/// Simulates the propagation of configuration changes through a fleet in virtual time. The nodes
/// use the coordination classes as the daemon does; there are a store, clock drift, message loss,
/// duplicates, reordering, kills and partitions.
class SpreadSimulation
{
public:
    explicit SpreadSimulation(SpreadSettings settings)
        : settings_(settings)
        , domains_(settings.regions * settings.domainsPerRegion)
        , random_(settings.seed)
        , storeLog_({ 100'000, 1u << 30, 1u << 30 })
        , partitionCounts_(index(domains_ + 1) * index(domains_ + 1))
        , reachableSince_(static_cast<std::size_t>(domains_), schedule_.now())
        , nodes_(static_cast<std::size_t>(domains_ * settings.nodesPerDomain))
    {
        for (int slot = 0; slot < slots(); ++slot)
            slotOf_.emplace(addressOf(slot), slot);
    }

    SpreadResult run()
    {
        for (int slot = 0; slot < slots(); ++slot)
            startNode(slot);
        const Interval warmUp = 15s;
        const Interval busy = settings_.changes * settings_.changeInterval;
        for (int i = 0; i < settings_.changes; ++i)
            schedule_.after(warmUp + i * settings_.changeInterval, [this] { acceptChange(); });
        for (int i = 0; i < settings_.faults; ++i)
            schedule_.after(warmUp + upTo(busy), [this] { injectFault(); });
        for (int slot = 0; settings_.replaceAll && slot < slots(); ++slot)
            schedule_.after(warmUp + busy * slot / slots(), [=, this] { kill(slot, 1s); });
        acceptChange();
        publishList();
        schedule_.runUntil(schedule_.now() + warmUp);
        started_ = schedule_.now();
        storeCalls_ = 0;
        sample();
        schedule_.runUntil(schedule_.now() + busy);
        schedule_.runUntil(schedule_.now() + settings_.settleDuration);
        return finish();
    }

private:
    struct Node
    {
        MemberIdentity identity;
        int slot = 0;
        int domain = 0;
        Instant startedAt; ///< Global time.
        Interval clockOffset {};
        long long driftPpm = 0;
        std::unique_ptr<Membership> membership;
        ConfigLog log;
        Freshness freshness;
        SyncSource source;
        std::uint64_t sequence = 0;
        std::uint64_t pullNumber = 0;
        std::map<std::uint64_t, Instant> pullSent;
        std::map<std::uint64_t, Instant> heartbeatSent;
        std::vector<Instant> openReads;
        std::optional<Instant> storeAnsweredAt;
        std::map<int, Incarnation> links; ///< Slot and incarnation of the peer.
        int ticks = 0;
        Revision checkedRevision;
        std::optional<Instant> checkedConfirmation;

        Node(ConfigLogSettings settings)
            : log(settings)
        { }
        Instant local(Instant global) const
        {
            const auto elapsed = global - startedAt;
            return startedAt + clockOffset + elapsed + elapsed / 1'000'000 * driftPpm;
        }
        Instant global(Instant local) const
        {
            const double elapsed = static_cast<double>((local - startedAt - clockOffset).count());
            return startedAt + Interval(static_cast<long long>(elapsed / (1 + 1e-6 * driftPpm)));
        }
    };
    using NodePtr = std::shared_ptr<Node>;

    int slots() const { return static_cast<int>(nodes_.size()); }
    int store() const { return domains_; }
    int regionOf(int domain) const
    {
        return domain == store() ? 0 : domain / settings_.domainsPerRegion;
    }
    int below(int limit) { return static_cast<int>(random_() % static_cast<unsigned>(limit)); }
    bool percent(int chance) { return below(100) < chance; }
    Interval upTo(Interval limit) { return Interval(random_() % limit.count()); }
    static std::string domainName(int domain) { return "domain-" + std::to_string(domain); }
    static Address addressOf(int slot)
    {
        return Address(
            "10.0." + std::to_string(slot / 200) + '.' + std::to_string(slot % 200 + 1) + ":7400");
    }
    int slotOf(const Address &address) const { return slotOf_.at(address); }
    /// Number of active partitions between the domains \a a and \a b; domains_ stands for the
    /// store.
    int &partitionCount(int a, int b)
    {
        return partitionCounts_[index(std::min(a, b)) * index(domains_ + 1)
            + index(std::max(a, b))];
    }
    Interval delay(int a, int b)
    {
        const Interval base = a == b ? 1ms : regionOf(a) == regionOf(b) ? 4ms : 30ms;
        return base + upTo(2 * base) + (percent(1) ? upTo(400ms) : Interval(0));
    }
    bool running(const NodePtr &node) const { return nodes_[index(node->slot)] == node; }
    static std::size_t index(int number) { return static_cast<std::size_t>(number); }

    /// Runs \a action at \a to after a delay, unless the message is lost, the domains are
    /// partitioned or the receiver has terminated.
    template <class Action>
    void send(int fromDomain, const NodePtr &to, Action action)
    {
        const auto deliver = [=, this] {
            if (running(to) && partitionCount(fromDomain, to->domain) == 0) {
                action();
                checkNode(*to);
            }
        };
        if (percent(settings_.lossPercent))
            return;
        if (percent(settings_.duplicatePercent))
            schedule_.after(delay(fromDomain, to->domain) + upTo(300ms), deliver);
        schedule_.after(delay(fromDomain, to->domain), deliver);
    }

    void startNode(int slot)
    {
        auto node = std::make_shared<Node>(settings_.log);
        node->slot = slot;
        node->domain = slot / settings_.nodesPerDomain;
        node->startedAt = schedule_.now();
        node->clockOffset = upTo(100h);
        node->driftPpm = below(1'001) - 500;
        node->identity = { Incarnation(random_() | 1),
            static_cast<std::uint64_t>(schedule_.now().time_since_epoch().count()), addressOf(slot),
            FailureDomainId(domainName(node->domain)) };
        node->membership = std::make_unique<Membership>(node->identity);
        std::map<FailureDomainId, RegionId> regions;
        for (int d = 0; d < domains_; ++d)
            regions.emplace(
                FailureDomainId(domainName(d)), RegionId("region-" + std::to_string(regionOf(d))));
        node->membership->setRegions(regions);
        node->membership->setListedInstances(list_, node->local(schedule_.now()));
        nodes_[index(slot)] = node;
        schedule_.after(upTo(250ms), [=, this] { tick(node); });
    }

    void tick(const NodePtr &node)
    {
        if (!running(node))
            return;
        const Instant now = node->local(schedule_.now());
        node->membership->tick(now);
        const bool reader = node->membership->isReader();
        if (node->ticks++ % 4 == 0)
            everySecond(node, reader, now);
        if (regionOf(node->domain) == 0) {
            for (Instant read : node->openReads)
                node->freshness.storeUnanswered(node->identity.incarnation, read, now);
            node->freshness.confirmByStoreSilence(
                node->membership->readersOf(RegionId("region-0")), now);
        }
        const bool silent = !node->storeAnsweredAt || now - *node->storeAnsweredAt >= 1500ms;
        if (node->ticks % 4 == 3 && !node->freshness.silences(now).empty()) {
            sendHeartbeats(node, now);
            if (reader)
                readStore(node, now);
        }
        if (reader && !silent)
            node->source.clear();
        else
            pull(node, now);
        checkNode(*node);
        schedule_.after(250ms, [=, this] { tick(node); });
    }

    void everySecond(const NodePtr &node, bool reader, Instant now)
    {
        maintainLinks(node, now);
        sendHeartbeats(node, now);
        for (const auto &[slot, incarnation] : node->links) {
            const auto peer = peerOn(slot, incarnation);
            const auto digest = node->membership->digestFor(addressOf(slot), now);
            if (peer && !digest.entries.empty())
                send(node->domain, peer, [=, this] {
                    peer->membership->digestReceived(digest, peer->local(schedule_.now()));
                });
        }
        std::erase_if(node->openReads, [&](Instant read) { return now - read > 3s; });
        if (reader)
            readStore(node, now);
    }

    void sendHeartbeats(const NodePtr &node, Instant now)
    {
        node->heartbeatSent[++node->sequence] = now;
        node->heartbeatSent.erase(node->sequence - 10);
        const Heartbeat heartbeat { {}, node->identity.incarnation, node->sequence,
            MemberState::Serving, node->log.revision(), node->freshness.age(now), {},
            node->source.path() };
        for (const auto &[slot, incarnation] : node->links) {
            if (const auto peer = peerOn(slot, incarnation))
                sendHeartbeat(node, peer, heartbeat);
        }
    }

    NodePtr peerOn(int slot, const Incarnation &incarnation) const
    {
        const auto &peer = nodes_[index(slot)];
        return peer && peer->identity.incarnation == incarnation ? peer : nullptr;
    }

    void sendHeartbeat(const NodePtr &node, const NodePtr &peer, const Heartbeat &heartbeat)
    {
        send(node->domain, peer, [=, this] {
            const Instant received = peer->local(schedule_.now());
            if (!peer->membership->heartbeatReceived(heartbeat, received))
                return;
            const auto silences = peer->freshness.silences(received);
            send(peer->domain, node, [=, this] {
                const auto sent = node->heartbeatSent.find(heartbeat.sequence);
                if (sent == node->heartbeatSent.end())
                    return;
                for (const auto &report : silences)
                    node->freshness.silenceReported(
                        report, sent->second, node->local(schedule_.now()));
            });
        });
    }

    void maintainLinks(const NodePtr &node, Instant now)
    {
        for (const auto &address : node->membership->silentLinks(now)) {
            node->membership->linkFailed(address, now);
            node->links.erase(slotOf(address));
        }
        for (const auto &address : node->membership->peersToConnect()) {
            const int slot = slotOf(address);
            const auto &peer = nodes_[index(slot)];
            if (node->links.contains(slot))
                continue;
            if (!peer || partitionCount(node->domain, peer->domain) > 0) {
                node->membership->linkFailed(address, now);
                continue;
            }
            send(node->domain, peer, [=, this, peer = peer] {
                if (!running(node) || node->links.contains(slot))
                    return;
                connect(*node, *peer);
                connect(*peer, *node);
            });
        }
    }

    void connect(Node &node, const Node &peer)
    {
        const Instant now = node.local(schedule_.now());
        node.membership->linkOpened(peer.identity.address, now);
        node.membership->helloReceived(peer.identity, now);
        node.links[peer.slot] = peer.identity.incarnation;
    }

    void readStore(const NodePtr &node, Instant now)
    {
        ++storeCalls_;
        node->openReads.push_back(now);
        if (partitionCount(node->domain, store()) > 0 || percent(settings_.lossPercent))
            return;
        schedule_.after(delay(node->domain, store()), [=, this] {
            if (storeDown_)
                return;
            const Revision head = storeLog_.revision();
            const auto update = storeLog_.changesSince(node->log.revision());
            send(store(), node, [=, this] {
                std::erase(node->openReads, now);
                applyFromStore(*node, update);
                node->freshness.storeAnswered(now, head);
                node->storeAnsweredAt = node->local(schedule_.now());
            });
        });
    }

    void applyFromStore(Node &node, const ConfigUpdate &update)
    {
        node.log.applyUpdate(update);
        node.freshness.applied(node.log.revision());
    }

    void pull(const NodePtr &node, Instant now)
    {
        const SyncNodeState self { node->identity.incarnation, node->log.revision(),
            node->freshness.confirmedAsOf() };
        const auto source = node->source.choose(self, node->membership->syncCandidates(), now);
        const Member *member = source ? node->membership->find(*source) : nullptr;
        if (member == nullptr)
            return;
        node->source.pullSent(now);
        node->pullSent[++node->pullNumber] = now;
        node->pullSent.erase(node->pullNumber - 40);
        const auto peer = peerOn(slotOf(member->identity.address), *source);
        if (!peer)
            return;
        send(node->domain, peer,
            [=, this, number = node->pullNumber, revision = node->log.revision(),
                cursor = node->log.cursor()] {
                const Instant asked = peer->local(schedule_.now());
                const ConfigReply reply { {}, number, peer->log.revision(),
                    peer->freshness.age(asked), peer->source.path(),
                    peer->freshness.silences(asked), peer->log.changesSince(revision, cursor) };
                send(peer->domain, node, [=, this] { applyReply(node, *source, reply); });
            });
    }

    void applyReply(const NodePtr &node, const Incarnation &source, const ConfigReply &reply)
    {
        const auto sent = node->pullSent.find(reply.number);
        if (sent == node->pullSent.end())
            return;
        const Instant now = node->local(schedule_.now());
        result_.snapshotParts += std::holds_alternative<SnapshotPart>(reply.update) ? 1 : 0;
        const auto result = node->log.applyUpdate(reply.update);
        node->freshness.applied(node->log.revision());
        if (reply.confirmedAge)
            node->freshness.peerAnswered(sent->second, *reply.confirmedAge, reply.revision);
        for (const auto &report : reply.silences)
            node->freshness.silenceReported(report, sent->second, now);
        node->source.replied(node->identity.incarnation, source, reply.syncPath, now);
        if (result == ApplyResult::Partial && node->source.current())
            pull(node, now);
    }

    void acceptChange()
    {
        if (storeDown_ || schedule_.now() > outageAt_ - 2s) {
            schedule_.after(1s, [this] { acceptChange(); });
            return;
        }
        const Revision revision(storeLog_.revision().value() + 1 + below(3));
        LoggedChange change { revision, storeLog_.revision(),
            ChangeId(std::to_string(revision.value())), {}, {} };
        for (int i = 1 + below(3); i > 0; --i)
            change.puts.emplace_back("doc" + std::to_string(below(40)),
                std::make_shared<const std::string>(
                    std::to_string(random_()) + std::string(index(below(200)), 'x')));
        if (percent(20))
            change.deletes.push_back("doc" + std::to_string(below(40)));
        storeLog_.applyChange(change);
        acceptedAt_[revision] = schedule_.now();
        digests_[revision] = digestOf(storeLog_.documents());
        for (const auto &node : nodes_) {
            if (!node || !node->membership->isReader() || partitionCount(store(), node->domain) > 0)
                continue;
            ++storeCalls_;
            send(store(), node, [=, this, node = node] {
                applyFromStore(*node, storeLog_.changesSince(node->log.revision()));
            });
        }
    }

    static std::uint64_t digestOf(const SharedDocuments &documents)
    {
        std::uint64_t digest = 0;
        for (const auto &[name, text] : documents)
            digest = hash64(name + '=' + *text, digest);
        return digest;
    }

    void publishList()
    {
        std::vector<ListedInstance> list;
        for (const auto &node : nodes_) {
            if (node)
                list.push_back({ node->identity.address, node->identity.domain, false });
        }
        // The platform's list is delayed by 5 s.
        schedule_.after(5s, [=, this] {
            list_ = list;
            for (const auto &node : nodes_) {
                if (node && partitionCount(node->domain, store()) == 0)
                    node->membership->setListedInstances(list, node->local(schedule_.now()));
            }
            publishList();
        });
        if (list_.empty()) {
            list_ = list;
            for (const auto &node : nodes_)
                node->membership->setListedInstances(list, node->local(schedule_.now()));
        }
    }

    void injectFault();
    /// Keeps the store reachable from one domain of its region: Freshness::confirmByStoreSilence()
    /// assumes that a store unreachable from all domains of its region is unreachable for all
    /// nodes.
    bool mayPartitionFromStore(int domain);
    void kill(int slot, Interval downTime);
    /// Partitions the domains for which \a inside holds from all others and the store.
    template <class Inside>
    void isolate(Inside inside, Interval length);
    void checkNode(Node &node);
    /// Measures every 50 ms how long the nodes lack accepted changes.
    void sample();
    /// Whether \a domain reaches the store directly or through another domain.
    bool reachesStore(int domain);
    void sampleNode(const Node &node);
    void sampleCycles();
    SpreadResult finish();

    const SpreadSettings settings_;
    const int domains_;
    std::mt19937_64 random_;
    Schedule schedule_;
    ConfigLog storeLog_;
    std::vector<int> partitionCounts_;
    std::vector<Instant> reachableSince_;
    std::vector<NodePtr> nodes_;
    std::map<Address, int> slotOf_;
    std::vector<ListedInstance> list_;
    std::map<Revision, Instant> acceptedAt_;
    std::map<Revision, std::uint64_t> digests_;
    bool storeDown_ = false;
    Instant outageAt_ = Instant::max();
    Instant started_;
    Instant lastWithoutCycle_ = schedule_.now();
    SpreadResult result_;
    long long samplings_ = 0;
    long long samples_ = 0;
    long long served_ = 0;
    long long outageSamples_ = 0;
    long long outageServed_ = 0;
    double storeCalls_ = 0;
};

} // namespace endivequay::test

#include "spreadchecks.h"

#endif
