#ifndef ENDIVEQUAY_BENCH_REPORT_H
#define ENDIVEQUAY_BENCH_REPORT_H

#include "lookupbench.h"
#include "run.h"

#include <filesystem>
#include <vector>

namespace endivequay::bench {

/// Score of a run with the weights of its deployment, above 0 and at most 100.
///
/// With latency L = mean / 100 ms + p99 / 1 s, wrongful refusals W in percent, unfairness
/// F = (100 percent - worst-served team's share of its fair share) / 5 percent and drain time
/// D = seconds / 10 s:
///
///   Kapadwala  100 / (1 + L + W + (F + D) / 4)
///   Yıldırım   100 / (1 + (L + W) / 4 + F + D)
double score(const RunResult &result);

/// Prints the results and the two score lines.
void printTable(const std::vector<RunResult> &results);

/// Prints every figure with its bound; returns whether all bounds hold.
bool printFigures(const std::vector<RunResult> &results, const LookupFigures &lookups);

/// Writes results.csv and scores.svg into \a folder, which is created. Fails on an I/O error.
Status writeFiles(const std::vector<RunResult> &results, const std::filesystem::path &folder);

} // namespace endivequay::bench

#endif
