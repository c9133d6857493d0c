#include "cbor.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace endivequay::detail {

namespace {

/// The deepest message has four levels.
constexpr std::size_t maxNesting = 16;

// RFC 8949, section 3.
constexpr unsigned typeShift = 5;
constexpr unsigned infoMask = 0x1f;
constexpr unsigned firstExtendedInfo = 24; ///< From here on 1, 2, 4 or 8 bytes follow.
constexpr unsigned lastExtendedInfo = 27;
constexpr unsigned byteString = 2;
constexpr unsigned textString = 3;
constexpr unsigned array = 4;
constexpr unsigned map = 5;
constexpr unsigned tag = 6;

struct Head
{
    unsigned type = 0;
    std::uint64_t argument = 0;
};

std::optional<Head> takeHead(std::string_view &bytes)
{
    if (bytes.empty())
        return std::nullopt;
    const auto first = static_cast<unsigned char>(bytes.front());
    bytes.remove_prefix(1);
    const unsigned info = first & infoMask;
    Head head { static_cast<unsigned>(first) >> typeShift, info };
    if (info < firstExtendedInfo)
        return head;
    const std::size_t size = std::size_t { 1 } << (info - firstExtendedInfo);
    if (info > lastExtendedInfo || bytes.size() < size)
        return std::nullopt;
    head.argument = 0;
    for (const char byte : bytes.substr(0, size))
        head.argument = head.argument << 8 | static_cast<unsigned char>(byte);
    bytes.remove_prefix(size);
    return head;
}

/// Whether \a bytes are one item of definite length that nests at most maxNesting levels deep.
bool nestsWithinLimit(std::string_view bytes)
{
    std::vector<std::uint64_t> open { 1 }; // Items that are still expected on each level.
    while (!open.empty()) {
        if (open.back() == 0) {
            open.pop_back();
            continue;
        }
        const auto head = takeHead(bytes);
        if (!head)
            return false;
        open.back() -= head->type == tag ? 0 : 1;
        if (head->type == byteString || head->type == textString) {
            if (head->argument > bytes.size())
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(head->argument));
        } else if (head->type == array || head->type == map) {
            const std::uint64_t itemsPerEntry = head->type == map ? 2 : 1;
            if (open.size() > maxNesting || head->argument > bytes.size())
                return false;
            open.push_back(head->argument * itemsPerEntry);
        }
    }
    return true;
}

} // namespace

nlohmann::json parseCbor(std::string_view bytes)
{
    if (!nestsWithinLimit(bytes))
        throw nlohmann::json::other_error::create(
            501, "the message is incomplete or nests too deeply", nullptr);
    return nlohmann::json::from_cbor(bytes);
}

} // namespace endivequay::detail
