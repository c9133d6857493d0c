#ifndef ENDIVEQUAY_CLI_SESSION_H
#define ENDIVEQUAY_CLI_SESSION_H

#include "commands.h"
#include "instances.h"

#include "endivequay/configuration.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace endivequay::cli {

/// Context of one command run: its settings, its access to the outside and its output.
struct Session
{
    const Settings &settings;
    Backend &backend;
    const StoreConnector &connectStore;
    Console &console;

    /// Writes a line to standard error.
    void logLine(const std::string &line) const;
    /// Prints \a value with --json, otherwise \a text, to standard output.
    void printResult(const nlohmann::json &value, const std::string &text) const;
    /// Reports \a error and returns \a code.
    ExitCode fail(ExitCode code, const Error &error) const;
};

/// Outcome of a submitted change.
struct Submitted
{
    ExitCode code = ExitCode::Success;
    Revision revision; ///< Set on success.
};

/// Connects to the store and reads all documents; reports an error and returns its exit code.
ExitCode readStore(const Session &session, ConfigSnapshot &snapshot);

/// Submits one change on top of \a snapshot and, on success, applies it to \a snapshot.
Submitted submitChange(
    const Session &session, ConfigSnapshot &snapshot, const DocumentChange &change);

/// Computes a change of the stored documents. Called again with newer documents after a conflict.
using Edit = std::function<Result<DocumentChange>(const Documents &)>;

/// Reads the store, edits, validates and submits; retries after a conflict. An edit without effect
/// succeeds with the current revision.
Submitted submitEdit(const Session &session, const Edit &edit);

/// Waits until every reachable instance applies \a revision and reports those that do not. Returns
/// at once if no instances are given.
ExitCode waitForRollout(const Session &session, Revision revision, Instant deadline);

/// Formats a count with its noun: "1 document", "2 documents".
std::string countOf(std::size_t count, const std::string &noun);

ExitCode runCheck(const Session &session);
ExitCode runDiff(const Session &session);
ExitCode runApply(const Session &session);
ExitCode runStatus(const Session &session);
ExitCode runKeyNew(const Session &session);
ExitCode runKeyWithdraw(const Session &session);
ExitCode runDrain(const Session &session);
ExitCode runShift(const Session &session);
ExitCode runTimeline(const Session &session);

} // namespace endivequay::cli

#endif
