#include "instances.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace endivequay::cli {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

// Instances adopt a change within seconds; more polls would only load them.
constexpr Interval pollPause = 200ms;

Result<std::string> textOf(const json &value, const char *name)
{
    const auto found = value.find(name);
    if (found == value.end() || !found->is_string())
        return Error { "status.parse", name, "is missing or not a string" };
    return found->get<std::string>();
}

template <class Number>
Number numberOf(const json &value, const char *name)
{
    const auto found = value.find(name);
    return found == value.end() || !found->is_number() ? Number() : found->get<Number>();
}

std::string optionalText(const json &value, const char *name)
{
    return textOf(value, name).value().value_or("");
}

template <class Item, class Read>
std::vector<Item> listOf(const json &value, const char *name, Read read)
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
    status.members = listOf<MemberStatus>(value, "members", [](const json &member) {
        return MemberStatus { Address(optionalText(member, "address")),
            optionalText(member, "state") };
    });
    status.upstreams = listOf<UpstreamStatus>(value, "upstreams", [](const json &upstream) {
        return UpstreamStatus { optionalText(upstream, "id"), optionalText(upstream, "service"),
            optionalText(upstream, "state"), numberOf<int>(upstream, "in_flight"),
            numberOf<int>(upstream, "slots"), numberOf<int>(upstream, "usable_slots") };
    });
    status.teams = listOf<TeamStatus>(value, "teams", [](const json &team) {
        return TeamStatus { optionalText(team, "id"), numberOf<double>(team, "rate"),
            numberOf<double>(team, "tokens") };
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
    const auto state = textOf(value, "state");
    if (!state)
        return state.lastReason();
    InstanceStatus status;
    status.instance = optionalText(value, "instance");
    status.failureDomain = optionalText(value, "failure_domain");
    status.region = optionalText(value, "region");
    status.state = *state;
    status.revision = Revision(revision->get<std::int64_t>());
    status.confirmedAgeMs = numberOf<std::int64_t>(value, "confirmed_age_ms");
    status.cells = numberOf<int>(value, "cells");
    readLists(value, status);
    status.raw = std::move(value);
    return status;
}

FleetStatus fetchFleet(
    const Backend &backend, const std::vector<Address> &addresses, const std::set<Address> &except)
{
    static const std::vector<MemberStatus> noMembers;
    FleetStatus fleet;
    const auto isNew = [&](const MemberStatus &member) {
        return !member.address.value().empty() && !fleet.contains(member.address)
            && !except.contains(member.address);
    };
    std::set<Address> next(addresses.begin(), addresses.end());
    while (!next.empty()) {
        const std::vector<Address> asked(next.begin(), next.end());
        next.clear();
        const auto answers = backend.fetch(asked, "/v1/status");
        for (std::size_t i = 0; i < asked.size(); ++i) {
            auto status = answers[i] ? parseStatus(*answers[i])
                                     : Result<InstanceStatus>(answers[i].lastReason());
            fleet.emplace(asked[i], std::move(status));
        }
        for (const Address &address : asked) {
            const Result<InstanceStatus> &status = fleet.at(address);
            for (const MemberStatus &member : status ? status.value()->members : noMembers) {
                if (isNew(member))
                    next.insert(member.address);
            }
        }
    }
    return fleet;
}

InForceReport waitInForce(const Backend &backend, const std::vector<Address> &addresses,
    Revision revision, Instant deadline, const std::function<void(const InForceReport &)> &progress)
{
    // A node never applies a lower revision, so an instance that has it is not asked again.
    InForceReport report;
    std::vector<Address> pending = addresses;
    std::tuple<std::size_t, std::size_t, std::size_t> shown;
    for (bool first = true;; first = false) {
        report.behind.clear();
        report.unreachable.clear();
        for (const auto &[address, status] : fetchFleet(backend, pending, report.inForce)) {
            if (!status)
                report.unreachable.push_back(address);
            else if (status.value()->revision < revision)
                report.behind.push_back(address);
            else
                report.inForce.insert(address);
        }
        const std::tuple counts(
            report.inForce.size(), report.behind.size(), report.unreachable.size());
        if (first || counts != shown)
            progress(report);
        shown = counts;
        if (report.behind.empty() || backend.now() >= deadline)
            return report;
        pending = report.behind;
        pending.insert(pending.end(), report.unreachable.begin(), report.unreachable.end());
        backend.sleep(pollPause);
    }
}

} // namespace endivequay::cli
