#include "fields.h"

#include <algorithm>

namespace endivequay::detail {

bool ObjectFields::contains(std::string_view name) const
{
    return std::ranges::find(required, name) != required.end()
        || std::ranges::find(optional, name) != optional.end();
}

const ObjectFields configurationFields { "configuration", { "regions", "failure_domains" },
    { "sites", "region_delays", "domain_delays", "links", "services", "upstreams", "teams",
        "client_blocks" } };
const ObjectFields regionsDocumentFields { "regions_document", { "regions", "failure_domains" },
    { "sites", "region_delays", "domain_delays", "links" } };
const ObjectFields upstreamsDocumentFields { "upstreams_document", { "upstreams" }, {} };
const ObjectFields blocksDocumentFields { "blocks_document", { "client_blocks" }, {} };
const ObjectFields regionFields { "region", { "id" }, { "capacity" } };
const ObjectFields domainFields { "failure_domain", { "id", "region" }, {} };
const ObjectFields siteFields { "site", { "id", "failure_domain" }, {} };
const ObjectFields delayFields { "delay", { "between", "delay_ms" }, {} };
const ObjectFields linkFields { "link", { "between", "bytes_per_s" }, {} };
const ObjectFields serviceFields { "service", { "id", "planned_rate", "shift_cap", "routes" },
    { "when_stale", "lookup_lifetime_ms", "weights", "planned_shift" } };
const ObjectFields shiftCapFields { "shift_cap", { "fraction", "window_s" }, {} };
const ObjectFields routeFields { "route", { "method", "path", "access" },
    { "kind", "max_time_ms" } };
const ObjectFields plannedShiftFields { "planned_shift", { "from", "to", "fraction" }, {} };
const ObjectFields upstreamFields { "upstream",
    { "id", "service", "failure_domain", "address", "slots", "connections" }, { "state" } };
const ObjectFields teamFields { "team", { "id", "rate", "burst" }, { "keys" } };
const ObjectFields keyFields { "key", { "id", "sha256" }, {} };

std::vector<const ObjectFields *> allObjectFields()
{
    return { &configurationFields, &regionsDocumentFields, &upstreamsDocumentFields,
        &blocksDocumentFields, &regionFields, &domainFields, &siteFields, &delayFields, &linkFields,
        &serviceFields, &shiftCapFields, &routeFields, &plannedShiftFields, &upstreamFields,
        &teamFields, &keyFields };
}

} // namespace endivequay::detail
