#ifndef ENDIVEQUAY_LINKBUDGET_H
#define ENDIVEQUAY_LINKBUDGET_H

#include "endivequay/clock.h"
#include "endivequay/types.h"

#include <cstdint>
#include <map>
#include <utility>

namespace endivequay {

/// Bytes that this instance may send over the links between regions. Not thread safe.
///
/// Each ordered pair of regions has a token bucket that starts empty. In any window w at most
/// burst + rate * w bytes are granted. A pair without a limit grants nothing.
class LinkBudget
{
public:
    /// Sets the share of this instance: \a bytesPerSecond and \a burst in bytes.
    void setLimit(
        const RegionId &from, const RegionId &to, double bytesPerSecond, double burst, Instant now);
    /// Whether \a bytes are available.
    bool has(const RegionId &from, const RegionId &to, std::uint64_t bytes, Instant now) const;
    /// Takes \a bytes, all or nothing.
    bool tryTake(const RegionId &from, const RegionId &to, std::uint64_t bytes, Instant now);

private:
    struct Bucket
    {
        double rate = 0;
        double burst = 0;
        double level = 0;
        Instant filledAt;

        double levelAt(Instant now) const;
    };

    std::map<std::pair<RegionId, RegionId>, Bucket> buckets_;
};

} // namespace endivequay

#endif
