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

/// Number that the caller of the queue gives to a request.
using Ticket = std::uint64_t;

/// A request that waits for a slot.
struct WaitingRequest
{
    Ticket ticket = 0;
    TeamId team; ///< Requests of open routes carry the empty team and form one class.
    RequestRate weight { 1 }; ///< Rate of the team.
    Instant deadline;
    bool deferrable = false;
};

/// A request that the queue gives up.
struct DroppedRequest
{
    Ticket ticket = 0;
    Refusal refusal;
};

/// Waiting requests of one service at one instance.
///
/// Teams are served in start-time fair order (Goyal, Vin and Cheng, 1996) with the team's rate as
/// weight; within a team the earliest deadline goes first. Deferrable requests go after all others,
/// but one that waited for agingBound counts as not deferrable. Every request passes through the
/// queue, also when a slot is free, so that the order charges each team for all it ran.
/// Not thread safe.
class AdmissionQueue
{
public:
    static constexpr std::size_t defaultLimit = 64;
    /// Longest time a deferrable request waits behind others. A fifth of the longest request time,
    /// so that it can still run before its deadline.
    static constexpr Interval agingBound = std::chrono::seconds(2);

    explicit AdmissionQueue(std::size_t limit = defaultLimit);

    /// Adds \a request. When the queue is full, one request is given up and returned: of the team
    /// that holds the most for its weight, the deferrable one, then the one with the latest
    /// deadline. It may be \a request itself.
    std::optional<DroppedRequest> push(const WaitingRequest &request, Instant now);
    /// Removes and returns the request to run next. Expired requests are never returned.
    std::optional<WaitingRequest> pop(Instant now);
    /// Removes the requests that would end after their deadline if they started at \a now and took
    /// \a expectedTime.
    std::vector<DroppedRequest> expire(Instant now, Interval expectedTime = {});
    /// Removes a request that its caller gave up. Returns whether it was waiting.
    bool remove(Ticket ticket);

    /// Tells the queue that requests leave it at \a perSecond, for the retry times.
    void setServiceRate(RequestRate perSecond) { serviceRate_ = perSecond; }

    std::size_t size() const { return size_; }
    std::size_t limit() const { return limit_; }
    /// Requests of \a team that wait.
    std::size_t size(const TeamId &team) const;
    /// Earliest deadline of all waiting requests.
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
        double startTag = 0; ///< Of the next request; the finish tag of the last one while idle.
    };

    Refusal refusal(RefusalReason reason, const Team &team, Instant now) const;
    DroppedRequest giveUpOne(Instant now);

    std::size_t limit_;
    std::size_t size_ = 0;
    std::map<TeamId, Team> teams_;
    double virtualTime_ = 0;
    RequestRate serviceRate_ { 0 };
};

} // namespace endivequay

#endif
