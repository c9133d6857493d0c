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

/// How often each kind of fault and use may still occur in a state's successors.
struct Budget
{
    int losses = 0, duplicates = 0, crashes = 0, restarts = 0, pauses = 0;
    int loans = 0, uses = 0;
    std::size_t endStep = 3; ///< Time step from which none of them occurs any more.
};

std::uint64_t combineHashes(std::uint64_t a, std::uint64_t b)
{
    return hash64(std::string_view(reinterpret_cast<const char *>(&b), sizeof b), a);
}

/// State of the model: all instances, the messages in flight and the store.
///
/// Instances are deterministic, so the hash of an instance's inputs identifies its state.
struct SystemState
{
    struct Node
    {
        Incarnation id;
        Address address;
        InstanceShares shares;
        Keeper keeper;
        Instant lastSeenAt;
        std::uint64_t history = 0;
        std::uint64_t sent = 0; ///< Messages sent since the last input.
        bool crashed = false;
        bool paused = false;
    };
    struct InFlightMessage
    {
        std::size_t to = 0;
        Incarnation from;
        std::variant<ShareMessage, LedgerSnapshot, LedgerWrite> content;
        std::uint64_t identity = 0;
        std::size_t sentAt = 0; ///< Time step.
    };
    struct Use
    {
        std::size_t node = 0;
        SlotLease lease;
        Instant deadline;
    };

