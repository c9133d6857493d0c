#ifndef ENDIVEQUAY_RETRYBUDGET_H
#define ENDIVEQUAY_RETRYBUDGET_H

#include "endivequay/types.h"

#include <map>
#include <utility>

namespace endivequay {

/// Retries of each team and service: at most 10% of its requests. Not thread safe.
///
/// A pair starts without credit, so that the bound holds from the first request on.
class RetryBudget
{
public:
    static constexpr double share = 0.1;
    /// Credit kept of quiet times, in retries. More would allow a burst of retries on an upstream
    /// that has just failed.
    static constexpr double maxCredit = 10;

    /// Counts a first attempt.
    void requestStarted(const ServiceId &service, const TeamId &team);
    /// Takes the credit for one retry; false if there is none.
    bool tryRetry(const ServiceId &service, const TeamId &team);
    /// Forgets a team whose configuration was removed.
    void remove(const TeamId &team);

private:
    std::map<std::pair<ServiceId, TeamId>, double> credit_;
};

} // namespace endivequay

#endif
