#include "adapters/metrics/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace roseworks::metrics
{

using seconds_double = std::chrono::duration<double>;

latency_histogram::latency_histogram()
    : histogram(
          std::make_tuple(
              axis_type(bin_count, lowest_seconds, highest_seconds)),
          storage_type())
{
}

void latency_histogram::record(std::chrono::nanoseconds latency)
{
    const auto clamped = std::max(latency, std::chrono::nanoseconds::zero());
    this->histogram(seconds_double(clamped).count());
    this->sum_ns.fetch_add(clamped.count(), std::memory_order_relaxed);
}

std::optional<std::chrono::nanoseconds>
latency_histogram::percentile(double percent) const
{
    const auto seconds = metrics::percentile(this->histogram, percent);
    if (!seconds)
        return std::nullopt;
    return std::chrono::nanoseconds(std::llround(*seconds * 1e9));
}

std::uint64_t latency_histogram::count() const
{
    std::uint64_t total = 0;
    for (const auto& cell : this->histogram)
        total += cell.value();
    return total;
}

std::chrono::nanoseconds latency_histogram::sum() const
{
    return std::chrono::nanoseconds(
        this->sum_ns.load(std::memory_order_relaxed));
}

} // namespace roseworks::metrics
