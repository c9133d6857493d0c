#include "endivequay/steering.h"

#include "endivequay/digest.h"

#include "mix.h"

#include <algorithm>
#include <cmath>

namespace endivequay {

namespace {

/// Extra one-way delay that lowers a domain's weight to 1/e. A quarter of the delay between two
/// domains of a region (4 ms): with 2 ms, 1 in 8 callers is sent to the far domain although the
/// near one has free slots.
constexpr Interval delayScale = std::chrono::milliseconds(1);
/// Above 1, so that the weight falls faster than the available capacity. Otherwise a short delay
/// outweighs a lack of capacity, and a near domain that has no free slots or starts its ramp keeps
/// 3 in 4 callers.
constexpr double capacityExponent = 1.5;
/// Fraction of free slots below which a domain's weight falls.
constexpr double headroomThreshold = 0.25;
/// Headroom factor of a domain that reports no free slot. Above 0, as the report may be wrong.
constexpr double minHeadroomFactor = 0.05;
/// Age from which a report has no effect.
constexpr Interval reportLifetime = std::chrono::seconds(10);

double headroomFactor(const DomainState &domain, Instant now)
{
    if (!domain.reportedAt || domain.slots <= 0)
        return 1;
    const double age = toSeconds(now - *domain.reportedAt) / toSeconds(reportLifetime);
    const double freshness = std::clamp(1 - age, 0.0, 1.0);
    const double headroom = domain.freeSlots / domain.slots / headroomThreshold;
    return 1 + freshness * (std::clamp(headroom, minHeadroomFactor, 1.0) - 1);
}

/// Fraction of a domain's slots usable during a ramp: 1 slot at the start, doubled every second.
double rampFactor(const DomainState &domain, Instant now)
{
    if (!domain.rampSince || domain.slots <= 0)
        return 1;
    const double seconds = std::clamp(toSeconds(now - *domain.rampSince), 0.0, 60.0);
    return std::min(1.0, std::exp2(seconds) / domain.slots);
}

/// Weighted rendezvous hashing (Schindelhauer and Schomaker, 2005): each candidate has the lowest
/// score with a probability proportional to its weight.
double rendezvousScore(std::uint64_t block, std::uint64_t candidate, double weight)
{
    const double unit = detail::toUnit(detail::mix64(block ^ candidate));
    return -std::log1p(-unit) / weight;
}

struct ScoredIndex
{
    std::size_t index = 0;
    double score = 0;
};

struct RankedRegion
{
    bool isHome = false;
    Interval delay {}; ///< Of the nearest usable domain.
    std::vector<std::size_t> domains;
};

std::vector<RankedRegion> rankRegions(const SteeringView &view,
    const std::vector<std::size_t> &domains, const SiteState &site, const RegionId &home)
{
    std::vector<RankedRegion> regions;
    for (std::size_t domain : domains) {
        const RegionId &region = view.domains[domain].region;
        auto found = std::ranges::find_if(regions, [&](const RankedRegion &ranked) {
            return view.domains[ranked.domains.front()].region == region;
        });
        if (found == regions.end())
            found = regions.insert(found, { region == home, site.delays[domain], {} });
        found->delay = std::min(found->delay, site.delays[domain]);
        found->domains.push_back(domain);
    }
    std::ranges::sort(
        regions, {}, [](const RankedRegion &r) { return std::pair(!r.isHome, r.delay); });
    return regions;
}

} // namespace

double domainWeight(const DomainState &domain, Interval extraDelay, Instant now)
{
    const double delayFactor = std::exp(-toSeconds(extraDelay) / toSeconds(delayScale));
    const double capacityFactor = rampFactor(domain, now) * headroomFactor(domain, now);
    return domain.slots * delayFactor * std::pow(capacityFactor, capacityExponent);
}

Steering::Steering(SteeringView view)
    : view_(std::move(view))
    , usableInstances_(view_.domains.size())
{
    for (const DomainState &domain : view_.domains)
        domainKeys_.push_back(hash64(domain.id.value(), hash64(view_.service.value())));
    for (std::size_t i = 0; i < view_.instances.size(); ++i) {
        const InstanceState &instance = view_.instances[i];
        instanceKeys_.push_back(hash64(instance.address.value()));
        if (!instance.suspect && !instance.leaving && instance.cells > 0)
            usableInstances_[instance.domain].push_back(i);
    }
}

Result<Steering> Steering::create(SteeringView view)
{
    const auto fail = [&](std::string_view peer, std::string_view reason) {
        return Error { "steering.create", std::string(peer), std::string(reason) };
    };
    for (const InstanceState &instance : view.instances) {
        if (instance.domain >= view.domains.size())
            return fail(instance.address.value(), "the instance's domain does not exist");
    }
    for (const SiteState &site : view.sites) {
        if (site.delays.size() != view.domains.size())
            return fail(
                site.id.value(), "the site does not have exactly one delay for each domain");
    }
    for (const ShiftPlan &shift : view.shifts) {
        if (const Status status = shift.validate(); !status)
            return fail(view.service.value(), status.lastReason().reason);
        if (std::ranges::count(view.shifts, shift.from, &ShiftPlan::from) > 1)
            return fail(shift.from.value(), "two shifts have the same source region");
    }
    return Steering(std::move(view));
}

std::vector<Choice> Steering::choose(
    const ClientBlock &block, SiteIndex siteIndex, Instant now, std::size_t count) const
{
    std::vector<Choice> choices;
    if (siteIndex >= view_.sites.size())
        return choices;
    const SiteState &site = view_.sites[siteIndex];
    const std::uint64_t blockKey
        = detail::mix64(std::uint64_t { block.prefix } << 8 | block.length);
    const auto sortByScore = [](std::vector<ScoredIndex> &scored) {
        std::ranges::sort(scored, {}, &ScoredIndex::score);
    };

    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < view_.domains.size(); ++i) {
        const DomainState &domain = view_.domains[i];
        if (domain.reachable && !domain.draining && domain.slots > 0
            && !usableInstances_[i].empty())
            usable.push_back(i);
    }
    const RegionId home = homeRegion(site.home, view_.service, block, view_.shifts, now);
    for (const RankedRegion &region : rankRegions(view_, usable, site, home)) {
        std::vector<ScoredIndex> domains;
        for (std::size_t i : region.domains) {
            const double weight
                = domainWeight(view_.domains[i], site.delays[i] - region.delay, now);
            domains.push_back({ i, rendezvousScore(blockKey, domainKeys_[i], weight) });
        }
        sortByScore(domains);
        for (const ScoredIndex &domain : domains) {
            std::vector<ScoredIndex> instances;
            for (std::size_t i : usableInstances_[domain.index]) {
                const double cells = view_.instances[i].cells;
                instances.push_back({ i, rendezvousScore(blockKey, instanceKeys_[i], cells) });
            }
            sortByScore(instances);
            instances.resize(std::min<std::size_t>(instances.size(), choices.empty() ? 2 : 1));
            for (const ScoredIndex &instance : instances) {
                if (choices.size() == count)
                    return choices;
                choices.push_back(
                    { view_.instances[instance.index].address, view_.domains[domain.index].id });
            }
        }
    }
    return choices;
}

} // namespace endivequay
