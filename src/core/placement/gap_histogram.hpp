#pragma once

#include <roseworks/instant.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace roseworks::detail
{

/** Gaps between uses, in bins each half as long again as the one before.

    Fixed memory. Gaps below the first edge fall into the first bin, those above
    the last edge into the last. When a bin is full, all are halved, so that
    their shares stay.
*/
template <class Count>
class basic_gap_histogram
{
public:
    static constexpr std::size_t bins = 24;

    /// Count one gap.
    void add(duration gap);

    /// @return Gaps counted in a bin.
    std::uint32_t count(std::size_t bin) const
    {
        return this->counts[bin];
    }

    /// @return All gaps counted.
    std::uint32_t total() const
    {
        return this->sum;
    }

    /// @return The longest gap that falls into a bin.
    static duration upper_edge(std::size_t bin);

private:
    void halve();

    std::array<Count, bins> counts{};
    std::uint32_t sum = 0;
};

using gap_histogram = basic_gap_histogram<std::uint32_t>;

/// For each of many servables: 52 bytes.
using small_gap_histogram = basic_gap_histogram<std::uint16_t>;

} // namespace roseworks::detail
