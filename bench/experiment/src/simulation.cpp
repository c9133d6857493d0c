#include "simulation.h"

#include <numeric>

// Setup, arrivals and look-ups.
namespace endivequay::bench::detail {

Simulation::Simulation(const Deployment &deployment, const Schedule &schedule, Strategy strategy,
    const RunOptions &options)
    : deployment_(deployment)
    , schedule_(schedule)
    , strategy_(strategy)
    , options_(options)
    , choiceRandom_(options.seed ^ 0x5bd1e995)
    , unplannedMoves_(deployment.services.size())
    , plannedMoves_(deployment.services.size())
{
    const int services = static_cast<int>(deployment_.services.size());
    classCounts_.resize(services);
    for (int service = 0; service < services; ++service) {
        const double rate = deployment_.services[service].rateAt(options_.utilization);
        // The burst plus the refill over a window is half of the cap.
        const double budget = shiftCap / 2 * rate * toSeconds(shiftWindow);
        const double burst = shiftCap / 2 * rate * toSeconds(shiftBurstDuration);
        shiftTokens_.push_back({ (budget - burst) / toSeconds(shiftWindow), burst, 0, begin_ });
        for (int c = 0; c < classCount; ++c) {
            arrivals_.emplace_back(options_.seed * 1'000 + classIndex(service, c));
            const double limit = ratePerLoad * classRate(service, c);
            limits_.push_back({ limit, limit, 0, begin_ });
        }
    }
    createUpstreams();
    createInstances();
    forwardsInFlight_.resize(services);
    digests_.assign(services, std::vector<Digest>(instanceCount));
    exchangeDigests();
}

void Simulation::at(Instant when, Action action)
{
    timers_.push_back({ when, nextTimerSequence_++, std::move(action) });
    std::ranges::push_heap(timers_, isLater);
}

double Simulation::classRate(int service, int requestClass) const
{
    const ServiceModel &model = deployment_.services[service];
    const double rate = model.rateAt(options_.utilization);
    if (requestClass == openClass)
        return rate * model.openShare;
    return rate * (1 - model.openShare) * teamShare(requestClass);
}

void Simulation::createUpstreams()
{
    for (std::size_t service = 0; service < deployment_.services.size(); ++service) {
        const ServiceModel &model = deployment_.services[service];
        for (int number = 0; number < model.upstreams; ++number) {
            Upstream upstream;
            upstream.id = UpstreamId(model.id.value() + "-" + std::to_string(number));
            upstream.service = static_cast<int>(service);
            upstream.domain = model.domainOf(number);
            upstream.slots = model.slotsPerUpstream;
            upstream.lastReport = { 0, upstream.slots, false };
            upstream.frozenReport = upstream.lastReport;
            upstreamIndex_[upstream.id] = upstreams_.size();
            upstreams_.push_back(upstream);
        }
    }
}

void Simulation::createInstances()
{
    Random adoptionRandom(options_.seed ^ 0xc2b2ae35);
    for (int index = 0; index < instanceCount; ++index) {
        Instance instance;
        instance.domain = index / instancesPerDomain;
        instance.address = Address("10.0." + std::to_string(instance.domain) + "."
            + std::to_string(index % instancesPerDomain) + ":80");
        instance.adoptionDelay
            = fromSeconds(toSeconds(maxAdoptionDelay) * adoptionRandom.uniform());
        for (std::size_t service = 0; service < deployment_.services.size(); ++service)
            instance.nodes.emplace_back(strategy_, nodeSeed(index, service));
        for (int other = 0; other < regionCount; ++other)
            instance.linkBudget.setLimit(regionName(regionOf(instance.domain)), regionName(other),
                linkBytesPerSecond / 4, linkBytesPerSecond / 8, now_);
        instanceIndex_[instance.address] = index;
        instances_.push_back(std::move(instance));
    }
    for (int domain = 0; domain < domainCount; ++domain) {
        for (int index = 0; index < instancesPerDomain; ++index)
            setShares(domain * instancesPerDomain + index, false, false);
    }
}

/// Sets the shares of instance \a index: its even part of the slots of its domain's upstreams.
void Simulation::setShares(int index, bool isLeaving, bool isCold)
{
    Instance &instance = instances_[index];
    for (std::size_t u = 0; u < upstreams_.size(); ++u) {
        const Upstream &upstream = upstreams_[u];
        if (upstream.domain != instance.domain)
            continue;
        // The instances alternate in receiving the remainder of an odd slot count.
        const int rank = static_cast<int>(index + u / domainCount) % instancesPerDomain;
        const int own = (upstream.slots + rank) / instancesPerDomain;
        instance.nodes[upstream.service].setShare(
            upstream.id, { own, upstream.slots, isLeaving, isCold }, now_);
    }
}

void Simulation::scheduleArrival(int service, int requestClass)
{
    double rate = classRate(service, requestClass);
    if (surgeMultiple_ > 0 && requestClass == surgeTeam_)
        rate *= ratePerLoad * surgeMultiple_;
    if (rate <= 0)
        return;
    // A surge takes effect at the next arrival, which is milliseconds away.
    after(arrivals_[classIndex(service, requestClass)].exponential(rate), [=, this] {
        sendRequest(service, requestClass);
        scheduleArrival(service, requestClass);
    });
}

void Simulation::sendRequest(int service, int requestClass)
{
    const ServiceModel &model = deployment_.services[service];
    Random &random = arrivals_[classIndex(service, requestClass)];
    Request request;
    request.service = service;
    request.requestClass = requestClass;
    request.block = clientBlockOf(requestClass, random.uniformBelow(blocksPerClass));
    request.site = siteOf(request.block);
    request.sentAt = now_;
    request.serviceTime = random.serviceTime(model.meanServiceTime);
    const bool isKeyed = requestClass != openClass;
    request.isOnce = isKeyed && random.uniform() < model.onceShare;
    request.isDeferrable = isKeyed && !request.isOnce
        && random.uniform() < model.deferrableShare / (1 - model.onceShare);
    request.deadline = now_ + (request.isDeferrable ? 10s : model.deadline);
    request.isCounted
        = now_ >= begin_ + warmUpDuration && now_ < begin_ + options_.duration - coolDownDuration;
    if (!limits_[classIndex(service, requestClass)].tryTake(now_))
        return; // Above the team's rate: a correct refusal, not counted.
    if (request.isCounted)
        classCounts_[service][requestClass].admitted += 1;
    request.choices = lookUpCached(request);
    requests_.push_back(std::move(request));
    tryNextChoice(requests_.size() - 1);
}

const std::vector<int> &Simulation::lookUpCached(Request &request)
{
    CachedAnswer &cached = lookupCache_[{ request.service, request.block.prefix }];
    if (now_ >= cached.until)
        cached = { now_ + lookupLifetime, lookUp(request) };
    return cached.choices;
}

std::vector<int> Simulation::lookUp(const Request &request)
{
    if (strategy_ != Strategy::Product)
        return lookUpBaseline(request);
    std::vector<int> indices;
    for (const Choice &choice :
        steering_[request.service].choose(request.block, request.site, now_))
        indices.push_back(instanceIndex_.at(choice.address));
    return indices;
}

std::vector<int> Simulation::lookUpBaseline(const Request &request)
{
    const RegionId home = homeRegion(regionName(regionOf(request.site)),
        deployment_.services[request.service].id, request.block, lookupPlans_, now_);
    std::vector<int> indices(instanceCount);
    std::iota(indices.begin(), indices.end(), 0);
    std::erase_if(indices, [&](int index) { return excludedInstances_.contains(index); });
    const auto regionRank
        = [&](int index) { return regionName(regionOf(instances_[index].domain)) != home; };
    for (std::size_t i = indices.size(); i > 1; --i)
        std::swap(indices[i - 1], indices[choiceRandom_.uniformBelow(static_cast<int>(i))]);
    if (strategy_ == Strategy::RoundRobin)
        std::ranges::sort(indices);
    else if (strategy_ == Strategy::NearestDomain)
        std::ranges::stable_sort(indices, {},
            [&](int i) { return deployment_.delayFromSite(request.site, instances_[i].domain); });
    else if (strategy_ == Strategy::LeastLoad)
        std::ranges::stable_sort(
            indices, {}, [&](int i) { return digests_[request.service][i].load; });
    std::ranges::stable_sort(indices, {}, regionRank);
    if (strategy_ == Strategy::RoundRobin && !indices.empty()) {
        const int rank = regionRank(indices.front());
        const auto end
            = std::ranges::find_if(indices, [&](int i) { return regionRank(i) != rank; });
        const auto size = static_cast<std::size_t>(end - indices.begin());
        std::rotate(
            indices.begin(), indices.begin() + static_cast<int>(roundRobinIndex_++ % size), end);
    }
    indices.resize(std::min<std::size_t>(indices.size(), 4));
    return indices;
}

} // namespace endivequay::bench::detail
