#include "proptest.h"

#include "endivequay/lookuptable.h"

#include <map>
#include <thread>
#include <utility>
#include <vector>

using namespace endivequay;

namespace {

ClientBlock blockOf(Ipv4 address, int length)
{
    const Ipv4 mask = length == 0 ? 0 : ~Ipv4 { 0 } << (32 - length);
    return { address & mask, static_cast<std::uint8_t>(length) };
}

/// Random address with few distinct octets, so that random blocks are often nested.
Ipv4 clusteredAddress()
{
    Ipv4 address = 0;
    for (int octet = 0; octet < 4; ++octet)
        address = address << 8 | *rc::gen::element<Ipv4>(0, 1, 127, 128, 254, 255);
    return address;
}

std::vector<BlockChange> randomChanges()
{
    std::vector<BlockChange> changes;
    const int count = *rc::gen::inRange(0, 40);
    for (int i = 0; i < count; ++i) {
        BlockChange change { blockOf(clusteredAddress(), *rc::gen::inRange(0, 33)), std::nullopt };
        if (*rc::gen::inRange(0, 4) > 0)
            change.site = *rc::gen::inRange<SiteIndex>(0, 270);
        changes.push_back(change);
    }
    return changes;
}

using Reference = std::map<std::pair<int, Ipv4>, SiteIndex>;

void applyTo(Reference &reference, const std::vector<BlockChange> &changes)
{
    for (const BlockChange &change : changes) {
        const std::pair key(-change.block.length, change.block.prefix);
        if (change.site)
            reference[key] = *change.site;
        else
            reference.erase(key);
    }
}

std::optional<BlockMatch> findIn(const Reference &reference, Ipv4 address)
{
    for (const auto &[key, site] : reference) {
        const ClientBlock block { key.second, static_cast<std::uint8_t>(-key.first) };
        if (block.contains(address))
            return BlockMatch { block, site };
    }
    return std::nullopt;
}

} // namespace

TEST_GROUP(LookupTable) {};

// Guards against a wrong match after any sequence of deltas, and against a delta that modifies a
// version that readers still hold.
TEST(LookupTable, AgreesWithLinearSearchAfterDeltas)
{
    CHECK_PROPERTY("trie equals linear search", [] {
        LookupTable table;
        Reference reference;
        for (int round = 0; round < 4; ++round) {
            const auto changes = randomChanges();
            const LookupTable before = table;
            const Reference referenceBefore = reference;
            auto applied = table.apply(changes);
            RC_ASSERT(applied.hasValue());
            table = *applied;
            applyTo(reference, changes);
            RC_ASSERT(table.blockCount() == reference.size());
            for (int i = 0; i < 30; ++i) {
                const Ipv4 address = clusteredAddress();
                RC_ASSERT(table.find(address) == findIn(reference, address));
                RC_ASSERT(before.find(address) == findIn(referenceBefore, address));
            }
        }
    });
}

// Guards against a malformed or IPv6 block that is parsed as an IPv4 block.
TEST(LookupTable, RefusesMalformedAndIpv6Blocks)
{
    STRCMP_CONTAINS("IPv6", parseIpv4("2001:db8::1").lastReason().reason.c_str());
    STRCMP_CONTAINS("IPv6", parseClientBlock("2001:db8::/32").lastReason().reason.c_str());
    for (const char *text :
        { "", "1.2.3", "1.2.3.4.5", "1.2.3.256", "1.2.3.04", "1.2.3.4 ", "-1.2.3.4" })
        CHECK_FALSE(parseIpv4(text).hasValue());
    for (const char *text : { "1.2.3.4", "1.2.3.4/33", "1.2.3.4/8", "1.2.3.0/", "1.2.3.0/24x" })
        CHECK_FALSE(parseClientBlock(text).hasValue());
    STRCMP_EQUAL("10.1.0.0/16", toString(*parseClientBlock("10.1.0.0/16")).c_str());

    const std::vector<BlockChange> changes { { { 0x0a000001, 8 }, SiteIndex { 1 } } };
    CHECK_FALSE(LookupTable().apply(changes).hasValue());
}

// Guards against a reader that sees a partially applied delta or is blocked by one.
TEST(LookupTable, ReadersSeeWholeVersions)
{
    SharedLookupTable shared;
    const auto version = [](SiteIndex site) {
        return std::vector<BlockChange> { { { 0x0a000000, 24 }, site },
            { { 0x14000000, 8 }, site } };
    };
    shared.store(*LookupTable().apply(version(0)));
    std::thread writer([&] {
        for (SiteIndex site = 1; site < 500; ++site)
            shared.store(*shared.load()->apply(version(site)));
    });
    bool isWhole = true;
    for (int i = 0; i < 5'000; ++i) {
        const auto table = shared.load();
        isWhole = isWhole && table->find(0x0a000001)->site == table->find(0x14000001)->site;
    }
    writer.join();
    CHECK(isWhole);
}
