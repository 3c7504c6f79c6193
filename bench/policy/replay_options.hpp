#pragma once

#include "core/placement/preload_source.hpp"
#include "diverse_pool.hpp"

#include <roseworks/instant.hpp>
#include <roseworks/placement_strategy.hpp>

#include <memory>
#include <vector>

namespace roseworks::bench
{

/// What a replay does beside the hold times and evictions of its strategy.
struct replay_options
{
    /// Engines that hold the checkpoint in memory or on disk come first.
    bool tier_choice = false;
    /// Store slots go to the most urgent, then by age; else by age alone.
    bool urgent_slots = false;
    /// A load from an engine's own memory or disk takes no store slot.
    bool local_without_slot = false;
    /// Models on no engine's disk are fetched while the store is idle.
    bool staging = false;
    /// An adapter is held and evicted as if it took its base's load time.
    bool adapters_like_base = false;
    /// Loads ahead leave one store slot free, as the proposer does.
    bool keep_slot_free = false;
    /// The strategy sees load times t as 10 s * (t / 10 s)^tail_power: above 1
    /// those that load long are held longer at the others' expense.
    double tail_power = 1;
    /// An adapter is loaded together with its base, in no time of its own: the
    /// most that loading both at once could give.
    bool adapters_with_base = false;
    cheap_use cheap_engines = cheap_use::none;
    policy_spec policy; ///< weights given to the strategy
    /// Figures are taken from here to the trace's end.
    duration warm_up = std::chrono::hours(24);
    /// Load times from an engine's disk and memory against the remote one.
    double disk_factor = 0.35;
    double memory_factor = 0.08;
};

/// The parts of a strategy that learn; used up by one replay.
struct replay_strategy
{
    std::unique_ptr<placement_strategy> holds;
    std::vector<std::unique_ptr<preload_source>> preloads;
    /// What these expect is put into the main memory of the engine where it
    /// would go, at once and at no cost: the most that staging could give.
    std::vector<std::unique_ptr<preload_source>> stagings;
};

} // namespace roseworks::bench
