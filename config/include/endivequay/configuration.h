#ifndef ENDIVEQUAY_CONFIGURATION_H
#define ENDIVEQUAY_CONFIGURATION_H

#include "endivequay/clock.h"
#include "endivequay/result.h"
#include "endivequay/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endivequay {

/// A region and the load it can take.
struct Region
{
    RegionId id;
    std::optional<RequestRate> capacity; ///< Requests per second; none means not limited.

    bool operator==(const Region &) const = default;
};

/// A set of instances and upstreams that fail together.
struct FailureDomain
{
    FailureDomainId id;
    RegionId region;

    bool operator==(const FailureDomain &) const = default;
};

/// A place that client blocks map to.
struct Site
{
    SiteId id;
    FailureDomainId failureDomain; ///< Nearest failure domain.

    bool operator==(const Site &) const = default;
};

/// One-way delay between two regions, the same in both directions.
struct RegionDelay
{
    RegionId a;
    RegionId b;
    Interval delay {};

    bool operator==(const RegionDelay &) const = default;
};

/// One-way delay between two failure domains, the same in both directions.
struct DomainDelay
{
    FailureDomainId a;
    FailureDomainId b;
    Interval delay {};

    bool operator==(const DomainDelay &) const = default;
};

/// Bytes per second that requests between two regions may use, in each direction.
struct LinkLimit
{
    RegionId a;
    RegionId b;
    double bytesPerSecond = 0;

    bool operator==(const LinkLimit &) const = default;
};

/// The content of the document "regions".
struct Topology
{
    std::vector<Region> regions;
    std::vector<FailureDomain> domains;
    std::vector<Site> sites; ///< Never empty when there are domains: defaults are filled in.
    std::vector<RegionDelay> regionDelays;
    std::vector<DomainDelay> domainDelays;
    std::vector<LinkLimit> links;

    bool operator==(const Topology &) const = default;
};

/// Part of a service's planned rate that may be served outside its home region per window.
struct ShiftCap
{
    double fraction = 0; ///< From 0 to 1.
    Interval window {};

    bool operator==(const ShiftCap &) const = default;
};

/// What an instance with an unconfirmed configuration does with keyed requests of a service.
enum class WhenStale : std::uint8_t { Refuse, Continue };

/// Who may call a route.
enum class Access : std::uint8_t { Open, Keyed };

/// How often a request of a route may run and whether it may wait.
enum class RouteKind : std::uint8_t {
    Idempotent, ///< May be retried.
    Once, ///< Needs an operation id; runs at most once.
    Deferrable, ///< Idempotent, served after all others.
};

/// Requests of one method under one path prefix.
struct Route
{
    std::string method; ///< Upper case, or "*" for every method.
    std::string path; ///< Prefix of whole segments, starts with '/'.
    Access access = Access::Keyed;
    RouteKind kind = RouteKind::Idempotent;
    Interval maximumTime = std::chrono::seconds(10); ///< At most 10 s.

    bool operator==(const Route &) const = default;
};

/// Moves the home of a fraction of the client blocks of a region, see ShiftSteps.
struct PlannedShift
{
    RegionId from;
    RegionId to;
    double fraction = 0; ///< From 0 to 1.

    bool operator==(const PlannedShift &) const = default;
};

/// The content of a document "services/<id>".
struct Service
{
    ServiceId id;
    RequestRate plannedRate;
    ShiftCap shiftCap;
    WhenStale whenStale = WhenStale::Refuse;
    std::vector<Route> routes;
    Interval lookupLifetime = std::chrono::seconds(2); ///< How long callers may cache a look-up.
    std::map<FailureDomainId, double> weights; ///< Domains that are not named weigh 1.
    std::optional<PlannedShift> plannedShift;

    bool operator==(const Service &) const = default;
};

enum class UpstreamState : std::uint8_t { Active, Draining };

/// A back end of one service.
struct Upstream
{
    UpstreamId id;
    ServiceId service;
    FailureDomainId failureDomain;
    Address address;
    SlotCount slots; ///< Requests it serves at once, over all instances.
    int connections = 0; ///< Connections it accepts, over all instances.
    UpstreamState state = UpstreamState::Active;

    bool operator==(const Upstream &) const = default;
};

