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

/// Settings of an instance, from flags and environment variables. A flag takes precedence over its
/// variable.
struct Settings
{
    std::string name; ///< Name of the process in logs and the timeline.
    Address listen; ///< Address to bind for callers. Peer links use the next port.
    Address advertise; ///< Address under which callers and peers reach the instance.
    FailureDomainId failureDomain;
    std::vector<Address> storeEndpoints;
    std::optional<FailureDomainId> storeDomain; ///< Any failure domain in the store's region.
    std::optional<Address> membershipList; ///< Server of the platform's membership list.
    std::string cluster; ///< Name that all instances share.
    std::string secret; ///< Shared secret of the instances; never logged.
    int workers = 0; ///< Threads that block on upstream requests.
    int ioThreads = 0; ///< Threads of the HTTP server.
    std::size_t timelineCapacity = 0; ///< Number of events kept.
    std::string clientHeader; ///< Header with the client's address; empty: use the connection's.
    /// Longest time that a graceful shutdown waits for requests and cells.
    Interval drainTimeout {};
    bool logRequests = false; ///< Log an event for each request.
    bool policyDisabled = false; ///< Benchmark baseline: no limits and no queue.
};

/// Parsed command line.
struct Invocation
{
    enum class Mode { Run, CheckSettings, Help, Version };

    Mode mode = Mode::Run;
    Settings settings; ///< Valid for Run and CheckSettings.
    std::string help; ///< Help text; set for Help only.
};

/// Returns the value of an environment variable, or nullopt if it is not set.
using Environment = std::function<std::optional<std::string>(const std::string &)>;

/// Parses flags and environment variables. Appends every error to \a errors and returns the first.
Result<Invocation> parseSettings(const std::vector<std::string> &arguments,
    const Environment &environment, std::vector<Error> *errors);

/// Lists the settings as "flag = value" lines; the secret is shown as "(set)".
std::string describe(const Settings &settings);

/// Address for peer links of the instance that serves callers at \a callerAddress: the next port.
Address peerAddressOf(const Address &callerAddress);
/// Inverse of peerAddressOf().
Address callerAddressOf(const Address &peerAddress);

} // namespace endivequay

#endif
