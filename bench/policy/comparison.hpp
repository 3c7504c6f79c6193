#pragma once

#include "core/trace/trace_profile.hpp"
#include "replay_figures.hpp"
#include "strategy_list.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace roseworks::bench
{

/// The middle of some seeds' values, and their ends.
struct spread
{
    double median = 0;
    double lowest = 0;
    double highest = 0;
};

/// One strategy at one setting over all seeds.
struct comparison_row
{
    std::string strategy;
    double setting_s = 0;
    std::vector<replay_figures> by_seed;
    spread cold_cut; ///< of p99, at equal idle hours; percent
    spread idle_cut; ///< of idle hours, at equal p99; percent
};

struct comparison_options
{
    trace_profile profile;
    std::uint64_t first_seed = 1;
    std::uint64_t seeds = 10;
    std::string only;                   ///< a strategy's name; empty: all
    std::string baseline = "fixed_ttl"; ///< whose sweep is the frontier
    /// Caches of every engine in MiB; empty: as the profile has them.
    std::optional<std::uint32_t> host_cache_mib;
    std::optional<std::uint32_t> disk_cache_mib;
    caller_spread spread;  ///< how callers come through the routers
    bool by_price = false; ///< idle hours are weighted by engines' prices
    duration warm_up = std::chrono::hours(24);
};

/** Replay every strategy at every setting on the same traces, and compare each
    with the frontier of the baseline's sweep on the same trace.

    Where a strategy lies beyond an end of the frontier it is compared with that
    end, which understates it.
*/
std::vector<comparison_row> compare(const comparison_options& options);

/// @return Median and ends of a figure over the seeds.
spread spread_of(const comparison_row& row, double replay_figures::*figure);

} // namespace roseworks::bench
