#include "core/quota/sliding_count.hpp"

#include <algorithm>

namespace roseworks
{

sliding_count::sliding_count(duration window)
    : slice_length(std::max<duration>(window / slice_count, duration(1)))
{
}

void sliding_count::add(instant now)
{
    const std::int64_t number = this->slice_number(now);
    slice& current =
        this->slices[static_cast<std::size_t>(number % slice_count)];
    if (current.number != number)
        current = {number, 0};
    ++current.events;
}

std::uint32_t sliding_count::count(instant now) const
{
    const std::int64_t oldest = this->slice_number(now) - slice_count + 1;
    std::uint32_t sum = 0;
    for (const slice& one : this->slices)
        sum += one.number >= oldest ? one.events : 0;
    return sum;
}

std::int64_t sliding_count::slice_number(instant now) const
{
    return now.time_since_epoch() / this->slice_length;
}

} // namespace roseworks
