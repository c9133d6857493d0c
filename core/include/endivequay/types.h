#ifndef ENDIVEQUAY_TYPES_H
#define ENDIVEQUAY_TYPES_H

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace endivequay {

/// Strong typedef: wraps a \a T so that values with different \a Tag types cannot be confused.
template <class Tag, class T>
class Strong
{
public:
    Strong() = default;
    explicit Strong(T value)
        : value_(std::move(value))
    { }

    const T &value() const { return value_; }
    auto operator<=>(const Strong &) const = default;

private:
    T value_ {};
};

template <class Tag, class T>
std::ostream &operator<<(std::ostream &out, const Strong<Tag, T> &id)
{
    return out << id.value();
}

using ServiceId = Strong<struct ServiceTag, std::string>;
using UpstreamId = Strong<struct UpstreamTag, std::string>;
using RegionId = Strong<struct RegionTag, std::string>;
using FailureDomainId = Strong<struct FailureDomainTag, std::string>;
using SiteId = Strong<struct SiteTag, std::string>;
using TeamId = Strong<struct TeamTag, std::string>;
using ChangeId = Strong<struct ChangeTag, std::string>;
using ResourceId = Strong<struct ResourceTag, std::string>;

/// Network address of a process, written "ip:port".
using Address = Strong<struct AddressTag, std::string>;

/// Identifies one run of a process. A restart at the same address is a new incarnation.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;

/// Revision of the store. Totally ordered; 0 means that nothing has been read yet.
using Revision = Strong<struct RevisionTag, std::int64_t>;

/// Rises each time the store is restored from a backup. Revisions of two epochs are not comparable:
/// a restored store assigns the revisions after the backup again. 0: the store does not tell.
using StoreEpoch = Strong<struct StoreEpochTag, std::int64_t>;

/// Requests per second.
using RequestRate = Strong<struct RequestRateTag, double>;

/// A possibly fractional number of requests, such as the tokens of a bucket or a burst size.
using RequestCount = Strong<struct RequestCountTag, double>;

/// Concurrent requests at an upstream.
using SlotCount = Strong<struct SlotCountTag, int>;

} // namespace endivequay

template <class Tag, class T>
struct std::hash<endivequay::Strong<Tag, T>>
{
    std::size_t operator()(const endivequay::Strong<Tag, T> &id) const noexcept
    {
        return std::hash<T> {}(id.value());
    }
};

#endif
