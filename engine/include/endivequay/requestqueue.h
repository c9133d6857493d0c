#ifndef ENDIVEQUAY_REQUESTQUEUE_H
#define ENDIVEQUAY_REQUESTQUEUE_H

#include "endivequay/clock.h"
#include "endivequay/types.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace endivequay {

/// Identifier that the user of the engine assigns to a request.
using RequestId = std::uint64_t;

/// Sort key of a queued request.
struct QueuePosition
{
    int priority = 0; ///< 0 is served first.
    bool firstArrival = true; ///< Retried requests are served before first arrivals.
    Instant waitUntil; ///< Earliest is served first.
    RequestId requestId = 0;

    auto operator<=>(const QueuePosition &) const = default;
};

/// Requests that wait for capacity, by service. Absorbs load that exceeds the free slots for less
/// than the slack between the objective of a request and its service time. Not thread safe.
class RequestQueue
{
public:
    void push(const ServiceId &service, const QueuePosition &position);
    void remove(const ServiceId &service, const QueuePosition &position);
    /// Queued requests of \a service in service order.
    std::vector<QueuePosition> ordered(const ServiceId &service) const;
    std::vector<ServiceId> services() const;
    /// Number of requests of \a service that are served before \a position.
    std::size_t ahead(const ServiceId &service, const QueuePosition &position) const;
    std::size_t size() const { return size_; }

private:
    std::map<ServiceId, std::set<QueuePosition>> waiting_;
    std::size_t size_ = 0;
};

} // namespace endivequay

#endif
