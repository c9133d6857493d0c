#ifndef ENDIVEQUAY_CODEC_H
#define ENDIVEQUAY_CODEC_H

#include "endivequay/messages.h"
#include "endivequay/result.h"

#include <string>
#include <string_view>

namespace endivequay {

/// Maximum size of an encoded message. The largest document of the store (1 MB) fits into one
/// message.
inline constexpr std::size_t maxMessageBytes = 1'500'000;

/// Encodes \a message as one CBOR map (RFC 8949). "k" is the message type, the other keys are short
/// field names.
std::string encode(const Message &message);

/// Decodes the message in \a bytes. Errors name the message type and the field.
///
/// Rejects input over maxMessageBytes, unknown message types, unknown, missing or repeated fields,
/// wrong value types, values out of range, nesting deeper than any message has, and trailing bytes.
Result<Message> decode(std::string_view bytes) noexcept;

} // namespace endivequay

#endif
