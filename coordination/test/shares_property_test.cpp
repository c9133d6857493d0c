#include "proptest.h"

#include "fleet.h"

using namespace endivequay;
using namespace endivequay::test;

namespace {

const ResourceId team("team/a");
const ResourceId slots("slots/u1");
const std::vector<FailureDomainId> domains { FailureDomainId("d0"), FailureDomainId("d1") };

Fleet::Definitions definitionsOf(double rate, double burst, int slotCount)
{
    return { ResourceDefinition::team(team, RequestRate(rate), RequestCount(burst), domains),
        ResourceDefinition::slots(slots, SlotCount(slotCount), domains[0]) };
}

Network faultyNetwork()
{
    Network network;
    network.delay = [](const FailureDomainId &from, const FailureDomainId &to) {
        return from == to ? milliseconds(4) : milliseconds(20);
    };
    network.jitter = 20;
    network.loss = 0.05;
    network.duplicate = 0.1;
    return network;
}

/// Runs random requests and faults and checks all invariants after every event.
class Schedule
{
public:
    Schedule(std::uint64_t seed, int perDomain)
        : fleet_(seed, faultyNetwork(), domains, perDomain, definitionsOf(20, 30, 8))
    {
        fleet_.afterEvent = [this] { check(); };
        fleet_.at(fleet_.now, [this] { request(); });
        fleet_.at(fleet_.now + seconds(4), [this] { fault(); });
    }

    void run(Interval interval) { fleet_.run(interval); }
    const std::string &violation() const { return violation_; }
    double excess() const { return bucket_.excess(); }
    int admitted() const { return bucket_.admitted(); }
    int slotsUsed() const { return slotsUsed_; }

private:
    using Node = Fleet::Node;

    Node &anyNode() { return *fleet_.nodes[fleet_.random() % fleet_.nodes.size()]; }

    void request()
    {
        // Half of the requests go to one instance, which therefore needs loans.
        const auto busyIndex = static_cast<std::size_t>(fleet_.now.time_since_epoch() / seconds(7));
        Node &node
            = fleet_.unit() < 0.5 ? *fleet_.nodes[busyIndex % fleet_.nodes.size()] : anyNode();
        if (fleet_.serves(node)) {
            requestToken(node);
            requestSlot(node);
        }
        fleet_.at(fleet_.now + fleet_.uniform(milliseconds(60)), [this] { request(); });
    }
    void requestToken(Node &node)
    {
        const Instant local = fleet_.local(node);
        RateShares &rates = node.shares.rates();
        while (rates.tryAcquire(team, RequestCount(1), local))
            bucket_.admit(1, fleet_.now);
        fleet_.send(node, rates.requestLoans(team, RequestCount(1), local));
    }
    void requestSlot(Node &node)
    {
        const Instant local = fleet_.local(node);
        const Interval allowed = milliseconds(1) + fleet_.uniform(milliseconds(9900));
        const auto lease = node.shares.slots().acquire(slots, local + allowed, local);
        if (!lease) {
            fleet_.send(node, node.shares.slots().requestLoans(slots, 1, local));
            return;
        }
        ++running_;
        ++slotsUsed_;
        // The upstream continues the request even if the instance fails.
        const Interval work = fleet_.unit() < 0.2 ? allowed : fleet_.uniform(allowed);
        fleet_.at(fleet_.now + work, [this, &node, lease = *lease] {
            --running_;
            fleet_.onNode(node, Interval(0),
                [this, &node, lease] { node.shares.slots().release(lease, fleet_.local(node)); });
        });
    }
    void fault()
    {
        // A crashed instance can't fail again, and only one process can bind its address.
        Node &node = anyNode();
        const auto kind = fleet_.random() % 8;
        switch (node.crashed && kind < 5 ? 5 : kind) {
        case 0:
            fleet_.crash(node, fleet_.uniform(seconds(20)));
            break;
        case 1:
            fleet_.crash(node, seconds(1000));
            fleet_.start(node.domain, node.address, false);
            break;
        case 2:
            fleet_.pause(node, fleet_.uniform(seconds(25)));
            break;
        case 3:
            fleet_.interruptStore(fleet_.uniform(seconds(20)));
            break;
        case 4:
            fleet_.leave(node);
            break;
        case 5:
            fleet_.start(node.domain, Address("new" + std::to_string(fleet_.random())), false);
            break;
        case 6:
            // Longer than it takes to reclaim the cells of an instance that is no longer listed.
            if (!node.crashed)
                fleet_.pauseUnlisted(node, seconds(40) + fleet_.uniform(seconds(20)));
            break;
        default:
            fleet_.configure(definitionsOf(5 + 40 * fleet_.unit(), 4 + 60 * fleet_.unit(),
                static_cast<int>(2 + fleet_.random() % 12)));
        }
        fleet_.at(fleet_.now + fleet_.uniform(seconds(12)), [this] { fault(); });
    }

    void check()
    {
        // Instances adopt a lowered limit within 4 s; requests admitted before end within 10 s.
        const auto rate = fleet_.highest(team, milliseconds(4100), &totalRate);
        const auto burst = fleet_.highest(team, milliseconds(4100), &totalBurst);
        bucket_.setLimit({ rate, burst }, fleet_.now);
        const int limit = fleet_.highest(slots, milliseconds(14100), &pieces);
        if (running_ > limit)
            recordViolation("slots in use above the limit");
        if (bucket_.excess() > 0)
            recordViolation("admissions above burst + rate * window");
        Allotment held;
        std::int64_t tokens = 0;
        std::map<FailureDomainId, CellSet> used;
        for (const auto &node : fleet_.nodes) {
            if (!fleet_.serves(*node))
                continue;
            const RateUsage usage = node->shares.rates().usage(team, fleet_.local(*node));
            held += usage.effective;
            tokens += usage.tokens;
            const CellSet cells = node->shares.owner().usableCells(fleet_.local(*node));
            if ((used[node->domain] & cells).any())
                recordViolation("a cell is used by two instances");
            used[node->domain] |= cells;
        }
        if (held.rate > rate || held.burst > burst || tokens > burst)
            recordViolation("the instances hold more than the total");
    }
    void recordViolation(const std::string &violation)
    {
        if (violation_.empty())
            violation_
                = violation + " at " + std::to_string(toSeconds(fleet_.now.time_since_epoch()));
    }

    static std::int64_t totalRate(const ResourceDefinition &definition)
    {
        return definition.total.rate;
    }
    static std::int64_t totalBurst(const ResourceDefinition &definition)
    {
        return definition.total.burst;
    }
    static int pieces(const ResourceDefinition &definition) { return definition.piecesPerDomain; }

    Fleet fleet_;
    BucketChecker bucket_;
    int running_ = 0;
    int slotsUsed_ = 0;
    std::string violation_;
};

} // namespace

TEST_GROUP(SharesProperty) {};

// Tokens, cells and slots must not be used twice, whatever the mix of lost, duplicated and
// reordered messages, crashes, restarts, pauses, store outages and configuration changes.
TEST(SharesProperty, LimitsHoldInRandomSchedules)
{
    CHECK_PROPERTY("limits hold", [](std::uint64_t seed) {
        const int perDomain = *rc::gen::inRange(2, 4);
        Schedule schedule(seed, perDomain);
        schedule.run(seconds(90));
        RC_LOG() << "schedule seed " << seed << ", instances per domain " << perDomain;
        RC_ASSERT(schedule.violation() == "");
        RC_ASSERT(schedule.admitted() > 0);
        RC_ASSERT(schedule.slotsUsed() > 0);
    });
}
