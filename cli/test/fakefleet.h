#ifndef ENDIVEQUAY_CLI_FAKEFLEET_H
#define ENDIVEQUAY_CLI_FAKEFLEET_H

#include "commands.h"
#include "instances.h"

#include "endivequay/configuration.h"
#include "endivequay/memorystore.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <string>
#include <vector>

/// An in-memory store and instances, with a clock that advances only while the tool sleeps.
struct FakeFleet
{
    struct Instance
    {
        bool reachable = true;
        bool adoptsRevisions = true; ///< Applies the latest revision at the next sleep.
        std::int64_t revision = 0;
        int inFlight = 0; ///< Requests to upstream "u1"; one ends per sleep.
        std::vector<std::string> members;
        std::string timeline;
    };

    endivequay::ManualClock clock;
    endivequay::MemoryStore store;
    std::map<std::string, Instance> instances;
    std::map<std::string, std::string> environment { { "ENDIVEQUAY_STORE", "127.0.0.1:2379" },
        { "ENDIVEQUAY_INSTANCES", "127.0.0.1:1" }, { "USER", "asha" } };
    std::vector<std::string> posts;
    std::function<void()> onSleep = [] {};
    std::string out;
    std::string err;
    std::uint8_t nextByte = 0;

    FakeFleet() { instances["127.0.0.1:1"].members = { "127.0.0.1:2" }, instances["127.0.0.1:2"]; }

    std::string status(const Instance &instance) const
    {
        nlohmann::json value { { "state", "serving" }, { "revision", instance.revision },
            { "failure_domain", "gulf-a" },
            { "upstreams",
                { { { "id", "u1" }, { "state", "active" }, { "in_flight", instance.inFlight },
                    { "usable_slots", 3 } } } },
            { "teams", { { { "id", "desk" }, { "rate", 25 }, { "tokens", 7.5 } } } },
            { "members", nlohmann::json::array() } };
        for (const std::string &member : instance.members)
            value["members"].push_back({ { "address", member }, { "state", "serving" } });
        return value.dump();
    }

    endivequay::cli::Backend backend()
    {
        using namespace endivequay;
        cli::Backend result;
        result.now = [this] { return clock.now(); };
        result.sleep = [this](Interval interval) {
            clock.advance(interval);
            for (auto &[address, instance] : instances) {
                instance.revision
                    = instance.adoptsRevisions ? store.revision().value() : instance.revision;
                instance.inFlight = std::max(0, instance.inFlight - 1);
            }
            onSleep();
        };
        result.fetch = [this](const std::vector<Address> &addresses, const std::string &path) {
            std::vector<Result<std::string>> responses;
            for (const Address &address : addresses) {
                const Instance &instance = instances[address.value()];
                responses.push_back(instance.reachable
                        ? Result<std::string>(
                            path == "/v1/status" ? status(instance) : instance.timeline)
                        : Error { "http.connect", address.value(), "connection refused" });
            }
            return responses;
        };
        result.post
            = [this](const Address &address, const std::string &path, const HttpHeaders &headers) {
                  posts.push_back(address.value() + path + " " + headers.at(0).second);
                  return Result<std::string>("{}");
              };
        result.randomBytes = [this](std::size_t count) {
            std::string bytes(count, '\0');
            std::ranges::generate(bytes, [this] { return static_cast<char>(nextByte++); });
            return bytes;
        };
        return result;
    }

    /// Runs a command line, split at spaces, and returns the exit status.
    int run(const std::string &line, const std::string &input = {})
    {
        using namespace endivequay;
        std::istringstream words(line);
        std::vector<std::string> arguments { std::istream_iterator<std::string>(words), {} };
        std::istringstream in(input);
        std::ostringstream outStream;
        std::ostringstream errStream;
        const auto code = cli::run(
            arguments,
            [this](const std::string &name) {
                const auto found = environment.find(name);
                return found == environment.end() ? std::nullopt : std::optional(found->second);
            },
            backend(),
            [this](cli::Backend &target, const cli::Settings &) -> Status {
                cli::useStore(target, store);
                return Done {};
            },
            { in, outStream, errStream });
        out = outStream.str();
        err = errStream.str();
        return static_cast<int>(code);
    }

    endivequay::Documents documents()
    {
        return endivequay::ConfigStore(store)
            .readDocuments(clock.now() + std::chrono::hours(1))
            ->documents;
    }

    endivequay::Configuration configuration()
    {
        return *endivequay::Configuration::fromDocuments(documents());
    }
};

/// A small valid configuration with the service "orders", the upstream "u1" and the team "desk".
inline nlohmann::json smallConfiguration()
{
    return nlohmann::json::parse(R"({
  "regions": [{"id": "gulf", "capacity": 100}, {"id": "ege", "capacity": 100}],
  "failure_domains": [{"id": "gulf-a", "region": "gulf"}, {"id": "ege-a", "region": "ege"}],
  "services": [{"id": "orders", "planned_rate": 100, "shift_cap": {"fraction": 0.4, "window_s": 60},
    "routes": [{"method": "GET", "path": "/", "access": "keyed"}]}],
  "upstreams": [{"id": "u1", "service": "orders", "failure_domain": "gulf-a",
    "address": "10.0.0.7:8080", "slots": 9, "connections": 300}],
  "teams": [{"id": "desk", "rate": 50, "burst": 100}]
})");
}

#endif
