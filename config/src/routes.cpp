#include "endivequay/configuration.h"

#include <algorithm>

namespace endivequay {

namespace {

/// Characters that may stand in a path segment as themselves. A semicolon may too (RFC 3986), but
/// some servers cut it and what follows off a segment, which turns "..;" into "..".
bool isPlainCharacter(char c)
{
    constexpr std::string_view others = "-._~!$&'()*+,=:@/";
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
        || others.find(c) != std::string_view::npos;
}

bool isDotSegment(std::string_view segment)
{
    return segment == "." || segment == "..";
}

/// Whether \a path is the same for every server. One slash at the end is allowed.
bool isPlainPath(std::string_view path)
{
    if (!path.starts_with('/') || !std::ranges::all_of(path, isPlainCharacter))
        return false;
    path.remove_prefix(1);
    while (!path.empty()) {
        const auto end = path.find('/');
        const std::string_view segment = path.substr(0, end);
        if (segment.empty() || isDotSegment(segment))
            return false;
        path = end == std::string_view::npos ? "" : path.substr(end + 1);
    }
    return true;
}

bool covers(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix))
        return false;
    return prefix == "/" || path.size() == prefix.size() || path[prefix.size()] == '/';
}

} // namespace

RouteMatch matchRoute(const Service &service, std::string_view method, std::string_view path)
{
    if (!isPlainPath(path))
        return { RouteMatch::Outcome::BadPath, nullptr };
    const auto rank = [method](const Route &route) {
        return std::pair(route.path.size(), route.method == method);
    };
    const Route *best = nullptr;
    for (const Route &route : service.routes) {
        const bool fits
            = (route.method == "*" || route.method == method) && covers(route.path, path);
        if (fits && (best == nullptr || rank(*best) < rank(route)))
            best = &route;
    }
    return { best == nullptr ? RouteMatch::Outcome::NoRoute : RouteMatch::Outcome::Matched, best };
}

} // namespace endivequay
