#ifndef ENDIVEQUAY_STOREFOLLOWER_H
#define ENDIVEQUAY_STOREFOLLOWER_H

#include "endivequay/readerelection.h"
#include "endivequay/statefeed.h"

#include <utility>

namespace endivequay {

/// Calls of an instance to the store, in its role among the readers: follows the state, or only
/// finds out whether the store answers, and keeps the registration. Not thread safe.
template <ControlStore Store>
class StoreFollower
{
public:
    /// \a answered is called after each success of a call, \a changed after each change of
    /// \a replica from the store.
    StoreFollower(Store &store, Replica &replica, DecisionLog &log, const MemberRecord &self,
        Interval leaseTime, const std::function<Instant()> &now, std::function<void()> answered,
        std::function<void()> changed)
        : feed_(store, replica, log, now, std::move(changed))
        , registration_(store, self, leaseTime, now, log,
              [this, now, answered = std::move(answered)](const Status &status) {
                  if (!status) {
                      feed_.storeFailed(status.lastReason(), now());
                      return;
                  }
                  feed_.storeAnswered(now());
                  answered();
              })
    { }

    /// \a pollTime limits the watches' long poll; none for the store's own limit.
    void advance(Instant now, ReaderElection::Role role, std::optional<Interval> pollTime)
    {
        const bool reads = role == ReaderElection::Role::Reader;
        if (!std::exchange(reads_, reads) && reads)
            feed_.resume(now);
        feed_.setPollTime(pollTime);
        if (role == ReaderElection::Role::Candidate)
            registration_.probe(now);
        if (reads_)
            feed_.advance(now);
        registration_.advance(now);
    }

    bool reads() const { return reads_; }
    /// Time since the store confirmed the state; none if this instance does not read it.
    std::optional<Interval> stateAge(Instant now) const
    {
        return reads_ ? std::optional(now - feed_.confirmedAt()) : std::nullopt;
    }
    /// When the store confirmed the state, if that was not taken yet.
    std::optional<Instant> takeConfirmation()
    {
        if (!reads_ || feed_.confirmedAt() == takenAt_)
            return std::nullopt;
        takenAt_ = feed_.confirmedAt();
        return takenAt_;
    }

    /// Ends the registration.
    void stop() { registration_.stop(); }

private:
    StateFeed<Store> feed_;
    Registration<Store> registration_;
    bool reads_ = false;
    Instant takenAt_; ///< Latest confirmation that was taken.
};

} // namespace endivequay

#endif
