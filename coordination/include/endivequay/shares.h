#ifndef ENDIVEQUAY_SHARES_H
#define ENDIVEQUAY_SHARES_H

#include "endivequay/cells.h"
#include "endivequay/clock.h"
#include "endivequay/ledger.h"
#include "endivequay/sharemessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace endivequay {

inline constexpr Interval rateLoanTerm = std::chrono::seconds(5);
/// Term of a loan of tokens without a refill rate, made for waiting requests.
inline constexpr Interval tokenLoanTerm = std::chrono::milliseconds(300);
inline constexpr Interval slotLoanTerm = std::chrono::seconds(15);
inline constexpr Interval maxRequestDuration = std::chrono::seconds(10);
/// After this time every instance has adopted a change or refuses keyed routes (4 s plus margin).
inline constexpr Interval rateRaiseDelay = std::chrono::seconds(6);
/// As rateRaiseDelay; in addition, requests admitted under the earlier definition have ended.
inline constexpr Interval slotRaiseDelay = rateRaiseDelay + maxRequestDuration;
/// Minimum interval between rounds of loan requests for one resource.
inline constexpr Interval loanRoundInterval = std::chrono::milliseconds(50);
/// How long a request waits for a loan of a token before it is refused.
inline constexpr Interval maxLoanWait = std::chrono::milliseconds(100);

/// How long past its term a lender counts a loan as lent: clock drift of 0.1 percent and 50 ms.
constexpr Interval lenderMargin(Interval term)
{
    return term / 1000 + std::chrono::milliseconds(50);
}

enum class ResourceKind { Rate, Concurrency };

/// A limit shared by all instances of its failure domains, divided into pieces held by cells.
///
/// Each of the domains has the same number of pieces. The pieces of a rate differ by at most a
/// millionth of a request, so that they add up to the total exactly.
struct ResourceDefinition
{
    ResourceId id;
    ResourceKind kind = ResourceKind::Rate;
    std::vector<FailureDomainId> domains; ///< Sorted, without repetition.
    int piecesPerDomain = 0;
    Allotment total; ///< Over all pieces; zero for a concurrency limit.

    /// A team's rate and burst: clamp(burst / (4 * domains), 1, 120) pieces in each domain.
    static ResourceDefinition team(
        ResourceId id, RequestRate rate, RequestCount burst, std::vector<FailureDomainId> domains);
    /// Any other rate, such as a region's capacity or a service's shift budget. Same as a team
    /// whose burst is \a window times the rate.
    static ResourceDefinition rate(
        ResourceId id, RequestRate rate, Interval window, std::vector<FailureDomainId> domains);
    /// Concurrency limit of an upstream in \a domain: one piece per slot or connection.
    static ResourceDefinition slots(ResourceId id, SlotCount slots, FailureDomainId domain);

    /// Cells that contain pieces, the same in every domain.
    CellSet cells() const;
    /// Rate and burst of piece \a piece of the domain with index \a domainIndex.
    Allotment pieceAllotment(std::size_t domainIndex, int piece) const;
    /// Rate and burst of all pieces in \a cells of \a domain.
    Allotment allotmentOf(const FailureDomainId &domain, const CellSet &cells) const;
    /// Number of pieces in \a cells of \a domain.
    int piecesIn(const FailureDomainId &domain, const CellSet &cells) const;
    /// Hash of the definition, the same on every machine. Loans are granted only between instances
    /// with equal digests.
    std::uint64_t digest() const;

    bool operator==(const ResourceDefinition &) const = default;
};

/// When a raised limit takes effect.
enum class RaiseRule {
    Delayed, ///< After rateRaiseDelay or slotRaiseDelay; also for a new resource.
    Immediate, ///< At once; only when no older definition can be in use, as in a new deployment.
    AfterGap, ///< Intermediate versions were missed: the own allotment is 0 until the delay ends.
};

