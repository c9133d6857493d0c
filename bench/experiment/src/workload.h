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
/// Index of the class of open routes, after the teams.
inline constexpr int openClass = teamCount;
inline constexpr int classCount = teamCount + 1;
inline constexpr int blocksPerClass = 400;

constexpr int regionOf(int domain)
{
    return domain / 2;
}

/// Routes of a service, reduced to what steering depends on.
struct ServiceModel
{
    ServiceId id;
    int upstreams = 0;
    int slotsEach = 0;
    Interval meanTime {}; ///< Time of a warm upstream for a request.
    double openShare = 0; ///< Of the requests, on open routes.
    double onceShare = 0; ///< Of the keyed requests, not to be retried after a broken response.
    double deferrableShare = 0; ///< Of the keyed requests.
    Interval deadline {}; ///< Of requests that are not deferrable; those have 10 s.

    int domainOf(int upstream) const { return upstream % domainCount; }
    double slots() const { return upstreams * slotsEach; }
    /// Requests per second at the given use of all slots.
    double rateAt(double utilization) const { return utilization * slots() / toSeconds(meanTime); }
};

/// A deployment of docs/design.md, section 1.4.
struct Deployment
{
    std::string name;
    std::array<std::string, regionCount> regions;
    Interval domainDelay {}; ///< One way between domains of a region.
    Interval regionDelay {}; ///< One way between regions.
    Interval clientDelay {}; ///< One way between a client and its nearest domain.
    std::vector<ServiceModel> services;

    /// One way between two domains.
    Interval between(int domain, int other) const;
    /// One way from the clients of site \a site (one site near each domain) to \a domain.
    Interval fromSite(int site, int domain) const { return clientDelay + between(site, domain); }
};

std::vector<Deployment> deployments();

/// Share of a team's requests among all teams: Zipf with exponent 1.
double teamShare(int team);

/// Name of a team; the open class has the empty one.
TeamId teamName(int team);

/// One of the blocks from which a class of requests comes.
ClientBlock blockOf(int requestClass, int number);
/// Site of a block; all sites have the same number of blocks, up to chance.
SiteIndex siteOf(const ClientBlock &block);

/// Random numbers that are the same with every standard library.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : engine_(seed)
    { }

    /// At least 0 and below 1.
    double unit();
    int below(int bound) { return static_cast<int>(unit() * bound); }
    Interval exponential(double perSecond);
    /// Sum of two exponential times; varies less than one exponential time of the same mean.
    Interval serviceTime(Interval mean);

private:
    std::mt19937_64 engine_;
};

} // namespace endivequay::bench

#endif
