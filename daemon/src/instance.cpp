#include "instance.h"

#include "daemon.h"
#include "settings.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <pthread.h>
#include <unistd.h>

namespace endivequay {

namespace {

constexpr int exitInvalidSettings = 2;
constexpr int exitStartFailed = 3;

std::optional<std::string> readEnvironment(const std::string &name)
{
    const char *value = std::getenv(name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

/// Blocks SIGTERM and SIGINT, which awaitStop() receives with sigwait() instead of a handler.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// Blocks until a stop signal arrives or an operator requests a drain.
void awaitStop(Daemon &daemon, const sigset_t &signals)
{
    const std::jthread requested([&](const std::stop_token &stop) {
        daemon.awaitDrainRequest(stop);
        if (!stop.stop_requested())
            kill(getpid(), SIGTERM);
    });
    int signal = 0;
    sigwait(&signals, &signal);
}

int run(const Settings &settings)
{
    const sigset_t signals = blockStopSignals();
    auto daemon = Daemon::start(settings);
    if (!daemon) {
        fmt::print(stderr, "endivequayd: {}\n", toString(daemon.lastReason()));
        return exitStartFailed;
    }
    awaitStop(**daemon, signals);
    (*daemon)->drain();
    return 0;
}

} // namespace

int runInstance(const std::vector<std::string> &arguments)
{
    std::vector<Error> errors;
    const auto invocation = parseSettings(arguments, readEnvironment, &errors);
    if (!invocation) {
        for (const Error &error : errors)
            fmt::print(stderr, "endivequayd: {}\n", toString(error));
        return exitInvalidSettings;
    }
    switch (invocation->mode) {
    case Invocation::Mode::Help:
        fmt::print("{}", invocation->help);
        return 0;
    case Invocation::Mode::Version:
        fmt::print("endivequayd {}\n", ENDIVEQUAY_VERSION);
        return 0;
    case Invocation::Mode::CheckSettings:
        fmt::print("{}", describe(invocation->settings));
        return 0;
    case Invocation::Mode::Run:
        break;
    }
    return run(invocation->settings);
}

} // namespace endivequay
