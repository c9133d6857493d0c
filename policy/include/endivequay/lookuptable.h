#ifndef ENDIVEQUAY_LOOKUPTABLE_H
#define ENDIVEQUAY_LOOKUPTABLE_H

#include "endivequay/result.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace endivequay {

/// Index of a site in the list of sites.
using SiteIndex = std::uint16_t;

/// Maximum number of sites.
inline constexpr SiteIndex maxSites = 0xffff;

/// An IPv4 address in host byte order.
using Ipv4 = std::uint32_t;

/// Parses "a.b.c.d". Fails on an IPv6 address with a reason of its own.
Result<Ipv4> parseIpv4(std::string_view text);

/// A CIDR block of client addresses.
struct ClientBlock
{
    Ipv4 prefix = 0; ///< Network address: all bits after the first \a length are 0.
    std::uint8_t length = 0; ///< Length of the prefix in bits, 0 to 32.

    bool contains(Ipv4 address) const;
    bool operator==(const ClientBlock &) const = default;
};

/// Parses "a.b.c.d/length". Fails on set host bits and on IPv6 blocks.
Result<ClientBlock> parseClientBlock(std::string_view text);

/// Formats a block as "a.b.c.d/length".
std::string toString(const ClientBlock &block);

/// One change of a delta: sets the site of a block, or removes the block.
struct BlockChange
{
    ClientBlock block;
    std::optional<SiteIndex> site; ///< No value: remove the block.
};

/// The most specific block that contains an address, and its site.
struct BlockMatch
{
    ClientBlock block;
    SiteIndex site = 0;

    bool operator==(const BlockMatch &) const = default;
};

namespace detail {
struct LookupRoot;
}

/// Longest-prefix match from an IPv4 address to a site.
///
/// An immutable trie with two levels of 8 bits. Its leaves hold sorted disjoint address ranges, so
/// that a long prefix takes only a few bytes. Copies share the trie. Applying a delta copies only
/// the changed leaves and the path to them (copy on write).
class LookupTable
{
public:
    LookupTable();

    /// Returns a table with \a changes applied in order. Fails on a block with set host bits or a
    /// length above 32. Removing a missing block has no effect.
    Result<LookupTable> apply(std::span<const BlockChange> changes) const;

    std::optional<BlockMatch> find(Ipv4 address) const;

    std::size_t blockCount() const;
    /// Estimated memory of the trie in bytes.
    std::size_t memoryBytes() const;

private:
    explicit LookupTable(std::shared_ptr<const detail::LookupRoot> root);

    std::shared_ptr<const detail::LookupRoot> root_;
};

/// The current table, shared by threads. Readers keep the version that they loaded, so applying a
/// delta does not block them. The caller must serialize writers.
///
/// The mutex protects only the copy of the pointer. It replaces std::atomic<std::shared_ptr>, in
/// which ThreadSanitizer reports a data race between load and store (libstdc++ 12).
class SharedLookupTable
{
public:
    SharedLookupTable();

    std::shared_ptr<const LookupTable> load() const;
    void store(LookupTable table);

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const LookupTable> table_;
};

} // namespace endivequay

#endif
