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
inline constexpr Interval slotLoanTerm = std::chrono::seconds(15);
inline constexpr Interval maxRequestTime = std::chrono::seconds(10);
/// After this time every instance has adopted a change or refuses keyed routes (4 s and margin).
inline constexpr Interval rateRaiseDelay = std::chrono::seconds(6);
/// As rateRaiseDelay, and requests admitted under the earlier definition have ended.
inline constexpr Interval slotRaiseDelay = rateRaiseDelay + maxRequestTime;
/// At most one round of loan requests per resource in this time.
inline constexpr Interval loanRoundInterval = std::chrono::milliseconds(50);
/// How long a request without a token waits for a loan before it is refused.
inline constexpr Interval loanWait = std::chrono::milliseconds(100);

/// How much longer than the term a lender counts a loan: clock drift of 0.1 percent and 50 ms.
constexpr Interval lenderMargin(Interval term)
{
    return term / 1000 + std::chrono::milliseconds(50);
}

enum class ResourceKind { Rate, Counted };

/// A limit shared by all instances of some failure domains, divided into pieces.
///
/// Each of the domains has the same number of pieces. The pieces of a rate differ by at most a
/// millionth of a request, so that they add up to the total exactly.
struct ResourceDefinition
{
    ResourceId id;
    ResourceKind kind = ResourceKind::Rate;
    std::vector<FailureDomainId> domains; ///< Sorted, without repetition.
    int piecesPerDomain = 0;
    Allotment total; ///< Over all pieces; zero for a counted resource.

    /// A team's rate and burst: clamp(burst / (4 * domains), 1, 120) pieces in each domain.
    static ResourceDefinition team(
        ResourceId id, RequestRate rate, RequestCount burst, std::vector<FailureDomainId> domains);
    /// Any other rate, such as a region's capacity or a service's shift budget: as a team with a
    /// burst of \a window times the rate.
    static ResourceDefinition rate(
        ResourceId id, RequestRate rate, Interval window, std::vector<FailureDomainId> domains);
    /// Slots or connections of an upstream in \a domain, one piece each.
    static ResourceDefinition slots(ResourceId id, SlotCount slots, FailureDomainId domain);

    /// Cells that contain pieces, the same in every domain.
    CellSet cells() const;
    /// Rate and burst of piece \a piece of the domain with index \a domainIndex.
    Allotment pieceAllotment(std::size_t domainIndex, int piece) const;
    /// Rate and burst of all pieces in \a cells of \a domain.
    Allotment allotmentOf(const FailureDomainId &domain, const CellSet &cells) const;
    /// Pieces in \a cells of \a domain.
    int piecesIn(const FailureDomainId &domain, const CellSet &cells) const;
    /// The same for equal definitions on every machine. Loans are granted only between instances
    /// with the same definition.
    std::uint64_t digest() const;

    bool operator==(const ResourceDefinition &) const = default;
};

/// When a raised limit takes effect.
enum class RaiseRule {
    Delayed, ///< After rateRaiseDelay or slotRaiseDelay; also for a new resource.
    Immediate, ///< At once; only when no older definition can be in use, as in a new deployment.
    AfterGap, ///< Versions in between were missed: nothing of the own allotment until the delay
              ///< ends.
};

/// Definitions in the order of adoption. For a delay after its replacement, an earlier definition
/// still limits the instance: the lowest allotment counts. So at every moment all instances stay
/// within one common definition.
class DefinitionHistory
{
public:
    /// Returns false if the definition is the present one already.
    bool adopt(const std::optional<ResourceDefinition> &definition, Instant now, Interval delay,
        RaiseRule rule);
    void setCells(const FailureDomainId &domain, const CellSet &cells);
    /// Forgets definitions that no longer count.
    void expire(Instant now);

    /// The definition adopted last; empty if the resource was removed.
    const std::optional<ResourceDefinition> &current() const { return entries_.back().definition; }
    std::uint64_t currentDigest() const { return entries_.back().digest; }
    Allotment allotmentAt(Instant at) const;
    int piecesAt(Instant at) const;
    /// Next instant after \a at at which an earlier definition stops counting.
    Instant nextChange(Instant at) const;
    /// True if nothing but a removal is left.
    bool finished() const { return entries_.size() == 1 && !current(); }
    /// The lowest allotment and pieces of \a cells under all definitions that count at \a at.
    std::pair<Allotment, int> lowestOf(const CellSet &cells, Instant at) const;

private:
    struct Entry
    {
        std::optional<ResourceDefinition> definition;
        std::uint64_t digest = 0;
        Allotment allotment;
        int pieces = 0;
        Instant countsUntil = Instant::max();
    };
    void measure(Entry &entry) const;

    FailureDomainId domain_;
    CellSet cells_;
    std::vector<Entry> entries_ { Entry() };
};

/// Rate of events, averaged exponentially.
class DemandEstimate
{
public:
    void add(double count, Instant now);
    /// Events per second.
    double perSecond(Instant now) const;
    /// True after a gap that is long for the past rate.
    bool idle(Instant now) const;

private:
    double value_ = 0;
    Instant updatedAt_ {};
};

