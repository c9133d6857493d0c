#ifndef ENDIVEQUAY_DECISIONLOG_H
#define ENDIVEQUAY_DECISIONLOG_H

#include "endivequay/clock.h"
#include "endivequay/events.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace endivequay {

/// Value of a log field.
using LogValue = std::variant<std::string_view, std::int64_t, double, bool>;

struct LogField
{
    template <class T>
    LogField(std::string_view fieldName, const T &fieldValue)
        : name(fieldName)
        , value(toValue(fieldValue))
    { }

    std::string_view name;
    LogValue value;

private:
    template <class T>
    static LogValue toValue(const T &source)
    {
        if constexpr (std::is_same_v<T, bool>)
            return source;
        else if constexpr (std::is_integral_v<T>)
            return static_cast<std::int64_t>(source);
        else if constexpr (std::is_floating_point_v<T>)
            return static_cast<double>(source);
        else
            return std::string_view(source);
    }
};

/// Structured log of one process: one JSON object per line with time, event number, event name,
/// process and fields.
///
/// Lines are buffered and written without blocking; while the buffer is full because the reader is
/// slow, lines are dropped and counted. Each event has a rate limit, from which the first line of a
/// new cause is exempt. Not built on a logging library: those block, or write from a background
/// thread whose wake-ups cost more than the formatting. Not thread safe.
class DecisionLog
{
public:
    struct Limits
    {
        double linesPerSecond = 150; ///< Sustained rate of each event.
        double burst = 400; ///< Capacity of each event's token bucket, in lines.
        std::size_t bufferBytes = std::size_t { 256 } * 1024;
    };

    /// Writes to the file descriptor \a output.
    DecisionLog(std::string process, int output, Limits limits);

    void setEnabled(bool enabled) { enabled_ = enabled; }
    bool enabled() const { return enabled_; }

    /// Logs a line. The first line of a new \a cause is exempt from the rate limit; \a cause may be
    /// empty.
    void write(
        EventId id, std::string_view cause, Instant now, std::initializer_list<LogField> fields);
    /// Writes as much of the buffer as the output accepts without blocking.
    void flush(Instant now);

    std::uint64_t suppressed() const { return suppressedTotal_; }

private:
    /// Token bucket of one event.
    struct EventLimiter
    {
        double tokens = 0;
        Instant refilledAt;
        std::uint64_t suppressed = 0; ///< Lines dropped since the last report.
    };

    /// Whether a line may be written; takes a token, or counts the line as suppressed.
    bool admitLine(EventId id, std::string_view cause, Instant now);
    void append(EventId id, std::initializer_list<LogField> fields);
    void reportSuppressed(Instant now);

    const std::string process_;
    const int output_;
    const Limits limits_;
    bool enabled_ = true;
    std::string buffer_;
    std::map<EventId, EventLimiter> limiters_;
    std::map<std::string, Instant, std::less<>> causes_; ///< When each cause was last written.
    std::uint64_t suppressedTotal_ = 0;
    Instant reportedAt_;
};

} // namespace endivequay

#endif
