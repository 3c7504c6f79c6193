#pragma once

#include <roseworks/instant.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace roseworks
{

/** Percentiles of the latencies of the last 30 s.

    Load pattern: the latency of a service changes within seconds when its load
    changes. Older samples would make hedges start too early or too late.

    The window slides in steps of a tenth of its length, so the samples of the
    last 27 to 30 s count. Latencies are counted in buckets that are at most
    1/16 wide, up to two minutes. Memory is constant. Hint: starts empty.
*/
class latency_window
{
public:
    /// Fewer samples give no percentile.
    static constexpr std::uint32_t min_samples = 50;

    /// Longest time that a sample counts.
    static constexpr duration length = std::chrono::seconds(30);

    void add(duration latency, instant now);

    /// @param fraction Above 0, at most 1.
    /// @return The upper bound of the bucket in which the percentile lies;
    ///         empty: too few samples.
    std::optional<duration> percentile(double fraction, instant now) const;

    std::uint32_t count(instant now) const;

private:
    static constexpr std::int64_t slice_count = 10;
    static constexpr std::size_t sub_buckets = 16;
    static constexpr std::size_t octaves = 17;
    static constexpr std::size_t bucket_count = sub_buckets * octaves;

    struct slice
    {
        std::int64_t number = 0; ///< of slices since the epoch
        std::uint32_t samples = 0;
        std::array<std::uint32_t, bucket_count> buckets{};
    };

    static std::size_t bucket_of(duration latency);
    static duration upper_bound_of(std::size_t bucket);
    static std::int64_t slice_number(instant now);
    static bool is_recent(const slice& one, instant now);

    std::array<slice, slice_count> slices{};
};

} // namespace roseworks
