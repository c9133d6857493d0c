#ifndef ENDIVEQUAY_BENCH_NODE_H
#define ENDIVEQUAY_BENCH_NODE_H

#include "workload.h"

#include "endivequay/admissionqueue.h"
#include "endivequay/loadestimate.h"

#include <deque>
#include <optional>
#include <vector>

namespace endivequay::bench {

/// How look-ups are answered and upstreams are chosen.
enum class Strategy { Product, UniformRandom, RoundRobin, NearestDomain, LeastLoad };

/// One service at one instance: own slots at the domain's upstreams, and waiting requests.
///
/// The product uses UpstreamPool and AdmissionQueue. A baseline chooses among the upstreams with
/// own free slots by its rule and keeps a queue of the same length in order of arrival.
class Node
{
public:
    Node(Strategy strategy, std::uint64_t seed);

    void setShare(const UpstreamId &id, const UpstreamShare &share, Instant now);
    void report(const UpstreamId &id, const LoadReport &report, Instant now);

    std::optional<UpstreamId> choose(Instant now);
    void started(const UpstreamId &id, Instant now);
    void finished(const UpstreamId &id, RequestResult outcome, Interval latency, Instant now);

    /// Adds a request; a full queue gives one up, which is returned.
    std::optional<Ticket> push(const WaitingRequest &request, Instant now);
    std::optional<WaitingRequest> pop(Instant now);
    void expire(Instant now);
    bool contains(Ticket ticket) const { return fair_.contains(ticket); }
    bool remove(Ticket ticket);
    std::size_t waiting() const;

    int freeSlots(Instant now) const;
    int usableSlots(Instant now) const;
    int inFlight() const { return inFlight_; }
    /// Whether the strategy allows a retry at this instance.
    bool mayRetry(Instant now) const
    {
        return strategy_ != Strategy::Product || view_.hasHealthyUpstream(now);
    }
    Interval meanLatency() const { return view_.meanLatency(); }
    /// Time until a request that joins now gets a slot, from the rate of the last responses.
    Interval expectedWait(Instant now) const;

private:
    struct Upstream
    {
        UpstreamId id;
        UpstreamShare share;
        int inFlight = 0;
        LoadReport report;

        bool hasRoom() const { return !share.leaving && inFlight < share.ownSlots; }
    };

    Upstream *find(const UpstreamId &id);

    Strategy strategy_;
    Random random_;
    UpstreamPool view_;
    AdmissionQueue fair_;
    std::vector<Upstream> upstreams_;
    std::deque<WaitingRequest> queue_;
    std::size_t turn_ = 0;
    int inFlight_ = 0;
};

} // namespace endivequay::bench

#endif
