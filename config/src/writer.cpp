#include "writer.h"

#include "blocks.h"
#include "enums.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cmath>

namespace endivequay::detail {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

// 2^53: a double does not represent every larger integer.
constexpr double maximumExactInteger = 9007199254740992.0;

/// Writes whole numbers without a fractional part.
json toNumber(double value)
{
    if (value == std::floor(value) && std::abs(value) < maximumExactInteger)
        return static_cast<std::int64_t>(value);
    return value;
}

json toNumber(Interval interval, Interval unit)
{
    return toNumber(static_cast<double>(interval.count()) / static_cast<double>(unit.count()));
}

json toJson(const Region &region)
{
    json value { { "id", region.id.value() } };
    if (region.capacity)
        value["capacity"] = toNumber(region.capacity->value());
    return value;
}

json toJson(const FailureDomain &domain)
{
    return { { "id", domain.id.value() }, { "region", domain.region.value() } };
}

json toJson(const Site &site)
{
    return { { "id", site.id.value() }, { "failure_domain", site.failureDomain.value() } };
}

template <class Delay>
json delayToJson(const Delay &delay)
{
    return { { "between", json::array({ delay.a.value(), delay.b.value() }) },
        { "delay_ms", toNumber(delay.delay, 1ms) } };
}

json toJson(const RegionDelay &delay)
{
    return delayToJson(delay);
}

json toJson(const DomainDelay &delay)
{
    return delayToJson(delay);
}

json toJson(const LinkLimit &link)
{
    return { { "between", json::array({ link.a.value(), link.b.value() }) },
        { "bytes_per_s", toNumber(link.bytesPerSecond) } };
}

json toJson(const Route &route)
{
    return { { "method", route.method }, { "path", route.path },
        { "access", nameOf(accessNames, route.access) },
        { "kind", nameOf(routeKindNames, route.kind) },
        { "max_time_ms", toNumber(route.requestTimeout, 1ms) } };
}

json toJson(const Service &service);
json toJson(const Upstream &upstream);
json toJson(const TeamKey &key);
json toJson(const Team &team);

template <class Part>
json toList(const std::vector<Part> &parts)
{
    json list = json::array();
    for (const Part &part : parts)
        list.push_back(toJson(part));
    return list;
}

json toJson(const Service &service)
{
    json value { { "id", service.id.value() },
        { "planned_rate", toNumber(service.plannedRate.value()) },
        { "shift_cap",
            { { "fraction", toNumber(service.shiftCap.fraction) },
                { "window_s", toNumber(service.shiftCap.window, 1s) } } },
        { "when_stale", nameOf(whenStaleNames, service.whenStale) },
        { "routes", toList(service.routes) },
        { "lookup_lifetime_ms", toNumber(service.lookupLifetime, 1ms) } };
    for (const auto &[domain, weight] : service.weights)
        value["weights"][domain.value()] = toNumber(weight);
    if (const auto &shift = service.plannedShift)
        value["planned_shift"] = { { "from", shift->from.value() }, { "to", shift->to.value() },
            { "fraction", toNumber(shift->fraction) } };
    return value;
}

json toJson(const Upstream &upstream)
{
    return { { "id", upstream.id.value() }, { "service", upstream.service.value() },
        { "failure_domain", upstream.failureDomain.value() },
        { "address", upstream.address.value() }, { "slots", upstream.slots.value() },
        { "connections", upstream.connections },
        { "state", nameOf(upstreamStateNames, upstream.state) } };
}

json toJson(const TeamKey &key)
{
    return { { "id", key.id }, { "sha256", key.sha256 } };
}

json toJson(const Team &team)
{
    return { { "id", team.id.value() }, { "rate", toNumber(team.rate.value()) },
        { "burst", toNumber(team.burst.value()) }, { "keys", toList(team.keys) } };
}

json toJson(const Topology &topology)
{
    json value { { "regions", toList(topology.regions) },
        { "failure_domains", toList(topology.domains) } };
    const auto addUnlessEmpty = [&value](const char *name, json list) {
        if (!list.empty())
            value[name] = std::move(list);
    };
    addUnlessEmpty("sites", toList(topology.sites));
    addUnlessEmpty("region_delays", toList(topology.regionDelays));
    addUnlessEmpty("domain_delays", toList(topology.domainDelays));
    addUnlessEmpty("links", toList(topology.links));
    return value;
}

void addNetworks(const ClientBlockGroup &group, NetworksBySite &networks)
{
    for (const ClientBlockEntry &block : group.blocks)
        networks[group.sites[block.site].value()].push_back(
            toText({ block.network, block.prefixLength }));
}

} // namespace

NetworksBySite networksBySite(const ClientBlockGroups &groups)
{
    NetworksBySite networks;
    for (const auto &[octet, group] : groups)
        addNetworks(*group, networks);
    return networks;
}

std::string writeJson(const ConfigurationParts &parts, const NetworksBySite &blocks)
{
    json value = toJson(parts.topology);
    value["services"] = toList(parts.services);
    value["upstreams"] = toList(parts.upstreams);
    value["teams"] = toList(parts.teams);
    value["client_blocks"] = blocks;
    return value.dump(1, ' ', true, json::error_handler_t::replace) + "\n";
}

Documents writeDocuments(const ConfigurationParts &parts)
{
    Documents documents;
    if (!(parts.topology == Topology {}))
        documents["regions"] = toJson(parts.topology).dump();
    for (const Service &service : parts.services)
        documents["services/" + service.id.value()] = toJson(service).dump();
    std::map<ServiceId, std::vector<Upstream>> upstreams;
    for (const Upstream &upstream : parts.upstreams)
        upstreams[upstream.service].push_back(upstream);
    for (const auto &[service, list] : upstreams)
        documents["upstreams/" + service.value()] = json { { "upstreams", toList(list) } }.dump();
    for (const Team &team : parts.teams)
        documents["teams/" + team.id.value()] = toJson(team).dump();
    for (const auto &[octet, group] : parts.clientBlocks) {
        NetworksBySite networks;
        addNetworks(*group, networks);
        documents["blocks/" + std::to_string(octet)]
            = json { { "client_blocks", networks } }.dump();
    }
    return documents;
}

} // namespace endivequay::detail
