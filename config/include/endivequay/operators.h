#ifndef ENDIVEQUAY_OPERATORS_H
#define ENDIVEQUAY_OPERATORS_H

#include "endivequay/configuration.h"

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Builders with which an operator's program describes a configuration and prints it as JSON.
///
///     using namespace endivequay::operators;
///     Fleet fleet;
///     fleet.region("gulf").capacity(2'000).domain("gulf-a").domain("gulf-b");
///     fleet.service("orders").plannedRate(500).shiftCap(0.2, std::chrono::seconds(60))
///         .route(post("/orders").once().within(std::chrono::seconds(2)));
///     fleet.upstream("orders", "orders-1", "gulf-a", "10.0.0.7:8080").slots(9).connections(300);
///     fleet.team("desk").rate(50).burst(100).key("k1", "<sha256 of the key>");
///     return print(fleet, std::cout, std::cerr);
namespace endivequay::operators {

/// Builds one route. Routes are keyed and idempotent by default.
class RouteBuilder
{
public:
    RouteBuilder(std::string method, std::string path);

    RouteBuilder &open(); ///< Requires no API key.
    RouteBuilder &once(); ///< Executed at most once per operation id.
    RouteBuilder &deferrable(); ///< Lowest priority.
    RouteBuilder &within(Interval maximumTime); ///< Request timeout, at most 10 s.

    const Route &build() const { return route_; }

private:
    Route route_;
};

RouteBuilder get(std::string path);
RouteBuilder post(std::string path);
RouteBuilder any(std::string path); ///< Matches every method.

/// Builds a region with its failure domains and their sites.
class RegionBuilder
{
public:
    RegionBuilder(Topology &topology, std::size_t index);

    RegionBuilder &capacity(double requestsPerSecond);
    RegionBuilder &domain(std::string id);
    /// Adds a site whose nearest domain is \a domain. If the fleet has no site, a site with the
    /// domain's id is added for every domain.
    RegionBuilder &site(std::string id, std::string domain);

private:
    Topology &topology_;
    std::size_t index_;
};

class ServiceBuilder
{
public:
    ServiceBuilder(std::vector<Service> &services, std::size_t index);

    ServiceBuilder &plannedRate(double requestsPerSecond);
    ServiceBuilder &shiftCap(double fraction, Interval window);
    ServiceBuilder &continueWhenStale(); ///< Withdrawn keys may then stay valid longer than 5 s.
    ServiceBuilder &route(const RouteBuilder &route);
    ServiceBuilder &lookupLifetime(Interval lifetime);
    ServiceBuilder &weight(std::string domain, double weight);
    ServiceBuilder &plannedShift(std::string fromRegion, std::string toRegion, double fraction);

private:
    Service &service() { return services_[index_]; }

    std::vector<Service> &services_;
    std::size_t index_;
};

class UpstreamBuilder
{
public:
    UpstreamBuilder(std::vector<Upstream> &upstreams, std::size_t index);

    UpstreamBuilder &slots(int count);
    UpstreamBuilder &connections(int count);
    UpstreamBuilder &draining();

private:
    std::vector<Upstream> &upstreams_;
    std::size_t index_;
};

class TeamBuilder
{
public:
    TeamBuilder(std::vector<Team> &teams, std::size_t index);

    TeamBuilder &rate(double requestsPerSecond);
    TeamBuilder &burst(double requests);
    TeamBuilder &key(std::string id, std::string sha256);

private:
    std::vector<Team> &teams_;
    std::size_t index_;
};

/// Builds one configuration. Part builders refer to the fleet and must not outlive it.
class Fleet
{
public:
    Fleet() = default;
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    RegionBuilder region(std::string id);
    Fleet &regionDelay(std::string a, std::string b, Interval oneWay);
    Fleet &domainDelay(std::string a, std::string b, Interval oneWay);
    Fleet &link(std::string a, std::string b, double bytesPerSecond);
    ServiceBuilder service(std::string id);
    UpstreamBuilder upstream(
        std::string service, std::string id, std::string domain, std::string address);
    TeamBuilder team(std::string id);
    /// Assigns callers in \a cidr (for example "10.1.0.0/16") to \a site.
    Fleet &clientBlock(std::string_view cidr, std::string site);

    /// Validates the configuration; \a errors receives all errors.
    Result<Configuration> build(std::vector<Error> *errors = nullptr) const;

private:
    ConfigurationParts parts_;
    std::map<std::string, std::vector<std::string>> blocks_; ///< Networks by site.
};

/// Writes the configuration to \a out, or all validation errors to \a faults. Returns the exit
/// status.
int print(const Fleet &fleet, std::ostream &out, std::ostream &faults);

} // namespace endivequay::operators

#endif
