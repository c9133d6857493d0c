#ifndef ENDIVEQUAY_ENGINE_TEST_LIMITSIMULATION_H
#define ENDIVEQUAY_ENGINE_TEST_LIMITSIMULATION_H

#include "engine_fixture.h"

#include <algorithm>
#include <deque>
#include <optional>

namespace endivequay::test {

/// Like the engine: takes from the local share, then asks the reserve owner.
inline bool takeOrAsk(std::vector<FleetQuota> &quotas, std::size_t self, Instant now)
{
    const TeamId team("t");
    if (quotas[self].tryTake(team, now))
        return true;
    const auto ask = [&](const std::optional<TokenRequest> &request) {
        if (!request)
            return false;
        FleetQuota &reserveOwner
            = quotas[static_cast<std::size_t>(std::stoi(request->reserveOwner.value()))];
        quotas[self].receiveTokens(request->team,
            reserveOwner.grant(request->team, request->count, now), request->reserveOwner, now);
        return quotas[self].tryTake(team, now);
    };
    return ask(quotas[self].tokenRequestFor(team, now))
        || ask(quotas[self].remoteTokenRequestFor(team, now));
}

inline RoutingDocument limited(double rate, double burst)
{
    RoutingDocument source = document();
    source.teams = { { TeamId("t"), { "k" }, {}, RequestRate(rate), RequestCount(burst), {} } };
    return source;
}

/// Simulates a fleet with one limited team and delayed reports. All instances can restart at once.
class LimitSimulation
{
public:
    LimitSimulation(std::size_t members, double rate, double burst, std::size_t regions = 1)
        : source_(limited(rate, burst))
        , allowed_((rate * 5 + burst) * 1.1 + 20)
        , members_(members)
        , regions_(regions)
    {
        restartAll();
    }

    void restartAll()
    {
        quotas_.clear();
        for (std::size_t i = 0; i < members_; ++i)
            quotas_.emplace_back(
                InstanceId(std::to_string(i)), QuotaTolerance { 0.1, 20, 5s }, 1, regionOf(i));
        meters_ = std::vector<DemandMeter>(members_);
        reports_.assign(members_, { {}, epoch - 1h });
        listedAt_ = now_;
        pending_.clear();
    }

    /// Sends \a perSecond requests, spread evenly over all instances, or those of one region.
    void run(Interval length, double perSecond, std::optional<std::size_t> onlyRegion = {})
    {
        onlyRegion_ = onlyRegion;
        const Instant end = now_ + length;
        double due = 0;
        for (; now_ < end; now_ += 5ms, ++step_) {
            deliver();
            if (step_ % 50 == 0)
                for (std::size_t self = 0; self < members_; ++self)
                    quotas_[self].rebalance(
                        source_, meters_[self].report(now_), peersOf(self), now_);
            for (due += perSecond * 0.005; due >= 1; due -= 1)
                ask();
        }
    }

    /// Maximum admissions in any window, as a fraction of the allowed number.
    double maxAdmittedRatio() const
    {
        std::ptrdiff_t most = 0;
        for (auto first = admitted_.begin(); first != admitted_.end(); ++first)
            most = std::max(most, std::ranges::lower_bound(admitted_, *first + 5s) - first);
        return static_cast<double>(most) / allowed_;
    }
    std::size_t admitted() const { return admitted_.size(); }

private:
    RegionId regionOf(std::size_t member) const
    {
        return RegionId("r" + std::to_string(member % regions_));
    }

    struct Report
    {
        DemandReport demand;
        Instant lastSeenAt;
    };

    /// Heartbeat, digest and two hops in a large fleet; heartbeats to other regions in a small one.
    Interval reportDelay() const { return members_ > 16 ? 900ms : 50ms; }

    void deliver()
    {
        if (step_ % 200 == 0) {
            std::vector<Report> sentNow;
            for (DemandMeter &meter : meters_)
                sentNow.push_back({ meter.report(now_), now_ + reportDelay() });
            pending_.push_back(std::move(sentNow));
        }
        while (!pending_.empty() && pending_.front().front().lastSeenAt <= now_) {
            reports_ = std::move(pending_.front());
            pending_.pop_front();
        }
    }

    std::vector<PeerView> peersOf(std::size_t self) const
    {
        std::vector<PeerView> peers;
        for (std::size_t i = 0; i < members_; ++i)
            if (i != self)
                peers.push_back({ InstanceId(std::to_string(i)), {}, regionOf(i),
                    reports_[i].demand, reports_[i].lastSeenAt, listedAt_ });
        return peers;
    }

    void ask()
    {
        random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
        std::size_t self = (random_ >> 33) % members_;
        if (onlyRegion_)
            self = self - self % regions_ + *onlyRegion_;
        meters_[self].recordArrival(TeamId("t"), ServiceId("web"), now_);
        if (takeOrAsk(quotas_, self, now_))
            admitted_.push_back(now_);
    }

    RoutingDocument source_;
    double allowed_;
    std::size_t members_;
    std::size_t regions_;
    std::optional<std::size_t> onlyRegion_;
    std::vector<FleetQuota> quotas_;
    std::vector<DemandMeter> meters_;
    std::vector<Report> reports_;
    std::deque<std::vector<Report>> pending_;
    std::vector<Instant> admitted_;
    Instant now_ = epoch;
    Instant listedAt_;
    int step_ = 0;
    std::uint64_t random_ = 1;
};

} // namespace endivequay::test

#endif
