#include "endivequay/admissionqueue.h"

#include <algorithm>
#include <tuple>

namespace endivequay {

namespace {

constexpr Interval minRetryDelay = std::chrono::milliseconds(100);
constexpr Interval maxRetryDelay = std::chrono::seconds(10);
/// Keeps a team with a rate of 0 from starving: it is served slowly.
constexpr double minWeight = 1e-3;

} // namespace

AdmissionQueue::AdmissionQueue(std::size_t limit)
    : limit_(limit)
{ }

std::optional<DroppedRequest> AdmissionQueue::push(const WaitingRequest &request, Instant now)
{
    // An idle team whose start tag is not ahead of the virtual time is equivalent to a new team.
    std::erase_if(teams_, [&](const auto &entry) {
        return entry.second.waiting.empty() && entry.second.startTag <= virtualTime_;
    });
    Team &team = teams_[request.team];
    team.weight = std::max(minWeight, request.weight.value());
    if (team.waiting.empty())
        team.startTag = std::max(team.startTag, virtualTime_);
    team.waiting.push_back({ request, now });
    ++size_;
    if (size_ <= limit_)
        return std::nullopt;
    return evictOne(now);
}

DroppedRequest AdmissionQueue::evictOne(Instant now)
{
    const auto queuedPerWeight = [](const auto &entry) {
        return static_cast<double>(entry.second.waiting.size()) / entry.second.weight;
    };
    Team &team = std::ranges::max_element(teams_, {}, queuedPerWeight)->second;
    const auto victim = std::ranges::max_element(team.waiting, {}, [](const Entry &entry) {
        return std::pair(entry.request.deferrable, entry.request.deadline);
    });
    const DroppedRequest dropped { victim->request.ticket,
        refusal(RefusalReason::QueueFull, team, now) };
    team.waiting.erase(victim);
    --size_;
    return dropped;
}

std::optional<WaitingRequest> AdmissionQueue::pop(Instant now)
{
    // Order within a team: requests that are not deferrable first, then by deadline. For a
    // deferrable request that has waited for agingDelay, the end of that delay is its deadline.
    const auto rank = [&](const Entry &entry) {
        const Instant agedAt = entry.arrivedAt + agingDelay;
        const bool isAged = entry.request.deferrable && now >= agedAt;
        return std::tuple(entry.request.deadline <= now, entry.request.deferrable && !isAged,
            isAged ? agedAt : entry.request.deadline);
    };
    Team *best = nullptr;
    std::vector<Entry>::iterator bestEntry;
    std::pair<bool, double> bestKey;
    for (auto &[id, team] : teams_) {
        const auto entry = std::ranges::min_element(team.waiting, {}, rank);
        if (entry == team.waiting.end() || entry->request.deadline <= now)
            continue;
        const std::pair key(std::get<1>(rank(*entry)), team.startTag);
        if (best == nullptr || key < bestKey) {
            best = &team;
            bestEntry = entry;
            bestKey = key;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    const WaitingRequest request = bestEntry->request;
    best->waiting.erase(bestEntry);
    --size_;
    virtualTime_ = std::max(virtualTime_, best->startTag);
    best->startTag += 1 / best->weight;
    return request;
}

std::vector<DroppedRequest> AdmissionQueue::expire(Instant now, Interval expectedTime)
{
    std::vector<DroppedRequest> dropped;
    for (auto &[id, team] : teams_) {
        const auto isLate
            = [&](const Entry &entry) { return now + expectedTime >= entry.request.deadline; };
        for (const Entry &entry : team.waiting) {
            if (isLate(entry))
                dropped.push_back(
                    { entry.request.ticket, refusal(RefusalReason::Deadline, team, now) });
        }
        size_ -= std::erase_if(team.waiting, isLate);
    }
    return dropped;
}

bool AdmissionQueue::remove(Ticket ticket)
{
    for (auto &[id, team] : teams_) {
        if (std::erase_if(
                team.waiting, [&](const Entry &entry) { return entry.request.ticket == ticket; })
            > 0) {
            --size_;
            return true;
        }
    }
    return false;
}

bool AdmissionQueue::contains(Ticket ticket) const
{
    return std::ranges::any_of(teams_, [&](const auto &entry) {
        return std::ranges::any_of(entry.second.waiting,
            [&](const Entry &waiting) { return waiting.request.ticket == ticket; });
    });
}

std::size_t AdmissionQueue::size(const TeamId &team) const
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? 0 : found->second.waiting.size();
}

std::optional<Instant> AdmissionQueue::nextDeadline() const
{
    std::optional<Instant> next;
    for (const auto &[id, team] : teams_) {
        for (const Entry &entry : team.waiting)
            next = std::min(next.value_or(entry.request.deadline), entry.request.deadline);
    }
    return next;
}

Refusal AdmissionQueue::refusal(RefusalReason reason, const Team &team, Instant now) const
{
    double totalWeight = 0;
    for (const auto &[id, other] : teams_)
        totalWeight += other.waiting.empty() ? 0 : other.weight;
    Interval retryDelay = minRetryDelay;
    if (serviceRate_.value() > 0) {
        const double teamRate
            = serviceRate_.value() * team.weight / std::max(totalWeight, team.weight);
        const double seconds = static_cast<double>(team.waiting.size()) / teamRate;
        retryDelay = fromSeconds(std::min(seconds, toSeconds(maxRetryDelay)));
    }
    return { reason, now + std::max(retryDelay, minRetryDelay) };
}

} // namespace endivequay
