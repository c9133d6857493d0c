#include "reader.h"

#include "blocks.h"
#include "enums.h"
#include "objectreader.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace endivequay::detail {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

// Twice the design size of 600,000 client blocks of about 25 bytes, with room for the rest.
constexpr std::size_t maximumTextBytes = 64'000'000;

Region readRegion(const json &value, const std::string &path, Faults &faults)
{
    const ObjectReader reader(value, path, regionFields, faults);
    Region region { RegionId(reader.text("id")), std::nullopt };
    if (reader.has("capacity"))
        region.capacity = RequestRate(reader.number("capacity"));
    return region;
}

template <class Delay, class Id>
Delay readDelay(const json &value, const std::string &path, Faults &faults)
{
    const ObjectReader reader(value, path, delayFields, faults);
    const auto [a, b] = reader.pair("between");
    return { Id(a), Id(b), reader.interval("delay_ms", 1ms) };
}

LinkLimit readLink(const json &value, const std::string &path, Faults &faults)
{
    const ObjectReader reader(value, path, linkFields, faults);
    const auto [a, b] = reader.pair("between");
    return { RegionId(a), RegionId(b), reader.number("bytes_per_s") };
}

void readTopology(const ObjectReader &reader, Topology &topology, Faults &faults)
{
    reader.each("regions", [&](const json &value, const std::string &path) {
        topology.regions.push_back(readRegion(value, path, faults));
    });
    reader.each("failure_domains", [&](const json &value, const std::string &path) {
        const ObjectReader domain(value, path, domainFields, faults);
        topology.domains.push_back(
            { FailureDomainId(domain.text("id")), RegionId(domain.text("region")) });
    });
    reader.each("sites", [&](const json &value, const std::string &path) {
        const ObjectReader site(value, path, siteFields, faults);
        topology.sites.push_back(
            { SiteId(site.text("id")), FailureDomainId(site.text("failure_domain")) });
    });
    reader.each("region_delays", [&](const json &value, const std::string &path) {
        topology.regionDelays.push_back(readDelay<RegionDelay, RegionId>(value, path, faults));
    });
    reader.each("domain_delays", [&](const json &value, const std::string &path) {
        topology.domainDelays.push_back(
            readDelay<DomainDelay, FailureDomainId>(value, path, faults));
    });
    reader.each("links", [&](const json &value, const std::string &path) {
        topology.links.push_back(readLink(value, path, faults));
    });
}

Route readRoute(const json &value, const std::string &path, Faults &faults)
{
    const ObjectReader reader(value, path, routeFields, faults);
    Route route;
    route.method = reader.text("method");
    route.path = reader.text("path");
    route.access = reader.choice<Access>("access", accessNames, route.access);
    route.kind = reader.choice<RouteKind>("kind", routeKindNames, route.kind);
    route.maximumTime = reader.interval("max_time_ms", 1ms, route.maximumTime);
    return route;
}

ShiftCap readShiftCap(const json &value, const std::string &path, Faults &faults)
{
    const ObjectReader reader(value, path, shiftCapFields, faults);
    return { reader.number("fraction"), reader.interval("window_s", 1s) };
}

PlannedShift readPlannedShift(const json &value, const std::string &path, Faults &faults)
{
    const ObjectReader reader(value, path, plannedShiftFields, faults);
    return { RegionId(reader.text("from")), RegionId(reader.text("to")),
        reader.number("fraction") };
}

Service readService(const json &value, const std::string &path, Faults &faults)
{
    const ObjectReader reader(value, path, serviceFields, faults);
    Service service;
    service.id = ServiceId(reader.text("id"));
    service.plannedRate = RequestRate(reader.number("planned_rate"));
    if (const json *cap = reader.find("shift_cap"))
        service.shiftCap = readShiftCap(*cap, reader.path("shift_cap"), faults);
    service.whenStale = reader.choice<WhenStale>("when_stale", whenStaleNames, service.whenStale);
    reader.each("routes", [&](const json &route, const std::string &routePath) {
        service.routes.push_back(readRoute(route, routePath, faults));
    });
    service.lookupLifetime = reader.interval("lookup_lifetime_ms", 1ms, service.lookupLifetime);
    reader.members("weights",
        [&](const std::string &domain, const json &weight, const std::string &weightPath) {
            if (weight.is_number())
                service.weights[FailureDomainId(domain)] = weight.get<double>();
            else
                faults.add(weightPath, "must be a number");
        });
    if (const json *shift = reader.find("planned_shift"))
        service.plannedShift = readPlannedShift(*shift, reader.path("planned_shift"), faults);
    return service;
}

