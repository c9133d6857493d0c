#include "endivequay/configuration.h"

#include <algorithm>

namespace endivequay {

namespace {

/// Whether \a c may appear unescaped in a path. RFC 3986 also allows a semicolon, but some servers
/// strip it and the rest of the segment, which turns "..;" into "..".
bool isAllowedPathCharacter(char c)
{
    constexpr std::string_view allowedPunctuation = "-._~!$&'()*+,=:@/";
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
        || allowedPunctuation.find(c) != std::string_view::npos;
}

bool isDotSegment(std::string_view segment)
{
    return segment == "." || segment == "..";
}

/// Whether every server resolves \a path the same way. One trailing slash is allowed.
bool isUnambiguousPath(std::string_view path)
{
    if (!path.starts_with('/') || !std::ranges::all_of(path, isAllowedPathCharacter))
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

bool isSegmentPrefix(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix))
        return false;
    return prefix == "/" || path.size() == prefix.size() || path[prefix.size()] == '/';
}

} // namespace

RouteMatch matchRoute(const Service &service, std::string_view method, std::string_view path)
{
    if (!isUnambiguousPath(path))
        return { RouteMatch::Outcome::BadPath, nullptr };
    const auto precedence = [method](const Route &route) {
        return std::pair(route.path.size(), route.method == method);
    };
    const Route *best = nullptr;
    for (const Route &route : service.routes) {
        const bool matches
            = (route.method == "*" || route.method == method) && isSegmentPrefix(route.path, path);
        if (matches && (best == nullptr || precedence(*best) < precedence(route)))
            best = &route;
    }
    return { best == nullptr ? RouteMatch::Outcome::NoRoute : RouteMatch::Outcome::Matched, best };
}

} // namespace endivequay
