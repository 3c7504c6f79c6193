#pragma once

#include "fleet_replay.hpp"

#include <cstdio>

#include <criterion/criterion.h>

namespace roseworks::testing
{

inline constexpr double bound =
    0.9; ///< share of what full knowledge serves in time

/// Plays the load and requires the bound for the model that gets many requests
/// and for the others.
inline void expect_nearly_full_knowledge(const replay_scenario& load)
{
    fleet_replay test(load);
    test.play();
    const double best = test.full_knowledge().share();
    std::printf(
        "routers %zu, seed %zu, disks %zu: hot %.3f of %.3f (%.3f), rare %.3f, "
        "busy %.3f, disk %zu, store %zu\n",
        load.routers,
        static_cast<std::size_t>(load.seed),
        load.hot_disks,
        test.hot.share(),
        best,
        test.hot.share() / best,
        test.rare.share(),
        test.busy.share(),
        test.disk_loads,
        test.store_loads);
    cr_expect_geq(
        test.hot.share(), bound * best, "%.3f of %.3f", test.hot.share(), best);
    cr_expect_geq(test.rare.share(), bound, "%.3f", test.rare.share());
    cr_expect_geq(test.busy.share(), bound, "%.3f", test.busy.share());
}

/// Plays one model with many requests and its weights on 4, 7 and 19 disks.
inline void play_hot_model(std::size_t routers, double rate)
{
    for (const std::size_t disks : {4U, 7U, 19U})
    {
        for (const std::uint64_t seed : {1U, 2U, 3U})
        {
            replay_scenario load;
            load.seed = seed;
            load.routers = routers;
            load.busy_rate = 120;
            load.hot = {{2s, 20s, 0, rate}};
            load.hot_disks = disks;
            expect_nearly_full_knowledge(load);
        }
    }
}

inline replay_scenario shifting_load(std::size_t routers)
{
    replay_scenario load;
    load.routers = routers;
    load.busy_rate = 120;
    load.length = 32s;
    load.hot_disks = 19;
    load.hot = {{2s, 12s, 0, 200}, {12s, 22s, 1, 200}, {22s, 32s, 2, 200}};
    return load;
}

} // namespace roseworks::testing
