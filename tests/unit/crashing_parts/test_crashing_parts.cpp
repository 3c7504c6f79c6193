#include "crash_fleet.hpp"

#include <functional>

#include <criterion/criterion.h>

using namespace roseworks::testing;

namespace
{

/// Sends of requests with a bad part that are allowed after the time within
/// which all routers have to know of its fifth crash.
constexpr std::size_t allowed_sends = 3;

/// Of the share of sound requests that began before bad ones came.
constexpr double required_share = 0.9;

constexpr std::uint64_t seeds = 6;

crash_fleet::options prompts(double per_second)
{
    crash_fleet::options result;
    result.servers = 18;
    result.prompts.per_second = per_second;
    return result;
}

using disturbance = std::function<void(crash_fleet&)>;

void send_for_a_minute(crash_fleet& fleet)
{
    fleet.send(60s);
}

/// Judges one run by the target.
void expect_few_crashes(
    const crash_fleet::options& settings, const disturbance& play)
{
    crash_fleet fleet(settings);
    play(fleet);
    const auto seed = static_cast<std::size_t>(settings.seed);
    cr_assert_geq(fleet.crashes(), 2, "seed %zu", seed);
    cr_expect_leq(
        fleet.late_prompt_sends(),
        allowed_sends,
        "%zu routers, seed %zu: %zu late sends, %zu crashes",
        settings.routers,
        seed,
        fleet.late_prompt_sends(),
        fleet.crashes());
    constexpr std::size_t least_counted = 20;
    if (fleet.begun_after().arrived < least_counted)
        return;
    cr_expect_geq(
        fleet.begun_after().share(),
        required_share * fleet.begun_before().share(),
        "seed %zu: %zu of %zu begun, before %zu of %zu",
        seed,
        fleet.begun_after().begun,
        fleet.begun_after().arrived,
        fleet.begun_before().begun,
        fleet.begun_before().arrived);
}

void expect_at_all_seeds(
    crash_fleet::options settings, const disturbance& play = send_for_a_minute)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        settings.seed = seed;
        expect_few_crashes(settings, play);
    }
}

/// Counts the innocent requests that are refused, over all seeds.
void expect_few_refusals(crash_fleet::options settings, const disturbance& play)
{
    constexpr std::size_t one_in = 1000;
    std::size_t refused = 0;
    std::size_t sent = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        settings.seed = seed;
        crash_fleet fleet(settings);
        play(fleet);
        refused += fleet.innocent_refusals();
        sent += fleet.innocent_count();
    }
    cr_assert_lt(refused * one_in, sent, "%zu of %zu refused", refused, sent);
}

/// Crashes servers seven times, three seconds apart, beside the requests.
void crash_in_series(crash_fleet& fleet)
{
    constexpr int crashes = 7;
    constexpr double share = 0.4;
    fleet.send(10s);
    for (int i = 0; i < crashes; ++i)
    {
        fleet.crash_servers(share);
        fleet.send(3s);
    }
    fleet.send(30s);
}

} // namespace

Test(crashing_parts, are_blocked_at_every_position_of_the_prompt)
{
    for (const std::size_t position : {0, 1, 2})
    {
        crash_fleet::options settings = prompts(120);
        settings.prompts.bad_position = position;
        expect_at_all_seeds(settings);
    }
}

Test(crashing_parts, are_blocked_whether_rare_or_frequent)
{
    for (const double share : {0.01, 0.05, 0.3})
    {
        crash_fleet::options settings = prompts(120);
        settings.prompts.bad_share = share;
        expect_at_all_seeds(settings);
    }
}

Test(crashing_parts, that_ran_well_before_are_blocked)
{
    crash_fleet::options settings = prompts(120);
    settings.prompts.ran_well_before = true;
    expect_at_all_seeds(settings);
}

Test(crashing_parts, are_blocked_however_often_requests_are_sent_again)
{
    for (const int retries : {0, 2})
    {
        crash_fleet::options settings = prompts(120);
        settings.prompts.retries = retries;
        expect_at_all_seeds(settings);
    }
}

