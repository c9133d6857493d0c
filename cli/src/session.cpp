#include "session.h"

#include <fmt/format.h>

#include <ostream>

namespace endivequay::cli {

namespace {

using nlohmann::json;

// Operators change the configuration a few times a minute; more conflicts in a row mean that a
// program writes continuously.
constexpr int maxEditAttempts = 8;

std::string toHex(const std::string &bytes)
{
    std::string text;
    for (unsigned char byte : bytes)
        text += fmt::format("{:02x}", byte);
    return text;
}

ExitCode toExitCode(WriteOutcome outcome)
{
    switch (outcome) {
    case WriteOutcome::Done:
        return ExitCode::Success;
    case WriteOutcome::Conflict:
        return ExitCode::Conflict;
    case WriteOutcome::NotApplied:
        return ExitCode::Unreachable;
    case WriteOutcome::Unknown:
        break;
    }
    return ExitCode::Unknown;
}

void applyTo(Documents &documents, const DocumentChange &change)
{
    for (const auto &[name, text] : change.puts)
        documents[name] = text;
    for (const std::string &name : change.deletes)
        documents.erase(name);
}

SubmitResult submit(const Session &session, ConfigSnapshot &snapshot, const DocumentChange &change)
{
    Documents after = snapshot.documents;
    applyTo(after, change);
    ConfigChange submitted;
    submitted.id = ChangeId(toHex(session.backend.randomBytes(16)));
    submitted.by = session.settings.by;
    submitted.base = snapshot.head.revision;
    submitted.documents = after.size();
    for (const auto &[name, text] : change.puts)
        submitted.edits[name] = text;
    for (const std::string &name : change.deletes)
        submitted.edits[name] = std::nullopt;
    SubmitResult result = session.backend.submit(submitted);
    if (result.outcome == WriteOutcome::Done)
        snapshot = { result.head, std::move(after) };
    return result;
}

Submitted reportSubmitResult(const Session &session, const SubmitResult &result)
{
    if (result.outcome == WriteOutcome::Done)
        return { ExitCode::Success, result.head.revision };
    Error error = result.reason;
    if (result.outcome == WriteOutcome::Unknown)
        error.reason += "; the change may have been accepted, \"endivequay diff\" shows it";
    return { session.fail(toExitCode(result.outcome), error), {} };
}

/// Runs \a edit on \a documents and returns its change if the stored configuration, the resulting
/// one and the transition between them are valid.
Result<DocumentChange> editAndValidate(const Documents &documents, const Edit &edit)
{
    const auto base = Configuration::fromDocuments(documents);
    if (!base)
        return base.lastReason();
    const auto change = edit(documents);
    if (!change)
        return change.lastReason();
    const auto next = base.value()->withChange(*change);
    if (!next)
        return next.lastReason();
    const auto faults = checkTransition(*base, *next);
    if (!faults.empty())
        return faults.front();
    return *change;
}

std::string joinAddresses(const std::vector<Address> &addresses)
{
    std::string text;
    for (const Address &address : addresses)
        text += (text.empty() ? "" : ", ") + address.value();
    return text;
}

} // namespace

void Session::logLine(const std::string &line) const
{
    console.err << line << std::endl;
}

void Session::printResult(const json &value, const std::string &text) const
{
    if (settings.json)
        console.out << value.dump(1, ' ', false, json::error_handler_t::replace) << '\n';
    else
        console.out << text;
    console.out.flush();
}

ExitCode Session::fail(ExitCode code, const Error &error) const
{
    logLine(toString(error));
    if (settings.json)
        printResult({ { "exit_status", static_cast<int>(code) },
                        { "error",
                            { { "step", error.step }, { "peer", error.peer },
                                { "reason", error.reason } } } },
            "");
    return code;
}

std::string countOf(std::size_t count, const std::string &noun)
{
    return fmt::format("{} {}{}", count, noun, count == 1 ? "" : "s");
}

ExitCode readStore(const Session &session, ConfigSnapshot &snapshot)
{
    if (!session.backend.readDocuments) {
        const Status connected = session.connectStore(session.backend, session.settings);
        if (!connected)
            return session.fail(ExitCode::Usage, connected.lastReason());
    }
    auto read = session.backend.readDocuments();
    if (!read)
        return session.fail(ExitCode::Unreachable, read.lastReason());
    snapshot = *std::move(read);
    return ExitCode::Success;
}

Submitted submitChange(
    const Session &session, ConfigSnapshot &snapshot, const DocumentChange &change)
{
    return reportSubmitResult(session, submit(session, snapshot, change));
}

Submitted submitEdit(const Session &session, const Edit &edit)
{
    for (int attempt = 1;; ++attempt) {
        ConfigSnapshot snapshot;
        if (const ExitCode code = readStore(session, snapshot); code != ExitCode::Success)
            return { code, {} };
        const auto change = editAndValidate(snapshot.documents, edit);
        if (!change)
            return { session.fail(ExitCode::Refused, change.lastReason()), {} };
        if (change.value()->size() == 0)
            return { ExitCode::Success, snapshot.head.revision };
        const SubmitResult result = submit(session, snapshot, *change);
        if (result.outcome != WriteOutcome::Conflict || attempt == maxEditAttempts)
            return reportSubmitResult(session, result);
        session.logLine(toString(result.reason) + "; retrying");
    }
}

ExitCode waitForRollout(const Session &session, Revision revision, Instant deadline)
{
    if (session.settings.instances.empty()) {
        session.logLine(
            "no instances given (--instances); not waiting until the change is in force");
        return ExitCode::Success;
    }
    const RolloutStatus status = pollRollout(session.backend, session.settings.instances, revision,
        deadline, [&](const RolloutStatus &progress) {
            session.logLine(
                fmt::format("revision {}: in force on {}, not yet on {}, {} not reachable",
                    revision.value(), countOf(progress.upToDate.size(), "instance"),
                    progress.lagging.size(), progress.unreachable.size()));
        });
    if (!status.unreachable.empty())
        session.logLine("not reachable: " + joinAddresses(status.unreachable));
    if (status.upToDate.empty() && status.lagging.empty())
        return session.fail(ExitCode::Unfinished,
            { "config.wait", "", "the change is accepted, but no instance is reachable" });
    if (status.lagging.empty())
        return ExitCode::Success;
    return session.fail(ExitCode::Unfinished,
        { "config.wait", joinAddresses(status.lagging),
            "the change is accepted, but not in force yet" });
}

} // namespace endivequay::cli
