#ifndef ENDIVEQUAY_ENGINE_TEST_LOADPLAY_H
#define ENDIVEQUAY_ENGINE_TEST_LOADPLAY_H

#include "engine_fixture.h"

#include <algorithm>
#include <deque>
#include <list>
#include <queue>
#include <random>

namespace endivequay::test {

/// A deployment and its load.
struct LoadPlan
{
    int regions = 3;
    int domainsPerRegion = 2;
    int instancesPerDomain = 2;
    std::vector<int> upstreamsPerDomain { 3, 1, 3 }; ///< By region.
    int slots = 9;
    std::size_t cache = 87; ///< Objects that an upstream keeps.
    int objectsPerRegion = 45; ///< The callers of a region ask for its own objects.
    double coldTime = 0.4; ///< Seconds of work for an object that the upstream does not know.
    double warmTime = 0.12;
    Interval objective = 300ms;
    Interval timeout = 800ms; ///< Of the route.
    Interval callerTime = 2s; ///< That callers allow.
    double ratePerDomain = 80; ///< Requests per second.
    int surgingRegion = -1; ///< Its rate is multiplied by surge from surgeAt on.
    double surge = 1;
    Interval surgeAt {};
    Interval length = 20s;
    Interval lead {}; ///< Before the first request; the upstreams of other regions register in it.
};

/// What the callers got.
struct LoadOutcome
{
    int asked = 0;
    int inObjective = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;
    int crossedDomains = 0; ///< Attempts at an upstream of another domain of the region.
    int attempts = 0;
    int coldRuns = 0;
    std::map<int, int> askedByRegion;
    std::map<int, int> inObjectiveByRegion;

    double inObjectivePart(int region) const
    {
        return static_cast<double>(inObjectiveByRegion.at(region)) / askedByRegion.at(region);
    }
    double inObjectivePart() const { return static_cast<double>(inObjective) / asked; }
    double crossedPart() const { return static_cast<double>(crossedDomains) / attempts; }
};

/// Plays a load against the engines of a fleet on virtual time. Upstreams have slots, a queue and a
/// cache that forgets the object used longest ago. Callers come back once after a refusal.
class LoadPlay
{
public:
    LoadPlay(LoadPlan plan, unsigned seed)
        : plan_(std::move(plan))
        , random_(seed)
    {
        RoutingDocument source = document();
        source.routes[0].objective = plan_.objective;
        source.routes[0].timeout = plan_.timeout;
        source.routes[0].priority = 2;
        std::vector<UpstreamEntry> entries;
        for (int region = 0; region < plan_.regions; ++region)
            for (int domain = 0; domain < plan_.domainsPerRegion; ++domain)
                for (int i = 0; i < plan_.upstreamsPerDomain.at(region); ++i)
                    entries.push_back(entryOf(region, domain, i));
        for (const UpstreamEntry &entry : entries)
            upstreams_[entry.id] = { entry, 0, {}, {} };
        std::map<RegionId, int> domains;
        for (int region = 0; region < plan_.regions; ++region)
            domains[regionId(region)] = plan_.domainsPerRegion;
        for (int region = 0; region < plan_.regions; ++region)
            for (int domain = 0; domain < plan_.domainsPerRegion; ++domain)
                for (int i = 0; i < plan_.instancesPerDomain; ++i) {
                    instances_.push_back(std::make_unique<Instance>(Instance {
                        { InstanceId(domainId(region, domain).value() + std::to_string(i)),
                            domainId(region, domain), regionId(region), domains },
                        region }));
                    instances_.back()->engine.setTable(table(source), now_);
                    setUpstreams(*instances_.back(), plan_.lead > Interval {});
                }
    }

