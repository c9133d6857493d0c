#ifndef ENDIVEQUAY_FLEETRETRYBUDGET_H
#define ENDIVEQUAY_FLEETRETRYBUDGET_H

#include <algorithm>
#include <cstddef>

namespace endivequay {

/// Limits of the retry budget that all instances share. A retry sends a request to another
/// upstream.
struct RetryBudgetLimits
{
    double ratio = 0.1; ///< Retries per request.
    double slack = 10; ///< Retries per window beyond the ratio, summed over all instances.
};

/// This instance's part of the fleet-wide retry budget of one service. Not thread safe.
///
/// Every request earns a fraction of a retry. Unused retries are bounded by the instance's part of
/// the slack, so that all instances together stay within ratio and slack in any window without
/// coordination.
class FleetRetryBudget
{
public:
    /// Fraction of the ratio and of the slack that is used; the rest covers members that are
    /// not yet in an instance's list and windows in which the request rate drops.
    static constexpr double usedFraction = 0.7;

    /// Part of the used slack that the preferred instances divide; the others divide the rest.
    static constexpr double preferredSlackFraction = 0.7;

    /// Fraction of the slack for one instance. \a preferredMembers of the \a members of the fleet
    /// are preferred ones, see isPreferred().
    static constexpr double slackShare(
        bool isPreferred, std::size_t preferredMembers, std::size_t members)
    {
        const auto count = static_cast<double>(
            std::max<std::size_t>(1, isPreferred ? preferredMembers : members - preferredMembers));
        if (preferredMembers >= members)
            return 1 / count;
        return (isPreferred ? preferredSlackFraction : 1 - preferredSlackFraction) / count;
    }

    /// \a slackShare is the fraction of the slack that this instance may use.
    void recordArrival(const RetryBudgetLimits &limits, double slackShare)
    {
        maxTokens_ = std::max(1.0, usedFraction * limits.slack * slackShare);
        if (!started_)
            tokens_ = maxTokens_;
        started_ = true;
        tokens_ = std::min(maxTokens_, tokens_ + usedFraction * limits.ratio);
    }

    bool tryTake()
    {
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    double maxTokens_ = 0;
    double tokens_ = 0;
    bool started_ = false;
};

} // namespace endivequay

#endif
