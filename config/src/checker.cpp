#include "checker.h"

#include "blocks.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace endivequay::detail {

namespace {

using namespace std::chrono_literals;

// Requests per second. Keeps rate times window below 2^53, up to which doubles count exactly.
constexpr double maximumRate = 1e9;

// A longer one-way delay leaves no time for a response within maximumRequestTimeout.
constexpr Interval maximumOneWayDelay = 5s;

// Limits lookups to ten per second and caller.
constexpr Interval minimumLookupLifetime = 100ms;

// Planned shifts rely on cached lookups expiring within 2 s (section 3.5 of the design page).
constexpr Interval maximumLookupLifetime = 2s;

constexpr int maximumSlots = 100'000;
constexpr int maximumConnections = 1'000'000;
constexpr std::size_t maximumIdLength = 63;

constexpr std::array<std::string_view, 8> methods { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE",
    "OPTIONS", "*" };

bool isIdCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
}

bool isId(std::string_view text)
{
    return !text.empty() && text.size() <= maximumIdLength
        && std::ranges::all_of(text, isIdCharacter) && text.front() != '-' && text.front() != '_';
}

bool isDigest(std::string_view text)
{
    const auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == 64 && std::ranges::all_of(text, isDigit);
}

bool isAddress(std::string_view text)
{
    const auto ip = consumeIpv4(text);
    if (!ip || *ip == 0 || !text.starts_with(':') || text.size() > 6)
        return false;
    text.remove_prefix(1);
    const bool digits
        = !text.empty() && std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; });
    return digits && text.front() != '0' && std::stoi(std::string(text)) <= 65'535;
}

class Checker
{
public:
    Checker(const ConfigurationParts &parts, PathStyle style, ValidationErrors &errors)
        : parts_(parts)
        , style_(style)
        , errors_(errors)
    { }

    void check()
    {
        checkRegions();
        checkSites();
        checkDelays();
        checkServices();
        checkUpstreams();
        checkTeams();
        checkBlocks();
    }

private:
    std::string topologyPath(std::string_view list, std::size_t i) const
    {
        return fmt::format("{}{}[{}]", style_ == PathStyle::Json ? "" : "regions.", list, i);
    }

    template <class Part>
    std::string partPath(std::string_view list, const std::vector<Part> &parts, std::size_t i) const
    {
        return style_ == PathStyle::Json ? fmt::format("{}[{}]", list, i)
                                         : fmt::format("{}/{}", list, parts[i].id.value());
    }

    std::string upstreamPath(std::size_t i) const
    {
        if (style_ == PathStyle::Json)
            return fmt::format("upstreams[{}]", i);
        const ServiceId &service = parts_.upstreams[i].service;
        const auto position = std::count_if(parts_.upstreams.begin(),
            parts_.upstreams.begin() + static_cast<std::ptrdiff_t>(i),
            [&](const Upstream &other) { return other.service == service; });
        return fmt::format("upstreams/{0}.upstreams[{1}]", service.value(), position);
    }

    /// Records an error if \a id is malformed or already in \a seen; else adds it to \a seen.
    template <class Id>
    void checkId(const Id &id, std::unordered_set<Id> &seen, const std::string &path)
    {
        if (!isId(id.value()))
            errors_.add(path,
                "must have 1 to 63 characters a-z, 0-9, - or _ and begin with a "
                "letter or digit");
        else if (!seen.insert(id).second)
            errors_.add(path, "\"" + id.value() + "\" is used twice");
    }

    template <class Id>
    void checkReference(const Id &id, const std::unordered_set<Id> &known, std::string_view kind,
        const std::string &path)
    {
        if (!known.contains(id))
            errors_.add(path, fmt::format("there is no {} \"{}\"", kind, id.value()));
    }

    void checkRange(double value, double minimum, double maximum, const std::string &path)
    {
        if (!(value >= minimum && value <= maximum))
            errors_.add(
                path, fmt::format("must be from {} to {}, not {}", minimum, maximum, value));
    }

    void checkRange(
        Interval value, Interval minimum, Interval maximum, Interval unit, const std::string &path)
    {
        const auto inUnits
            = [unit](Interval interval) { return toSeconds(interval) / toSeconds(unit); };
        checkRange(inUnits(value), inUnits(minimum), inUnits(maximum), path);
    }

    void checkPositive(double value, const std::string &path)
    {
        if (!(value > 0 && value <= maximumRate))
            errors_.add(
                path, fmt::format("must be above 0 and at most {}, not {}", maximumRate, value));
    }

