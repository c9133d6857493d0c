#include "fleet.h"

#include "endivequay/digest.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <numeric>
#include <unordered_set>

using namespace endivequay;
using namespace endivequay::test;

namespace {

const FailureDomainId domain("d0");
const ResourceId tokens("team/a");
const ResourceId slots("slots/u1");
constexpr std::int64_t totalTokens = 16;
constexpr int totalSlots = 4;

/// How often each kind of fault and use may still happen.
struct Budget
{
    int losses = 0, duplicates = 0, crashes = 0, restarts = 0, pauses = 0;
    int loans = 0, uses = 0;
    std::size_t spendUntil = 3; ///< Time step from which nothing of it may happen any more.
};

std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    return hash64(std::string_view(reinterpret_cast<const char *>(&b), sizeof b), a);
}

/// All instances, messages in flight and the store at one moment.
///
/// Instances are deterministic, so the history of its inputs identifies the state of each.
struct World
{
    struct Node
    {
        Incarnation id;
        Address address;
        InstanceShares shares;
        Keeper keeper;
        Instant heardAt;
        std::uint64_t history = 0;
        std::uint64_t sent = 0; ///< Messages since the last input.
        bool crashed = false;
        bool paused = false;
    };
    struct Flight
    {
        std::size_t to = 0;
        Incarnation from;
        std::variant<ShareMessage, LedgerSnapshot, LedgerWrite> content;
        std::uint64_t identity = 0;
        std::size_t sentAt = 0; ///< Step.
    };
    struct Use
    {
        std::size_t node = 0;
        SlotLease lease;
        Instant deadline;
    };

    std::vector<Node> nodes;
    std::vector<Flight> network;
    std::vector<Use> uses;
    LedgerSnapshot stored { Revision(1), CellLedger(domain) };
    Instant now { seconds(100) };
    std::size_t step = 0;
    Budget budget;
    std::string violation;

    Node &add(std::uint64_t id, const std::string &address)
    {
        nodes.push_back(
            { Incarnation(id), Address(address), InstanceShares(domain, Incarnation(id), now),
                Keeper(domain, Incarnation(id), now), now, id });
        nodes.back().shares.define(
            { ResourceDefinition::team(
                  tokens, RequestRate(4), RequestCount(totalTokens), { domain }),
                ResourceDefinition::slots(slots, SlotCount(totalSlots), domain) },
            now, RaiseRule::Immediate);
        apply(nodes.size() - 1, stored, now);
        return nodes.back();
    }
    void own(std::size_t node, std::size_t first, std::size_t end)
    {
        CellSet cells;
        for (std::size_t cell = first; cell < end; ++cell)
            cells.set(cell);
        stored.ledger.assign(cells, nodes[node].id, { nodes[node].address, true });
    }
    void apply(std::size_t node, const LedgerSnapshot &snapshot, Instant startedAt)
    {
        nodes[node].shares.applyLedger(snapshot, startedAt, now);
        nodes[node].keeper.applyLedger(snapshot);
        input(node, static_cast<std::uint64_t>(snapshot.revision.value()));
    }
    /// Enough requests for a lasting demand, so that rate is borrowed and renewed.
    void demand(std::size_t node)
    {
        for (int request = 0; request < 8; ++request)
            nodes[node].shares.rates().tryAcquire(tokens, RequestCount(1), now);
    }
    /// Uses all slots for as long as a request may take.
    void use(std::size_t node)
    {
        input(node, 3);
        demand(node);
        const Instant deadline = now + maxRequestTime;
        while (const auto lease = nodes[node].shares.slots().acquire(slots, deadline, now))
            uses.push_back({ node, *lease, deadline });
    }
    void askSlot(std::size_t node)
    {
        input(node, 2);
        send(node, nodes[node].shares.slots().wantLoan(slots, 1, now));
    }
    /// Delivers everything at once.
    void settle()
    {
        while (!network.empty()) {
            const Flight flight = network.front();
            network.erase(network.begin());
            deliver(flight);
        }
    }
    bool runs(std::size_t node) const { return !nodes[node].crashed && !nodes[node].paused; }

