#ifndef ENDIVEQUAY_FLEETQUOTA_H
#define ENDIVEQUAY_FLEETQUOTA_H

#include "endivequay/fleet.h"
#include "endivequay/routing.h"
#include "endivequay/tokenbucket.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace endivequay {

/// Fraction of a fleet-wide limit that this instance may use, from 0 to 1.
///
/// The limit is divided by demand. Each member also counts with a fixed demand, because the demand
/// of a small team at one instance is mostly chance. A member without a report within reportTimeout
/// keeps an equal share: it may be partitioned and still admit that much. An instance without fresh
/// reports of other members takes the equal share itself. Demands are in requests per second; \a
/// fleetDemand and \a freshMembers count all members with fresh reports, including this one.
double fleetShare(
    double ownDemand, double fleetDemand, std::size_t freshMembers, std::size_t staleMembers);

/// The same for the members of one region together.
double regionShareOfLimit(double regionDemand, std::size_t regionMembers, double fleetDemand,
    std::size_t freshMembers, std::size_t staleMembers);

/// Tolerance for exceeding a limit: in any window of this length a team gets at most rate * window
/// + burst, plus the tolerance. Without a tolerance the shares of a small team are so small that
/// random variation alone refuses some of its requests.
struct QuotaTolerance
{
    double overRatio = 0; ///< Fraction of what rate and burst allow in the window.
    double slack = 0; ///< Requests per window, summed over all instances.
    Interval window = std::chrono::seconds(5);
};

/// Request for tokens, to be sent to the instance that owns the reserve of a team.
struct TokenRequest
{
    DemandKey team;
    int count = 1;
    InstanceId reserveOwner;
};

/// Rate limits of the teams at this instance. Handles teams that send many times their rate, and
/// small teams whose share per instance is below one request. Not thread safe.
///
/// Part of each limit is divided among the instances. The rest is a reserve that one instance, the
/// reserve owner, holds for each team; an instance that has used up its share asks the owner for
/// tokens before it refuses a request. The owner is chosen by rendezvous hashing among the members
/// with fresh reports and those listed recently. It holds only the part of the reserve that belongs
/// to the members it counts as present, so that the owners in the two halves of a partitioned fleet
/// never have more than the whole together.
///
/// A large fleet has an owner in each region, which holds the region's part of the reserve by
/// demand: most requests need a token there, and a round trip to another region would delay them
/// all. If the owner of its region refuses, an instance asks the one of the region that has most to
/// spare. A new owner starts with an empty reserve, so that
/// killing instances does not grant it twice; initialReserveFraction is the only exception. The
/// bound also holds when all instances exceed a limit at once, even right after a restart of all.
class FleetQuota
{
public:
    /// Fraction of a limit that is held as reserve. In a large fleet the share of one instance is a
    /// fraction of a request, so the reserve is larger there.
    static constexpr double reserveFraction = 0.5;
    static constexpr double reserveFractionLargeFleet = 0.9;
    static constexpr std::size_t largeFleetMembers = 16;
    /// Time without further token requests after the reserve owner has refused one.
    static constexpr Interval refusalBackoff = std::chrono::milliseconds(80);
    /// Unused granted tokens expire after this time: otherwise tokens stored at many instances
    /// could together exceed the limit.
    static constexpr Interval grantLifetime = std::chrono::milliseconds(400);
    /// Tokens for the demand of this time are asked for in advance: well under grantLifetime, so
    /// that few expire unused.
    static constexpr Interval prefetchInterval = std::chrono::milliseconds(250);
    /// They are asked for when the stock lasts for less than this: a round trip between regions,
    /// with the delay of a busy owner.
    static constexpr Interval prefetchLead = std::chrono::milliseconds(120);

    /// Local demand counts toward the local share only after the other instances have received it:
    /// after one and a half heartbeats, or two digests in a large fleet. If demand rises everywhere
    /// at once and every instance counts its own rise immediately, the shares add up to several
    /// times the limit.
    static constexpr Interval demandDelay = std::chrono::milliseconds(1250);
    static constexpr Interval demandDelayLargeFleet = std::chrono::milliseconds(2250);
    /// Mean age of the demand of another region in a large fleet: half of a digest's interval and
    /// the way over two relays. The regions divide a limit by what all of them know.
    static constexpr Interval regionReportAge = std::chrono::milliseconds(1500);

    /// Bounds of the retry time. Callers retry only once, so a retry must not come before shares
    /// and reserve owners have adapted to a change.
    static constexpr Interval minRetryDelay = std::chrono::milliseconds(400);
    static constexpr Interval maxRetryDelay = std::chrono::seconds(5);

    /// A report older than this counts as missing. Two reports in a row may be lost between
    /// regions.
    static constexpr Interval reportTimeout = std::chrono::milliseconds(2600);
    /// A newly listed member counts as present for the reserve for this long: after a restart of
    /// all instances the first heartbeats and digests take about this time. In a partition an owner
    /// can grant too much for no longer than this.
    static constexpr Interval newMemberGracePeriod = std::chrono::milliseconds(1500);
    /// Initial tokens in the reserve of a new team, as a fraction of the reserve's capacity, at an
    /// instance without fresh reports of others; elsewhere 0. The part of the depth (below) that is
    /// never granted covers one restart, and the time without grants covers a second one.
    static constexpr double initialReserveFraction = 0.6;

    /// Fraction of the burst that is refilled over the window, in addition to the rate. What the
    /// window allows beyond the whole refill is the depth: the tokens that could be stored.
    static constexpr double spreadBurstFraction = 0.4;
    /// Fraction of the depth that is granted, as capacity of shares and reserve. The rest covers
    /// tokens granted twice while shares change: they follow demand one report late.
    static constexpr double grantedDepthFraction = 0.6;

