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

// Twice the design size of 600,000 client blocks of about 25 bytes, plus room for all else.
constexpr std::size_t maximumTextBytes = 64'000'000;

Region readRegion(const json &value, const std::string &path, ValidationErrors &errors)
{
    const ObjectReader reader(value, path, regionFields, errors);
    Region region { RegionId(reader.text("id")), std::nullopt };
    if (reader.has("capacity"))
        region.capacity = RequestRate(reader.number("capacity"));
    return region;
}

template <class Delay, class Id>
Delay readDelay(const json &value, const std::string &path, ValidationErrors &errors)
{
    const ObjectReader reader(value, path, delayFields, errors);
    const auto [a, b] = reader.stringPair("between");
    return { Id(a), Id(b), reader.interval("delay_ms", 1ms) };
}

LinkLimit readLink(const json &value, const std::string &path, ValidationErrors &errors)
{
    const ObjectReader reader(value, path, linkFields, errors);
    const auto [a, b] = reader.stringPair("between");
    return { RegionId(a), RegionId(b), reader.number("bytes_per_s") };
}

void readTopology(const ObjectReader &reader, Topology &topology, ValidationErrors &errors)
{
    reader.forEachElement("regions", [&](const json &value, const std::string &path) {
        topology.regions.push_back(readRegion(value, path, errors));
    });
    reader.forEachElement("failure_domains", [&](const json &value, const std::string &path) {
        const ObjectReader domain(value, path, domainFields, errors);
        topology.domains.push_back(
            { FailureDomainId(domain.text("id")), RegionId(domain.text("region")) });
    });
    reader.forEachElement("sites", [&](const json &value, const std::string &path) {
        const ObjectReader site(value, path, siteFields, errors);
        topology.sites.push_back(
            { SiteId(site.text("id")), FailureDomainId(site.text("failure_domain")) });
    });
    reader.forEachElement("region_delays", [&](const json &value, const std::string &path) {
        topology.regionDelays.push_back(readDelay<RegionDelay, RegionId>(value, path, errors));
    });
    reader.forEachElement("domain_delays", [&](const json &value, const std::string &path) {
        topology.domainDelays.push_back(
            readDelay<DomainDelay, FailureDomainId>(value, path, errors));
    });
    reader.forEachElement("links", [&](const json &value, const std::string &path) {
        topology.links.push_back(readLink(value, path, errors));
    });
}

Route readRoute(const json &value, const std::string &path, ValidationErrors &errors)
{
    const ObjectReader reader(value, path, routeFields, errors);
    Route route;
    route.method = reader.text("method");
    route.path = reader.text("path");
    route.access = reader.enumValue<Access>("access", accessNames, route.access);
    route.kind = reader.enumValue<RouteKind>("kind", routeKindNames, route.kind);
    route.requestTimeout = reader.interval("max_time_ms", 1ms, route.requestTimeout);
    return route;
}

ShiftCap readShiftCap(const json &value, const std::string &path, ValidationErrors &errors)
{
    const ObjectReader reader(value, path, shiftCapFields, errors);
    return { reader.number("fraction"), reader.interval("window_s", 1s) };
}

PlannedShift readPlannedShift(const json &value, const std::string &path, ValidationErrors &errors)
{
    const ObjectReader reader(value, path, plannedShiftFields, errors);
    return { RegionId(reader.text("from")), RegionId(reader.text("to")),
        reader.number("fraction") };
}

Service readService(const json &value, const std::string &path, ValidationErrors &errors)
{
    const ObjectReader reader(value, path, serviceFields, errors);
    Service service;
    service.id = ServiceId(reader.text("id"));
    service.plannedRate = RequestRate(reader.number("planned_rate"));
    if (const json *cap = reader.find("shift_cap"))
        service.shiftCap = readShiftCap(*cap, reader.path("shift_cap"), errors);
    service.whenStale
        = reader.enumValue<WhenStale>("when_stale", whenStaleNames, service.whenStale);
    reader.forEachElement("routes", [&](const json &route, const std::string &routePath) {
        service.routes.push_back(readRoute(route, routePath, errors));
    });
    service.lookupLifetime = reader.interval("lookup_lifetime_ms", 1ms, service.lookupLifetime);
    reader.forEachMember("weights",
        [&](const std::string &domain, const json &weight, const std::string &weightPath) {
            if (weight.is_number())
                service.weights[FailureDomainId(domain)] = weight.get<double>();
            else
                errors.add(weightPath, "must be a number");
        });
    if (const json *shift = reader.find("planned_shift"))
        service.plannedShift = readPlannedShift(*shift, reader.path("planned_shift"), errors);
    return service;
}

Upstream readUpstream(const json &value, const std::string &path, ValidationErrors &errors)
{
    const ObjectReader reader(value, path, upstreamFields, errors);
    Upstream upstream;
    upstream.id = UpstreamId(reader.text("id"));
    upstream.service = ServiceId(reader.text("service"));
    upstream.failureDomain = FailureDomainId(reader.text("failure_domain"));
    upstream.address = Address(reader.text("address"));
    upstream.slots = SlotCount(reader.integer("slots"));
    upstream.connections = reader.integer("connections");
    upstream.state = reader.enumValue<UpstreamState>("state", upstreamStateNames, upstream.state);
    return upstream;
}

