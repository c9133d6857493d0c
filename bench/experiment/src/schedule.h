#ifndef ENDIVEQUAY_BENCH_SCHEDULE_H
#define ENDIVEQUAY_BENCH_SCHEDULE_H

#include "endivequay/clock.h"
#include "endivequay/result.h"

#include <filesystem>
#include <string>
#include <vector>

namespace endivequay::bench {

/// What the load endpoints of upstreams report.
enum class ReportMode { True, Zero, Constant, Frozen, Other, Missing };

/// A fault to inject at a given time.
struct Fault
{
    enum class Kind { Drain, Restore, Lose, Return, Surge, Report, Cold, Slow, Fail, Heal, Shift };

    Interval at {}; ///< After the start of the run.
    Kind kind {};
    int target = 0; ///< Domain, region or team.
    int destinationRegion = 0; ///< Destination of a shift.
    double amount = 0; ///< Multiple of the team's rate, latency factor, or fraction to shift.
    ReportMode mode {};
};

struct Schedule
{
    std::string name;
    std::vector<Fault> faults;

    bool has(Fault::Kind kind) const;
};

/// Reads a schedule. Lines: "at SECONDS VERB ...", comments start with '#'. Verbs: drain, restore,
/// cold, fail, heal domain N; lose, return region N; surge team N MULTIPLE (0 ends it);
/// slow domain N FACTOR; report true|zero|constant|frozen|other|missing;
/// shift region N to N FRACTION. Fails with file and line on anything else.
Result<Schedule> readSchedule(const std::filesystem::path &path);

} // namespace endivequay::bench

#endif
