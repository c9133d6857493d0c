#include "run.h"

#include "simulation.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace endivequay::bench {

namespace detail {

namespace {

/// Weighted max-min fair division of \a total; no share exceeds its demand.
std::vector<double> fairShares(
    double total, const std::vector<double> &demands, const std::vector<double> &weights)
{
    std::vector<double> shares(demands.size(), 0);
    std::set<std::size_t> open;
    for (std::size_t i = 0; i < demands.size(); ++i)
        open.insert(i);
    while (!open.empty()) {
        double weight = 0;
        for (std::size_t i : open)
            weight += weights[i];
        const auto satisfied = std::ranges::find_if(
            open, [&](std::size_t i) { return demands[i] <= total * weights[i] / weight; });
        if (satisfied == open.end()) {
            for (std::size_t i : open)
                shares[i] = total * weights[i] / weight;
            return shares;
        }
        shares[*satisfied] = demands[*satisfied];
        total -= demands[*satisfied];
        open.erase(satisfied);
    }
    return shares;
}

/// Time and number of requests that were shifted to another region.
using ShiftedTraffic = std::pair<Instant, double>;

/// Largest number of shifted requests in any window of length shiftWindow.
double maxInWindow(std::vector<ShiftedTraffic> moves)
{
    std::ranges::sort(moves);
    double sum = 0;
    double maximum = 0;
    std::size_t first = 0;
    for (const auto &[moved, amount] : moves) {
        sum += amount;
        while (moves[first].first < moved - shiftWindow)
            sum -= moves[first++].second;
        maximum = std::max(maximum, sum);
    }
    return maximum;
}

} // namespace

/// Largest excess over any window: of the shifted share of a service's traffic over the cap, or of
/// its planned or unplanned part over half of the cap.
double Simulation::shiftCapExcess(int service) const
{
    const double rate = deployment_.services[service].rateAt(options_.utilization);
    const double windowTraffic = rate * toSeconds(shiftWindow);
    std::vector<ShiftedTraffic> unplanned;
    for (Instant moved : unplannedMoves_[service])
        unplanned.emplace_back(moved, 1.0);
    std::vector<ShiftedTraffic> planned;
    for (const auto &[prefix, moved] : plannedMoves_[service]) {
        const int requestClass = static_cast<int>(prefix >> 8 & 0xffff) / blocksPerClass;
        planned.emplace_back(
            moved, classRate(service, requestClass) / blocksPerClass * toSeconds(shiftWindow));
    }
    std::vector<ShiftedTraffic> all = unplanned;
    all.insert(all.end(), planned.begin(), planned.end());
    const auto excess = [&](std::vector<ShiftedTraffic> moves, double limit) {
        return std::max(0.0, maxInWindow(std::move(moves)) / windowTraffic - limit);
    };
    return std::max(
        { excess(all, shiftCap), excess(planned, shiftCap / 2), excess(unplanned, shiftCap / 2) });
}

RunResult Simulation::result() const
{
    RunResult result = result_;
    result.deployment = deployment_.name;
    result.schedule = schedule_.name;
    result.strategy = strategy_;
    double good = 0;
    for (std::size_t service = 0; service < classCounts_.size(); ++service) {
        std::vector<double> demands;
        std::vector<double> weights;
        double total = 0;
        for (int c = 0; c < classCount; ++c) {
            const ClassCounts &counts = classCounts_[service][c];
            demands.push_back(counts.admitted);
            weights.push_back(classRate(static_cast<int>(service), c));
            total += counts.good;
            result.requests += counts.admitted;
        }
        good += total;
        const auto shares = fairShares(total, demands, weights);
        for (int c = 0; c < classCount; ++c) {
            if (shares[c] > 0)
                result.worstTeamShare
                    = std::min(result.worstTeamShare, classCounts_[service][c].good / shares[c]);
        }
        result.shiftCapExcess
            = std::max(result.shiftCapExcess, shiftCapExcess(static_cast<int>(service)));
    }
    for (const Request &request : requests_) {
        if (request.isCounted && !request.isAnswered)
            ++result.failureCauses[std::string(request.failureCause)];
    }
    result.wrongfulRefusals = 1 - good / result.requests;
    std::vector<double> sorted = latencies_;
    std::ranges::sort(sorted);
    if (!sorted.empty()) {
        result.meanLatency = std::accumulate(sorted.begin(), sorted.end(), 0.0)
            / static_cast<double>(sorted.size());
        result.p99Latency = sorted[sorted.size() * 99 / 100];
    }
    result.headroom = headroomSum_ / headroomSamples_;
    if (firstAttempts_ > 0)
        result.overallAttemptsPerRequest = attempts_ / firstAttempts_;
    if (failingDomainFirstAttempts_ > 0)
        result.attemptsPerRequest = failingDomainAttempts_ / failingDomainFirstAttempts_;
    return result;
}

RunResult Simulation::run()
{
    for (const Fault &fault : schedule_.faults)
        at(begin_ + fault.at, [&] { injectFault(fault); });
    for (std::size_t service = 0; service < deployment_.services.size(); ++service) {
        for (int c = 0; c < classCount; ++c)
            scheduleArrival(static_cast<int>(service), c);
    }
    reportLoad();
    while (!timers_.empty() && timers_.front().at < begin_ + options_.duration) {
        std::ranges::pop_heap(timers_, isLater);
        const Timer timer = std::move(timers_.back());
        timers_.pop_back();
        now_ = timer.at;
        timer.action();
    }
    return result();
}

} // namespace detail

std::string_view strategyName(Strategy strategy)
{
    switch (strategy) {
    case Strategy::Product:
        return "endivequay";
    case Strategy::UniformRandom:
        return "uniform_random";
    case Strategy::RoundRobin:
        return "round_robin";
    case Strategy::NearestDomain:
        return "nearest_domain";
    case Strategy::LeastLoad:
        return "least_load";
    }
    return "unknown";
}

RunResult run(const Deployment &deployment, const Schedule &schedule, Strategy strategy,
    const RunOptions &options)
{
    return detail::Simulation(deployment, schedule, strategy, options).run();
}

} // namespace endivequay::bench
