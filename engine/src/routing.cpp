#include "endivequay/routing.h"

#include <algorithm>

namespace endivequay {

namespace {

Error routeError(const RequestRoute &route, std::string reason)
{
    return { "config.route", route.id.value(), std::move(reason) };
}

} // namespace

RoutingTable::RoutingTable(RoutingDocument document)
    : document_(std::move(document))
{ }

Result<RoutingTable> RoutingTable::create(RoutingDocument document)
{
    RoutingTable table(std::move(document));
    const RoutingDocument &source = table.document_;
    for (std::size_t i = 0; i < source.services.size(); ++i)
        table.services_.emplace(source.services[i].id, i);
    for (std::size_t i = 0; i < source.routes.size(); ++i) {
        const RequestRoute &route = source.routes[i];
        if (route.services.empty())
            return routeError(route, "has no service");
        const auto unknown = std::ranges::find_if(route.services,
            [&](const WeightedService &part) { return !table.services_.contains(part.service); });
        if (unknown != route.services.end())
            return routeError(route, "names the unknown service " + unknown->service.value());
        if (!table.routes_[route.host].emplace(route.prefix, i).second)
            return routeError(route, "repeats the prefix " + route.prefix);
    }
    for (std::size_t i = 0; i < source.teams.size(); ++i)
        std::ranges::for_each(
            source.teams[i].keys, [&](const std::string &key) { table.teams_.emplace(key, i); });
    return table;
}

const RequestRoute *RoutingTable::match(std::string_view host, std::string_view path) const
{
    const auto prefixes = routes_.find(host);
    if (prefixes == routes_.end())
        return nullptr;
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto route = prefixes->second.find(path.substr(0, slash + 1));
        if (route != prefixes->second.end())
            return &document_.routes[route->second];
    }
    return nullptr;
}

const TeamSettings *RoutingTable::teamOf(std::string_view key) const
{
    const auto team = teams_.find(key);
    return team == teams_.end() ? nullptr : &document_.teams[team->second];
}

const ServiceSettings *RoutingTable::service(const ServiceId &id) const
{
    const auto found = services_.find(id);
    return found == services_.end() ? nullptr : &document_.services[found->second];
}

} // namespace endivequay
