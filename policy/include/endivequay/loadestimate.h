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

/// Answer of an upstream's load endpoint. It may lag or be wrong.
struct LoadReport
{
    int inFlight = 0;
    int slots = 0;
    bool draining = false;
};

/// What the configuration and the cell ledger give this instance at an upstream.
struct UpstreamShare
{
    int ownSlots = 0; ///< Slots whose cells this instance owns or has borrowed; never exceeded.
    int allSlots = 0; ///< Configured slots of the upstream over all instances.
    bool leaving = false; ///< The configuration drains or removes the upstream.
    bool cold = false; ///< The upstream is new or came back from a drain.

    bool operator==(const UpstreamShare &) const = default;
};

/// How a request at an upstream ended.
enum class RequestResult {
    Good, ///< A complete response that is not a sign of overload.
    Shed, ///< The upstream refused for lack of room (503).
    Failed, ///< Connect failure, timeout or broken response.
    Cancelled, ///< Ended by the caller; says nothing about the upstream.
};

/// Estimate of the usable slots of the upstreams of one service in the own failure domain.
///
/// Own slots bound the estimate. A load report can only lower it, and loses its weight with every
/// good response at the limit that it sets; shed load restores the weight. A missing report
/// changes nothing. Not thread safe.
class UpstreamView
{
public:
    /// \a seed selects the sequence of random choices.
    explicit UpstreamView(std::uint64_t seed);

    /// Adds an upstream or changes its share. A new upstream with \a share.cold starts at 1 slot.
    void setShare(const UpstreamId &upstream, const UpstreamShare &share, Instant now);
    /// Forgets an upstream; its requests in flight may still be finished.
    void remove(const UpstreamId &upstream);

    void reportReceived(const UpstreamId &upstream, const LoadReport &report, Instant now);

    /// Takes a slot for a request. Call only for an upstream that choose() returned.
    void started(const UpstreamId &upstream, Instant now);
    /// Returns the slot of a request that took \a latency.
    void finished(const UpstreamId &upstream, RequestResult outcome, Interval latency, Instant now);

    /// An upstream of \a candidates with a free slot, or none. Of two random ones the one with the
    /// lower expected time is taken; an upstream that is much slower than the others is used only
    /// to observe it or when no other has room.
    std::optional<UpstreamId> choose(std::span<const UpstreamId> candidates, Instant now);
    /// choose() over all known upstreams.
    std::optional<UpstreamId> choose(Instant now);

    /// Slots that new requests may use in total; 0 while leaving, draining or ejected.
    int usableSlots(const UpstreamId &upstream, Instant now) const;
    /// Usable slots that are not taken, over all upstreams.
    int freeSlots(Instant now) const;
    /// Usable slots, taken or not, over all upstreams.
    int usableSlots(Instant now) const;
    int inFlight(const UpstreamId &upstream) const;
    bool isEjected(const UpstreamId &upstream, Instant now) const;
    /// Whether a retry here makes sense: a usable upstream exists that has not failed since its
    /// last good response.
    bool hasHealthyUpstream(Instant now) const;
    /// Mean time of good responses over all upstreams; 0 before the first.
    Interval meanLatency() const;

    std::vector<UpstreamId> upstreams() const;

private:
    struct State
    {
        UpstreamShare share;
        int inFlight = 0;
        double limit = 1; ///< Own estimate of usable slots from outcomes.
        double reportFactor = 1; ///< Part of the own slots that the last report leaves, 0 to 1.
        double reportTrust = 1; ///< Weight of the report, lowered by contradicting outcomes.
        bool reportedDraining = false;
        double latency = 0; ///< Moving mean of good responses, seconds.
        int failuresInRow = 0;
        int ejections = 0; ///< In a row, for the growth of the ejection time.
        std::optional<Instant> ejectedUntil;
        Instant lastCut; ///< Last time the limit was lowered.
        Instant lastGood; ///< End of the time for which the ramp was credited.
        Instant lastStart;
    };

    int usable(const State &state, Instant now) const;
    double expectedTime(const State &state) const;
    void good(State &state, Interval latency, Instant now);
    void shed(State &state, Instant now);
    void failed(State &state, Instant now);
    std::uint64_t random();
    std::optional<UpstreamId> chooseAmong(
        std::span<const std::pair<const UpstreamId *, const State *>> free, Instant now);

    std::unordered_map<UpstreamId, State> states_;
    std::vector<UpstreamId> order_; ///< Keys of states_, sorted, so that choices replay by seed.
    std::uint64_t randomState_;
    double meanLatency_ = 0;
};

} // namespace endivequay

#endif