/// Definitions of one resource in the order of adoption. A replaced definition stays in effect for
/// a delay, and the lowest allotment of all definitions in effect applies. So at every moment there
/// is one definition that all instances stay within.
class DefinitionHistory
{
public:
    /// Returns false if \a definition is already the current one.
    bool adopt(const std::optional<ResourceDefinition> &definition, Instant now, Interval delay,
        RaiseRule rule);
    void setCells(const FailureDomainId &domain, const CellSet &cells);
    /// Removes definitions that are no longer in effect.
    void expire(Instant now);

    /// The definition adopted last; empty if the resource was removed.
    const std::optional<ResourceDefinition> &current() const { return entries_.back().definition; }
    std::uint64_t currentDigest() const { return entries_.back().digest; }
    Allotment allotmentAt(Instant at) const;
    int piecesAt(Instant at) const;
    /// Next instant after \a at at which an earlier definition ceases to be in effect.
    Instant nextLimitChange(Instant at) const;
    /// True if the resource was removed and no earlier definition is in effect.
    bool isObsolete() const { return entries_.size() == 1 && !current(); }
    /// Lowest allotment and number of pieces of \a cells over all definitions in effect at \a at.
    std::pair<Allotment, int> lowestFor(const CellSet &cells, Instant at) const;

private:
    struct Entry
    {
        std::optional<ResourceDefinition> definition;
        std::uint64_t digest = 0;
        Allotment allotment;
        int pieces = 0;
        Instant effectiveUntil = Instant::max();
    };
    void updateShare(Entry &entry) const;

    FailureDomainId domain_;
    CellSet cells_;
    std::vector<Entry> entries_ { Entry() };
};

/// Exponentially weighted moving average of a rate of events.
class DemandEstimate
{
public:
    explicit DemandEstimate(Interval window)
        : window_(toSeconds(window))
    { }

    void add(double count, Instant now);
    /// Events per second.
    double perSecond(Instant now) const;
    /// True if the time since the last event is long compared with the average gap.
    bool idle(Instant now) const;

private:
    double window_;
    double value_ = 0;
    Instant updatedAt_ {};
};

/// Owners of the cells of one domain, for choosing lenders.
struct DomainOwners
{
    FailureDomainId domain;
    CellLedger ledger;
};

/// Selects the instances to ask for loans of one resource, and limits how often they are asked.
class LenderSelector
{
public:
    /// Sets the lenders: owners of cells with pieces of \a definition, in the order of \a domains.
    void setOwners(const ResourceDefinition &definition, const std::vector<DomainOwners> &domains,
        Incarnation self);
    /// Starts a round of requests and returns up to \a count lenders to ask: first those that other
    /// lenders named, then those of the nearest domain, then the others in rotation. Lenders that
    /// recently had nothing to lend are skipped. Empty if a round is in progress or the last one is
    /// too recent.
    std::vector<Incarnation> startRound(
        std::size_t count, Instant now, const std::set<Incarnation> &suspects);
    /// Adds an instance that probably holds capacity; it is asked first in the next rounds.
    void addHolder(Incarnation holder);
    /// True while replies of the last round are outstanding.
    bool roundOpen(Instant now) const { return awaitedReplies_ > 0 && now < roundEndsAt_; }
    void onReply(const LoanReply &reply, bool granted, Incarnation self, Instant now);
    std::size_t size() const { return lenders_.size(); }

private:
    std::vector<Incarnation> candidates(Instant now, const std::set<Incarnation> &suspects) const;

    std::vector<Incarnation> lenders_;
    std::size_t nearestDomainCount_
        = 0; ///< Lenders of the nearest domain, at the front of lenders_.
    std::size_t cursor_ = 0;
    std::vector<Incarnation> holders_;
    std::map<Incarnation, Instant> skippedUntil_;
    std::size_t awaitedReplies_ = 0;
    bool lastRoundUseful_ = true; ///< The last round got a loan or the name of a holder.
    Interval roundInterval_ = loanRoundInterval;
    Instant nextRoundAt_ {};
    Instant roundEndsAt_ {};
};

/// Only first attempts count as demand.
enum class Attempt { First, Repeated };

