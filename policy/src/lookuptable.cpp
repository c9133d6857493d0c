#include "endivequay/lookuptable.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include <fmt/format.h>

namespace endivequay {

namespace {

/// Prefix length from which a block is stored in a leaf.
constexpr std::uint8_t leafPrefixBits = 16;
/// Overhead per allocation: allocator metadata and the control block of a shared_ptr.
constexpr std::size_t allocationOverheadBytes = 32;

constexpr Ipv4 maskOf(std::uint8_t length)
{
    return length == 0 ? 0 : ~Ipv4 { 0 } << (32 - length);
}

} // namespace

namespace detail {

/// A site and the prefix length of its block.
struct Entry
{
    static constexpr std::uint8_t noBlock = 0xff; ///< Length that marks the absence of a block.

    SiteIndex site = 0;
    std::uint8_t length = noBlock;

    bool operator==(const Entry &) const = default;
};

/// Addresses of a leaf from \a start up to the start of the next range.
struct AddressRange
{
    std::uint16_t start = 0;
    Entry entry;
};

/// A block of at least 16 bits; \a low holds the low 16 bits of its prefix.
struct LeafBlock
{
    std::uint16_t low = 0;
    Entry entry;

    auto key() const { return std::tuple(low, entry.length); }
    std::uint32_t end() const { return low + (std::uint32_t { 1 } << (32 - entry.length)); }
};

/// All blocks that share the first 16 bits.
struct Leaf
{
    std::vector<LeafBlock> blocks; ///< Ascending by prefix, then length.
    std::vector<AddressRange> ranges; ///< Ascending; the first starts at 0.

    explicit Leaf(std::vector<LeafBlock> sortedBlocks)
        : blocks(std::move(sortedBlocks))
    {
        std::vector<LeafBlock> open;
        const auto closeUntil = [&](std::uint32_t position) {
            while (!open.empty() && open.back().end() <= position) {
                const std::uint32_t end = open.back().end();
                open.pop_back();
                if (end <= 0xffff)
                    addRange(end, open.empty() ? Entry {} : open.back().entry);
            }
        };
        addRange(0, {});
        for (const LeafBlock &block : blocks) {
            closeUntil(block.low);
            addRange(block.low, block.entry);
            open.push_back(block);
        }
        closeUntil(0x10000);
        blocks.shrink_to_fit();
        ranges.shrink_to_fit();
    }

    Entry find(std::uint16_t low) const
    {
        const auto next = std::ranges::upper_bound(ranges, low, {}, &AddressRange::start);
        return std::prev(next)->entry;
    }

    std::size_t memoryBytes() const
    {
        return sizeof(Leaf) + blocks.capacity() * sizeof(LeafBlock)
            + ranges.capacity() * sizeof(AddressRange) + 3 * allocationOverheadBytes;
    }

private:
    void addRange(std::uint32_t start, Entry entry)
    {
        if (!ranges.empty() && ranges.back().start == start)
            ranges.pop_back();
        if (ranges.empty() || ranges.back().entry != entry)
            ranges.push_back({ static_cast<std::uint16_t>(start), entry });
    }
};

/// Leaves that share the first octet. The fallbacks are the most specific blocks shorter than 16
/// bits, for addresses that no block of a leaf contains.
struct OctetNode
{
    std::array<std::shared_ptr<const Leaf>, 256> leaves;
    std::array<Entry, 256> fallbacks;
};

/// Blocks of less than 16 bits, by length and prefix.
using ShortBlocks = std::map<std::pair<std::uint8_t, Ipv4>, SiteIndex>;

struct LookupRoot
{
    std::array<std::shared_ptr<const OctetNode>, 256> octets;
    ShortBlocks shortBlocks; ///< In ascending order of length: later ones are more specific.
    std::size_t blockCount = 0;
};

} // namespace detail

namespace {

using detail::Entry;
using detail::Leaf;
using detail::LeafBlock;
using detail::LookupRoot;
using detail::OctetNode;

std::vector<LeafBlock> changedBlocks(
    const Leaf *leaf, const std::vector<const BlockChange *> &changes)
{
    std::map<std::tuple<std::uint16_t, std::uint8_t>, SiteIndex> blocks;
    if (leaf != nullptr) {
        for (const LeafBlock &block : leaf->blocks)
            blocks.emplace_hint(blocks.end(), block.key(), block.entry.site);
    }
    for (const BlockChange *change : changes) {
        const std::tuple key(
            static_cast<std::uint16_t>(change->block.prefix), change->block.length);
        if (change->site)
            blocks[key] = *change->site;
        else
            blocks.erase(key);
    }
    std::vector<LeafBlock> sorted;
    sorted.reserve(blocks.size());
    for (const auto &[key, site] : blocks)
        sorted.push_back({ std::get<0>(key), { site, std::get<1>(key) } });
    return sorted;
}

void fillFallbacks(OctetNode &octet, std::uint32_t first, const detail::ShortBlocks &blocks)
{
    octet.fallbacks.fill({});
    for (const auto &[key, site] : blocks) {
        const auto &[length, prefix] = key;
        for (std::uint32_t second = 0; second < 256; ++second) {
            if (((first << 24 | second << 16) & maskOf(length)) == prefix)
                octet.fallbacks[second] = { site, length };
        }
    }
}

/// Builds a changed trie: copies the nodes on the changed paths and modifies the copies until
/// finish() returns them as immutable.
class TrieEditor
{
public:
    explicit TrieEditor(const LookupRoot &root)
        : root_(std::make_shared<LookupRoot>(root))
    { }

