#include "endivequay/operators.h"

#include "writer.h"

#include <ostream>

namespace endivequay::operators {

RouteBuilder::RouteBuilder(std::string method, std::string path)
{
    route_.method = std::move(method);
    route_.path = std::move(path);
}

RouteBuilder &RouteBuilder::open()
{
    route_.access = Access::Open;
    return *this;
}

RouteBuilder &RouteBuilder::once()
{
    route_.kind = RouteKind::Once;
    return *this;
}

RouteBuilder &RouteBuilder::deferrable()
{
    route_.kind = RouteKind::Deferrable;
    return *this;
}

RouteBuilder &RouteBuilder::within(Interval maximumTime)
{
    route_.requestTimeout = maximumTime;
    return *this;
}

RouteBuilder get(std::string path)
{
    return { "GET", std::move(path) };
}

RouteBuilder post(std::string path)
{
    return { "POST", std::move(path) };
}

RouteBuilder any(std::string path)
{
    return { "*", std::move(path) };
}

RegionBuilder::RegionBuilder(Topology &topology, std::size_t index)
    : topology_(topology)
    , index_(index)
{ }

RegionBuilder &RegionBuilder::capacity(double requestsPerSecond)
{
    topology_.regions[index_].capacity = RequestRate(requestsPerSecond);
    return *this;
}

RegionBuilder &RegionBuilder::domain(std::string id)
{
    topology_.domains.push_back({ FailureDomainId(std::move(id)), topology_.regions[index_].id });
    return *this;
}

RegionBuilder &RegionBuilder::site(std::string id, std::string domain)
{
    topology_.sites.push_back({ SiteId(std::move(id)), FailureDomainId(std::move(domain)) });
    return *this;
}

ServiceBuilder::ServiceBuilder(std::vector<Service> &services, std::size_t index)
    : services_(services)
    , index_(index)
{ }

ServiceBuilder &ServiceBuilder::plannedRate(double requestsPerSecond)
{
    service().plannedRate = RequestRate(requestsPerSecond);
    return *this;
}

ServiceBuilder &ServiceBuilder::shiftCap(double fraction, Interval window)
{
    service().shiftCap = { fraction, window };
    return *this;
}

ServiceBuilder &ServiceBuilder::continueWhenStale()
{
    service().whenStale = WhenStale::Continue;
    return *this;
}

ServiceBuilder &ServiceBuilder::route(const RouteBuilder &route)
{
    service().routes.push_back(route.build());
    return *this;
}

ServiceBuilder &ServiceBuilder::lookupLifetime(Interval lifetime)
{
    service().lookupLifetime = lifetime;
    return *this;
}

ServiceBuilder &ServiceBuilder::weight(std::string domain, double weight)
{
    service().weights[FailureDomainId(std::move(domain))] = weight;
    return *this;
}

ServiceBuilder &ServiceBuilder::plannedShift(
    std::string fromRegion, std::string toRegion, double fraction)
{
    service().plannedShift
        = PlannedShift { RegionId(std::move(fromRegion)), RegionId(std::move(toRegion)), fraction };
    return *this;
}

UpstreamBuilder::UpstreamBuilder(std::vector<Upstream> &upstreams, std::size_t index)
    : upstreams_(upstreams)
    , index_(index)
{ }

UpstreamBuilder &UpstreamBuilder::slots(int count)
{
    upstreams_[index_].slots = SlotCount(count);
    return *this;
}

UpstreamBuilder &UpstreamBuilder::connections(int count)
{
    upstreams_[index_].connections = count;
    return *this;
}

UpstreamBuilder &UpstreamBuilder::draining()
{
    upstreams_[index_].state = UpstreamState::Draining;
    return *this;
}

TeamBuilder::TeamBuilder(std::vector<Team> &teams, std::size_t index)
    : teams_(teams)
    , index_(index)
{ }

TeamBuilder &TeamBuilder::rate(double requestsPerSecond)
{
    teams_[index_].rate = RequestRate(requestsPerSecond);
    return *this;
}

TeamBuilder &TeamBuilder::burst(double requests)
{
    teams_[index_].burst = RequestCount(requests);
    return *this;
}

TeamBuilder &TeamBuilder::key(std::string id, std::string sha256)
{
    teams_[index_].keys.push_back({ std::move(id), std::move(sha256) });
    return *this;
}

RegionBuilder Fleet::region(std::string id)
{
    parts_.topology.regions.push_back({ RegionId(std::move(id)), std::nullopt });
    return { parts_.topology, parts_.topology.regions.size() - 1 };
}

Fleet &Fleet::regionDelay(std::string a, std::string b, Interval oneWay)
{
    parts_.topology.regionDelays.push_back(
        { RegionId(std::move(a)), RegionId(std::move(b)), oneWay });
    return *this;
}

Fleet &Fleet::domainDelay(std::string a, std::string b, Interval oneWay)
{
    parts_.topology.domainDelays.push_back(
        { FailureDomainId(std::move(a)), FailureDomainId(std::move(b)), oneWay });
    return *this;
}

Fleet &Fleet::link(std::string a, std::string b, double bytesPerSecond)
{
    parts_.topology.links.push_back(
        { RegionId(std::move(a)), RegionId(std::move(b)), bytesPerSecond });
    return *this;
}

ServiceBuilder Fleet::service(std::string id)
{
    parts_.services.emplace_back().id = ServiceId(std::move(id));
    return { parts_.services, parts_.services.size() - 1 };
}

UpstreamBuilder Fleet::upstream(
    std::string service, std::string id, std::string domain, std::string address)
{
    Upstream &upstream = parts_.upstreams.emplace_back();
    upstream.id = UpstreamId(std::move(id));
    upstream.service = ServiceId(std::move(service));
    upstream.failureDomain = FailureDomainId(std::move(domain));
    upstream.address = Address(std::move(address));
    return { parts_.upstreams, parts_.upstreams.size() - 1 };
}

TeamBuilder Fleet::team(std::string id)
{
    parts_.teams.emplace_back().id = TeamId(std::move(id));
    return { parts_.teams, parts_.teams.size() - 1 };
}

Fleet &Fleet::clientBlock(std::string_view cidr, std::string site)
{
    blocks_[std::move(site)].emplace_back(cidr);
    return *this;
}

Result<Configuration> Fleet::build(std::vector<Error> *errors) const
{
    // Serializes and parses again, so that the builders and JSON input share one validation.
    return Configuration::fromJson(detail::writeJson(parts_, blocks_), errors);
}

int print(const Fleet &fleet, std::ostream &out, std::ostream &faults)
{
    std::vector<Error> errors;
    const auto configuration = fleet.build(&errors);
    for (const Error &error : errors)
        faults << error.peer << ": " << error.reason << '\n';
    if (!configuration)
        return 1;
    out << configuration->toJson() << std::flush;
    return out.good() ? 0 : 1;
}

} // namespace endivequay::operators
