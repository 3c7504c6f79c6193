#include "core/placement/gap_histogram.hpp"

namespace roseworks::detail
{

namespace
{

constexpr duration first_edge = std::chrono::seconds(4);

std::size_t bin_of(duration gap)
{
    std::size_t bin = 0;
    while (bin + 1 < gap_histogram::bins &&
           gap > gap_histogram::upper_edge(bin))
    {
        ++bin;
    }
    return bin;
}

} // namespace

void gap_histogram::add(duration gap)
{
    ++this->counts[bin_of(gap)];
    ++this->sum;
}

std::uint32_t gap_histogram::count(std::size_t bin) const
{
    return this->counts[bin];
}

std::uint32_t gap_histogram::total() const
{
    return this->sum;
}

duration gap_histogram::upper_edge(std::size_t bin)
{
    // 4 s, 6 s, 9 s, ... about 12.5 h.
    duration edge = first_edge;
    for (std::size_t i = 0; i < bin; ++i)
    {
        edge = edge * 3 / 2;
    }
    return edge;
}

} // namespace roseworks::detail
