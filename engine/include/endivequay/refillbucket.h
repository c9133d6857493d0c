#ifndef ENDIVEQUAY_REFILLBUCKET_H
#define ENDIVEQUAY_REFILLBUCKET_H

#include "endivequay/clock.h"

#include <algorithm>

namespace endivequay {

/// Grants at most burst + rate * w tokens in any window w. Not thread safe.
class RefillBucket
{
public:
    RefillBucket() = default;
    /// Starts with \a level tokens.
    RefillBucket(double rate, double burst, double level, Instant now)
        : rate_(rate)
        , burst_(burst)
        , level_(std::min(level, burst))
        , filledAt_(now)
    { }

    void setLimit(double rate, double burst, Instant now)
    {
        fill(now);
        rate_ = rate;
        burst_ = burst;
        level_ = std::min(level_, burst_);
    }

    bool tryTake(Instant now, double tokens = 1)
    {
        fill(now);
        if (level_ < tokens)
            return false;
        level_ -= tokens;
        return true;
    }

    /// Takes all tokens.
    void drain(Instant now)
    {
        fill(now);
        level_ = 0;
    }

    void add(double tokens) { level_ = std::min(burst_, level_ + tokens); }

    double level(Instant now)
    {
        fill(now);
        return level_;
    }

private:
    void fill(Instant now)
    {
        if (now <= filledAt_)
            return;
        level_ = std::min(burst_, level_ + rate_ * toSeconds(now - filledAt_));
        filledAt_ = now;
    }

    double rate_ = 0; ///< Tokens per second.
    double burst_ = 0;
    double level_ = 0;
    Instant filledAt_;
};

} // namespace endivequay

#endif
