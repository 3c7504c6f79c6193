#include "paced_fleet.hpp"

#include <cstdio>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

constexpr std::size_t fleet_sizes[] = {7, 84, 300};

paced_fleet::options options_for(std::size_t routers)
{
    paced_fleet::options made;
    made.routers = routers;
    made.engines = routers < 10 ? 8 : 88;
    return made;
}

/// A quarter of the engines is slow, the others are fast.
double uneven_speed(std::size_t engine)
{
    return engine % 4 == 0 ? 0.55 : 1.2;
}

struct outcome
{
    double p99 = 0;
    double busiest = 0;
    double bytes = 0;
};

outcome run_fleet(paced_fleet::options config, pace_knowledge knowledge)
{
    config.knowledge = knowledge;
    paced_fleet fleet(std::move(config));
    fleet.run(10s);
    fleet.run(15s);
    return {fleet.p99(), fleet.busiest(), fleet.sample_bytes_per_second()};
}

} // namespace

/// Routers that sent equally many requests to slow and to fast engines made
/// requests wait at the slow ones while the fast ones had free slots.
Test(
    paced_fleet, uneven_engines_are_used_as_with_full_knowledge, .timeout = 300)
{
    for (const std::size_t routers : fleet_sizes)
    {
        auto config = options_for(routers);
        config.speed = uneven_speed;
        const outcome none = run_fleet(config, pace_knowledge::none);
        const outcome full = run_fleet(config, pace_knowledge::full);
        const outcome seen = run_fleet(config, pace_knowledge::estimated);
        std::printf(
            "uneven, %zu routers: p99 %.0f ms (full knowledge %.0f, none "
            "%.0f), busiest %.2f of the mean (%.2f, %.2f), %.0f B/s\n",
            routers,
            seen.p99,
            full.p99,
            none.p99,
            seen.busiest,
            full.busiest,
            none.busiest,
            seen.bytes);
        cr_expect_leq(seen.p99, full.p99 * 1.15, "%zu routers", routers);
        cr_expect_leq(seen.busiest, 1.2, "%zu routers", routers);
        cr_expect_lt(seen.bytes, 10'000.0);
    }
}

/// Load from other workloads on a host must not be taken for the engine's
/// speed: the estimate would lag behind it and point to the wrong engines.
Test(paced_fleet, load_on_hosts_does_not_change_estimates, .timeout = 300)
{
    for (const std::size_t routers : fleet_sizes)
    {
        auto config = options_for(routers);
        config.disturbed = 0.2;
        const outcome none = run_fleet(config, pace_knowledge::none);
        const outcome seen = run_fleet(config, pace_knowledge::estimated);
        std::printf(
            "disturbed, %zu routers: p99 %.0f ms (none %.0f)\n",
            routers,
            seen.p99,
            none.p99);
        cr_expect_leq(seen.p99, none.p99, "%zu routers", routers);

        for (const bool uneven : {false, true})
        {
            if (uneven)
                config.speed = uneven_speed;
            paced_fleet fleet(config);
            fleet.run(12s);
            double largest = 0;
            std::vector<double> lowest(config.engines, 1000);
            std::vector<double> highest(config.engines, 0);
            fleet.observe = [&]
            {
                for (std::size_t i = 0; i < config.engines; ++i)
                {
                    const double pace = fleet.pace_at(1, i);
                    lowest[i] = std::min(lowest[i], pace);
                    highest[i] = std::max(highest[i], pace);
                    largest = std::max(largest, highest[i] / lowest[i] - 1);
                }
            };
            fleet.run(15s);
            std::printf(
                "disturbed, %zu routers, %s: largest change of an estimate "
                "%.3f\n",
                routers,
                uneven ? "uneven" : "equal",
                largest);
            cr_expect_lt(largest, 0.1, "%zu routers", routers);
        }
    }
}

/// An engine whose next run is slow kept the pace of the fast run before.
Test(paced_fleet, restart_at_another_speed_is_detected, .timeout = 300)
{
    for (const std::size_t routers : fleet_sizes)
    {
        auto config = options_for(routers);
        config.speed = uneven_speed;
        paced_fleet fleet(config);
        fleet.run(10s);
        cr_expect_lt(fleet.pace_at(1, 1), 90U);
        cr_expect_gt(fleet.pace_at(1, 4), 140U);
        fleet.restart_engine(1, 0.55);
        fleet.restart_engine(4, 1.2);
        double slow_after = -1;
        double fast_after = -1;
        double elapsed = 0;
        fleet.observe = [&]
        {
            elapsed += 0.25;
            if (slow_after < 0 && fleet.pace_at(1, 1) > 140)
                slow_after = elapsed;
            if (fast_after < 0 && fleet.pace_at(1, 4) < 90)
                fast_after = elapsed;
        };
        fleet.run(6s);
        std::printf(
            "restart, %zu routers: slow after %.2f s, fast after %.2f s\n",
            routers,
            slow_after,
            fast_after);
        cr_expect(slow_after >= 0 && slow_after <= 3, "%zu routers", routers);
        cr_expect(fast_after >= 0 && fast_after <= 3, "%zu routers", routers);
    }
}

/// Estimates that vary by chance must not make engines of equal speed differ.
Test(paced_fleet, equal_engines_are_used_as_without_estimates, .timeout = 300)
{
    for (const std::size_t routers : fleet_sizes)
    {
        const auto config = options_for(routers);
        const outcome none = run_fleet(config, pace_knowledge::none);
        const outcome seen = run_fleet(config, pace_knowledge::estimated);
        std::printf(
            "equal, %zu routers: p99 %.1f ms (none %.1f)\n",
            routers,
            seen.p99,
            none.p99);
        cr_expect_leq(seen.p99, none.p99 * 1.01, "%zu routers", routers);
    }
}

/// A new owner has no samples. It must not reset what routers know, and has to
/// learn of changes within seconds.
Test(
    paced_fleet,
    routers_keep_estimates_when_the_owner_is_killed,
    .timeout = 300)
{
    for (const std::size_t routers : fleet_sizes)
    {
        auto config = options_for(routers);
        config.speed = uneven_speed;
        const outcome full = run_fleet(config, pace_knowledge::full);
        paced_fleet fleet(config);
        fleet.run(10s);
        fleet.kill_owner(0);
        fleet.run(3s);
        fleet.add_owner(2);
        std::uint32_t lowest_slow = 1000;
        std::uint32_t highest_fast = 0;
        fleet.observe = [&]
        {
            for (std::size_t i = 0; i < config.engines; ++i)
            {
                const std::uint32_t pace = fleet.pace_at(1, i);
                if (i % 4 == 0)
                    lowest_slow = std::min(lowest_slow, pace);
                else
                    highest_fast = std::max(highest_fast, pace);
            }
        };
        fleet.run(15s);
        std::printf(
            "owner killed, %zu routers: slow engines at %u at least, fast ones "
            "at %u at most, p99 %.0f ms (full knowledge %.0f)\n",
            routers,
            lowest_slow,
            highest_fast,
            fleet.p99(),
            full.p99);
        cr_expect_gt(lowest_slow, 125U, "%zu routers", routers);
        cr_expect_lt(highest_fast, 100U, "%zu routers", routers);
        cr_expect_leq(fleet.p99(), full.p99 * 1.15, "%zu routers", routers);
    }
}

/// Without an owner the estimates must not be used forever.
Test(paced_fleet, estimates_expire_without_an_owner, .timeout = 300)
{
    auto config = options_for(7);
    config.speed = uneven_speed;
    paced_fleet fleet(config);
    fleet.run(10s);
    fleet.kill_owner(0);
    fleet.run(27s);
    cr_expect_gt(fleet.pace_at(1, 4), 125U);
    fleet.run(5s);
    cr_expect_eq(fleet.pace_at(1, 4), 100U);
}

/// Two owners that each get the reports of a part of the routers must both have
/// estimates that are of use.
Test(paced_fleet, two_owners_give_usable_estimates, .timeout = 300)
{
    for (const std::size_t routers : fleet_sizes)
    {
        auto config = options_for(routers);
        config.speed = uneven_speed;
        const outcome full = run_fleet(config, pace_knowledge::full);
        paced_fleet fleet(config);
        fleet.reaches = [](std::size_t from, std::size_t to)
        {
            return from % 2 == to % 2;
        };
        fleet.add_owner(1);
        fleet.run(10s);
        fleet.run(15s);
        std::printf(
            "two owners, %zu routers: p99 %.0f ms (full knowledge %.0f)\n",
            routers,
            fleet.p99(),
            full.p99);
        cr_expect_leq(fleet.p99(), full.p99 * 1.15, "%zu routers", routers);
    }
}

/// Routers whose reports don't reach the owner still hear its announcements.
Test(paced_fleet, reports_lost_in_one_direction, .timeout = 300)
{
    for (const std::size_t routers : fleet_sizes)
    {
        auto config = options_for(routers);
        config.speed = uneven_speed;
        const outcome full = run_fleet(config, pace_knowledge::full);
        paced_fleet fleet(config);
        fleet.reaches = [](std::size_t from, std::size_t to)
        {
            return to != 0 || from % 2 == 0;
        };
        fleet.run(10s);
        fleet.run(15s);
        std::printf(
            "reports lost, %zu routers: p99 %.0f ms (full knowledge %.0f)\n",
            routers,
            fleet.p99(),
            full.p99);
        cr_expect_leq(fleet.p99(), full.p99 * 1.15, "%zu routers", routers);
    }
}

/// A router with a broken clock, or an attacker, must not decide which engines
/// count as slow.
Test(paced_fleet, invalid_reports_of_one_router_change_little, .timeout = 300)
{
    for (const std::size_t routers : fleet_sizes)
    {
        auto config = options_for(routers);
        config.speed = uneven_speed;
        paced_fleet honest(config);
        honest.run(15s);
        paced_fleet fleet(config);
        fleet.tamper = [](std::size_t router, std::vector<pace_sample>& all)
        {
            if (router != 3)
                return;
            for (pace_sample& one : all)
                one.time_us *= one.run == 1001 ? 100 : 1;
            all.push_back({2001, pace_model("llm/m0"), 100'000, 5'000'001});
            all.push_back({2999, pace_model("llm/m0"), 100, 1});
            all.push_back({3001, pace_model("llm/m0"), 0, 1'000'000});
            all.push_back({3001, pace_model("llm/m9999"), 10, 1'000'000});
            all.push_back({0, pace_model("llm/m0"), 10, 1'000'000});
        };
        fleet.run(15s);
        for (std::size_t i = 0; i < config.engines; ++i)
        {
            const double ratio =
                static_cast<double>(fleet.pace_at(1, i)) / honest.pace_at(1, i);
            if (i < 4)
                std::printf(
                    "invalid, %zu routers, engine %zu: changed by %.3f\n",
                    routers,
                    i,
                    ratio - 1);
            // A third of the weight, clipped to a factor of 1.5.
            cr_expect_lt(ratio, 1.0 + 0.5 / 3, "engine %zu", i);
            cr_expect_gt(ratio, 1.0 - 0.5 / 3, "engine %zu", i);
        }
    }
}
