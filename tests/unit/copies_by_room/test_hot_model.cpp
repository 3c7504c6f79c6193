#include "fleet_replay.hpp"

#include <cstdio>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

constexpr double bound = 0.9; ///< share of what full knowledge serves in time

/// Plays the load and requires the bound for the model that gets many requests
/// and for the others.
void expect_nearly_full_knowledge(const replay_scenario& load)
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
void play_hot_model(std::size_t routers, double rate)
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

replay_scenario shifting_load(std::size_t routers)
{
    replay_scenario load;
    load.routers = routers;
    load.busy_rate = 120;
    load.length = 32s;
    load.hot_disks = 19;
    load.hot = {{2s, 12s, 0, 200}, {12s, 22s, 1, 200}, {22s, 32s, 2, 200}};
    return load;
}

} // namespace

// Guards against a model with 60 requests per second that gets too few copies.
Test(hot_model, gets_the_copies_for_60_requests_per_second_7_routers)
{
    play_hot_model(7, 60);
}

Test(hot_model, gets_the_copies_for_60_requests_per_second_84_routers)
{
    play_hot_model(84, 60);
}

Test(hot_model, gets_the_copies_for_60_requests_per_second_300_routers)
{
    play_hot_model(300, 60);
}

// Guards against a model that stays on few engines although its requests need
// more than all engines with its weights.
Test(hot_model, gets_the_copies_for_256_requests_per_second_7_routers)
{
    play_hot_model(7, 256);
}

Test(hot_model, gets_the_copies_for_256_requests_per_second_84_routers)
{
    play_hot_model(84, 256);
}

Test(hot_model, gets_the_copies_for_256_requests_per_second_300_routers)
{
    play_hot_model(300, 256);
}

// Guards against copies of silent models that keep the memory from rising ones.
Test(shifting_demand, copies_follow_three_shifts_in_30_s_7_routers)
{
    expect_nearly_full_knowledge(shifting_load(7));
}

Test(shifting_demand, copies_follow_three_shifts_in_30_s_84_routers)
{
    expect_nearly_full_knowledge(shifting_load(84));
}

Test(shifting_demand, copies_follow_three_shifts_in_30_s_300_routers)
{
    expect_nearly_full_knowledge(shifting_load(300));
}
