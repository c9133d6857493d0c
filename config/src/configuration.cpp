#include "endivequay/configuration.h"

#include "blocks.h"
#include "checker.h"
#include "reader.h"
#include "writer.h"

#include "endivequay/digest.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace endivequay {

namespace {

using namespace std::chrono_literals;

// Used where no delay is configured. Domains of a region are milliseconds apart, regions tens of
// milliseconds (sections 1.1 and 1.4 of the design page).
constexpr Interval defaultDomainDelay = 1ms;
constexpr Interval defaultRegionDelay = 50ms;

void addDefaultSites(Topology &topology)
{
    if (!topology.sites.empty())
        return;
    for (const FailureDomain &domain : topology.domains)
        topology.sites.push_back({ SiteId(domain.id.value()), domain.id });
}

template <class Entry>
void sortPairs(std::vector<Entry> &entries)
{
    for (Entry &entry : entries) {
        if (entry.b < entry.a)
            std::swap(entry.a, entry.b);
    }
    std::ranges::sort(entries, {}, [](const Entry &entry) { return std::pair(entry.a, entry.b); });
}

template <class Part>
void sortById(std::vector<Part> &parts)
{
    std::ranges::sort(parts, {}, &Part::id);
}

/// Sorts valid parts into a canonical order, so that equal configurations serialize the same way.
void normalize(ConfigurationParts &parts)
{
    Topology &topology = parts.topology;
    sortById(topology.regions);
    sortById(topology.domains);
    sortById(topology.sites);
    sortPairs(topology.regionDelays);
    sortPairs(topology.domainDelays);
    sortPairs(topology.links);
    sortById(parts.services);
    sortById(parts.upstreams);
    sortById(parts.teams);
    for (Service &service : parts.services)
        std::ranges::sort(service.routes, {},
            [](const Route &route) { return std::tie(route.path, route.method); });
    for (Team &team : parts.teams)
        std::ranges::sort(team.keys, {}, &TeamKey::id);
}

template <class Part, class Id>
const Part *findById(const std::vector<Part> &parts, const Id &id)
{
    const auto found = std::ranges::lower_bound(parts, id, {}, &Part::id);
    return found == parts.end() || found->id != id ? nullptr : &*found;
}

template <class Id>
std::pair<std::string, std::string> orderedPair(const Id &a, const Id &b)
{
    return std::minmax(a.value(), b.value());
}

void checkDocumentSizes(const ConfigurationParts &parts, detail::ValidationErrors &collected)
{
    for (const auto &[name, text] : detail::writeDocuments(parts)) {
        if (text.size() > maximumDocumentBytes)
            collected.add(name,
                fmt::format("would have {} bytes, a document has at most {}", text.size(),
                    maximumDocumentBytes));
    }
}

/// Adds default sites, then validates \a parts. Sorts them only if there is no error.
void completeAndCheck(
    ConfigurationParts &parts, detail::PathStyle style, detail::ValidationErrors &collected)
{
    addDefaultSites(parts.topology);
    detail::checkParts(parts, style, collected);
    if (collected.empty())
        normalize(parts);
}

} // namespace

Configuration::Configuration() = default;

Configuration::Configuration(ConfigurationParts parts)
    : parts_(std::move(parts))
    , digestHashSeed_(randomNonZero64())
{
    for (std::size_t team = 0; team < parts_.teams.size(); ++team) {
        for (std::size_t key = 0; key < parts_.teams[team].keys.size(); ++key)
            keysByDigestHash_[hash64(parts_.teams[team].keys[key].sha256, digestHashSeed_)]
                .push_back({ team, key });
    }
    for (std::size_t i = 0; i < domains().size(); ++i)
        domainIndex_[domains()[i].id] = i;
    for (const auto &[a, b, delay] : topology().domainDelays)
        domainDelayByPair_[orderedPair(a, b)] = delay;
    for (const auto &[a, b, delay] : topology().regionDelays)
        regionDelayByPair_[orderedPair(a, b)] = delay;
}

Result<Configuration> Configuration::fromDocuments(
    const Documents &documents, std::vector<Error> *errors)
{
    return Configuration().withChange({ documents, {} }, errors);
}

Result<Configuration> Configuration::withChange(
    const DocumentChange &change, std::vector<Error> *errors) const
{
    detail::ValidationErrors collected;
    ConfigurationParts parts = parts_;
    for (const std::string &name : change.deletes)
        detail::removeDocument(name, parts, collected);
    for (const auto &[name, text] : change.puts) {
        detail::removeDocument(name, parts, collected);
        detail::readDocument(name, text, parts, collected);
    }
    completeAndCheck(parts, detail::PathStyle::Documents, collected);
    if (errors != nullptr)
        *errors = collected.list();
    if (!collected.empty())
        return collected.first();
    return Configuration(std::move(parts));
}

