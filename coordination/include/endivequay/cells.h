#ifndef ENDIVEQUAY_CELLS_H
#define ENDIVEQUAY_CELLS_H

#include "endivequay/result.h"
#include "endivequay/types.h"

#include <array>
#include <bitset>
#include <map>
#include <string>
#include <string_view>

namespace endivequay {

/// Number of cells in a failure domain. A cell is the smallest part of the domain's limits that has
/// its own owner. 120 divides evenly among up to 6 instances and among 8 or 10.
inline constexpr int cellsPerDomain = 120;

/// A set of cells of one failure domain, by cell number.
using CellSet = std::bitset<cellsPerDomain>;

/// The cell that holds piece number \a piece when \a resource is divided into \a pieces pieces per
/// domain. The same in every domain.
int cellOfPiece(const ResourceId &resource, int piece, int pieces);

/// An instance that owns cells.
struct CellOwner
{
    Address address; ///< Bound by this incarnation; a newer incarnation at the same
                     ///< address proves that this one has terminated.
    bool listed = false; ///< The platform's list has contained the address while it owned cells.

    bool operator==(const CellOwner &) const = default;
};

/// The owner of each cell of a failure domain, stored under the key
/// /endivequay/v1/ledger/<domain>.
class CellLedger
{
public:
    explicit CellLedger(FailureDomainId domain = {})
        : domain_(std::move(domain))
    { }

    const FailureDomainId &domain() const { return domain_; }
    /// Owner of \a cell; 0 if the cell is free.
    Incarnation ownerOf(int cell) const { return owners_[static_cast<std::size_t>(cell)]; }
    CellSet cellsOf(Incarnation owner) const;
    /// Owners of at least one cell.
    const std::map<Incarnation, CellOwner> &owners() const { return ownerInfo_; }

    /// Assigns \a cells to \a owner and removes owners that have no cells left.
    void assign(const CellSet &cells, Incarnation owner, const CellOwner &details);
    void setListed(Incarnation owner, bool listed);

    /// {"domain":"d",
    ///  "owners":[{"incarnation":"<16 hex digits>","address":"ip:port","listed":true}],
    ///  "cells":[120 numbers: index into owners, or -1 for a free cell]}
    std::string toJson() const;
    /// Parses the format of toJson(). Fails with step "ledger.parse" if a member is missing, has
    /// the wrong type or is out of range.
    static Result<CellLedger> fromJson(std::string_view text);

    bool operator==(const CellLedger &) const = default;

private:
    FailureDomainId domain_;
    std::array<Incarnation, cellsPerDomain> owners_ {};
    std::map<Incarnation, CellOwner> ownerInfo_;
};

/// A ledger as read from the store. Revision 0 means that the key does not exist.
struct LedgerSnapshot
{
    Revision revision;
    CellLedger ledger;
};

/// Compare-and-swap write: succeeds only if the key's mod revision is still \a basedOn (0: the key
/// does not exist).
struct LedgerWrite
{
    Revision basedOn;
    CellLedger ledger;
};

} // namespace endivequay

#endif
