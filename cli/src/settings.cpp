#include "settings.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace endivequay::cli {

namespace {

namespace options = boost::program_options;

struct Option
{
    std::string_view name;
    bool takesValue = false;
    std::string_view description;
};

constexpr std::array<Option, 18> optionTable { {
    { "store", true, "store endpoints ip:port, comma separated (environment: ENDIVEQUAY_STORE)" },
    { "instances", true,
        "instances ip:port, comma separated (environment: ENDIVEQUAY_INSTANCES); others are "
        "discovered through them" },
    { "json", false, "print the result as JSON" },
    { "by", true, "name of the operator, recorded with the change (environment: USER)" },
    { "wait", true, "longest wait in seconds until the change is in force (default: 30)" },
    { "exit-code", false, "exit with status 6 if there is a difference" },
    { "undo", false, "put the upstream back into service" },
    { "instance", true,
        "drain this instance ip:port instead of an upstream; needs ENDIVEQUAY_SECRET" },
    { "team", true, "id of the team" },
    { "id", true, "id of the key" },
    { "service", true, "id of the service" },
    { "from", true, "region that the client blocks belong to" },
    { "to", true, "region that they move to" },
    { "fraction", true, "target fraction of the client blocks that have moved, from 0 to 1" },
    { "request", true, "only events of this request" },
    { "upstream", true, "only events of this upstream" },
    { "change", true, "only events of this configuration change" },
    { "chrome", false, "print trace events for the Chrome trace viewer" },
} };

const Option &findOption(std::string_view name)
{
    return *std::ranges::find(optionTable, name, &Option::name);
}

options::options_description describeOptions(const CommandInfo &command)
{
    options::options_description description("Options");
    for (std::string_view name : command.options) {
        const Option &option = findOption(name);
        const std::string text(option.description);
        const std::string optionName(option.name);
        if (option.takesValue)
            description.add_options()(
                optionName.c_str(), options::value<std::string>(), text.c_str());
        else
            description.add_options()(optionName.c_str(), text.c_str());
    }
    description.add_options()("help", "print this text");
    return description;
}

Error usageError(std::string subject, std::string reason)
{
    return { "usage", std::move(subject), std::move(reason) };
}

bool isAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    int port = 0;
    const auto [end, error]
        = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    return error == std::errc() && end == text.data() + text.size() && port >= 1 && port <= 65'535;
}

Result<std::vector<Address>> parseAddresses(const std::string &option, const std::string &list)
{
    std::vector<Address> addresses;
    std::istringstream stream(list);
    for (std::string text; std::getline(stream, text, ',');) {
        if (!isAddress(text))
            return usageError(option, "\"" + text + "\" is not an address like 10.0.0.7:8080");
        addresses.emplace_back(text);
    }
    return addresses;
}

Result<double> parseNumber(
    const std::string &option, const std::string &text, double minimum, double maximum)
{
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()
        || !(value >= minimum && value <= maximum))
        return usageError(option,
            fmt::format("must be a number from {} to {}, not \"{}\"", minimum, maximum, text));
    return value;
}

/// Reads settings from the parsed options and, for options not given, from the environment.
class SettingsReader
{
public:
    SettingsReader(const CommandInfo &command, const options::variables_map &found,
        const Environment &environment)
        : command_(command)
        , found_(found)
        , environment_(environment)
    { }

