#ifndef ENDIVEQUAY_TOKENBUCKET_H
#define ENDIVEQUAY_TOKENBUCKET_H

#include "endivequay/clock.h"

#include <algorithm>

namespace endivequay {

/// Token bucket: grants at most burst + rate * w tokens in any window w. Not thread safe.
class TokenBucket
{
public:
    TokenBucket() = default;
    /// Starts with \a level tokens.
    TokenBucket(double rate, double burst, double level, Instant now)
        : rate_(rate)
        , burst_(burst)
        , level_(std::min(level, burst))
        , refilledAt_(now)
    { }

    void setLimit(double rate, double burst, Instant now)
    {
        refill(now);
        rate_ = rate;
        burst_ = burst;
        level_ = std::min(level_, burst_);
    }

    bool tryTake(Instant now, double tokens = 1)
    {
        refill(now);
        if (level_ < tokens)
            return false;
        level_ -= tokens;
        return true;
    }

    /// Takes all tokens.
    void drain(Instant now)
    {
        refill(now);
        level_ = 0;
    }

    void add(double tokens) { level_ = std::min(burst_, level_ + tokens); }

    double level(Instant now)
    {
        refill(now);
        return level_;
    }

private:
    void refill(Instant now)
    {
        if (now <= refilledAt_)
            return;
        level_ = std::min(burst_, level_ + rate_ * toSeconds(now - refilledAt_));
        refilledAt_ = now;
    }

    double rate_ = 0; ///< Tokens per second.
    double burst_ = 0;
    double level_ = 0;
    Instant refilledAt_;
};

} // namespace endivequay

#endif
