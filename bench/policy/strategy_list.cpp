#include "strategy_list.hpp"

#include "core/placement/gap_cost.hpp"
#include "core/placement/strategies/companions.hpp"
#include "core/placement/strategies/idle_histogram.hpp"
#include "core/placement/strategies/reload_cost_eviction.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

namespace roseworks::bench
{

namespace
{

/// A companion followed at least this share of a caller's visits.
constexpr double companion_least_share = 0.4;

/// What the routers do under `gap_cost_preload`.
constexpr named_strategy adopted{
    .name = "adopted",
    .holds = hold_kind::gap_cost,
    .tier_choice = true,
    .urgent_slots = true,
    .periodic = true,
    .adapters_like_base = true,
    .keep_slot_free = true};

constexpr named_strategy
adopted_with_pool(std::string_view name, cheap_use cheap_engines)
{
    named_strategy changed = adopted;
    changed.name = name;
    changed.cheap_engines = cheap_engines;
    return changed;
}

constexpr named_strategy adopted_tail(std::string_view name, double power)
{
    named_strategy changed = adopted;
    changed.name = name;
    changed.tail_power = power;
    return changed;
}

constexpr named_strategy
adopted_lever(std::string_view name, bool named_strategy::*lever)
{
    named_strategy changed = adopted;
    changed.name = name;
    changed.*lever = true;
    return changed;
}

constexpr named_strategy tail_squared = adopted_tail("tail_squared", 2);

constexpr named_strategy tail_with_companions(std::string_view name)
{
    named_strategy changed = tail_squared;
    changed.name = name;
    changed.companions = true;
    return changed;
}

constexpr named_strategy with_all_levers(std::string_view name)
{
    named_strategy changed = tail_with_companions(name);
    changed.adapters_with_base = true;
    return changed;
}

constexpr std::array strategies{
    named_strategy{.name = "fixed_ttl"},
    named_strategy{.name = "break_even", .holds = hold_kind::break_even},
    named_strategy{.name = "gap_cost", .holds = hold_kind::gap_cost},
    named_strategy{.name = "reload_cost", .reload_cost_eviction = true},
    named_strategy{.name = "tier_choice", .tier_choice = true},
    named_strategy{.name = "urgent_slots", .urgent_slots = true},
    named_strategy{
        .name = "local_without_slot",
        .tier_choice = true,
        .local_without_slot = true},
    named_strategy{.name = "staging", .tier_choice = true, .staging = true},
    named_strategy{.name = "periodic", .periodic = true},
    named_strategy{.name = "companions", .companions = true},
    named_strategy{.name = "idle_histogram", .idle_histogram = true},
    named_strategy{.name = "merged_adapters", .merged_adapters = true},
    named_strategy{
        .name = "break_even_adapters",
        .holds = hold_kind::break_even,
        .adapters_like_base = true},
    named_strategy{
        .name = "gap_cost_adapters",
        .holds = hold_kind::gap_cost,
        .adapters_like_base = true},
    named_strategy{
        .name = "core_today",
        .holds = hold_kind::break_even,
        .tier_choice = true,
        .urgent_slots = true},
    adopted,
    named_strategy{
        .name = "combined",
        .holds = hold_kind::gap_cost,
        .tier_choice = true,
        .urgent_slots = true,
        .local_without_slot = true,
        .periodic = true,
        .adapters_like_base = true},
    named_strategy{
        .name = "combined_companions",
        .holds = hold_kind::gap_cost,
        .tier_choice = true,
        .urgent_slots = true,
        .local_without_slot = true,
        .periodic = true,
        .companions = true,
        .adapters_like_base = true},
    named_strategy{
        .name = "combined_staging",
        .holds = hold_kind::gap_cost,
        .tier_choice = true,
        .urgent_slots = true,
        .local_without_slot = true,
        .staging = true,
        .periodic = true,
        .adapters_like_base = true},
    named_strategy{
        .name = "pool_overflow", .cheap_engines = cheap_use::overflow},
    named_strategy{.name = "pool_slack", .cheap_engines = cheap_use::slack},
    named_strategy{.name = "pool_small", .cheap_engines = cheap_use::small},
    named_strategy{.name = "pool_rare", .cheap_engines = cheap_use::rare},
    adopted_tail("tail_1_5", 1.5),
    tail_squared,
    adopted_tail("tail_cubed", 3),
    adopted_lever("adopted_companions", &named_strategy::companions),
    adopted_lever("stage_companions", &named_strategy::stage_companions),
    adopted_lever("adapters_with_base", &named_strategy::adapters_with_base),
    tail_with_companions("tail_companions"),
    with_all_levers("all_levers"),
    adopted_with_pool("adopted_pool_overflow", cheap_use::overflow),
    adopted_with_pool("adopted_pool_slack", cheap_use::slack),
    adopted_with_pool("adopted_pool_small", cheap_use::small),
    named_strategy{
        .name = "clairvoyant",
        .holds = hold_kind::clairvoyant,
        .tier_choice = true,
        .urgent_slots = true,
        .local_without_slot = true,
        .adapters_like_base = true}};

std::unique_ptr<placement_strategy>
make_holds(hold_kind kind, duration setting, const future_uses& future)
{
    switch (kind)
    {
    case hold_kind::fixed_ttl:
        return make_placement_strategy(placement_kind::fixed_ttl, setting);
    case hold_kind::break_even:
        return make_placement_strategy(placement_kind::break_even, setting);
    case hold_kind::gap_cost:
        return std::make_unique<detail::gap_cost>(setting);
    case hold_kind::clairvoyant:
        return std::make_unique<clairvoyant_hold>(future, setting);
    }
    return nullptr;
}

} // namespace

std::span<const named_strategy> list_strategies()
{
    return strategies;
}

const named_strategy* find_strategy(std::string_view name)
{
    const auto found = std::find_if(
        strategies.begin(),
        strategies.end(),
        [name](const named_strategy& item)
        {
            return item.name == name;
        });
    return found == strategies.end() ? nullptr : &*found;
}

replay_strategy make_replay_strategy(
    const named_strategy& which,
    duration setting,
    const future_uses& future,
    const caller_spread& spread)
{
    replay_strategy made;
    made.holds = make_holds(which.holds, setting, future);
    if (which.reload_cost_eviction)
    {
        made.holds = std::make_unique<detail::reload_cost_eviction>(
            std::move(made.holds));
    }
    if (which.periodic)
    {
        made.preloads.push_back(std::make_unique<spread_callers>(spread));
    }
    if (which.companions)
    {
        made.preloads.push_back(
            std::make_unique<detail::companions>(companion_least_share));
    }
    if (which.stage_companions)
    {
        made.stagings.push_back(
            std::make_unique<detail::companions>(companion_least_share));
    }
    if (which.idle_histogram)
    {
        made.preloads.push_back(std::make_unique<detail::idle_histogram>());
    }
    if (which.holds == hold_kind::clairvoyant)
    {
        made.preloads.push_back(std::make_unique<clairvoyant_preload>(future));
    }
    return made;
}

replay_options make_replay_options(const named_strategy& which)
{
    replay_options options;
    options.tier_choice = which.tier_choice;
    options.urgent_slots = which.urgent_slots;
    options.local_without_slot = which.local_without_slot;
    options.staging = which.staging;
    options.tail_power = which.tail_power;
    options.adapters_with_base = which.adapters_with_base;
    options.cheap_engines = which.cheap_engines;
    options.keep_slot_free = which.keep_slot_free;
    options.adapters_like_base = which.adapters_like_base;
    return options;
}

trace merge_adapters(const trace& source)
{
    trace merged = source;
    for (traced_servable& servable : merged.servables)
    {
        if (!servable.base)
        {
            continue;
        }
        const traced_servable& base = source.servables[*servable.base];
        servable.memory_mib += base.memory_mib;
        servable.load_ms += base.load_ms;
        servable.accelerators = base.accelerators;
        servable.max_streams = base.max_streams;
        servable.base.reset();
    }
    return merged;
}

} // namespace roseworks::bench
