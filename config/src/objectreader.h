#ifndef ENDIVEQUAY_CONFIG_OBJECTREADER_H
#define ENDIVEQUAY_CONFIG_OBJECTREADER_H

#include "faults.h"
#include "fields.h"

#include "endivequay/clock.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivequay::detail {

/// Parses JSON and records syntax errors, repeated keys and nesting deeper than the format has.
/// Returns null after a fault.
nlohmann::json parseStrict(std::string_view text, const std::string &path, Faults &faults);

/// Reads the fields of one JSON object and records wrong types, missing and unknown fields.
///
/// Only types are checked here; Checker knows the ranges and references.
class ObjectReader
{
public:
    ObjectReader(
        const nlohmann::json &value, std::string path, const ObjectFields &fields, Faults &faults);

    std::string path(std::string_view name) const;
    bool has(std::string_view name) const { return find(name) != nullptr; }

    /// These return \a fallback for a missing field and record a fault for a wrong type.
    std::string text(std::string_view name, std::string fallback = {}) const;
    double number(std::string_view name, double fallback = 0) const;
    int integer(std::string_view name) const;
    Interval interval(std::string_view name, Interval unit, Interval fallback = {}) const;
    std::pair<std::string, std::string> pair(std::string_view name) const;

    template <class Enum>
    Enum choice(std::string_view name, std::span<const std::pair<std::string_view, Enum>> choices,
        Enum fallback) const
    {
        if (!has(name))
            return fallback;
        const std::string found = text(name);
        std::string allowed;
        for (const auto &[word, value] : choices) {
            if (word == found)
                return value;
            allowed += (allowed.empty() ? "" : ", ") + std::string(word);
        }
        faults_.add(path(name), "must be one of: " + allowed);
        return fallback;
    }

    /// Calls \a read(element, path) for each element of an array.
    template <class Read>
    void each(std::string_view name, Read read) const
    {
        const nlohmann::json *list = find(name, nlohmann::json::value_t::array);
        for (std::size_t i = 0; list != nullptr && i < list->size(); ++i)
            read((*list)[i], path(name) + "[" + std::to_string(i) + "]");
    }

    /// Calls \a read(key, value, path) for each member of an object.
    template <class Read>
    void members(std::string_view name, Read read) const
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
    Faults &faults_;
};

} // namespace endivequay::detail

#endif
