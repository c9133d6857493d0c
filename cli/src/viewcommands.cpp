#include "mergedtimeline.h"
#include "session.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace endivequay::cli {

namespace {

using nlohmann::json;

/// Totals over all instances: requests in flight and usable slots of an upstream, or rate and
/// tokens of a team.
struct Totals
{
    std::string state;
    double used = 0;
    double available = 0;
};

std::string instanceLine(const Address &address, const Result<InstanceStatus> &status)
{
    if (!status)
        return fmt::format("{:22}not reachable: {}\n", address.value(), status.lastReason().reason);
    const InstanceStatus &s = *status;
    return fmt::format("{:22}{:16}{:14}{:10}{:>10}{:>9} ms{:>7}\n", address.value(),
        s.failureDomain, s.region, s.state, s.revision.value(), s.confirmedAgeMs, s.cells);
}

std::string upstreamLines(const FleetStatus &fleet)
{
    std::map<std::string, Totals> upstreams;
    for (const auto &[address, status] : fleet) {
        if (!status)
            continue;
        for (const UpstreamStatus &upstream : status.value()->upstreams) {
            Totals &totals = upstreams[upstream.id];
            totals.state = upstream.state;
            totals.used += upstream.inFlight;
            totals.available += upstream.usableSlots;
        }
    }
    std::string text = upstreams.empty() ? ""
                                         : fmt::format("\n{:28}{:12}{:>10}{:>14}\n", "UPSTREAM",
                                             "STATE", "IN FLIGHT", "USABLE SLOTS");
    for (const auto &[id, totals] : upstreams)
        text += fmt::format(
            "{:28}{:12}{:>10}{:>14}\n", id, totals.state, totals.used, totals.available);
    return text;
}

std::string teamLines(const FleetStatus &fleet)
{
    std::map<std::string, Totals> teams;
    for (const auto &[address, status] : fleet) {
        if (!status)
            continue;
        for (const TeamStatus &team : status.value()->teams) {
            teams[team.id].used += team.rate;
            teams[team.id].available += team.tokens;
        }
    }
    std::string text
        = teams.empty() ? "" : fmt::format("\n{:28}{:>10}{:>10}\n", "TEAM", "RATE", "TOKENS");
    for (const auto &[id, totals] : teams)
        text += fmt::format("{:28}{:>10.6g}{:>10.6g}\n", id, totals.used, totals.available);
    return text;
}

json toJson(const FleetStatus &fleet)
{
    json list = json::array();
    for (const auto &[address, status] : fleet) {
        json entry { { "address", address.value() } };
        if (status)
            entry["status"] = status.value()->raw;
        else
            entry["error"] = toString(status.lastReason());
        list.push_back(std::move(entry));
    }
    return list;
}

std::string toText(const FleetStatus &fleet)
{
    std::string text = fmt::format("{:22}{:16}{:14}{:10}{:>10}{:>12}{:>7}\n", "INSTANCE",
        "FAILURE DOMAIN", "REGION", "STATE", "REVISION", "CONFIRMED", "CELLS");
    for (const auto &[address, status] : fleet)
        text += instanceLine(address, status);
    return text + upstreamLines(fleet) + teamLines(fleet);
}

Error missingInstances()
{
    return { "usage", "--instances",
        "is required, for example --instances 10.0.0.7:8080 or ENDIVEQUAY_INSTANCES" };
}

std::string formatNamed(const NamedEvent &named)
{
    std::string line = formatEvent(named.event);
    // This program has no names for newer events; the process that sent one does.
    const std::string_view known = eventName(named.event.id);
    if (const auto at = line.find(known); at != std::string::npos && known != named.name)
        line.replace(at, known.size(), named.name);
    return line;
}

std::vector<NamedEvent> fetchTimelines(const Session &session, std::size_t &responseCount)
{
    std::vector<std::vector<NamedEvent>> timelines;
    const auto &instances = session.settings.instances;
    const auto responses = session.backend.fetch(instances, "/v1/timeline");
    for (std::size_t i = 0; i < instances.size(); ++i) {
        auto timeline = responses[i] ? parseTimeline(*responses[i])
                                     : Result<std::vector<NamedEvent>>(responses[i].lastReason());
        if (timeline)
            timelines.push_back(*std::move(timeline));
        else
            session.logLine(instances[i].value() + ": " + toString(timeline.lastReason()));
    }
    responseCount = timelines.size();
    return mergeTimelines(std::move(timelines));
}

} // namespace

ExitCode runStatus(const Session &session)
{
    if (session.settings.instances.empty())
        return session.fail(ExitCode::Usage, missingInstances());
    const FleetStatus fleet = fetchFleet(session.backend, session.settings.instances);
    json value { { "instances", toJson(fleet) } };
    std::string text = toText(fleet);
    if (!session.settings.store.empty()) {
        ConfigSnapshot snapshot;
        if (const ExitCode code = readStore(session, snapshot); code != ExitCode::Success)
            return code;
        const ConfigHead &head = snapshot.head;
        value["store"] = { { "revision", head.revision.value() }, { "change", head.change.value() },
            { "by", head.by }, { "documents", head.documents } };
        text += fmt::format("\nstore: revision {}, change {} by {}, {}\n", head.revision.value(),
            head.change.value(), head.by, countOf(head.documents, "document"));
    }
    session.printResult(value, text);
    const bool reachable
        = std::ranges::any_of(fleet, [](const auto &entry) { return entry.second.hasValue(); });
    return reachable ? ExitCode::Success : ExitCode::Unreachable;
}

ExitCode runTimeline(const Session &session)
{
    if (session.settings.instances.empty())
        return session.fail(ExitCode::Usage, missingInstances());
    std::size_t responseCount = 0;
    std::vector<NamedEvent> events = fetchTimelines(session, responseCount);
    std::erase_if(events,
        [&](const NamedEvent &named) { return !matchesFilters(named.event, session.settings); });
    std::string text;
    for (const NamedEvent &named : events)
        text += formatNamed(named) + '\n';
    if (session.settings.chrome)
        text = toChromeTrace(events).dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
    if (session.settings.chrome && !session.settings.json)
        session.console.out << text;
    else
        session.printResult({ { "events", toJson(events) } }, text);
    return responseCount == 0 ? ExitCode::Unreachable : ExitCode::Success;
}

} // namespace endivequay::cli
