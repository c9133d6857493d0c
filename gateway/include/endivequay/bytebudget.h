#ifndef ENDIVEQUAY_BYTEBUDGET_H
#define ENDIVEQUAY_BYTEBUDGET_H

#include <algorithm>
#include <cstddef>
#include <utility>

namespace endivequay {

/// Memory for the messages of all connections of the process, in bytes. Not thread safe.
///
/// Callers are not trusted: each may send a body of the largest size and stop short of its end.
/// Large messages get only part of the budget, so that small ones always find room.
class ByteBudget
{
public:
    /// A message up to this size is a small one. Most requests have under 10 kB.
    static constexpr std::size_t smallMessageBytes = std::size_t { 64 } * 1024;
    /// Part of the budget for large messages.
    static constexpr double largeMessageFraction = 0.8;
    /// Fraction of the instance's memory that the budget takes. The rest holds the control state,
    /// connections, responses that upstreams send, and what the allocator keeps.
    static constexpr double memoryFraction = 0.55;
    /// Used if the memory is unknown.
    static constexpr std::size_t defaultLimit = std::size_t { 256 } * 1024 * 1024;

    explicit ByteBudget(std::size_t limit = defaultLimit)
        : limit_(limit)
    { }

    static constexpr std::size_t limitForMemory(std::size_t memoryBytes)
    {
        return memoryBytes == 0
            ? defaultLimit
            : static_cast<std::size_t>(memoryFraction * static_cast<double>(memoryBytes));
    }

    std::size_t limit() const { return limit_; }
    std::size_t used() const { return used_; }
    bool exhausted() const { return used_ >= limit_; }

private:
    friend class ByteReservation;

    bool mayHold(std::size_t messageBytes, std::size_t increase) const
    {
        const double part = messageBytes > smallMessageBytes ? largeMessageFraction : 1;
        return static_cast<double>(used_ + increase) <= part * static_cast<double>(limit_);
    }

    std::size_t limit_;
    std::size_t used_ = 0;
};

/// Bytes of a budget that one message or buffer occupies; gives them back at its end.
class ByteReservation
{
public:
    ByteReservation() = default;
    /// Without a budget nothing is limited.
    explicit ByteReservation(ByteBudget *budget)
        : budget_(budget)
    { }
    ~ByteReservation() { force(0); }
    ByteReservation(ByteReservation &&other) noexcept
        : budget_(std::exchange(other.budget_, nullptr))
        , bytes_(std::exchange(other.bytes_, 0))
    { }
    ByteReservation &operator=(ByteReservation &&other) noexcept
    {
        std::swap(budget_, other.budget_);
        std::swap(bytes_, other.bytes_);
        return *this;
    }

    /// Occupies \a bytes from now on. Returns false, without a change, if the budget is short.
    bool resize(std::size_t bytes)
    {
        if (budget_ != nullptr && bytes > bytes_ && !budget_->mayHold(bytes, bytes - bytes_))
            return false;
        force(bytes);
        return true;
    }
    /// The same for bytes that are held in any case, such as the response to an admitted request.
    void force(std::size_t bytes)
    {
        if (budget_ != nullptr)
            budget_->used_ += bytes - bytes_;
        bytes_ = bytes;
    }
    std::size_t bytes() const { return bytes_; }

private:
    ByteBudget *budget_ = nullptr;
    std::size_t bytes_ = 0;
};

} // namespace endivequay

#endif
