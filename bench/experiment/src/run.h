#ifndef ENDIVEQUAY_BENCH_RUN_H
#define ENDIVEQUAY_BENCH_RUN_H

#include "node.h"
#include "schedule.h"
#include "workload.h"

#include <map>
#include <string>
#include <string_view>

namespace endivequay::bench {

inline constexpr std::array strategies { Strategy::Product, Strategy::UniformRandom,
    Strategy::RoundRobin, Strategy::NearestDomain, Strategy::LeastLoad };

std::string_view strategyName(Strategy strategy);

struct RunOptions
{
    std::uint64_t seed = 1;
    Interval duration = std::chrono::seconds(90);
    /// Share of all slots that the mean load takes; after the loss of a region two thirds of the
    /// slots are left.
    double utilization = 0.65;
};

/// Measurements of a run. Shares are between 0 and 1, times in seconds.
struct RunResult
{
    std::string deployment;
    std::string schedule;
    Strategy strategy {};
    double requests = 0; ///< Counted requests within their team's rate.
    /// From sending to the complete response, for good responses to requests that are not
    /// deferrable.
    double meanLatency = 0;
    double p99Latency = 0;
    double headroom = 0; ///< Mean share of free slots in the most utilized domain.
    double drainTime = 0; ///< From the drain command to the end of the last request in the domain.
    double worstTeamShare = 1; ///< Lowest ratio of a class's good responses to its fair share.
    double wrongfulRefusals = 0; ///< Share of requests within the rate without a good response.
    /// For requests attempted in a domain while all of its upstreams fail.
    double attemptsPerRequest = 1;
    double overallAttemptsPerRequest = 1; ///< For all requests attempted in that time.
    double slotsExcess = 0; ///< Requests in flight at an upstream above its slots.
    double regionExcess = 0; ///< Requests in flight in a region above its slots.
    /// Share of a service's traffic shifted in a window above the cap, or of its planned or
    /// unplanned part above half of it.
    double shiftCapExcess = 0;
    /// Counted requests without a good response, by the last failure cause.
    std::map<std::string, int> failureCauses;
    double lastNewWork
        = 0; ///< From the drain command to the last request start at a leaving upstream.
};

/// Runs one deployment under one schedule on virtual time. The same seed gives every strategy the
/// same arrivals, service times and faults.
RunResult run(const Deployment &deployment, const Schedule &schedule, Strategy strategy,
    const RunOptions &options);

} // namespace endivequay::bench

#endif
