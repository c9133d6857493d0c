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

/// Cells of one failure domain. 120 divides evenly for up to 6 instances and for 8 and 10.
inline constexpr int cellsPerDomain = 120;

/// A set of cells of one failure domain, by cell number.
using CellSet = std::bitset<cellsPerDomain>;

/// Cell of piece \a piece of \a pieces that \a resource has in every domain.
int cellOfPiece(const ResourceId &resource, int piece, int pieces);

/// An instance that owns cells.
struct CellOwner
{
    Address address; ///< Bound by the incarnation; a newer one at it proves that this one ended.
    bool listed = false; ///< The platform's list has shown the address since it owns cells.

    bool operator==(const CellOwner &) const = default;
};

/// Value of the key /endivequay/v1/ledger/<domain>: the owner of each cell of a failure domain.
class CellLedger
{
public:
    explicit CellLedger(FailureDomainId domain = {})
        : domain_(std::move(domain))
    { }

    const FailureDomainId &domain() const { return domain_; }
    /// Owner of \a cell, value 0 if the cell is free.
    Incarnation ownerOf(int cell) const { return owners_[static_cast<std::size_t>(cell)]; }
    CellSet cellsOf(Incarnation owner) const;
    /// Owners of at least one cell.
    const std::map<Incarnation, CellOwner> &owners() const { return details_; }

    /// Gives \a cells to \a owner; owners without cells are dropped.
    void assign(const CellSet &cells, Incarnation owner, const CellOwner &details);
    void setListed(Incarnation owner, bool listed);

    /// {"domain":"d","owners":[{"incarnation":"<16 hex
    /// digits>","address":"ip:port","listed":true}], "cells":[index into owners, or -1 for a free
    /// cell; 120 numbers]}
    std::string toJson() const;
    /// Parses toJson()'s form. Fails with step "ledger.parse" if a member is missing, has the wrong
    /// type or is out of range.
    static Result<CellLedger> fromJson(std::string_view text);

    bool operator==(const CellLedger &) const = default;

private:
    FailureDomainId domain_;
    std::array<Incarnation, cellsPerDomain> owners_ {};
    std::map<Incarnation, CellOwner> details_;
};

/// A ledger as read from the store. Revision 0: the key does not exist.
struct LedgerSnapshot
{
    Revision revision;
    CellLedger ledger;
};

/// Compare-and-swap write: takes effect only while the key's mod revision is \a basedOn (0: the key
/// does not exist).
struct LedgerWrite
{
    Revision basedOn;
    CellLedger ledger;
};

} // namespace endivequay

#endif
