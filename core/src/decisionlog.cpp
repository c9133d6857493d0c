#include "endivequay/decisionlog.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <fcntl.h>
#include <iterator>
#include <unistd.h>

namespace endivequay {

namespace {

/// Maximum number of causes tracked; far more than a process has.
constexpr std::size_t maxCauses = 512;
/// Time without a line after which a cause counts as new again.
constexpr Interval causeTimeout = std::chrono::seconds(10);
/// Interval between reports of the number of suppressed lines.
constexpr Interval suppressedReportInterval = std::chrono::seconds(5);

void appendText(std::string &out, std::string_view text)
{
    out += '"';
    for (char c : text) {
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (static_cast<unsigned char>(c) < 0x20 || static_cast<unsigned char>(c) > 0x7e) {
            fmt::format_to(std::back_inserter(out), "\\u{:04x}", static_cast<unsigned char>(c));
        } else {
            out += c;
        }
    }
    out += '"';
}

struct AppendValue
{
    std::string &out;

    void operator()(std::string_view text) const { appendText(out, text); }
    void operator()(std::int64_t number) const
    {
        fmt::format_to(std::back_inserter(out), "{}", number);
    }
    void operator()(double number) const
    {
        fmt::format_to(std::back_inserter(out), "{:.4g}", number);
    }
    void operator()(bool boolean) const { out += boolean ? "true" : "false"; }
};

} // namespace

DecisionLog::DecisionLog(std::string process, int output, Limits limits)
    : process_(std::move(process))
    , output_(output)
    , limits_(limits)
{
    const int flags = fcntl(output_, F_GETFL, 0);
    if (flags >= 0)
        fcntl(output_, F_SETFL, flags | O_NONBLOCK);
}

bool DecisionLog::admitLine(EventId id, std::string_view cause, Instant now)
{
    EventLimiter &limiter = limiters_[id];
    if (limiter.refilledAt == Instant {})
        limiter.tokens = limits_.burst;
    else
        limiter.tokens = std::min(limits_.burst,
            limiter.tokens + limits_.linesPerSecond * toSeconds(now - limiter.refilledAt));
    limiter.refilledAt = now;
    bool newCause = false;
    if (!cause.empty()) {
        const auto known = causes_.find(cause);
        newCause = known == causes_.end() || now - known->second > causeTimeout;
        if (known != causes_.end())
            known->second = now;
        else if (causes_.size() < maxCauses)
            causes_.emplace(cause, now);
    }
    if (buffer_.size() < limits_.bufferBytes && (limiter.tokens >= 1 || newCause)) {
        limiter.tokens = std::max(0.0, limiter.tokens - 1);
        return true;
    }
    ++limiter.suppressed;
    ++suppressedTotal_;
    return false;
}

void DecisionLog::append(EventId id, std::initializer_list<LogField> fields)
{
    const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    fmt::format_to(std::back_inserter(buffer_),
        R"({{"time":{}.{:03},"event":{},"name":"{}","process":)", wall.count() / 1000,
        wall.count() % 1000, static_cast<int>(id), eventName(id));
    appendText(buffer_, process_);
    for (const LogField &field : fields) {
        buffer_ += ',';
        appendText(buffer_, field.name);
        buffer_ += ':';
        std::visit(AppendValue { buffer_ }, field.value);
    }
    buffer_ += "}\n";
}

void DecisionLog::write(
    EventId id, std::string_view cause, Instant now, std::initializer_list<LogField> fields)
{
    if (enabled_ && admitLine(id, cause, now))
        append(id, fields);
}

void DecisionLog::reportSuppressed(Instant now)
{
    if (now - reportedAt_ < suppressedReportInterval)
        return;
    reportedAt_ = now;
    for (auto &[id, limiter] : limiters_) {
        if (limiter.suppressed == 0)
            continue;
        append(EventId::EntriesSuppressed,
            { { "of", eventName(id) }, { "count", limiter.suppressed } });
        limiter.suppressed = 0;
    }
}

void DecisionLog::flush(Instant now)
{
    if (enabled_)
        reportSuppressed(now);
    if (buffer_.empty())
        return;
    const ssize_t written = ::write(output_, buffer_.data(), buffer_.size());
    if (written > 0)
        buffer_.erase(0, static_cast<std::size_t>(written));
}

} // namespace endivequay
