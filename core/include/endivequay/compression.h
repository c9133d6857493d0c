#ifndef ENDIVEQUAY_COMPRESSION_H
#define ENDIVEQUAY_COMPRESSION_H

#include "endivequay/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace endivequay {

/// Compresses \a bytes to the zlib format (RFC 1950) at the fastest level.
std::string compressed(std::string_view bytes);

/// Decompresses \a bytes. Fails on malformed input and on content of more than \a maxBytes bytes,
/// so that a short message cannot exhaust the memory.
Result<std::string> decompressed(std::string_view bytes, std::size_t maxBytes);

} // namespace endivequay

#endif
