#ifndef ENDIVEQUAY_CONFIG_OBJECTREADER_H
#define ENDIVEQUAY_CONFIG_OBJECTREADER_H

#include "fields.h"
#include "validationerrors.h"

#include "endivequay/clock.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivequay::detail {

/// Parses JSON and records syntax errors, duplicate keys and excessive nesting as errors. Returns
/// null if the text is not valid JSON.
nlohmann::json parseStrict(
    std::string_view text, const std::string &path, ValidationErrors &errors);

/// Reads the fields of one JSON object and records wrong types and missing or unknown fields.
///
/// Validates only types; checkParts() validates ranges and references.
class ObjectReader
{
public:
    ObjectReader(const nlohmann::json &value, std::string path, const ObjectFields &fields,
        ValidationErrors &errors);

    std::string path(std::string_view name) const;
    bool has(std::string_view name) const { return find(name) != nullptr; }

    /// These return \a fallback (or a zero value) if the field is missing, and record an error if
    /// its type is wrong.
    std::string text(std::string_view name, std::string fallback = {}) const;
    double number(std::string_view name, double fallback = 0) const;
    int integer(std::string_view name) const;
    Interval interval(std::string_view name, Interval unit, Interval fallback = {}) const;
    std::pair<std::string, std::string> stringPair(std::string_view name) const;

    template <class Enum>
    Enum enumValue(std::string_view name, std::span<const std::pair<std::string_view, Enum>> names,
        Enum fallback) const
    {
        if (!has(name))
            return fallback;
        const std::string found = text(name);
        std::string allowed;
        for (const auto &[candidate, value] : names) {
            if (candidate == found)
                return value;
            allowed += (allowed.empty() ? "" : ", ") + std::string(candidate);
        }
        errors_.add(path(name), "must be one of: " + allowed);
        return fallback;
    }

    /// Calls \a read(element, path) for each element of an array.
    template <class Read>
    void forEachElement(std::string_view name, Read read) const
    {
        const nlohmann::json *list = find(name, nlohmann::json::value_t::array);
        for (std::size_t i = 0; list != nullptr && i < list->size(); ++i)
            read((*list)[i], path(name) + "[" + std::to_string(i) + "]");
    }

    /// Calls \a read(key, value, path) for each member of an object.
    template <class Read>
    void forEachMember(std::string_view name, Read read) const
    {
        if (const auto *object = find(name, nlohmann::json::value_t::object)) {
            for (const auto &[key, value] : object->items())
                read(key, value, path(name) + "." + key);
        }
    }

    const nlohmann::json *find(std::string_view name) const;

private:
    const nlohmann::json *find(std::string_view name, nlohmann::json::value_t type) const;

    const nlohmann::json &value_;
    std::string path_;
    ValidationErrors &errors_;
};

} // namespace endivequay::detail

#endif