Upstream readUpstream(const json &value, const std::string &path, Faults &faults)
{
    const ObjectReader reader(value, path, upstreamFields, faults);
    Upstream upstream;
    upstream.id = UpstreamId(reader.text("id"));
    upstream.service = ServiceId(reader.text("service"));
    upstream.failureDomain = FailureDomainId(reader.text("failure_domain"));
    upstream.address = Address(reader.text("address"));
    upstream.slots = SlotCount(reader.integer("slots"));
    upstream.connections = reader.integer("connections");
    upstream.state = reader.choice<UpstreamState>("state", upstreamStateNames, upstream.state);
    return upstream;
}

Team readTeam(const json &value, const std::string &path, Faults &faults)
{
    const ObjectReader reader(value, path, teamFields, faults);
    Team team;
    team.id = TeamId(reader.text("id"));
    team.rate = RequestRate(reader.number("rate"));
    team.burst = RequestCount(reader.number("burst"));
    reader.each("keys", [&](const json &key, const std::string &keyPath) {
        const ObjectReader keyReader(key, keyPath, keyFields, faults);
        team.keys.push_back({ keyReader.text("id"), keyReader.text("sha256") });
    });
    return team;
}

/// Reads the blocks of one site; those outside \a octet are a fault.
void readSiteBlocks(const SiteId &site, const json &list, const std::string &path,
    std::optional<int> octet, BlockCollector &collector, Faults &faults)
{
    if (!list.is_array()) {
        faults.add(path, "must be a list");
        return;
    }
    for (std::size_t i = 0; i < list.size(); ++i) {
        const auto *text = list[i].get_ptr<const std::string *>();
        const auto block = parseCidr(text == nullptr ? std::string_view() : *text);
        if (!block)
            faults.add(fmt::format("{}[{}]", path, i), block.lastReason().reason);
        else if (octet && static_cast<int>(block->network >> 24) != *octet)
            faults.add(fmt::format("{}[{}]", path, i),
                fmt::format("must begin with {} like the document's name", *octet));
        else
            collector.add(site, *block);
    }
}

void readBlocks(
    const ObjectReader &reader, std::optional<int> octet, ConfigurationParts &parts, Faults &faults)
{
    BlockCollector collector;
    reader.members(
        "client_blocks", [&](const std::string &site, const json &list, const std::string &path) {
            readSiteBlocks(SiteId(site), list, path, octet, collector, faults);
        });
    parts.clientBlocks.merge(collector.finish(reader.path("client_blocks"), faults));
}

void readUpstreams(const ObjectReader &reader, ConfigurationParts &parts, Faults &faults)
{
    reader.each("upstreams", [&](const json &value, const std::string &path) {
        parts.upstreams.push_back(readUpstream(value, path, faults));
    });
}

enum class DocumentKind { Regions, Service, Upstreams, Team, Blocks, Unknown };

struct DocumentName
{
    DocumentKind kind = DocumentKind::Unknown;
    std::string id; ///< Part after the slash.
    int octet = 0;
};

DocumentName parseName(const std::string &name)
{
    const auto slash = name.find('/');
    const std::string kind = name.substr(0, slash);
    const std::string id = slash == std::string::npos ? "" : name.substr(slash + 1);
    if (name == "regions")
        return { DocumentKind::Regions, id };
    if (kind == "services" && !id.empty())
        return { DocumentKind::Service, id };
    if (kind == "upstreams" && !id.empty())
        return { DocumentKind::Upstreams, id };
    if (kind == "teams" && !id.empty())
        return { DocumentKind::Team, id };
    int octet = -1;
    std::from_chars(id.data(), id.data() + id.size(), octet);
    if (kind == "blocks" && octet >= 0 && octet <= 255 && std::to_string(octet) == id)
        return { DocumentKind::Blocks, id, octet };
    return {};
}

