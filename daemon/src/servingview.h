#ifndef ENDIVEQUAY_DAEMON_SERVINGVIEW_H
#define ENDIVEQUAY_DAEMON_SERVINGVIEW_H

#include "endivequay/configlog.h"
#include "endivequay/configuration.h"
#include "endivequay/lookuptable.h"
#include "endivequay/membership.h"
#include "endivequay/shares.h"
#include "endivequay/steering.h"

#include <map>
#include <memory>

namespace endivequay {

/// The configuration in force and the data derived from it alone. Immutable.
struct ConfigView
{
    Revision revision;
    std::shared_ptr<const Configuration> configuration;
    LookupTable blocks;
    std::vector<ResourceDefinition> resources;
    std::map<ServiceId, ShiftPlan> shifts; ///< Planned shifts in force.
};

/// Builds the view that replaces \a previous (null for the first one). Parses only documents whose
/// text has changed.
Result<std::shared_ptr<const ConfigView>> makeConfigView(const SharedDocuments &documents,
    Revision revision, const SharedDocuments &previousDocuments, const ConfigView *previous,
    Instant now);

/// Steering of each service, computed from one view of the fleet. Immutable.
using SteeringMap = std::map<ServiceId, std::shared_ptr<const Steering>>;

/// State of this instance, as input to the steering.
struct LocalInstanceState
{
    MemberIdentity identity;
    LoadSummary load;
    bool serving = false;
};

SteeringMap makeSteering(
    const ConfigView &view, const Membership &membership, const LocalInstanceState &self);

/// Ids of shared resources.
ResourceId teamResource(const TeamId &team);
ResourceId slotResource(const UpstreamId &upstream);
ResourceId regionResource(const RegionId &region);
ResourceId shiftResource(const ServiceId &service);

/// Block and site of the client address, if a client block contains it.
std::optional<BlockMatch> findBlock(const ConfigView &view, std::string_view client);

} // namespace endivequay

#endif
