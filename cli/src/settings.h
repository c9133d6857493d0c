#ifndef ENDIVEQUAY_CLI_SETTINGS_H
#define ENDIVEQUAY_CLI_SETTINGS_H

#include "endivequay/clock.h"
#include "endivequay/result.h"
#include "endivequay/types.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivequay::cli {

enum class CommandId {
    Check,
    Diff,
    Apply,
    Status,
    KeyNew,
    KeyWithdraw,
    Drain,
    Shift,
    Timeline,
    Version,
    Completion,
    Help,
};

/// Name, help texts and accepted options of a command.
struct CommandInfo
{
    CommandId id {};
    std::string_view name; ///< For example "key new".
    std::string_view argument; ///< Name of its positional argument; empty if it has none.
    std::string_view summary;
    std::string_view details;
    std::vector<std::string_view> options; ///< Names in the option table, without "--".
};

/// All commands in the order of the help text.
const std::vector<CommandInfo> &allCommands();

/// Values of all options; a command uses those listed in its CommandInfo.
struct Settings
{
    std::vector<Address> store;
    std::vector<Address> instances;
    bool json = false;
    bool exitCode = false;
    bool undo = false;
    bool chrome = false;
    std::string by;
    Interval wait = std::chrono::seconds(30);
    std::string argument;
    std::string team;
    std::string keyId;
    std::string service;
    std::string from;
    std::string to;
    std::optional<double> fraction;
    std::string request;
    std::string upstream;
    std::string change;
    std::optional<Address> instance;
    std::string secret; ///< Shared with the instances; authenticates the operator to them.
};

/// A command with its settings.
struct Invocation
{
    const CommandInfo *command = nullptr;
    Settings settings;
};

/// Looks up an environment variable; no value if it is not set.
using Environment = std::function<std::optional<std::string>(const std::string &name)>;

/// Parses the arguments, which do not include the program name. "--help" becomes the command
/// "help".
Result<Invocation> parseArguments(
    const std::vector<std::string> &arguments, const Environment &environment);

/// The overview of all commands.
std::string overviewText();

/// The help of one command with its options.
std::string helpText(const CommandInfo &command);

/// Finds a command by its full name; nullptr if there is none.
const CommandInfo *findCommand(std::string_view name);

/// A completion script for bash.
std::string bashCompletion();

} // namespace endivequay::cli

#endif
