#pragma once

#include "adapters/metrics/label_set.hpp"
#include "adapters/metrics/latency_histogram.hpp"
#include "adapters/metrics/metric.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>

namespace roseworks::metrics
{

namespace detail
{

/// Writes the cumulative buckets, the sum and the count of one series. Only
/// every tenth bin edge becomes a bucket, which keeps scrapes small.
class bucket_writer
{
public:
    /// @param metric_name the metric's name without suffix.
    /// @param label_text  the labels of the series, in the form of
    ///                    `label_set::text`.
    bucket_writer(std::string_view metric_name, std::string_view label_text);

    void write(std::ostream& out, const latency_histogram& histogram) const;

private:
    void write_bucket(
        std::ostream& out,
        std::string_view edge,
        std::uint64_t cumulative) const;
    void write_total(
        std::ostream& out,
        std::string_view suffix,
        std::string_view value) const;

    std::string name;
    std::string labels;
};

} // namespace detail

/// Latencies for each combination of labels, exposed as a Prometheus histogram
/// in seconds. Thread-safe and lock-free.
template <typename... Labels>
class latency final : public metric
{
public:
    using metric::metric;

    /// Records one latency for a combination.
    void record(std::chrono::nanoseconds value, Labels... labels)
    {
        this->cells[label_set<Labels...>::index(labels...)].record(value);
    }

    /// @return the histogram of a combination.
    const latency_histogram& histogram(Labels... labels) const
    {
        return this->cells[label_set<Labels...>::index(labels...)];
    }

    void write(std::ostream& out) const override
    {
        this->write_header(out, "histogram");
        for (std::size_t cell = 0; cell < this->cells.size(); ++cell)
        {
            detail::bucket_writer(
                this->name(), label_set<Labels...>::text(cell))
                .write(out, this->cells[cell]);
        }
    }

private:
    std::array<latency_histogram, label_set<Labels...>::size> cells;
};

} // namespace roseworks::metrics
