#include "peerhandshake.h"

#include "endivequay/digest.h"

#include <cerrno>
#include <cstdlib>

namespace endivequay::detail {

namespace {

constexpr std::size_t nonceBytes = 16;

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    if (text.empty() || text.size() > 20
        || text.find_first_not_of("0123456789") != std::string::npos)
        return std::nullopt;
    errno = 0;
    const auto number = std::strtoull(text.c_str(), nullptr, 10);
    return errno == 0 ? std::optional<std::uint64_t>(number) : std::nullopt;
}

} // namespace

std::optional<HostPort> parseAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == text.size())
        return std::nullopt;
    unsigned long port = 0;
    for (char c : text.substr(colon + 1)) {
        if (c < '0' || c > '9')
            return std::nullopt;
        port = port * 10 + static_cast<unsigned long>(c - '0');
        if (port > 65535)
            return std::nullopt;
    }
    return HostPort { text.substr(0, colon), static_cast<std::uint16_t>(port) };
}

std::string hexNonce()
{
    return sha256Hex(randomBytes(nonceBytes));
}

nlohmann::json toJson(const Hello &hello)
{
    return { { "cluster", hello.cluster }, { "nonce", hello.nonce },
        { "address", hello.identity.address },
        { "incarnation", std::to_string(hello.identity.incarnation) } };
}

std::optional<std::string> textField(const nlohmann::json &json, const char *name)
{
    if (!json.is_object())
        return std::nullopt;
    const auto found = json.find(name);
    if (found == json.end() || !found->is_string())
        return std::nullopt;
    return found->get<std::string>();
}

std::optional<Hello> parseHello(const nlohmann::json &json)
{
    const auto cluster = textField(json, "cluster");
    const auto nonce = textField(json, "nonce");
    const auto address = textField(json, "address");
    const auto incarnation = textField(json, "incarnation");
    if (!cluster || !nonce || !address || !incarnation || !parseAddress(*address))
        return std::nullopt;
    const auto number = parseNumber(*incarnation);
    if (!number)
        return std::nullopt;
    return Hello { *cluster, *nonce, { *address, *number } };
}

std::string proofHmac(
    const std::string &secret, const char *role, const Hello &client, const Hello &server)
{
    return hmacSha256Hex(
        secret, nlohmann::json::array({ role, toJson(client), toJson(server) }).dump());
}

} // namespace endivequay::detail
