#ifndef ENDIVEQUAY_DAEMON_SETTINGS_H
#define ENDIVEQUAY_DAEMON_SETTINGS_H

#include "endivequay/clock.h"
#include "endivequay/result.h"
#include "endivequay/types.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace endivequay {

/// Settings of an instance, from flags and environment variables. A flag goes before its variable.
struct Settings
{
    std::string name; ///< Name of the process in logs and the time line.
    Address listen; ///< Callers' address to bind. The peer links use the next port.
    Address advertise; ///< Address under which callers and peers reach the instance.
    FailureDomainId domain;
    std::vector<Address> store; ///< Endpoints of the store.
    std::optional<FailureDomainId> storeDomain; ///< A failure domain of the store's region.
    std::optional<Address> list; ///< The platform's membership list.
    std::string cluster;
    std::string secret; ///< Shared secret of the instances; never logged.
    int workers = 0;
    int ioThreads = 0;
    std::size_t timelineCapacity = 0;
    std::string clientHeader; ///< Header with the client's address; empty: the connection's.
    Interval drainLimit {}; ///< Longest time that a planned stop waits for requests and cells.
    bool logRequests = false;
    bool policyOff = false; ///< Benchmark baseline: no limits and no queue.
};

/// What the command line asks for.
struct Invocation
{
    enum class Mode { Run, CheckSettings, Help, Version };

    Mode mode = Mode::Run;
    Settings settings; ///< Valid for Run and CheckSettings.
    std::string help; ///< Text for Help.
};

/// Value of an environment variable, if it is set.
using Environment = std::function<std::optional<std::string>(const std::string &)>;

/// Reads flags and environment. \a errors receives every fault; the first one is returned.
Result<Invocation> parseSettings(const std::vector<std::string> &arguments,
    const Environment &environment, std::vector<Error> *errors);

/// The settings as "flag = value" lines; the secret is shown as "(set)".
std::string describe(const Settings &settings);

/// Address of the peer link of the instance at \a callers: the next port.
Address peerAddressOf(const Address &callers);
/// Inverse of peerAddressOf().
Address callerAddressOf(const Address &peers);

} // namespace endivequay

#endif
