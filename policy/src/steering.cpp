#include "endivequay/steering.h"

#include "endivequay/digest.h"

#include "mix.h"

#include <algorithm>
#include <cmath>

namespace endivequay {

namespace {

/// Extra one-way delay that lowers a domain's weight to 1/e. Well below the delay between two
/// domains of a region (4 ms), so that the near domain is preferred while both have room.
constexpr Interval delayScale = std::chrono::milliseconds(2);
/// Share of free slots below which a domain's weight falls.
constexpr double comfortableHeadroom = 0.25;
/// Weight that is left to a domain whose report shows no free slot, as the report may be wrong.
constexpr double fullWeight = 0.05;
/// Age at which a report has no effect any more.
constexpr Interval reportLifetime = std::chrono::seconds(10);

double headroomFactor(const DomainState &domain, Instant now)
{
    if (!domain.reportedAt || domain.slots <= 0)
        return 1;
    const double age = toSeconds(now - *domain.reportedAt) / toSeconds(reportLifetime);
    const double trust = std::clamp(1 - age, 0.0, 1.0);
    const double headroom = domain.freeSlots / domain.slots / comfortableHeadroom;
    return 1 + trust * (std::clamp(headroom, fullWeight, 1.0) - 1);
}

/// Slots that a domain may use: 1 at the start of a ramp, doubled every second.
double rampedSlots(const DomainState &domain, Instant now)
{
    if (!domain.rampSince)
        return domain.slots;
    const double seconds = std::clamp(toSeconds(now - *domain.rampSince), 0.0, 60.0);
    return std::min(domain.slots, std::exp2(seconds));
}

/// Weighted rendezvous (Schindelhauer and Schomaker, 2005): the lowest score wins, each competitor
/// with a probability proportional to its weight.
double rendezvousScore(std::uint64_t block, std::uint64_t competitor, double weight)
{
    const double unit = detail::toUnit(detail::mix64(block ^ competitor));
    return -std::log1p(-unit) / weight;
}

struct Scored
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
    const double nearness = std::exp(-toSeconds(extraDelay) / toSeconds(delayScale));
    return rampedSlots(domain, now) * nearness * headroomFactor(domain, now);
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
            return fail(site.id.value(), "the site has not one delay for each domain");
    }
    for (const ShiftPlan &shift : view.shifts) {
        if (const Status status = shift.validate(); !status)
            return fail(view.service.value(), status.lastReason().reason);
        if (std::ranges::count(view.shifts, shift.from, &ShiftPlan::from) > 1)
            return fail(shift.from.value(), "two shifts leave the same region");
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
    const auto byScore
        = [](std::vector<Scored> &scored) { std::ranges::sort(scored, {}, &Scored::score); };

    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < view_.domains.size(); ++i) {
        const DomainState &domain = view_.domains[i];
        if (domain.reachable && !domain.draining && domain.slots > 0
            && !usableInstances_[i].empty())
            usable.push_back(i);
    }
    const RegionId home = homeRegion(site.home, view_.service, block, view_.shifts, now);
    for (const RankedRegion &region : rankRegions(view_, usable, site, home)) {
        std::vector<Scored> domains;
        for (std::size_t i : region.domains) {
            const double weight
                = domainWeight(view_.domains[i], site.delays[i] - region.delay, now);
            domains.push_back({ i, rendezvousScore(blockKey, domainKeys_[i], weight) });
        }
        byScore(domains);
        for (const Scored &domain : domains) {
            std::vector<Scored> instances;
            for (std::size_t i : usableInstances_[domain.index]) {
                const double cells = view_.instances[i].cells;
                instances.push_back({ i, rendezvousScore(blockKey, instanceKeys_[i], cells) });
            }
            byScore(instances);
            instances.resize(std::min<std::size_t>(instances.size(), choices.empty() ? 2 : 1));
            for (const Scored &instance : instances) {
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