/// State of one rate limit, for metrics and tests. All amounts in millionths of a request.
struct RateUsage
{
    Allotment own; ///< From owned cells, before loans.
    Allotment lent;
    Allotment borrowed;
    Allotment effective;
    std::int64_t tokens = 0;
    double demand = 0; ///< Requests per second.
};

/// Token buckets of all rate limits of one instance.
///
/// At every moment, over all instances and messages in flight, the rates add up to at most the
/// limit's rate and the bucket sizes to at most its burst. So admissions in any window w are at
/// most burst + rate * w.
class RateShares
{
public:
    RateShares(Incarnation self, FailureDomainId domain);

    /// Replaces all definitions; kinds other than Rate are ignored. Call with every version in
    /// order.
    void define(const std::vector<ResourceDefinition> &definitions, Instant now,
        RaiseRule rule = RaiseRule::Delayed);
    /// Sets the cells of the own domain that may be used until \a usableUntil.
    void setCells(const CellSet &cells, Instant usableUntil, Instant now);
    /// Sets the known ledgers, nearest domain first, including the own domain.
    void setOwners(std::vector<DomainOwners> domains);
    /// Sets the peers that are not asked for loans.
    void setSuspects(std::set<Incarnation> suspects) { suspects_ = std::move(suspects); }

    bool has(const ResourceId &resource) const { return resources_.contains(resource); }
    /// Takes \a count tokens; false if there are too few or the resource is unknown.
    bool tryAcquire(const ResourceId &resource, RequestCount count, Instant now,
        Attempt attempt = Attempt::First);
    /// Earliest instant at which \a count tokens can be available without a loan; Instant::max() if
    /// never.
    Instant nextAvailableAt(const ResourceId &resource, RequestCount count, Instant now);

    /// Loan requests to send when \a waiting requests have no token. Empty if a round is in
    /// progress, the last one is too recent or there is no lender to ask.
    std::vector<ShareOutgoing> requestLoans(
        const ResourceId &resource, RequestCount waiting, Instant now);
    LoanReply onLoanRequest(const LoanRequest &request, Instant now);
    /// Returns true if tokens arrived, so that waiting requests should be tried again.
    bool onLoanReply(const LoanReply &reply, Instant now);
    void onLoanReturn(const LoanReturn &loan, Instant now);
    /// Renews, returns and prefetches loans. Call every 50 to 250 ms.
    std::vector<ShareOutgoing> tick(Instant now);

    /// True if the allotment of \a cells alone covers everything lent.
    bool fitsWithin(const CellSet &cells, Instant now);
    RateUsage usage(const ResourceId &resource, Instant now);

private:
    struct Lent
    {
        Allotment amount;
        Instant deadline;
        std::set<LoanId> returns {}; ///< Returns already applied, to ignore duplicates.
    };
    struct Borrowed
    {
        LoanOrigin origin;
        Allotment amount;
        Instant receivedAt;
        Instant deadline;
        Instant renewAt;
    };
    struct Pending
    {
        Incarnation lender;
        Instant sentAt;
        std::optional<LoanId> renews;
    };
    struct CachedReply
    {
        LoanReply reply;
        Instant expiresAt;
    };
    struct Resource
    {
        ResourceId id;
        DefinitionHistory definitions;
        Instant usableUntil {};
        std::int64_t tokens = 0;
        std::int64_t remainder = 0; ///< Fraction of a token below 1e-6, in units of 1e-15.
        Instant updatedAt {};
        std::map<LoanId, Lent> lent;
        std::map<LoanId, Borrowed> borrowed;
        std::map<LoanId, Pending> pending;
        std::map<LoanId, CachedReply> cachedReplies;
        DemandEstimate demand { std::chrono::milliseconds(500) };
        DemandEstimate steadyDemand { std::chrono::seconds(3) };
        LenderSelector lenders;
        bool lastAcquireFailed = false; ///< For lack of tokens.

