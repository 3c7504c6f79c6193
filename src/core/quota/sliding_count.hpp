#pragma once

#include <roseworks/instant.hpp>

#include <array>
#include <cstdint>

namespace roseworks
{

/** Counts events within a sliding window.

    The window slides in steps of a tenth of its length, so the events of the
    last 9 to 10 tenths of it are counted: never more than happened.
*/
class sliding_count
{
public:
    /// @param window Has to be positive.
    explicit sliding_count(duration window);

    void add(instant now);

    std::uint32_t count(instant now) const;

private:
    static constexpr std::int64_t slice_count = 10;

    struct slice
    {
        std::int64_t number = 0; ///< of slices since the epoch
        std::uint32_t events = 0;
    };

    std::int64_t slice_number(instant now) const;

    duration slice_length;
    std::array<slice, slice_count> slices{};
};

} // namespace roseworks
