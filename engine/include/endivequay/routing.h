#ifndef ENDIVEQUAY_ROUTING_H
#define ENDIVEQUAY_ROUTING_H

#include "endivequay/clock.h"
#include "endivequay/result.h"
#include "endivequay/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endivequay {

using RouteId = Strong<struct RouteTag, std::string>;

/// Version of a configuration. Versions are totally ordered; 0 means no configuration.
using ConfigVersion = Strong<struct ConfigVersionTag, std::int64_t>;

/// Whether a request may be repeated after an attempt whose outcome is unknown.
enum class Repeatability { Idempotent, AtMostOnce };

/// Target service of a route. The weights of a route need not add up to a particular sum.
struct WeightedService
{
    ServiceId service;
    double weight = 1;
};

struct RequestRoute
{
    RouteId id;
    std::string host; ///< Without port, lower case.
    std::string prefix; ///< Begins and ends with a slash.
    Repeatability repeatability = Repeatability::AtMostOnce;
    Interval timeout {}; ///< Maximum time until the caller gets its final response.
    Interval objective {}; ///< Time within which a response has its full value.
    int priority = 0; ///< 0 is the most urgent.
    int attempts = 1; ///< Maximum number of upstreams on which one request may run.
    bool open = false; ///< No key is required.
    std::vector<RegionId> homes; ///< Regions that may serve the route; empty: all regions.
    std::vector<WeightedService> services; ///< At least one.
};

struct ServiceSettings
{
    ServiceId id;
    int maxConnections = 0; ///< Limit for one upstream, over all callers.
    Interval coldDuration {}; ///< How long an upstream is cold after its start.
    double coldRate = 0; ///< Requests per second that a cold upstream can handle; 0: no limit.
};

struct TeamSettings
{
    TeamId id;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Overrides the priority of the route.
    RequestRate rate { 0 }; ///< Requests per second over all instances; 0: no limit.
    RequestCount burst { 0 };
    std::vector<RegionId> homes; ///< Regions that may serve the team; empty: all regions.
};

/// Limits for connections and requests of callers.
struct CallerLimits
{
    std::size_t headerBytes = std::size_t { 16 } * 1024; ///< Default of most HTTP servers.
    std::size_t bodyBytes = std::size_t { 64 } * 1024 * 1024;
    Interval headerTimeout = std::chrono::seconds(3); ///< For receiving one complete header.
    Interval idleTimeout = std::chrono::seconds(15); ///< Between two requests of a connection.
};

/// A complete configuration, as written by an operator.
struct RoutingDocument
{
    ConfigVersion version;
    std::vector<RequestRoute> routes;
    std::vector<ServiceSettings> services;
    std::vector<TeamSettings> teams;
    bool keysRequired = false; ///< Requests need a key, except on open routes.
    CallerLimits callers;
    std::vector<Error> warnings; ///< Unknown values that were replaced by safe defaults.
};

/// A configuration indexed for lookups by request. Immutable.
class RoutingTable
{
public:
    /// Fails if a route has no service, names an unknown service or repeats the prefix of another
    /// route of its host.
    static Result<RoutingTable> create(RoutingDocument document);

    /// The route whose prefix is the longest match of \a path (without query) on \a host, or null.
    const RequestRoute *match(std::string_view host, std::string_view path) const;
    /// The team to which \a key belongs, or null.
    const TeamSettings *teamOf(std::string_view key) const;
    const ServiceSettings *service(const ServiceId &id) const;

    ConfigVersion version() const { return document_.version; }
    const RoutingDocument &document() const { return document_; }

private:
    struct TextHash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept
        {
            return std::hash<std::string_view> {}(text);
        }
    };
    template <class T>
    using TextMap = std::unordered_map<std::string, T, TextHash, std::equal_to<>>;

    explicit RoutingTable(RoutingDocument document);

    RoutingDocument document_;
    TextMap<TextMap<std::size_t>> routes_; ///< By host, then by prefix.
    TextMap<std::size_t> teams_; ///< By key.
    std::map<ServiceId, std::size_t> services_;
};

} // namespace endivequay

#endif