/// A key of a team. The key itself is never stored.
struct TeamKey
{
    std::string id;
    std::string sha256; ///< SHA-256 of the key, 64 lower-case hexadecimal digits.

    bool operator==(const TeamKey &) const = default;
};

/// The content of a document "teams/<id>".
struct Team
{
    TeamId id;
    RequestRate rate; ///< Over all instances together.
    RequestCount burst; ///< Over all instances together, at least 1.
    std::vector<TeamKey> keys;

    bool operator==(const Team &) const = default;
};

/// Callers with IPv4 addresses in network/prefixLength, 8 bytes each.
struct ClientBlockEntry
{
    std::uint32_t network = 0; ///< Host byte order, bits after the prefix are 0.
    std::uint16_t site = 0; ///< Index into ClientBlockGroup::sites.
    std::uint8_t prefixLength = 0;

    bool operator==(const ClientBlockEntry &) const = default;
};

/// The content of a document "blocks/<first octet>".
///
/// Immutable and shared between successive configurations, so that a reader can skip the groups
/// whose pointer did not change.
struct ClientBlockGroup
{
    std::uint8_t firstOctet = 0;
    std::vector<SiteId> sites; ///< Ascending.
    std::vector<ClientBlockEntry> blocks; ///< Ascending by network, then prefix length.

    bool operator==(const ClientBlockGroup &) const = default;
};

using ClientBlockGroups = std::map<std::uint8_t, std::shared_ptr<const ClientBlockGroup>>;

/// Parts of a configuration before they are checked.
struct ConfigurationParts
{
    Topology topology;
    std::vector<Service> services;
    std::vector<Upstream> upstreams;
    std::vector<Team> teams;
    ClientBlockGroups clientBlocks;
};

/// Documents by name below the store's configuration prefix, for example "services/storefront".
/// The document "head" is not one of them.
using Documents = std::map<std::string, std::string>;

/// Documents that one change writes and removes.
struct DocumentChange
{
    Documents puts;
    std::set<std::string> deletes;

    std::size_t size() const { return puts.size() + deletes.size(); }
    bool operator==(const DocumentChange &) const = default;
};

/// Largest document that the store accepts, in bytes.
inline constexpr std::size_t maximumDocumentBytes = 1'000'000;

/// Largest number of documents in one change.
inline constexpr std::size_t maximumDocumentsPerChange = 100;

/// Longest time that a request may take.
inline constexpr Interval maximumRequestTime = std::chrono::seconds(10);

/// How a method and path relate to the routes of a service.
struct RouteMatch
{
    enum class Outcome : std::uint8_t {
        Matched,
        NoRoute, ///< Well-formed, but no route covers it.
        BadPath, ///< Has an escape, a dot or empty segment, or a character that needs escaping.
    };

    Outcome outcome = Outcome::NoRoute;
    const Route *route = nullptr; ///< Set if outcome is Matched; owned by the service.
};

/// Finds the route of \a service with the longest prefix of \a path that allows \a method.
///
/// \a path has no query. Of two routes with the same path, the one that names the method wins.
/// Escapes and dot segments are refused because an upstream might resolve them to another route.
RouteMatch matchRoute(const Service &service, std::string_view method, std::string_view path);

/// The team and key that a digest belongs to; owned by the configuration.
struct KeyOwner
{
    const Team *team = nullptr;
    const TeamKey *key = nullptr;
};

/// A complete, valid configuration. Immutable; copies share the client blocks.
///
/// Errors carry the step "config.check" and the path of the field as peer, for example
/// "services[0].shift_cap.fraction" (JSON) or "services/storefront.shift_cap.fraction" (documents).
class Configuration
{
public:
    /// The empty configuration, from which every history starts.
    Configuration();

    /// Reads the documents of section 3.1 of the design page. Refuses all or accepts all;
    /// \a errors receives every fault found, in order, the first of which is returned.
    static Result<Configuration> fromDocuments(
        const Documents &documents, std::vector<Error> *errors = nullptr);

    /// Reads one JSON text with everything, as an operator's program prints it (at most 64 MB).
    static Result<Configuration> fromJson(
        std::string_view text, std::vector<Error> *errors = nullptr);

    /// Checks \a parts and adds a default site for every domain if there are no sites.
    static Result<Configuration> fromParts(
        ConfigurationParts parts, std::vector<Error> *errors = nullptr);

