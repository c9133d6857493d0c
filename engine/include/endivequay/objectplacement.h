#ifndef ENDIVEQUAY_OBJECTPLACEMENT_H
#define ENDIVEQUAY_OBJECTPLACEMENT_H

#include <cmath>
#include <concepts>
#include <cstdint>

namespace endivequay {

/// Mixes the hash of an object with that of a member of the set that holds it.
constexpr std::uint64_t mixHash(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t x = a ^ (b * 0x9e3779b97f4a7c15ULL);
    x ^= x >> 32;
    x *= 0xd6e8feb86659fd93ULL;
    x ^= x >> 32;
    return x;
}

/// Ranks the members of a set for an object. The member with the highest score holds it, the one
/// with the second highest takes its overflow. A score depends on no other member, so that two
/// instances with the same list agree on every object.
template <class T>
concept PlacementStrategy = requires(std::uint64_t object, std::uint64_t member, double weight)
{
    {
        T::score(object, member, weight)
        } -> std::totally_ordered;
};

/// Rendezvous hashing by weight: a member's part of the objects is its part of the weight. Where a
/// member joins, leaves or changes its weight, only the objects that it gains or loses move, which
/// is the least possible. Members of equal weight rank as without weights.
struct WeightedRendezvous
{
    static double score(std::uint64_t objectHash, std::uint64_t memberHash, double weight)
    {
        constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
        const auto bits = mixHash(objectHash, memberHash) >> 11;
        const double uniform = (static_cast<double>(bits) + 0.5) * scale;
        return -weight / std::log(uniform);
    }
};

static_assert(PlacementStrategy<WeightedRendezvous>);

} // namespace endivequay

#endif
