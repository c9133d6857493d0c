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
    Address callers; ///< Where callers' requests arrive.
    Address directory; ///< Where callers ask for instances.
    Address ready; ///< Where the platform asks for readiness.
    Address control; ///< Where peers ask for state.
    Address heartbeats; ///< UDP.
    Address metrics;
    Address store;
    double linkMbps = 0; ///< Of the machine, megabits per second; 0: unknown.
    std::vector<Address> seeds; ///< Control addresses that may be stale.
    bool firstStart = false; ///< The whole system starts for the first time.
    RetryBudgetLimits budget;
    QuotaTolerance quota;
    Interval lookupLifetime = std::chrono::seconds(2); ///< Of a directory answer.
    Interval leaseTime = std::chrono::seconds(5); ///< Of the registration.
    Interval grace = std::chrono::seconds(6); ///< From the stop signal to the kill.
    double logLinesPerSecond = 150; ///< Of one event; 0 switches the log off.
};

} // namespace endivequay

#endif
