#include "membershiplist.h"

#include "endivequay/boundedjson.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace endivequay {

namespace {

using Json = nlohmann::json;

/// Entries have two levels. Bounds the memory that a response can take.
constexpr int maxNesting = 8;

bool isHostAndPort(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    return parsed.ec == std::errc {} && parsed.ptr == text.data() + text.size() && port > 0;
}

Result<ListedInstance> parseInstance(const Json &entry)
{
    try {
        const std::string address = entry.at("address").get<std::string>();
        if (!isHostAndPort(address))
            return Error { "members.read", {}, "\"address\" is not host:port" };
        return ListedInstance { Address(address),
            FailureDomainId(entry.at("failure_domain").get<std::string>()),
            entry.value("state", std::string("live")) == "leaving" };
    } catch (const Json::exception &error) {
        return Error { "members.read", {}, error.what() };
    }
}

} // namespace

Result<MembershipList> parseMembershipList(std::string_view body)
{
    const auto json = detail::parseBoundedJson(body, maxNesting);
    if (!json)
        return Error { "members.read", {}, json.lastReason().reason };
    if (!json->is_array())
        return Error { "members.read", {}, "the response is not a list of instances" };
    MembershipList list;
    for (std::size_t index = 0; index < json->size(); ++index) {
        auto instance = parseInstance((*json)[index]);
        if (instance)
            list.instances.push_back(*std::move(instance));
        else
            list.rejected.push_back(
                { "members.read", fmt::format("entry {}", index), instance.lastReason().reason });
    }
    return list;
}

} // namespace endivequay
