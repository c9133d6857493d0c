#ifndef ENDIVEQUAY_BOUNDEDJSON_H
#define ENDIVEQUAY_BOUNDEDJSON_H

#include "endivequay/result.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <string_view>

namespace endivequay::detail {

/// Maximum length of the reason of a parser error, in bytes: the parser quotes the text.
inline constexpr std::size_t maxParserReasonBytes = 200;

/// Parses JSON of another writer. Fails if \a text is not JSON or nests deeper than \a maxNesting
/// levels, which bounds the memory that a text of nested arrays takes.
inline Result<nlohmann::json> parseBoundedJson(std::string_view text, int maxNesting)
{
    bool tooDeep = false;
    const auto keep = [&](int depth, nlohmann::json::parse_event_t, nlohmann::json &) {
        tooDeep = tooDeep || depth > maxNesting;
        return !tooDeep;
    };
    try {
        nlohmann::json json = nlohmann::json::parse(text, keep);
        if (tooDeep)
            return Error { "json.parse", {}, "nests too deeply" };
        return json;
    } catch (const nlohmann::json::exception &error) {
        return Error { "json.parse", {},
            std::string(error.what()).substr(0, maxParserReasonBytes) };
    }
}

} // namespace endivequay::detail

#endif
