#ifndef ENDIVEQUAY_FLEETQUOTA_H
#define ENDIVEQUAY_FLEETQUOTA_H

#include "endivequay/fleet.h"
#include "endivequay/refillbucket.h"
#include "endivequay/routing.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace endivequay {

/// How much of a fleet-wide limit this instance may use, from 0 to 1.
///
/// The limit is divided by demand, with an equal part for each member that matters for small teams,
/// whose demand at one instance is mostly chance. A member that has not reported for staleReport
/// keeps an equal share, because it may be cut off and admit that much; an instance that hears
/// nobody has the equal share itself. Demands are in requests per second;
/// \a fleetDemand is that of all fresh members, this one included, and so is \a freshMembers.
double fleetShare(
    double ownDemand, double fleetDemand, std::size_t freshMembers, std::size_t staleMembers);

/// How a limit is measured: in any window of this length, a team gets at most rate * window +
/// burst, plus what is tolerated. Without tolerance the shares of a small team are so small that
/// chance alone refuses part of its requests.
struct QuotaTolerance
{
    double over = 0; ///< Part of what rate and burst allow in the window.
    double slack = 0; ///< Requests per window, over all instances.
    Interval window = std::chrono::seconds(5);
};

/// Asks the instance that keeps a team's reserve for tokens.
struct TokenRequest
{
    DemandKey team;
    int count = 1;
    InstanceId keeper;
};

/// Rate limits of the teams at this instance. Answers the load of one team that sends many times
/// its rate, and of small teams whose share per instance is below one request. Not thread safe.
///
/// Part of each limit is divided among the instances. The rest is a reserve that one instance keeps
/// for each team; an instance whose share is used up asks it before it refuses. The keeper is
/// chosen by rendezvous among the members with fresh reports and those that were just listed, and
/// keeps only the part of the reserve of those, so that the keepers of two halves of a
/// partitioned fleet have no more than the whole. A keeper that takes over begins with nothing, so
/// that kills do not grant a reserve twice. A limit that all instances exceed at once, also right
/// after a restart of all, stays within its bound.
class FleetQuota
{
public:
    /// Part of a limit that is reserve. With many instances the shares are fractions of a request.
    static constexpr double reservePart = 0.5;
    static constexpr double reservePartLargeFleet = 0.9;
    static constexpr std::size_t largeFleet = 16;
    /// After a refusal of the keeper this instance does not ask again for this long.
    static constexpr Interval refusalMemory = std::chrono::milliseconds(80);
    /// Granted tokens that were not used are void after this time: many instances with stored
    /// tokens could exceed the limit together.
    static constexpr Interval grantLifetime = std::chrono::milliseconds(400);

    /// The own demand counts toward the own share only once the others know of it: after a beat and
    /// a half, or two digests in a large fleet. If all demands rise together and every instance
    /// counts its own at once, the shares add up to several times the limit.
    static constexpr Interval demandDelay = std::chrono::milliseconds(1250);
    static constexpr Interval demandDelayLargeFleet = std::chrono::milliseconds(2250);

    /// Callers come back once, so not before shares and keepers have followed a change.
    static constexpr Interval shortestRetry = std::chrono::milliseconds(400);
    static constexpr Interval longestRetry = std::chrono::seconds(5);

    /// A report older than this counts as missing; two reports between regions may be lost.
    static constexpr Interval staleReport = std::chrono::milliseconds(2600);
    /// A member that was just listed counts as heard toward the reserve for this long: the first
    /// heartbeats and digests after a restart of all take about this time. In a partition it lets
    /// a keeper grant too much no longer than this.
    static constexpr Interval listedCountsAsHeard = std::chrono::milliseconds(1500);
    /// Part of its depth that a reserve holds at an instance that starts and has heard nobody. The
    /// depth that is never granted makes up for one restart, and the time without any grants for a
    /// second one.
    static constexpr double reserveAtStart = 0.6;

    /// Part of the burst that is spread over the window. What a window allows beyond the refill
    /// rate is the depth of the buckets.
    static constexpr double spreadBurst = 0.4;
    /// Part of the depth that is granted. The rest absorbs what is granted twice while the shares
    /// move: they move with a delay of one report.
    static constexpr double grantedDepth = 0.6;

    /// \a leastMembers is the smallest number of instances that the deployment can have. An
    /// instance that starts while the store has lost the registrations knows no other member.
    FleetQuota(InstanceId self, QuotaTolerance tolerance, std::size_t leastMembers = 1)
        : self_(std::move(self))
        , tolerance_(tolerance)
        , leastMembers_(leastMembers)
    { }

    /// Recomputes the shares. \a peers are the other members of the fleet.
    void rebalance(const RoutingDocument &document, const DemandReport &own,
        std::span<const PeerView> peers, Instant now);

    /// Takes one request of \a team. True if the team has no limit.
    bool tryTake(const TeamId &team, Instant now);
    /// Whom to ask when tryTake() failed, or nothing if asking is of no use now.
    std::optional<TokenRequest> ask(const TeamId &team, Instant now) const;
    /// Tokens that the reserve of this instance gives; 0 to \a count.
    int grant(DemandKey team, int count, Instant now);
    /// \a count tokens came from the keeper; 0 is a refusal. Returns the team, if it is known.
    std::optional<TeamId> granted(DemandKey team, int count, Instant now);
    /// Gives back a request that was taken but not sent.
    void giveBack(const TeamId &team);
    /// What decides about \a team here and now, for the log.
    std::string describe(const TeamId &team, Instant now);
    /// Time after which a refused request of \a team should come back. It follows from the demand
    /// on the fleet: the own share may be a fraction of a request, whose refill takes minutes.
    Interval retryAfter(const TeamId &team) const;

private:
    InstanceId self_;
    QuotaTolerance tolerance_;
    std::size_t leastMembers_;
    std::deque<std::pair<Instant, DemandReport>> ownDemands_; ///< Oldest first.
    struct Share
    {
        DemandKey key;
        RefillBucket bucket;
        RefillBucket reserve; ///< Used only if this instance is the keeper.
        InstanceId keeper;
        std::uint64_t keepersVersion = 0; ///< Of keepers_ when the keeper was chosen.
        int grantedTokens = 0; ///< From the keeper.
        Instant grantedUntil;
        Instant refusedUntil; ///< The keeper has nothing until then.
        double part = 0; ///< Of the limit of the fleet, 0 to 1.
        double rate = 0; ///< Of the fleet, requests per second.
        double ownDemand = 0; ///< Requests per second.
        double fleetDemand = 0;
        std::size_t members = 1;
        std::size_t stale = 0; ///< Members without a fresh report.
    };

    Share *find(DemandKey team);
    /// The own demand as the others know it, and remembers the present one.
    DemandReport knownDemand(const DemandReport &own, Interval delay, Instant now);
    InstanceId keeperOf(DemandKey team) const;

    std::map<TeamId, Share> shares_;
    std::vector<std::pair<InstanceId, std::uint64_t>>
        keepers_; ///< Fresh members with their hashes.
    std::uint64_t keepersVersion_ = 0; ///< Counts changes of keepers_.
};

} // namespace endivequay

#endif