    /// \a minMembers is the smallest number of instances in the deployment. It bounds the share of
    /// an instance that starts while the store has lost the registrations and therefore has no
    /// other member in its list.
    FleetQuota(InstanceId self, QuotaTolerance tolerance, std::size_t minMembers = 1,
        RegionId region = {}, InstanceCapacity capacity = {})
        : self_(std::move(self))
        , region_(std::move(region))
        , capacity_(capacity)
        , tolerance_(tolerance)
        , minMembers_(minMembers)
    { }

    /// Recomputes the shares. \a peers are the other members of the fleet.
    void rebalance(const RoutingDocument &document, const DemandReport &own,
        std::span<const PeerView> peers, Instant now);

    /// Takes a token for one request of \a team. Returns true if the team has no limit.
    bool tryTake(const TeamId &team, Instant now);
    /// The request to send to the reserve owner after tryTake() failed, or nothing if this instance
    /// is the owner or the owner has just refused.
    std::optional<TokenRequest> tokenRequestFor(const TeamId &team, Instant now) const;
    /// The request to another region, after the owner of this one has refused. Nothing if no other
    /// region has an owner or it has just refused.
    std::optional<TokenRequest> remoteTokenRequestFor(const TeamId &team, Instant now) const;
    /// The request for tokens that the next requests of \a team will need, or nothing while enough
    /// are in stock or on their way. Call it after tryTake(). A team with few requests at this
    /// instance gets none: its tokens would expire unused.
    std::optional<TokenRequest> prefetchFor(const TeamId &team, Instant now);
    /// Takes up to \a count tokens from the reserve at this instance and returns their number.
    int grant(DemandKey team, int count, Instant now);
    /// Records the reserve owner's answer; a \a count of 0 is a refusal. Returns the team, if it is
    /// known.
    std::optional<TeamId> receiveTokens(DemandKey team, int count, Instant now)
    {
        return receiveTokens(team, count, {}, now);
    }
    /// \a from is the owner that answered; empty: the owner of this region.
    std::optional<TeamId> receiveTokens(
        DemandKey team, int count, const InstanceId &from, Instant now);
    /// Returns the token of a request that was not sent.
    void refund(const TeamId &team);
    /// Values that decide about \a team at this instance, for the log.
    std::string describe(const TeamId &team, Instant now);
    /// Time after which a refused request of \a team should be retried. It is computed from the
    /// demand on the whole fleet: the local share may be a fraction of a request, which takes
    /// minutes to refill.
    Interval retryAfter(const TeamId &team) const;

private:
    struct Members;

    InstanceId self_;
    RegionId region_;
    InstanceCapacity capacity_;
    QuotaTolerance tolerance_;
    std::size_t minMembers_;
    struct Share
    {
        DemandKey key;
        TokenBucket bucket;
        TokenBucket reserve; ///< Used only if this instance is the reserve owner.
        InstanceId reserveOwner; ///< Of the local region.
        InstanceId remoteOwner; ///< Of the other region that has most to spare; may be empty.
        std::uint64_t candidatesVersion
            = 0; ///< Version of ownerCandidates_ from which the owner was chosen.
        int grantedTokens = 0; ///< From the reserve owner, not used yet.
        Instant grantedUntil;
        int prefetchedTokens = 0; ///< Asked for in advance, not answered yet.
        Instant prefetchedUntil; ///< The answer is taken for lost from then on.
        Instant refusedUntil; ///< No token requests until then, because the owner refused.
        Instant remoteRefusedUntil; ///< The same for the owner of the other region.
        double fraction = 0; ///< Share of the fleet-wide limit, 0 to 1.
        double rate = 0; ///< Limit of the fleet, requests per second.
        double ownDemand = 0; ///< Requests per second.
        double fleetDemand = 0;
        std::size_t members = 1;
        std::size_t staleCount = 0; ///< Members without a fresh report.
    };

    Share *find(DemandKey team);
    /// An instance with the hash of its name.
    using OwnerCandidate = std::pair<InstanceId, std::uint64_t>;
    using RegionalDemand = std::map<RegionId, DemandReport>;
    /// Demand over time, oldest first.
    using DemandHistory = std::deque<std::pair<Instant, DemandReport>>;
    using RegionalDemandHistory = std::deque<std::pair<Instant, RegionalDemand>>;

    /// Records \a current and returns the demand that the other instances have received by now.
    static DemandReport propagatedDemand(
        DemandHistory &history, const DemandReport &current, Interval delay, Instant now);
    Members countMembers(std::span<const PeerView> peers, bool byRegion, Instant now) const;
    static InstanceId ownerOf(DemandKey team, const std::vector<OwnerCandidate> &candidates);
    void updateShare(Share &share, const TeamSettings &team, const Members &members,
        const DemandReport &own, const RegionalDemand &regions, bool isNew, Instant now);
    /// Demand by region that all regions know by now. Empty shortly after the start.
    RegionalDemand commonDemand(const Members &members, const DemandReport &own, Instant now);
    InstanceId remoteOwnerOf(const Share &share, const Members &members) const;

    DemandHistory ownDemands_;
    RegionalDemandHistory regionDemands_;
    std::map<TeamId, Share> shares_;
    std::map<RegionId, std::vector<OwnerCandidate>>
        ownerCandidates_; ///< Possible reserve owners by region; in a small fleet in one entry.
    std::uint64_t candidatesVersion_ = 0; ///< Incremented when ownerCandidates_ changes.
};

} // namespace endivequay

#endif