    /// This configuration after \a change. Reads only the changed documents.
    Result<Configuration> withChange(
        const DocumentChange &change, std::vector<Error> *errors = nullptr) const;

    /// The documents, the same bytes for equal configurations. All but the client blocks are
    /// sorted by id.
    Documents toDocuments() const;

    /// The JSON text that fromJson() reads, the same bytes for equal configurations.
    std::string toJson() const;

    const Topology &topology() const { return parts_.topology; }
    const std::vector<Region> &regions() const { return parts_.topology.regions; }
    const std::vector<FailureDomain> &domains() const { return parts_.topology.domains; }
    const std::vector<Site> &sites() const { return parts_.topology.sites; }
    const std::vector<Service> &services() const { return parts_.services; }
    const std::vector<Upstream> &upstreams() const { return parts_.upstreams; }
    const std::vector<Team> &teams() const { return parts_.teams; }
    const ClientBlockGroups &clientBlocks() const { return parts_.clientBlocks; }
    std::size_t clientBlockCount() const;

    /// These return nullptr when there is none with this id.
    const Region *region(const RegionId &id) const;
    const FailureDomain *domain(const FailureDomainId &id) const;
    const Site *site(const SiteId &id) const;
    const Service *service(const ServiceId &id) const;
    const Team *team(const TeamId &id) const;
    const Upstream *upstream(const UpstreamId &id) const;

    /// Region of a failure domain; empty id if the domain is unknown.
    RegionId regionOf(const FailureDomainId &id) const;

    /// Upstreams of one service, ascending by id.
    std::vector<const Upstream *> upstreamsOf(const ServiceId &id) const;

    /// The team whose key has this SHA-256 (64 lower-case hexadecimal digits).
    ///
    /// Takes the same time for every digest with the same bucket size: digests are compared as a
    /// whole, so that response times do not help to guess one.
    std::optional<KeyOwner> teamByKeyDigest(std::string_view sha256) const;

    /// One-way delay between two domains: 0 to itself, the domains' own entry, else 1 ms within a
    /// region, else the regions' entry, else 50 ms.
    Interval delay(const FailureDomainId &from, const FailureDomainId &to) const;

    /// Link budget in bytes per second from one region to another; none means not limited.
    std::optional<double> linkBudget(const RegionId &from, const RegionId &to) const;

    /// Weight of a domain for a service, 1 if the service does not name it.
    static double weight(const Service &service, const FailureDomainId &domain);

private:
    struct KeyEntry
    {
        std::size_t team = 0;
        std::size_t key = 0;
    };

    explicit Configuration(ConfigurationParts parts);

    ConfigurationParts parts_;
    std::uint64_t seed_ = 0;
    std::unordered_map<std::uint64_t, std::vector<KeyEntry>> keys_;
    std::unordered_map<FailureDomainId, std::size_t> domainIndex_;
    std::map<std::pair<std::string, std::string>, Interval> domainDelays_;
    std::map<std::pair<std::string, std::string>, Interval> regionDelays_;
};

/// The puts and deletes that lead from \a from to \a to.
DocumentChange diffDocuments(const Documents &from, const Documents &to);

/// Splits the way from \a from to \a to into changes of at most \a limit documents, each of which
/// leads to a valid configuration. Fails if \a to is invalid or if more than \a limit documents
/// can only change together.
Result<std::vector<DocumentChange>> splitChanges(
    const Documents &from, const Documents &to, std::size_t limit = maximumDocumentsPerChange);

/// Faults of the step from one configuration in force to the next: a planned shift that moves by
/// more than an eighth of the cap or changes its regions while it is in force.
std::vector<Error> checkTransition(const Configuration &from, const Configuration &to);

/// What is allowed but gives up a guarantee or is probably a mistake, one line each with its path.
std::vector<Error> warnings(const Configuration &configuration);

/// How a planned shift reaches its target without leaving the cap (section 3.5 of the design page).
struct ShiftSteps
{
    std::vector<double> fractions; ///< Fraction after each step; the last one is the target.
    Interval pause {}; ///< Between steps: (window + 12 s) / 3.
};

/// Steps from the fraction in force to \a target, each at most an eighth of the cap.
Result<ShiftSteps> planShift(const Service &service, double target);

} // namespace endivequay

#endif