    LoadOutcome run()
    {
        for (const auto &instance : instances_) {
            schedule(epoch + gap(instance->region), [this, at = instance.get()] { arrival(*at); });
            schedule(
                now_ + plan_.lead / 8, [this, at = instance.get()] { setUpstreams(*at, false); });
        }
        schedule(now_, [this] { exchangeReports(); });
        schedule(now_, [this] { tick(); });
        const Instant end = epoch + plan_.length;
        while (!events_.empty() && events_.top().at <= end + plan_.callerTime) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            if (now_ > end)
                arrivalsEnded_ = true;
            event.action();
        }
        return outcome_;
    }

private:
    struct Instance
    {
        InstanceIdentity identity;
        int region;
        RequestEngine engine { identity, { 0.2, 50 } };
        std::map<Ticket, int> callers {}; ///< By open request.
    };
    struct Caller
    {
        Instant askedAt;
        std::string object;
        bool returned = false;
    };
    struct Work
    {
        Instance *instance;
        Ticket ticket;
        std::string object;
    };
    struct Upstream
    {
        UpstreamEntry entry;
        int running = 0;
        std::deque<Work> queue;
        std::list<std::string> cache; ///< Used most lately first.
    };
    struct Event
    {
        Instant at;
        std::uint64_t number; ///< Keeps events of one time in order.
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };

    static constexpr Interval domainDelay = 4ms; ///< One way, between domains of a region.
    static constexpr Interval regionDelay = 20ms;

    static RegionId regionId(int region) { return RegionId("r" + std::to_string(region)); }
    static FailureDomainId domainId(int region, int domain)
    {
        return FailureDomainId(regionId(region).value() + "-" + std::to_string(domain));
    }

    UpstreamEntry entryOf(int region, int domain, int i) const
    {
        UpstreamEntry entry = upstream("u" + std::to_string(100 * region + 10 * domain + i),
            regionId(region).value(), plan_.slots);
        entry.domain = domainId(region, domain);
        return entry;
    }

    void setUpstreams(Instance &instance, bool ownRegionOnly)
    {
        std::vector<UpstreamEntry> entries;
        for (const auto &[id, target] : upstreams_)
            if (!ownRegionOnly || target.entry.region == instance.identity.region)
                entries.push_back(target.entry);
        instance.engine.setUpstreams(entries, {}, now_);
    }

    void schedule(Instant at, std::function<void()> action)
    {
        events_.push({ at, nextEvent_++, std::move(action) });
    }

    Interval gap(int region)
    {
        const bool surges = region == plan_.surgingRegion && now_ >= epoch + plan_.surgeAt;
        const double rate = plan_.ratePerDomain * (surges ? plan_.surge : 1);
        return fromSeconds(
            std::exponential_distribution<>(rate / plan_.instancesPerDomain)(random_));
    }

    void arrival(Instance &instance)
    {
        if (arrivalsEnded_)
            return;
        const int number = std::uniform_int_distribution<>(0, plan_.objectsPerRegion - 1)(random_);
        callers_.push_back(
            { now_, std::to_string(instance.region * plan_.objectsPerRegion + number), false });
        ++outcome_.asked;
        ++outcome_.askedByRegion[instance.region];
        ask(instance, static_cast<int>(callers_.size()) - 1);
        schedule(now_ + gap(instance.region), [this, &instance] { arrival(instance); });
    }

    void ask(Instance &instance, int caller)
    {
        const Ticket ticket = nextTicket_++;
        instance.callers[ticket] = caller;
        const RequestFacts facts { "shop.example", "/view/", {}, callers_[caller].object,
            callers_[caller].askedAt + plan_.callerTime };
        carryOut(instance, ticket, instance.engine.arrive(ticket, facts, now_));
    }

    Interval delay(const Instance &instance, const UpstreamEntry &entry) const
    {
        if (entry.region != instance.identity.region)
            return regionDelay;
        return entry.domain == instance.identity.domain ? Interval {} : domainDelay;
    }

