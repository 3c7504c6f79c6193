#include "fleet_replay.hpp"

#include <cstdio>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

constexpr double bound = 0.9; ///< share of what full knowledge serves in time

replay_scenario burst(std::size_t routers)
{
    replay_scenario load;
    load.routers = routers;
    load.busy_rate = 120;
    load.length = 20s;
    load.hot_disks = 7;
    load.hot = {{2s, 20s, 0, 120}};
    load.bursts = {{6s, 14s, 400}};
    return load;
}

/// @param rare_best Share of the requests for rare models that a planner with
///                  full knowledge serves in time.
void expect_shares(const replay_scenario& load, double rare_best)
{
    fleet_replay test(load);
    test.play();
    const double best = test.full_knowledge().share();
    std::printf(
        "routers %zu: hot %.3f of %.3f, rare %.3f of %.3f, busy %.3f, disk "
        "%zu, store %zu\n",
        load.routers,
        test.hot.share(),
        best,
        test.rare.share(),
        rare_best,
        test.busy.share(),
        test.disk_loads,
        test.store_loads);
    cr_expect_geq(
        test.hot.share(), bound * best, "%.3f of %.3f", test.hot.share(), best);
    cr_expect_geq(
        test.rare.share(), bound * rare_best, "%.3f", test.rare.share());
    cr_expect_geq(test.busy.share(), bound, "%.3f", test.busy.share());
}

// Guards against copies that are ordered again and again while engines begin
// their orders late.
void play_late_orders(std::size_t routers)
{
    replay_scenario load = burst(routers);
    load.order_delay = 300ms;
    expect_shares(load, 1);
}

// Guards against lost engines whose models take the memory of busy ones.
void play_lost_engines(std::size_t routers)
{
    replay_scenario load = burst(routers);
    load.hot_disks = 19;
    load.bursts.clear();
    load.engines_lost = 8s;
    // The requests of the last 12 of 20 s find no weights of a ninth of the
    // rare models: both disks with them are lost.
    expect_shares(load, 1 - 12.0 / 20 / 9);
}

// Guards against a new owner that evicts what routers use before it has heard
// of the use.
void play_killed_owner(std::size_t routers)
{
    replay_scenario load = burst(routers);
    load.owner_killed = 7s;
    expect_shares(load, 1);
}

} // namespace

// Guards against a burst of requests for rare models that evicts copies in use.
Test(rare_burst, copies_in_use_stay_7_routers)
{
    expect_shares(burst(7), 1);
}

Test(rare_burst, copies_in_use_stay_84_routers)
{
    expect_shares(burst(84), 1);
}

Test(rare_burst, copies_in_use_stay_300_routers)
{
    expect_shares(burst(300), 1);
}

Test(late_orders, begin_300_ms_late_7_routers)
{
    play_late_orders(7);
}

Test(late_orders, begin_300_ms_late_84_routers)
{
    play_late_orders(84);
}

Test(late_orders, begin_300_ms_late_300_routers)
{
    play_late_orders(300);
}

Test(lost_engines, a_third_of_the_engines_7_routers)
{
    play_lost_engines(7);
}

Test(lost_engines, a_third_of_the_engines_84_routers)
{
    play_lost_engines(84);
}

Test(lost_engines, a_third_of_the_engines_300_routers)
{
    play_lost_engines(300);
}

Test(lost_owner, killed_during_the_burst_7_routers)
{
    play_killed_owner(7);
}

Test(lost_owner, killed_during_the_burst_84_routers)
{
    play_killed_owner(84);
}

Test(lost_owner, killed_during_the_burst_300_routers)
{
    play_killed_owner(300);
}
