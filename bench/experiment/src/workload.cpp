#include "workload.h"

#include "endivequay/digest.h"

#include <algorithm>
#include <cmath>

namespace endivequay::bench {

using namespace std::chrono_literals;

Interval Deployment::delayBetween(int domain, int other) const
{
    if (domain == other)
        return 0ms;
    return regionOf(domain) == regionOf(other) ? interDomainDelay : interRegionDelay;
}

std::vector<Deployment> deployments()
{
    return {
        { "kapadwala", { "west-in", "gulf", "east-africa" }, 4ms, 20ms, 8ms,
            { { ServiceId("storefront"), 14, 9, 80ms, 0.5, 0.8, 0, 2s },
                { ServiceId("godown"), 12, 9, 120ms, 0, 0.8, 0.2, 4s } } },
        { "yildirim", { "ege", "kapadokya", "karadeniz" }, 4ms, 35ms, 3ms,
            { { ServiceId("sofra"), 20, 9, 80ms, 0.5, 0.6, 0, 2s },
                { ServiceId("kiler"), 14, 9, 120ms, 0, 0.8, 0.1, 4s } } },
    };
}

double teamShare(int team)
{
    double sum = 0;
    for (int i = 1; i <= teamCount; ++i)
        sum += 1.0 / i;
    return 1.0 / (team + 1) / sum;
}

TeamId teamName(int team)
{
    return TeamId(team == openClass ? "" : "team" + std::to_string(team));
}

ClientBlock clientBlockOf(int requestClass, int number)
{
    const auto index = static_cast<Ipv4>(requestClass * blocksPerClass + number);
    return { 0x0a000000 | index << 8, 24 };
}

SiteIndex siteOf(const ClientBlock &block)
{
    return hash64(toString(block)) % domainCount;
}

double Random::uniform()
{
    return static_cast<double>(engine_() >> 11) * 0x1.0p-53;
}

Interval Random::exponential(double perSecond)
{
    return fromSeconds(-std::log1p(-uniform()) / perSecond);
}

Interval Random::serviceTime(Interval mean)
{
    const double rate = 2 / toSeconds(mean);
    return std::max<Interval>(exponential(rate) + exponential(rate), 1ms);
}

} // namespace endivequay::bench
