#ifndef ENDIVEQUAY_RESULT_H
#define ENDIVEQUAY_RESULT_H

#include <cassert>
#include <optional>
#include <string>
#include <utility>

namespace endivequay {

/// Failure of an operation: the step, the peer involved and the reason.
struct Error
{
    std::string step; ///< Operation that failed, for example "store.txn".
    std::string peer; ///< Address, field path or id of what was involved; may be empty.
    std::string reason; ///< Description of the failure, one sentence without a full stop.

    bool operator==(const Error &) const = default;
};

/// Formats an error as "step (peer): reason", or "step: reason" without a peer.
std::string toString(const Error &error);

/// Either a value or the error that explains why there is none.
template <class T>
class [[nodiscard]] Result
{
public:
    Result(T value)
        : value_(std::move(value))
    { }
    Result(Error error)
        : lastReason_(std::move(error))
    { }

    explicit operator bool() const { return value_.has_value(); }
    bool hasValue() const { return value_.has_value(); }

    T &operator*() & { return *value_; }
    const T &operator*() const & { return *value_; }
    T &&operator*() && { return *std::move(value_); }
    T *operator->() { return &*value_; }
    const T *operator->() const { return &*value_; }

    const std::optional<T> &value() const { return value_; }

    /// The error; its fields are empty if there is a value.
    const Error &lastReason() const { return lastReason_; }

private:
    std::optional<T> value_;
    Error lastReason_;
};

/// Value type of a Result that reports success without data.
struct Done
{
    bool operator==(const Done &) const = default;
};

using Status = Result<Done>;

} // namespace endivequay

#endif
