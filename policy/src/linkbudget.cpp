#include "endivequay/linkbudget.h"

#include <algorithm>

namespace endivequay {

double LinkBudget::Bucket::levelAt(Instant now) const
{
    return std::min(burst, level + rate * std::max(0.0, toSeconds(now - refilledAt)));
}

void LinkBudget::setLimit(
    const RegionId &from, const RegionId &to, double bytesPerSecond, double burst, Instant now)
{
    const auto [found, isNew] = buckets_.try_emplace({ from, to });
    Bucket &bucket = found->second;
    const double level = isNew ? 0 : bucket.levelAt(now);
    bucket = { bytesPerSecond, burst, std::min(level, burst), now };
}

bool LinkBudget::has(
    const RegionId &from, const RegionId &to, std::uint64_t bytes, Instant now) const
{
    const auto found = buckets_.find({ from, to });
    return found != buckets_.end() && found->second.levelAt(now) >= static_cast<double>(bytes);
}

bool LinkBudget::tryTake(const RegionId &from, const RegionId &to, std::uint64_t bytes, Instant now)
{
    if (!has(from, to, bytes, now))
        return false;
    Bucket &bucket = buckets_.at({ from, to });
    bucket.level = bucket.levelAt(now) - static_cast<double>(bytes);
    bucket.refilledAt = std::max(bucket.refilledAt, now);
    return true;
}

} // namespace endivequay
