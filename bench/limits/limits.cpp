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
constexpr auto warmUp = seconds(20);
constexpr auto measured = seconds(400);
constexpr auto rotationPeriod = seconds(10);
/// Offered load of each team as a part of its rate.
constexpr double offered = 0.7;

FailureDomainId domainName(int index)
{
    return FailureDomainId("d" + std::to_string(index));
}

int regionOf(const FailureDomainId &domain)
{
    return (domain.value().back() - '0') / 2;
}

Network regions()
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

/// A token bucket outside the system: the central limit, or one part of a static split.
class PlainBucket
{
public:
    PlainBucket(double rate, double burst, Instant now)
        : rate_(rate)
        , burst_(burst)
        , tokens_(burst)
        , at_(now)
    { }
    bool tryAcquire(Instant now)
    {
        tokens_ = std::min(burst_, tokens_ + rate_ * toSeconds(now - at_));
        at_ = now;
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    double rate_, burst_, tokens_;
    Instant at_;
};

struct Counts
{
    std::uint64_t requests = 0;
    std::uint64_t wrongful = 0;
    std::uint64_t wrongfulStatic = 0;
    double excess = 0;
    double messagesPerNode = 0; ///< Per second.

    double percent() const { return share(wrongful); }
    double percentStatic() const { return share(wrongfulStatic); }
    double share(std::uint64_t part) const
    {
        return 100 * static_cast<double>(part) / static_cast<double>(requests);
    }
};

/// Open-loop arrivals. Most of a team's requests go to one instance, its hot one; with rotation
/// that is another one in each period.
class Run
{
public:
    Run(bool rotates, std::uint64_t seed)
        : rotates_(rotates)
        , teams_(zipfTeams())
        , fleet_(seed, regions(), domainNames(), instancesPerDomain, definitions())
    {
        fleet_.onTokens = [this](Fleet::Node &node) { pump(indexOf(node)); };
        for (std::size_t team = 0; team < teams_.size(); ++team) {
            const Team &limits = teams_[team];
            central_.emplace_back(limits.rate, limits.burst, fleet_.now);
            checkers_[team].setLimit({ static_cast<std::int64_t>(limits.rate * 1e6),
                                         static_cast<std::int64_t>(limits.burst * 1e6) },
                fleet_.now);
            for (int i = 0; i < instanceCount; ++i)
                split_[team].emplace_back(
                    limits.rate / instanceCount, limits.burst / instanceCount, fleet_.now);
            // Starts full only after the fleet has filled its buckets.
            fleet_.at(fleet_.now + warmUp / 2, [this, team] { arrive(team); });
        }
        endsAt_ = fleet_.now + warmUp + measured;
        measuredFrom_ = fleet_.now + warmUp;
    }

    Counts run()
    {
        fleet_.run(warmUp);
        const std::uint64_t before = fleet_.messages;
        fleet_.run(measured + seconds(1));
        for (const BucketChecker &checker : checkers_)
            counts_.excess = std::max(counts_.excess, checker.excess());
        counts_.messagesPerNode
            = static_cast<double>(fleet_.messages - before) / toSeconds(measured) / instanceCount;
        return counts_;
    }

    const std::array<std::array<std::uint64_t, 2>, teamCount> &byTeam() const { return byTeam_; }

private:
    struct Waiting
    {
        Instant until;
        bool within = false; ///< Of the team's rate, by the central limit.
    };
    using Queue = std::deque<Waiting>;

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
        const auto period = rotates_ ? fleet_.now.time_since_epoch() / Interval(rotationPeriod) : 0;
        const std::size_t hot = (5 * team + 7 * static_cast<std::size_t>(period)) % instanceCount;
        if (fleet_.unit() < 0.7)
            return hot;
        return fleet_.random() % instanceCount;
    }
    bool isMeasured() const { return fleet_.now >= measuredFrom_ && fleet_.now < endsAt_; }

