#ifndef ENDIVEQUAY_ENTRYSETTINGS_H
#define ENDIVEQUAY_ENTRYSETTINGS_H

#include "endivequay/clock.h"
#include "endivequay/fleetquota.h"
#include "endivequay/fleetretrybudget.h"

#include <map>
#include <string>
#include <vector>

namespace endivequay {

/// Settings of an entry instance that runs on the event loop.
struct EntrySettings
{
    InstanceId name;
    FailureDomainId domain;
    RegionId region;
    std::map<FailureDomainId, RegionId> regions; ///< Region of each failure domain.
    Address callers; ///< Listens for callers' requests.
    Address directory; ///< Listens for directory lookups of callers.
    Address ready; ///< Listens for readiness probes of the platform.
    Address control; ///< Listens for state requests of peers.
    Address heartbeats; ///< UDP address for messages between instances.
    Address metrics;
    Address store;
    double linkMbps = 0; ///< Bandwidth of the machine in Mbit/s; 0: unknown.
    double cores = 0; ///< Processor cores of the machine, with fractions; 0: unknown.
    std::size_t memoryBytes = 0; ///< Memory of the machine; 0: unknown.
    std::size_t descriptors = 0; ///< Descriptors that the process may open; 0: unknown.
    std::vector<Address> seeds; ///< Control addresses of initial peers; may be stale.
    bool firstStart = false; ///< Initial start of the fleet: no peer has state.
    RetryBudgetLimits budget;
    QuotaTolerance quota;
    Interval lookupLifetime
        = std::chrono::seconds(2); ///< How long callers may cache a directory response.
    Interval leaseTime = std::chrono::seconds(10); ///< Lifetime of the registration lease.
    /// Once the store can be reached again, changes in it are in use within this time.
    Interval storeRecoveryTime = std::chrono::seconds(3);
    /// Changes in the store are in use on all instances within this time.
    Interval changeTime = std::chrono::milliseconds(2500);
    Interval shutdownGracePeriod
        = std::chrono::seconds(6); ///< From the stop signal until the process is killed.
    double logLinesPerSecond = 150; ///< Limit per event type; 0 disables the log.
};

} // namespace endivequay

#endif
