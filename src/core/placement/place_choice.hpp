#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace roseworks::detail
{

/** What an engine is chosen by for a new replica: the least goes first.

    Pure, and shared by the proposer and the policy replay, so that what is
    measured is what runs.
*/
struct engine_score
{
    bool avoided = false; ///< out of reach, or a load failed there lately
    std::size_t same = 0; ///< replicas of the servable there
    int cache_tier = 0;   ///< 0: memory, 1: disk, 2: remote
    std::size_t same_data_centre = 0; ///< replicas of the servable around it
    std::uint64_t reserved_mib = 0;
    std::uint32_t engine = 0; ///< decides among equals

    friend auto operator<=>(const engine_score&, const engine_score&) = default;
};

/// A replica that may be evicted.
struct victim
{
    double value = 0; ///< the highest goes first
    std::uint64_t replica = 0;
    std::uint64_t memory_mib = 0;
};

/// Replicas to evict from one engine, and what it costs.
struct victim_plan
{
    bool possible = false;
    double least_value = 0; ///< of the replica that is worth keeping most
    std::vector<std::uint64_t> replicas;

    /// @return Whether this is the cheaper of two plans that are possible:
    ///         fewer victims, then those that are worth less.
    bool cheaper_than(const victim_plan& other) const;
};

/** Choose replicas to evict.

    @param candidates Those that may go, in any order.
    @param to_free    Memory that is needed, in MiB.
    @return           Those with the highest values, as many as are needed.
*/
victim_plan
choose_victims(std::span<const victim> candidates, std::uint64_t to_free);

} // namespace roseworks::detail
