#include "edits.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace endivequay::cli {

namespace {

using nlohmann::json;

// Longer values, such as lists of client blocks, are truncated so that a line stays readable.
constexpr std::size_t maximumValueLength = 120; // bytes

Error editError(const std::string &peer, const std::string &reason)
{
    return { "config.edit", peer, reason };
}

/// Applies \a edit, which may fail, to the document \a name. Fails with \a missing if there is no
/// such document; returns an empty change if \a edit changes nothing.
template <class Edit>
Result<DocumentChange> editDocument(
    const Documents &documents, const std::string &name, const std::string &missing, Edit edit)
{
    const auto document = documents.find(name);
    if (document == documents.end())
        return editError(name, missing);
    json value = json::parse(document->second, nullptr, false);
    if (!value.is_object())
        return editError(name, "the stored document is not a JSON object");
    if (const Status edited = edit(value); !edited)
        return edited.lastReason();
    const std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    return text == document->second ? DocumentChange {} : DocumentChange { { { name, text } }, {} };
}

json *findById(json &list, const std::string &id)
{
    if (!list.is_array())
        return nullptr;
    const auto found = std::ranges::find_if(
        list, [&](const json &item) { return item.is_object() && item.value("id", json()) == id; });
    return found == list.end() ? nullptr : &*found;
}

std::string shorten(const json &value)
{
    std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > maximumValueLength)
        text = text.substr(0, maximumValueLength) + "...";
    return text;
}

json parseOrNull(const std::string &text)
{
    json value = json::parse(text, nullptr, false);
    return value.is_discarded() ? json() : value;
}

void describeFields(const std::string &name, const std::string &from, const std::string &to,
    std::vector<std::string> &lines)
{
    const json old = parseOrNull(from);
    for (const json &step : json::diff(old, parseOrNull(to))) {
        const auto path = step["path"].get<std::string>();
        const json::json_pointer pointer(path);
        const std::string before = step["op"] == "add"
            ? "(none)"
            : shorten(old.contains(pointer) ? old[pointer] : json());
        const std::string after = step["op"] == "remove" ? "(none)" : shorten(step["value"]);
        lines.push_back(fmt::format("~ {} {}: {} -> {}", name, path, before, after));
    }
}

} // namespace

Result<DocumentChange> addKey(const Documents &documents, const TeamId &team, const TeamKey &key)
{
    return editDocument(
        documents, "teams/" + team.value(), "the team does not exist", [&](json &value) -> Status {
            value["keys"].push_back({ { "id", key.id }, { "sha256", key.sha256 } });
            std::sort(value["keys"].begin(), value["keys"].end(),
                [](const json &a, const json &b) { return a["id"] < b["id"]; });
            return Done {};
        });
}

Result<DocumentChange> withdrawKey(
    const Documents &documents, const TeamId &team, const std::string &keyId)
{
    const std::string name = "teams/" + team.value();
    return editDocument(documents, name, "the team does not exist", [&](json &value) -> Status {
        json *key = findById(value["keys"], keyId);
        if (key == nullptr)
            return editError(name, "the team has no key \"" + keyId + "\"");
        value["keys"].erase(static_cast<std::size_t>(key - &value["keys"][0]));
        return Done {};
    });
}

Result<DocumentChange> setUpstreamState(
    const Documents &documents, const UpstreamId &upstream, UpstreamState state)
{
    for (const auto &[name, text] : documents) {
        json value = name.starts_with("upstreams/") ? parseOrNull(text) : json();
        if (!value.is_object() || findById(value["upstreams"], upstream.value()) == nullptr)
            continue;
        return editDocument(documents, name, "", [&](json &document) -> Status {
            json &entry = *findById(document["upstreams"], upstream.value());
            entry["state"] = state == UpstreamState::Active ? "active" : "draining";
            return Done {};
        });
    }
    return editError(upstream.value(), "the upstream does not exist");
}

Result<DocumentChange> setPlannedShift(
    const Documents &documents, const ServiceId &service, const PlannedShift &shift)
{
    return editDocument(documents, "services/" + service.value(), "the service does not exist",
        [&](json &value) -> Status {
            value["planned_shift"] = { { "from", shift.from.value() }, { "to", shift.to.value() },
                { "fraction", shift.fraction } };
            return Done {};
        });
}

std::vector<std::string> describeChange(const Documents &from, const DocumentChange &change)
{
    std::vector<std::string> lines;
    for (const auto &[name, text] : change.puts) {
        const auto old = from.find(name);
        if (old == from.end())
            lines.push_back("+ " + name);
        else
            describeFields(name, old->second, text, lines);
    }
    for (const std::string &name : change.deletes)
        lines.push_back("- " + name);
    return lines;
}

} // namespace endivequay::cli
