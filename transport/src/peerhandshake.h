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

/// First message of each side.
struct Hello
{
    std::string cluster;
    std::string nonce;
    PeerIdentity identity;
};

std::string hexNonce();
nlohmann::json toJson(const Hello &hello);
std::optional<Hello> parseHello(const nlohmann::json &json);
std::optional<std::string> textField(const nlohmann::json &json, const char *name);

/// What the side \a role proves with the shared secret: that it knows it and saw both messages.
std::string proof(
    const std::string &secret, const char *role, const Hello &client, const Hello &server);

} // namespace endivequay::detail

#endif