    std::vector<Node> nodes;
    std::vector<InFlightMessage> network;
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
    void assignCells(std::size_t node, std::size_t first, std::size_t end)
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
        recordInput(node, static_cast<std::uint64_t>(snapshot.revision.value()));
    }
    /// Makes enough requests that the demand counts as sustained and rate is borrowed and renewed.
    void demand(std::size_t node)
    {
        for (int request = 0; request < 8; ++request)
            nodes[node].shares.rates().tryAcquire(tokens, RequestCount(1), now);
    }
    /// Occupies all slots for the maximum duration of a request.
    void use(std::size_t node)
    {
        recordInput(node, 3);
        demand(node);
        const Instant deadline = now + maxRequestDuration;
        while (const auto lease = nodes[node].shares.slots().acquire(slots, deadline, now))
            uses.push_back({ node, *lease, deadline });
    }
    void requestSlot(std::size_t node)
    {
        recordInput(node, 2);
        send(node, nodes[node].shares.slots().requestLoans(slots, 1, now));
    }
    /// Delivers all messages in flight, including those sent meanwhile.
    void deliverAll()
    {
        while (!network.empty()) {
            const InFlightMessage inFlight = network.front();
            network.erase(network.begin());
            deliver(inFlight);
        }
    }
    bool runs(std::size_t node) const { return !nodes[node].crashed && !nodes[node].paused; }

    void recordInput(std::size_t node, std::uint64_t what)
    {
        nodes[node].history = combineHashes(combineHashes(nodes[node].history, what), step);
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
        const std::uint64_t identity = combineHashes(nodes[from].history, ++nodes[from].sent);
        network.push_back({ to, nodes[from].id, content, identity, step });
    }
    void deliver(const InFlightMessage &inFlight)
    {
        if (const auto *write = std::get_if<LedgerWrite>(&inFlight.content)) {
            if (stored.revision == write->basedOn)
                stored = { Revision(stored.revision.value() + 1), write->ledger };
            return;
        }
        recordInput(inFlight.to, inFlight.identity);
        Node &node = nodes[inFlight.to];
        const auto &message = std::get<ShareMessage>(inFlight.content);
        if (const auto *report = std::get_if<CellReleased>(&message)) {
            node.keeper.onCellReleased(*report);
            runTick(inFlight.to);
        }
        send(inFlight.to, node.shares.onMessage(inFlight.from, message, now));
    }
    void runTick(std::size_t index)
    {
        std::vector<LedgerMember> members;
        for (const Node &node : nodes)
            members.push_back({ node.id, node.address, node.lastSeenAt, false });
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
        // Drops messages that are two steps old, which limits the number of states.
        std::erase_if(network, [&](const InFlightMessage &inFlight) {
            return inFlight.sentAt + 2 <= step || nodes[inFlight.to].crashed;
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
            nodes[i].lastSeenAt = now;
            recordInput(i, 7);
            runTick(i);
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
            const RateUsage usage = shares.rates().usage(tokens, now);
            held += usage.effective;
            tokenSum += usage.tokens;
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
    std::uint64_t stateHash() const
    {
        std::vector<std::uint64_t> parts { step,
            static_cast<std::uint64_t>(stored.revision.value()), uses.size() };
        for (const int left : { budget.losses, budget.duplicates, budget.crashes, budget.restarts,
                 budget.pauses, budget.loans, budget.uses })
            parts.push_back(static_cast<std::uint64_t>(left));
        for (const Node &node : nodes)
            parts.push_back(
                combineHashes(node.history, (node.crashed ? 2U : 0U) + (node.paused ? 1U : 0U)));
        const std::size_t fixed = parts.size();
        for (const InFlightMessage &inFlight : network)
            parts.push_back(inFlight.identity);
        std::sort(parts.begin() + static_cast<long>(fixed), parts.end());
        return std::accumulate(parts.begin(), parts.end(), std::uint64_t { 1 }, &combineHashes);
    }
};

/// Breadth-first search over all orders of deliveries, faults, uses and time steps.
class Explorer
{
public:
    Explorer(SystemState first, std::vector<Interval> steps, std::size_t maxStates)
        : steps_(std::move(steps))
        , maxStates_(maxStates)
    {
        visit(std::move(first));
    }

    void run(const char *name)
    {
        while (!queue_.empty() && violation_.empty()) {
            const SystemState state = std::move(queue_.front());
            queue_.pop_front();
            expand(state);
        }
        std::printf("%s: explored %zu states, %zu of %zu time steps, %s\n", name, seen_.size(),
            step_, steps_.size(), seen_.size() < maxStates_ ? "complete" : "stopped at the bound");
    }
    const std::string &violation() const { return violation_; }
    std::size_t states() const { return seen_.size(); }

private:
    void visit(SystemState state)
    {
        if (seen_.size() >= maxStates_ || !seen_.insert(state.stateHash()).second)
            return;
        state.check();
        step_ = state.step;
        if (!state.violation.empty())
            violation_ = state.violation;
        queue_.push_back(std::move(state));
    }
    /// Visits the state that \a action leads to, if the budget \a left isn't used up.
    template <class Action>
    void visitWithinBudget(const SystemState &state, int Budget::*left, const Action &action)
    {
        if (state.budget.*left == 0 || state.step >= state.budget.endStep)
            return;
        SystemState next = state;
        --(next.budget.*left);
        action(next);
        visit(std::move(next));
    }
    void expand(const SystemState &state)
    {
        for (std::size_t i = 0; i < state.network.size(); ++i)
            expandMessage(state, i);
        for (std::size_t i = 0; i < state.nodes.size(); ++i)
            expandNode(state, i);
        if (state.step < steps_.size()) {
            SystemState next = state;
            next.advance(steps_[state.step]);
            visit(std::move(next));
        }
    }
    void expandMessage(const SystemState &state, std::size_t index)
    {
        const SystemState::InFlightMessage &inFlight = state.network[index];
        const auto remove = [&](SystemState &next) {
            next.network.erase(next.network.begin() + static_cast<long>(index));
        };
        const bool toStore = std::holds_alternative<LedgerWrite>(inFlight.content);
        if (toStore || state.runs(inFlight.to)) {
            SystemState next = state;
            remove(next);
            next.deliver(inFlight);
            visit(std::move(next));
            visitWithinBudget(
                state, &Budget::duplicates, [&](SystemState &copy) { copy.deliver(inFlight); });
        }
        visitWithinBudget(state, &Budget::losses, remove);
    }
    void expandNode(const SystemState &state, std::size_t i)
    {
        if (state.nodes[i].paused) {
            SystemState next = state;
            next.nodes[i].paused = false;
            visit(std::move(next));
        }
        if (!state.runs(i))
            return;
        if (state.nodes[i].shares.owner().revision() < state.stored.revision) {
            SystemState next = state;
            next.apply(i, state.stored, state.now);
            visit(std::move(next));
        }
        visitWithinBudget(
            state, &Budget::pauses, [&](SystemState &next) { next.nodes[i].paused = true; });
        visitWithinBudget(
            state, &Budget::crashes, [&](SystemState &next) { next.nodes[i].crashed = true; });
        if (state.nodes[i].id == Incarnation(1)) {
            visitWithinBudget(state, &Budget::restarts, [&](SystemState &next) {
                next.nodes[i].crashed = true;
                next.add(9, next.nodes[i].address.value());
            });
            return;
        }
        // Only the other instances borrow, from the first one, and occupy slots.
        visitWithinBudget(state, &Budget::loans, [&](SystemState &next) {
            next.recordInput(i, 1);
            next.demand(i);
            next.send(
                i, next.nodes[i].shares.rates().requestLoans(tokens, RequestCount(9), next.now));
        });
        visitWithinBudget(state, &Budget::uses, [&](SystemState &next) { next.use(i); });
    }

    std::vector<Interval> steps_;
    std::size_t maxStates_;
    std::size_t step_ = 0;
    std::deque<SystemState> queue_;
    std::unordered_set<std::uint64_t> seen_;
    std::string violation_;
};

/// Two instances: the first owns the cells below \a split, the second the rest.
SystemState twoInstances(std::size_t split, const Budget &budget)
{
    SystemState state;
    state.add(1, "10.0.0.1:1");
    state.add(2, "10.0.0.2:1");
    state.assignCells(0, 0, split);
    state.assignCells(1, split, cellsPerDomain);
    state.stored.revision = Revision(2);
    for (std::size_t i = 0; i < state.nodes.size(); ++i)
        state.apply(i, state.stored, state.now);
    for (int i = 0; i < 8; ++i)
        state.advance(seconds(1));
    state.network.clear();
    state.step = 0;
    state.budget = budget;
    return state;
}

/// As twoInstances(); instance 2 has borrowed a slot of instance 1 and occupies it and its own
/// ones.
SystemState withSlotsInUse(const Budget &budget)
{
    SystemState state = twoInstances(60, budget);
    state.requestSlot(1);
    state.deliverAll();
    state.use(1);
    return state;
}

void explore(const char *name, SystemState state, std::vector<Interval> steps)
{
    Explorer explorer(std::move(state), std::move(steps), 20'000);
    explorer.run(name);
    STRCMP_EQUAL("", explorer.violation().c_str());
}

} // namespace

TEST_GROUP(SharesExploration) {};

// Tokens and rate must not be counted twice when a loan ends, is renewed or is returned.
TEST(SharesExploration, LoanUnderLoss)
{
    Budget budget;
    budget.losses = budget.loans = budget.uses = 1;
    budget.endStep = 4;
    const std::vector<Interval> steps { milliseconds(20), milliseconds(2000), milliseconds(2000),
        milliseconds(990), milliseconds(30), milliseconds(20), milliseconds(40) };
    explore("loan", twoInstances(60, budget), steps);
}

// A duplicated message must not grant, apply or return a loan twice.
TEST(SharesExploration, LoanUnderDuplicates)
{
    Budget budget;
    budget.duplicates = 1;
    budget.loans = budget.uses = 1;
    const std::vector<Interval> steps { milliseconds(20), milliseconds(300), milliseconds(3700),
        milliseconds(990), milliseconds(60) };
    explore("loan with duplicates", twoInstances(60, budget), steps);
}

// When an instance joins, its cells and their tokens must not be in use by the former owner as
// well, even if two keepers act, messages are lost and a loan is being made.
TEST(SharesExploration, JoinWithLoan)
{
    Budget budget;
    budget.losses = budget.loans = 1;
    budget.endStep = 2;
    SystemState state = twoInstances(cellsPerDomain, budget);
    const std::vector<Interval> steps { milliseconds(50), milliseconds(1000), milliseconds(2000),
        milliseconds(2500) };
    explore("join with loan", std::move(state), steps);
}

// A cell must not have two users after a pause, and a release report must not apply to a later
// ledger revision than the one it was sent for.
TEST(SharesExploration, JoinWithPauseAndSlots)
{
    Budget budget;
    budget.pauses = 1;
    budget.endStep = 1;
    SystemState state = withSlotsInUse(budget);
    state.add(3, "10.0.0.3:1");
    const std::vector<Interval> steps { milliseconds(1000), milliseconds(2500), milliseconds(9000),
        milliseconds(1500), milliseconds(3000) };
    explore("join with pause and slots", std::move(state), steps);
}

// Slots must not be used twice when their owner terminates while they are lent or in use.
TEST(SharesExploration, RestartWithSlotLoan)
{
    Budget budget;
    budget.restarts = 1;
    budget.endStep = 1;
    const std::vector<Interval> steps(6, milliseconds(4500));
    explore("restart with slot loan", withSlotsInUse(budget), steps);
}

// Tokens must not be counted twice when their owner terminates while its rate is lent.
TEST(SharesExploration, RestartWithLoan)
{
    Budget budget;
    budget.restarts = budget.loans = 1;
    budget.endStep = 2;
    // The first steps are short, because an idle borrower would return its loan.
    const std::vector<Interval> steps { milliseconds(50), milliseconds(150), milliseconds(100),
        milliseconds(700), milliseconds(2000), milliseconds(2200) };
    explore("restart with loan", twoInstances(60, budget), steps);
}
