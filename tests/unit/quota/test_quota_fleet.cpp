#include "quota_fleet.hpp"

#include <algorithm>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

/// Minimum served share when there are no faults.
constexpr double min_served_share = 0.99;

constexpr double limit = 29'000;
constexpr double overload_rate =
    6 * limit; ///< tokens per second sent by an overloading organisation
constexpr double small_request = 720;
constexpr double large_request = 9'200;
constexpr duration short_wait = 100ms;

/// Weights that send all traffic to the last `some` routers, which can't be
/// accountants.
std::vector<double> weights_of_last(std::size_t some, std::size_t of)
{
    std::vector<double> weights(of, 0.0);
    std::fill_n(weights.rbegin(), some, 1.0);
    return weights;
}

void assert_in_bounds(const quota_fleet& fleet)
{
    cr_assert_leq(
        fleet.worst_window(),
        fleet.allowed(),
        "%.0f tokens in a window, %.0f allowed",
        fleet.worst_window(),
        fleet.allowed());
}

void assert_served(const quota_fleet& fleet, double min_share)
{
    cr_assert_geq(
        fleet.served_share(), min_share, "%.3f served", fleet.served_share());
}

quota_fleet::options make_options(std::size_t routers)
{
    quota_fleet::options config;
    config.routers = routers;
    return config;
}

/// A fleet in which all routers had time to choose an accountant.
struct settled_fleet : quota_fleet
{
    explicit settled_fleet(const options& config)
        : quota_fleet(config)
    {
        this->advance(5s);
    }
};

} // namespace

Test(quota_fleet, many_times_the_limit_stays_within_it)
{
    for (const std::size_t routers : {7U, 65U, 300U})
    {
        settled_fleet fleet(make_options(routers));
        fleet.send(20s, overload_rate, small_request, short_wait);
        assert_in_bounds(fleet);
        assert_served(fleet, min_served_share);
    }
}

Test(quota_fleet, traffic_at_the_limit_is_served)
{
    for (const std::size_t routers : {7U, 65U, 300U})
    {
        settled_fleet fleet(make_options(routers));
        fleet.send(30s, limit, small_request, short_wait);
        assert_served(fleet, min_served_share);
        assert_in_bounds(fleet);
    }
}

Test(quota_fleet, callers_of_few_routers_get_the_whole_limit)
{
    settled_fleet fleet(make_options(65));
    fleet.send(30s, limit, small_request, short_wait, weights_of_last(4, 65));
    assert_served(fleet, min_served_share);
    assert_in_bounds(fleet);
}

/// The platform hands most connections to one router.
Test(quota_fleet, most_traffic_at_one_router_is_served)
{
    constexpr double share_of_one = 0.9;
    for (const std::size_t routers : {7U, 65U, 300U})
    {
        settled_fleet fleet(make_options(routers));
        fleet.send(10s, limit, small_request, short_wait);
        std::vector<double> weights(
            routers, (1 - share_of_one) / static_cast<double>(routers - 1));
        weights.back() = share_of_one;
        fleet.send(3s, limit, small_request, short_wait, weights);
        fleet.reset_counters();
        fleet.send(10s, limit, small_request, short_wait, weights);
        assert_served(fleet, 0.95);
        assert_in_bounds(fleet);
    }
}

