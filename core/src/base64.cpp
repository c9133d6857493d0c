#include "endivequay/base64.h"

#include <array>
#include <cstdint>

namespace endivequay::detail {

namespace {

constexpr std::string_view alphabet
    = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::uint8_t invalid = 0xff;

constexpr std::array<std::uint8_t, 256> digitValues = [] {
    std::array<std::uint8_t, 256> values {};
    values.fill(invalid);
    for (std::size_t i = 0; i < alphabet.size(); ++i)
        values[static_cast<unsigned char>(alphabet[i])] = static_cast<std::uint8_t>(i);
    return values;
}();

std::uint32_t byteAt(std::string_view bytes, std::size_t i)
{
    return i < bytes.size() ? static_cast<unsigned char>(bytes[i]) : 0;
}

} // namespace

std::string toBase64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::uint32_t group
            = byteAt(bytes, i) << 16 | byteAt(bytes, i + 1) << 8 | byteAt(bytes, i + 2);
        text += alphabet[group >> 18];
        text += alphabet[group >> 12 & 63];
        text += i + 1 < bytes.size() ? alphabet[group >> 6 & 63] : '=';
        text += i + 2 < bytes.size() ? alphabet[group & 63] : '=';
    }
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
    std::string bytes;
    bytes.reserve(text.size() / 4 * 3);
    std::uint32_t group = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool padded = i + padding >= text.size();
        const std::uint8_t digit = padded ? 0 : digitValues[static_cast<unsigned char>(text[i])];
        if (digit == invalid)
            return std::nullopt;
        group = group << 6 | digit;
        if (i % 4 != 3)
            continue;
        bytes += static_cast<char>(group >> 16 & 0xff);
        bytes += static_cast<char>(group >> 8 & 0xff);
        bytes += static_cast<char>(group & 0xff);
    }
    bytes.resize(bytes.size() - padding);
    return bytes;
}

} // namespace endivequay::detail
