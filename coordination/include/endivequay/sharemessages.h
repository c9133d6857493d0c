#ifndef ENDIVEQUAY_SHAREMESSAGES_H
#define ENDIVEQUAY_SHAREMESSAGES_H

#include "endivequay/clock.h"
#include "endivequay/types.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace endivequay {

/// Part of a rate limit: refill rate and bucket size, in millionths of a request.
///
/// Integers, so that the parts of a limit add up to it exactly.
struct Allotment
{
    std::int64_t rate = 0; ///< Millionths of a request per second.
    std::int64_t burst = 0; ///< Millionths of a request.

    bool operator==(const Allotment &) const = default;
    Allotment &operator+=(const Allotment &other);
    Allotment &operator-=(const Allotment &other);
};

Allotment operator+(Allotment a, const Allotment &b);
/// Difference of each member, at least 0.
Allotment reducedBy(Allotment a, const Allotment &b);
/// Lower of each member.
Allotment lowerOf(const Allotment &a, const Allotment &b);

/// Keeper to owner: give up \a cells, which the ledger of revision \a ledger assigns to the owner.
struct CellRelease
{
    FailureDomainId domain;
    Incarnation keeper;
    Revision ledger;
    std::vector<int> cells;
};

/// Owner to keeper: \a cells are not in use and stay so until the ledger's revision is above
/// \a ledger. Repeated until then.
struct CellReleased
{
    FailureDomainId domain;
    Incarnation owner;
    Revision ledger;
    std::vector<int> cells;
};

/// Unique per loan request: sequence numbers are never reused by an incarnation.
struct LoanId
{
    Incarnation borrower;
    std::uint64_t sequence = 0;

    auto operator<=>(const LoanId &) const = default;
};

/// Borrower to lender. Repeating it is harmless: the same id gets the same answer.
struct LoanRequest
{
    LoanId id;
    ResourceId resource;
    std::uint64_t definition = 0; ///< Digest of the borrower's definition of the resource.
    Allotment amount; ///< Rate wanted; when renewing, what the borrower still holds.
    std::int64_t tokens = 0; ///< Millionths of a request wanted now.
    int slots = 0; ///< Wanted slots of a counted resource.
    std::optional<LoanId> renews; ///< Loan to extend instead of granting a new one.
};

/// Lender to borrower. All amounts are 0 if the lender has nothing to spare.
struct LoanReply
{
    LoanId id;
    ResourceId resource;
    Incarnation lender;
    std::uint64_t definition = 0; ///< Digest of the lender's definition of the resource.
    Allotment amount;
    std::int64_t tokens = 0; ///< At most amount.burst.
    int slots = 0;
    Interval term {}; ///< The borrower holds the loan until the send time of its request + term.
    std::optional<Incarnation> holder; ///< Who else may have some: the lender's largest borrower.
};

/// Borrower to lender: ends a loan early. Sent once per loan.
struct LoanReturn
{
    LoanId id;
    ResourceId resource;
    Allotment amount; ///< What the borrower still held of the loan.
    std::int64_t tokens = 0; ///< Unused tokens, at most amount.burst.
    int slots = 0;
};

using ShareMessage = std::variant<CellRelease, CellReleased, LoanRequest, LoanReply, LoanReturn>;

/// A message to be sent to the instance \a to.
struct ShareOutgoing
{
    Incarnation to;
    ShareMessage message;
};

} // namespace endivequay

#endif
