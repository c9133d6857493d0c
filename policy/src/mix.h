#ifndef ENDIVEQUAY_POLICY_MIX_H
#define ENDIVEQUAY_POLICY_MIX_H

#include <cstdint>

namespace endivequay::detail {

/// Finalizer of SplitMix64 (Steele, Lea and Flood, 2014): a bijection that mixes all bits.
constexpr std::uint64_t mix64(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

/// Maps the upper 53 bits of \a value to [0, 1).
constexpr double toUnit(std::uint64_t value)
{
    return static_cast<double>(value >> 11) * 0x1.0p-53;
}

} // namespace endivequay::detail

#endif
