#ifndef ENDIVEQUAY_TEST_SPREADCHECKS_H
#define ENDIVEQUAY_TEST_SPREADCHECKS_H

#include "spreadsim.h"

// Fault injection, invariant checks and measurements of SpreadSimulation.
namespace endivequay::test {

inline void SpreadSimulation::injectFault()
{
    const Interval length = 2s + upTo(20s);
    switch (settings_.onlyOutages ? 5 : below(6)) {
    case 0:
    case 1:
        return kill(below(slots()), 1s + upTo(8s));
    case 2: {
        const int partitioned = below(domains_);
        if (mayPartitionFromStore(partitioned))
            isolate([partitioned](int domain) { return domain == partitioned; }, length);
        return;
    }
    case 3:
        return isolate(
            [this, r = below(settings_.regions)](int d) { return regionOf(d) == r; }, length);
    case 4: {
        const int domain = below(domains_);
        if (!mayPartitionFromStore(domain))
            return;
        ++result_.partitions;
        ++partitionCount(domain, store());
        schedule_.after(length, [=, this] { --partitionCount(domain, store()); });
        return;
    }
    default:
        if (storeDown_ || outageAt_ != Instant::max())
            return;
        outageAt_ = schedule_.now() + 3s;
        schedule_.at(outageAt_, [this] { storeDown_ = true; });
        schedule_.at(outageAt_ + length, [this] {
            storeDown_ = false;
            outageAt_ = Instant::max();
        });
    }
}

inline bool SpreadSimulation::mayPartitionFromStore(int domain)
{
    for (int d = 0; d < settings_.domainsPerRegion; ++d) {
        if (regionOf(domain) == 0 && d != domain && partitionCount(d, store()) > 0)
            return false;
    }
    return true;
}

inline void SpreadSimulation::kill(int slot, Interval downTime)
{
    if (!nodes_[index(slot)])
        return;
    ++result_.kills;
    // Half of the kills close the links; the others leave them open without traffic.
    if (percent(50)) {
        for (const auto &peer : nodes_) {
            if (peer && peer->links.erase(slot) > 0)
                peer->membership->linkClosed(addressOf(slot));
        }
    }
    nodes_[index(slot)].reset();
    schedule_.after(downTime, [=, this] { startNode(slot); });
}

template <class Inside>
void SpreadSimulation::isolate(Inside inside, Interval length)
{
    ++result_.partitions;
    const auto change = [=, this](int by) {
        for (int a = 0; a < domains_; ++a) {
            for (int b = 0; inside(a) && b <= domains_; ++b)
                partitionCount(a, b) += inside(b) ? 0 : by;
        }
    };
    change(1);
    schedule_.after(length, [=] { change(-1); });
}

inline void SpreadSimulation::checkNode(Node &node)
{
    if (node.log.revision() < node.checkedRevision)
        ++result_.lowerRevisions;
    if (node.log.revision() > node.checkedRevision
        && digestOf(node.log.documents()) != digests_[node.log.revision()])
        ++result_.wrongDocuments;
    node.checkedRevision = node.log.revision();
    const auto confirmed = node.freshness.confirmedAsOf();
    if (confirmed == node.checkedConfirmation)
        return;
    node.checkedConfirmation = confirmed;
    const auto missing = acceptedAt_.upper_bound(node.log.revision());
    if (missing != acceptedAt_.end() && missing->second + 1us < node.global(*confirmed))
        ++result_.falseConfirmations;
}

inline void SpreadSimulation::sample()
{
    for (int d = 0; d < domains_; ++d) {
        if (!reachesStore(d))
            reachableSince_[index(d)] = schedule_.now();
    }
    for (const auto &node : nodes_) {
        if (node)
            sampleNode(*node);
    }
    if (samplings_++ % 5 == 0)
        sampleCycles();
    schedule_.after(50ms, [this] { sample(); });
}

inline bool SpreadSimulation::reachesStore(int domain)
{
    for (int d = 0; d < domains_; ++d) {
        if (partitionCount(domain, d) == 0 && partitionCount(d, store()) == 0)
            return true;
    }
    return false;
}

inline void SpreadSimulation::sampleNode(const Node &node)
{
    const bool served
        = node.freshness.servesKeyed(StalePolicy::Refuse, node.local(schedule_.now()));
    const bool reachable = reachesStore(node.domain);
    const Instant since = std::max(node.startedAt, reachableSince_[index(node.domain)]);
    if (reachable && schedule_.now() > since + 10s) {
        ++(storeDown_ ? outageSamples_ : samples_);
        (storeDown_ ? outageServed_ : served_) += served ? 1 : 0;
    }
    const auto missing = acceptedAt_.upper_bound(node.log.revision());
    if (missing == acceptedAt_.end())
        return;
    if (served)
        result_.withdrawnKeyMax
            = std::max(result_.withdrawnKeyMax, schedule_.now() - missing->second);
    if (reachable && !storeDown_)
        result_.inForceMax
            = std::max(result_.inForceMax, schedule_.now() - std::max(missing->second, since));
}

inline void SpreadSimulation::sampleCycles()
{
    std::map<Incarnation, Incarnation> sources;
    for (const auto &node : nodes_) {
        if (node && node->source.current())
            sources.emplace(node->identity.incarnation, *node->source.current());
    }
    const bool cycle = std::ranges::any_of(sources, [&](const auto &edge) {
        auto next = sources.find(edge.second);
        for (int steps = 0; next != sources.end() && steps < slots(); ++steps) {
            if (next->first == edge.first)
                return true;
            next = sources.find(next->second);
        }
        return false;
    });
    if (!cycle)
        lastWithoutCycle_ = schedule_.now();
    result_.cycleMax = std::max(result_.cycleMax, schedule_.now() - lastWithoutCycle_);
}

inline SpreadResult SpreadSimulation::finish()
{
    for (const auto &node : nodes_)
        result_.behindAtEnd += !node || node->log.revision() != storeLog_.revision() ? 1 : 0;
    result_.changesAccepted = static_cast<int>(acceptedAt_.size());
    result_.keyedAvailability = samples_ == 0 ? 1 : 1.0 * served_ / samples_;
    result_.keyedDuringOutage = outageSamples_ == 0 ? 1 : 1.0 * outageServed_ / outageSamples_;
    result_.storeCallsPerDomain = storeCalls_ / toSeconds(schedule_.now() - started_) / domains_;
    return result_;
}

} // namespace endivequay::test

#endif
