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

template <class Count>
void basic_gap_histogram<Count>::add(duration gap)
{
    const std::size_t bin = bin_of(gap);
    if (this->counts[bin] == std::numeric_limits<Count>::max())
    {
        this->halve();
    }
    ++this->counts[bin];
    ++this->sum;
}

template <class Count>
duration basic_gap_histogram<Count>::upper_edge(std::size_t bin)
{
    // 4 s, 6 s, 9 s, ... about 12.5 h.
    duration edge = first_edge;
    for (std::size_t i = 0; i < bin; ++i)
    {
        edge = edge * 3 / 2;
    }
    return edge;
}

template <class Count>
void basic_gap_histogram<Count>::halve()
{
    this->sum = 0;
    for (Count& count : this->counts)
    {
        count /= 2;
        this->sum += count;
    }
}

template class basic_gap_histogram<std::uint32_t>;
template class basic_gap_histogram<std::uint16_t>;

} // namespace roseworks::detail
