#ifndef ENDIVEQUAY_CONFIG_ENUMS_H
#define ENDIVEQUAY_CONFIG_ENUMS_H

#include "endivequay/configuration.h"

#include <algorithm>
#include <array>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace endivequay::detail {

template <class Enum, std::size_t Count>
using EnumNames = std::array<std::pair<std::string_view, Enum>, Count>;

inline constexpr EnumNames<Access, 2> accessNames { { { "open", Access::Open },
    { "keyed", Access::Keyed } } };
inline constexpr EnumNames<RouteKind, 3> routeKindNames { { { "idempotent", RouteKind::Idempotent },
    { "once", RouteKind::Once }, { "deferrable", RouteKind::Deferrable } } };
inline constexpr EnumNames<WhenStale, 2> whenStaleNames { { { "refuse", WhenStale::Refuse },
    { "continue", WhenStale::Continue } } };
inline constexpr EnumNames<UpstreamState, 2> upstreamStateNames {
    { { "active", UpstreamState::Active }, { "draining", UpstreamState::Draining } }
};

template <class Enum, std::size_t Count>
std::string nameOf(const EnumNames<Enum, Count> &names, Enum value)
{
    const auto entry = std::ranges::find(names, value, &std::pair<std::string_view, Enum>::second);
    return std::string(entry->first);
}

} // namespace endivequay::detail

#endif
