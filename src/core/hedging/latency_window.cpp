#include "core/hedging/latency_window.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace roseworks
{

namespace
{

/// Width of the smallest buckets.
constexpr duration resolution = std::chrono::microseconds(128);

} // namespace

void latency_window::add(duration latency, instant now)
{
    const std::int64_t number = slice_number(now);
    slice& current =
        this->slices[static_cast<std::size_t>(number % slice_count)];
    if (current.number != number)
    {
        current = {};
        current.number = number;
    }
    ++current.samples;
    ++current.buckets[bucket_of(latency)];
}

std::uint32_t latency_window::count(instant now) const
{
    std::uint32_t sum = 0;
    for (const slice& one : this->slices)
        sum += is_recent(one, now) ? one.samples : 0;
    return sum;
}

std::optional<duration>
latency_window::percentile(double fraction, instant now) const
{
    const std::uint32_t samples = this->count(now);
    if (samples < min_samples)
        return std::nullopt;
    const auto rank = static_cast<std::uint64_t>(std::ceil(fraction * samples));
    std::uint64_t below = 0;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
    {
        for (const slice& one : this->slices)
            below += is_recent(one, now) ? one.buckets[bucket] : 0;
        if (below >= rank)
            return upper_bound_of(bucket);
    }
    return upper_bound_of(bucket_count - 1);
}

std::size_t latency_window::bucket_of(duration latency)
{
    constexpr int sub_bits = static_cast<int>(std::bit_width(sub_buckets)) - 1;
    const auto units = static_cast<std::uint64_t>(
        std::max(latency, duration::zero()) / resolution);
    if (units < sub_buckets)
        return units;
    const int shift = static_cast<int>(std::bit_width(units)) - 1 - sub_bits;
    const std::size_t octave = static_cast<std::size_t>(shift) + 1;
    const std::size_t within = (units >> shift) - sub_buckets;
    return std::min(octave * sub_buckets + within, bucket_count - 1);
}

duration latency_window::upper_bound_of(std::size_t bucket)
{
    const std::size_t octave = bucket / sub_buckets;
    const std::size_t within = bucket % sub_buckets;
    if (octave == 0)
        return resolution * static_cast<std::int64_t>(within + 1);
    return resolution * static_cast<std::int64_t>(
                            (sub_buckets + within + 1) << (octave - 1));
}

std::int64_t latency_window::slice_number(instant now)
{
    return now.time_since_epoch() / (length / slice_count);
}

bool latency_window::is_recent(const slice& one, instant now)
{
    const std::int64_t newest = slice_number(now);
    return one.number <= newest && one.number > newest - slice_count;
}

} // namespace roseworks
