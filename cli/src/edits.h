#ifndef ENDIVEQUAY_CLI_EDITS_H
#define ENDIVEQUAY_CLI_EDITS_H

#include "endivequay/configuration.h"

#include <string>
#include <vector>

namespace endivequay::cli {

// The documents that these functions get must be valid.

/// Adds a key to a team. Fails if the team is unknown; the check of the new configuration finds
/// ids and digests that are used twice.
Result<DocumentChange> addKey(const Documents &documents, const TeamId &team, const TeamKey &key);

/// Removes a key from a team. Fails if the team has no such key.
Result<DocumentChange> withdrawKey(
    const Documents &documents, const TeamId &team, const std::string &keyId);

/// Changes the state of an upstream; an empty change if it has this state already.
Result<DocumentChange> setUpstreamState(
    const Documents &documents, const UpstreamId &upstream, UpstreamState state);

/// Sets the planned shift of a service.
Result<DocumentChange> setPlannedShift(
    const Documents &documents, const ServiceId &service, const PlannedShift &shift);

/// The fields of the changed documents that differ, one line each, for example
/// "~ teams/desk /rate: 50 -> 60".
std::vector<std::string> describeChange(const Documents &from, const DocumentChange &change);

} // namespace endivequay::cli

#endif
