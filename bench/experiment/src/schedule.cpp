#include "schedule.h"

#include "workload.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

namespace endivequay::bench {

namespace {

struct Verb
{
    Fault::Kind kind;
    std::string noun;
    int targets;
    bool hasAmount;
};

const std::map<std::string, Verb> verbs {
    { "drain", { Fault::Kind::Drain, "domain", domainCount, false } },
    { "restore", { Fault::Kind::Restore, "domain", domainCount, false } },
    { "cold", { Fault::Kind::Cold, "domain", domainCount, false } },
    { "fail", { Fault::Kind::Fail, "domain", domainCount, false } },
    { "heal", { Fault::Kind::Heal, "domain", domainCount, false } },
    { "slow", { Fault::Kind::Slow, "domain", domainCount, true } },
    { "lose", { Fault::Kind::Lose, "region", regionCount, false } },
    { "return", { Fault::Kind::Return, "region", regionCount, false } },
    { "surge", { Fault::Kind::Surge, "team", teamCount, true } },
};

const std::map<std::string, ReportMode> reportModes {
    { "true", ReportMode::True },
    { "zero", ReportMode::Zero },
    { "constant", ReportMode::Constant },
    { "frozen", ReportMode::Frozen },
    { "other", ReportMode::Other },
    { "missing", ReportMode::Missing },
};

bool isIndex(int value, int bound)
{
    return value >= 0 && value < bound;
}

std::optional<Fault> parseLine(const std::string &line)
{
    std::istringstream words(line);
    std::string at;
    std::string verb;
    std::string noun;
    double seconds = -1;
    Fault fault;
    if (!(words >> at >> seconds >> verb >> noun) || at != "at" || seconds < 0)
        return std::nullopt;
    fault.at = fromSeconds(seconds);
    bool isValid = false;
    if (verb == "report") {
        const auto mode = reportModes.find(noun);
        isValid = mode != reportModes.end();
        fault.kind = Fault::Kind::Report;
        fault.mode = isValid ? mode->second : ReportMode::True;
    } else if (verb == "shift") {
        std::string to;
        fault.kind = Fault::Kind::Shift;
        isValid = noun == "region"
            && words >> fault.target >> to >> fault.destinationRegion >> fault.amount && to == "to"
            && isIndex(fault.target, regionCount) && isIndex(fault.destinationRegion, regionCount);
    } else if (const auto found = verbs.find(verb); found != verbs.end()) {
        const Verb &known = found->second;
        fault.kind = known.kind;
        isValid = noun == known.noun && words >> fault.target
            && isIndex(fault.target, known.targets) && (!known.hasAmount || words >> fault.amount);
    }
    std::string rest;
    if (!isValid || words >> rest)
        return std::nullopt;
    return fault;
}

} // namespace

bool Schedule::has(Fault::Kind kind) const
{
    return std::ranges::any_of(faults, [&](const Fault &fault) { return fault.kind == kind; });
}

Result<Schedule> readSchedule(const std::filesystem::path &path)
{
    std::ifstream file(path);
    if (!file)
        return Error { "schedule.read", path.string(), "cannot be opened" };
    Schedule schedule { path.stem().string(), {} };
    std::string line;
    for (int number = 1; std::getline(file, line); ++number) {
        line.erase(std::min(line.find('#'), line.size()));
        if (line.find_first_not_of(" \t") == std::string::npos)
            continue;
        const auto fault = parseLine(line);
        if (!fault)
            return Error { "schedule.read", path.string() + ":" + std::to_string(number),
                "invalid fault entry: " + line };
        schedule.faults.push_back(*fault);
    }
    return schedule;
}

} // namespace endivequay::bench
