#include "simulation.h"

// Digests, load reports and fault injection.
namespace endivequay::bench::detail {

void Simulation::exchangeDigests()
{
    if (!nextDigests_.empty())
        digests_ = nextDigests_;
    nextDigests_ = digests_;
    for (std::size_t service = 0; service < deployment_.services.size(); ++service) {
        for (int index = 0; index < instanceCount; ++index) {
            const Node &node = nodeOf(index, static_cast<int>(service));
            const auto waiting = static_cast<double>(node.waiting());
            nextDigests_[service][index] = { std::max(0.0, node.freeSlots(now_) - waiting),
                (node.inFlight() + waiting) / std::max(1, node.usableSlots(now_)) };
        }
    }
    rebuildSteering();
    std::array<double, domainCount> busy {};
    std::array<double, domainCount> slots {};
    for (const Upstream &upstream : upstreams_) {
        busy[upstream.domain] += upstream.inFlight;
        slots[upstream.domain] += upstream.slots;
    }
    double fullest = 0;
    for (int domain = 0; domain < domainCount; ++domain)
        fullest = std::max(fullest, busy[domain] / slots[domain]);
    headroomSum_ += 1 - fullest;
    ++headroomSamples_;
    after(digestInterval, [this] { exchangeDigests(); });
}

void Simulation::rebuildSteering()
{
    if (strategy_ != Strategy::Product)
        return;
    views_.resize(deployment_.services.size());
    steering_.clear();
    for (std::size_t service = 0; service < views_.size(); ++service) {
        SteeringView &view = views_[service];
        view.service = deployment_.services[service].id;
        view.shifts = lookupPlans_;
        view.domains.resize(domainCount);
        view.sites.clear();
        view.instances.clear();
        for (int domain = 0; domain < domainCount; ++domain) {
            DomainState &state = view.domains[domain];
            state.id = FailureDomainId(std::to_string(domain));
            state.region = regionName(regionOf(domain));
            state.slots = 0;
            for (const Upstream &upstream : upstreams_) {
                if (upstream.service == static_cast<int>(service) && upstream.domain == domain)
                    state.slots += upstream.slots;
            }
            state.freeSlots = 0;
            for (int index = 0; index < instanceCount; ++index) {
                if (instances_[index].domain == domain)
                    state.freeSlots += digests_[service][index].freeSlots;
            }
            state.reportedAt = now_ - digestInterval;
            SiteState site { SiteId(std::to_string(domain)), state.region, {} };
            for (int other = 0; other < domainCount; ++other)
                site.delays.push_back(deployment_.delayFromSite(domain, other));
            view.sites.push_back(site);
        }
        for (int index = 0; index < instanceCount; ++index)
            view.instances.push_back(
                { instances_[index].address, static_cast<std::size_t>(instances_[index].domain), 60,
                    false, excludedInstances_.contains(index) });
        steering_.push_back(*Steering::create(view));
    }
}

void Simulation::reportLoad()
{
    for (std::size_t u = 0; u < upstreams_.size(); ++u) {
        Upstream &upstream = upstreams_[u];
        // Load endpoints report the state one interval ago.
        LoadReport shown = upstream.lastReport;
        upstream.lastReport = { upstream.inFlight, upstream.effectiveSlots(now_), false };
        if (reportMode_ == ReportMode::Missing)
            continue;
        if (reportMode_ == ReportMode::Zero)
            shown = { 0, 0, false };
        else if (reportMode_ == ReportMode::Constant)
            shown = { upstream.slots, 4, false };
        else if (reportMode_ == ReportMode::Frozen)
            shown = upstream.frozenReport;
        else if (reportMode_ == ReportMode::Other)
            shown = upstreams_[(u + 1) % upstreams_.size()].lastReport;
        else
            upstream.frozenReport = shown;
        for (Instance &instance : instances_) {
            if (instance.domain == upstream.domain && instance.isAlive)
                instance.nodes[upstream.service].report(upstream.id, shown, now_);
        }
    }
    after(digestInterval, [this] { reportLoad(); });
}

void Simulation::setDraining(int domain, bool isLeaving)
{
    if (isLeaving) {
        drainedAt_ = now_;
        drainedDomain_ = domain;
    } else {
        drainedAt_.reset();
        for (Upstream &upstream : upstreams_) {
            if (upstream.domain == domain)
                upstream.coldSince = now_;
        }
    }
    for (int index = 0; index < instanceCount; ++index) {
        if (instances_[index].domain != domain)
            continue;
        after(instances_[index].adoptionDelay, [=, this] {
            setShares(index, isLeaving, !isLeaving);
            if (strategy_ == Strategy::Product && isLeaving) {
                for (Ticket ticket = 0; ticket < requests_.size(); ++ticket) {
                    if (now_ < requests_[ticket].deadline)
                        decideForwarding(ticket, index, instances_[index].incarnation);
                }
            }
        });
        after(1s, [=, this] {
            if (isLeaving)
                excludedInstances_.insert(index);
            else
                excludedInstances_.erase(index);
            for (SteeringView &view : views_) {
                view.domains[domain].draining = isLeaving;
                if (!isLeaving)
                    view.domains[domain].rampSince = now_;
            }
            rebuildSteering();
        });
    }
}

void Simulation::setRegionAlive(int region, bool isAlive)
{
    for (Upstream &upstream : upstreams_) {
        if (regionOf(upstream.domain) != region)
            continue;
        upstream.inFlight = 0;
        if (isAlive)
            upstream.coldSince = now_;
    }
    for (int index = 0; index < instanceCount; ++index) {
        Instance &instance = instances_[index];
        if (regionOf(instance.domain) != region)
            continue;
        instance.isAlive = isAlive;
        ++instance.incarnation;
        for (std::size_t service = 0; service < instance.nodes.size(); ++service)
            instance.nodes[service] = Node(strategy_, nodeSeed(index, service));
        setShares(index, false, isAlive);
        after(isAlive ? 1s : suspicionTimeout, [=, this] {
            if (isAlive)
                excludedInstances_.erase(index);
            else
                excludedInstances_.insert(index);
            for (SteeringView &view : views_)
                view.domains[instances_[index].domain].rampSince = now_;
            rebuildSteering();
        });
    }
}

void Simulation::adoptShiftPlan(const Fault &fault)
{
    const ShiftPlan plan { regionName(fault.target), regionName(fault.destinationRegion), 0,
        fault.amount, shiftCap, shiftWindow, now_ };
    const auto adopt = [](std::vector<ShiftPlan> &shiftPlans, ShiftPlan adopted, Instant now) {
        adopted.adoptedAt = now;
        shiftPlans.push_back(adopted);
    };
    for (int index = 0; index < instanceCount; ++index)
        after(instances_[index].adoptionDelay,
            [=, this] { adopt(instances_[index].shiftPlans, plan, now_); });
    after(1s, [=, this] {
        adopt(lookupPlans_, plan, now_);
        rebuildSteering();
    });
}

void Simulation::injectFault(const Fault &fault)
{
    const auto forDomain = [&](const std::function<void(Upstream &)> &change) {
        for (Upstream &upstream : upstreams_) {
            if (upstream.domain == fault.target)
                change(upstream);
        }
    };
    switch (fault.kind) {
    case Fault::Kind::Drain:
    case Fault::Kind::Restore:
        return setDraining(fault.target, fault.kind == Fault::Kind::Drain);
    case Fault::Kind::Lose:
    case Fault::Kind::Return:
        return setRegionAlive(fault.target, fault.kind == Fault::Kind::Return);
    case Fault::Kind::Surge:
        surgeTeam_ = fault.target;
        surgeMultiple_ = fault.amount;
        return;
    case Fault::Kind::Report:
        reportMode_ = fault.mode;
        return;
    case Fault::Kind::Cold:
        return forDomain([&](Upstream &upstream) { upstream.coldSince = now_; });
    case Fault::Kind::Slow: {
        // Only the first upstream of each service in the domain slows down.
        std::set<int> changed;
        return forDomain([&](Upstream &upstream) {
            if (changed.insert(upstream.service).second)
                upstream.slowness = fault.amount;
        });
    }
    case Fault::Kind::Fail:
    case Fault::Kind::Heal:
        failingDomain_ = fault.kind == Fault::Kind::Fail ? fault.target : -1;
        return forDomain(
            [&](Upstream &upstream) { upstream.isFailing = fault.kind == Fault::Kind::Fail; });
    case Fault::Kind::Shift:
        return adoptShiftPlan(fault);
    }
}

} // namespace endivequay::bench::detail
