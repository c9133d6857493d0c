#ifndef ENDIVEQUAY_LINKBUDGET_H
#define ENDIVEQUAY_LINKBUDGET_H

#include "endivequay/clock.h"
#include "endivequay/types.h"

#include <cstdint>
#include <map>
#include <utility>

namespace endivequay {

/// Limits the bytes that this instance sends between regions. Not thread safe.
///
/// Each ordered pair of regions has a token bucket that starts empty. At most burst + rate * w
/// bytes are granted in any window of length w. A pair without a limit grants nothing.
class LinkBudget
{
public:
    /// Sets this instance's share of the link's limit; \a burst is in bytes.
    void setLimit(
        const RegionId &from, const RegionId &to, double bytesPerSecond, double burst, Instant now);
    /// Whether \a bytes are available.
    bool has(const RegionId &from, const RegionId &to, std::uint64_t bytes, Instant now) const;
    /// Takes \a bytes if all of them are available. Returns whether it did.
    bool tryTake(const RegionId &from, const RegionId &to, std::uint64_t bytes, Instant now);

private:
    struct Bucket
    {
        double rate = 0; ///< Bytes per second.
        double burst = 0; ///< Capacity in bytes.
        double level = 0; ///< Bytes available at refilledAt.
        Instant refilledAt;

        double levelAt(Instant now) const;
    };

    std::map<std::pair<RegionId, RegionId>, Bucket> buckets_;
};

} // namespace endivequay

#endif
