#include "fleet.h"

#include <fmt/format.h>

#include <array>
#include <numeric>

using namespace endivequay;
using namespace endivequay::test;

namespace {

constexpr std::uint64_t defaultSeed = 20261204;
constexpr int domainCount = 6;
constexpr int instancesPerDomain = 2;
constexpr int instanceCount = domainCount * instancesPerDomain;
constexpr int teamCount = 8;
constexpr auto warmUpDuration = seconds(20);
constexpr auto measuredDuration = seconds(400);
constexpr auto hotInstanceInterval = seconds(10);
/// Offered load of each team as a fraction of its rate.
constexpr double offeredLoad = 0.7;

FailureDomainId domainName(int index)
{
    return FailureDomainId("d" + std::to_string(index));
}

int regionOf(const FailureDomainId &domain)
{
    return (domain.value().back() - '0') / 2;
}

Network twoTierNetwork()
{
    Network network;
    network.delay = [](const FailureDomainId &from, const FailureDomainId &to) {
        return regionOf(from) == regionOf(to) ? milliseconds(4) : milliseconds(20);
    };
    network.jitter = 0.2;
    return network;
}

struct Team
{
    ResourceId id;
    double rate = 0;
    double burst = 0;
};

/// Zipf-sized teams: the first sends 240 requests a second, the last ones 11 to 16 with a burst
/// of 8, which is less than one request per instance.
std::vector<Team> zipfTeams()
{
    std::vector<Team> teams;
    for (int rank = 1; rank <= teamCount; ++rank) {
        const double rate = 240 / std::pow(rank, 1.5);
        teams.push_back(
            { ResourceId("team/" + std::to_string(rank)), rate, std::max(8.0, rate / 2) });
    }
    return teams;
}

/// A local token bucket for comparison: the central limit, or one instance's part of a static
/// equal split.
class ReferenceTokenBucket
{
public:
    ReferenceTokenBucket(double rate, double burst, Instant now)
        : rate_(rate)
        , burst_(burst)
        , tokens_(burst)
        , refilledAt_(now)
    { }
    bool tryAcquire(Instant now)
    {
        tokens_ = std::min(burst_, tokens_ + rate_ * toSeconds(now - refilledAt_));
        refilledAt_ = now;
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    double rate_, burst_, tokens_;
    Instant refilledAt_;
};

struct RunCounts
{
    std::uint64_t requests = 0;
    std::uint64_t wrongfulRefusals = 0;
    std::uint64_t wrongfulRefusalsStatic = 0;
    double excess = 0;
    double messagesPerInstance = 0; ///< Per second.

    double wrongfulPercent() const { return percentOfRequests(wrongfulRefusals); }
    double wrongfulPercentStatic() const { return percentOfRequests(wrongfulRefusalsStatic); }
    double percentOfRequests(std::uint64_t part) const
    {
        return 100 * static_cast<double>(part) / static_cast<double>(requests);
    }
};

/// Simulates open-loop arrivals. Most of a team's requests go to one hot instance; with rotation
/// the hot instance changes in every interval.
class LimitSimulation
{
public:
    LimitSimulation(bool rotatesHotInstance, std::uint64_t seed)
        : rotatesHotInstance_(rotatesHotInstance)
        , teams_(zipfTeams())
        , fleet_(seed, twoTierNetwork(), domainNames(), instancesPerDomain, definitions())
    {
        fleet_.onTokens = [this](Fleet::Node &node) { serveQueues(indexOf(node)); };
        for (std::size_t team = 0; team < teams_.size(); ++team) {
            const Team &limits = teams_[team];
            centralBuckets_.emplace_back(limits.rate, limits.burst, fleet_.now);
            checkers_[team].setLimit({ static_cast<std::int64_t>(limits.rate * 1e6),
                                         static_cast<std::int64_t>(limits.burst * 1e6) },
                fleet_.now);
            for (int i = 0; i < instanceCount; ++i)
                splitBuckets_[team].emplace_back(
                    limits.rate / instanceCount, limits.burst / instanceCount, fleet_.now);
            // The first requests arrive after the fleet has filled its buckets.
            fleet_.at(fleet_.now + warmUpDuration / 2, [this, team] { arrive(team); });
        }
        measuredUntil_ = fleet_.now + warmUpDuration + measuredDuration;
        measuredFrom_ = fleet_.now + warmUpDuration;
    }

