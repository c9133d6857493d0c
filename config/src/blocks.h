#ifndef ENDIVEQUAY_CONFIG_BLOCKS_H
#define ENDIVEQUAY_CONFIG_BLOCKS_H

#include "validationerrors.h"

#include "endivequay/configuration.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivequay::detail {

/// An IPv4 network in CIDR notation.
struct Cidr
{
    std::uint32_t network = 0;
    std::uint8_t prefixLength = 0;
};

/// Parses "a.b.c.d/n". Accepts only the canonical spelling.
Result<Cidr> parseCidr(std::string_view text);

std::string toText(Cidr cidr);

/// Parses an IPv4 address in canonical dotted decimal at the start of \a text and removes it from
/// \a text.
std::optional<std::uint32_t> consumeIpv4(std::string_view &text);

/// Groups client blocks by the first octet of their network.
class ClientBlockGroupBuilder
{
public:
    /// Must be called with the sites in ascending order.
    void add(const SiteId &site, Cidr cidr);

    /// Records blocks that were added twice as errors under \a path.
    ClientBlockGroups build(const std::string &path, ValidationErrors &errors);

private:
    std::vector<SiteId> sites_;
    std::map<std::uint8_t, std::vector<ClientBlockEntry>>
        blocksByOctet_; ///< ClientBlockEntry::site indexes sites_.
};

/// Validates the order and content of \a group. Callers of Configuration::fromParts() may pass
/// groups that were not made by a ClientBlockGroupBuilder.
void checkGroup(const ClientBlockGroup &group, const std::string &path, ValidationErrors &errors);

} // namespace endivequay::detail

#endif
