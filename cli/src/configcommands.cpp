#include "edits.h"
#include "session.h"

#include <fmt/format.h>

#include <istream>
#include <iterator>

namespace endivequay::cli {

namespace {

using nlohmann::json;

json toJson(const std::vector<Error> &errors)
{
    json list = json::array();
    for (const Error &error : errors)
        list.push_back({ { "path", error.peer }, { "reason", error.reason } });
    return list;
}

std::string toLines(const std::string &kind, const std::vector<Error> &errors)
{
    std::string text;
    for (const Error &error : errors)
        text += fmt::format("{}: {}: {}\n", kind, error.peer, error.reason);
    return text;
}

std::string summaryOf(const Configuration &configuration)
{
    return fmt::format("valid: {}, {}, {}, {}, {}, {}\n",
        countOf(configuration.regions().size(), "region"),
        countOf(configuration.domains().size(), "failure domain"),
        countOf(configuration.services().size(), "service"),
        countOf(configuration.upstreams().size(), "upstream"),
        countOf(configuration.teams().size(), "team"),
        countOf(configuration.clientBlockCount(), "client block"));
}

Result<Configuration> readInput(const Session &session, std::vector<Error> &errors)
{
    const std::string text { std::istreambuf_iterator<char>(session.console.in), {} };
    return Configuration::fromJson(text, &errors);
}

/// Reads the configuration on standard input; reports every error if it is invalid.
std::optional<Configuration> readValidInput(const Session &session)
{
    std::vector<Error> errors;
    auto configuration = readInput(session, errors);
    if (configuration)
        return *std::move(configuration);
    if (session.settings.json)
        session.printResult({ { "valid", false }, { "errors", toJson(errors) } }, "");
    session.console.err << toLines("error", errors);
    return std::nullopt;
}

/// Whether checkTransition() allows the change; reports its first error otherwise. An invalid
/// stored configuration must stay replaceable, so it is only logged.
bool isAllowedTransition(const Session &session, const Documents &from, const Configuration &to)
{
    const auto base = Configuration::fromDocuments(from);
    if (!base) {
        session.logLine("the stored configuration is invalid: " + toString(base.lastReason()));
        return true;
    }
    const std::vector<Error> faults = checkTransition(*base, to);
    if (!faults.empty())
        session.fail(ExitCode::Refused, faults.front());
    return faults.empty();
}

ExitCode submitAll(
    const Session &session, ConfigSnapshot &snapshot, const std::vector<DocumentChange> &changes)
{
    const Instant start = session.backend.now();
    for (std::size_t i = 0; i < changes.size(); ++i) {
        const Submitted submitted = submitChange(session, snapshot, changes[i]);
        if (submitted.code != ExitCode::Success) {
            if (i > 0)
                session.logLine(
                    fmt::format("{} of {} changes were accepted; run apply again for the "
                                "rest",
                        i, changes.size()));
            return submitted.code;
        }
        session.logLine(fmt::format("change {} of {} accepted: {}, revision {}", i + 1,
            changes.size(), countOf(changes[i].size(), "document"), submitted.revision.value()));
    }
    const Revision revision = snapshot.head.revision;
    const ExitCode code = waitForRollout(session, revision, start + session.settings.wait);
    if (code == ExitCode::Success)
        session.printResult({ { "revision", revision.value() }, { "changes", changes.size() } },
            fmt::format("revision {}\n", revision.value()));
    return code;
}

} // namespace

ExitCode runCheck(const Session &session)
{
    std::vector<Error> errors;
    const auto configuration = readInput(session, errors);
    const auto configWarnings = configuration ? warnings(*configuration) : std::vector<Error> {};
    session.console.err << toLines("error", errors) << toLines("warning", configWarnings);
    session.printResult({ { "valid", configuration.hasValue() }, { "errors", toJson(errors) },
                            { "warnings", toJson(configWarnings) } },
        configuration ? summaryOf(*configuration) : "");
    return configuration ? ExitCode::Success : ExitCode::Refused;
}

ExitCode runDiff(const Session &session)
{
    const auto wanted = readValidInput(session);
    if (!wanted)
        return ExitCode::Refused;
    ConfigSnapshot snapshot;
    if (const ExitCode code = readStore(session, snapshot); code != ExitCode::Success)
        return code;
    const DocumentChange change = diffDocuments(snapshot.documents, wanted->toDocuments());
    std::string text;
    for (const std::string &line : describeChange(snapshot.documents, change))
        text += line + '\n';
    json puts = json::array();
    for (const auto &[name, unused] : change.puts)
        puts.push_back(name);
    session.printResult({ { "revision", snapshot.head.revision.value() }, { "puts", puts },
                            { "deletes", change.deletes } },
        text);
    session.logLine(fmt::format("{} differ from revision {}", countOf(change.size(), "document"),
        snapshot.head.revision.value()));
    return change.size() > 0 && session.settings.exitCode ? ExitCode::Different : ExitCode::Success;
}

ExitCode runApply(const Session &session)
{
    const auto wanted = readValidInput(session);
    if (!wanted)
        return ExitCode::Refused;
    ConfigSnapshot snapshot;
    if (const ExitCode code = readStore(session, snapshot); code != ExitCode::Success)
        return code;
    if (!isAllowedTransition(session, snapshot.documents, *wanted))
        return ExitCode::Refused;
    const auto changes = splitChanges(snapshot.documents, wanted->toDocuments());
    if (!changes)
        return session.fail(ExitCode::Refused, changes.lastReason());
    session.console.err << toLines("warning", warnings(*wanted));
    if (changes.value()->empty())
        session.logLine("nothing to change");
    return submitAll(session, snapshot, *changes);
}

} // namespace endivequay::cli
