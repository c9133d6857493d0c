#ifndef ENDIVEQUAY_GATEWAY_CBOR_H
#define ENDIVEQUAY_GATEWAY_CBOR_H

#include <nlohmann/json.hpp>

#include <string_view>

namespace endivequay::detail {

/// Parses a message of another instance. Throws nlohmann::json::exception if \a bytes are not CBOR
/// of definite lengths, or if arrays and maps nest deeper than the messages do: the parser of the
/// library recurses, so that a short message of nested arrays would overflow the stack.
nlohmann::json parseCbor(std::string_view bytes);

} // namespace endivequay::detail

#endif
