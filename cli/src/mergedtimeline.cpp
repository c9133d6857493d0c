#include "mergedtimeline.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <utility>

namespace endivequay::cli {

namespace {

using nlohmann::json;

template <class Number>
bool readNumber(const json &value, const char *name, Number &number)
{
    const auto found = value.find(name);
    if (found == value.end() || !found->is_number_integer())
        return false;
    number = found->get<Number>();
    return std::in_range<Number>(found->get<std::int64_t>());
}

Result<NamedEvent> readEvent(const json &value, const std::string &process)
{
    NamedEvent named;
    named.event.process = process;
    std::uint16_t id = 0;
    const bool complete = value.is_object() && value.contains("name") && value["name"].is_string()
        && readNumber(value, "wall_us", named.event.time.wallMicros)
        && readNumber(value, "counter", named.event.time.counter) && readNumber(value, "id", id);
    if (!complete)
        return Error { "timeline.parse", process,
            "wall_us, counter, id or name of an event is missing or has the wrong type" };
    named.event.id = static_cast<EventId>(id);
    named.name = value["name"].get<std::string>();
    const json fields = value.value("fields", json::object());
    if (!fields.is_object())
        return Error { "timeline.parse", process, "the fields of an event are not an object" };
    for (const auto &[name, field] : fields.items())
        named.event.fields[name] = field.is_string() ? field.get<std::string>() : field.dump();
    return named;
}

bool matchesField(const Event &event, const char *field, const std::string &wanted)
{
    if (wanted.empty())
        return true;
    const auto found = event.fields.find(field);
    return found != event.fields.end() && found->second == wanted;
}

/// Microseconds since the first event; a double of microseconds since the epoch has too few digits
/// left for the counter. The counter is added as nanoseconds, so events within one microsecond keep
/// their order.
double traceMicros(HybridTime time, std::int64_t start)
{
    constexpr double microsPerCount = 0.001;
    return static_cast<double>(time.wallMicros - start) + microsPerCount * time.counter;
}

json toTraceEvent(const NamedEvent &named, int process, std::int64_t start)
{
    const Event &event = named.event;
    json trace { { "name", named.name }, { "pid", process }, { "tid", 0 },
        { "ts", traceMicros(event.time, start) }, { "args", event.fields }, { "cat", "event" },
        { "ph", "i" }, { "s", "p" } };
    const bool begins = event.id == EventId::RequestAdmitted;
    const bool ends = event.id == EventId::RequestAnswered;
    const auto request = event.fields.find("request");
    if ((begins || ends) && request != event.fields.end()) {
        trace["name"] = "request";
        trace["cat"] = "request";
        trace["id"] = request->second;
        trace["ph"] = begins ? "b" : "e";
        trace.erase("s");
    }
    return trace;
}

} // namespace

Result<std::vector<NamedEvent>> parseTimeline(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    const bool complete = value.is_object() && value.contains("process")
        && value["process"].is_string() && value.contains("events") && value["events"].is_array();
    if (!complete)
        return Error { "timeline.parse", "", "is not an object with process and events" };
    const auto process = value["process"].get<std::string>();
    std::vector<NamedEvent> events;
    for (const json &element : value["events"]) {
        auto event = readEvent(element, process);
        if (!event)
            return event.lastReason();
        events.push_back(*std::move(event));
    }
    return events;
}

std::vector<NamedEvent> mergeTimelines(std::vector<std::vector<NamedEvent>> timelines)
{
    std::vector<NamedEvent> merged;
    for (auto &timeline : timelines)
        std::ranges::move(timeline, std::back_inserter(merged));
    const auto order
        = [](const NamedEvent &named) { return std::tie(named.event.time, named.event.process); };
    std::ranges::stable_sort(merged, {}, order);
    return merged;
}

bool matchesFilters(const Event &event, const Settings &settings)
{
    return matchesField(event, "request", settings.request)
        && matchesField(event, "team", settings.team)
        && matchesField(event, "upstream", settings.upstream)
        && matchesField(event, "change", settings.change);
}

json toJson(const std::vector<NamedEvent> &events)
{
    json list = json::array();
    for (const auto &[event, name] : events)
        list.push_back({ { "wall_us", event.time.wallMicros }, { "counter", event.time.counter },
            { "id", static_cast<int>(event.id) }, { "name", name }, { "process", event.process },
            { "fields", event.fields } });
    return list;
}

json toChromeTrace(const std::vector<NamedEvent> &events)
{
    std::map<std::string, int> processes;
    const std::int64_t start = events.empty() ? 0 : events.front().event.time.wallMicros;
    json list = json::array();
    for (const NamedEvent &named : events) {
        const auto [entry, isNew]
            = processes.emplace(named.event.process, static_cast<int>(processes.size()) + 1);
        if (isNew)
            list.push_back({ { "name", "process_name" }, { "ph", "M" }, { "pid", entry->second },
                { "args", { { "name", named.event.process } } } });
        list.push_back(toTraceEvent(named, entry->second, start));
    }
    return { { "traceEvents", list }, { "displayTimeUnit", "ms" },
        { "otherData", { { "start_wall_us", start } } } };
}

} // namespace endivequay::cli
