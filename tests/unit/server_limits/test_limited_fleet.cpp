#include "limited_fleet.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

/// Requests per second to each engine of the model.
constexpr double load_per_engine = 7;

/// Time before the limit is announced.
constexpr duration warm_up = 3s;

limited_fleet::options
make_options(std::size_t routers, double per_second = 1.9)
{
    limited_fleet::options config;
    config.routers = routers;
    config.per_second = per_second;
    return config;
}

double total_load(const limited_fleet::options& config)
{
    return load_per_engine * static_cast<double>(config.engines);
}

void assert_in_bounds(const limited_fleet& fleet)
{
    const auto worst = static_cast<double>(fleet.worst_window());
    cr_assert_leq(
        worst,
        fleet.allowed(),
        "%.0f requests in 4 s, %.1f allowed",
        worst,
        fleet.allowed());
}

/// Sends requests until the first engine has announced its limit for 12 s.
void run_limited(limited_fleet& fleet, const limited_fleet::options& config)
{
    fleet.send(warm_up, total_load(config));
    fleet.announce_limit(true);
    fleet.send(12s, total_load(config));
}

/// Requests received in the last `length`, as a fraction of the limit.
double used_share(
    const limited_fleet& fleet,
    const limited_fleet::options& config,
    duration length)
{
    const double seconds = std::chrono::duration<double>(length).count();
    return static_cast<double>(fleet.arrived_within(length)) /
           (config.per_second * seconds);
}

} // namespace

/// Guards against routers that together exceed a server's limit: 28 requests in
/// 4 s where 16 were allowed.
Test(limited_fleet, all_routers_together_keep_a_server_within_its_limit)
{
    for (const std::size_t routers : {7, 65, 300})
    {
        const auto config = make_options(routers);
        limited_fleet fleet(config);
        run_limited(fleet, config);
        assert_in_bounds(fleet);
        const double used = used_share(fleet, config, 8s);
        cr_assert_gt(used, 0.5, "%zu routers use %.2f", routers, used);
        cr_assert_eq(fleet.refused(), 0, "%zu refused", fleet.refused());
    }
}

Test(limited_fleet, message_loss_breaks_no_limit)
{
    for (const std::uint64_t seed : {1, 2, 3, 4, 5})
    {
        auto config = make_options(65);
        config.loss = 0.1;
        config.seed = seed;
        limited_fleet fleet(config);
        run_limited(fleet, config);
        assert_in_bounds(fleet);
    }
}

Test(limited_fleet, a_server_with_a_very_low_limit_still_gets_requests)
{
    const auto config = make_options(65, 0.2);
    limited_fleet fleet(config);
    run_limited(fleet, config);
    fleet.send(20s, total_load(config));
    assert_in_bounds(fleet);
    cr_assert_gt(fleet.arrived_within(20s), 0);
}

Test(limited_fleet, after_the_limit_ends_the_server_gets_its_full_load_again)
{
    for (const std::size_t routers : {7, 65, 300})
    {
        const auto config = make_options(routers);
        limited_fleet fleet(config);
        run_limited(fleet, config);
        fleet.announce_limit(false);
        fleet.send(2s, total_load(config));
        fleet.send(4s, total_load(config));
        const auto arrived = static_cast<double>(fleet.arrived_within(4s));
        cr_assert_gt(
            arrived,
            0.7 * 4 * load_per_engine,
            "%zu: %.0f in 4 s",
            routers,
            arrived);
    }
}

/// A rare model: its only engine is limited, and only few routers have callers
/// for it.
Test(limited_fleet, the_only_engine_of_a_model_is_used_up_to_its_limit)
{
    for (const std::size_t routers : {7, 65, 300})
    {
        auto config = make_options(routers, 2);
        config.engines = 1;
        limited_fleet fleet(config);
        fleet.send(warm_up, 1, 3);
        fleet.announce_limit(true);
        fleet.send(20s, 4, 3);
        assert_in_bounds(fleet);
        const double used = used_share(fleet, config, 15s);
        cr_assert_gt(used, 0.8, "%zu routers use %.2f", routers, used);
    }
}

/// The platform hands most connections to one router.
Test(limited_fleet, traffic_that_moves_to_one_router_is_served)
{
    for (const std::size_t routers : {7, 65, 300})
    {
        const auto config = make_options(routers);
        limited_fleet fleet(config);
        run_limited(fleet, config);
        fleet.send(3s, total_load(config), 1);
        const std::size_t answered = fleet.served();
        fleet.send(10s, total_load(config), 1);
        assert_in_bounds(fleet);
        const double share = static_cast<double>(fleet.served() - answered) /
                             (10 * total_load(config));
        // The number of requests is random.
        cr_assert_gt(share, 0.85, "%zu routers answer %.2f", routers, share);
        cr_assert_eq(fleet.refused(), 0, "%zu refused", fleet.refused());
        const double used = used_share(fleet, config, 8s);
        cr_assert_gt(used, 0.5, "%zu routers use %.2f", routers, used);
    }
}

/// Covers the accountant, another possible accountant and a plain router.
Test(limited_fleet, a_suspended_router_breaks_no_limit)
{
    for (const std::size_t frozen : {0, 1, 8})
    {
        const auto config = make_options(9);
        limited_fleet fleet(config);
        run_limited(fleet, config);
        fleet.freeze(frozen, 3s);
        fleet.send(8s, total_load(config));
        assert_in_bounds(fleet);
        cr_assert_gt(used_share(fleet, config, 4s), 0.4);
    }
}

Test(limited_fleet, restarts_one_after_another_break_no_limit)
{
    const auto config = make_options(9);
    limited_fleet fleet(config);
    run_limited(fleet, config);
    for (std::size_t i = 0; i < config.routers; ++i)
    {
        fleet.restart(i);
        fleet.send(1s, total_load(config));
    }
    assert_in_bounds(fleet);
}

Test(limited_fleet, a_restart_of_all_breaks_no_limit)
{
    for (const std::size_t routers : {9, 300})
    {
        const auto config = make_options(routers);
        limited_fleet fleet(config);
        run_limited(fleet, config);
        for (std::size_t i = 0; i < config.routers; ++i)
            fleet.restart(i);
        fleet.send(8s, total_load(config));
        assert_in_bounds(fleet);
    }
}

Test(limited_fleet, routers_that_are_cut_off_keep_to_their_share)
{
    const auto config = make_options(9);
    limited_fleet fleet(config);
    run_limited(fleet, config);
    const auto side = [](std::size_t router)
    {
        return router >= 6;
    };
    fleet.reaches = [side](std::size_t from, std::size_t to)
    {
        return side(from) == side(to);
    };
    fleet.send(10s, total_load(config));
    assert_in_bounds(fleet);
}

Test(limited_fleet, an_accountant_cut_off_in_one_direction_breaks_no_limit)
{
    for (const bool hears : {false, true})
    {
        const auto config = make_options(9);
        limited_fleet fleet(config);
        run_limited(fleet, config);
        fleet.reaches = [hears](std::size_t from, std::size_t to)
        {
            return (hears ? from : to) != 0;
        };
        fleet.send(10s, total_load(config));
        assert_in_bounds(fleet);
    }
}

Test(limited_fleet, requests_beyond_the_limit_are_refused)
{
    auto config = make_options(9, 0.5);
    config.engines = 1;
    limited_fleet fleet(config);
    fleet.send(warm_up, 1);
    fleet.announce_limit(true);
    fleet.send(20s, 6);
    assert_in_bounds(fleet);
    cr_assert_gt(fleet.refused(), 60);
}
