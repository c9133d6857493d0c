#include "endivequay/admissionqueue.h"

#include <algorithm>
#include <tuple>

namespace endivequay {

namespace {

constexpr Interval shortestRetry = std::chrono::milliseconds(100);
constexpr Interval longestRetry = std::chrono::seconds(10);
/// Lowest weight, so that a team without a rate is served slowly and not never.
constexpr double lowestWeight = 1e-3;

} // namespace

AdmissionQueue::AdmissionQueue(std::size_t limit)
    : limit_(limit)
{ }

std::optional<DroppedRequest> AdmissionQueue::push(const WaitingRequest &request, Instant now)
{
    // An idle team without debt has the same tags as a new one.
    std::erase_if(teams_, [&](const auto &entry) {
        return entry.second.waiting.empty() && entry.second.startTag <= virtualTime_;
    });
    Team &team = teams_[request.team];
    team.weight = std::max(lowestWeight, request.weight.value());
    if (team.waiting.empty())
        team.startTag = std::max(team.startTag, virtualTime_);
    team.waiting.push_back({ request, now });
    ++size_;
    if (size_ <= limit_)
        return std::nullopt;
    return giveUpOne(now);
}

DroppedRequest AdmissionQueue::giveUpOne(Instant now)
{
    const auto share = [](const auto &entry) {
        return static_cast<double>(entry.second.waiting.size()) / entry.second.weight;
    };
    Team &team = std::ranges::max_element(teams_, {}, share)->second;
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
    // Order within a team: urgent before deferrable, then by deadline. A deferrable request that
    // has waited for agingBound competes with the end of that wait as its deadline.
    const auto rank = [&](const Entry &entry) {
        const Instant agedAt = entry.arrivedAt + agingBound;
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
    double weights = 0;
    for (const auto &[id, other] : teams_)
        weights += other.waiting.empty() ? 0 : other.weight;
    Interval pause = shortestRetry;
    if (serviceRate_.value() > 0) {
        const double teamRate = serviceRate_.value() * team.weight / std::max(weights, team.weight);
        const double seconds = static_cast<double>(team.waiting.size()) / teamRate;
        pause = fromSeconds(std::min(seconds, toSeconds(longestRetry)));
    }
    return { reason, now + std::max(pause, shortestRetry) };
}

} // namespace endivequay
