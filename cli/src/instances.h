#ifndef ENDIVEQUAY_CLI_INSTANCES_H
#define ENDIVEQUAY_CLI_INSTANCES_H

#include "backend.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace endivequay::cli {

struct MemberStatus
{
    Address address;
    std::string state;
};

struct UpstreamStatus
{
    std::string id;
    std::string service;
    std::string state;
    int inFlight = 0;
    int slots = 0;
    int usableSlots = 0;
};

struct TeamStatus
{
    std::string id;
    double rate = 0;
    double tokens = 0;
};

/// Response of an instance to GET /v1/status.
struct InstanceStatus
{
    std::string instance;
    std::string failureDomain;
    std::string region;
    std::string state;
    Revision revision;
    std::int64_t confirmedAgeMs = 0;
    int cells = 0;
    std::vector<MemberStatus> members;
    std::vector<UpstreamStatus> upstreams;
    std::vector<TeamStatus> teams;
    nlohmann::json raw; ///< The whole response.
};

Result<InstanceStatus> parseStatus(std::string_view text);

/// Status, or the error of the query, by address.
using FleetStatus = std::map<Address, Result<InstanceStatus>>;

/// Queries \a addresses and, repeatedly, all members listed in the responses, except \a excluded.
FleetStatus fetchFleet(const Backend &backend, const std::vector<Address> &addresses,
    const std::set<Address> &excluded = {});

/// Which instances have applied a revision.
struct RolloutStatus
{
    std::set<Address> upToDate;
    std::vector<Address> lagging; ///< Reachable, but at a lower revision.
    std::vector<Address> unreachable;
};

/// Waits until every reachable instance has at least \a revision or \a deadline has passed.
/// Calls \a progress after the first poll and whenever a count changes.
RolloutStatus pollRollout(const Backend &backend, const std::vector<Address> &addresses,
    Revision revision, Instant deadline,
    const std::function<void(const RolloutStatus &)> &progress);

} // namespace endivequay::cli

#endif
