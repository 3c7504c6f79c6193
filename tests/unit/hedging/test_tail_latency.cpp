#include "tail_latency_run.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

/// Each server takes 2.5 times as long for 600 ms at a time, 15 % of the time:
/// hedges must not make it worse.
Test(tail_latency, intermittent_noise)
{
    assert_tail_falls_to(
        1,
        [](std::size_t server, instant now)
        {
            const auto period = now.time_since_epoch() / 600ms;
            const auto mixed =
                (static_cast<std::uint64_t>(period) * 7919 + server * 104'729) *
                0x9E3779B97F4A7C15ULL;
            return (mixed >> 32) % 100 < 15 ? 2.5 : 1.0;
        });
}

/// One server in sixty accepts requests and answers none. The first event has
/// to come within the 400 ms that live notes allow.
Test(tail_latency, a_server_that_hangs)
{
    constexpr double objective_ms = 400;
    const auto how = [](std::size_t server, instant)
    {
        constexpr double never = 1e4;
        return server == 0 ? never : 1.0;
    };
    for (const std::size_t routers : fleet_sizes)
    {
        const outcome without = measure(routers, 0, how);
        const outcome with = measure(routers, 0.02, how);
        cr_log_info(
            "%zu routers: p99 %.0f ms, was %.0f ms, extra %.4f",
            routers,
            with.p99_ms,
            without.p99_ms,
            with.extra);
        cr_expect_leq(with.extra, 0.02);
        cr_expect_leq(with.p99_ms, objective_ms);
    }
}

/// Demand of three times the capacity: the servers reject requests, and hedges
/// would add to the overload.
Test(tail_latency, hedges_stop_within_a_second_of_an_overload)
{
    for (const std::size_t routers : fleet_sizes)
    {
        hedging_fleet::options config = make_options(routers, 0.02);
        config.servers = 10;
        config.slots = 4;
        const double capacity = 10 * 4 / 0.06;
        config.requests_per_second = capacity / 4;
        hedging_fleet fleet(config);
        fleet.run(35s);
        fleet.set_rate(capacity * 3);
        const instant started = fleet.now();
        fleet.run(500ms);
        fleet.run(500ms);
        fleet.reset();
        fleet.run(10s);
        cr_log_info(
            "%zu routers: %zu hedges, %zu rejections",
            routers,
            fleet.hedges(),
            fleet.rejections());
        cr_expect_gt(fleet.rejections(), 0);
        cr_expect_eq(
            fleet.hedges(),
            0,
            "%zu routers: %zu hedges, the last %.1f s after the start",
            routers,
            fleet.hedges(),
            std::chrono::duration<double>(fleet.last_hedge() - started)
                .count());
    }
}
