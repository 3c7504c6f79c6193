#include "replay_figures.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <span>

namespace roseworks::bench
{

namespace
{

double percentile(std::span<const duration> sorted, double share)
{
    if (sorted.empty())
    {
        return 0;
    }
    const auto size = static_cast<double>(sorted.size());
    const auto rank = static_cast<std::size_t>(std::ceil(share * size));
    const duration value = sorted[std::max<std::size_t>(rank, 1) - 1];
    return std::chrono::duration<double>(value).count();
}

} // namespace

void set_percentiles(std::vector<duration>& cold, replay_figures& result)
{
    std::sort(cold.begin(), cold.end());
    result.requests = cold.size();
    result.cold_p50_s = percentile(cold, 0.5);
    result.cold_p95_s = percentile(cold, 0.95);
    result.cold_p99_s = percentile(cold, 0.99);
    result.cold_p999_s = percentile(cold, 0.999);
    const auto first =
        std::upper_bound(cold.begin(), cold.end(), duration::zero());
    const std::span<const duration> waited(first, cold.end());
    result.waited_p99_s = percentile(waited, 0.99);
    result.waited_share = cold.empty() ? 0
                                       : static_cast<double>(waited.size()) /
                                             static_cast<double>(cold.size());
}

} // namespace roseworks::bench
