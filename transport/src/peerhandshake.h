#ifndef ENDIVEQUAY_TRANSPORT_PEERHANDSHAKE_H
#define ENDIVEQUAY_TRANSPORT_PEERHANDSHAKE_H

#include "endivequay/peerlinks.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace endivequay::detail {

struct HostPort
{
    std::string host;
    std::uint16_t port = 0;
};

std::optional<HostPort> parseAddress(const std::string &text);

/// Opening message of each side of the handshake.
struct Hello
{
    std::string cluster;
    std::string nonce;
    PeerIdentity identity;
};

/// A random nonce in hexadecimal digits.
std::string hexNonce();
nlohmann::json toJson(const Hello &hello);
std::optional<Hello> parseHello(const nlohmann::json &json);
/// A string member of an object; no value if it is missing or not a string.
std::optional<std::string> textField(const nlohmann::json &json, const char *name);

/// HMAC of both hello messages and \a role ("client" or "server"): proves that its sender knows the
/// shared secret and received the hello of the other side.
std::string proofHmac(
    const std::string &secret, const char *role, const Hello &client, const Hello &server);

} // namespace endivequay::detail

#endif
