#ifndef ENDIVEQUAY_LOADESTIMATE_H
#define ENDIVEQUAY_LOADESTIMATE_H

#include "endivequay/clock.h"
#include "endivequay/types.h"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace endivequay {

/// Response of an upstream's load endpoint. May be stale or wrong.
struct LoadReport
{
    int inFlight = 0;
    int slots = 0;
    bool draining = false;
};

/// This instance's share of an upstream's slots, from the configuration and the cell ledger.
struct UpstreamShare
{
    int ownSlots = 0; ///< Slots whose cells this instance owns or has borrowed; a hard limit.
    int allSlots = 0; ///< Configured slots of the upstream, summed over all instances.
    bool leaving = false; ///< The upstream is being drained or removed by configuration.
    bool cold = false; ///< New or back from a drain; starts at 1 slot and ramps up.

    bool operator==(const UpstreamShare &) const = default;
};

/// Outcome of a request at an upstream.
enum class RequestResult {
    Good, ///< Success: a complete response that does not indicate overload.
    Shed, ///< The upstream rejected the request because of overload (503).
    Failed, ///< Connection failure, timeout or malformed response.
    Cancelled, ///< Cancelled by the caller; not counted for or against the upstream.
};

/// Upstreams of one service in the own failure domain: estimates their usable slots, ejects failing
/// ones and chooses one for each request.
///
/// The estimate never exceeds the own slots. A load report can only lower it. Each good response
/// while the reported limit is reached reduces the report's weight; a shed request restores it in
/// full. A missing report changes nothing. Not thread safe.
class UpstreamPool
{
public:
    /// \a seed makes the sequence of random choices reproducible.
    explicit UpstreamPool(std::uint64_t seed);

    /// Adds an upstream or changes its share. A new upstream with \a share.cold starts at 1 slot.
    void setShare(const UpstreamId &upstream, const UpstreamShare &share, Instant now);
    /// Removes an upstream. finished() may still be called for its requests in flight.
    void remove(const UpstreamId &upstream);

    void reportReceived(const UpstreamId &upstream, const LoadReport &report, Instant now);

    /// Takes a slot for a request. Call only for an upstream that choose() returned.
    void started(const UpstreamId &upstream, Instant now);
    /// Releases the slot of a request that took \a latency.
    void finished(const UpstreamId &upstream, RequestResult outcome, Interval latency, Instant now);

    /// Chooses one of \a candidates with a free slot, if any: of two random ones, the one with the
    /// lower expected response time. An upstream that is much slower than the fastest is chosen
    /// only to probe its latency, or when no other has a free slot.
    std::optional<UpstreamId> choose(std::span<const UpstreamId> candidates, Instant now);
    /// choose() over all known upstreams.
    std::optional<UpstreamId> choose(Instant now);

    /// Slots that requests may use, taken or not; 0 while leaving, draining or ejected.
    int usableSlots(const UpstreamId &upstream, Instant now) const;
    /// Usable slots that are not taken, over all upstreams.
    int freeSlots(Instant now) const;
    /// Usable slots, taken or not, over all upstreams.
    int usableSlots(Instant now) const;
    int inFlight(const UpstreamId &upstream) const;
    bool isEjected(const UpstreamId &upstream, Instant now) const;
    /// Whether a usable upstream exists that has not failed since its last good response, so that a
    /// local retry can succeed.
    bool hasHealthyUpstream(Instant now) const;
    /// Moving average latency of good responses over all upstreams; 0 before the first.
    Interval meanLatency() const;

    std::vector<UpstreamId> upstreams() const;

private:
    struct State
    {
        UpstreamShare share;
        int inFlight = 0;
        double limit = 1; ///< Concurrency limit, estimated from request outcomes.
        double reportFactor = 1; ///< Fraction of own slots usable by the last report, 0 to 1.
        double reportWeight = 1; ///< Of the last report, 0 to 1; lowered by contradicting outcomes.
        bool reportedDraining = false;
        double latency = 0; ///< Moving average of good responses, in seconds; 0 before the first.
        int consecutiveFailures = 0;
        int consecutiveEjections = 0; ///< Exponent of the ejection backoff.
        std::optional<Instant> ejectedUntil;
        Instant lastDecrease; ///< When the limit was last lowered.
        Instant rampedUntil; ///< Time up to which the ramp is accounted for.
        Instant lastStart;
    };

    int usable(const State &state, Instant now) const;
    double expectedTime(const State &state) const;
    void onSuccess(State &state, Interval latency, Instant now);
    void onShed(State &state, Instant now);
    void onFailure(State &state, Instant now);
    std::uint64_t random();
    std::optional<UpstreamId> chooseAmong(
        std::span<const std::pair<const UpstreamId *, const State *>> free, Instant now);

    std::unordered_map<UpstreamId, State> states_;
    /// Keys of states_, sorted so that choices depend only on the seed and the order of calls.
    std::vector<UpstreamId> sortedIds_;
    std::uint64_t randomState_;
    double meanLatency_ = 0; ///< Seconds.
};

} // namespace endivequay

#endif
