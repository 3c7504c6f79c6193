#pragma once

#include "adapters/metrics/percentile.hpp"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <tuple>

namespace roseworks::metrics
{

/// A histogram of latencies from 10 microseconds to 10 minutes in logarithmic
/// bins, each 7.7 % wider than the previous one. Uses a fixed amount of memory
/// (about 2 KB). Any number of threads may record and read concurrently.
class latency_histogram
{
public:
    using axis_type = boost::histogram::axis::
        regular<double, boost::histogram::axis::transform::log>;
    using storage_type = boost::histogram::dense_storage<
        boost::histogram::accumulators::count<std::uint64_t, true>>;
    using histogram_type =
        boost::histogram::histogram<std::tuple<axis_type>, storage_type>;

    static constexpr double lowest_seconds = 10e-6;
    static constexpr double highest_seconds = 600;
    static constexpr unsigned bin_count = 240;

    latency_histogram();

    /// Records one latency. A negative latency counts as zero.
    void record(std::chrono::nanoseconds latency);

    /// @param percent from 0 to 100.
    /// @return the estimated percentile; empty when nothing was recorded.
    std::optional<std::chrono::nanoseconds> percentile(double percent) const;

    /// @return how many latencies were recorded.
    std::uint64_t count() const;

    /// @return the sum of the recorded latencies.
    std::chrono::nanoseconds sum() const;

    /// @return the bins, in seconds, for exposition and export.
    const histogram_type& bins() const
    {
        return this->histogram;
    }

private:
    histogram_type histogram;
    std::atomic<std::int64_t> sum_ns{0};
};

} // namespace roseworks::metrics