    void arrive(std::size_t team)
    {
        if (fleet_.now >= endsAt_)
            return;
        const double gap = -std::log(1 - fleet_.unit()) / (offered * teams_[team].rate);
        fleet_.at(fleet_.now + fromSeconds(gap), [this, team] { arrive(team); });

        const std::size_t instance = chooseInstance(team);
        const bool within = central_[team].tryAcquire(fleet_.now);
        counts_.requests += isMeasured();
        byTeam_[team][0] += isMeasured();
        arriveStatic(team, instance, within, fleet_.now + maxLoanWait);
        Fleet::Node &node = *fleet_.nodes[instance];
        Queue &queue = queues_[instance][team];
        const bool taken
            = node.shares.rates().tryAcquire(teams_[team].id, RequestCount(1), fleet_.local(node));
        if (taken) {
            checkers_[team].admit(1, fleet_.now);
            return;
        }
        queue.push_back({ fleet_.now + maxLoanWait, within });
        if (queue.size() == 1)
            pumpTeam(instance, team);
        else
            borrow(instance, team);
    }
    void arriveStatic(std::size_t team, std::size_t instance, bool within, Instant until)
    {
        if (split_[team][instance].tryAcquire(fleet_.now))
            return;
        if (fleet_.now < until)
            fleet_.at(fleet_.now + milliseconds(5),
                [=, this] { arriveStatic(team, instance, within, until); });
        else
            counts_.wrongfulStatic += within && isMeasured();
    }

    void borrow(std::size_t instance, std::size_t team)
    {
        Fleet::Node &node = *fleet_.nodes[instance];
        const auto waiting = RequestCount(static_cast<double>(queues_[instance][team].size()));
        fleet_.send(
            node, node.shares.rates().requestLoans(teams_[team].id, waiting, fleet_.local(node)));
    }
    /// Serves or refuses waiting requests, borrows for the rest and looks again later.
    void pumpTeam(std::size_t instance, std::size_t team)
    {
        serve(instance, team);
        if (queues_[instance][team].empty())
            return;
        borrow(instance, team);
        fleet_.at(fleet_.now + milliseconds(10), [=, this] { pumpTeam(instance, team); });
    }
    void pump(std::size_t instance)
    {
        for (std::size_t team = 0; team < teams_.size(); ++team)
            serve(instance, team);
    }
    void serve(std::size_t instance, std::size_t team)
    {
        Queue &queue = queues_[instance][team];
        Fleet::Node &node = *fleet_.nodes[instance];
        while (!queue.empty() && queue.front().until <= fleet_.now) {
            const bool wrongful = queue.front().within && isMeasured();
            counts_.wrongful += wrongful;
            byTeam_[team][1] += wrongful;
            queue.pop_front();
        }
        while (!queue.empty()
            && node.shares.rates().tryAcquire(
                teams_[team].id, RequestCount(1), fleet_.local(node), Attempt::Repeated)) {
            checkers_[team].admit(1, fleet_.now);
            queue.pop_front();
        }
    }

    bool rotates_;
    std::vector<Team> teams_;
    Fleet fleet_;
    std::vector<PlainBucket> central_;
    std::array<std::vector<PlainBucket>, teamCount> split_;
    std::array<BucketChecker, teamCount> checkers_;
    std::array<std::array<Queue, teamCount>, instanceCount> queues_;
    std::array<std::array<std::uint64_t, 2>, teamCount> byTeam_ {};
    Instant measuredFrom_;
    Instant endsAt_;
    Counts counts_;
};

bool figure(const char *name, double value, const char *unit, double bound)
{
    const bool ok = value <= bound;
    fmt::print("figure {} {:.4f} {} bound {} {}\n", name, value, unit, bound, ok ? "ok" : "MISSED");
    return ok;
}

void compare(const char *name, const Counts &counts)
{
    fmt::print("baseline static_equal_split {} {:.4f} percent, factor {:.1f} ({} requests, {:.1f} "
               "loan messages/s per instance)\n",
        name, counts.percentStatic(), counts.percentStatic() / std::max(counts.percent(), 1e-4),
        counts.requests, counts.messagesPerNode);
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::stoull(argv[1]) : defaultSeed;
    fmt::print("seed {}\n", seed);
    Run steadyRun(false, seed);
    const Counts steady = steadyRun.run();
    Run rotationRun(true, seed);
    const Counts rotation = rotationRun.run();
    for (std::size_t team = 0; team < teamCount; ++team)
        fmt::print("team {}: steady {} of {}, rotation {} of {}\n", team + 1,
            steadyRun.byTeam()[team][1], steadyRun.byTeam()[team][0], rotationRun.byTeam()[team][1],
            rotationRun.byTeam()[team][0]);
    const bool ok = figure("limit_excess", std::max(steady.excess, rotation.excess), "requests", 0)
        & figure("wrongful_refusals_steady", steady.percent(), "percent", 0.1)
        & figure("wrongful_refusals_rotation", rotation.percent(), "percent", 1);
    compare("wrongful_refusals_steady", steady);
    compare("wrongful_refusals_rotation", rotation);
    return ok ? 0 : 1;
}
