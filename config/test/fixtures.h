#ifndef ENDIVEQUAY_CONFIG_FIXTURES_H
#define ENDIVEQUAY_CONFIG_FIXTURES_H

#include "endivequay/configuration.h"

#include <nlohmann/json.hpp>

#include <string>

namespace fixtures {

inline const std::string digestA(64, 'a');
inline const std::string digestB(64, 'b');

/// Returns a valid configuration that uses every field of the format.
inline nlohmann::json complete()
{
    return nlohmann::json::parse(R"({
  "regions": [{"id": "gulf", "capacity": 1000}, {"id": "ege"}],
  "failure_domains": [{"id": "gulf-a", "region": "gulf"}, {"id": "ege-a", "region": "ege"}],
  "sites": [{"id": "s1", "failure_domain": "gulf-a"}, {"id": "s2", "failure_domain": "ege-a"}],
  "region_delays": [{"between": ["gulf", "ege"], "delay_ms": 20.5}],
  "domain_delays": [{"between": ["gulf-a", "ege-a"], "delay_ms": 22}],
  "links": [{"between": ["gulf", "ege"], "bytes_per_s": 500000000}],
  "services": [{"id": "orders", "planned_rate": 100.25, "when_stale": "continue",
    "shift_cap": {"fraction": 0.2, "window_s": 60}, "lookup_lifetime_ms": 1500,
    "routes": [{"method": "POST", "path": "/orders", "access": "keyed", "kind": "once",
      "max_time_ms": 2000}, {"method": "GET", "path": "/", "access": "open"}],
    "weights": {"gulf-a": 2.5},
    "planned_shift": {"from": "gulf", "to": "ege", "fraction": 0.025}}],
  "upstreams": [{"id": "u1", "service": "orders", "failure_domain": "gulf-a",
    "address": "10.0.0.7:8080", "slots": 9, "connections": 300, "state": "draining"}],
  "teams": [{"id": "desk", "rate": 50, "burst": 100, "keys": [{"id": "k1", "sha256":
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}]}],
  "client_blocks": {"s1": ["10.1.0.0/16", "10.0.0.0/8"], "s2": ["10.1.2.0/24", "11.0.0.0/8"]}
})");
}

/// Parses \a value; returns the empty configuration if it is invalid.
inline endivequay::Configuration read(const nlohmann::json &value)
{
    auto result = endivequay::Configuration::fromJson(value.dump());
    return result ? *std::move(result) : endivequay::Configuration();
}

} // namespace fixtures

#endif
