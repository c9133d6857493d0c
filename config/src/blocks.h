#ifndef ENDIVEQUAY_CONFIG_BLOCKS_H
#define ENDIVEQUAY_CONFIG_BLOCKS_H

#include "faults.h"

#include "endivequay/configuration.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivequay::detail {

/// A network without its site.
struct Cidr
{
    std::uint32_t network = 0;
    std::uint8_t prefixLength = 0;
};

/// Reads "a.b.c.d/n" in its one canonical spelling.
Result<Cidr> parseCidr(std::string_view text);

std::string toText(Cidr cidr);

/// Reads the four numbers of an IPv4 address in their canonical spelling from the front of \a text
/// and removes them.
std::optional<std::uint32_t> takeIpv4(std::string_view &text);

/// Sorts client blocks into groups by first octet.
class BlockCollector
{
public:
    /// Sites must come in ascending order.
    void add(const SiteId &site, Cidr cidr);

    /// Records blocks that were added twice as faults below \a path.
    ClientBlockGroups finish(const std::string &path, Faults &faults);

private:
    std::vector<SiteId> sites_;
    std::map<std::uint8_t, std::vector<ClientBlockEntry>>
        blocks_; ///< Sites are indexes into sites_.
};

/// Records what is wrong with a group that did not come from a BlockCollector.
void checkGroup(const ClientBlockGroup &group, const std::string &path, Faults &faults);

} // namespace endivequay::detail

#endif
