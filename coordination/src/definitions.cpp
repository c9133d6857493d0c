#include "endivequay/shares.h"

#include "endivequay/digest.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cmath>

namespace endivequay {

namespace {

// Wide enough for the product of an amount and a number of pieces.
__extension__ using WideInt = __int128;

std::int64_t toMillionths(double amount)
{
    return static_cast<std::int64_t>(std::floor(amount * 1e6));
}

/// Part number \a index of \a total divided into \a parts, which add up to \a total exactly.
std::int64_t partOf(std::int64_t total, std::int64_t index, std::int64_t parts)
{
    const auto upTo = [&](std::int64_t end) { return WideInt { total } * end / parts; };
    return static_cast<std::int64_t>(upTo(index + 1) - upTo(index));
}

std::vector<FailureDomainId> sortedUnique(std::vector<FailureDomainId> domains)
{
    std::ranges::sort(domains);
    domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
    return domains;
}

/// Numbers of the pieces of \a definition that lie in \a cells.
std::vector<int> piecesOf(const ResourceDefinition &definition, const CellSet &cells)
{
    std::vector<int> pieces;
    for (int piece = 0; piece < definition.piecesPerDomain; ++piece) {
        const int cell = cellOfPiece(definition.id, piece, definition.piecesPerDomain);
        if (cells[static_cast<std::size_t>(cell)])
            pieces.push_back(piece);
    }
    return pieces;
}

} // namespace

ResourceDefinition ResourceDefinition::team(
    ResourceId id, RequestRate rate, RequestCount burst, std::vector<FailureDomainId> domains)
{
    ResourceDefinition definition;
    definition.id = std::move(id);
    definition.domains = sortedUnique(std::move(domains));
    const double perPiece = 4 * std::max(1.0, static_cast<double>(definition.domains.size()));
    definition.piecesPerDomain
        = static_cast<int>(std::clamp(burst.value() / perPiece, 1.0, double { cellsPerDomain }));
    definition.total = { toMillionths(rate.value()), toMillionths(burst.value()) };
    return definition;
}

ResourceDefinition ResourceDefinition::rate(
    ResourceId id, RequestRate rate, Interval window, std::vector<FailureDomainId> domains)
{
    return team(
        std::move(id), rate, RequestCount(rate.value() * toSeconds(window)), std::move(domains));
}

ResourceDefinition ResourceDefinition::slots(ResourceId id, SlotCount slots, FailureDomainId domain)
{
    ResourceDefinition definition;
    definition.id = std::move(id);
    definition.kind = ResourceKind::Concurrency;
    definition.domains = { std::move(domain) };
    definition.piecesPerDomain = std::max(0, slots.value());
    return definition;
}

CellSet ResourceDefinition::cells() const
{
    CellSet cells;
    for (int piece = 0; piece < piecesPerDomain; ++piece)
        cells.set(static_cast<std::size_t>(cellOfPiece(id, piece, piecesPerDomain)));
    return cells;
}

Allotment ResourceDefinition::pieceAllotment(std::size_t domainIndex, int piece) const
{
    const auto index = static_cast<std::int64_t>(domainIndex) * piecesPerDomain + piece;
    const auto parts = static_cast<std::int64_t>(domains.size()) * piecesPerDomain;
    return { partOf(total.rate, index, parts), partOf(total.burst, index, parts) };
}

Allotment ResourceDefinition::allotmentOf(const FailureDomainId &domain, const CellSet &cells) const
{
    const auto found = std::ranges::lower_bound(domains, domain);
    Allotment sum;
    if (found == domains.end() || *found != domain)
        return sum;
    const auto domainIndex = static_cast<std::size_t>(found - domains.begin());
    for (const int piece : piecesOf(*this, cells))
        sum += pieceAllotment(domainIndex, piece);
    return sum;
}

int ResourceDefinition::piecesIn(const FailureDomainId &domain, const CellSet &cells) const
{
    if (!std::ranges::binary_search(domains, domain))
        return 0;
    return static_cast<int>(piecesOf(*this, cells).size());
}

std::uint64_t ResourceDefinition::digest() const
{
    std::vector<std::string> names;
    std::ranges::transform(domains, std::back_inserter(names), &FailureDomainId::value);
    return hash64(fmt::format("{} {} {} {} {} {}", id.value(), static_cast<int>(kind),
        piecesPerDomain, total.rate, total.burst, fmt::join(names, " ")));
}

bool DefinitionHistory::adopt(const std::optional<ResourceDefinition> &definition, Instant now,
    Interval delay, RaiseRule rule)
{
    const bool changed = current() != definition;
    if (!changed && rule != RaiseRule::AfterGap)
        return false;
    if (rule == RaiseRule::Immediate)
        entries_.clear();
    else
        entries_.back().effectiveUntil = now + delay;
    if (rule == RaiseRule::AfterGap)
        entries_.push_back({ {}, 0, {}, 0, now + delay });
    Entry &entry = entries_.emplace_back();
    entry.definition = definition;
    entry.digest = definition ? definition->digest() : 0;
    updateShare(entry);
    return true;
}

void DefinitionHistory::updateShare(Entry &entry) const
{
    entry.allotment
        = entry.definition ? entry.definition->allotmentOf(domain_, cells_) : Allotment();
    entry.pieces = entry.definition ? entry.definition->piecesIn(domain_, cells_) : 0;
}

void DefinitionHistory::setCells(const FailureDomainId &domain, const CellSet &cells)
{
    domain_ = domain;
    cells_ = cells;
    std::ranges::for_each(entries_, [&](Entry &entry) { updateShare(entry); });
}

void DefinitionHistory::expire(Instant now)
{
    std::erase_if(entries_, [&](const Entry &entry) { return entry.effectiveUntil <= now; });
}

Allotment DefinitionHistory::allotmentAt(Instant at) const
{
    Allotment lowest = entries_.back().allotment;
    for (const Entry &entry : entries_) {
        if (entry.effectiveUntil > at)
            lowest = memberwiseMin(lowest, entry.allotment);
    }
    return lowest;
}

int DefinitionHistory::piecesAt(Instant at) const
{
    int lowest = entries_.back().pieces;
    for (const Entry &entry : entries_) {
        if (entry.effectiveUntil > at)
            lowest = std::min(lowest, entry.pieces);
    }
    return lowest;
}

Instant DefinitionHistory::nextLimitChange(Instant at) const
{
    Instant next = Instant::max();
    for (const Entry &entry : entries_) {
        if (entry.effectiveUntil > at)
            next = std::min(next, entry.effectiveUntil);
    }
    return next;
}

std::pair<Allotment, int> DefinitionHistory::lowestFor(const CellSet &cells, Instant at) const
{
    DefinitionHistory other = *this;
    other.setCells(domain_, cells);
    return { other.allotmentAt(at), other.piecesAt(at) };
}

} // namespace endivequay
