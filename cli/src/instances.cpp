#include "instances.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace endivequay::cli {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

// Instances apply a change within seconds; polling more often would only add load.
constexpr Interval pollInterval = 200ms;

Result<std::string> requiredText(const json &value, const char *name)
{
    const auto found = value.find(name);
    if (found == value.end() || !found->is_string())
        return Error { "status.parse", name, "is missing or not a string" };
    return found->get<std::string>();
}

template <class Number>
Number optionalNumber(const json &value, const char *name)
{
    const auto found = value.find(name);
    return found == value.end() || !found->is_number() ? Number() : found->get<Number>();
}

std::string optionalText(const json &value, const char *name)
{
    return requiredText(value, name).value().value_or("");
}

template <class Item, class Read>
std::vector<Item> parseList(const json &value, const char *name, Read read)
{
    std::vector<Item> items;
    const auto found = value.find(name);
    if (found == value.end() || !found->is_array())
        return items;
    for (const json &element : *found) {
        if (element.is_object())
            items.push_back(read(element));
    }
    return items;
}

void readLists(const json &value, InstanceStatus &status)
{
    status.members = parseList<MemberStatus>(value, "members", [](const json &member) {
        return MemberStatus { Address(optionalText(member, "address")),
            optionalText(member, "state") };
    });
    status.upstreams = parseList<UpstreamStatus>(value, "upstreams", [](const json &upstream) {
        return UpstreamStatus { optionalText(upstream, "id"), optionalText(upstream, "service"),
            optionalText(upstream, "state"), optionalNumber<int>(upstream, "in_flight"),
            optionalNumber<int>(upstream, "slots"), optionalNumber<int>(upstream, "usable_slots") };
    });
    status.teams = parseList<TeamStatus>(value, "teams", [](const json &team) {
        return TeamStatus { optionalText(team, "id"), optionalNumber<double>(team, "rate"),
            optionalNumber<double>(team, "tokens") };
    });
}

} // namespace

Result<InstanceStatus> parseStatus(std::string_view text)
{
    json value = json::parse(text, nullptr, false);
    if (!value.is_object())
        return Error { "status.parse", "", "is not a JSON object" };
    const auto revision = value.find("revision");
    if (revision == value.end() || !revision->is_number_integer())
        return Error { "status.parse", "revision", "is missing or not a whole number" };
    const auto state = requiredText(value, "state");
    if (!state)
        return state.lastReason();
    InstanceStatus status;
    status.instance = optionalText(value, "instance");
    status.failureDomain = optionalText(value, "failure_domain");
    status.region = optionalText(value, "region");
    status.state = *state;
    status.revision = Revision(revision->get<std::int64_t>());
    status.confirmedAgeMs = optionalNumber<std::int64_t>(value, "confirmed_age_ms");
    status.cells = optionalNumber<int>(value, "cells");
    readLists(value, status);
    status.raw = std::move(value);
    return status;
}

FleetStatus fetchFleet(const Backend &backend, const std::vector<Address> &addresses,
    const std::set<Address> &excluded)
{
    static const std::vector<MemberStatus> noMembers;
    FleetStatus fleet;
    const auto isNew = [&](const MemberStatus &member) {
        return !member.address.value().empty() && !fleet.contains(member.address)
            && !excluded.contains(member.address);
    };
    std::set<Address> next(addresses.begin(), addresses.end());
    while (!next.empty()) {
        const std::vector<Address> batch(next.begin(), next.end());
        next.clear();
        const auto responses = backend.fetch(batch, "/v1/status");
        for (std::size_t i = 0; i < batch.size(); ++i) {
            auto status = responses[i] ? parseStatus(*responses[i])
                                       : Result<InstanceStatus>(responses[i].lastReason());
            fleet.emplace(batch[i], std::move(status));
        }
        for (const Address &address : batch) {
            const Result<InstanceStatus> &status = fleet.at(address);
            for (const MemberStatus &member : status ? status.value()->members : noMembers) {
                if (isNew(member))
                    next.insert(member.address);
            }
        }
    }
    return fleet;
}

RolloutStatus pollRollout(const Backend &backend, const std::vector<Address> &addresses,
    Revision revision, Instant deadline, const std::function<void(const RolloutStatus &)> &progress)
{
    // An instance never returns to a lower revision, so one that has applied it is not polled
    // again.
    RolloutStatus report;
    std::vector<Address> pending = addresses;
    std::tuple<std::size_t, std::size_t, std::size_t> reportedCounts;
    for (bool first = true;; first = false) {
        report.lagging.clear();
        report.unreachable.clear();
        for (const auto &[address, status] : fetchFleet(backend, pending, report.upToDate)) {
            if (!status)
                report.unreachable.push_back(address);
            else if (status.value()->revision < revision)
                report.lagging.push_back(address);
            else
                report.upToDate.insert(address);
        }
        const std::tuple counts(
            report.upToDate.size(), report.lagging.size(), report.unreachable.size());
        if (first || counts != reportedCounts)
            progress(report);
        reportedCounts = counts;
        if (report.lagging.empty() || backend.now() >= deadline)
            return report;
        pending = report.lagging;
        pending.insert(pending.end(), report.unreachable.begin(), report.unreachable.end());
        backend.sleep(pollInterval);
    }
}

} // namespace endivequay::cli