    void changeShortBlock(const BlockChange &change)
    {
        const std::pair key(change.block.length, change.block.prefix);
        if (change.site)
            root_->shortBlocks[key] = *change.site;
        else
            root_->shortBlocks.erase(key);
        const std::uint32_t first = change.block.prefix >> 24;
        const std::uint32_t count
            = change.block.length >= 8 ? 1 : std::uint32_t { 1 } << (8 - change.block.length);
        for (std::uint32_t octet = first; octet < first + count; ++octet)
            staleFallbacks_.insert(octet);
    }

    void changeLeaf(std::uint32_t index, const std::vector<const BlockChange *> &changes)
    {
        auto &slot = octet(index >> 8).leaves[index & 0xff];
        auto blocks = changedBlocks(slot.get(), changes);
        root_->blockCount += blocks.size() - (slot ? slot->blocks.size() : 0);
        slot = blocks.empty() ? nullptr : std::make_shared<const Leaf>(std::move(blocks));
    }

    std::shared_ptr<const LookupRoot> finish(std::size_t shortBlocksBefore)
    {
        root_->blockCount += root_->shortBlocks.size() - shortBlocksBefore;
        for (std::uint32_t first : staleFallbacks_)
            fillFallbacks(octet(first), first, root_->shortBlocks);
        for (auto &[first, octet] : copies_)
            root_->octets[first] = octet;
        return root_;
    }

private:
    OctetNode &octet(std::uint32_t first)
    {
        auto &copy = copies_[first];
        if (!copy) {
            const auto &existing = root_->octets[first];
            copy
                = existing ? std::make_shared<OctetNode>(*existing) : std::make_shared<OctetNode>();
        }
        return *copy;
    }

    std::shared_ptr<LookupRoot> root_;
    std::map<std::uint32_t, std::shared_ptr<OctetNode>> copies_;
    std::set<std::uint32_t> staleFallbacks_; ///< First octets of nodes to fill again.
};

Status checkBlock(const ClientBlock &block)
{
    if (block.length > 32)
        return Error { "lookup.apply", fmt::format("{}", block.length),
            "the prefix length of the block is above 32" };
    if ((block.prefix & ~maskOf(block.length)) != 0)
        return Error { "lookup.apply", toString(block), "the block has host bits set" };
    return Done {};
}

template <class Number>
bool parseNumber(std::string_view &text, Number &number)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const auto digits = static_cast<std::size_t>(end - text.data());
    if (error != std::errc {} || (digits > 1 && text.front() == '0'))
        return false;
    text.remove_prefix(digits);
    return true;
}

} // namespace

Result<Ipv4> parseIpv4(std::string_view text)
{
    if (text.find(':') != std::string_view::npos)
        return Error { "lookup.address", std::string(text), "IPv6 addresses are not supported" };
    Ipv4 address = 0;
    std::string_view rest = text;
    for (int octet = 0; octet < 4; ++octet) {
        std::uint8_t number = 0;
        const bool separated = octet == 0 || rest.starts_with('.');
        if (octet > 0 && separated)
            rest.remove_prefix(1);
        if (!separated || !parseNumber(rest, number))
            return Error { "lookup.address", std::string(text), "not an IPv4 address" };
        address = address << 8 | number;
    }
    if (!rest.empty())
        return Error { "lookup.address", std::string(text), "not an IPv4 address" };
    return address;
}

