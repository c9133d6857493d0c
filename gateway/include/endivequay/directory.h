#ifndef ENDIVEQUAY_DIRECTORY_H
#define ENDIVEQUAY_DIRECTORY_H

#include "endivequay/peers.h"

#include <optional>
#include <vector>

namespace endivequay {

/// A directory lookup: the location of the caller.
struct DirectoryQuery
{
    RegionId region;
    FailureDomainId domain;
};

/// This instance as a candidate for directory responses.
struct DirectorySelf
{
    MemberRecord member;
    bool overloaded = false; ///< Its event loop runs late.
};

/// Addresses returned to a caller, those that carry most first.
///
/// The candidates are the live instances of the caller's failure domain if there are at least two,
/// else those of its region, else all. Of these, the preferred ones that are not overloaded are
/// returned; with fewer than two, all that are not overloaded, else all. Answers the load of
/// unequal machines: a weak machine gets callers only while the strong ones are gone or late. \a
/// self is empty while this instance stops.
std::vector<Address> instancesFor(const DirectoryQuery &query,
    const std::optional<DirectorySelf> &self, const PeerTable &peers, Instant now);

} // namespace endivequay

#endif
