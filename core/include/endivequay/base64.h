#ifndef ENDIVEQUAY_BASE64_H
#define ENDIVEQUAY_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace endivequay::detail {

/// Encodes \a bytes as base64 with padding (RFC 4648, section 4).
std::string toBase64(std::string_view bytes);

/// Decodes \a text. Returns std::nullopt if it is not base64 with padding.
std::optional<std::string> fromBase64(std::string_view text);

} // namespace endivequay::detail

#endif
