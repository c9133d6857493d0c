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

/// Part of a token bucket limit: refill rate and bucket size.
///
/// Integers in millionths of a request, so that the parts of a limit add up to it exactly.
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
Allotment saturatingSubtract(Allotment a, const Allotment &b);
/// Minimum of each member.
Allotment memberwiseMin(const Allotment &a, const Allotment &b);

/// Request from the keeper to an owner to release \a cells, which the ledger of revision \a ledger
/// assigns to the owner.
struct CellRelease
{
    FailureDomainId domain;
    Incarnation keeper;
    Revision ledger;
    std::vector<int> cells;
};

/// Report from an owner to the keeper: \a cells are not in use and will not be used until the
/// ledger's revision is above \a ledger. Sent repeatedly until then.
struct CellReleased
{
    FailureDomainId domain;
    Incarnation owner;
    Revision ledger;
    std::vector<int> cells;
};

/// Identifies a loan request. An incarnation never reuses a sequence number.
struct LoanId
{
    Incarnation borrower;
    std::uint64_t sequence = 0;

    auto operator<=>(const LoanId &) const = default;
};

/// Request from a borrower to a lender. Idempotent: the same id gets the same reply.
struct LoanRequest
{
    LoanId id;
    ResourceId resource;
    std::uint64_t definition = 0; ///< Digest of the borrower's definition of the resource.
    Allotment amount; ///< Rate and burst wanted for rateLoanTerm; zero if only tokens are wanted.
                      ///< When renewing, what the borrower still holds.
    std::int64_t tokens = 0; ///< Tokens wanted now, in millionths of a request.
    int slots = 0; ///< Slots wanted of a concurrency limit.
    std::optional<LoanId> renews; ///< Loan to extend instead of granting a new one.
};

/// The original loan when a borrower transfers a part of what it borrowed.
struct LoanOrigin
{
    Incarnation lender; ///< Renewals and returns go there.
    LoanId id;
};

/// Reply from a lender to a borrower. All amounts are 0 if the lender has nothing to spare.
struct LoanReply
{
    LoanId id;
    ResourceId resource;
    Incarnation lender;
    std::uint64_t definition = 0; ///< Digest of the lender's definition of the resource.
    Allotment amount;
    std::int64_t tokens = 0; ///< At most amount.burst.
    int slots = 0;
    Interval term {}; ///< The loan ends this long after the borrower sent its request.
    std::optional<LoanOrigin> origin; ///< Set if the sender transfers a part of what it borrowed.
    std::optional<Incarnation> holder; ///< Next instance to ask: the lender's largest borrower.
};

/// Message from a borrower to the original lender that ends a loan, or a transferred part, early.
struct LoanReturn
{
    LoanId id;
    LoanId message; ///< Unique per return, so that duplicates have no effect.
    ResourceId resource;
    Allotment amount; ///< What the borrower held of the loan.
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