Result<Configuration> Configuration::fromJson(std::string_view text, std::vector<Error> *errors)
{
    detail::ValidationErrors collected;
    ConfigurationParts parts;
    detail::readJson(text, parts, collected);
    completeAndCheck(parts, detail::PathStyle::Json, collected);
    if (collected.empty())
        checkDocumentSizes(parts, collected);
    if (errors != nullptr)
        *errors = collected.list();
    if (!collected.empty())
        return collected.first();
    return Configuration(std::move(parts));
}

Result<Configuration> Configuration::fromParts(ConfigurationParts parts, std::vector<Error> *errors)
{
    detail::ValidationErrors collected;
    for (const auto &[octet, group] : parts.clientBlocks) {
        detail::checkGroup(*group, "client_blocks", collected);
        if (group->firstOctet != octet)
            collected.add("client_blocks", "has a group under the wrong first octet");
    }
    completeAndCheck(parts, detail::PathStyle::Json, collected);
    if (collected.empty())
        checkDocumentSizes(parts, collected);
    if (errors != nullptr)
        *errors = collected.list();
    if (!collected.empty())
        return collected.first();
    return Configuration(std::move(parts));
}

Documents Configuration::toDocuments() const
{
    return detail::writeDocuments(parts_);
}

std::string Configuration::toJson() const
{
    return detail::writeJson(parts_, detail::networksBySite(parts_.clientBlocks));
}

std::size_t Configuration::clientBlockCount() const
{
    return std::accumulate(parts_.clientBlocks.begin(), parts_.clientBlocks.end(), std::size_t(0),
        [](std::size_t sum, const auto &entry) { return sum + entry.second->blocks.size(); });
}

const Region *Configuration::region(const RegionId &id) const
{
    return findById(regions(), id);
}

const FailureDomain *Configuration::domain(const FailureDomainId &id) const
{
    const auto found = domainIndex_.find(id);
    return found == domainIndex_.end() ? nullptr : &domains()[found->second];
}

const Site *Configuration::site(const SiteId &id) const
{
    return findById(sites(), id);
}

const Service *Configuration::service(const ServiceId &id) const
{
    return findById(services(), id);
}

const Team *Configuration::team(const TeamId &id) const
{
    return findById(teams(), id);
}

const Upstream *Configuration::upstream(const UpstreamId &id) const
{
    return findById(upstreams(), id);
}

RegionId Configuration::regionOf(const FailureDomainId &id) const
{
    const FailureDomain *found = domain(id);
    return found == nullptr ? RegionId() : found->region;
}

std::vector<const Upstream *> Configuration::upstreamsOf(const ServiceId &id) const
{
    std::vector<const Upstream *> list;
    for (const Upstream &upstream : upstreams()) {
        if (upstream.service == id)
            list.push_back(&upstream);
    }
    return list;
}

std::optional<KeyOwner> Configuration::teamByKeyDigest(std::string_view sha256) const
{
    const auto bucket = keysByDigestHash_.find(hash64(sha256, digestHashSeed_));
    if (bucket == keysByDigestHash_.end())
        return std::nullopt;
    std::optional<KeyOwner> owner;
    for (const KeyLocation &entry : bucket->second) {
        const Team &team = teams()[entry.teamIndex];
        const TeamKey &key = team.keys[entry.keyIndex];
        if (equalConstantTime(key.sha256, sha256))
            owner = KeyOwner { &team, &key };
    }
    return owner;
}

Interval Configuration::delay(const FailureDomainId &from, const FailureDomainId &to) const
{
    if (from == to)
        return Interval(0);
    if (const auto explicitDelay = domainDelayByPair_.find(orderedPair(from, to));
        explicitDelay != domainDelayByPair_.end())
        return explicitDelay->second;
    const RegionId a = regionOf(from);
    const RegionId b = regionOf(to);
    if (a == b)
        return defaultDomainDelay;
    const auto between = regionDelayByPair_.find(orderedPair(a, b));
    return between == regionDelayByPair_.end() ? defaultRegionDelay : between->second;
}

std::optional<double> Configuration::linkBudget(const RegionId &from, const RegionId &to) const
{
    const auto endpoints = orderedPair(from, to);
    const auto found = std::ranges::find_if(topology().links,
        [&](const LinkLimit &link) { return orderedPair(link.a, link.b) == endpoints; });
    return found == topology().links.end() ? std::nullopt : std::optional(found->bytesPerSecond);
}

double Configuration::weight(const Service &service, const FailureDomainId &domain)
{
    const auto found = service.weights.find(domain);
    return found == service.weights.end() ? 1 : found->second;
}

} // namespace endivequay
