#ifndef ENDIVEQUAY_CLI_EDITS_H
#define ENDIVEQUAY_CLI_EDITS_H

#include "endivequay/configuration.h"

#include <string>
#include <vector>

namespace endivequay::cli {

// All functions require valid documents.

/// Adds a key to a team. Fails if the team is unknown. Duplicate ids and digests are found when the
/// resulting configuration is validated.
Result<DocumentChange> addKey(const Documents &documents, const TeamId &team, const TeamKey &key);

/// Removes a key from a team. Fails if the team has no such key.
Result<DocumentChange> withdrawKey(
    const Documents &documents, const TeamId &team, const std::string &keyId);

/// Changes the state of an upstream; returns an empty change if it has that state already.
Result<DocumentChange> setUpstreamState(
    const Documents &documents, const UpstreamId &upstream, UpstreamState state);

/// Sets the planned shift of a service.
Result<DocumentChange> setPlannedShift(
    const Documents &documents, const ServiceId &service, const PlannedShift &shift);

/// Describes added and removed documents and changed fields, one line each, for example
/// "~ teams/desk /rate: 50 -> 60".
std::vector<std::string> describeChange(const Documents &from, const DocumentChange &change);

} // namespace endivequay::cli

#endif
