#ifndef ENDIVEQUAY_BENCH_LOOKUPBENCH_H
#define ENDIVEQUAY_BENCH_LOOKUPBENCH_H

#include <cstdint>

namespace endivequay::bench {

struct LookupFigures
{
    double medianNanoseconds = 0; ///< Wall-clock time of a look-up of a random address.
    double megabytes = 0; ///< Memory of the table, in units of 10^6 bytes.
    double applyMilliseconds = 0; ///< Wall-clock time to apply a change of 100 blocks.
};

/// Measures the lookup table with 600,000 random blocks of 16 to 28 bits and 270 sites.
LookupFigures measureLookups(std::uint64_t seed);

} // namespace endivequay::bench

#endif
