#ifndef ENDIVEQUAY_TEST_FLEET_H
#define ENDIVEQUAY_TEST_FLEET_H

#include "endivequay/shares.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <queue>
#include <random>
#include <string>

namespace endivequay::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Checks that there are at most burst + rate * w admissions in every window w.
///
/// This is equivalent to a token bucket whose level never falls below zero.
class BucketChecker
{
public:
    /// Sets the limit from \a now on. A raised burst adds no tokens, because the instances must not
    /// create any.
    void setLimit(Allotment limit, Instant now)
    {
        refill(now);
        level_ = started_ ? std::min(level_, fromMillionths(limit.burst))
                          : fromMillionths(limit.burst);
        started_ = true;
        limit_ = limit;
    }
    void admit(double count, Instant now)
    {
        refill(now);
        level_ -= count;
        excess_ = std::max(excess_, -level_);
        ++admitted_;
    }
    /// Largest number of admissions above the limit in any window.
    double excess() const { return excess_ < 1e-6 ? 0 : excess_; }
    int admitted() const { return admitted_; }

private:
    static double fromMillionths(std::int64_t amount) { return static_cast<double>(amount) / 1e6; }
    void refill(Instant now)
    {
        const double gained = fromMillionths(limit_.rate) * toSeconds(now - at_);
        level_ = std::min(level_ + gained, fromMillionths(limit_.burst));
        at_ = now;
    }

    Allotment limit_;
    double level_ = 0;
    double excess_ = 0;
    Instant at_ {};
    int admitted_ = 0;
    bool started_ = false;
};

/// Delays and faults of the simulated network. The last three are fractions.
struct Network
{
    std::function<Interval(const FailureDomainId &, const FailureDomainId &)> delay;
    double jitter = 0; ///< Maximum addition to a delay, as a fraction of it.
    double loss = 0;
    double duplicate = 0;
};

/// Simulates instances, network, store and the platform's list in virtual time. Each instance has
/// its own clock offset, so that the use of another instance's time leads to visible errors.
class Fleet
{
public:
    struct Node
    {
        FailureDomainId domain;
        Address address;
        Incarnation id;
        Interval offset;
        InstanceShares shares;
        Keeper keeper;
        std::map<Incarnation, LedgerMember> members {};
        std::size_t version = 0;
        bool leaving = false;
        bool crashed = false;
        Instant pausedUntil {};
    };
    using Definitions = std::vector<ResourceDefinition>;

    Fleet(std::uint64_t seed, Network network, std::vector<FailureDomainId> domains, int perDomain,
        const Definitions &definitions)
        : random(seed)
        , network_(std::move(network))
        , domains_(std::move(domains))
    {
        versions_.push_back({ now, definitions });
        for (const FailureDomainId &domain : domains_) {
            ledgers_[domain] = { Revision(), CellLedger(domain) };
            for (int i = 0; i < perDomain; ++i)
                start(domain, Address(domain.value() + ":" + std::to_string(i)), true);
        }
    }

    /// Starts an instance. \a atBoot means that no older definition can be in use.
    Node &start(const FailureDomainId &domain, const Address &address, bool atBoot)
    {
        const Interval offset = seconds(1000 * (nodes.size() + 1));
        const Incarnation id(random() | 1);
        const Instant local = now + offset;
        nodes.push_back(std::make_unique<Node>(Node { domain, address, id, offset,
            InstanceShares(domain, id, local), Keeper(domain, id, local) }));
        Node &node = *nodes.back();
        node.version = versions_.size() - 1;
        node.shares.define(versions_.back().definitions, local,
            atBoot ? RaiseRule::Immediate : RaiseRule::Delayed);
        platformList_[address] = Instant::max();
        at(now + uniform(milliseconds(100)), [this, &node] { tick(node); });
        at(now + uniform(milliseconds(100)), [this, &node] { secondTick(node); });
        return node;
    }

