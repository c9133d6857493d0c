#ifndef ENDIVEQUAY_CLI_SESSION_H
#define ENDIVEQUAY_CLI_SESSION_H

#include "commands.h"
#include "instances.h"

#include "endivequay/configuration.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace endivequay::cli {

/// One run of a command: its settings, its surroundings and what commands have in common.
struct Session
{
    const Settings &settings;
    Backend &backend;
    const StoreConnector &connectStore;
    Console &console;

    /// A line on standard error.
    void note(const std::string &line) const;
    /// \a value with --json, otherwise \a text.
    void result(const nlohmann::json &value, const std::string &text) const;
    /// Reports \a error and returns \a code.
    ExitCode fail(ExitCode code, const Error &error) const;
};

/// What became of a submitted change.
struct Submitted
{
    ExitCode code = ExitCode::Success;
    Revision revision; ///< Set on success.
};

/// Connects the store and reads all documents, or reports why not.
ExitCode readStore(const Session &session, ConfigSnapshot &snapshot);

/// Submits one change on top of \a snapshot and, on success, applies it to \a snapshot.
Submitted submitChange(
    const Session &session, ConfigSnapshot &snapshot, const DocumentChange &change);

/// An edit of the stored documents; it is repeated on new documents after a conflict.
using Edit = std::function<Result<DocumentChange>(const Documents &)>;

/// Reads, edits, checks and submits. An edit without effect succeeds with the present revision.
Submitted submitEdit(const Session &session, const Edit &edit);

/// Waits until \a revision is in force and reports where it is not.
ExitCode awaitInForce(const Session &session, Revision revision, Instant deadline);

/// "1 document", "2 documents".
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