    RunCounts run()
    {
        fleet_.run(warmUpDuration);
        const std::uint64_t before = fleet_.messages;
        fleet_.run(measuredDuration + seconds(1));
        for (const BucketChecker &checker : checkers_)
            counts_.excess = std::max(counts_.excess, checker.excess());
        counts_.messagesPerInstance = static_cast<double>(fleet_.messages - before)
            / toSeconds(measuredDuration) / instanceCount;
        return counts_;
    }

    const std::array<std::array<std::uint64_t, 2>, teamCount> &countsByTeam() const
    {
        return countsByTeam_;
    }

private:
    struct QueuedRequest
    {
        Instant deadline;
        bool isWithinLimit = false; ///< Whether the central bucket admits the request.
    };
    using Queue = std::deque<QueuedRequest>;

    static std::vector<FailureDomainId> domainNames()
    {
        std::vector<FailureDomainId> names;
        for (int i = 0; i < domainCount; ++i)
            names.push_back(domainName(i));
        return names;
    }
    static Fleet::Definitions definitions()
    {
        Fleet::Definitions list;
        for (const Team &team : zipfTeams())
            list.push_back(ResourceDefinition::team(
                team.id, RequestRate(team.rate), RequestCount(team.burst), domainNames()));
        return list;
    }

    std::size_t indexOf(const Fleet::Node &node) const
    {
        const auto found = std::ranges::find_if(
            fleet_.nodes, [&](const auto &other) { return other.get() == &node; });
        return static_cast<std::size_t>(found - fleet_.nodes.begin());
    }
    std::size_t chooseInstance(std::size_t team)
    {
        const auto period = rotatesHotInstance_
            ? fleet_.now.time_since_epoch() / Interval(hotInstanceInterval)
            : 0;
        const std::size_t hotInstance
            = (5 * team + 7 * static_cast<std::size_t>(period)) % instanceCount;
        if (fleet_.unit() < 0.7)
            return hotInstance;
        return fleet_.random() % instanceCount;
    }
    bool isMeasured() const { return fleet_.now >= measuredFrom_ && fleet_.now < measuredUntil_; }

    void arrive(std::size_t team)
    {
        if (fleet_.now >= measuredUntil_)
            return;
        const double gap = -std::log(1 - fleet_.unit()) / (offeredLoad * teams_[team].rate);
        fleet_.at(fleet_.now + fromSeconds(gap), [this, team] { arrive(team); });

        const std::size_t instance = chooseInstance(team);
        const bool isWithinLimit = centralBuckets_[team].tryAcquire(fleet_.now);
        counts_.requests += isMeasured();
        countsByTeam_[team][0] += isMeasured();
        arriveAtStaticSplit(team, instance, isWithinLimit, fleet_.now + maxLoanWait);
        Fleet::Node &node = *fleet_.nodes[instance];
        Queue &queue = queues_[instance][team];
        const bool isAdmitted
            = node.shares.rates().tryAcquire(teams_[team].id, RequestCount(1), fleet_.local(node));
        if (isAdmitted) {
            checkers_[team].admit(1, fleet_.now);
            return;
        }
        queue.push_back({ fleet_.now + maxLoanWait, isWithinLimit });
        if (queue.size() == 1)
            pollQueue(instance, team);
        else
            requestLoan(instance, team);
    }
    void arriveAtStaticSplit(
        std::size_t team, std::size_t instance, bool isWithinLimit, Instant deadline)
    {
        if (splitBuckets_[team][instance].tryAcquire(fleet_.now))
            return;
        if (fleet_.now < deadline)
            fleet_.at(fleet_.now + milliseconds(5),
                [=, this] { arriveAtStaticSplit(team, instance, isWithinLimit, deadline); });
        else
            counts_.wrongfulRefusalsStatic += isWithinLimit && isMeasured();
    }

