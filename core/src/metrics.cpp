#include "endivequay/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

#include <map>
#include <mutex>

namespace endivequay {

namespace {

namespace acc = boost::accumulators;

using CountAndSum = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;
using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

struct Distribution
{
    CountAndSum countAndSum;
    Quantile median { acc::quantile_probability = 0.5 };
    Quantile p99 { acc::quantile_probability = 0.99 };

    void add(double value)
    {
        countAndSum(value);
        median(value);
        p99(value);
    }
};

struct Series
{
    std::string name;
    std::string labels;

    auto operator<=>(const Series &) const = default;
};

std::string withLabels(const Series &series, std::string_view suffix, std::string_view extra)
{
    std::string labels = series.labels;
    if (!extra.empty())
        labels += (labels.empty() ? "" : ",") + std::string(extra);
    return series.name + std::string(suffix) + (labels.empty() ? "" : "{" + labels + "}");
}

void renderDistribution(std::string &text, const Series &series, const Distribution &distribution)
{
    text += fmt::format("{} {}\n", withLabels(series, "", "quantile=\"0.5\""),
        acc::p_square_quantile(distribution.median));
    text += fmt::format("{} {}\n", withLabels(series, "", "quantile=\"0.99\""),
        acc::p_square_quantile(distribution.p99));
    text += fmt::format(
        "{} {}\n", withLabels(series, "_sum", ""), acc::sum(distribution.countAndSum));
    text += fmt::format(
        "{} {}\n", withLabels(series, "_count", ""), acc::count(distribution.countAndSum));
}

} // namespace

struct Metrics::State
{
    mutable std::mutex mutex;
    std::map<Series, double> counters;
    std::map<Series, double> gauges;
    std::map<Series, Distribution> distributions;
};

Metrics::Metrics()
    : state_(std::make_unique<State>())
{ }
Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, std::string_view labels, double amount)
{
    const std::lock_guard lock(state_->mutex);
    state_->counters[{ std::string(name), std::string(labels) }] += amount;
}

void Metrics::set(std::string_view name, std::string_view labels, double value)
{
    const std::lock_guard lock(state_->mutex);
    state_->gauges[{ std::string(name), std::string(labels) }] = value;
}

void Metrics::observe(std::string_view name, std::string_view labels, double value)
{
    const std::lock_guard lock(state_->mutex);
    state_->distributions[{ std::string(name), std::string(labels) }].add(value);
}

double Metrics::value(std::string_view name, std::string_view labels) const
{
    const Series series { std::string(name), std::string(labels) };
    const std::lock_guard lock(state_->mutex);
    if (const auto found = state_->counters.find(series); found != state_->counters.end())
        return found->second;
    const auto found = state_->gauges.find(series);
    return found == state_->gauges.end() ? 0 : found->second;
}

std::string Metrics::render() const
{
    const std::lock_guard lock(state_->mutex);
    std::string text;
    for (const auto *values : { &state_->counters, &state_->gauges }) {
        for (const auto &[series, value] : *values)
            text += fmt::format("{} {}\n", withLabels(series, "", ""), value);
    }
    for (const auto &[series, distribution] : state_->distributions)
        renderDistribution(text, series, distribution);
    return text;
}

} // namespace endivequay
