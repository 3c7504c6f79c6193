#pragma once

#include "clairvoyant.hpp"
#include "core/trace/trace.hpp"
#include "replay_options.hpp"
#include "spread_callers.hpp"

#include <span>
#include <string_view>

namespace roseworks::bench
{

/// Which hold times a named strategy uses; its setting is swept.
enum class hold_kind : std::uint8_t
{
    fixed_ttl,  ///< setting: time to live
    break_even, ///< setting: break-even time of a servable that loads in 10 s
    gap_cost,   ///< the same
    clairvoyant ///< setting: longest gap bridged
};

/// A strategy under comparison.
struct named_strategy
{
    std::string_view name;
    hold_kind holds = hold_kind::fixed_ttl;
    bool reload_cost_eviction = false;
    bool tier_choice = false;
    bool urgent_slots = false;
    bool local_without_slot = false;
    bool staging = false;
    bool periodic = false;
    bool companions = false;
    bool idle_histogram = false;
    bool adapters_like_base = false;
    bool keep_slot_free = false;
    double tail_power = 1;
    bool adapters_with_base = false;
    bool stage_companions = false;
    cheap_use cheap_engines = cheap_use::none; ///< of a diverse pool
    bool merged_adapters = false; ///< each adapter loads a base of its own
};

/// @return All strategies; the first is the baseline, unless another is named.
std::span<const named_strategy> list_strategies();

/// @return The strategy of that name; null when there is none.
const named_strategy* find_strategy(std::string_view name);

/** Make the learning parts of a strategy.

    @param which   Which.
    @param setting The value of the sweep.
    @param future  What a rule that knows the future may look at.
    @param spread  How callers come through the routers.
    @return        The parts, for one replay.
*/
replay_strategy make_replay_strategy(
    const named_strategy& which,
    duration setting,
    const future_uses& future,
    const caller_spread& spread);

/// @return The options of a strategy's replay.
replay_options make_replay_options(const named_strategy& which);

/// @return The trace with each adapter as a model of its own.
trace merge_adapters(const trace& source);

} // namespace roseworks::bench
