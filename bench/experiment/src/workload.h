#ifndef ENDIVEQUAY_BENCH_WORKLOAD_H
#define ENDIVEQUAY_BENCH_WORKLOAD_H

#include "endivequay/clock.h"
#include "endivequay/lookuptable.h"
#include "endivequay/types.h"

#include <array>
#include <random>
#include <string>
#include <vector>

namespace endivequay::bench {

inline constexpr int regionCount = 3;
inline constexpr int domainCount = 6;
inline constexpr int instancesPerDomain = 2;
inline constexpr int instanceCount = domainCount * instancesPerDomain;
inline constexpr int teamCount = 8;
/// Request class of open routes (without a key); its index follows those of the teams.
inline constexpr int openClass = teamCount;
inline constexpr int classCount = teamCount + 1;
inline constexpr int blocksPerClass = 400;

constexpr int regionOf(int domain)
{
    return domain / 2;
}

/// Traffic model of a service, with the properties that steering depends on.
struct ServiceModel
{
    ServiceId id;
    int upstreams = 0;
    int slotsPerUpstream = 0;
    Interval meanServiceTime {}; ///< At an upstream with warm caches.
    double openShare = 0; ///< Share of requests on open routes.
    double onceShare
        = 0; ///< Share of keyed requests that must not be retried after a broken response.
    double deferrableShare = 0; ///< Share of keyed requests that are deferrable.
    Interval deadline {}; ///< For requests that are not deferrable; deferrable ones have 10 s.

    int domainOf(int upstream) const { return upstream % domainCount; }
    double slots() const { return upstreams * slotsPerUpstream; }
    /// Requests per second at the given utilization of all slots.
    double rateAt(double utilization) const
    {
        return utilization * slots() / toSeconds(meanServiceTime);
    }
};

/// A deployment of docs/design.md, section 1.4.
struct Deployment
{
    std::string name;
    std::array<std::string, regionCount> regions;
    Interval interDomainDelay {}; ///< One way between domains of a region.
    Interval interRegionDelay {}; ///< One way between regions.
    Interval clientDelay {}; ///< One way between a client and its nearest domain.
    std::vector<ServiceModel> services;

    /// One-way network delay between two domains.
    Interval delayBetween(int domain, int other) const;
    /// One-way network delay from the clients of site \a site (one site near each domain) to
    /// \a domain.
    Interval delayFromSite(int site, int domain) const
    {
        return clientDelay + delayBetween(site, domain);
    }
};

std::vector<Deployment> deployments();

/// Share of a team's requests among all teams: Zipf with exponent 1.
double teamShare(int team);

/// Name of a team; empty for the open class.
TeamId teamName(int team);

/// One of the client blocks that send the requests of a class.
ClientBlock clientBlockOf(int requestClass, int number);
/// Site of a block; blocks are hashed to sites, so sites have about the same number of them.
SiteIndex siteOf(const ClientBlock &block);

/// Random number generator whose sequence is the same with every standard library.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : engine_(seed)
    { }

    /// Uniform in [0, 1).
    double uniform();
    int uniformBelow(int bound) { return static_cast<int>(uniform() * bound); }
    Interval exponential(double perSecond);
    /// Erlang-2 distributed with the given mean, at least 1 ms; its variance is lower than that of
    /// an exponential distribution with the same mean.
    Interval serviceTime(Interval mean);

private:
    std::mt19937_64 engine_;
};

} // namespace endivequay::bench

#endif
