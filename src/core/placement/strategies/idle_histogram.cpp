#include "core/placement/strategies/idle_histogram.hpp"

namespace roseworks::detail
{

namespace
{

/// Shorter gaps lie within one waking time.
constexpr duration shortest_long_gap = std::chrono::minutes(5);
constexpr std::uint32_t least_gaps = 4;
constexpr double head_share = 0.05;
constexpr double tail_share = 0.95;
/// Head and tail may lie so many bins apart.
constexpr std::size_t most_bins_apart = 2;

} // namespace

std::size_t
idle_histogram::percentile_bin(const gap_histogram& gaps, double share)
{
    double below = 0;
    for (std::size_t bin = 0; bin < gap_histogram::bins; ++bin)
    {
        below += gaps.count(bin);
        if (below >= share * gaps.total())
        {
            return bin;
        }
    }
    return gap_histogram::bins - 1;
}

void idle_histogram::used(
    const servable_use& use, std::vector<expected_use>& expected)
{
    history& known = this->past[use.servable];
    const bool is_new = known.last_use == instant{};
    const duration gap = use.at - known.last_use;
    known.last_use = use.at;
    if (!is_new && gap >= shortest_long_gap)
    {
        known.long_gaps.add(gap);
    }
    if (known.long_gaps.total() < least_gaps)
    {
        return;
    }
    const std::size_t head = percentile_bin(known.long_gaps, head_share);
    const std::size_t tail = percentile_bin(known.long_gaps, tail_share);
    if (tail - head > most_bins_apart)
    {
        return;
    }
    const duration earliest =
        head == 0 ? duration{} : gap_histogram::upper_edge(head - 1);
    expected.push_back(
        {use.servable,
         use.at + earliest,
         use.at + gap_histogram::upper_edge(tail)});
}

} // namespace roseworks::detail
