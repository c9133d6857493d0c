#ifndef ENDIVEQUAY_RESULT_H
#define ENDIVEQUAY_RESULT_H

#include <cassert>
#include <optional>
#include <string>
#include <utility>

namespace endivequay {

/// Why an operation failed, at which step, and which peer took part.
struct Error
{
    std::string step; ///< Operation that failed, for example "store.txn".
    std::string peer; ///< Address, field path or id of the other side; empty if none took part.
    std::string reason; ///< What went wrong, one sentence without a full stop.

    bool operator==(const Error &) const = default;
};

/// "step (peer): reason".
std::string toString(const Error &error);

/// A std::optional value together with the last reason why it is missing.
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

    /// The reason of the failure; empty fields if there is a value.
    const Error &lastReason() const { return lastReason_; }

private:
    std::optional<T> value_;
    Error lastReason_;
};

/// The value of a Result that carries only success.
struct Done
{
    bool operator==(const Done &) const = default;
};

using Status = Result<Done>;

} // namespace endivequay

#endif
