#include "lookupbench.h"
#include "report.h"
#include "run.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <optional>
#include <sstream>
#include <thread>

#include <boost/program_options.hpp>
#include <fmt/format.h>

namespace options = boost::program_options;
using namespace endivequay;
using namespace endivequay::bench;

namespace {

struct Settings
{
    RunOptions run;
    std::filesystem::path schedules;
    std::filesystem::path output;
    std::vector<std::string> only;
    unsigned threads = 1;
};

std::optional<Settings> readSettings(int argc, char **argv)
{
    Settings settings;
    double seconds = 0;
    options::options_description description("Runs the policy against baselines on virtual time");
    auto addOption = description.add_options();
    addOption("help", "show this text");
    addOption("seed", options::value(&settings.run.seed)->default_value(1), "seed of all runs");
    addOption("seconds", options::value(&seconds)->default_value(90), "virtual time of a run");
    addOption("utilization", options::value(&settings.run.utilization)->default_value(0.65),
        "mean load as a share of all slots");
    addOption("schedules", options::value(&settings.schedules)->default_value(ENDIVEQUAY_SCHEDULES),
        "folder of the schedules of faults");
    addOption("only", options::value(&settings.only)->multitoken(), "names of schedules to run");
    addOption("output", options::value(&settings.output)->default_value("bench-output"),
        "folder for results.csv and scores.svg");
    addOption("threads",
        options::value(&settings.threads)
            ->default_value(std::max(1U, std::thread::hardware_concurrency())),
        "runs at the same time");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.count("help") > 0) {
        std::printf("%s", fmt::format("{}", (std::ostringstream() << description).str()).c_str());
        return std::nullopt;
    }
    settings.run.duration = fromSeconds(seconds);
    return settings;
}

Result<std::vector<Schedule>> readSchedules(const Settings &settings)
{
    std::vector<std::filesystem::path> paths;
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator(settings.schedules, error)) {
        const bool isWanted = settings.only.empty()
            || std::ranges::count(settings.only, entry.path().stem().string()) > 0;
        if (entry.path().extension() == ".txt" && isWanted)
            paths.push_back(entry.path());
    }
    std::ranges::sort(paths);
    std::vector<Schedule> schedules;
    for (const auto &path : paths) {
        auto schedule = readSchedule(path);
        if (!schedule)
            return schedule.lastReason();
        schedules.push_back(*schedule);
    }
    if (schedules.empty())
        return Error { "bench.schedules", settings.schedules.string(), "no schedule found" };
    return schedules;
}

std::vector<RunResult> runAll(const Settings &settings, const std::vector<Schedule> &schedules)
{
    struct Task
    {
        Deployment deployment;
        const Schedule *schedule;
        Strategy strategy;
    };
    std::vector<Task> tasks;
    for (const Deployment &deployment : deployments()) {
        for (const Schedule &schedule : schedules) {
            for (Strategy strategy : strategies)
                tasks.push_back({ deployment, &schedule, strategy });
        }
    }
    std::vector<RunResult> results(tasks.size());
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t i = next++; i < tasks.size(); i = next++)
            results[i]
                = run(tasks[i].deployment, *tasks[i].schedule, tasks[i].strategy, settings.run);
    };
    {
        std::vector<std::jthread> workers;
        for (unsigned i = 0; i < settings.threads; ++i)
            workers.emplace_back(work);
    }
    return results;
}

int runBench(const Settings &settings)
{
    const auto schedules = readSchedules(settings);
    if (!schedules) {
        fmt::print(stderr, "{}\n", toString(schedules.lastReason()));
        return 2;
    }
    fmt::print("seed {}\n", settings.run.seed);
    const LookupFigures lookups = measureLookups(settings.run.seed);
    const auto results = runAll(settings, *schedules);
    printTable(results);
    fmt::print("lookup_delta_median {:.3f} ms for 100 blocks\n", lookups.applyMilliseconds);
    if (const Status status = writeFiles(results, settings.output); !status) {
        fmt::print(stderr, "{}\n", toString(status.lastReason()));
        return 2;
    }
    return printFigures(results, lookups) ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const auto settings = readSettings(argc, argv);
        return settings ? runBench(*settings) : 0;
    } catch (const std::exception &error) {
        fmt::print(stderr, "endivequay_bench: {}\n", error.what());
        return 2;
    }
}