/// Owners of the cells of one domain, for choosing lenders.
struct DomainOwners
{
    FailureDomainId domain;
    CellLedger ledger;
};

/// Chooses whom to ask for loans of one resource, and when.
class LenderChoice
{
public:
    /// Takes the owners of cells with pieces of \a definition, in the order of \a domains.
    void setOwners(const ResourceDefinition &definition, const std::vector<DomainOwners> &domains,
        Incarnation self);
    /// Starts a round: up to \a count lenders. First those that another lender named, then those of
    /// the nearest domain, then the others in turn; those that had nothing lately are left out.
    /// Empty if a round is in flight or the last one is too recent.
    std::vector<Incarnation> startRound(
        std::size_t count, Instant now, const std::set<Incarnation> &suspects);
    /// True while answers of the last round are awaited.
    bool roundOpen(Instant now) const { return awaited_ > 0 && now < roundEndsAt_; }
    void onReply(const LoanReply &reply, bool granted, Incarnation self, Instant now);
    std::size_t size() const { return lenders_.size(); }

private:
    std::vector<Incarnation> candidates(Instant now, const std::set<Incarnation> &suspects) const;

    std::vector<Incarnation> lenders_;
    std::size_t nearCount_ = 0; ///< Lenders of the nearest domain, at the front.
    std::size_t cursor_ = 0;
    std::vector<Incarnation> named_;
    std::map<Incarnation, Instant> emptyUntil_;
    std::size_t awaited_ = 0;
    bool fruitful_ = true; ///< The last round brought something or named a holder.
    Interval interval_ = loanRoundInterval;
    Instant nextRoundAt_ {};
    Instant roundEndsAt_ {};
};

/// First attempts count as demand, repeated ones do not.
enum class Attempt { First, Repeated };

/// Account of one rate resource, for metrics and tests. All amounts in millionths of a request.
struct RateAccount
{
    Allotment own; ///< From owned cells, before loans.
    Allotment lent;
    Allotment borrowed;
    Allotment effective;
    std::int64_t tokens = 0;
    double demand = 0; ///< Requests per second.
};

/// Token buckets of all rate resources of one instance.
///
/// Over all instances and messages in flight, the rates add up to at most the resource's rate and
/// the bucket sizes to at most its burst, at every moment. So admissions in any window w are at
/// most burst + rate * w.
class RateShares
{
public:
    RateShares(Incarnation self, FailureDomainId domain);

    /// Replaces all definitions; others than rates are ignored. Call with every version in order.
    void define(const std::vector<ResourceDefinition> &definitions, Instant now,
        RaiseRule rule = RaiseRule::Delayed);
    /// Sets the usable cells of the own domain, unusable from \a usableUntil on.
    void setCells(const CellSet &cells, Instant usableUntil, Instant now);
    /// Known ledgers, nearest domain first, own domain included.
    void setOwners(std::vector<DomainOwners> domains);
    /// Peers that are not asked for loans.
    void setSuspects(std::set<Incarnation> suspects) { suspects_ = std::move(suspects); }

    bool has(const ResourceId &resource) const { return resources_.contains(resource); }
    /// Takes \a count tokens; false if there are too few or the resource is unknown.
    bool tryAcquire(const ResourceId &resource, RequestCount count, Instant now,
        Attempt attempt = Attempt::First);
    /// Earliest instant at which \a count tokens can be there without a loan; Instant::max() if
    /// never.
    Instant waitHint(const ResourceId &resource, RequestCount count, Instant now);

    /// Requests to send when \a waiting requests have no token. Empty if a round is in flight, the
    /// last one is too recent or nobody can be asked.
    std::vector<ShareOutgoing> wantLoan(
        const ResourceId &resource, RequestCount waiting, Instant now);
    LoanReply onLoanRequest(const LoanRequest &request, Instant now);
    /// True if tokens arrived, so that waiting requests should be tried again.
    bool onLoanReply(const LoanReply &reply, Instant now);
    void onLoanReturn(const LoanReturn &loan, Instant now);
    /// Renews, returns and prefetches loans. Call every 50 to 250 ms.
    std::vector<ShareOutgoing> tick(Instant now);

    /// True if everything lent is covered by \a cells alone.
    bool fitsWithin(const CellSet &cells, Instant now);
    RateAccount account(const ResourceId &resource, Instant now);

private:
    struct Lent
    {
        Allotment amount;
        Instant deadline;
        bool returned = false; ///< A return counts once, however often it arrives.
    };
    struct Borrowed
    {
        Incarnation lender;
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
    struct Answer
    {
        LoanReply reply;
        Instant keptUntil;
    };
    struct Resource
    {
        ResourceId id;
        DefinitionHistory definitions;
        Instant usableUntil {};
        std::int64_t tokens = 0;
        std::int64_t remainder = 0; ///< Billionths of a millionth of a token.
        Instant updatedAt {};
        std::map<LoanId, Lent> lent;
        std::map<LoanId, Borrowed> borrowed;
        std::map<LoanId, Pending> pending;
        std::map<LoanId, Answer> answers;
        DemandEstimate demand;
        LenderChoice lenders;
        bool starved = false; ///< The last attempt found too few tokens.