    void carryOut(Instance &instance, Ticket ticket, const Step &step)
    {
        const int caller = instance.callers.at(ticket);
        if (const SendOrder *order = sent(step)) {
            Upstream &target = upstreams_.at(order->upstream);
            ++outcome_.attempts;
            outcome_.crossedDomains += target.entry.region == instance.identity.region
                && target.entry.domain != instance.identity.domain;
            schedule(now_ + delay(instance, target.entry),
                [this, &target, work = Work { &instance, ticket, callers_[caller].object }] {
                    receive(target, work);
                });
        } else if (const OwnAnswer *answer = answered(step)) {
            instance.callers.erase(ticket);
            refuse(instance, caller, *answer);
        } else if (std::holds_alternative<DeliverResponse>(step)) {
            instance.callers.erase(ticket);
            const bool inTime = now_ - callers_[caller].askedAt <= plan_.objective;
            ++(inTime ? outcome_.inObjective : outcome_.late);
            outcome_.inObjectiveByRegion[instance.region] += inTime ? 1 : 0;
        }
    }

    void refuse(Instance &instance, int caller, const OwnAnswer &answer)
    {
        if (answer.status != 503) {
            ++outcome_.failed;
        } else if (callers_[caller].returned) {
            ++outcome_.refused;
        } else {
            callers_[caller].returned = true;
            schedule(
                now_ + answer.retryAfter, [this, &instance, caller] { ask(instance, caller); });
        }
    }

    void receive(Upstream &target, const Work &work)
    {
        target.queue.push_back(work);
        startWork(target);
    }

    void startWork(Upstream &target)
    {
        while (target.running < plan_.slots && !target.queue.empty()) {
            const Work work = target.queue.front();
            target.queue.pop_front();
            if (!work.instance->callers.contains(work.ticket))
                continue; // Given up meanwhile.
            ++target.running;
            const bool warm = std::ranges::find(target.cache, work.object) != target.cache.end();
            outcome_.coldRuns += warm ? 0 : 1;
            target.cache.remove(work.object);
            target.cache.push_front(work.object);
            if (target.cache.size() > plan_.cache)
                target.cache.pop_back();
            const double spread = std::uniform_real_distribution<>(0.85, 1.15)(random_);
            const Interval time = fromSeconds((warm ? plan_.warmTime : plan_.coldTime) * spread);
            schedule(now_ + time, [this, &target, work] { endWork(target, work); });
        }
    }

    void endWork(Upstream &target, const Work &work)
    {
        AttemptEnd end = good;
        end.occupancy
            = Occupancy { target.running, static_cast<int>(target.queue.size()), plan_.slots };
        --target.running;
        startWork(target);
        schedule(now_ + delay(*work.instance, target.entry), [this, work, end] {
            if (!work.instance->callers.contains(work.ticket))
                return;
            carryOut(*work.instance, work.ticket,
                work.instance->engine.attemptEnded(work.ticket, end, now_));
            advance(*work.instance);
        });
    }

    void advance(Instance &instance)
    {
        for (const auto &[ticket, step] : instance.engine.advance(now_))
            carryOut(instance, ticket, step);
    }

    void tick()
    {
        std::ranges::for_each(instances_, [this](const auto &instance) { advance(*instance); });
        schedule(now_ + 20ms, [this] { tick(); });
    }

    void exchangeReports()
    {
        std::vector<PeerView> views;
        for (const auto &instance : instances_)
            views.push_back({ instance->identity.id, instance->identity.domain,
                instance->identity.region, instance->engine.demand(now_), now_ });
        for (const auto &instance : instances_) {
            std::vector<PeerView> others;
            std::ranges::copy_if(views, std::back_inserter(others),
                [&](const PeerView &view) { return view.id != instance->identity.id; });
            instance->engine.setPeers(std::move(others), now_);
        }
        schedule(now_ + 500ms, [this] { exchangeReports(); });
    }

    LoadPlan plan_;
    std::mt19937 random_;
    Instant now_ = epoch - plan_.lead;
    std::vector<std::unique_ptr<Instance>> instances_;
    std::map<UpstreamId, Upstream> upstreams_;
    std::vector<Caller> callers_;
    std::priority_queue<Event> events_;
    std::uint64_t nextEvent_ = 0;
    Ticket nextTicket_ = 1;
    bool arrivalsEnded_ = false;
    LoadOutcome outcome_;
};

} // namespace endivequay::test

#endif
