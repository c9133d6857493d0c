#include "endivequay/retrybudget.h"

#include <algorithm>

namespace endivequay {

namespace {

/// Ten credits of a tenth add up to slightly less than 1 in binary.
constexpr double roundingError = 1e-9;

} // namespace

void RetryBudget::requestStarted(const ServiceId &service, const TeamId &team)
{
    double &credit = credit_[{ service, team }];
    credit = std::min(maxCredit, credit + share);
}

bool RetryBudget::tryRetry(const ServiceId &service, const TeamId &team)
{
    const auto found = credit_.find({ service, team });
    if (found == credit_.end() || found->second < 1 - roundingError)
        return false;
    found->second = std::max(0.0, found->second - 1);
    return true;
}

void RetryBudget::remove(const TeamId &team)
{
    std::erase_if(credit_, [&](const auto &entry) { return entry.first.second == team; });
}

} // namespace endivequay