    void input(std::size_t node, std::uint64_t what)
    {
        nodes[node].history = mix(mix(nodes[node].history, what), step);
        nodes[node].sent = 0;
    }
    void send(std::size_t from, const std::vector<ShareOutgoing> &out)
    {
        for (const ShareOutgoing &message : out) {
            const auto to = std::ranges::find(nodes, message.to, &Node::id);
            post(from, static_cast<std::size_t>(to - nodes.begin()), message.message);
        }
    }
    template <class Content>
    void post(std::size_t from, std::size_t to, const Content &content)
    {
        const std::uint64_t identity = mix(nodes[from].history, ++nodes[from].sent);
        network.push_back({ to, nodes[from].id, content, identity, step });
    }
    void deliver(const Flight &flight)
    {
        if (const auto *write = std::get_if<LedgerWrite>(&flight.content)) {
            if (stored.revision == write->basedOn)
                stored = { Revision(stored.revision.value() + 1), write->ledger };
            return;
        }
        input(flight.to, flight.identity);
        Node &node = nodes[flight.to];
        const auto &message = std::get<ShareMessage>(flight.content);
        if (const auto *report = std::get_if<CellReleased>(&message)) {
            node.keeper.onCellReleased(*report);
            think(flight.to);
        }
        send(flight.to, node.shares.onMessage(flight.from, message, now));
    }
    void think(std::size_t index)
    {
        std::vector<LedgerMember> members;
        for (const Node &node : nodes)
            members.push_back({ node.id, node.address, node.heardAt, false });
        PlatformList list { {}, now };
        for (const Node &node : nodes) {
            if (!node.crashed)
                list.addresses.insert(node.address);
        }
        const KeeperActions actions = nodes[index].keeper.tick(now, members, list);
        send(index, actions.messages);
        if (actions.write)
            post(index, 0, *actions.write);
        send(index, nodes[index].shares.tick(now, keeperOf(domain, members, now)));
    }
    void advance(Interval interval)
    {
        now += interval;
        ++step;
        // Later arrivals are left out, which bounds the number of states.
        std::erase_if(network, [&](const Flight &flight) {
            return flight.sentAt + 2 <= step || nodes[flight.to].crashed;
        });
        const auto ended = [&](const Use &use) {
            if (use.deadline <= now)
                nodes[use.node].shares.slots().release(use.lease, now);
            return use.deadline <= now;
        };
        std::erase_if(uses, ended);
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (!runs(i))
                continue;
            nodes[i].heardAt = now;
            input(i, 7);
            think(i);
            apply(i, stored, now);
        }
    }
    void check()
    {
        Allotment held;
        std::int64_t tokenSum = 0;
        CellSet used;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (!runs(i))
                continue;
            InstanceShares &shares = nodes[i].shares;
            const RateAccount account = shares.rates().account(tokens, now);
            held += account.effective;
            tokenSum += account.tokens;
            if ((used & shares.owner().usableCells(now)).any())
                violation = "a cell is used by two instances";
            used |= shares.owner().usableCells(now);
        }
        if (held.rate > 4'000'000 || held.burst > totalTokens * 1'000'000
            || tokenSum > totalTokens * 1'000'000)
            violation = "the instances hold more than the total";
        if (uses.size() > totalSlots)
            violation = "slots in use above the limit";
    }
    std::uint64_t key() const
    {
        std::vector<std::uint64_t> parts { step,
            static_cast<std::uint64_t>(stored.revision.value()), uses.size() };
        for (const int left : { budget.losses, budget.duplicates, budget.crashes, budget.restarts,
                 budget.pauses, budget.loans, budget.uses })
            parts.push_back(static_cast<std::uint64_t>(left));
        for (const Node &node : nodes)
            parts.push_back(mix(node.history, (node.crashed ? 2U : 0U) + (node.paused ? 1U : 0U)));
        const std::size_t fixed = parts.size();
        for (const Flight &flight : network)
            parts.push_back(flight.identity);
        std::sort(parts.begin() + static_cast<long>(fixed), parts.end());
        return std::accumulate(parts.begin(), parts.end(), std::uint64_t { 1 }, &mix);
    }
};