Test(quota_fleet, large_requests_get_the_whole_limit)
{
    settled_fleet fleet(make_options(65));
    fleet.send(40s, 20'000, large_request, 150ms);
    assert_served(fleet, min_served_share);
    assert_in_bounds(fleet);
}

Test(quota_fleet, a_lossy_network_reduces_throughput_little)
{
    quota_fleet::options config = make_options(300);
    config.loss = 0.03;
    config.duplicate = 0.05;
    config.longest_delay = 15ms;
    for (const std::uint64_t seed : {1U, 2U, 3U})
    {
        config.seed = seed;
        settled_fleet fleet(config);
        fleet.send(20s, overload_rate, small_request, short_wait);
        assert_in_bounds(fleet);
        assert_served(fleet, 0.95);
    }
}

Test(quota_fleet, fails_over_when_an_accountant_is_cut_off)
{
    settled_fleet fleet(make_options(65));
    fleet.send(5s, overload_rate, small_request, short_wait);
    fleet.reaches = [](std::size_t from, std::size_t to)
    {
        return from != 0 && to != 0;
    };
    fleet.send(2s, overload_rate, small_request, short_wait);
    fleet.reset_counters();
    fleet.send(
        10s, overload_rate, small_request, short_wait, weights_of_last(60, 65));
    assert_in_bounds(fleet);
    assert_served(fleet, 0.95);
}

Test(quota_fleet, a_suspended_accountant_breaks_no_limit)
{
    for (const duration length : {500ms, 2000ms, 6800ms})
    {
        settled_fleet fleet(make_options(65));
        fleet.send(3s, overload_rate, small_request, short_wait);
        fleet.freeze(0, length);
        fleet.send(12s, overload_rate, small_request, short_wait);
        assert_in_bounds(fleet);
        assert_served(fleet, 0.9);
    }
}

Test(quota_fleet, an_accountant_reachable_in_one_direction_only)
{
    for (const bool no_replies : {false, true})
    {
        settled_fleet fleet(make_options(65));
        fleet.reaches = [no_replies](std::size_t from, std::size_t to)
        {
            return no_replies ? to != 0 : from != 0;
        };
        fleet.send(15s, overload_rate, small_request, short_wait);
        assert_in_bounds(fleet);
        assert_served(fleet, 0.9);
    }
}

Test(quota_fleet, two_accountants_at_once_share_the_limit)
{
    settled_fleet fleet(make_options(66));
    // Each half of the routers reaches only its own accountants.
    fleet.reaches = [](std::size_t from, std::size_t to)
    {
        return from % 2 == to % 2;
    };
    fleet.send(20s, overload_rate, small_request, short_wait);
    assert_in_bounds(fleet);
    assert_served(fleet, 0.9);
}

Test(quota_fleet, routers_that_are_all_cut_off_keep_the_sum)
{
    settled_fleet fleet(make_options(65));
    fleet.send(3s, overload_rate, small_request, short_wait);
    fleet.reaches = [](std::size_t, std::size_t)
    {
        return false;
    };
    fleet.send(20s, overload_rate, small_request, short_wait);
    assert_in_bounds(fleet);
}

Test(quota_fleet, routers_cut_off_in_turn_keep_the_sum)
{
    settled_fleet fleet(make_options(65));
    fleet.reaches = [&fleet](std::size_t from, std::size_t to)
    {
        const auto step =
            static_cast<std::size_t>(fleet.now().time_since_epoch() / 700ms);
        const auto is_cut = [step](std::size_t router)
        {
            return (router + step * 17) % 65 < 25;
        };
        return is_cut(from) == is_cut(to);
    };
    fleet.send(25s, overload_rate, small_request, short_wait);
    assert_in_bounds(fleet);
}

Test(quota_fleet, all_routers_restart_at_once)
{
    settled_fleet fleet(make_options(300));
    fleet.send(8s, overload_rate, small_request, short_wait);
    for (std::size_t i = 0; i < 300; ++i)
        fleet.restart(i);
    fleet.send(8s, overload_rate, small_request, short_wait);
    assert_in_bounds(fleet);
    assert_served(fleet, 0.9);
}

Test(quota_fleet, restarts_one_after_the_other)
{
    settled_fleet fleet(make_options(65));
    for (std::size_t i = 0; i < 65; ++i)
    {
        fleet.restart(i);
        fleet.send(300ms, overload_rate, small_request, short_wait);
    }
    assert_in_bounds(fleet);
    assert_served(fleet, 0.85);
}

Test(quota_fleet, three_quarters_more_routers_at_once)
{
    settled_fleet fleet(make_options(65));
    fleet.send(5s, overload_rate, small_request, short_wait);
    fleet.add(49);
    fleet.send(10s, overload_rate, small_request, short_wait);
    assert_in_bounds(fleet);
    assert_served(fleet, 0.98);
}

Test(quota_fleet, a_raised_limit_takes_effect_at_once)
{
    settled_fleet fleet(make_options(65));
    fleet.send(5s, 100'000, small_request, short_wait);
    fleet.set_limit({90'000, 90'000});
    fleet.reset_counters();
    fleet.send(10s, 6 * 90'000, small_request, short_wait);
    assert_served(fleet, 0.98);
}

Test(quota_fleet, a_limit_far_below_the_load_holds)
{
    settled_fleet fleet(make_options(65));
    fleet.set_limit({5'000, 5'000});
    fleet.send(20s, 100'000, small_request, short_wait);
    assert_in_bounds(fleet);
}

Test(quota_fleet, a_newly_set_limit_holds)
{
    quota_fleet::options config = make_options(65);
    config.limit = {0, 0};
    settled_fleet fleet(config);
    fleet.set_limit({limit, limit});
    fleet.send(20s, overload_rate, small_request, short_wait);
    assert_in_bounds(fleet);
    assert_served(fleet, 0.95);
}

Test(quota_fleet, an_organisation_without_a_limit_is_never_refused)
{
    quota_fleet::options config = make_options(65);
    config.limit = {0, 0};
    settled_fleet fleet(config);
    fleet.send(5s, 100'000, small_request, 0ms);
    fleet.advance(1s);
    cr_assert_gt(fleet.worst_window(), 450'000);
}

Test(quota_fleet, an_idle_fleet_sends_few_messages)
{
    settled_fleet fleet(make_options(300));
    const std::size_t before = fleet.message_count();
    fleet.advance(10s);
    const double each_second =
        static_cast<double>(fleet.message_count() - before) / 10 / 300;
    cr_assert_leq(
        each_second, 8, "%.1f messages per router and second", each_second);
}