    void requestLoan(std::size_t instance, std::size_t team)
    {
        Fleet::Node &node = *fleet_.nodes[instance];
        const auto waiting = RequestCount(static_cast<double>(queues_[instance][team].size()));
        fleet_.send(
            node, node.shares.rates().requestLoans(teams_[team].id, waiting, fleet_.local(node)));
    }
    /// Admits or refuses queued requests, requests a loan for the rest and polls again after 10 ms.
    void pollQueue(std::size_t instance, std::size_t team)
    {
        serveQueue(instance, team);
        if (queues_[instance][team].empty())
            return;
        requestLoan(instance, team);
        fleet_.at(fleet_.now + milliseconds(10), [=, this] { pollQueue(instance, team); });
    }
    void serveQueues(std::size_t instance)
    {
        for (std::size_t team = 0; team < teams_.size(); ++team)
            serveQueue(instance, team);
    }
    void serveQueue(std::size_t instance, std::size_t team)
    {
        Queue &queue = queues_[instance][team];
        Fleet::Node &node = *fleet_.nodes[instance];
        while (!queue.empty() && queue.front().deadline <= fleet_.now) {
            const bool isWrongful = queue.front().isWithinLimit && isMeasured();
            counts_.wrongfulRefusals += isWrongful;
            countsByTeam_[team][1] += isWrongful;
            queue.pop_front();
        }
        while (!queue.empty()
            && node.shares.rates().tryAcquire(
                teams_[team].id, RequestCount(1), fleet_.local(node), Attempt::Repeated)) {
            checkers_[team].admit(1, fleet_.now);
            queue.pop_front();
        }
    }

    bool rotatesHotInstance_;
    std::vector<Team> teams_;
    Fleet fleet_;
    std::vector<ReferenceTokenBucket> centralBuckets_;
    std::array<std::vector<ReferenceTokenBucket>, teamCount> splitBuckets_;
    std::array<BucketChecker, teamCount> checkers_;
    std::array<std::array<Queue, teamCount>, instanceCount> queues_;
    std::array<std::array<std::uint64_t, 2>, teamCount> countsByTeam_ {};
    Instant measuredFrom_;
    Instant measuredUntil_;
    RunCounts counts_;
};

bool printFigure(const char *name, double value, const char *unit, double bound)
{
    const bool ok = value <= bound;
    fmt::print("figure {} {:.4f} {} bound {} {}\n", name, value, unit, bound, ok ? "ok" : "MISSED");
    return ok;
}

void printBaseline(const char *name, const RunCounts &counts)
{
    fmt::print("baseline static_equal_split {} {:.4f} percent, factor {:.1f} ({} requests, {:.1f} "
               "loan messages/s per instance)\n",
        name, counts.wrongfulPercentStatic(),
        counts.wrongfulPercentStatic() / std::max(counts.wrongfulPercent(), 1e-4), counts.requests,
        counts.messagesPerInstance);
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::stoull(argv[1]) : defaultSeed;
    fmt::print("seed {}\n", seed);
    LimitSimulation steadyRun(false, seed);
    const RunCounts steady = steadyRun.run();
    LimitSimulation rotationRun(true, seed);
    const RunCounts rotation = rotationRun.run();
    for (std::size_t team = 0; team < teamCount; ++team)
        fmt::print("team {}: steady {} of {}, rotation {} of {}\n", team + 1,
            steadyRun.countsByTeam()[team][1], steadyRun.countsByTeam()[team][0],
            rotationRun.countsByTeam()[team][1], rotationRun.countsByTeam()[team][0]);
    const bool ok
        = printFigure("limit_excess", std::max(steady.excess, rotation.excess), "requests", 0)
        & printFigure("wrongful_refusals_steady", steady.wrongfulPercent(), "percent", 0.1)
        & printFigure("wrongful_refusals_rotation", rotation.wrongfulPercent(), "percent", 1);
    printBaseline("wrongful_refusals_steady", steady);
    printBaseline("wrongful_refusals_rotation", rotation);
    return ok ? 0 : 1;
}