void requireId(
    const std::string &found, const std::string &wanted, const std::string &path, Faults &faults)
{
    if (found != wanted)
        faults.add(path, "must be \"" + wanted + "\" like the document's name");
}

void readKnownDocument(const DocumentName &name, const json &value, const std::string &path,
    ConfigurationParts &parts, Faults &faults)
{
    switch (name.kind) {
    case DocumentKind::Regions:
        readTopology(
            ObjectReader(value, path, regionsDocumentFields, faults), parts.topology, faults);
        break;
    case DocumentKind::Service:
        parts.services.push_back(readService(value, path, faults));
        requireId(parts.services.back().id.value(), name.id, path + ".id", faults);
        break;
    case DocumentKind::Upstreams: {
        const std::size_t before = parts.upstreams.size();
        readUpstreams(ObjectReader(value, path, upstreamsDocumentFields, faults), parts, faults);
        for (std::size_t i = before; i < parts.upstreams.size(); ++i)
            requireId(parts.upstreams[i].service.value(), name.id,
                fmt::format("{}.upstreams[{}].service", path, i - before), faults);
        break;
    }
    case DocumentKind::Team:
        parts.teams.push_back(readTeam(value, path, faults));
        requireId(parts.teams.back().id.value(), name.id, path + ".id", faults);
        break;
    case DocumentKind::Blocks:
        readBlocks(
            ObjectReader(value, path, blocksDocumentFields, faults), name.octet, parts, faults);
        break;
    case DocumentKind::Unknown:
        break;
    }
}

} // namespace

void readJson(std::string_view text, ConfigurationParts &parts, Faults &faults)
{
    if (text.size() > maximumTextBytes) {
        faults.add("configuration",
            fmt::format("has {} bytes, at most {} are read", text.size(), maximumTextBytes));
        return;
    }
    const json value = parseStrict(text, "configuration", faults);
    if (!faults.empty())
        return;
    if (!value.is_object()) {
        faults.add("configuration", "must be an object");
        return;
    }
    const ObjectReader reader(value, "", configurationFields, faults);
    readTopology(reader, parts.topology, faults);
    reader.each("services", [&](const json &service, const std::string &path) {
        parts.services.push_back(readService(service, path, faults));
    });
    readUpstreams(reader, parts, faults);
    reader.each("teams", [&](const json &team, const std::string &path) {
        parts.teams.push_back(readTeam(team, path, faults));
    });
    readBlocks(reader, std::nullopt, parts, faults);
}

void removeDocument(const std::string &name, ConfigurationParts &parts, Faults &faults)
{
    const DocumentName parsed = parseName(name);
    switch (parsed.kind) {
    case DocumentKind::Regions:
        parts.topology = {};
        break;
    case DocumentKind::Service:
        std::erase_if(parts.services, [&](const auto &s) { return s.id.value() == parsed.id; });
        break;
    case DocumentKind::Upstreams:
        std::erase_if(
            parts.upstreams, [&](const auto &u) { return u.service.value() == parsed.id; });
        break;
    case DocumentKind::Team:
        std::erase_if(parts.teams, [&](const auto &t) { return t.id.value() == parsed.id; });
        break;
    case DocumentKind::Blocks:
        parts.clientBlocks.erase(static_cast<std::uint8_t>(parsed.octet));
        break;
    case DocumentKind::Unknown:
        faults.add(name, "is not the name of a document");
        break;
    }
}

void readDocument(
    const std::string &name, std::string_view text, ConfigurationParts &parts, Faults &faults)
{
    if (text.size() > maximumDocumentBytes) {
        faults.add(name,
            fmt::format(
                "has {} bytes, a document has at most {}", text.size(), maximumDocumentBytes));
        return;
    }
    const std::size_t before = faults.list().size();
    const json value = parseStrict(text, name, faults);
    if (faults.list().size() == before)
        readKnownDocument(parseName(name), value, name, parts, faults);
}

} // namespace endivequay::detail
