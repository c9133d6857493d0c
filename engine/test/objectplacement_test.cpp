#include "endivequay/digest.h"
#include "endivequay/objectplacement.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "proptest.h"

using namespace endivequay;

namespace {

struct Member
{
    std::uint64_t hash = 0;
    double weight = 1;
};

constexpr int objectsPerMember = 1000;

/// Members whose weights repeat the pattern \a weights.
std::vector<Member> members(int count, std::vector<double> weights, std::uint64_t seed)
{
    std::vector<Member> result;
    for (int i = 0; i < count; ++i)
        result.push_back(
            { hash64("member" + std::to_string(i), seed), weights[i % weights.size()] });
    return result;
}

std::vector<std::uint64_t> holders(const std::vector<Member> &set, int objects)
{
    std::vector<std::uint64_t> result;
    for (int object = 0; object < objects; ++object) {
        const std::uint64_t hash = hash64(std::to_string(object));
        result.push_back(std::ranges::max_element(set, {}, [&](const Member &member) {
            return WeightedRendezvous::score(hash, member.hash, member.weight);
        })->hash);
    }
    return result;
}

/// Largest deviation of a member's part of the objects from its part of the weight.
double worstDeviation(const std::vector<Member> &set, const std::vector<std::uint64_t> &held)
{
    double weights = 0;
    std::map<std::uint64_t, double> counts;
    for (const Member &member : set)
        weights += member.weight;
    for (const std::uint64_t holder : held)
        ++counts[holder];
    double worst = 0;
    for (const Member &member : set) {
        const double expected = static_cast<double>(held.size()) * member.weight / weights;
        worst = std::max(worst, std::abs(counts[member.hash] / expected - 1));
    }
    return worst;
}

} // namespace

TEST_GROUP(ObjectPlacement) {};

// Guards against moves between members that did not change: only objects that the changed member
// gains or loses may move.
TEST(ObjectPlacement, OnlyObjectsOfTheChangedMemberMove)
{
    const auto property = [](std::uint64_t seed, std::uint8_t size) {
        const int count = 8 + size % 57;
        const auto before = members(count, { 1, 4, 16 }, seed);
        auto joined = before;
        joined.push_back({ hash64("new", seed), 4 });
        auto left = before;
        left.erase(left.begin() + count / 2);
        auto grown = before;
        grown[1].weight *= 2;
        const auto first = holders(before, 500);
        const auto changedOnlyTo = [&](const std::vector<Member> &set, std::uint64_t changed) {
            const auto second = holders(set, 500);
            for (std::size_t i = 0; i < first.size(); ++i)
                if (first[i] != second[i])
                    RC_ASSERT(first[i] == changed || second[i] == changed);
        };
        changedOnlyTo(joined, joined.back().hash);
        changedOnlyTo(left, before[count / 2].hash);
        changedOnlyTo(grown, before[1].hash);
    };
    CHECK_PROPERTY("only objects of the changed member move", property);
}

// Guards against equal shares for upstreams of unequal size: the largest would idle while the
// smallest queue. Target: at 1,000 objects a member, and in proportion to its weight, no share is
// off its size by more than a tenth.
TEST(ObjectPlacement, SharesFollowTheSizes)
{
    for (const int count : { 8, 32, 64 })
        for (const auto &weights : { std::vector<double> { 1 }, std::vector<double> { 1, 4 } }) {
            const auto set = members(count, weights, 20261206);
            double sum = 0;
            for (const Member &member : set)
                sum += member.weight; // The smallest weight is 1.
            const auto held = holders(set, static_cast<int>(sum * objectsPerMember));
            const double worst = worstDeviation(set, held);
            fmt::print("  {} members, {} sizes: worst share off by {:.3f}\n", count, weights.size(),
                worst);
            CHECK(worst <= 0.1);
        }
}
