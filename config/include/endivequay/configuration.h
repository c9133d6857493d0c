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

/// A region and its capacity.
struct Region
{
    RegionId id;
    std::optional<RequestRate> capacity; ///< Requests per second; unset means unlimited.

    bool operator==(const Region &) const = default;
};

/// A set of instances and upstreams that fail together.
struct FailureDomain
{
    FailureDomainId id;
    RegionId region;

    bool operator==(const FailureDomain &) const = default;
};

/// A client location that client blocks are assigned to.
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

/// Bandwidth in bytes per second that requests between two regions may use, in each direction.
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
    std::vector<Site> sites; ///< Not empty if there are domains: default sites are added.
    std::vector<RegionDelay> regionDelays;
    std::vector<DomainDelay> domainDelays;
    std::vector<LinkLimit> links;

    bool operator==(const Topology &) const = default;
};

/// Fraction of a service's planned rate that may be served outside its home region per window.
struct ShiftCap
{
    double fraction = 0; ///< From 0 to 1.
    Interval window {};

    bool operator==(const ShiftCap &) const = default;
};

/// How an instance whose configuration is stale (not confirmed recently) handles keyed requests.
enum class WhenStale : std::uint8_t { Refuse, Continue };

/// Whether a route requires an API key.
enum class Access : std::uint8_t { Open, Keyed };

/// Retry and priority semantics of the requests of a route.
enum class RouteKind : std::uint8_t {
    Idempotent, ///< May be retried.
    Once, ///< Requires an operation id; executed at most once.
    Deferrable, ///< Idempotent; lowest priority.
};

/// Matches requests by method and path prefix.
struct Route
{
    std::string method; ///< Upper case, or "*" for every method.
    std::string path; ///< Prefix of whole path segments; starts with '/'.
    Access access = Access::Keyed;
    RouteKind kind = RouteKind::Idempotent;
    Interval requestTimeout = std::chrono::seconds(10); ///< At most 10 s.

    bool operator==(const Route &) const = default;
};

/// Moves a fraction of the client blocks of a region to another home region, see ShiftSteps.
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
    Interval lookupLifetime = std::chrono::seconds(2); ///< Cache lifetime of lookup answers.
    std::map<FailureDomainId, double> weights; ///< Domains without an entry have weight 1.
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
    SlotCount slots; ///< Concurrent requests, summed over all instances.
    int connections = 0; ///< Accepted connections, summed over all instances.
    UpstreamState state = UpstreamState::Active;

    bool operator==(const Upstream &) const = default;
};

/// An API key of a team. Only its digest is stored.
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
    RequestRate rate; ///< Requests per second, summed over all instances.
    RequestCount burst; ///< Requests, summed over all instances; at least 1.
    std::vector<TeamKey> keys;

    bool operator==(const Team &) const = default;
};

/// Clients with IPv4 addresses in network/prefixLength. 8 bytes per entry.
struct ClientBlockEntry
{
    std::uint32_t network = 0; ///< Host byte order; host bits are 0.
    std::uint16_t site = 0; ///< Index into ClientBlockGroup::sites.
    std::uint8_t prefixLength = 0;

    bool operator==(const ClientBlockEntry &) const = default;
};

/// The content of a document "blocks/<first octet>".
///
/// Immutable and shared between successive configurations, so that a reader can skip groups whose
/// pointer is unchanged.
struct ClientBlockGroup
{
    std::uint8_t firstOctet = 0;
    std::vector<SiteId> sites; ///< Sorted, unique.
    std::vector<ClientBlockEntry> blocks; ///< Sorted by network, then prefix length.

    bool operator==(const ClientBlockGroup &) const = default;
};

using ClientBlockGroups = std::map<std::uint8_t, std::shared_ptr<const ClientBlockGroup>>;

/// Unvalidated parts of a configuration.
struct ConfigurationParts
{
    Topology topology;
    std::vector<Service> services;
    std::vector<Upstream> upstreams;
    std::vector<Team> teams;
    ClientBlockGroups clientBlocks;
};

/// Document texts by their name under the store's configuration prefix, for example
/// "services/storefront". The document "head" is not included.
using Documents = std::map<std::string, std::string>;

/// Documents written and deleted by one change.
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

/// Upper bound of Route::requestTimeout.
inline constexpr Interval maximumRequestTimeout = std::chrono::seconds(10);

/// Result of matching a method and path against the routes of a service.
struct RouteMatch
{
    enum class Outcome : std::uint8_t {
        Matched,
        NoRoute, ///< The path is well-formed, but no route matches.
        BadPath, ///< Percent escape, dot or empty segment, or disallowed character.
    };

    Outcome outcome = Outcome::NoRoute;
    const Route *route = nullptr; ///< Set only if outcome is Matched; owned by the service.
};

/// Returns the route of \a service that allows \a method and has the longest prefix of \a path.
///
/// \a path must not contain the query. Of two routes with the same path, the one that names the
/// method takes precedence over "*". Percent escapes and dot segments are rejected because an
/// upstream might resolve them to a path of another route.
RouteMatch matchRoute(const Service &service, std::string_view method, std::string_view path);

