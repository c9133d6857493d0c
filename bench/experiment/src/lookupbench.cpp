#include "lookupbench.h"

#include "endivequay/clock.h"
#include "endivequay/lookuptable.h"

#include <algorithm>
#include <array>
#include <random>
#include <vector>

namespace endivequay::bench {

namespace {

constexpr std::size_t blockCount = 600'000;
constexpr int siteCount = 270;
/// Amortizes reading the clock, which takes about 30 ns.
constexpr int lookupsPerSample = 16;
constexpr int sampleCount = 100'000;

BlockChange randomBlock(std::mt19937_64 &random)
{
    // Client networks are announced mostly as /24, some shorter, few longer.
    static constexpr std::array<std::uint8_t, 8> lengths { 16, 20, 22, 23, 24, 24, 24, 28 };
    const std::uint8_t length = lengths[random() % lengths.size()];
    const auto prefix = static_cast<Ipv4>(random()) & (~Ipv4 { 0 } << (32 - length));
    return { { prefix, length }, static_cast<SiteIndex>(random() % siteCount) };
}

double median(std::vector<double> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

} // namespace

LookupFigures measureLookups(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    LookupTable table;
    while (table.blockCount() < blockCount) {
        std::vector<BlockChange> changes(blockCount - table.blockCount());
        std::ranges::generate(changes, [&] { return randomBlock(random); });
        table = *table.apply(changes);
    }

    const SteadyClock clock;
    std::vector<double> lookupTimes;
    std::uint64_t matches = 0;
    for (int sample = 0; sample < sampleCount; ++sample) {
        std::array<Ipv4, lookupsPerSample> addresses {};
        std::ranges::generate(addresses, [&] { return static_cast<Ipv4>(random()); });
        const Instant start = clock.now();
        for (Ipv4 address : addresses)
            matches += table.find(address).has_value();
        lookupTimes.push_back(toSeconds(clock.now() - start) * 1e9 / lookupsPerSample);
    }
    // Prevents the compiler from eliminating the look-ups.
    [[maybe_unused]] volatile std::uint64_t sink = matches;

    std::vector<double> applyTimes;
    for (int i = 0; i < 100; ++i) {
        std::vector<BlockChange> changes(100);
        std::ranges::generate(changes, [&] { return randomBlock(random); });
        const Instant start = clock.now();
        table = *table.apply(changes);
        applyTimes.push_back(toSeconds(clock.now() - start) * 1e3);
    }
    return { median(lookupTimes), static_cast<double>(table.memoryBytes()) / 1e6,
        median(applyTimes) };
}

} // namespace endivequay::bench