        Allotment own(Instant at) const;
        Allotment lentAt(Instant at) const;
        Allotment borrowedAt(Instant at) const;
        /// Allotment, not lent yet, that is still here when a token loan made now has ended.
        Allotment tokenLoanCapacity(Instant now) const;
        /// True if this instance still covers everything that it lent after giving up \a part of \a
        /// loan.
        bool lentCoveredWithout(const Borrowed &loan, const Allotment &part, Instant now) const;
        Allotment effective(Instant at) const;
        Instant nextLimitChange(Instant at, Instant limit) const;
        void advance(Instant now);
        void clampTokens(Instant at);
        void dropExpired(Instant now);
        /// Measured demand in millionths of a request per second.
        std::int64_t demandRate(Instant now) const;
        /// Rate that covers the measured demand and its variation.
        std::int64_t wantedRate(Instant now) const;
        /// Tokens kept for the own demand, not lent.
        std::int64_t reserve(Instant now) const;
        /// The instance that borrowed the most.
        std::optional<Incarnation> largestBorrower(Instant now) const;
        bool hasSurplusWithout(const Allotment &amount, Instant now) const;
    };
    /// What a lender can grant in reply to one request.
    struct Offer
    {
        Allotment amount;
        std::int64_t tokens = 0;
    };

    Resource *find(const ResourceId &resource, Instant now);
    std::vector<ShareOutgoing> startRound(Resource &resource, std::int64_t waiting, Instant now);
    LoanRequest createRequest(Resource &resource, Incarnation lender, Instant now);
    LoanReply replyTo(Resource &resource, const LoanRequest &request, Instant now);
    Offer offerFor(const Resource &resource, const LoanRequest &request, Instant now) const;
    void lendTokens(Resource &resource, const LoanRequest &request, LoanReply &reply, Instant now);
    void lendOwn(Resource &resource, const Offer &offer, LoanReply &reply, Instant now);
    void transferBorrowed(Resource &resource, const Offer &offer, LoanReply &reply, Instant now);
    void renew(Resource &resource, const LoanRequest &request, LoanReply &reply, Instant now);
    void applyRenewal(Resource &resource, const LoanId &old, const LoanReply &reply, Borrowed loan);
    void renewLoans(Resource &resource, Instant now, std::vector<ShareOutgoing> &out);
    void returnLoans(Resource &resource, Instant now, std::vector<ShareOutgoing> &out);

    Incarnation self_;
    FailureDomainId domain_;
    std::map<ResourceId, Resource> resources_;
    std::vector<DomainOwners> owners_;
    std::set<Incarnation> suspects_;
    CellSet cells_;
    Instant usableUntil_ {};
    std::uint64_t lastSequence_ = 0;
};

/// Identifies a slot in use. An incarnation never reuses a value.
using SlotLease = Strong<struct SlotLeaseTag, std::uint64_t>;

/// State of one concurrency limit, for metrics and tests.
struct SlotUsage
{
    int own = 0; ///< From owned cells, before loans.
    int lent = 0;
    int borrowed = 0;
    int inFlightOwn = 0; ///< Requests in own slots.
    int inFlightBorrowed = 0;
};

/// Slots of all concurrency limits of one instance.
///
/// The caller must abort requests at their deadline.
class SlotShares
{
public:
    SlotShares(Incarnation self, FailureDomainId domain);

    /// Replaces all definitions; kinds other than Concurrency are ignored. Requests in flight
    /// continue.
    void define(const std::vector<ResourceDefinition> &definitions, Instant now,
        RaiseRule rule = RaiseRule::Delayed);
    void setCells(const CellSet &cells, Instant usableUntil, Instant now);
    void setOwners(std::vector<DomainOwners> domains);
    void setSuspects(std::set<Incarnation> suspects) { suspects_ = std::move(suspects); }

    bool has(const ResourceId &resource) const { return resources_.contains(resource); }
    /// Takes a slot until \a requestDeadline, at most maxRequestDuration from \a now. Uses a
    /// borrowed slot only if its loan ends after the request.
    std::optional<SlotLease> acquire(
        const ResourceId &resource, Instant requestDeadline, Instant now);
    void release(SlotLease lease, Instant now);
    /// Number of slots that acquire() could give now to requests of maxRequestDuration.
    int freeSlots(const ResourceId &resource, Instant now);

