#pragma once

#include <roseworks/instant.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace roseworks::detail
{

/** Gaps between uses, in bins each half as long again as the one before.

    Fixed memory. Gaps below the first edge fall into the first bin, those above
    the last edge into the last.
*/
class gap_histogram
{
public:
    static constexpr std::size_t bins = 24;

    /// Count one gap.
    void add(duration gap);

    /// @return Gaps counted in a bin.
    std::uint32_t count(std::size_t bin) const;

    /// @return All gaps counted.
    std::uint32_t total() const;

    /// @return The longest gap that falls into a bin.
    static duration upper_edge(std::size_t bin);

private:
    std::array<std::uint32_t, bins> counts{};
    std::uint32_t sum = 0;
};

} // namespace roseworks::detail
