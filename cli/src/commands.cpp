#include "commands.h"

#include "session.h"

#include <ostream>

namespace endivequay::cli {

namespace {

ExitCode runHelp(const Session &session)
{
    const std::string &name = session.settings.argument;
    const CommandInfo *command = findCommand(name);
    if (name.empty())
        session.console.out << overviewText();
    else if (command != nullptr)
        session.console.out << helpText(*command);
    else
        return session.fail(
            ExitCode::Usage, { "usage", name, "is not a command; \"endivequay help\" lists them" });
    return ExitCode::Success;
}

ExitCode runVersion(const Session &session)
{
    session.printResult(
        { { "version", ENDIVEQUAY_VERSION } }, "endivequay " ENDIVEQUAY_VERSION "\n");
    return ExitCode::Success;
}

ExitCode runCompletion(const Session &session)
{
    if (session.settings.argument != "bash")
        return session.fail(
            ExitCode::Usage, { "usage", "completion", "only \"completion bash\" is supported" });
    session.console.out << bashCompletion();
    return ExitCode::Success;
}

ExitCode dispatch(CommandId id, const Session &session)
{
    switch (id) {
    case CommandId::Check:
        return runCheck(session);
    case CommandId::Diff:
        return runDiff(session);
    case CommandId::Apply:
        return runApply(session);
    case CommandId::Status:
        return runStatus(session);
    case CommandId::KeyNew:
        return runKeyNew(session);
    case CommandId::KeyWithdraw:
        return runKeyWithdraw(session);
    case CommandId::Drain:
        return runDrain(session);
    case CommandId::Shift:
        return runShift(session);
    case CommandId::Timeline:
        return runTimeline(session);
    case CommandId::Version:
        return runVersion(session);
    case CommandId::Completion:
        return runCompletion(session);
    case CommandId::Help:
        return runHelp(session);
    }
    return ExitCode::Usage;
}

} // namespace

ExitCode run(const std::vector<std::string> &arguments, const Environment &environment,
    Backend backend, const StoreConnector &connectStore, Console console)
{
    const auto invocation = parseArguments(arguments, environment);
    if (!invocation) {
        console.err << toString(invocation.lastReason()) << '\n';
        return ExitCode::Usage;
    }
    const Session session { invocation.value()->settings, backend, connectStore, console };
    return dispatch(invocation.value()->command->id, session);
}

} // namespace endivequay::cli