    std::vector<ShareOutgoing> requestLoans(const ResourceId &resource, int waiting, Instant now);
    LoanReply onLoanRequest(const LoanRequest &request, Instant now);
    bool onLoanReply(const LoanReply &reply, Instant now);
    void onLoanReturn(const LoanReturn &loan, Instant now);
    /// Returns unused loans. Call every 50 to 250 ms.
    std::vector<ShareOutgoing> tick(Instant now);

    bool fitsWithin(const CellSet &cells, Instant now);
    SlotUsage usage(const ResourceId &resource, Instant now);

private:
    struct Lent
    {
        int slots = 0;
        Instant deadline;
    };
    struct Borrowed
    {
        Incarnation lender;
        int slots = 0;
        int inFlight = 0;
        Instant deadline;
        Instant lastUsedAt;
    };
    struct Pending
    {
        Incarnation lender;
        Instant sentAt;
    };
    struct CachedReply
    {
        LoanReply reply;
        Instant expiresAt;
    };
    struct Resource
    {
        ResourceId id;
        DefinitionHistory definitions;
        Instant usableUntil {};
        int inFlight = 0; ///< Requests in own slots.
        std::map<LoanId, Lent> lent;
        std::map<LoanId, Borrowed> borrowed;
        std::map<LoanId, Pending> pending;
        std::map<LoanId, CachedReply> cachedReplies;
        DemandEstimate demand { std::chrono::milliseconds(500) };
        LenderSelector lenders;

        int own(Instant at) const;
        int lentSlots() const;
        int freeOwn(Instant at) const;
        void dropExpired(Instant now);
    };
    struct Lease
    {
        ResourceId resource;
        std::optional<LoanId> loan; ///< Empty for an own slot.
    };

    Resource *find(const ResourceId &resource, Instant now);
    void grant(Resource &resource, const LoanRequest &request, LoanReply &reply, Instant now);

    Incarnation self_;
    FailureDomainId domain_;
    std::map<ResourceId, Resource> resources_;
    std::map<SlotLease, Lease> leases_;
    std::vector<DomainOwners> owners_;
    std::set<Incarnation> suspects_;
    CellSet cells_;
    Instant usableUntil_ {};
    std::uint64_t lastSequence_ = 0;
    std::uint64_t lastLease_ = 0;
};

/// What one instance holds of the shared limits: its cells, and the rates and slots that follow
/// from them.
class InstanceShares
{
public:
    InstanceShares(FailureDomainId domain, Incarnation self, Instant now);

    void define(const std::vector<ResourceDefinition> &definitions, Instant now,
        RaiseRule rule = RaiseRule::Delayed);
    /// Applies the own domain's ledger, whose read started at \a readStartedAt.
    void applyLedger(const LedgerSnapshot &snapshot, Instant readStartedAt, Instant now);
    /// Sets the ledgers of other domains, nearest first. The own domain comes before them.
    void setOtherOwners(std::vector<DomainOwners> domains);
    void setSuspects(const std::set<Incarnation> &suspects);
    void leave(Instant now);
    bool hasLeft() const { return owner_.hasLeft(); }

    /// Handles a message from \a from and returns the replies. Ignores CellReleased, which the
    /// Keeper handles.
    std::vector<ShareOutgoing> onMessage(
        Incarnation from, const ShareMessage &message, Instant now);
    /// Call every 50 to 250 ms.
    std::vector<ShareOutgoing> tick(Instant now, std::optional<Incarnation> keeper);

    RateShares &rates() { return rates_; }
    SlotShares &slots() { return slots_; }
    const OwnerState &owner() const { return owner_; }

private:
    void updateCells(Instant now);
    void updateOwners();
    std::vector<ShareOutgoing> reportCells(Instant now, std::optional<Incarnation> keeper);

    FailureDomainId domain_;
    Incarnation self_;
    OwnerState owner_;
    RateShares rates_;
    SlotShares slots_;
    std::vector<DomainOwners> others_;
};

} // namespace endivequay

#endif