/// The team and key that match a key digest; owned by the configuration.
struct KeyOwner
{
    const Team *team = nullptr;
    const TeamKey *key = nullptr;
};

/// A complete, validated configuration. Immutable; copies share the client blocks.
///
/// Errors have the step "config.check" and the path of the field in Error::peer, for example
/// "services[0].shift_cap.fraction" (JSON) or "services/storefront.shift_cap.fraction" (documents).
class Configuration
{
public:
    /// Constructs the empty configuration, the initial state of every store.
    Configuration();

    /// Parses and validates the documents (section 3.1 of the design page) as a whole. \a errors
    /// receives all errors in the order found; the first one is returned.
    static Result<Configuration> fromDocuments(
        const Documents &documents, std::vector<Error> *errors = nullptr);

    /// Parses a whole configuration as printed by an operator's program (at most 64 MB of JSON).
    static Result<Configuration> fromJson(
        std::string_view text, std::vector<Error> *errors = nullptr);

    /// Validates \a parts. If there are no sites, adds a default site per domain.
    static Result<Configuration> fromParts(
        ConfigurationParts parts, std::vector<Error> *errors = nullptr);

    /// Returns this configuration with \a change applied. Parses only the changed documents.
    Result<Configuration> withChange(
        const DocumentChange &change, std::vector<Error> *errors = nullptr) const;

    /// Serializes to documents, byte for byte the same for equal configurations. Everything except
    /// the client blocks is sorted by id.
    Documents toDocuments() const;

    /// Serializes to the JSON that fromJson() reads, byte for byte the same for equal
    /// configurations.
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

    /// The lookups by id return nullptr if the id is unknown.
    const Region *region(const RegionId &id) const;
    const FailureDomain *domain(const FailureDomainId &id) const;
    const Site *site(const SiteId &id) const;
    const Service *service(const ServiceId &id) const;
    const Team *team(const TeamId &id) const;
    const Upstream *upstream(const UpstreamId &id) const;

    /// Returns the region of a failure domain, or an empty id if the domain is unknown.
    RegionId regionOf(const FailureDomainId &id) const;

    /// Returns the upstreams of one service, sorted by id.
    std::vector<const Upstream *> upstreamsOf(const ServiceId &id) const;

    /// Returns the team and key with this SHA-256 digest (64 lower-case hexadecimal digits).
    ///
    /// Compares digests in constant time, so that response times do not help to guess one: the
    /// duration depends only on the number of digests in the hash bucket.
    std::optional<KeyOwner> teamByKeyDigest(std::string_view sha256) const;

    /// Returns the one-way delay between two domains: 0 if they are the same; else the delay
    /// configured for the two domains; else 1 ms if they share a region; else the delay configured
    /// for their regions; else 50 ms.
    Interval delay(const FailureDomainId &from, const FailureDomainId &to) const;

    /// Returns the bandwidth limit in bytes per second between two regions; none means unlimited.
    std::optional<double> linkBudget(const RegionId &from, const RegionId &to) const;

    /// Returns the weight of a domain for a service, 1 if the service has no entry for it.
    static double weight(const Service &service, const FailureDomainId &domain);

private:
    struct KeyLocation
    {
        std::size_t teamIndex = 0;
        std::size_t keyIndex = 0;
    };

    explicit Configuration(ConfigurationParts parts);

    ConfigurationParts parts_;
    std::uint64_t digestHashSeed_ = 0;
    std::unordered_map<std::uint64_t, std::vector<KeyLocation>> keysByDigestHash_;
    std::unordered_map<FailureDomainId, std::size_t> domainIndex_;
    std::map<std::pair<std::string, std::string>, Interval> domainDelayByPair_;
    std::map<std::pair<std::string, std::string>, Interval> regionDelayByPair_;
};

/// Returns the puts and deletes that turn \a from into \a to.
DocumentChange diffDocuments(const Documents &from, const Documents &to);

/// Splits the difference between \a from and \a to into changes of at most \a limit documents, each
/// of which results in a valid configuration. Fails if \a to is invalid or if more than \a limit
/// documents depend on each other and must change together.
Result<std::vector<DocumentChange>> splitChanges(
    const Documents &from, const Documents &to, std::size_t limit = maximumDocumentsPerChange);

/// Returns errors of replacing the configuration in force by another one: a planned shift that
/// moves by more than an eighth of the shift cap or changes its regions while it is active.
std::vector<Error> checkTransition(const Configuration &from, const Configuration &to);

/// Returns warnings about valid settings that weaken a guarantee or are probably a mistake, each
/// with its path.
std::vector<Error> warnings(const Configuration &configuration);

/// Steps by which a planned shift reaches its target without exceeding the shift cap (section 3.5
/// of the design page).
struct ShiftSteps
{
    std::vector<double> fractions; ///< Fraction after each step; the last is the target.
    Interval stepInterval {}; ///< Time between steps: (window + 12 s) / 3.
};

/// Plans the steps from the fraction in force to \a target, each at most an eighth of the cap.
Result<ShiftSteps> planShift(const Service &service, double target);

} // namespace endivequay

#endif