    void checkRegions()
    {
        const Topology &topology = parts_.topology;
        for (std::size_t i = 0; i < topology.regions.size(); ++i) {
            const std::string path = topologyPath("regions", i);
            checkId(topology.regions[i].id, regions_, path + ".id");
            if (topology.regions[i].capacity)
                checkPositive(topology.regions[i].capacity->value(), path + ".capacity");
        }
        for (std::size_t i = 0; i < topology.domains.size(); ++i) {
            const std::string path = topologyPath("failure_domains", i);
            checkId(topology.domains[i].id, domains_, path + ".id");
            checkReference(topology.domains[i].region, regions_, "region", path + ".region");
        }
    }

    void checkSites()
    {
        const auto &sites = parts_.topology.sites;
        for (std::size_t i = 0; i < sites.size(); ++i) {
            const std::string path = topologyPath("sites", i);
            checkId(sites[i].id, sites_, path + ".id");
            checkReference(
                sites[i].failureDomain, domains_, "failure domain", path + ".failure_domain");
        }
    }

    template <class Entry, class Id>
    void checkPairs(const std::vector<Entry> &entries, std::string_view list,
        const std::unordered_set<Id> &known, std::string_view kind)
    {
        std::set<std::pair<Id, Id>> seen;
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const auto &[a, b, value] = entries[i];
            const std::string path = topologyPath(list, i) + ".between";
            checkReference(a, known, kind, path);
            checkReference(b, known, kind, path);
            if (a == b)
                errors_.add(path, "names the same " + std::string(kind) + " twice");
            if (!seen.insert(std::minmax(a, b)).second)
                errors_.add(path, "is listed twice");
        }
    }

    void checkDelays()
    {
        const Topology &topology = parts_.topology;
        checkPairs(topology.regionDelays, "region_delays", regions_, "region");
        checkPairs(topology.domainDelays, "domain_delays", domains_, "failure domain");
        checkPairs(topology.links, "links", regions_, "region");
        for (std::size_t i = 0; i < topology.regionDelays.size(); ++i)
            checkRange(topology.regionDelays[i].delay, 0s, maximumOneWayDelay, 1ms,
                topologyPath("region_delays", i) + ".delay_ms");
        for (std::size_t i = 0; i < topology.domainDelays.size(); ++i)
            checkRange(topology.domainDelays[i].delay, 0s, maximumOneWayDelay, 1ms,
                topologyPath("domain_delays", i) + ".delay_ms");
        for (std::size_t i = 0; i < topology.links.size(); ++i)
            checkRange(topology.links[i].bytesPerSecond, 1, 1e12,
                topologyPath("links", i) + ".bytes_per_s");
    }

    void checkServices()
    {
        for (std::size_t i = 0; i < parts_.services.size(); ++i) {
            const Service &service = parts_.services[i];
            const std::string path = partPath("services", parts_.services, i);
            checkId(service.id, services_, path + ".id");
            checkRange(service.plannedRate.value(), 0, maximumRate, path + ".planned_rate");
            checkRange(service.shiftCap.fraction, 0, 1, path + ".shift_cap.fraction");
            checkRange(service.shiftCap.window, 1s, 24h, 1s, path + ".shift_cap.window_s");
            checkRange(service.lookupLifetime, minimumLookupLifetime, maximumLookupLifetime, 1ms,
                path + ".lookup_lifetime_ms");
            checkWeights(service, path + ".weights");
            if (service.plannedShift)
                checkPlannedShift(*service.plannedShift, path + ".planned_shift");
            checkRoutes(service.routes, path + ".routes");
        }
    }

    void checkWeights(const Service &service, const std::string &path)
    {
        for (const auto &[domain, weight] : service.weights) {
            checkReference(domain, domains_, "failure domain", path + "." + domain.value());
            checkRange(weight, 0, 1000, path + "." + domain.value());
        }
        const auto hasZeroWeight = [&](const FailureDomain &domain) {
            return Configuration::weight(service, domain.id) == 0;
        };
        const auto &domains = parts_.topology.domains;
        if (!domains.empty() && std::ranges::all_of(domains, hasZeroWeight))
            errors_.add(path, "leaves no failure domain with a weight above 0");
    }

    void checkPlannedShift(const PlannedShift &shift, const std::string &path)
    {
        checkReference(shift.from, regions_, "region", path + ".from");
        checkReference(shift.to, regions_, "region", path + ".to");
        if (shift.from == shift.to)
            errors_.add(path + ".to", "must differ from \"from\"");
        checkRange(shift.fraction, 0, 1, path + ".fraction");
    }

    void checkRoutes(const std::vector<Route> &routes, const std::string &path)
    {
        std::set<std::pair<std::string, std::string>> seen;
        for (std::size_t i = 0; i < routes.size(); ++i) {
            const Route &route = routes[i];
            const std::string routePath = fmt::format("{}[{}]", path, i);
            if (std::ranges::find(methods, route.method) == methods.end())
                errors_.add(routePath + ".method",
                    fmt::format("must be one of: {}", fmt::join(methods, ", ")));
            checkRoutePath(route.path, routePath + ".path");
            if (!seen.insert({ route.method, route.path }).second)
                errors_.add(routePath + ".path", "has two routes for method " + route.method);
            if (route.kind == RouteKind::Once && route.access == Access::Open)
                errors_.add(routePath + ".access",
                    "must be keyed because the kind is once: operation ids belong to a team");
            checkRange(
                route.requestTimeout, 1ms, maximumRequestTimeout, 1ms, routePath + ".max_time_ms");
        }
    }

    void checkRoutePath(const std::string &text, const std::string &path)
    {
        if (!isUnambiguousPath(text))
            errors_.add(path, "must begin with / and have no escape, no empty or dot segment");
        else if (text.size() > 1 && text.ends_with('/'))
            errors_.add(path, "must not end with /");
    }

    void checkUpstreams()
    {
        std::unordered_set<UpstreamId> ids;
        std::unordered_set<Address> addresses;
        for (std::size_t i = 0; i < parts_.upstreams.size(); ++i) {
            const Upstream &upstream = parts_.upstreams[i];
            const std::string path = upstreamPath(i);
            checkId(upstream.id, ids, path + ".id");
            checkReference(upstream.service, services_, "service", path + ".service");
            checkReference(
                upstream.failureDomain, domains_, "failure domain", path + ".failure_domain");
            if (!isAddress(upstream.address.value()))
                errors_.add(path + ".address", "must be an address like \"10.0.0.7:8080\"");
            else if (!addresses.insert(upstream.address).second)
                errors_.add(path + ".address",
                    upstream.address.value() + " is used twice, so its slots would count twice");
            checkRange(upstream.slots.value(), 1, maximumSlots, path + ".slots");
            checkRange(upstream.connections, 1, maximumConnections, path + ".connections");
            if (upstream.connections < upstream.slots.value())
                errors_.add(path + ".connections", "must be at least the number of slots");
        }
    }

    void checkTeams()
    {
        std::unordered_set<TeamId> ids;
        for (std::size_t i = 0; i < parts_.teams.size(); ++i) {
            const Team &team = parts_.teams[i];
            const std::string path = partPath("teams", parts_.teams, i);
            checkId(team.id, ids, path + ".id");
            checkPositive(team.rate.value(), path + ".rate");
            checkRange(team.burst.value(), 1, maximumRate, path + ".burst");
            checkKeys(team, path + ".keys");
        }
    }

    void checkKeys(const Team &team, const std::string &path)
    {
        using KeyId = Strong<struct KeyTag, std::string>;
        std::unordered_set<KeyId> ids;
        for (std::size_t i = 0; i < team.keys.size(); ++i) {
            const TeamKey &key = team.keys[i];
            const std::string keyPath = fmt::format("{}[{}]", path, i);
            checkId(KeyId(key.id), ids, keyPath + ".id");
            if (!isDigest(key.sha256))
                errors_.add(keyPath + ".sha256", "must have 64 lower-case hexadecimal digits");
            else if (const auto [other, inserted] = teamsByKeyDigest_.emplace(key.sha256, team.id);
                     !inserted)
                errors_.add(
                    keyPath + ".sha256", "is also a key of team \"" + other->second.value() + "\"");
        }
    }

    void checkBlocks()
    {
        for (const auto &[octet, group] : parts_.clientBlocks) {
            const std::string path = style_ == PathStyle::Json
                ? "client_blocks"
                : fmt::format("blocks/{}.client_blocks", octet);
            for (const SiteId &site : group->sites)
                checkReference(site, sites_, "site", path + "." + site.value());
        }
    }

    static bool isUnambiguousPath(const std::string &path)
    {
        const Service none;
        return matchRoute(none, "GET", path).outcome != RouteMatch::Outcome::BadPath;
    }

    const ConfigurationParts &parts_;
    const PathStyle style_;
    ValidationErrors &errors_;
    std::unordered_set<RegionId> regions_;
    std::unordered_set<FailureDomainId> domains_;
    std::unordered_set<SiteId> sites_;
    std::unordered_set<ServiceId> services_;
    std::unordered_map<std::string, TeamId> teamsByKeyDigest_;
};

} // namespace

void checkParts(const ConfigurationParts &parts, PathStyle style, ValidationErrors &errors)
{
    Checker(parts, style, errors).check();
}

} // namespace endivequay::detail
