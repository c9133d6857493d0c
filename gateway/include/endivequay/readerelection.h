#ifndef ENDIVEQUAY_READERELECTION_H
#define ENDIVEQUAY_READERELECTION_H

#include "endivequay/peers.h"

namespace endivequay {

/// Selects the instances that read the store for their region in a large fleet.
///
/// The highest-ranked member of a region reads, and tells the region with each answer that its
/// state is confirmed. If no reader confirms its state any more, the other members become
/// candidates one after the other. A candidate finds out with a cheap call whether the store
/// answers it, and reads if it does. All members are candidates early enough for the changes to be
/// in use in time, because the store may answer any one of them and no other. Contains no I/O.
/// Not thread safe.
class ReaderElection
{
public:
    enum class Role {
        Follower, ///< Gets the changes from a reader of its region.
        Candidate, ///< Checks whether the store answers it.
        Reader
    };

    /// Part of the time for a change that remains after the last member became a candidate: a
    /// renewal and a watch of the new reader, a tick before each, and the way of the changes to the
    /// other members.
    static constexpr Interval handoverReserve = std::chrono::milliseconds(800);
    /// Part of the longest silence of a reader that is not its long poll: the interval between two
    /// watches, a tick before and after the watch, the call, and the way to the other members.
    static constexpr Interval reportReserve = std::chrono::milliseconds(400);
    /// Shorter polls would cost more than a watch of each instance.
    static constexpr Interval minPollTime = std::chrono::milliseconds(200);

    /// \a changeTime is the time within which changes in the store must be in use.
    ReaderElection(MemberRecord self, const PeerTable &peers, Interval changeTime)
        : self_(std::move(self))
        , peers_(peers)
        , changeTime_(changeTime)
    { }

    /// Whether a few instances can read for the others in time. If not, each must read the store.
    bool mayShareReaders() const { return pollTime() >= minPollTime; }
    /// Long-poll time of a reader's watch.
    Interval pollTime() const { return maxSilence() - reportReserve; }
    /// Longest time between two confirmations of a reader that the store answers.
    Interval maxSilence() const { return (changeTime_ - handoverReserve) / 2; }

    /// Records that the store answered a call of this instance.
    void storeAnswered(Instant at) { storeAnsweredAt_ = at; }
    /// Records that this instance has the state of a reader of its region.
    void stateConfirmed(Instant at) { confirmedAt_ = std::max(confirmedAt_, at); }
    /// Decides on the role again.
    Role update(Instant now);
    Role role() const { return role_; }
    /// Latest known confirmation of a reader of the region.
    Instant confirmedAt() const { return confirmedAt_; }

private:
    struct Region
    {
        int size = 1; ///< Including this instance.
        int higherRanked = 0;
        Instant confirmedAt; ///< Latest confirmation of any peer.
        Instant confirmedByHigherAt;
    };

    Region surveyRegion(Instant now) const;
    Role nextRole(const Region &region, Instant now) const;
    /// When this instance becomes a candidate if there is no further confirmation.
    Instant candidateAt(const Region &region) const;

    MemberRecord self_;
    const PeerTable &peers_;
    Interval changeTime_;
    Role role_ = Role::Follower;
    Instant confirmedAt_; ///< Latest known confirmation of any reader of the region.
    Instant candidateSince_;
    Instant storeAnsweredAt_;
};

} // namespace endivequay

#endif
