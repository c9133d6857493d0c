#ifndef ENDIVEQUAY_STATESOURCES_H
#define ENDIVEQUAY_STATESOURCES_H

#include "endivequay/fleetrelay.h"

#include <map>
#include <optional>
#include <vector>

namespace endivequay {

/// Selects the peer or seed from which an instance requests control state that it lacks. Contains
/// no I/O. Not thread safe.
///
/// Covers starts without the store, instances that the store rejects, and large fleets, in which
/// relays fetch changes for their domain. At most one request is open at a time.
class StateSources
{
public:
    /// A peer must be ahead for this long before its state is requested: changes from the store
    /// take as long.
    static constexpr Interval lagTolerance = std::chrono::milliseconds(300);
    /// The same for a follower: an instance of a large fleet that has state.
    static constexpr Interval followerLagTolerance = std::chrono::milliseconds(10);
    /// Interval between two requests of a restarted instance without state. It rejects requests of
    /// callers until it has state, and the seeds read it from the store within about this time.
    static constexpr Interval restartedRequestInterval = std::chrono::milliseconds(100);
    /// Minimum interval between two requests of a follower. Configurations may change ten times a
    /// second; each is a full document, and every instance must have the last within seconds.
    static constexpr Interval followerRequestInterval = std::chrono::milliseconds(250);
    /// A source whose request failed is not used again for this long: about the time until a peer
    /// is suspected.
    static constexpr Interval failedSourceBackoff = std::chrono::milliseconds(2500);
    /// Request timeout of an instance without state, which needs a snapshot.
    static constexpr Interval snapshotTimeout = std::chrono::seconds(1);
    /// Request timeout of an instance that needs only changes.
    static constexpr Interval changesTimeout = std::chrono::milliseconds(500);

    /// State of the local replica.
    struct Position
    {
        bool loaded = false; ///< False until the first state.
        StorePosition asOf;
    };

    StateSources(MemberRecord self, std::vector<Address> seeds, bool firstStart,
        const PeerTable &peers, const FleetRelay &relay);

    /// Records that a peer is ahead or that there is no state yet.
    void markBehind(Instant now);
    /// Control address to request state from now, if any. The caller must report a request with
    /// requestStarted() and its outcome with requestSucceeded() or requestFailed().
    std::optional<Address> nextSource(const Position &position, Instant now);
    /// Returns the deadline of the request.
    Instant requestStarted(const Position &position, Instant now);
    void requestSucceeded(const Address &source);
    void requestFailed(const Address &source, Instant now);

private:
    const Peer *bestSource(const Position &position, Instant now) const;
    std::optional<Address> currentSeed(Instant now) const;

    MemberRecord self_;
    std::vector<Address> seeds_;
    bool firstStart_;
    const PeerTable &peers_;
    const FleetRelay &relay_;
    std::optional<Instant> behindSince_;
    Instant requestedAt_;
    bool requestOpen_ = false;
    std::map<Address, Instant> excludedUntil_; ///< Sources whose last request failed.
};

} // namespace endivequay

#endif
