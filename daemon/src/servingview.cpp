#include "servingview.h"

#include <algorithm>

namespace endivequay {

namespace {

// A burst may use this much time's worth of a region's capacity.
constexpr auto regionBurstWindow = std::chrono::milliseconds(500);
// The shift cap is split evenly between planned and unplanned shifts.
constexpr double unplannedShiftFraction = 0.5;

std::vector<FailureDomainId> allDomains(const Configuration &configuration)
{
    std::vector<FailureDomainId> domains;
    std::ranges::transform(
        configuration.domains(), std::back_inserter(domains), &FailureDomain::id);
    std::ranges::sort(domains);
    return domains;
}

std::vector<FailureDomainId> domainsOf(const Configuration &configuration, const RegionId &region)
{
    auto domains = allDomains(configuration);
    std::erase_if(
        domains, [&](const auto &domain) { return configuration.regionOf(domain) != region; });
    return domains;
}

std::vector<ResourceDefinition> makeResources(const Configuration &configuration)
{
    std::vector<ResourceDefinition> resources;
    const auto domains = allDomains(configuration);
    for (const Team &team : configuration.teams())
        resources.push_back(
            ResourceDefinition::team(teamResource(team.id), team.rate, team.burst, domains));
    for (const Upstream &upstream : configuration.upstreams())
        resources.push_back(ResourceDefinition::slots(
            slotResource(upstream.id), upstream.slots, upstream.failureDomain));
    for (const Region &region : configuration.regions()) {
        const auto regionDomains = domainsOf(configuration, region.id);
        if (region.capacity && !regionDomains.empty())
            resources.push_back(ResourceDefinition::rate(
                regionResource(region.id), *region.capacity, regionBurstWindow, regionDomains));
    }
    for (const Service &service : configuration.services()) {
        const RequestRate rate(
            service.plannedRate.value() * service.shiftCap.fraction * unplannedShiftFraction);
        if (rate.value() > 0)
            resources.push_back(ResourceDefinition::rate(
                shiftResource(service.id), rate, std::chrono::seconds(1), domains));
    }
    return resources;
}

std::map<SiteId, SiteIndex> siteIndexes(const Configuration &configuration)
{
    std::map<SiteId, SiteIndex> indexes;
    for (const Site &site : configuration.sites())
        indexes.emplace(site.id, static_cast<SiteIndex>(indexes.size()));
    return indexes;
}

void addBlockChanges(std::vector<BlockChange> &changes, const ClientBlockGroup &group,
    const std::map<SiteId, SiteIndex> *indexes)
{
    for (const ClientBlockEntry &entry : group.blocks) {
        BlockChange change { { entry.network, entry.prefixLength }, std::nullopt };
        if (indexes != nullptr)
            change.site = indexes->at(group.sites.at(entry.site));
        changes.push_back(change);
    }
}

/// Skips groups whose pointer is unchanged, unless the site indexes have changed.
Result<LookupTable> makeBlocks(const Configuration &configuration, const ConfigView *previous)
{
    const auto indexes = siteIndexes(configuration);
    const bool sameSites = previous != nullptr && siteIndexes(*previous->configuration) == indexes;
    std::vector<BlockChange> changes;
    if (sameSites) {
        for (const auto &[octet, group] : previous->configuration->clientBlocks()) {
            const auto found = configuration.clientBlocks().find(octet);
            if (found == configuration.clientBlocks().end() || found->second != group)
                addBlockChanges(changes, *group, nullptr);
        }
    }
    for (const auto &[octet, group] : configuration.clientBlocks()) {
        const auto old = sameSites ? previous->configuration->clientBlocks().find(octet)
                                   : ClientBlockGroups::const_iterator();
        if (!sameSites || old == previous->configuration->clientBlocks().end()
            || old->second != group)
            addBlockChanges(changes, *group, &indexes);
    }
    return sameSites ? previous->blocks.apply(changes) : LookupTable().apply(changes);
}

/// Planned shift of a service. Operators step a shift by changing the configuration, so each change
/// of the fraction is a step that starts now.
std::optional<ShiftPlan> makeShiftPlan(
    const Service &service, const ConfigView *previous, Instant now)
{
    if (!service.plannedShift)
        return std::nullopt;
    ShiftPlan plan;
    plan.from = service.plannedShift->from;
    plan.to = service.plannedShift->to;
    plan.fraction = service.plannedShift->fraction;
    plan.cap = service.shiftCap.fraction;
    plan.window = service.shiftCap.window;
    plan.initialFraction = previous == nullptr ? plan.fraction : 0;
    plan.adoptedAt = now;
    if (previous == nullptr)
        return plan;
    const auto old = previous->shifts.find(service.id);
    if (old == previous->shifts.end() || old->second.from != plan.from)
        return plan;
    if (old->second.fraction == plan.fraction)
        return old->second;
    plan.initialFraction = old->second.fraction;
    return plan;
}

DocumentChange changedDocuments(const SharedDocuments &before, const SharedDocuments &after)
{
    DocumentChange change;
    for (const auto &[name, text] : after) {
        const auto old = before.find(name);
        if (old == before.end() || (old->second != text && *old->second != *text))
            change.puts.emplace(name, *text);
    }
    for (const auto &[name, text] : before) {
        if (!after.contains(name))
            change.deletes.insert(name);
    }
    return change;
}

DomainState domainState(const ConfigView &view, const Service &service, const FailureDomain &domain,
    const Membership &membership, const LocalInstanceState &self)
{
    DomainState state;
    state.id = domain.id;
    state.region = domain.region;
    state.draining = Configuration::weight(service, domain.id) <= 0;
    double allSlots = 0;
    for (const Upstream &upstream : view.configuration->upstreams()) {
        if (upstream.failureDomain != domain.id || upstream.state == UpstreamState::Draining)
            continue;
        allSlots += upstream.slots.value();
        if (upstream.service == service.id)
            state.slots += upstream.slots.value();
    }
    double free = 0;
    bool usable = false;
    const auto add = [&](const LoadSummary &load, std::optional<Instant> heardAt) {
        usable = true;
        free += std::max(0.0, static_cast<double>(load.slots) - load.inFlight - load.queued);
        if (heardAt && (!state.reportedAt || *state.reportedAt < *heardAt))
            state.reportedAt = heardAt;
    };
    for (const Member *member : membership.membersOf(domain.id)) {
        if (member->usable())
            add(member->load, member->heardAt);
    }
    if (self.identity.domain == domain.id && self.serving)
        add(self.load, std::nullopt);
    state.reachable = usable;
    // Load summaries cover all services of a domain. Free slots are attributed to a service in
    // proportion to its slots.
    state.freeSlots = allSlots > 0 ? free * state.slots / allSlots : 0;
    return state;
}

std::vector<SiteState> siteStates(const Configuration &configuration)
{
    std::vector<SiteState> sites;
    for (const Site &site : configuration.sites()) {
        SiteState state { site.id, configuration.regionOf(site.failureDomain), {} };
        for (const FailureDomain &domain : configuration.domains())
            state.delays.push_back(configuration.delay(site.failureDomain, domain.id));
        sites.push_back(std::move(state));
    }
    return sites;
}

} // namespace

Result<std::shared_ptr<const ConfigView>> makeConfigView(const SharedDocuments &documents,
    Revision revision, const SharedDocuments &previousDocuments, const ConfigView *previous,
    Instant now)
{
    const Configuration empty;
    const Configuration &base = previous != nullptr ? *previous->configuration : empty;
    auto configuration = base.withChange(changedDocuments(previousDocuments, documents));
    if (!configuration)
        return configuration.lastReason();
    auto view = std::make_shared<ConfigView>();
    view->revision = revision;
    view->configuration = std::make_shared<const Configuration>(*std::move(configuration));
    auto blocks = makeBlocks(*view->configuration, previous);
    if (!blocks)
        return blocks.lastReason();
    view->blocks = *std::move(blocks);
    view->resources = makeResources(*view->configuration);
    for (const Service &service : view->configuration->services()) {
        if (auto plan = makeShiftPlan(service, previous, now))
            view->shifts.emplace(service.id, *std::move(plan));
    }
    return std::shared_ptr<const ConfigView>(std::move(view));
}

SteeringMap makeSteering(
    const ConfigView &view, const Membership &membership, const LocalInstanceState &self)
{
    SteeringMap map;
    const Configuration &configuration = *view.configuration;
    for (const Service &service : configuration.services()) {
        SteeringView steering;
        steering.service = service.id;
        steering.sites = siteStates(configuration);
        if (const auto shift = view.shifts.find(service.id); shift != view.shifts.end())
            steering.shifts.push_back(shift->second);
        for (const FailureDomain &domain : configuration.domains()) {
            const std::size_t index = steering.domains.size();
            steering.domains.push_back(domainState(view, service, domain, membership, self));
            for (const Member *member : membership.membersOf(domain.id))
                steering.instances.push_back(
                    { member->identity.address, index, 1, member->suspect || !member->heardAt,
                        member->state == MemberState::Leaving || member->listedLeaving });
            if (domain.id == self.identity.domain)
                steering.instances.push_back(
                    { self.identity.address, index, 1, false, !self.serving });
        }
        if (auto created = Steering::create(std::move(steering)))
            map.emplace(service.id, std::make_shared<const Steering>(*std::move(created)));
    }
    return map;
}

ResourceId teamResource(const TeamId &team)
{
    return ResourceId("team/" + team.value());
}

ResourceId slotResource(const UpstreamId &upstream)
{
    return ResourceId("slots/" + upstream.value());
}

ResourceId regionResource(const RegionId &region)
{
    return ResourceId("region/" + region.value());
}

ResourceId shiftResource(const ServiceId &service)
{
    return ResourceId("shift/" + service.value());
}

std::optional<BlockMatch> findBlock(const ConfigView &view, std::string_view client)
{
    const auto address = parseIpv4(client);
    return address ? view.blocks.find(*address) : std::nullopt;
}

} // namespace endivequay
