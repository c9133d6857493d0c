#ifndef ENDIVEQUAY_STATESOURCES_H
#define ENDIVEQUAY_STATESOURCES_H

#include "endivequay/fleetrelay.h"

#include <map>
#include <optional>
#include <vector>

namespace endivequay {

/// Decides whom an instance asks for control state that it lacks. Knows no sockets. Not thread
/// safe.
///
/// Answers starts without the store, instances that the store turns away, and large fleets, in
/// which relays fetch the news for their domain. At most one question is open at a time.
class StateSources
{
public:
    /// A peer must be ahead for this long before it is asked: the store's own news takes as long.
    static constexpr Interval behindTolerance = std::chrono::milliseconds(300);
    static constexpr Interval behindToleranceOfFollower = std::chrono::milliseconds(10);
    /// Time between two questions of an instance that was restarted and has no state. Its callers
    /// are refused until it has one, and the seeds read it from the store within about this time.
    static constexpr Interval restartInterval = std::chrono::milliseconds(100);
    /// Least time between two questions of a follower. A series of configurations comes ten times a
    /// second; each is a whole document, and every instance must have the last within seconds.
    static constexpr Interval askInterval = std::chrono::milliseconds(250);
    /// A peer that did not hand over its state is not asked again for this long: about the time
    /// until it is suspected.
    static constexpr Interval silentSourceTime = std::chrono::milliseconds(2500);
    /// Longest wait for a peer's state: of a starting instance, which needs all of it, and of
    /// others.
    static constexpr Interval askTimeout = std::chrono::seconds(1);
    static constexpr Interval askTimeoutForChanges = std::chrono::milliseconds(500);

    /// The state that this instance has.
    struct Position
    {
        bool loaded = false; ///< False until the first state.
        Revision asOf;
    };

    StateSources(MemberRecord self, std::vector<Address> seeds, bool firstStart,
        const PeerTable &peers, const FleetRelay &relay);

    /// A peer was found to be ahead, or there is no state yet.
    void behind(Instant now);
    /// Whom to ask now, if anyone. The caller reports with asked() that it did.
    std::optional<Address> next(const Position &position, Instant now);
    /// Returns the time until which the answer is awaited.
    Instant asked(const Position &position, Instant now);
    void answered(const Address &source);
    void failed(const Address &source, Instant now);

private:
    const Peer *mostAhead(const Position &position, Instant now) const;
    std::optional<Address> seed(Instant now) const;

    MemberRecord self_;
    std::vector<Address> seeds_;
    bool firstStart_;
    const PeerTable &peers_;
    const FleetRelay &relay_;
    std::optional<Instant> behindSince_;
    Instant askedAt_;
    bool asking_ = false;
    std::map<Address, Instant> silentUntil_; ///< Sources that did not hand over their state.
};

} // namespace endivequay

#endif
