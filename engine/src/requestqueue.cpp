#include "endivequay/requestqueue.h"

#include <algorithm>
#include <iterator>

namespace endivequay {

void RequestQueue::push(const ServiceId &service, const QueuePosition &position)
{
    size_ += waiting_[service].insert(position).second ? 1 : 0;
}

void RequestQueue::remove(const ServiceId &service, const QueuePosition &position)
{
    const auto found = waiting_.find(service);
    if (found == waiting_.end())
        return;
    size_ -= found->second.erase(position);
    if (found->second.empty())
        waiting_.erase(found);
}

std::vector<QueuePosition> RequestQueue::ordered(const ServiceId &service) const
{
    const auto found = waiting_.find(service);
    return found == waiting_.end() ? std::vector<QueuePosition> {}
                                   : std::vector(found->second.begin(), found->second.end());
}

std::vector<ServiceId> RequestQueue::services() const
{
    std::vector<ServiceId> services;
    std::ranges::transform(
        waiting_, std::back_inserter(services), [](const auto &entry) { return entry.first; });
    return services;
}

std::size_t RequestQueue::ahead(const ServiceId &service, const QueuePosition &position) const
{
    const auto found = waiting_.find(service);
    if (found == waiting_.end())
        return 0;
    return static_cast<std::size_t>(
        std::distance(found->second.begin(), found->second.lower_bound(position)));
}

} // namespace endivequay
