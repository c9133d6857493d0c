#include "blocks.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <set>
#include <tuple>

namespace endivequay::detail {

namespace {

/// Parses a decimal number without leading zeros at the start of \a text and removes it.
std::optional<unsigned> consumeNumber(std::string_view &text, unsigned maximum)
{
    unsigned value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const auto length = static_cast<std::size_t>(end - text.data());
    if (error != std::errc() || value > maximum || (length > 1 && text.front() == '0'))
        return std::nullopt;
    text.remove_prefix(length);
    return value;
}

bool consumeCharacter(std::string_view &text, char expected)
{
    if (!text.starts_with(expected))
        return false;
    text.remove_prefix(1);
    return true;
}

std::uint32_t networkMask(unsigned prefixLength)
{
    return prefixLength == 0 ? 0 : ~std::uint32_t(0) << (32 - prefixLength);
}

auto sortKey(const ClientBlockEntry &block)
{
    return std::tuple(block.network, block.prefixLength);
}

} // namespace

std::optional<std::uint32_t> consumeIpv4(std::string_view &text)
{
    std::uint32_t address = 0;
    for (int i = 0; i < 4; ++i) {
        if (i > 0 && !consumeCharacter(text, '.'))
            return std::nullopt;
        const auto number = consumeNumber(text, 255);
        if (!number)
            return std::nullopt;
        address = address << 8 | *number;
    }
    return address;
}

Result<Cidr> parseCidr(std::string_view text)
{
    const Error malformed { "config.check", "", "must be an IPv4 network like \"10.1.0.0/16\"" };
    const auto network = consumeIpv4(text);
    if (!network || !consumeCharacter(text, '/'))
        return malformed;
    const auto length = consumeNumber(text, 32);
    if (!length || !text.empty())
        return malformed;
    const Cidr cidr { *network & networkMask(*length), static_cast<std::uint8_t>(*length) };
    if (cidr.network != *network)
        return Error { "config.check", "",
            "has bits after the prefix, did you mean \"" + toText(cidr) + "\"" };
    return cidr;
}

std::string toText(Cidr cidr)
{
    return fmt::format("{}.{}.{}.{}/{}", cidr.network >> 24, cidr.network >> 16 & 255,
        cidr.network >> 8 & 255, cidr.network & 255, cidr.prefixLength);
}

void ClientBlockGroupBuilder::add(const SiteId &site, Cidr cidr)
{
    if (sites_.empty() || sites_.back() != site)
        sites_.push_back(site);
    blocksByOctet_[static_cast<std::uint8_t>(cidr.network >> 24)].push_back(
        { cidr.network, static_cast<std::uint16_t>(sites_.size() - 1), cidr.prefixLength });
}

ClientBlockGroups ClientBlockGroupBuilder::build(const std::string &path, ValidationErrors &errors)
{
    ClientBlockGroups groups;
    if (sites_.size() > std::numeric_limits<std::uint16_t>::max()) {
        errors.add(path, "has more than 65535 sites");
        return groups;
    }
    for (auto &[octet, blocks] : blocksByOctet_) {
        ClientBlockGroup group { octet, {}, std::move(blocks) };
        std::ranges::sort(group.blocks, {}, sortKey);
        std::set<std::uint16_t> usedSites;
        for (const ClientBlockEntry &block : group.blocks)
            usedSites.insert(block.site);
        for (std::uint16_t site : usedSites)
            group.sites.push_back(sites_[site]);
        for (ClientBlockEntry &block : group.blocks)
            block.site = static_cast<std::uint16_t>(
                std::ranges::lower_bound(group.sites, sites_[block.site]) - group.sites.begin());
        checkGroup(group, path, errors);
        group.blocks.shrink_to_fit();
        groups.emplace(octet, std::make_shared<const ClientBlockGroup>(std::move(group)));
    }
    return groups;
}

void checkGroup(const ClientBlockGroup &group, const std::string &path, ValidationErrors &errors)
{
    if (std::ranges::adjacent_find(group.sites, std::ranges::greater_equal()) != group.sites.end())
        errors.add(path, "has unordered sites");
    for (std::size_t i = 0; i < group.blocks.size(); ++i) {
        const ClientBlockEntry &block = group.blocks[i];
        const SiteId site = block.site < group.sites.size() ? group.sites[block.site] : SiteId();
        const bool valid = !site.value().empty() && block.prefixLength <= 32
            && (block.network & ~networkMask(block.prefixLength)) == 0
            && block.network >> 24 == group.firstOctet;
        if (!valid)
            errors.add(path, "has a block that does not belong to its group");
        if (i == 0 || sortKey(group.blocks[i - 1]) < sortKey(block))
            continue;
        errors.add(fmt::format("{}.{}", path, site.value()),
            fmt::format("{} is listed twice", toText({ block.network, block.prefixLength })));
    }
}

} // namespace endivequay::detail
