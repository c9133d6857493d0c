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

/// Index of a site in the list of sites; at most maxSites sites exist.
using SiteIndex = std::uint16_t;

inline constexpr SiteIndex maxSites = 0xffff;

/// An IPv4 address in host byte order.
using Ipv4 = std::uint32_t;

/// Parses "a.b.c.d". An IPv6 address is refused with a reason that says so.
Result<Ipv4> parseIpv4(std::string_view text);

/// A set of IPv4 addresses with a common prefix.
struct ClientBlock
{
    Ipv4 prefix = 0; ///< Bits after the first \a length are 0.
    std::uint8_t length = 0; ///< Length of the prefix in bits, 0 to 32.

    bool contains(Ipv4 address) const;
    bool operator==(const ClientBlock &) const = default;
};

/// Parses "a.b.c.d/length". Set bits after the prefix and IPv6 blocks are refused.
Result<ClientBlock> parseClientBlock(std::string_view text);

/// "a.b.c.d/length".
std::string toString(const ClientBlock &block);

/// One step of a delta: sets the site of a block, or removes the block.
struct BlockChange
{
    ClientBlock block;
    std::optional<SiteIndex> site; ///< No value: remove the block.
};

/// The longest block that contains an address.
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
/// The table is an immutable trie of 8 + 8 bits whose leaves hold sorted disjoint ranges, so that
/// long prefixes cost a few bytes each. A copy shares the trie. An applied delta copies only the
/// touched leaves and the path to them.
class LookupTable
{
public:
    LookupTable();

    /// The table with \a changes applied in order. Fails, without effect, on a block with set bits
    /// after its prefix or a length above 32. Removing a missing block has no effect.
    Result<LookupTable> apply(std::span<const BlockChange> changes) const;

    std::optional<BlockMatch> find(Ipv4 address) const;

    std::size_t blockCount() const;
    /// Bytes of memory held by the trie.
    std::size_t memoryBytes() const;

private:
    explicit LookupTable(std::shared_ptr<const detail::LookupRoot> root);

    std::shared_ptr<const detail::LookupRoot> root_;
};

/// The table in force, shared by threads. Readers are never stopped by a delta: they keep the
/// version that they loaded. Writers must be serialized by the caller.
///
/// A mutex covers the copy of the pointer only: ThreadSanitizer reports a data race between load
/// and store in std::atomic<std::shared_ptr> of libstdc++ 12.
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
