#ifndef ENDIVEQUAY_STEERING_H
#define ENDIVEQUAY_STEERING_H

#include "endivequay/lookuptable.h"
#include "endivequay/result.h"
#include "endivequay/shift.h"
#include "endivequay/types.h"

#include <optional>
#include <vector>

namespace endivequay {

/// What an instance knows of a failure domain, for one service.
struct DomainState
{
    FailureDomainId id;
    RegionId region;
    double slots = 0; ///< Configured slots of the service's upstreams in the domain.
    double freeSlots = 0; ///< As of \a reportedAt; ignored when there is no report.
    std::optional<Instant> reportedAt;
    bool draining = false;
    bool reachable = true;
    std::optional<Instant> rampSince; ///< When the domain came back from a drain.
};

/// What an instance knows of another one.
struct InstanceState
{
    Address address;
    std::size_t domain = 0; ///< Index in SteeringView::domains.
    double cells = 0; ///< Cells that it owns; 0 is never named in an answer.
    bool suspect = false;
    bool leaving = false;
};

/// A site with its home and its distance to the domains.
struct SiteState
{
    SiteId id;
    RegionId home;
    std::vector<Interval> delays; ///< One way, one per entry of SteeringView::domains.
};

/// All that the steering of one service depends on.
struct SteeringView
{
    ServiceId service;
    std::vector<DomainState> domains;
    std::vector<InstanceState> instances;
    std::vector<SiteState> sites; ///< Index is SiteIndex.
    std::vector<ShiftPlan> shifts;
};

/// One instance named in an answer.
struct Choice
{
    Address address;
    FailureDomainId domain;

    bool operator==(const Choice &) const = default;
};

/// Chooses instances for look-ups of one service. Immutable; built anew when the view changes.
///
/// Domains of the home region come first, then the other regions by delay. Within a region the
/// order is a weighted rendezvous hash of block and domain, and within a domain one of block and
/// instance, so that a change of weights moves only the blocks that it must move. That keeps
/// callers from running together to the domain whose last report was the best.
class Steering
{
public:
    /// Fails on an index out of range, a site without one delay per domain, an invalid shift or two
    /// shifts from one region.
    static Result<Steering> create(SteeringView view);

    /// At most \a count choices, best first: two instances of the first domain, then one of each
    /// further domain. Empty if no instance is usable or \a site is unknown.
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

/// Weight of a domain against the others of its region, not negative: its slots, lowered when it
/// is far, short of free slots or ramping. A report loses its effect as it ages.
double domainWeight(const DomainState &domain, Interval extraDelay, Instant now);

} // namespace endivequay

#endif