/// Explores all orders of deliveries, faults, uses and time steps, breadth first.
class Explorer
{
public:
    Explorer(World first, std::vector<Interval> steps, std::size_t maxStates)
        : steps_(std::move(steps))
        , maxStates_(maxStates)
    {
        visit(std::move(first));
    }

    void run(const char *name)
    {
        while (!queue_.empty() && violation_.empty()) {
            const World world = std::move(queue_.front());
            queue_.pop_front();
            expand(world);
        }
        std::printf("%s: explored %zu states, %zu of %zu time steps, %s\n", name, seen_.size(),
            step_, steps_.size(), seen_.size() < maxStates_ ? "complete" : "stopped at the bound");
    }
    const std::string &violation() const { return violation_; }
    std::size_t states() const { return seen_.size(); }

private:
    void visit(World world)
    {
        if (seen_.size() >= maxStates_ || !seen_.insert(world.key()).second)
            return;
        world.check();
        step_ = world.step;
        if (!world.violation.empty())
            violation_ = world.violation;
        queue_.push_back(std::move(world));
    }
    /// Visits the state after \a action if the budget member \a left allows it.
    template <class Action>
    void spend(const World &world, int Budget::*left, const Action &action)
    {
        if (world.budget.*left == 0 || world.step >= world.budget.spendUntil)
            return;
        World next = world;
        --(next.budget.*left);
        action(next);
        visit(std::move(next));
    }
    void expand(const World &world)
    {
        for (std::size_t i = 0; i < world.network.size(); ++i)
            expandFlight(world, i);
        for (std::size_t i = 0; i < world.nodes.size(); ++i)
            expandNode(world, i);
        if (world.step < steps_.size()) {
            World next = world;
            next.advance(steps_[world.step]);
            visit(std::move(next));
        }
    }
    void expandFlight(const World &world, std::size_t index)
    {
        const World::Flight &flight = world.network[index];
        const auto remove = [&](World &next) {
            next.network.erase(next.network.begin() + static_cast<long>(index));
        };
        const bool toStore = std::holds_alternative<LedgerWrite>(flight.content);
        if (toStore || world.runs(flight.to)) {
            World next = world;
            remove(next);
            next.deliver(flight);
            visit(std::move(next));
            spend(world, &Budget::duplicates, [&](World &copy) { copy.deliver(flight); });
        }
        spend(world, &Budget::losses, remove);
    }
    void expandNode(const World &world, std::size_t i)
    {
        if (world.nodes[i].paused) {
            World next = world;
            next.nodes[i].paused = false;
            visit(std::move(next));
        }
        if (!world.runs(i))
            return;
        if (world.nodes[i].shares.owner().revision() < world.stored.revision) {
            World next = world;
            next.apply(i, world.stored, world.now);
            visit(std::move(next));
        }
        spend(world, &Budget::pauses, [&](World &next) { next.nodes[i].paused = true; });
        spend(world, &Budget::crashes, [&](World &next) { next.nodes[i].crashed = true; });
        if (world.nodes[i].id == Incarnation(1)) {
            spend(world, &Budget::restarts, [&](World &next) {
                next.nodes[i].crashed = true;
                next.add(9, next.nodes[i].address.value());
            });
            return;
        }
        // The other instances borrow from the first one and use what they have.
        spend(world, &Budget::loans, [&](World &next) {
            next.input(i, 1);
            next.demand(i);
            next.send(i, next.nodes[i].shares.rates().wantLoan(tokens, RequestCount(9), next.now));
        });
        spend(world, &Budget::uses, [&](World &next) { next.use(i); });
    }

    std::vector<Interval> steps_;
    std::size_t maxStates_;
    std::size_t step_ = 0;
    std::deque<World> queue_;
    std::unordered_set<std::uint64_t> seen_;
    std::string violation_;
};