Team readTeam(const json &value, const std::string &path, ValidationErrors &errors)
{
    const ObjectReader reader(value, path, teamFields, errors);
    Team team;
    team.id = TeamId(reader.text("id"));
    team.rate = RequestRate(reader.number("rate"));
    team.burst = RequestCount(reader.number("burst"));
    reader.forEachElement("keys", [&](const json &key, const std::string &keyPath) {
        const ObjectReader keyReader(key, keyPath, keyFields, errors);
        team.keys.push_back({ keyReader.text("id"), keyReader.text("sha256") });
    });
    return team;
}

/// Parses the client blocks of one site. A block whose first octet is not \a octet is an error.
void readSiteBlocks(const SiteId &site, const json &list, const std::string &path,
    std::optional<int> octet, ClientBlockGroupBuilder &builder, ValidationErrors &errors)
{
    if (!list.is_array()) {
        errors.add(path, "must be a list");
        return;
    }
    for (std::size_t i = 0; i < list.size(); ++i) {
        const auto *text = list[i].get_ptr<const std::string *>();
        const auto block = parseCidr(text == nullptr ? std::string_view() : *text);
        if (!block)
            errors.add(fmt::format("{}[{}]", path, i), block.lastReason().reason);
        else if (octet && static_cast<int>(block->network >> 24) != *octet)
            errors.add(fmt::format("{}[{}]", path, i),
                fmt::format("must begin with {} like the document's name", *octet));
        else
            builder.add(site, *block);
    }
}

void readBlocks(const ObjectReader &reader, std::optional<int> octet, ConfigurationParts &parts,
    ValidationErrors &errors)
{
    ClientBlockGroupBuilder builder;
    reader.forEachMember(
        "client_blocks", [&](const std::string &site, const json &list, const std::string &path) {
            readSiteBlocks(SiteId(site), list, path, octet, builder, errors);
        });
    parts.clientBlocks.merge(builder.build(reader.path("client_blocks"), errors));
}

void readUpstreams(const ObjectReader &reader, ConfigurationParts &parts, ValidationErrors &errors)
{
    reader.forEachElement("upstreams", [&](const json &value, const std::string &path) {
        parts.upstreams.push_back(readUpstream(value, path, errors));
    });
}

enum class DocumentKind { Regions, Service, Upstreams, Team, Blocks, Unknown };

struct DocumentName
{
    DocumentKind kind = DocumentKind::Unknown;
    std::string id; ///< Text after the slash.
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

void requireId(const std::string &actual, const std::string &expected, const std::string &path,
    ValidationErrors &errors)
{
    if (actual != expected)
        errors.add(path, "must be \"" + expected + "\" like the document's name");
}

void readKnownDocument(const DocumentName &name, const json &value, const std::string &path,
    ConfigurationParts &parts, ValidationErrors &errors)
{
    switch (name.kind) {
    case DocumentKind::Regions:
        readTopology(
            ObjectReader(value, path, regionsDocumentFields, errors), parts.topology, errors);
        break;
    case DocumentKind::Service:
        parts.services.push_back(readService(value, path, errors));
        requireId(parts.services.back().id.value(), name.id, path + ".id", errors);
        break;
    case DocumentKind::Upstreams: {
        const std::size_t previousCount = parts.upstreams.size();
        readUpstreams(ObjectReader(value, path, upstreamsDocumentFields, errors), parts, errors);
        for (std::size_t i = previousCount; i < parts.upstreams.size(); ++i)
            requireId(parts.upstreams[i].service.value(), name.id,
                fmt::format("{}.upstreams[{}].service", path, i - previousCount), errors);
        break;
    }
    case DocumentKind::Team:
        parts.teams.push_back(readTeam(value, path, errors));
        requireId(parts.teams.back().id.value(), name.id, path + ".id", errors);
        break;
    case DocumentKind::Blocks:
        readBlocks(
            ObjectReader(value, path, blocksDocumentFields, errors), name.octet, parts, errors);
        break;
    case DocumentKind::Unknown:
        break;
    }
}

} // namespace

void readJson(std::string_view text, ConfigurationParts &parts, ValidationErrors &errors)
{
    if (text.size() > maximumTextBytes) {
        errors.add("configuration",
            fmt::format("has {} bytes, at most {} are read", text.size(), maximumTextBytes));
        return;
    }
    const json value = parseStrict(text, "configuration", errors);
    if (!errors.empty())
        return;
    if (!value.is_object()) {
        errors.add("configuration", "must be an object");
        return;
    }
    const ObjectReader reader(value, "", configurationFields, errors);
    readTopology(reader, parts.topology, errors);
    reader.forEachElement("services", [&](const json &service, const std::string &path) {
        parts.services.push_back(readService(service, path, errors));
    });
    readUpstreams(reader, parts, errors);
    reader.forEachElement("teams", [&](const json &team, const std::string &path) {
        parts.teams.push_back(readTeam(team, path, errors));
    });
    readBlocks(reader, std::nullopt, parts, errors);
}

void removeDocument(const std::string &name, ConfigurationParts &parts, ValidationErrors &errors)
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
        errors.add(name, "is not the name of a document");
        break;
    }
}

void readDocument(const std::string &name, std::string_view text, ConfigurationParts &parts,
    ValidationErrors &errors)
{
    if (text.size() > maximumDocumentBytes) {
        errors.add(name,
            fmt::format(
                "has {} bytes, a document has at most {}", text.size(), maximumDocumentBytes));
        return;
    }
    const std::size_t previousCount = errors.list().size();
    const json value = parseStrict(text, name, errors);
    if (errors.list().size() == previousCount)
        readKnownDocument(parseName(name), value, name, parts, errors);
}

} // namespace endivequay::detail
