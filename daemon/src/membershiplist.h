#ifndef ENDIVEQUAY_DAEMON_MEMBERSHIPLIST_H
#define ENDIVEQUAY_DAEMON_MEMBERSHIPLIST_H

#include "endivequay/membership.h"
#include "endivequay/result.h"

#include <string_view>
#include <vector>

namespace endivequay {

/// The platform's list of instances.
struct MembershipList
{
    std::vector<ListedInstance> instances;
    std::vector<Error> rejected; ///< One error for each entry that names no instance.
};

/// Decodes the body of the platform's response: a list of objects with "address" (host:port),
/// "failure_domain" and optionally "state". Fails if the body is not a list; entries that lack a
/// field, or have one of another type, are rejected one by one.
Result<MembershipList> parseMembershipList(std::string_view body);

} // namespace endivequay

#endif
