#ifndef ENDIVEQUAY_RETRYBUDGET_H
#define ENDIVEQUAY_RETRYBUDGET_H

#include "endivequay/types.h"

#include <map>
#include <utility>

namespace endivequay {

/// Limits the retries of each service and team to 10% of its requests. Not thread safe.
///
/// Each pair starts without credit, so that the limit holds from the first request on.
class RetryBudget
{
public:
    /// Credit per first attempt, in retries.
    static constexpr double retryRatio = 0.1;
    /// Maximum accumulated credit, in retries. With 10, when all upstreams of a domain fail,
    /// ejection leaves so few requests that the saved credit alone causes 1.5 attempts per request.
    static constexpr double maxCredit = 1;

    /// Counts a first attempt.
    void requestStarted(const ServiceId &service, const TeamId &team);
    /// Takes the credit for one retry; false if there is none.
    bool tryRetry(const ServiceId &service, const TeamId &team);
    /// Discards the credit of a team that was removed from the configuration.
    void remove(const TeamId &team);

private:
    std::map<std::pair<ServiceId, TeamId>, double> credit_;
};

} // namespace endivequay

#endif