    Result<Settings> read()
    {
        Settings settings;
        settings.json = found_.contains("json");
        settings.exitCode = found_.contains("exit-code");
        settings.undo = found_.contains("undo");
        settings.chrome = found_.contains("chrome");
        settings.store = addresses("store", "ENDIVEQUAY_STORE");
        settings.instances = addresses("instances", "ENDIVEQUAY_INSTANCES");
        settings.by = text("by", "USER").value_or("unknown");
        settings.wait = fromSeconds(number("wait", 0, 86'400).value_or(toSeconds(settings.wait)));
        settings.fraction = number("fraction", 0, 1);
        const auto instance = addresses("instance", {});
        if (!instance.empty())
            settings.instance = instance.front();
        settings.secret = environment_("ENDIVEQUAY_SECRET").value_or("");
        settings.argument = text("argument").value_or("");
        settings.team = text("team").value_or("");
        settings.keyId = text("id").value_or("");
        settings.service = text("service").value_or("");
        settings.from = text("from").value_or("");
        settings.to = text("to").value_or("");
        settings.request = text("request").value_or("");
        settings.upstream = text("upstream").value_or("");
        settings.change = text("change").value_or("");
        if (error_)
            return *error_;
        return settings;
    }

private:
    std::optional<std::string> text(const std::string &option, const std::string &variable = {})
    {
        if (found_.contains(option))
            return found_[option].as<std::string>();
        const bool isAccepted
            = std::ranges::find(command_.options, option) != command_.options.end();
        return variable.empty() || !isAccepted ? std::nullopt : environment_(variable);
    }

    std::vector<Address> addresses(const std::string &option, const std::string &variable)
    {
        const std::string source
            = found_.contains(option) || variable.empty() ? "--" + option : variable;
        auto list = parseAddresses(source, text(option, variable).value_or(""));
        if (list)
            return *std::move(list);
        error_ = list.lastReason();
        return {};
    }

    std::optional<double> number(const std::string &option, double minimum, double maximum)
    {
        const auto given = text(option);
        if (!given)
            return std::nullopt;
        const auto value = parseNumber("--" + option, *given, minimum, maximum);
        if (!value)
            error_ = value.lastReason();
        return value.value();
    }

    const CommandInfo &command_;
    const options::variables_map &found_;
    const Environment &environment_;
    std::optional<Error> error_;
};

/// Finds the command at the start of \a arguments and removes its one or two words from them.
const CommandInfo *extractCommand(std::vector<std::string> &arguments)
{
    for (std::size_t words : { 2, 1 }) {
        if (arguments.size() < words)
            continue;
        const std::string name = words == 2 ? arguments[0] + " " + arguments[1] : arguments[0];
        if (const CommandInfo *command = findCommand(name)) {
            arguments.erase(
                arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(words));
            return command;
        }
    }
    return nullptr;
}

Result<Invocation> parseOptions(const CommandInfo &command,
    const std::vector<std::string> &arguments, const Environment &environment)
{
    options::options_description all = describeOptions(command);
    options::positional_options_description positional;
    if (!command.argument.empty()) {
        all.add_options()("argument", options::value<std::string>());
        positional.add("argument", 1);
    }
    options::variables_map found;
    try {
        constexpr int style = options::command_line_style::unix_style
            & ~options::command_line_style::allow_guessing;
        options::store(options::command_line_parser(arguments)
                           .options(all)
                           .positional(positional)
                           .style(style)
                           .run(),
            found);
    } catch (const options::error &error) {
        return usageError(std::string(command.name), error.what());
    }
    if (found.contains("help")) {
        Settings settings;
        settings.argument = command.name;
        return Invocation { findCommand("help"), settings };
    }
    auto settings = SettingsReader(command, found, environment).read();
    if (!settings)
        return settings.lastReason();
    return Invocation { &command, *std::move(settings) };
}

} // namespace

Result<Invocation> parseArguments(
    const std::vector<std::string> &arguments, const Environment &environment)
{
    std::vector<std::string> rest = arguments;
    if (rest.empty() || rest.front() == "--help" || rest.front() == "-h")
        return Invocation { findCommand("help"), {} };
    if (rest.front() == "--version")
        return Invocation { findCommand("version"), {} };
    // The command name after "help" may have two words.
    if (rest.front() == "help" && rest.size() == 3)
        rest = { "help", rest[1] + " " + rest[2] };
    const CommandInfo *command = extractCommand(rest);
    if (command == nullptr && rest.front().starts_with('-'))
        return usageError(
            rest.front(), "the command must come first, for example: endivequay status --json");
    if (command == nullptr)
        return usageError(rest.front(), "is not a command; \"endivequay help\" lists them");
    return parseOptions(*command, rest, environment);
}

const CommandInfo *findCommand(std::string_view name)
{
    const auto found = std::ranges::find(allCommands(), name, &CommandInfo::name);
    return found == allCommands().end() ? nullptr : &*found;
}

std::string helpText(const CommandInfo &command)
{
    std::ostringstream text;
    text << "endivequay " << command.name;
    if (!command.argument.empty())
        text << ' ' << command.argument;
    text << " [options]\n\n" << command.details << "\n\n" << describeOptions(command);
    return text.str();
}

std::string overviewText()
{
    std::string text = "endivequay checks and changes the configuration of a fleet and shows its "
                       "state.\n\nUsage: endivequay COMMAND [options]\n\nCommands:\n";
    for (const CommandInfo &command : allCommands())
        text += fmt::format("  {:14}{}\n", command.name, command.summary);
    text += "\nExample:\n"
            "  export ENDIVEQUAY_STORE=10.0.0.1:2379 ENDIVEQUAY_INSTANCES=10.0.0.7:8080\n"
            "  ./my-configuration | endivequay check\n"
            "  ./my-configuration | endivequay diff\n"
            "  ./my-configuration | endivequay apply\n"
            "  endivequay status\n\n"
            "\"endivequay help COMMAND\" shows the help of one command.\n\n"
            "Exit status: 0 success, 1 refused, 2 wrong usage, 3 conflict with another change,\n"
            "4 store or instances not reachable, 5 accepted but not finished in time,\n"
            "6 differences found (diff --exit-code), 7 outcome unknown.\n";
    return text;
}

std::string bashCompletion()
{
    std::string firstWords;
    std::string cases;
    for (const CommandInfo &command : allCommands()) {
        const std::string word(command.name.substr(0, command.name.find(' ')));
        if (firstWords.find(" " + word + " ") == std::string::npos)
            firstWords += " " + word + " ";
        std::string words = "--help";
        for (std::string_view option : command.options)
            words += fmt::format(" --{}", option);
        cases += fmt::format("        \"{}\"*) words=\"{}\" ;;\n", command.name, words);
    }
    return "_endivequay()\n{\n    local words\n"
           "    local current=\"${COMP_WORDS[COMP_CWORD]}\"\n"
           "    if ((COMP_CWORD == 1)); then\n        words=\""
        + firstWords
        + "\"\n    elif ((COMP_CWORD == 2)) && [[ ${COMP_WORDS[1]} == key ]]; then\n"
          "        words=\"new withdraw\"\n    else\n"
          "        case \"${COMP_WORDS[*]:1}\" in\n"
        + cases
        + "        esac\n    fi\n    COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n}\n"
          "complete -F _endivequay endivequay\n";
}

} // namespace endivequay::cli