        Allotment own(Instant at) const;
        Allotment lentAt(Instant at) const;
        Allotment borrowedAt(Instant at) const;
        Allotment effective(Instant at) const;
        Instant nextChange(Instant at, Instant limit) const;
        void advance(Instant now);
        void clamp(Instant at);
        void dropExpired(Instant now);
        /// Measured demand in millionths of a request per second.
        std::int64_t demandRate(Instant now) const;
        /// Tokens kept for the own demand.
        std::int64_t reserve(Instant now) const;
        bool surplusWithout(const Allotment &amount, Instant now) const;
    };
    /// What a lender can give in answer to one request.
    struct Offer
    {
        Allotment amount;
        std::int64_t tokens = 0;
    };

    Resource *find(const ResourceId &resource, Instant now);
    std::vector<ShareOutgoing> startRound(Resource &resource, std::int64_t waiting, Instant now);
    LoanRequest requestFor(Resource &resource, Incarnation lender, Instant now);
    LoanReply answer(Resource &resource, const LoanRequest &request, Instant now);
    Offer offerFor(const Resource &resource, const LoanRequest &request, Instant now) const;
    void grantOwn(Resource &resource, const Offer &offer, LoanReply &reply, Instant now);
    void passOn(Resource &resource, const Offer &offer, LoanReply &reply, Instant now);
    void renew(Resource &resource, const LoanRequest &request, LoanReply &reply, Instant now);
    void takeRenewal(Resource &resource, const LoanId &old, const LoanReply &reply, Borrowed loan);
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

/// A slot in use. Never reused by an incarnation.
using SlotLease = Strong<struct SlotLeaseTag, std::uint64_t>;

/// Account of one counted resource, for metrics and tests.
struct SlotAccount
{
    int own = 0; ///< From owned cells, before loans.
    int lent = 0;
    int borrowed = 0;
    int inFlightOwn = 0; ///< Requests in own slots.
    int inFlightBorrowed = 0;
};

/// Concurrent slots of all counted resources of one instance.
///
/// Requests end at their deadline at the latest; the caller aborts them then.
class SlotShares
{
public:
    SlotShares(Incarnation self, FailureDomainId domain);

    /// Replaces all definitions; others than counted ones are ignored. Requests in flight continue.
    void define(const std::vector<ResourceDefinition> &definitions, Instant now,
        RaiseRule rule = RaiseRule::Delayed);
    void setCells(const CellSet &cells, Instant usableUntil, Instant now);
    void setOwners(std::vector<DomainOwners> domains);
    void setSuspects(std::set<Incarnation> suspects) { suspects_ = std::move(suspects); }

    bool has(const ResourceId &resource) const { return resources_.contains(resource); }
    /// A slot until \a requestDeadline, which is at most maxRequestTime away. A borrowed slot is
    /// used if the loan lasts longer than the request.
    std::optional<SlotLease> acquire(
        const ResourceId &resource, Instant requestDeadline, Instant now);
    void release(SlotLease lease, Instant now);
    /// Slots that acquire() could give now to requests of maxRequestTime.
    int freeSlots(const ResourceId &resource, Instant now);

    std::vector<ShareOutgoing> wantLoan(const ResourceId &resource, int waiting, Instant now);
    LoanReply onLoanRequest(const LoanRequest &request, Instant now);
    bool onLoanReply(const LoanReply &reply, Instant now);
    void onLoanReturn(const LoanReturn &loan, Instant now);
    /// Returns unused loans. Call every 50 to 250 ms.
    std::vector<ShareOutgoing> tick(Instant now);

    bool fitsWithin(const CellSet &cells, Instant now);
    SlotAccount account(const ResourceId &resource, Instant now);

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
        Instant usedAt;
    };
    struct Pending
    {
        Incarnation lender;
        Instant sentAt;
    };
    struct Answer
    {
        LoanReply reply;
        Instant keptUntil;
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
        std::map<LoanId, Answer> answers;
        DemandEstimate demand;
        LenderChoice lenders;

        int own(Instant at) const;
        int lentSlots() const;
        int freeOwn(Instant at) const;
        void dropExpired(Instant now);
    };
    struct Lease
    {
        ResourceId resource;
        std::optional<LoanId> loan; ///< Empty: an own slot.
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

/// Everything one instance holds of the shared limits: its cells, rates and slots, kept in step.
class InstanceShares
{
public:
    InstanceShares(FailureDomainId domain, Incarnation self, Instant now);

    void define(const std::vector<ResourceDefinition> &definitions, Instant now,
        RaiseRule rule = RaiseRule::Delayed);
    /// Takes over a read of the own domain's ledger that started at \a readStartedAt.
    void applyLedger(const LedgerSnapshot &snapshot, Instant readStartedAt, Instant now);
    /// Ledgers of other domains, nearest first. The own one is put in front.
    void setOtherOwners(std::vector<DomainOwners> domains);
    void setSuspects(const std::set<Incarnation> &suspects);
    void leave(Instant now);
    bool hasLeft() const { return owner_.hasLeft(); }

    /// Handles a message from \a from and returns the answers. CellReleased is for the Keeper.
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
