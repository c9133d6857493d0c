#ifndef ENDIVEQUAY_CODEC_H
#define ENDIVEQUAY_CODEC_H

#include "endivequay/messages.h"
#include "endivequay/result.h"

#include <string>
#include <string_view>

namespace endivequay {

/// Largest encoded message in bytes. The store's largest document (1 MB) fits into one message.
inline constexpr std::size_t maxMessageBytes = 1'500'000;

/// \a message as one CBOR map (RFC 8949): "k" is the kind, the other keys are short field names.
std::string encode(const Message &message);

/// The message in \a bytes. Errors name the kind and field; nothing is thrown.
///
/// Rejected are input over maxMessageBytes, unknown kinds, unknown, missing or repeated fields,
/// wrong types, values out of range, nesting deeper than messages have, and trailing bytes.
Result<Message> decode(std::string_view bytes) noexcept;

} // namespace endivequay

#endif
