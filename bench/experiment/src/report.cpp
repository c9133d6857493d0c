#include "report.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <limits>
#include <map>
#include <set>

#include <fmt/format.h>

namespace endivequay::bench {

namespace {

bool isProduct(const RunResult &result)
{
    return result.strategy == Strategy::Product;
}

/// Ratio of the product's score to the best baseline's, by schedule.
std::map<std::string, double> scoreRatios(
    const std::vector<RunResult> &results, const std::string &deployment)
{
    std::map<std::string, double> product;
    std::map<std::string, double> baseline;
    for (const RunResult &result : results) {
        if (result.deployment != deployment)
            continue;
        double &best = isProduct(result) ? product[result.schedule] : baseline[result.schedule];
        best = std::max(best, score(result));
    }
    for (auto &[schedule, value] : product)
        value /= baseline.at(schedule);
    return product;
}

double lowestScoreRatio(const std::vector<RunResult> &results, const std::string &deployment)
{
    double lowest = std::numeric_limits<double>::infinity();
    for (const auto &[schedule, ratio] : scoreRatios(results, deployment))
        lowest = std::min(lowest, ratio);
    return lowest;
}

double maxOverRuns(
    const std::vector<RunResult> &results, const std::function<double(const RunResult &)> &value)
{
    double result = 0;
    for (const RunResult &run : results) {
        if (isProduct(run))
            result = std::max(result, value(run));
    }
    return result;
}

bool printFigure(
    std::string_view name, double value, std::string_view unit, std::string_view bound, bool isOk)
{
    fmt::print(
        "figure {} {:.4g} {} bound {} {}\n", name, value, unit, bound, isOk ? "ok" : "MISSED");
    return isOk;
}

bool printUpperBound(std::string_view name, double value, std::string_view unit, double bound)
{
    return printFigure(name, value, unit, fmt::format("{:g}", bound), value <= bound);
}

constexpr std::array colours { "#1b6ca8", "#b0b0b0", "#8a8a8a", "#d0a050", "#a05050" };

/// One group of bars per schedule, one bar per strategy.
std::string barChart(const std::vector<RunResult> &results, const std::string &deployment, int top)
{
    constexpr int barWidth = 14;
    constexpr int groupWidth = 100;
    constexpr int height = 200;
    std::string svg = fmt::format(
        "<text x=\"10\" y=\"{}\">Score, {} (higher is better)</text>\n", top + 14, deployment);
    std::map<std::string, int> groups;
    for (const RunResult &result : results) {
        if (result.deployment != deployment)
            continue;
        const auto [group, isNew] = groups.try_emplace(
            result.schedule, 10 + static_cast<int>(groups.size()) * groupWidth);
        const int base = top + height + 24;
        if (isNew)
            svg += fmt::format(
                "<text x=\"{}\" y=\"{}\">{}</text>\n", group->second, base + 14, result.schedule);
        const int index = static_cast<int>(result.strategy);
        const double barHeight = score(result) / 100 * height;
        svg += fmt::format("<rect x=\"{}\" y=\"{:.1f}\" width=\"{}\" height=\"{:.1f}\" "
                           "fill=\"{}\"><title>{} {:.2f}</title></rect>\n",
            group->second + index * barWidth, base - barHeight, barWidth - 2, barHeight,
            colours[index], strategyName(result.strategy), score(result));
    }
    return svg;
}

std::set<std::string> deploymentNames(const std::vector<RunResult> &results)
{
    std::set<std::string> names;
    for (const RunResult &result : results)
        names.insert(result.deployment);
    return names;
}

std::string toSvg(const std::vector<RunResult> &results)
{
    std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"930\" height=\"580\" "
                      "font-family=\"sans-serif\" font-size=\"12\">\n";
    int top = 0;
    for (const std::string &deployment : deploymentNames(results)) {
        svg += barChart(results, deployment, top);
        top += 270;
    }
    for (Strategy strategy : strategies) {
        const int index = static_cast<int>(strategy);
        svg += fmt::format("<rect x=\"{}\" y=\"555\" width=\"12\" height=\"12\" fill=\"{}\"/>"
                           "<text x=\"{}\" y=\"566\">{}</text>\n",
            10 + index * 140, colours[index], 28 + index * 140, strategyName(strategy));
    }
    return svg + "</svg>\n";
}

/// "cause=count" pairs separated by spaces.
std::string formatFailureCauses(const RunResult &result)
{
    std::string text;
    for (const auto &[cause, count] : result.failureCauses)
        text += fmt::format("{}{}={}", text.empty() ? "" : " ", cause, count);
    return text;
}

std::string toCsv(const std::vector<RunResult> &results)
{
    std::string csv = "deployment,schedule,strategy,requests,mean_ms,p99_ms,headroom,drain_s,"
                      "worst_team_share,wrongful_refusals,attempts_per_request,score,losses\n";
    for (const RunResult &r : results)
        csv += fmt::format(
            "{},{},{},{},{:.3f},{:.3f},{:.4f},{:.3f},{:.5f},{:.6f},{:.4f},{:.3f},{}\n",
            r.deployment, r.schedule, strategyName(r.strategy), r.requests, r.meanLatency * 1e3,
            r.p99Latency * 1e3, r.headroom, r.drainTime, r.worstTeamShare, r.wrongfulRefusals,
            r.attemptsPerRequest, score(r), formatFailureCauses(r));
    return csv;
}

} // namespace

double score(const RunResult &result)
{
    const double latency = result.meanLatency / 0.1 + result.p99Latency;
    const double wrongful = result.wrongfulRefusals * 100;
    const double unfairness = (1 - result.worstTeamShare) / 0.05;
    const double drain = result.drainTime / 10;
    if (result.deployment == "kapadwala")
        return 100 / (1 + latency + wrongful + (unfairness + drain) / 4);
    return 100 / (1 + (latency + wrongful) / 4 + unfairness + drain);
}

void printTable(const std::vector<RunResult> &results)
{
    fmt::print("{:10} {:10} {:14} {:>8} {:>8} {:>8} {:>7} {:>7} {:>8} {:>6}\n", "deployment",
        "schedule", "strategy", "mean_ms", "p99_ms", "headroom", "drain_s", "team_%", "wrongf_%",
        "score");
    for (const RunResult &r : results)
        fmt::print("{:10} {:10} {:14} {:8.1f} {:8.1f} {:8.3f} {:7.2f} {:7.2f} {:8.3f} {:6.2f}\n",
            r.deployment, r.schedule, strategyName(r.strategy), r.meanLatency * 1e3,
            r.p99Latency * 1e3, r.headroom, r.drainTime, r.worstTeamShare * 100,
            r.wrongfulRefusals * 100, score(r));
    for (const std::string &deployment : deploymentNames(results)) {
        double sum = 0;
        int count = 0;
        for (const RunResult &result : results) {
            if (result.deployment == deployment && isProduct(result)) {
                sum += score(result);
                ++count;
            }
        }
        fmt::print("score {} {:.2f}", deployment, sum / count);
        for (const auto &[schedule, ratio] : scoreRatios(results, deployment))
            fmt::print(" {}={:.3f}", schedule, ratio);
        fmt::print("\n");
    }
}

bool printFigures(const std::vector<RunResult> &results, const LookupFigures &lookups)
{
    bool isOk = printUpperBound("lookup_median", lookups.medianNanoseconds, "ns", 1000);
    isOk &= printUpperBound("lookup_table", lookups.megabytes, "MB", 64);
    const auto maximum = [&](auto member) {
        return maxOverRuns(results, [=](const RunResult &result) { return result.*member; });
    };
    isOk &= printUpperBound("slots_excess", maximum(&RunResult::slotsExcess), "requests", 0);
    isOk &= printUpperBound("region_excess", maximum(&RunResult::regionExcess), "requests", 0);
    isOk &= printUpperBound("shift_cap_excess", maximum(&RunResult::shiftCapExcess), "share", 0);
    fmt::print(
        "attempts_per_request_overall {:.3f}\n", maximum(&RunResult::overallAttemptsPerRequest));
    isOk &= printUpperBound(
        "attempts_per_request", maximum(&RunResult::attemptsPerRequest), "attempts", 1.1);
    const double unfairness = maxOverRuns(results, [](const RunResult &result) {
        return result.schedule == "surge" ? 1 - result.worstTeamShare : 0;
    });
    const double share = (1 - unfairness) * 100;
    isOk &= printFigure("worst_team_share", share, "percent", "95", share >= 95);
    isOk &= printUpperBound(
        "leaving_upstream_last_new_work", maximum(&RunResult::lastNewWork), "s", 3);
    for (const std::string &deployment : deploymentNames(results)) {
        const double ratio = lowestScoreRatio(results, deployment);
        isOk &= printFigure("score_" + deployment + "_ratio", ratio, "ratio", "1", ratio > 1);
    }
    return isOk;
}

Status writeFiles(const std::vector<RunResult> &results, const std::filesystem::path &folder)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    const std::map<std::string, std::string> files { { "results.csv", toCsv(results) },
        { "scores.svg", toSvg(results) } };
    for (const auto &[name, content] : files) {
        std::ofstream file(folder / name);
        file << content;
        if (!file.flush())
            return Error { "report.write", (folder / name).string(), "cannot be written" };
    }
    return Done {};
}

} // namespace endivequay::bench
