#ifndef ENDIVEQUAY_CLI_MERGEDTIMELINE_H
#define ENDIVEQUAY_CLI_MERGEDTIMELINE_H

#include "settings.h"

#include "endivequay/events.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace endivequay::cli {

/// An event with the name given by its process, which may have newer events than this program.
struct NamedEvent
{
    Event event;
    std::string name;
};

/// Parses a response to GET /v1/timeline.
Result<std::vector<NamedEvent>> parseTimeline(std::string_view text);

/// Merges the events of several processes in the order of their hybrid logical times: a cause comes
/// before its effects. Events of one process keep their order.
std::vector<NamedEvent> mergeTimelines(std::vector<std::vector<NamedEvent>> timelines);

/// Whether \a event matches every filter set in \a settings.
bool matchesFilters(const Event &event, const Settings &settings);

nlohmann::json toJson(const std::vector<NamedEvent> &events);

/// Events in the Trace Event Format of the Chromium project: one process per instance, requests as
/// spans from RequestAdmitted to RequestAnswered.
nlohmann::json toChromeTrace(const std::vector<NamedEvent> &events);

} // namespace endivequay::cli

#endif
