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

/// Answer of an instance to GET /v1/status.
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
    nlohmann::json raw;
};

Result<InstanceStatus> parseStatus(std::string_view text);

/// Status or the reason why there is none, by address.
using FleetStatus = std::map<Address, Result<InstanceStatus>>;

/// Asks \a addresses and every instance that an answer names, but none of \a except.
FleetStatus fetchFleet(const Backend &backend, const std::vector<Address> &addresses,
    const std::set<Address> &except = {});

/// Where a revision is in force.
struct InForceReport
{
    std::set<Address> inForce;
    std::vector<Address> behind; ///< Reachable, but at a lower revision.
    std::vector<Address> unreachable;
};

/// Waits until every reachable instance has at least \a revision or \a deadline has passed.
/// Calls \a progress when a count changes.
InForceReport waitInForce(const Backend &backend, const std::vector<Address> &addresses,
    Revision revision, Instant deadline,
    const std::function<void(const InForceReport &)> &progress);

} // namespace endivequay::cli

#endif
