#ifndef ENDIVEQUAY_STEERING_H
#define ENDIVEQUAY_STEERING_H

#include "endivequay/lookuptable.h"
#include "endivequay/result.h"
#include "endivequay/shift.h"
#include "endivequay/types.h"

#include <optional>
#include <vector>

namespace endivequay {

/// State of a failure domain for one service, as known to this instance.
struct DomainState
{
    FailureDomainId id;
    RegionId region;
    double slots = 0; ///< Configured slots of the service's upstreams in the domain.
    double freeSlots = 0; ///< As of \a reportedAt; ignored without a report.
    std::optional<Instant> reportedAt;
    bool draining = false;
    bool reachable = true;
    std::optional<Instant> rampSince; ///< When the domain returned from a drain.
};

/// State of an instance, as known to this instance.
struct InstanceState
{
    Address address;
    std::size_t domain = 0; ///< Index in SteeringView::domains.
    double cells = 0; ///< Cells that it owns, its weight; with 0 it is never chosen.
    bool suspect = false;
    bool leaving = false;
};

/// A site with its home region and its delays to the domains.
struct SiteState
{
    SiteId id;
    RegionId home;
    std::vector<Interval> delays; ///< One way, one per entry of SteeringView::domains.
};

/// Snapshot of all inputs to the steering of one service.
struct SteeringView
{
    ServiceId service;
    std::vector<DomainState> domains;
    std::vector<InstanceState> instances;
    std::vector<SiteState> sites; ///< Index is SiteIndex.
    std::vector<ShiftPlan> shifts;
};

/// An instance in the answer to a look-up.
struct Choice
{
    Address address;
    FailureDomainId domain;

    bool operator==(const Choice &) const = default;
};

/// Chooses instances for look-ups of one service. Immutable; rebuilt when the view changes.
///
/// Domains of the home region come first, then those of the other regions by delay. Domains within
/// a region, and instances within a domain, are ordered by weighted rendezvous hashing with the
/// client block, so that a change of weights moves the fewest blocks. This keeps callers from
/// herding to the domain with the best last report.
class Steering
{
public:
    /// Fails on a domain index out of range, a site without exactly one delay per domain, an
    /// invalid shift, or two shifts from the same region.
    static Result<Steering> create(SteeringView view);

    /// Returns at most \a count choices, best first: two instances of the first domain, then one of
    /// each further domain. Empty if no instance is usable or \a site is unknown.
    std::vector<Choice> choose(
        const ClientBlock &block, SiteIndex site, Instant now, std::size_t count = 4) const;

    const SteeringView &view() const { return view_; }

private:
    explicit Steering(SteeringView view);

    SteeringView view_;
    std::vector<std::vector<std::size_t>> usableInstances_; ///< By domain.
    std::vector<std::uint64_t> instanceKeys_;
    std::vector<std::uint64_t> domainKeys_;
};

/// Weight of a domain among those of its region, not negative: its slots, lowered by extra delay, a
/// lack of free slots and a ramp. The effect of a report fades as it ages.
double domainWeight(const DomainState &domain, Interval extraDelay, Instant now);

} // namespace endivequay

#endif