    void crash(Node &node, Interval listLag)
    {
        node.crashed = true;
        platformList_[node.address] = now + listLag;
    }
    void pause(Node &node, Interval interval) { node.pausedUntil = now + interval; }
    void pauseUnlisted(Node &node, Interval interval)
    {
        pause(node, interval);
        platformList_[node.address] = now;
        at(now + interval,
            [this, address = node.address] { platformList_[address] = Instant::max(); });
    }
    void leave(Node &node)
    {
        node.leaving = true;
        node.shares.leave(local(node));
    }
    void interruptStore(Interval interval) { storeDownUntil_ = now + interval; }
    /// Publishes a new configuration. Every running instance adopts it within 3.5 s.
    void configure(const Definitions &definitions)
    {
        versions_.push_back({ now, definitions });
        for (const auto &node : nodes)
            onNode(
                *node, uniform(milliseconds(3500)), [this, &node = *node] { adoptVersions(node); });
    }

    /// True if the node serves keyed requests: it is not crashed or paused, and its configuration
    /// was replaced less than 4 s ago, if at all.
    bool serves(const Node &node) const
    {
        const auto newer = node.version + 1;
        return !node.crashed && now >= node.pausedUntil
            && (newer >= versions_.size() || now < versions_[newer].acceptedAt + seconds(4));
    }
    /// Maximum of \a measure over the definitions of \a resource that may be in use; replaced ones
    /// may be in use for \a after.
    template <class Measure>
    auto highest(const ResourceId &resource, Interval after, Measure measure) const
    {
        decltype(measure(ResourceDefinition())) best {};
        for (std::size_t i = 0; i < versions_.size(); ++i) {
            if (i + 1 < versions_.size() && versions_[i + 1].acceptedAt + after < now)
                continue;
            for (const ResourceDefinition &definition : versions_[i].definitions) {
                if (definition.id == resource)
                    best = std::max(best, measure(definition));
            }
        }
        return best;
    }

    void send(Node &from, const std::vector<ShareOutgoing> &out)
    {
        for (const ShareOutgoing &message : out)
            sendOne(from, message);
    }

    Instant local(const Node &node) const { return now + node.offset; }
    void at(Instant time, std::function<void()> action)
    {
        events_.push({ time, ++lastEvent_, std::move(action) });
    }
    /// Runs \a action after \a delay, or when the node's pause ends; not at all if the node
    /// crashed.
    void onNode(Node &node, Interval delay, std::function<void()> action)
    {
        at(now + delay, [this, &node, action = std::move(action)] {
            if (node.crashed)
                return;
            if (now < node.pausedUntil)
                onNode(node, node.pausedUntil - now + uniform(milliseconds(5)), action);
            else
                action();
        });
    }
    void run(Interval interval)
    {
        const Instant end = now + interval;
        while (!events_.empty() && events_.top().time <= end) {
            const Event event = events_.top();
            events_.pop();
            now = event.time;
            event.action();
            if (afterEvent)
                afterEvent();
        }
        now = end;
    }
    Interval uniform(Interval limit)
    {
        return Interval(static_cast<Interval::rep>(unit() * static_cast<double>(limit.count())));
    }
    double unit() { return std::uniform_real_distribution<double>(0, 1)(random); }

