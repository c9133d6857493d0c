#ifndef ENDIVEQUAY_METRICS_H
#define ENDIVEQUAY_METRICS_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace endivequay {

/// Counters, gauges and distributions of one process. Thread safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds \a amount to the counter \a name. \a labels is "key=\"value\",..." or empty.
    void count(std::string_view name, std::string_view labels = {}, double amount = 1);
    /// Sets the gauge \a name to \a value.
    void set(std::string_view name, std::string_view labels, double value);
    /// Adds the sample \a value to the distribution \a name, which is exported as count, sum and
    /// estimates of p50 and p99.
    void observe(std::string_view name, std::string_view labels, double value);

    /// Current value of a counter or gauge; 0 if it does not exist.
    double value(std::string_view name, std::string_view labels = {}) const;

    /// All metrics in the Prometheus text exposition format.
    std::string render() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace endivequay

#endif
