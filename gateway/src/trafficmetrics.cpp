#include "endivequay/trafficmetrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace endivequay {

void TrafficMetrics::count(std::string_view name, std::string_view label, std::string_view value)
{
    auto counter = counters_.find(name);
    if (counter == counters_.end()) {
        counter = counters_.try_emplace(std::string(name)).first;
        labels_[std::string(name)] = label;
    }
    auto sample = counter->second.find(value);
    if (sample == counter->second.end())
        sample = counter->second.try_emplace(std::string(value), 0).first;
    ++sample->second;
}

void TrafficMetrics::set(std::string_view name, double value)
{
    gauges_.insert_or_assign(std::string(name), value);
}

void TrafficMetrics::observe(std::string_view name, double seconds)
{
    auto found = histograms_.find(name);
    if (found == histograms_.end())
        found = histograms_.try_emplace(std::string(name)).first;
    Histogram &histogram = found->second;
    const auto bucket = std::ranges::lower_bound(bucketBounds, seconds);
    ++histogram.buckets[static_cast<std::size_t>(bucket - bucketBounds.begin())];
    histogram.sum += seconds;
    ++histogram.count;
}

std::string TrafficMetrics::render() const
{
    std::string out;
    const auto appender = std::back_inserter(out);
    for (const auto &[name, samples] : counters_)
        for (const auto &[value, total] : samples)
            fmt::format_to(
                appender, "{}{{{}=\"{}\"}} {}\n", name, labels_.find(name)->second, value, total);
    for (const auto &[name, value] : gauges_)
        fmt::format_to(appender, "{} {}\n", name, value);
    for (const auto &[name, histogram] : histograms_) {
        std::uint64_t cumulative = 0;
        for (std::size_t i = 0; i < bucketBounds.size(); ++i) {
            cumulative += histogram.buckets[i];
            fmt::format_to(
                appender, "{}_bucket{{le=\"{}\"}} {}\n", name, bucketBounds[i], cumulative);
        }
        fmt::format_to(appender, "{}_bucket{{le=\"+Inf\"}} {}\n{}_sum {}\n{}_count {}\n", name,
            histogram.count, name, histogram.sum, name, histogram.count);
    }
    return out;
}

} // namespace endivequay
