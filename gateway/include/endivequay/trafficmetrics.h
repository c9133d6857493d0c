#ifndef ENDIVEQUAY_TRAFFICMETRICS_H
#define ENDIVEQUAY_TRAFFICMETRICS_H

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace endivequay {

/// Counters, gauges and latency histograms of the request path, rendered in the Prometheus text
/// format. Callers must keep the set of label values small. Not thread safe, and cheaper per sample
/// than Metrics.
class TrafficMetrics
{
public:
    /// Upper bounds of the latency buckets in seconds.
    static constexpr std::array<double, 12> bucketBounds { 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4,
        0.6, 1.0, 2.0, 4.0, 8.0 };

    void count(std::string_view name, std::string_view label, std::string_view value);
    void set(std::string_view name, double value);
    void observe(std::string_view name, double seconds);
    std::string render() const;

private:
    struct Histogram
    {
        std::array<std::uint64_t, bucketBounds.size() + 1> buckets {};
        double sum = 0;
        std::uint64_t count = 0;
    };

    std::map<std::string, std::map<std::string, std::uint64_t, std::less<>>, std::less<>> counters_;
    std::map<std::string, std::string, std::less<>> labels_; ///< Label name of each counter.
    std::map<std::string, double, std::less<>> gauges_;
    std::map<std::string, Histogram, std::less<>> histograms_;
};

} // namespace endivequay

#endif
