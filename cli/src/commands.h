#ifndef ENDIVEQUAY_CLI_COMMANDS_H
#define ENDIVEQUAY_CLI_COMMANDS_H

#include "backend.h"
#include "settings.h"

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace endivequay::cli {

/// Exit status of the program; docs/cli.md documents the numbers.
enum class ExitCode {
    Success = 0,
    Refused = 1, ///< The configuration or the request is invalid.
    Usage = 2,
    Conflict = 3, ///< Another change was accepted first.
    Unreachable = 4, ///< The store, or every instance, does not respond; nothing was changed.
    Unfinished = 5, ///< Accepted, but not in force or not drained in time.
    Different = 6, ///< diff --exit-code found a difference.
    Unknown = 7, ///< A change may have been accepted.
};

/// Streams of the process.
struct Console
{
    std::istream &in;
    std::ostream &out; ///< Results.
    std::ostream &err; ///< Progress, warnings and errors.
};

/// Connects a backend to the store given in the settings.
using StoreConnector = std::function<Status(Backend &, const Settings &)>;

/// Runs one command; \a arguments do not include the program name.
ExitCode run(const std::vector<std::string> &arguments, const Environment &environment,
    Backend backend, const StoreConnector &connectStore, Console console);

} // namespace endivequay::cli

#endif
