#include "endivequay/cells.h"

#include "endivequay/digest.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace endivequay {

namespace {

using nlohmann::json;

std::optional<Incarnation> parseIncarnation(const std::string &hex)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(hex.data(), hex.data() + hex.size(), number, 16);
    const bool complete = error == std::errc() && end == hex.data() + hex.size();
    if (hex.size() != 16 || !complete || number == 0)
        return std::nullopt;
    return Incarnation(number);
}

bool isOwner(const json &owner)
{
    return owner.is_object() && owner.contains("incarnation") && owner["incarnation"].is_string()
        && owner.contains("address") && owner["address"].is_string() && owner.contains("listed")
        && owner["listed"].is_boolean();
}

/// Describes what is malformed in \a document; empty if it is a valid ledger.
std::string findFormatError(const json &document)
{
    if (!document.is_object())
        return "the ledger is not a JSON object";
    if (!document.contains("domain") || !document["domain"].is_string())
        return "member domain is not a string";
    if (!document.contains("owners") || !document["owners"].is_array()
        || !std::ranges::all_of(document["owners"], isOwner))
        return "member owners is not an array of {incarnation, address, listed}";
    if (!document.contains("cells") || !document["cells"].is_array()
        || document["cells"].size() != cellsPerDomain)
        return fmt::format("member cells is not an array of {} numbers", cellsPerDomain);
    const auto ownerCount = static_cast<std::int64_t>(document["owners"].size());
    const auto isIndex = [&](const json &cell) {
        return cell.is_number_integer() && cell.get<std::int64_t>() >= -1
            && cell.get<std::int64_t>() < ownerCount;
    };
    if (!std::ranges::all_of(document["cells"], isIndex))
        return "a cell does not refer to an owner";
    return {};
}

} // namespace

int cellOfPiece(const ResourceId &resource, int piece, int pieces)
{
    const auto offset = static_cast<int>(hash64(resource.value()) % cellsPerDomain);
    const std::int64_t step = std::int64_t { piece } * cellsPerDomain / pieces;
    return static_cast<int>((offset + step) % cellsPerDomain);
}

CellSet CellLedger::cellsOf(Incarnation owner) const
{
    CellSet cells;
    for (std::size_t cell = 0; cell < owners_.size(); ++cell)
        cells[cell] = owners_[cell] == owner;
    return cells;
}

void CellLedger::assign(const CellSet &cells, Incarnation owner, const CellOwner &details)
{
    for (std::size_t cell = 0; cell < owners_.size(); ++cell) {
        if (cells[cell])
            owners_[cell] = owner;
    }
    ownerInfo_[owner] = details;
    std::erase_if(ownerInfo_, [&](const auto &entry) {
        return entry.first == Incarnation() || cellsOf(entry.first).none();
    });
}

void CellLedger::setListed(Incarnation owner, bool listed)
{
    if (const auto found = ownerInfo_.find(owner); found != ownerInfo_.end())
        found->second.listed = listed;
}

std::string CellLedger::toJson() const
{
    json owners = json::array();
    std::map<Incarnation, int> index { { Incarnation(), -1 } };
    for (const auto &[incarnation, details] : ownerInfo_) {
        index.emplace(incarnation, static_cast<int>(owners.size()));
        owners.push_back({ { "incarnation", fmt::format("{:016x}", incarnation.value()) },
            { "address", details.address.value() }, { "listed", details.listed } });
    }
    json cells = json::array();
    std::ranges::transform(
        owners_, std::back_inserter(cells), [&](Incarnation owner) { return index.at(owner); });
    return json { { "domain", domain_.value() }, { "owners", owners }, { "cells", cells } }.dump();
}

Result<CellLedger> CellLedger::fromJson(std::string_view text)
{
    const json document = json::parse(text, nullptr, false);
    if (const std::string reason = findFormatError(document); !reason.empty())
        return Error { "ledger.parse", "", reason };

    CellLedger ledger { FailureDomainId(document["domain"].get<std::string>()) };
    const json &owners = document["owners"];
    std::vector<CellSet> cells(owners.size());
    for (std::size_t cell = 0; cell < cellsPerDomain; ++cell) {
        if (const int owner = document["cells"][cell].get<int>(); owner >= 0)
            cells[static_cast<std::size_t>(owner)].set(cell);
    }
    for (std::size_t i = 0; i < owners.size(); ++i) {
        const auto incarnation = parseIncarnation(owners[i]["incarnation"].get<std::string>());
        if (!incarnation || ledger.ownerInfo_.contains(*incarnation))
            return Error { "ledger.parse", "", "an owner's incarnation is malformed or repeated" };
        ledger.assign(cells[i], *incarnation,
            { Address(owners[i]["address"].get<std::string>()), owners[i]["listed"].get<bool>() });
    }
    return ledger;
}

} // namespace endivequay
