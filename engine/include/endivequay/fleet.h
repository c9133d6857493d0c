#ifndef ENDIVEQUAY_FLEET_H
#define ENDIVEQUAY_FLEET_H

#include "endivequay/clock.h"
#include "endivequay/types.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace endivequay {

using InstanceId = Strong<struct InstanceTag, std::string>;

/// Hash of the name of a team or a service. Reports go to every instance several times a second,
/// and names would make them too long. A collision only distorts the demand of the two names.
using DemandKey = Strong<struct DemandKeyTag, std::uint32_t>;

DemandKey demandKey(const TeamId &team);
DemandKey demandKey(const ServiceId &service);

/// Arrival rate in requests per second, admitted or not, by team and by service.
using DemandReport = std::map<DemandKey, double>;

/// The rate of \a key in \a report, or 0 if it is absent.
double demandOf(const DemandReport &report, DemandKey key);

/// What an instance can carry; 0 means unknown.
struct InstanceCapacity
{
    double cores = 0; ///< Processor cores, with fractions.
    double linkMbps = 0; ///< Bandwidth of the machine's link.

    auto operator<=>(const InstanceCapacity &) const = default;
};

/// State of another instance, as known to this one.
struct PeerView
{
    InstanceId id;
    FailureDomainId domain;
    RegionId region;
    DemandReport demand;
    Instant lastSeenAt; ///< Time of its latest message.
    Instant firstListedAt {}; ///< When it first appeared in the member list.
    InstanceCapacity capacity {};
};

/// Fraction of the cores and of the bandwidth of the strongest instance in a failure domain from
/// which an instance of the domain is a preferred one.
inline constexpr double minPreferredFraction = 0.5;

/// Whether an instance is one of the preferred instances of its failure domain, of which \a
/// strongest has the most cores. Callers use the preferred instances while these keep up: fewer
/// instances see more of the load each, reuse more connections to the upstreams, and divide limits
/// less finely. On a narrow link, large bodies delay the small messages behind them.
constexpr bool isPreferred(const InstanceCapacity &own, const InstanceCapacity &strongest)
{
    return own.cores >= minPreferredFraction * strongest.cores
        && own.linkMbps >= minPreferredFraction * strongest.linkMbps;
}

/// Event rate as an exponentially weighted moving average. Not thread safe.
class RateMeter
{
public:
    /// Averages over several requests and still follows a burst.
    static constexpr double timeConstantSeconds = 1.5;

    void count(Instant now, double events = 1);
    /// Events per second.
    double rate(Instant now) const;
    Interval idleTime(Instant now) const { return now - updatedAt_; }

private:
    double level_ = 0; ///< Exponentially decayed event count.
    Instant updatedAt_;
    Instant firstEventAt_;
};

/// Measures the arrival rate of each team and service at this instance. Not thread safe.
class DemandMeter
{
public:
    void recordArrival(const TeamId &team, const ServiceId &service, Instant now);
    /// Rates at \a now, without those below 0.02 requests per second.
    DemandReport report(Instant now);

private:
    std::map<DemandKey, RateMeter> meters_;
};

} // namespace endivequay

#endif
