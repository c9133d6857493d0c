#include "settings.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <sstream>

namespace endivequay {

namespace {

namespace po = boost::program_options;

constexpr std::size_t minSecretBytes = 16;

struct HostPort
{
    std::string host;
    int port = 0;
};

std::optional<HostPort> splitAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return std::nullopt;
    int port = 0;
    const char *begin = text.data() + colon + 1;
    const char *end = text.data() + text.size();
    const auto [last, error] = std::from_chars(begin, end, port);
    if (error != std::errc() || last != end || port < 0 || port > 65535)
        return std::nullopt;
    return HostPort { text.substr(0, colon), port };
}

Address withPortOffset(const Address &address, int offset)
{
    const auto parts = splitAddress(address.value());
    return parts ? Address(fmt::format("{}:{}", parts->host, parts->port + offset)) : Address();
}

po::options_description makeOptionDescriptions()
{
    po::options_description table("Settings (flag --x-y, environment variable ENDIVEQUAY_X_Y)");
    const auto text = [] { return po::value<std::string>(); };
    auto add = table.add_options();
    add("help", "print this help");
    add("version", "print the version");
    add("check-settings", "check the settings, print them and exit");
    add("listen", text()->default_value("127.0.0.1:8400"),
        "address for callers, ip:port; peer links use the next port");
    add("advertise", text()->default_value(""), "address that others use, default: --listen");
    add("name", text()->default_value(""), "name in logs and timeline, default: --advertise");
    add("failure-domain", text()->default_value(""), "failure domain of this instance (required)");
    add("store", text()->default_value(""), "endpoints of the store, ip:port,... (required)");
    add("store-domain", text()->default_value(""), "a failure domain of the store's region");
    add("list", text()->default_value(""), "address of the platform's membership list, ip:port");
    add("cluster", text()->default_value("endivequay"), "name that all instances share");
    add("secret-file", text()->default_value(""),
        "file with the shared secret, at least 16 bytes; or environment ENDIVEQUAY_SECRET");
    add("workers", po::value<int>()->default_value(64), "threads that wait for upstreams");
    add("io-threads", po::value<int>()->default_value(2), "threads that serve connections");
    add("timeline", po::value<int>()->default_value(20'000), "events kept in the timeline");
    add("client-header", text()->default_value(""),
        "header that carries the client's address; set it only behind a trusted proxy");
    add("drain-limit", po::value<int>()->default_value(60),
        "seconds that a graceful shutdown may wait for requests and cells");
    add("log-requests", po::value<bool>()->default_value(false), "log an event for each request");
    add("policy", po::value<bool>()->default_value(true),
        "false: no limits and no queue, as a baseline for benchmarks only");
    return table;
}

/// Environment variable of a flag: ENDIVEQUAY_ and the flag in upper case, with '_' for '-'.
std::string environmentVariableOf(std::string flag)
{
    std::ranges::transform(flag, flag.begin(),
        [](char c) { return c == '-' ? '_' : static_cast<char>(std::toupper(c)); });
    return "ENDIVEQUAY_" + flag;
}

po::variables_map parseOptions(const po::options_description &table,
    const std::vector<std::string> &arguments, const Environment &environment)
{
    po::variables_map values;
    // Abbreviated flags are off, so that a misspelled flag is not taken for the prefix of another
    // one.
    namespace style = po::command_line_style;
    po::store(po::command_line_parser(arguments)
                  .options(table)
                  .style(style::unix_style & ~style::allow_guessing)
                  .run(),
        values);
    po::parsed_options variables(&table);
    for (const auto &option : table.options()) {
        if (const auto value = environment(environmentVariableOf(option->long_name())))
            variables.options.emplace_back(option->long_name(), std::vector { *value });
    }
    po::store(variables, values);
    po::notify(values);
    return values;
}

/// Reads and validates option values. Collects all errors, so that an operator can fix them at
/// once.
class SettingsValidator
{
public:
    SettingsValidator(const po::variables_map &values, std::vector<Error> &errors)
        : values_(values)
        , errors_(errors)
    { }

    void addError(const std::string &flag, const std::string &reason)
    {
        errors_.push_back({ "settings.check", "--" + flag, reason });
    }

    std::string text(const std::string &flag) { return values_[flag].as<std::string>(); }

    std::string required(const std::string &flag)
    {
        if (text(flag).empty())
            addError(flag, "is required");
        return text(flag);
    }

    int number(const std::string &flag, int minimum, int maximum)
    {
        const int value = values_[flag].as<int>();
        if (value < minimum || value > maximum)
            addError(flag, fmt::format("must be from {} to {}", minimum, maximum));
        return value;
    }

    std::optional<Address> address(const std::string &flag)
    {
        if (text(flag).empty())
            return std::nullopt;
        checkAddress(flag, text(flag));
        return Address(text(flag));
    }

    std::vector<Address> addresses(const std::string &flag)
    {
        std::vector<Address> all;
        std::istringstream parts(required(flag));
        for (std::string part; std::getline(parts, part, ',');) {
            checkAddress(flag, part);
            all.emplace_back(part);
        }
        return all;
    }

    std::string secret(const Environment &environment)
    {
        const std::string file = text("secret-file");
        std::string secret = environment("ENDIVEQUAY_SECRET").value_or("");
        if (!file.empty()) {
            std::ifstream stream(file, std::ios::binary);
            if (!stream)
                addError("secret-file", "cannot be read");
            secret.assign(std::istreambuf_iterator<char>(stream), {});
            while (secret.ends_with('\n') || secret.ends_with('\r'))
                secret.pop_back();
        }
        if (secret.size() < minSecretBytes)
            addError("secret-file", "the shared secret must have at least 16 bytes");
        return secret;
    }

private:
    void checkAddress(const std::string &flag, const std::string &text)
    {
        if (!splitAddress(text))
            addError(flag, fmt::format("'{}' is not ip:port", text));
    }

    const po::variables_map &values_;
    std::vector<Error> &errors_;
};

Settings validateSettings(
    const po::variables_map &values, const Environment &environment, std::vector<Error> &errors)
{
    SettingsValidator validator(values, errors);
    Settings settings;
    settings.listen = validator.address("listen").value_or(Address());
    settings.advertise = validator.address("advertise").value_or(settings.listen);
    const auto parts = splitAddress(settings.advertise.value());
    if (parts && (parts->port == 0 || parts->port == 65535))
        validator.addError(
            "listen", "the port must be from 1 to 65534, peer links use the next one");
    settings.name = validator.text("name");
    if (settings.name.empty())
        settings.name = settings.advertise.value();
    settings.failureDomain = FailureDomainId(validator.required("failure-domain"));
    settings.storeEndpoints = validator.addresses("store");
    if (const auto domain = validator.text("store-domain"); !domain.empty())
        settings.storeDomain = FailureDomainId(domain);
    settings.membershipList = validator.address("list");
    settings.cluster = validator.required("cluster");
    settings.secret = validator.secret(environment);
    settings.workers = validator.number("workers", 1, 4096);
    settings.ioThreads = validator.number("io-threads", 1, 64);
    settings.timelineCapacity
        = static_cast<std::size_t>(validator.number("timeline", 100, 1'000'000));
    settings.clientHeader = validator.text("client-header");
    settings.drainTimeout = std::chrono::seconds(validator.number("drain-limit", 1, 3600));
    settings.logRequests = values["log-requests"].as<bool>();
    settings.policyDisabled = !values["policy"].as<bool>();
    return settings;
}

} // namespace

Result<Invocation> parseSettings(const std::vector<std::string> &arguments,
    const Environment &environment, std::vector<Error> *errors)
{
    const auto table = makeOptionDescriptions();
    po::variables_map values;
    try {
        values = parseOptions(table, arguments, environment);
    } catch (const po::error &error) {
        errors->push_back({ "settings.read", "", error.what() });
        return errors->front();
    }
    Invocation invocation;
    if (values.count("help") != 0) {
        std::ostringstream help;
        help << "endivequayd: entry instance of endivequay\n\n" << table;
        invocation.mode = Invocation::Mode::Help;
        invocation.help = help.str();
        return invocation;
    }
    if (values.count("version") != 0) {
        invocation.mode = Invocation::Mode::Version;
        return invocation;
    }
    if (values.count("check-settings") != 0)
        invocation.mode = Invocation::Mode::CheckSettings;
    invocation.settings = validateSettings(values, environment, *errors);
    if (!errors->empty())
        return errors->front();
    return invocation;
}

std::string describe(const Settings &settings)
{
    std::vector<std::string> store;
    std::ranges::transform(settings.storeEndpoints, std::back_inserter(store),
        [](const Address &address) { return address.value(); });
    return fmt::format("name = {}\nlisten = {}\nadvertise = {}\nfailure-domain = {}\nstore = {}\n"
                       "list = {}\ncluster = {}\nsecret = (set)\nworkers = {}\nio-threads = {}\n"
                       "timeline = {}\ndrain-limit = {}\n",
        settings.name, settings.listen.value(), settings.advertise.value(),
        settings.failureDomain.value(), fmt::join(store, ","),
        settings.membershipList ? settings.membershipList->value() : "(none)", settings.cluster,
        settings.workers, settings.ioThreads, settings.timelineCapacity,
        toSeconds(settings.drainTimeout));
}

Address peerAddressOf(const Address &callerAddress)
{
    return withPortOffset(callerAddress, 1);
}

Address callerAddressOf(const Address &peerAddress)
{
    return withPortOffset(peerAddress, -1);
}

} // namespace endivequay
