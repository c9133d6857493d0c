#include "control.h"

#include "opsim.h"
#include "spreadsim.h"

#include <fmt/format.h>

using namespace endivequay;
using namespace endivequay::bench;
using namespace endivequay::test;

namespace {

constexpr std::uint64_t seed = 20261204;

bool isBoundMissed = false;

void printFigure(const char *name, double value, const char *unit, double bound)
{
    const bool ok = value <= bound;
    isBoundMissed = isBoundMissed || !ok;
    fmt::print("figure {} {:.4g} {} bound {} {}\n", name, value, unit, bound, ok ? "ok" : "MISSED");
}

/// Slope of the least-squares line through \a points (x, y).
double slope(const std::vector<std::pair<double, double>> &points)
{
    const auto count = static_cast<double>(points.size());
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    for (const auto &[px, py] : points) {
        x += px;
        y += py;
        xx += px * px;
        xy += px * py;
    }
    return (count * xy - x * y) / (count * xx - x * x);
}

void measureConfigPropagation()
{
    SpreadSettings settings;
    settings.seed = seed;
    settings.regions = 4;
    settings.nodesPerDomain = 4;
    settings.changes = 220;
    settings.changeInterval = 13'292ms; // 6,500 changes a day.
    settings.faults = 300;
    settings.settleDuration = 40s;
    const auto result = SpreadSimulation(settings).run();
    fmt::print(
        "spread: seed {}, {} changes, {} kills, {} partitions, keyed routes served {:.4f}, in "
        "store outages {:.4f}\n",
        seed, result.changesAccepted, result.kills, result.partitions, result.keyedAvailability,
        result.keyedDuringOutage);
    printFigure("config_in_force_max", toSeconds(result.inForceMax), "s", 10);
    printFigure("withdrawn_key_max", toSeconds(result.withdrawnKeyMax), "s", 5);
    printFigure("config_lower_revisions", result.lowerRevisions, "count", 0);
    printFigure("config_false_confirmations", result.falseConfirmations, "count", 0);
    printFigure("config_behind_at_end", result.behindAtEnd, "nodes", 0);
    printFigure("sync_cycle_max", toSeconds(result.cycleMax), "s", 2);
}

void measureStoreCalls()
{
    std::vector<std::pair<double, double>> points;
    for (int nodes : { 4, 8, 16, 32, 64 }) {
        SpreadSettings settings;
        settings.seed = seed;
        settings.regions = 1;
        settings.nodesPerDomain = nodes;
        settings.changes = 5;
        settings.changeInterval = 13'292ms;
        const auto result = SpreadSimulation(settings).run();
        points.emplace_back(nodes, result.storeCallsPerDomain);
        fmt::print("store calls: {} nodes per domain, {:.3f} calls/s per domain\n", nodes,
            result.storeCallsPerDomain);
    }
    printFigure("store_calls_per_domain_slope", slope(points), "calls/s/node", 0.05);
}

void measureOperations()
{
    int doubleRuns = 0;
    int falseNotRun = 0;
    int wrongAnswers = 0;
    std::size_t runs = 0;
    for (std::uint64_t i = 0; i < 500; ++i) {
        const OperationSimulation simulation(seed + i, 200, 6);
        doubleRuns += simulation.history().doubleRuns();
        falseNotRun += simulation.history().falseNotRun();
        wrongAnswers += simulation.history().wrongAnswers();
        runs += simulation.history().runs();
    }
    fmt::print("operations: {} ran in 500 histories, {} bytes per record\n", runs,
        OperationTable::recordBytes());
    printFigure("double_runs", doubleRuns, "count", 0);
    printFigure("false_not_run", falseNotRun, "count", 0);
    printFigure("wrong_operation_answers", wrongAnswers, "count", 0);
}

void measureControl()
{
    constexpr FleetSize sizes[]
        = { { 170, 10, 3 }, { 425, 25, 7 }, { 850, 49, 13 }, { 1'275, 74, 19 }, { 1'700, 98, 25 } };
    std::vector<std::pair<double, double>> bytes;
    std::vector<std::pair<double, double>> cpuPercent;
    ControlCost cost;
    for (const auto &size : sizes) {
        cost = measureControlCost(size);
        bytes.emplace_back(size.nodes, cost.worstTotalRate);
        cpuPercent.emplace_back(size.nodes, cost.worstCpuPercent);
        fmt::print(
            "control: {} nodes, sent mean {:.0f} worst {:.0f} bytes/s ({:.0f} messages/s, {} "
            "links), sent and received worst {:.0f} bytes/s, core mean {:.3f} worst {:.3f} "
            "percent, {:.1f} us per heartbeat\n",
            size.nodes, cost.meanSentRate, cost.worstSentRate, cost.sentMessageRate,
            cost.worstLinks, cost.worstTotalRate, cost.meanCpuPercent, cost.worstCpuPercent,
            cost.heartbeatMicros);
    }
    fmt::print("control: slope {:.3f} bytes/s per node, {:.6f} percent of a core per node\n",
        slope(bytes), slope(cpuPercent));
    printFigure("control_bytes_at_1700", cost.worstTotalRate, "bytes/s", 16'384);
    printFigure("control_core_at_1700", cost.worstCpuPercent, "percent", 1.4);
    printFigure("control_memory_at_1700",
        static_cast<double>(measureControlMemory(sizes[4])) / (1 << 20), "MB", 256);
}

} // namespace

int main()
{
    measureConfigPropagation();
    measureStoreCalls();
    measureOperations();
    measureControl();
    return isBoundMissed ? 1 : 0;
}
