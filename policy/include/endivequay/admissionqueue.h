#ifndef ENDIVEQUAY_ADMISSIONQUEUE_H
#define ENDIVEQUAY_ADMISSIONQUEUE_H

#include "endivequay/clock.h"
#include "endivequay/refusal.h"
#include "endivequay/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace endivequay {

/// Identifies a request in the queue. Assigned by the caller.
using Ticket = std::uint64_t;

/// A queued request that waits for a free slot.
struct WaitingRequest
{
    Ticket ticket = 0;
    TeamId team; ///< Empty for requests of open routes, which are scheduled as one class.
    RequestRate weight { 1 }; ///< Configured rate of the team, its weight in fair queuing.
    Instant deadline;
    bool deferrable = false;
};

/// A request that the queue dropped, with the refusal for its caller.
struct DroppedRequest
{
    Ticket ticket = 0;
    Refusal refusal;
};

/// Bounded queue of the requests of one service at one instance.
///
/// Teams share the slots by start-time fair queuing (Goyal, Vin and Cheng, 1996), weighted by the
/// rate of the team; within a team the earliest deadline goes first. Deferrable requests go after
/// all others, but one that has waited for agingDelay is scheduled as not deferrable. Every request
/// passes through the queue, also when a slot is free, so that each team is charged for all
/// requests that it ran. Not thread safe.
class AdmissionQueue
{
public:
    static constexpr std::size_t defaultLimit = 64;
    /// Time after which a deferrable request is no longer deferred. A fifth of the maximum request
    /// duration, so that the request can still run before its deadline.
    static constexpr Interval agingDelay = std::chrono::seconds(2);

    explicit AdmissionQueue(std::size_t limit = defaultLimit);

    /// Adds \a request. If the queue is full, evicts and returns one request, which may be
    /// \a request itself: of the team with the most queued requests per weight, a deferrable
    /// request first, then the one with the latest deadline.
    std::optional<DroppedRequest> push(const WaitingRequest &request, Instant now);
    /// Removes and returns the request to run next. Expired requests are never returned.
    std::optional<WaitingRequest> pop(Instant now);
    /// Removes the requests that would miss their deadline if they started at \a now and ran for
    /// \a expectedTime.
    std::vector<DroppedRequest> expire(Instant now, Interval expectedTime = {});
    /// Removes a request that its caller cancelled. Returns whether it was in the queue.
    bool remove(Ticket ticket);
    bool contains(Ticket ticket) const;

    /// Sets the rate at which requests leave the queue, from which retry times are computed.
    void setServiceRate(RequestRate perSecond) { serviceRate_ = perSecond; }

    std::size_t size() const { return size_; }
    std::size_t limit() const { return limit_; }
    /// Number of queued requests of \a team.
    std::size_t size(const TeamId &team) const;
    /// Earliest deadline of all queued requests.
    std::optional<Instant> nextDeadline() const;

private:
    struct Entry
    {
        WaitingRequest request;
        Instant arrivedAt;
    };
    struct Team
    {
        std::vector<Entry> waiting;
        double weight = 1;
        double startTag = 0; ///< Of the next request; while idle, finish tag of the last request.
    };

    Refusal refusal(RefusalReason reason, const Team &team, Instant now) const;
    DroppedRequest evictOne(Instant now);

    std::size_t limit_;
    std::size_t size_ = 0;
    std::map<TeamId, Team> teams_;
    double virtualTime_ = 0;
    RequestRate serviceRate_ { 0 };
};

} // namespace endivequay

#endif
