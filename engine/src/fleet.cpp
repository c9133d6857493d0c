#include "endivequay/fleet.h"

#include "endivequay/digest.h"

#include <algorithm>
#include <cmath>

namespace endivequay {

namespace {

constexpr double negligibleRate = 0.02; // requests/s

/// Shortest span over which a rate is computed: a single event does not give a rate.
constexpr double minMeasuredSeconds = 1;

/// Idle time after which a meter is removed, as for teams and services that have left the
/// configuration.
constexpr Interval meterLifetime = std::chrono::seconds(60);

} // namespace

void RateMeter::count(Instant now, double events)
{
    if (firstEventAt_ == Instant {})
        firstEventAt_ = updatedAt_ = now;
    const double age = std::max(0.0, toSeconds(now - updatedAt_));
    level_ = level_ * std::exp(-age / timeConstantSeconds) + events;
    updatedAt_ = now;
}

double RateMeter::rate(Instant now) const
{
    if (firstEventAt_ == Instant {})
        return 0;
    const double age = std::max(0.0, toSeconds(now - updatedAt_));
    // Corrects the average for the time before the first event.
    const double measuredSeconds = std::max(minMeasuredSeconds, toSeconds(now - firstEventAt_));
    const double weight
        = timeConstantSeconds * (1 - std::exp(-measuredSeconds / timeConstantSeconds));
    return level_ * std::exp(-age / timeConstantSeconds) / weight;
}

DemandKey demandKey(const TeamId &team)
{
    return DemandKey(static_cast<std::uint32_t>(hash64(team.value(), 1)));
}

DemandKey demandKey(const ServiceId &service)
{
    return DemandKey(static_cast<std::uint32_t>(hash64(service.value(), 2)));
}

double demandOf(const DemandReport &report, DemandKey key)
{
    const auto found = report.find(key);
    return found == report.end() ? 0 : found->second;
}

void DemandMeter::recordArrival(const TeamId &team, const ServiceId &service, Instant now)
{
    if (!team.value().empty())
        meters_[demandKey(team)].count(now);
    meters_[demandKey(service)].count(now);
}

DemandReport DemandMeter::report(Instant now)
{
    std::erase_if(
        meters_, [&](const auto &entry) { return entry.second.idleTime(now) > meterLifetime; });
    DemandReport report;
    for (const auto &[key, meter] : meters_)
        if (meter.rate(now) >= negligibleRate)
            report[key] = meter.rate(now);
    return report;
}

} // namespace endivequay
