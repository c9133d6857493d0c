#include "endivequay/retrybudget.h"

#include <algorithm>

namespace endivequay {

namespace {

/// Ten times 0.1 adds up to slightly less than 1 in floating point.
constexpr double roundingTolerance = 1e-9;

} // namespace

void RetryBudget::requestStarted(const ServiceId &service, const TeamId &team)
{
    double &credit = credit_[{ service, team }];
    credit = std::min(maxCredit, credit + retryRatio);
}

bool RetryBudget::tryRetry(const ServiceId &service, const TeamId &team)
{
    const auto found = credit_.find({ service, team });
    if (found == credit_.end() || found->second < 1 - roundingTolerance)
        return false;
    found->second = std::max(0.0, found->second - 1);
    return true;
}

void RetryBudget::remove(const TeamId &team)
{
    std::erase_if(credit_, [&](const auto &entry) { return entry.first.second == team; });
}

} // namespace endivequay
