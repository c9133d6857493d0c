#include "node.h"

#include <algorithm>
#include <numeric>

namespace endivequay::bench {

Node::Node(Strategy strategy, std::uint64_t seed)
    : strategy_(strategy)
    , random_(seed)
    , view_(seed)
{ }

Node::Upstream *Node::find(const UpstreamId &id)
{
    const auto found = std::ranges::find(upstreams_, id, &Upstream::id);
    return found == upstreams_.end() ? nullptr : &*found;
}

void Node::setShare(const UpstreamId &id, const UpstreamShare &share, Instant now)
{
    if (strategy_ == Strategy::Product)
        view_.setShare(id, share, now);
    if (Upstream *upstream = find(id))
        upstream->share = share;
    else
        upstreams_.push_back({ id, share, 0, {} });
}

void Node::report(const UpstreamId &id, const LoadReport &report, Instant now)
{
    if (strategy_ == Strategy::Product)
        view_.reportReceived(id, report, now);
    else
        find(id)->report = report;
}

std::optional<UpstreamId> Node::choose(Instant now)
{
    if (strategy_ == Strategy::Product)
        return view_.choose(now);
    std::vector<Upstream *> free;
    for (Upstream &upstream : upstreams_) {
        if (upstream.hasFreeSlot())
            free.push_back(&upstream);
    }
    if (free.empty())
        return std::nullopt;
    if (strategy_ == Strategy::RoundRobin)
        return free[roundRobinIndex_++ % free.size()]->id;
    if (strategy_ == Strategy::LeastLoad)
        return (*std::ranges::min_element(free, {}, [](const Upstream *upstream) {
            return upstream->report.inFlight;
        }))->id;
    return free[random_.uniformBelow(static_cast<int>(free.size()))]->id;
}

void Node::started(const UpstreamId &id, Instant now)
{
    ++inFlight_;
    ++find(id)->inFlight;
    if (strategy_ == Strategy::Product)
        view_.started(id, now);
}

void Node::finished(const UpstreamId &id, RequestResult outcome, Interval latency, Instant now)
{
    --inFlight_;
    --find(id)->inFlight;
    if (strategy_ == Strategy::Product)
        view_.finished(id, outcome, latency, now);
}

std::optional<Ticket> Node::push(const WaitingRequest &request, Instant now)
{
    if (strategy_ == Strategy::Product) {
        const auto dropped = admissionQueue_.push(request, now);
        return dropped ? std::optional(dropped->ticket) : std::nullopt;
    }
    if (fifoQueue_.size() >= AdmissionQueue::defaultLimit)
        return request.ticket;
    fifoQueue_.push_back(request);
    return std::nullopt;
}

std::optional<WaitingRequest> Node::pop(Instant now)
{
    if (strategy_ == Strategy::Product)
        return admissionQueue_.pop(now);
    const auto next = std::ranges::find_if(
        fifoQueue_, [&](const WaitingRequest &request) { return request.deadline > now; });
    if (next == fifoQueue_.end())
        return std::nullopt;
    const WaitingRequest request = *next;
    fifoQueue_.erase(next);
    return request;
}

void Node::expire(Instant now)
{
    admissionQueue_.expire(now);
    std::erase_if(
        fifoQueue_, [&](const WaitingRequest &request) { return request.deadline <= now; });
}

bool Node::remove(Ticket ticket)
{
    return admissionQueue_.remove(ticket);
}

std::size_t Node::waiting() const
{
    return admissionQueue_.size() + fifoQueue_.size();
}

int Node::freeSlots(Instant now) const
{
    if (strategy_ == Strategy::Product)
        return view_.freeSlots(now);
    return std::accumulate(
        upstreams_.begin(), upstreams_.end(), 0, [](int sum, const Upstream &upstream) {
            return sum + (upstream.hasFreeSlot() ? upstream.share.ownSlots - upstream.inFlight : 0);
        });
}

int Node::usableSlots(Instant now) const
{
    if (strategy_ == Strategy::Product)
        return view_.usableSlots(now);
    return std::accumulate(
        upstreams_.begin(), upstreams_.end(), 0, [](int sum, const Upstream &upstream) {
            return sum + (upstream.share.leaving ? 0 : upstream.share.ownSlots);
        });
}

Interval Node::expectedWait(Instant now) const
{
    const int slots = usableSlots(now);
    if (slots == 0)
        return std::chrono::hours(1);
    return view_.meanLatency() * static_cast<int>(waiting()) / slots;
}

} // namespace endivequay::bench
