#ifndef ENDIVEQUAY_FLEET_H
#define ENDIVEQUAY_FLEET_H

#include "endivequay/clock.h"
#include "endivequay/types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace endivequay {

using InstanceId = Strong<struct InstanceTag, std::string>;

/// Digest of a team's or a service's name. Reports go to every instance several times a second, so
/// names are too long for them; a collision only misjudges demand.
using DemandKey = Strong<struct DemandKeyTag, std::uint32_t>;

DemandKey demandKey(const TeamId &team);
DemandKey demandKey(const ServiceId &service);

/// Requests per second that arrived, admitted or not, by team and by service.
using DemandReport = std::map<DemandKey, double>;

/// The rate of \a key in \a report, 0 if it is not there.
double demandOf(const DemandReport &report, DemandKey key);

/// An instance as another one sees it.
struct PeerView
{
    InstanceId id;
    FailureDomainId domain;
    RegionId region;
    DemandReport demand;
    Instant heardAt; ///< Time of its last message.
    Instant listedAt {}; ///< When it first appeared in the list of members.
};

/// Rate of events, an exponentially weighted mean. Not thread safe.
class RateMeter
{
public:
    /// Time constant: long enough to smooth a few requests, short enough to follow a burst.
    static constexpr double timeConstant = 1.5; // s

    void count(Instant now, double events = 1);
    /// Events per second.
    double rate(Instant now) const;
    Interval idleFor(Instant now) const { return now - updatedAt_; }

private:
    double level_ = 0; ///< Events, decayed.
    Instant updatedAt_;
    Instant startedAt_;
};

/// Demand of the teams and services at this instance. Not thread safe.
class DemandMeter
{
public:
    void arrived(const TeamId &team, const ServiceId &service, Instant now);
    /// Rates at \a now; entries below one request in fifty seconds are left out.
    DemandReport report(Instant now);

private:
    std::map<DemandKey, RateMeter> meters_;
};

} // namespace endivequay

#endif