/// Instance 1 owns the first cells up to \a split, instance 2 the rest.
World pair(std::size_t split, const Budget &budget)
{
    World world;
    world.add(1, "10.0.0.1:1");
    world.add(2, "10.0.0.2:1");
    world.own(0, 0, split);
    world.own(1, split, cellsPerDomain);
    world.stored.revision = Revision(2);
    for (std::size_t i = 0; i < world.nodes.size(); ++i)
        world.apply(i, world.stored, world.now);
    for (int i = 0; i < 8; ++i)
        world.advance(seconds(1));
    world.network.clear();
    world.step = 0;
    world.budget = budget;
    return world;
}

/// As pair(); instance 2 has borrowed a slot of instance 1 and uses it and its own ones.
World withSlotsInUse(const Budget &budget)
{
    World world = pair(60, budget);
    world.askSlot(1);
    world.settle();
    world.use(1);
    return world;
}

void explore(const char *name, World world, std::vector<Interval> steps)
{
    Explorer explorer(std::move(world), std::move(steps), 20'000);
    explorer.run(name);
    STRCMP_EQUAL("", explorer.violation().c_str());
}

} // namespace

TEST_GROUP(SharesExploration) {};

// Guards against tokens or rate that exist twice around the end, renewal or return of a loan.
TEST(SharesExploration, LoanUnderLoss)
{
    Budget budget;
    budget.losses = budget.loans = budget.uses = 1;
    budget.spendUntil = 4;
    const std::vector<Interval> steps { milliseconds(20), milliseconds(2000), milliseconds(2000),
        milliseconds(990), milliseconds(30), milliseconds(20), milliseconds(40) };
    explore("loan", pair(60, budget), steps);
}

// Guards against a loan that is granted, taken or returned twice because a message is repeated.
TEST(SharesExploration, LoanUnderDuplicates)
{
    Budget budget;
    budget.duplicates = 1;
    budget.loans = budget.uses = 1;
    const std::vector<Interval> steps { milliseconds(20), milliseconds(300), milliseconds(3700),
        milliseconds(990), milliseconds(60) };
    explore("loan with duplicates", pair(60, budget), steps);
}

// Guards against a cell or its tokens in use by the former and the next owner during a join, also
// when two keepers act, messages are lost and a loan is under way.
TEST(SharesExploration, JoinWithLoan)
{
    Budget budget;
    budget.losses = budget.loans = 1;
    budget.spendUntil = 2;
    World world = pair(cellsPerDomain, budget);
    const std::vector<Interval> steps { milliseconds(50), milliseconds(1000), milliseconds(2000),
        milliseconds(2500) };
    explore("join with loan", std::move(world), steps);
}

// Guards against two owners after a pause, and against release reports that outlive the ledger
// revision they were made for.
TEST(SharesExploration, JoinWithPauseAndSlots)
{
    Budget budget;
    budget.pauses = 1;
    budget.spendUntil = 1;
    World world = withSlotsInUse(budget);
    world.add(3, "10.0.0.3:1");
    const std::vector<Interval> steps { milliseconds(1000), milliseconds(2500), milliseconds(9000),
        milliseconds(1500), milliseconds(3000) };
    explore("join with pause and slots", std::move(world), steps);
}

// Guards against slots in use twice when an owner ends while its slots are lent or in use.
TEST(SharesExploration, RestartWithSlotLoan)
{
    Budget budget;
    budget.restarts = 1;
    budget.spendUntil = 1;
    const std::vector<Interval> steps(6, milliseconds(4500));
    explore("restart with slot loan", withSlotsInUse(budget), steps);
}

// Guards against tokens that exist twice when an owner ends while its rate is lent.
TEST(SharesExploration, RestartWithLoan)
{
    Budget budget;
    budget.restarts = budget.loans = 1;
    budget.spendUntil = 2;
    // The first steps are short, because an idle borrower returns its loan.
    const std::vector<Interval> steps { milliseconds(50), milliseconds(150), milliseconds(100),
        milliseconds(700), milliseconds(2000), milliseconds(2200) };
    explore("restart with loan", pair(60, budget), steps);
}
