#include "limited_fleet.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

/// What routers send to each engine of the model.
constexpr double usual = 7;

/// Before a limit is named.
constexpr duration warm_up = 3s;

limited_fleet::options sized(std::size_t routers, double per_second = 1.9)
{
    limited_fleet::options made;
    made.routers = routers;
    made.per_second = per_second;
    return made;
}

double load_of(const limited_fleet::options& chosen)
{
    return usual * static_cast<double>(chosen.engines);
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

/// A fleet whose first engine has named its limit for 12 s.
limited_fleet make_limited(const limited_fleet::options& chosen)
{
    limited_fleet fleet(chosen);
    fleet.send(warm_up, load_of(chosen));
    fleet.name_limit(true);
    fleet.send(12s, load_of(chosen));
    return fleet;
}

/// Of what the limit lets through in so many seconds, the part that came.
double used_share(
    const limited_fleet& fleet,
    const limited_fleet::options& chosen,
    duration length)
{
    const double seconds = std::chrono::duration<double>(length).count();
    return static_cast<double>(fleet.arrived_within(length)) /
           (chosen.per_second * seconds);
}

} // namespace

/// Guards against 28 requests in 4 s where 16 were allowed.
Test(limited_fleet, all_routers_together_keep_a_server_within_its_limit)
{
    for (const std::size_t routers : {7, 65, 300})
    {
        const auto chosen = sized(routers);
        const limited_fleet fleet = make_limited(chosen);
        assert_in_bounds(fleet);
        const double used = used_share(fleet, chosen, 8s);
        cr_assert_gt(used, 0.5, "%zu routers use %.2f", routers, used);
        cr_assert_eq(fleet.refused(), 0, "%zu refused", fleet.refused());
    }
}

Test(limited_fleet, lost_words_leave_the_sum_within_the_limit)
{
    for (const std::uint64_t seed : {1, 2, 3, 4, 5})
    {
        auto chosen = sized(65);
        chosen.loss = 0.1;
        chosen.seed = seed;
        assert_in_bounds(make_limited(chosen));
    }
}

Test(limited_fleet, a_very_slow_server_still_gets_some)
{
    const auto chosen = sized(65, 0.2);
    limited_fleet fleet = make_limited(chosen);
    fleet.send(20s, load_of(chosen));
    assert_in_bounds(fleet);
    cr_assert_gt(fleet.arrived_within(20s), 0);
}

Test(limited_fleet, once_the_limit_ends_its_server_gets_its_whole_part_again)
{
    for (const std::size_t routers : {7, 65, 300})
    {
        const auto chosen = sized(routers);
        limited_fleet fleet = make_limited(chosen);
        fleet.name_limit(false);
        fleet.send(2s, load_of(chosen));
        fleet.send(4s, load_of(chosen));
        const auto arrived = static_cast<double>(fleet.arrived_within(4s));
        cr_assert_gt(
            arrived, 0.7 * 4 * usual, "%zu: %.0f in 4 s", routers, arrived);
    }
}

/// A rare model: its only engine is limited, and few routers have its callers.
Test(limited_fleet, the_only_engine_of_a_model_is_used_up_to_its_limit)
{
    for (const std::size_t routers : {7, 65, 300})
    {
        auto chosen = sized(routers, 2);
        chosen.engines = 1;
        limited_fleet fleet(chosen);
        fleet.send(warm_up, 1, 3);
        fleet.name_limit(true);
        fleet.send(20s, 4, 3);
        assert_in_bounds(fleet);
        const double used = used_share(fleet, chosen, 15s);
        cr_assert_gt(used, 0.8, "%zu routers use %.2f", routers, used);
    }
}

/// Each of the router that counts and any other one.
Test(limited_fleet, a_router_that_freezes_breaks_no_limit)
{
    for (const std::size_t frozen : {0, 1, 8})
    {
        const auto chosen = sized(9);
        limited_fleet fleet = make_limited(chosen);
        fleet.freeze(frozen, 3s);
        fleet.send(8s, load_of(chosen));
        assert_in_bounds(fleet);
        cr_assert_gt(used_share(fleet, chosen, 4s), 0.4);
    }
}

Test(limited_fleet, restarts_one_after_another_break_no_limit)
{
    const auto chosen = sized(9);
    limited_fleet fleet = make_limited(chosen);
    for (std::size_t i = 0; i < chosen.routers; ++i)
    {
        fleet.restart(i);
        fleet.send(1s, load_of(chosen));
    }
    assert_in_bounds(fleet);
}

Test(limited_fleet, a_restart_of_all_breaks_no_limit)
{
    for (const std::size_t routers : {9, 300})
    {
        const auto chosen = sized(routers);
        limited_fleet fleet = make_limited(chosen);
        for (std::size_t i = 0; i < chosen.routers; ++i)
            fleet.restart(i);
        fleet.send(8s, load_of(chosen));
        assert_in_bounds(fleet);
    }
}

Test(limited_fleet, routers_that_are_cut_off_keep_to_their_part)
{
    const auto chosen = sized(9);
    limited_fleet fleet = make_limited(chosen);
    const auto side = [](std::size_t router)
    {
        return router >= 6;
    };
    fleet.reaches = [side](std::size_t from, std::size_t to)
    {
        return side(from) == side(to);
    };
    fleet.send(10s, load_of(chosen));
    assert_in_bounds(fleet);
}

Test(limited_fleet, a_counting_router_cut_off_in_one_direction_breaks_no_limit)
{
    for (const bool hears : {false, true})
    {
        const auto chosen = sized(9);
        limited_fleet fleet = make_limited(chosen);
        fleet.reaches = [hears](std::size_t from, std::size_t to)
        {
            return (hears ? from : to) != 0;
        };
        fleet.send(10s, load_of(chosen));
        assert_in_bounds(fleet);
    }
}

Test(limited_fleet, requests_that_the_limit_leaves_no_room_for_are_refused)
{
    auto chosen = sized(9, 0.5);
    chosen.engines = 1;
    limited_fleet fleet(chosen);
    fleet.send(warm_up, 1);
    fleet.name_limit(true);
    fleet.send(20s, 6);
    assert_in_bounds(fleet);
    cr_assert_gt(fleet.refused(), 60);
}