bool ClientBlock::contains(Ipv4 address) const
{
    return (address & maskOf(length)) == prefix;
}

Result<ClientBlock> parseClientBlock(std::string_view text)
{
    const auto slash = text.find('/');
    const auto prefix = parseIpv4(text.substr(0, slash));
    if (!prefix)
        return Error { "lookup.block", std::string(text), prefix.lastReason().reason };
    std::string_view rest = slash == std::string_view::npos ? "" : text.substr(slash + 1);
    std::uint8_t length = 0;
    if (!parseNumber(rest, length) || !rest.empty())
        return Error { "lookup.block", std::string(text),
            "the block has no prefix length of 0 to 32 after a '/'" };
    const ClientBlock block { *prefix, length };
    if (const Status status = checkBlock(block); !status)
        return Error { "lookup.block", std::string(text), status.lastReason().reason };
    return block;
}

std::string toString(const ClientBlock &block)
{
    return fmt::format("{}.{}.{}.{}/{}", block.prefix >> 24, block.prefix >> 16 & 0xff,
        block.prefix >> 8 & 0xff, block.prefix & 0xff, block.length);
}

LookupTable::LookupTable()
    : root_(std::make_shared<const LookupRoot>())
{ }

LookupTable::LookupTable(std::shared_ptr<const LookupRoot> root)
    : root_(std::move(root))
{ }

Result<LookupTable> LookupTable::apply(std::span<const BlockChange> changes) const
{
    TrieEditor editor(*root_);
    std::map<std::uint32_t, std::vector<const BlockChange *>> byLeaf;
    for (const BlockChange &change : changes) {
        if (const Status status = checkBlock(change.block); !status)
            return status.lastReason();
        if (change.block.length < leafPrefixBits)
            editor.changeShortBlock(change);
        else
            byLeaf[change.block.prefix >> leafPrefixBits].push_back(&change);
    }
    for (const auto &[index, leafChanges] : byLeaf)
        editor.changeLeaf(index, leafChanges);
    return LookupTable(editor.finish(root_->shortBlocks.size()));
}

std::optional<BlockMatch> LookupTable::find(Ipv4 address) const
{
    const OctetNode *octet = root_->octets[address >> 24].get();
    if (octet == nullptr)
        return std::nullopt;
    const std::uint32_t second = address >> leafPrefixBits & 0xff;
    Entry entry;
    if (const Leaf *leaf = octet->leaves[second].get())
        entry = leaf->find(static_cast<std::uint16_t>(address));
    if (entry.length == Entry::noBlock)
        entry = octet->fallbacks[second];
    if (entry.length == Entry::noBlock)
        return std::nullopt;
    return BlockMatch { { address & maskOf(entry.length), entry.length }, entry.site };
}

std::size_t LookupTable::blockCount() const
{
    return root_->blockCount;
}

std::size_t LookupTable::memoryBytes() const
{
    constexpr std::size_t mapNodeBytes = 48 + allocationOverheadBytes;
    std::size_t bytes = sizeof(LookupRoot) + root_->shortBlocks.size() * mapNodeBytes;
    for (const auto &octet : root_->octets) {
        if (!octet)
            continue;
        bytes += sizeof(OctetNode) + allocationOverheadBytes;
        for (const auto &leaf : octet->leaves)
            bytes += leaf ? leaf->memoryBytes() : 0;
    }
    return bytes;
}

SharedLookupTable::SharedLookupTable()
    : table_(std::make_shared<const LookupTable>())
{ }

std::shared_ptr<const LookupTable> SharedLookupTable::load() const
{
    const std::scoped_lock lock(mutex_);
    return table_;
}

void SharedLookupTable::store(LookupTable table)
{
    auto next = std::make_shared<const LookupTable>(std::move(table));
    // Declared before the lock, so that the old version, whose destruction can take milliseconds,
    // is freed after unlocking.
    const std::scoped_lock lock(mutex_);
    table_.swap(next);
}

} // namespace endivequay
