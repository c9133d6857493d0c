#include "objectreader.h"

#include <fmt/format.h>

#include <cmath>
#include <limits>
#include <set>

namespace endivequay::detail {

namespace {

using nlohmann::json;

// The format nests six levels. The limit keeps hostile input from using memory per bracket.
constexpr int maximumNestingDepth = 16;

// Larger values would overflow a 64-bit count of nanoseconds.
constexpr double maximumSeconds = 1e9;

/// Removes the exception's "[json.exception...] " prefix.
std::string withoutExceptionId(std::string_view message)
{
    const auto end = message.find("] ");
    return std::string(end == std::string_view::npos ? message : message.substr(end + 2));
}

/// Parser callback that rejects deep nesting and duplicate keys, of which the parser would keep the
/// last one.
class StrictParserCallback
{
public:
    StrictParserCallback(const std::string &path, ValidationErrors &errors)
        : path_(path)
        , errors_(errors)
    { }

    bool operator()(int depth, json::parse_event_t event, json &parsed)
    {
        if (depth > maximumNestingDepth) {
            errors_.add(path_, fmt::format("is nested deeper than {} levels", maximumNestingDepth));
            return false;
        }
        if (event == json::parse_event_t::object_start)
            openObjectKeys_.emplace_back();
        else if (event == json::parse_event_t::object_end && !openObjectKeys_.empty())
            openObjectKeys_.pop_back();
        else if (event == json::parse_event_t::key && !openObjectKeys_.empty())
            recordKey(parsed.get<std::string>());
        return true;
    }

private:
    void recordKey(const std::string &key)
    {
        if (!openObjectKeys_.back().insert(key).second)
            errors_.add(path_, "has the key \"" + key + "\" twice in one object");
    }

    const std::string &path_;
    ValidationErrors &errors_;
    std::vector<std::set<std::string>> openObjectKeys_;
};

std::string_view typeName(json::value_t type)
{
    switch (type) {
    case json::value_t::object:
        return "an object";
    case json::value_t::array:
        return "a list";
    default:
        return "a string";
    }
}

} // namespace

json parseStrict(std::string_view text, const std::string &path, ValidationErrors &errors)
{
    StrictParserCallback callback(path, errors);
    try {
        return json::parse(text, [&callback](int depth, json::parse_event_t event, json &parsed) {
            return callback(depth, event, parsed);
        });
    } catch (const json::exception &error) {
        errors.add(path, "is not valid JSON: " + withoutExceptionId(error.what()));
        return nullptr;
    }
}

ObjectReader::ObjectReader(
    const json &value, std::string path, const ObjectFields &fields, ValidationErrors &errors)
    : value_(value)
    , path_(std::move(path))
    , errors_(errors)
{
    if (!value_.is_object()) {
        errors_.add(path_, "must be an object");
        return;
    }
    for (const auto &[name, member] : value_.items()) {
        if (!fields.contains(name))
            errors_.add(this->path(name), "is not a known field");
    }
    for (std::string_view name : fields.required) {
        if (!has(name))
            errors_.add(this->path(name), "is missing");
    }
}

std::string ObjectReader::path(std::string_view name) const
{
    return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

const json *ObjectReader::find(std::string_view name) const
{
    if (!value_.is_object())
        return nullptr;
    const auto found = value_.find(name);
    return found == value_.end() ? nullptr : &*found;
}

const json *ObjectReader::find(std::string_view name, json::value_t type) const
{
    const json *found = find(name);
    if (found == nullptr || found->type() == type)
        return found;
    errors_.add(path(name), fmt::format("must be {}", typeName(type)));
    return nullptr;
}

std::string ObjectReader::text(std::string_view name, std::string fallback) const
{
    const json *found = find(name, json::value_t::string);
    return found == nullptr ? std::move(fallback) : found->get<std::string>();
}

double ObjectReader::number(std::string_view name, double fallback) const
{
    const json *found = find(name);
    if (found != nullptr && found->is_number())
        return found->get<double>();
    if (found != nullptr)
        errors_.add(path(name), "must be a number");
    return fallback;
}

int ObjectReader::integer(std::string_view name) const
{
    const double value = number(name);
    if (value != std::floor(value))
        errors_.add(path(name), "must be a whole number");
    if (std::abs(value) <= std::numeric_limits<int>::max())
        return static_cast<int>(value);
    errors_.add(path(name), "is too large");
    return 0;
}

Interval ObjectReader::interval(std::string_view name, Interval unit, Interval fallback) const
{
    if (!has(name))
        return fallback;
    const double value = number(name);
    if (std::abs(value) * toSeconds(unit) <= maximumSeconds)
        return Interval(std::llround(value * static_cast<double>(unit.count())));
    errors_.add(path(name), "is too large");
    return fallback;
}

std::pair<std::string, std::string> ObjectReader::stringPair(std::string_view name) const
{
    const json *found = find(name);
    const auto isText = [](const json &element) { return element.is_string(); };
    if (found != nullptr && found->is_array() && found->size() == 2
        && std::ranges::all_of(*found, isText))
        return { (*found)[0].get<std::string>(), (*found)[1].get<std::string>() };
    if (found != nullptr)
        errors_.add(path(name), "must be a list of two ids");
    return {};
}

} // namespace endivequay::detail
