#ifndef ENDIVEQUAY_EXAMPLES_DEMO_H
#define ENDIVEQUAY_EXAMPLES_DEMO_H

#include "endivequay/digest.h"
#include "endivequay/operators.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Shared by the example programs: command line, upstreams on the loopback address, demo keys.
namespace demo {

struct Settings
{
    int basePort = 21'000;
    std::optional<int> upstreamsPerService;
    std::string keyPrefix; ///< Team t gets the key "<prefix>-t"; no key if empty.
    std::map<std::string, std::string> keys; ///< By team; take precedence over keyPrefix.
};

/// Parses the command line. Returns none after --help; exits with status 2 on an error.
inline std::optional<Settings> parse(int argc, char **argv)
{
    namespace options = boost::program_options;
    Settings settings;
    std::vector<std::string> keys;
    int upstreams = 0;
    options::options_description description("Prints the configuration as JSON. Options");
    auto add = description.add_options();
    add("help", "print this text");
    add("base-port", options::value(&settings.basePort)->default_value(settings.basePort),
        "upstream i listens on 127.0.0.1:base-port+i");
    add("upstreams-per-service", options::value(&upstreams), "fewer upstreams for a small demo");
    add("key-prefix", options::value(&settings.keyPrefix), "team t gets the key PREFIX-t");
    add("key", options::value(&keys)->composing(), "TEAM=KEY, may be repeated");
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments);
        options::notify(arguments);
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n';
        std::exit(2);
    }
    if (arguments.contains("help")) {
        std::cout << description;
        return std::nullopt;
    }
    if (arguments.contains("upstreams-per-service"))
        settings.upstreamsPerService = upstreams;
    for (const std::string &key : keys) {
        const auto equals = key.find('=');
        if (equals == std::string::npos || equals + 1 == key.size()) {
            std::cerr << "--key: \"" << key << "\" is not TEAM=KEY\n";
            std::exit(2);
        }
        settings.keys[key.substr(0, equals)] = key.substr(equals + 1);
    }
    return settings;
}

/// Adds regions, upstreams and teams to a fleet. Upstream ports count up from the base port.
class Deployment
{
public:
    Deployment(endivequay::operators::Fleet &fleet, Settings settings)
        : fleet_(fleet)
        , settings_(std::move(settings))
        , port_(settings_.basePort)
    { }

    /// Adds a region with two failure domains "<id>-a" and "<id>-b", whose clients are in
    /// 10.<block>.0.0/16 and 10.<block + 1>.0.0/16.
    void region(const std::string &id, double capacity, endivequay::Interval domainDelay)
    {
        const std::string a = id + "-a";
        const std::string b = id + "-b";
        fleet_.region(id).capacity(capacity).domain(a).domain(b);
        fleet_.domainDelay(a, b, domainDelay);
        for (const std::string &domain : { a, b }) {
            domains_.push_back(domain);
            fleet_.clientBlock("10." + std::to_string(domains_.size()) + ".0.0/16", domain);
        }
    }

    /// Adds \a count upstreams of \a service, spread evenly over the failure domains.
    void upstreams(const std::string &service, int count, int slots, int connections)
    {
        count = std::min(count, settings_.upstreamsPerService.value_or(count));
        for (int i = 0; i < count; ++i) {
            const std::string &domain = domains_[static_cast<std::size_t>(i) % domains_.size()];
            fleet_
                .upstream(service, service + "-" + std::to_string(i + 1), domain,
                    "127.0.0.1:" + std::to_string(port_++))
                .slots(slots)
                .connections(connections);
        }
    }

    void team(const std::string &id, double rate, double burst)
    {
        auto team = fleet_.team(id).rate(rate).burst(burst);
        const auto configuredKey = settings_.keys.find(id);
        if (configuredKey != settings_.keys.end())
            team.key("demo", endivequay::sha256Hex(configuredKey->second));
        else if (!settings_.keyPrefix.empty())
            team.key("demo", endivequay::sha256Hex(settings_.keyPrefix + "-" + id));
        settings_.keys.erase(id);
    }

    /// Prints the configuration and returns the exit status. A key of an unknown team is an error.
    int print() const
    {
        for (const auto &[team, key] : settings_.keys)
            std::cerr << "--key: there is no team \"" << team << "\"\n";
        return settings_.keys.empty() ? endivequay::operators::print(fleet_, std::cout, std::cerr)
                                      : 2;
    }

private:
    endivequay::operators::Fleet &fleet_;
    Settings settings_;
    int port_;
    std::vector<std::string> domains_;
};

} // namespace demo

#endif
