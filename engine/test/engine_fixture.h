#ifndef ENDIVEQUAY_ENGINE_TEST_FIXTURE_H
#define ENDIVEQUAY_ENGINE_TEST_FIXTURE_H

#include "endivequay/requestengine.h"

#include <string>
#include <vector>

namespace endivequay::test {

using namespace std::chrono_literals;

inline const Instant epoch { std::chrono::hours(1) };

inline RequestRoute route(std::string id, std::string prefix, Repeatability repeatability,
    std::vector<WeightedService> services)
{
    RequestRoute result;
    result.id = RouteId(std::move(id));
    result.host = "shop.example";
    result.prefix = std::move(prefix);
    result.repeatability = repeatability;
    result.timeout = 800ms;
    result.objective = 300ms;
    result.priority = 1;
    result.attempts = 2;
    result.open = true;
    result.services = std::move(services);
    return result;
}

inline RoutingDocument document(std::int64_t version = 1)
{
    RoutingDocument result;
    result.version = ConfigVersion(version);
    result.services = { { ServiceId("web"), 100, 3s, 15 }, { ServiceId("alt"), 100, 3s, 15 } };
    result.routes
        = { route("view", "/view/", Repeatability::Idempotent, { { ServiceId("web"), 1 } }),
              route("order", "/order/", Repeatability::AtMostOnce, { { ServiceId("web"), 1 } }) };
    return result;
}

inline std::shared_ptr<const RoutingTable> table(RoutingDocument source)
{
    auto result = RoutingTable::create(std::move(source));
    return result ? std::make_shared<const RoutingTable>(*std::move(result)) : nullptr;
}

inline UpstreamEntry upstream(
    const std::string &id, const std::string &region = "west", int slots = 2)
{
    UpstreamEntry entry;
    entry.id = UpstreamId(id);
    entry.service = ServiceId("web");
    entry.address = Address("10.0.0.1:80");
    entry.domain = FailureDomainId(region + "-a");
    entry.region = RegionId(region);
    entry.slots = slots;
    return entry;
}

/// An engine in the region "west" with a table and upstreams.
struct EngineFixture
{
    Instant now = epoch;
    RequestEngine engine { { InstanceId("i1"), FailureDomainId("west-a"), RegionId("west"),
                               { { RegionId("west"), 1 } } },
        { 0.2, 50 } };
    RequestId nextRequestId = 1;

    void start(const RoutingDocument &source, const std::vector<UpstreamEntry> &entries,
        const std::set<FailureDomainId> &evacuated = {})
    {
        engine.setTable(table(source), now);
        engine.setUpstreams(entries, evacuated, now);
    }

    RequestInfo info(std::string_view path, std::string_view object = "o1") const
    {
        return { "shop.example", path, {}, object, now + 2s };
    }

    Step requestArrived(std::string_view path, std::string_view object = "o1")
    {
        return engine.requestArrived(nextRequestId++, info(path, object), now);
    }
};

inline const SendToUpstream *sent(const Step &step)
{
    return std::get_if<SendToUpstream>(&step);
}

inline const LocalResponse *answeredLocally(const Step &step)
{
    return std::get_if<LocalResponse>(&step);
}

inline constexpr AttemptOutcome good { AttemptResult::Good, true, true, {} };
inline constexpr AttemptOutcome interruptedAttempt { AttemptResult::Failed, false, true, {} };
inline constexpr AttemptOutcome failureResponse { AttemptResult::Failed, true, true, {} };
inline constexpr AttemptOutcome shed { AttemptResult::Shed, true, false, {} };
inline constexpr AttemptOutcome unreachable { AttemptResult::Unreachable, false, false, {} };
inline constexpr AttemptOutcome misdirected { AttemptResult::Misdirected, true, false, {} };

} // namespace endivequay::test

#endif