    Instant now { seconds(10) };
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Node>> nodes;
    std::function<void(Node &)> onTokens; ///< Called when a loan reply arrives.
    std::function<void()> afterEvent;
    std::uint64_t messages = 0;
    std::uint64_t writes = 0;

private:
    struct Event
    {
        Instant time;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::pair(time, number) > std::pair(other.time, other.number);
        }
    };
    struct Version
    {
        Instant acceptedAt;
        Definitions definitions;
    };

    Interval delay(const FailureDomainId &from, const FailureDomainId &to)
    {
        const Interval base = network_.delay(from, to);
        return base + fromSeconds(toSeconds(base) * network_.jitter * unit());
    }
    void sendOne(Node &from, const ShareOutgoing &message)
    {
        const auto to
            = std::ranges::find_if(nodes, [&](const auto &node) { return node->id == message.to; });
        if (to == nodes.end())
            return;
        ++messages;
        const int copies = unit() < network_.duplicate ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (unit() < network_.loss)
                continue;
            onNode(**to, delay(from.domain, (*to)->domain),
                [this, &node = **to, sender = from.id, content = message.message] {
                    deliver(node, sender, content);
                });
        }
    }
    void deliver(Node &node, Incarnation sender, const ShareMessage &message)
    {
        if (const auto *report = std::get_if<CellReleased>(&message))
            node.keeper.onCellReleased(*report);
        send(node, node.shares.onMessage(sender, message, local(node)));
        if (std::holds_alternative<LoanReply>(message) && onTokens)
            onTokens(node);
    }
    std::vector<LedgerMember> members(Node &node)
    {
        node.members[node.id] = { node.id, node.address, local(node), node.leaving };
        std::vector<LedgerMember> list;
        for (const auto &[id, member] : node.members)
            list.push_back(member);
        return list;
    }
    void tick(Node &node)
    {
        const auto keeper = keeperOf(node.domain, members(node), local(node));
        send(node, node.shares.tick(local(node), keeper));
        onNode(node, milliseconds(100), [this, &node] { tick(node); });
    }
    void secondTick(Node &node)
    {
        heartbeat(node);
        read(node);
        PlatformList list { {}, local(node) };
        for (const auto &[address, until] : platformList_) {
            if (now < until)
                list.addresses.insert(address);
        }
        const KeeperActions actions = node.keeper.tick(local(node), members(node), list);
        send(node, actions.messages);
        if (actions.write)
            write(node, *actions.write);
        onNode(node, seconds(1), [this, &node] { secondTick(node); });
    }
    void heartbeat(Node &from)
    {
        for (const auto &node : nodes) {
            if (node->domain != from.domain || node.get() == &from || unit() < network_.loss)
                continue;
            const LedgerMember member { from.id, from.address, {}, from.leaving };
            onNode(*node, delay(from.domain, node->domain), [this, &node = *node, member] {
                node.members[member.incarnation] = member;
                node.members[member.incarnation].lastSeenAt = local(node);
            });
        }
    }
    void read(Node &node)
    {
        const Instant startedAt = local(node);
        at(now + milliseconds(5) + uniform(milliseconds(20)), [this, &node, startedAt] {
            if (now < storeDownUntil_)
                return;
            const auto ledgers = ledgers_;
            onNode(node, uniform(milliseconds(20)),
                [this, &node, startedAt, ledgers] { apply(node, startedAt, ledgers); });
        });
    }
    void apply(
        Node &node, Instant startedAt, const std::map<FailureDomainId, LedgerSnapshot> &ledgers)
    {
        node.shares.applyLedger(ledgers.at(node.domain), startedAt, local(node));
        node.keeper.applyLedger(ledgers.at(node.domain));
        std::vector<DomainOwners> others;
        for (const FailureDomainId &domain : domains_) {
            if (domain != node.domain)
                others.push_back({ domain, ledgers.at(domain).ledger });
        }
        std::ranges::stable_sort(others, {},
            [&](const DomainOwners &other) { return network_.delay(node.domain, other.domain); });
        node.shares.setOtherOwners(std::move(others));
    }
    void write(Node &from, const LedgerWrite &write)
    {
        ++writes;
        at(now + uniform(milliseconds(50)), [this, domain = from.domain, write] {
            LedgerSnapshot &stored = ledgers_.at(domain);
            if (now < storeDownUntil_ || stored.revision != write.basedOn)
                return;
            const Result<CellLedger> parsed = CellLedger::fromJson(write.ledger.toJson());
            stored = { Revision(++lastRevision_), *parsed };
            for (const auto &node : nodes)
                onNode(*node, uniform(milliseconds(50)), [this, &node = *node] { read(node); });
        });
    }
    void adoptVersions(Node &node)
    {
        while (node.version + 1 < versions_.size())
            node.shares.define(versions_[++node.version].definitions, local(node));
    }

    Network network_;
    std::vector<FailureDomainId> domains_;
    std::priority_queue<Event> events_;
    std::uint64_t lastEvent_ = 0;
    std::vector<Version> versions_;
    std::map<FailureDomainId, LedgerSnapshot> ledgers_;
    std::map<Address, Instant> platformList_;
    Instant storeDownUntil_ {};
    std::int64_t lastRevision_ = 0;
};

} // namespace endivequay::test

#endif
