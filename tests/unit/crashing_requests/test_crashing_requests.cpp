#include "crash_fleet.hpp"

#include <criterion/criterion.h>

using namespace roseworks::testing;

namespace
{

/// Sends of a request that crashes servers that are allowed after the time
/// within which all routers have to know of it.
constexpr std::size_t allowed_sends = 3;

constexpr std::uint64_t seeds = 20;

void expect_few_late_sends(const crash_fleet& fleet, std::uint64_t seed)
{
    cr_assert_geq(
        fleet.crashes(), 2, "seed %zu: %zu crashes", seed, fleet.crashes());
    cr_assert_leq(
        fleet.late_sends(),
        allowed_sends,
        "seed %zu: %zu late sends, %zu crashes",
        seed,
        fleet.late_sends(),
        fleet.crashes());
}

crash_fleet::options seeded(std::uint64_t seed)
{
    crash_fleet::options result;
    result.seed = seed;
    return result;
}

} // namespace

Test(crashing_requests, are_blocked_at_every_router)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        crash_fleet fleet(seeded(seed));
        fleet.send(40s);
        expect_few_late_sends(fleet, seed);
    }
}

Test(crashing_requests, are_blocked_without_news_from_the_registry)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        crash_fleet fleet(seeded(seed));
        fleet.hears_registry = [](std::size_t)
        {
            return false;
        };
        fleet.send(40s);
        expect_few_late_sends(fleet, seed);
    }
}

Test(crashing_requests, are_blocked_where_some_routers_hear_no_registry)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        crash_fleet fleet(seeded(seed));
        fleet.hears_registry = [](std::size_t router)
        {
            return router % 2 == 0;
        };
        fleet.send(40s);
        expect_few_late_sends(fleet, seed);
    }
}

Test(crashing_requests, are_blocked_at_routers_that_miss_messages)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        crash_fleet::options settings = seeded(seed);
        settings.loss = 0.5;
        crash_fleet fleet(settings);
        fleet.send(40s);
        expect_few_late_sends(fleet, seed);
    }
}

Test(crashing_requests, are_blocked_at_a_router_that_was_cut_off)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        crash_fleet fleet(seeded(seed));
        const roseworks::instant healed = fleet.now() + 8s;
        fleet.reaches = [&fleet, healed](std::size_t from, std::size_t to)
        {
            return fleet.now() >= healed || (from != 0 && to != 0);
        };
        fleet.lose_touch(0, 8s);
        fleet.send(40s);
        expect_few_late_sends(fleet, seed);
    }
}

Test(crashing_requests, are_blocked_at_a_router_that_can_not_send)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        crash_fleet fleet(seeded(seed));
        fleet.reaches = [](std::size_t from, std::size_t)
        {
            return from != 0;
        };
        fleet.send(40s);
        expect_few_late_sends(fleet, seed);
    }
}

Test(crashing_requests, are_blocked_at_a_router_that_hears_only_the_store)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        crash_fleet fleet(seeded(seed));
        fleet.reaches = [](std::size_t from, std::size_t to)
        {
            return from != 0 && to != 0;
        };
        fleet.send(60s);
        expect_few_late_sends(fleet, seed);
    }
}

/// Guards against routers that all end at one moment and forget which requests
/// crash servers.
Test(crashing_requests, stay_blocked_when_all_routers_restart)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        crash_fleet fleet(seeded(seed));
        fleet.send(10s);
        for (int i = 0; i < 4; ++i)
        {
            fleet.restart_all();
            fleet.send(10s);
        }
        expect_few_late_sends(fleet, seed);
    }
}

Test(crashing_requests, are_blocked_at_routers_that_restart)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        crash_fleet fleet(seeded(seed));
        for (std::size_t i = 0; i < 14; ++i)
        {
            fleet.send(1500ms);
            fleet.restart(i % 7);
        }
        fleet.send(20s);
        expect_few_late_sends(fleet, seed);
    }
}

Test(crashing_requests, are_blocked_at_routers_that_were_frozen_or_added)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        crash_fleet fleet(seeded(seed));
        fleet.send(500ms);
        fleet.freeze(1, 9s);
        fleet.freeze(2, 4s);
        fleet.send(10s);
        fleet.add_router();
        fleet.send(30s);
        expect_few_late_sends(fleet, seed);
    }
}

Test(crashing_requests, are_blocked_where_crashed_servers_are_silent)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        crash_fleet::options settings = seeded(seed);
        settings.silent_share = 1;
        settings.crashing_per_second = 0.7;
        crash_fleet fleet(settings);
        fleet.hears_registry = [](std::size_t)
        {
            return false;
        };
        fleet.send(60s);
        expect_few_late_sends(fleet, seed);
    }
}

Test(crashing_requests, that_return_at_the_end_of_a_block_are_tried_once)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        crash_fleet::options settings = seeded(seed);
        settings.routers = 9;
        settings.callers_return = true;
        crash_fleet fleet(settings);
        fleet.send(100s);
        expect_few_late_sends(fleet, seed);
    }
}

Test(crashing_requests, do_not_block_the_requests_beside_them)
{
    constexpr std::size_t one_in = 1000;
    std::size_t refused = 0;
    std::size_t sent = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        crash_fleet::options settings = seeded(seed);
        settings.innocent_per_second = 40;
        settings.common_per_second = 10;
        crash_fleet fleet(settings);
        fleet.send(40s);
        refused += fleet.innocent_refusals();
        sent += fleet.innocent_count();
    }
    cr_assert_lt(refused * one_in, sent, "%zu of %zu refused", refused, sent);
}

Test(crashing_requests, are_blocked_at_sixty_five_and_three_hundred_routers)
{
    for (const std::size_t routers : {65, 300})
    {
        crash_fleet::options settings = seeded(routers);
        settings.routers = routers;
        settings.servers = 2 * routers;
        settings.crashing_per_second = 4;
        settings.loss = 0.1;
        crash_fleet fleet(settings);
        fleet.hears_registry = [](std::size_t router)
        {
            return router % 3 == 0;
        };
        fleet.send(20s);
        expect_few_late_sends(fleet, routers);
    }
}
