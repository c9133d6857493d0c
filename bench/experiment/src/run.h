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
    /// Share of all slots that the mean load takes. A lost region leaves two thirds of them.
    double utilization = 0.65;
};

/// What a run measured. Shares are between 0 and 1, times in seconds.
struct RunResult
{
    std::string deployment;
    std::string schedule;
    Strategy strategy {};
    double requests = 0; ///< Within their team's rate.
    /// From sending to the complete response, of good responses that were not deferrable.
    double meanLatency = 0;
    double p99Latency = 0;
    double headroom = 0; ///< Mean share of free slots in the fullest domain.
    double drainTime = 0; ///< From the order to drain a domain to the end of its last request.
    double worstTeamShare = 1; ///< Lowest ratio of a class's good responses to its fair share.
    double wrongfulRefusals = 0; ///< Share of requests within the rate without a good response.
    /// Of the requests tried in a domain while all of its upstreams fail.
    double attemptsPerRequest = 1;
    double overallAttemptsPerRequest = 1; ///< Of all tried requests at that time.
    double slotsExcess = 0; ///< Requests in flight at an upstream above its slots.
    double regionExcess = 0; ///< Requests in flight in a region above its slots.
    /// Share of a service's traffic shifted in a window above the cap, or of its planned or
    /// unplanned part above half of it.
    double shiftCapExcess = 0;
    /// Counted requests without a good response, by the last thing that happened to them.
    std::map<std::string, int> losses;
    double lastNewWork = 0; ///< From the order to drain to the last start at a leaving upstream.
};

/// Runs one deployment under one schedule on virtual time. The same seed gives every strategy the
/// same arrivals, service times and faults.
RunResult run(const Deployment &deployment, const Schedule &schedule, Strategy strategy,
    const RunOptions &options);

} // namespace endivequay::bench

#endif