/// Guards against requests that come together, which end many servers' lives at
/// one moment, being let through batch after batch.
Test(crashing_parts, whose_requests_come_together_are_blocked)
{
    for (const std::size_t routers : {3, 7, 65})
    {
        crash_fleet::options settings = prompts(120);
        settings.routers = routers;
        settings.prompts.retries = 0;
        settings.prompts.bad_share = 0;
        settings.prompts.batch_size = 6;
        expect_at_all_seeds(
            settings,
            [](crash_fleet& fleet)
            {
                fleet.send(100s);
            });
    }
}

/// Guards against innocent parts being refused after many servers have ended
/// at one moment for another reason.
Test(crashing_parts, are_not_found_in_servers_that_end_at_one_moment)
{
    for (const double share : {0.4, 1.0})
    {
        crash_fleet::options settings = prompts(120);
        settings.prompts.bad_share = 0;
        expect_few_refusals(
            settings,
            [share](crash_fleet& fleet)
            {
                fleet.send(15s);
                fleet.crash_servers(share);
                fleet.send(30s);
            });
    }
}

Test(crashing_parts, are_blocked_before_few_and_many_servers)
{
    crash_fleet::options few = prompts(20);
    few.servers = 3;
    few.prompts.bad_share = 0.1;
    expect_at_all_seeds(few);
    crash_fleet::options many = prompts(400);
    many.servers = 60;
    expect_at_all_seeds(many);
}

Test(crashing_parts, that_come_at_once_are_all_blocked)
{
    crash_fleet::options settings = prompts(120);
    settings.prompts.bad_parts = 2;
    expect_at_all_seeds(settings);
}

Test(crashing_parts, are_blocked_beside_servers_that_crash_by_themselves)
{
    expect_at_all_seeds(prompts(120), crash_in_series);
}

Test(crashing_parts, are_blocked_at_routers_that_are_disturbed)
{
    expect_at_all_seeds(
        prompts(120),
        [](crash_fleet& fleet)
        {
            fleet.hears_registry = [](std::size_t router)
            {
                return router % 2 == 0;
            };
            fleet.send(11s);
            fleet.freeze(1, 9s);
            fleet.freeze(2, 4s);
            for (std::size_t i = 0; i < 14; ++i)
            {
                fleet.send(1500ms);
                fleet.restart(i % 7);
            }
            fleet.add_router();
            fleet.send(20s);
        });
}

Test(crashing_parts, are_blocked_at_a_router_that_was_cut_off)
{
    expect_at_all_seeds(
        prompts(120),
        [](crash_fleet& fleet)
        {
            const roseworks::instant healed = fleet.now() + 20s;
            fleet.reaches = [&fleet, healed](std::size_t from, std::size_t to)
            {
                return fleet.now() >= healed || (from != 0 && to != 0);
            };
            fleet.lose_touch(0, 20s);
            fleet.send(60s);
        });
}

/// Guards against routers that all end at one moment and forget which parts
/// crash servers.
Test(crashing_parts, stay_blocked_when_all_routers_restart)
{
    // So rare that what comes before a router counts as in touch again doesn't
    // block the part.
    crash_fleet::options settings = prompts(120);
    settings.prompts.bad_share = 0.003;
    expect_at_all_seeds(
        settings,
        [](crash_fleet& fleet)
        {
            fleet.send(40s);
            for (int i = 0; i < 4; ++i)
            {
                fleet.restart_all();
                fleet.send(20s);
            }
        });
}

Test(crashing_parts, are_tried_at_most_three_times_in_a_long_time)
{
    crash_fleet::options settings = prompts(60);
    settings.callers_return = true;
    expect_at_all_seeds(
        settings,
        [](crash_fleet& fleet)
        {
            fleet.send(200s);
        });
}

Test(crashing_parts, are_blocked_at_sixty_five_and_three_hundred_routers)
{
    for (const std::size_t routers : {65, 300})
    {
        crash_fleet::options settings = prompts(240);
        settings.routers = routers;
        settings.servers = 60;
        settings.loss = 0.1;
        settings.seed = routers;
        expect_few_crashes(
            settings,
            [](crash_fleet& fleet)
            {
                fleet.send(40s);
            });
    }
}

Test(crashing_parts, do_not_block_the_requests_beside_them)
{
    expect_few_refusals(prompts(120), send_for_a_minute);
}

Test(crashing_parts, are_not_found_in_servers_that_crash_by_themselves)
{
    crash_fleet::options settings = prompts(120);
    settings.prompts.bad_share = 0;
    expect_few_refusals(settings, crash_in_series);
}
