#include "endivequay/readerelection.h"

#include "endivequay/fleetrelay.h"

#include <algorithm>

namespace endivequay {

ReaderElection::Region ReaderElection::surveyRegion(Instant now) const
{
    Region region;
    const auto own = relayRank(self_);
    for (const auto &[id, peer] : peers_.peers()) {
        if (peer.member.region != self_.region || peer.leaving || PeerTable::isSuspected(peer, now))
            continue;
        ++region.size;
        region.confirmedAt = std::max(region.confirmedAt, peer.stateConfirmedAt);
        if (relayRank(peer.member) <= own)
            continue;
        ++region.higherRanked;
        region.confirmedByHigherAt = std::max(region.confirmedByHigherAt, peer.stateConfirmedAt);
    }
    return region;
}

Instant ReaderElection::candidateAt(const Region &region) const
{
    // The second half of the time before the reserve is for the candidates.
    return confirmedAt_ + maxSilence() + maxSilence() * region.higherRanked / region.size;
}

ReaderElection::Role ReaderElection::nextRole(const Region &region, Instant now) const
{
    if (region.higherRanked == 0)
        return Role::Reader;
    if (role_ == Role::Reader)
        return now - region.confirmedByHigherAt < maxSilence() ? Role::Follower : Role::Reader;
    if (now < candidateAt(region))
        return Role::Follower;
    const bool answered = role_ == Role::Candidate && storeAnsweredAt_ >= candidateSince_;
    return answered ? Role::Reader : Role::Candidate;
}

ReaderElection::Role ReaderElection::update(Instant now)
{
    const Region region = surveyRegion(now);
    // A reader that has left since followed the store until then.
    confirmedAt_ = std::max(confirmedAt_, region.confirmedAt);
    const Role next = nextRole(region, now);
    if (next == Role::Candidate && role_ != Role::Candidate)
        candidateSince_ = now;
    role_ = next;
    return role_;
}

} // namespace endivequay
