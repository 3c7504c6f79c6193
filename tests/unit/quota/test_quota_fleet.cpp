#include "quota_fleet.hpp"

#include <algorithm>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

/// Of what is owed, without faults.
constexpr double nearly_all = 0.99;

constexpr double limit = 29'000;
constexpr double hot = 6 * limit; ///< what a hot organisation sends a second
constexpr double triage = 720;
constexpr double lookup = 9'200;
constexpr duration short_wait = 100ms;

/// All traffic on the last so many routers, which are weak ones.
std::vector<double> on_last(std::size_t some, std::size_t of)
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

void assert_served(const quota_fleet& fleet, double least)
{
    cr_assert_geq(
        fleet.served_share(), least, "%.3f served", fleet.served_share());
}

quota_fleet::options sized(std::size_t routers)
{
    quota_fleet::options made;
    made.routers = routers;
    return made;
}

/// A fleet that had time to find together.
struct settled_fleet : quota_fleet
{
    explicit settled_fleet(const options& chosen)
        : quota_fleet(chosen)
    {
        this->pass(5s);
    }
};

} // namespace

Test(quota_fleet, many_times_the_limit_stays_within_it)
{
    for (const std::size_t routers : {7U, 65U, 300U})
    {
        settled_fleet fleet(sized(routers));
        fleet.send(20s, hot, triage, short_wait);
        assert_in_bounds(fleet);
        assert_served(fleet, nearly_all);
    }
}

Test(quota_fleet, what_is_owed_is_served_at_the_limit)
{
    for (const std::size_t routers : {7U, 65U, 300U})
    {
        settled_fleet fleet(sized(routers));
        fleet.send(30s, limit, triage, short_wait);
        assert_served(fleet, nearly_all);
        assert_in_bounds(fleet);
    }
}

Test(quota_fleet, callers_on_few_routers_get_the_whole_limit)
{
    settled_fleet fleet(sized(65));
    fleet.send(30s, limit, triage, short_wait, on_last(4, 65));
    assert_served(fleet, nearly_all);
    assert_in_bounds(fleet);
}

Test(quota_fleet, large_requests_get_the_whole_limit)
{
    settled_fleet fleet(sized(65));
    fleet.send(40s, 20'000, lookup, 150ms);
    assert_served(fleet, nearly_all);
    assert_in_bounds(fleet);
}

Test(quota_fleet, a_lossy_network_costs_little)
{
    quota_fleet::options chosen = sized(300);
    chosen.loss = 0.03;
    chosen.duplicate = 0.05;
    chosen.longest_delay = 15ms;
    for (const std::uint64_t seed : {1U, 2U, 3U})
    {
        chosen.seed = seed;
        settled_fleet fleet(chosen);
        fleet.send(20s, hot, triage, short_wait);
        assert_in_bounds(fleet);
        assert_served(fleet, 0.95);
    }
}

Test(quota_fleet, an_accountant_that_dies_is_followed_by_the_next)
{
    settled_fleet fleet(sized(65));
    fleet.send(5s, hot, triage, short_wait);
    fleet.reaches = [](std::size_t from, std::size_t to)
    {
        return from != 0 && to != 0;
    };
    fleet.send(2s, hot, triage, short_wait);
    fleet.forget();
    fleet.send(10s, hot, triage, short_wait, on_last(60, 65));
    assert_in_bounds(fleet);
    assert_served(fleet, 0.95);
}

Test(quota_fleet, an_accountant_that_freezes_and_wakes_harms_nothing)
{
    for (const duration length : {500ms, 2000ms, 6800ms})
    {
        settled_fleet fleet(sized(65));
        fleet.send(3s, hot, triage, short_wait);
        fleet.freeze(0, length);
        fleet.send(12s, hot, triage, short_wait);
        assert_in_bounds(fleet);
        assert_served(fleet, 0.9);
    }
}

Test(quota_fleet, an_accountant_heard_in_one_direction_only)
{
    for (const bool deaf : {false, true})
    {
        settled_fleet fleet(sized(65));
        fleet.reaches = [deaf](std::size_t from, std::size_t to)
        {
            return deaf ? to != 0 : from != 0;
        };
        fleet.send(15s, hot, triage, short_wait);
        assert_in_bounds(fleet);
        assert_served(fleet, 0.9);
    }
}

Test(quota_fleet, two_accountants_at_once_share_the_limit)
{
    settled_fleet fleet(sized(66));
    // Each half reaches only its own accountants.
    fleet.reaches = [](std::size_t from, std::size_t to)
    {
        return from % 2 == to % 2;
    };
    fleet.send(20s, hot, triage, short_wait);
    assert_in_bounds(fleet);
    assert_served(fleet, 0.9);
}

Test(quota_fleet, routers_that_are_all_cut_off_keep_the_sum)
{
    settled_fleet fleet(sized(65));
    fleet.send(3s, hot, triage, short_wait);
    fleet.reaches = [](std::size_t, std::size_t)
    {
        return false;
    };
    fleet.send(20s, hot, triage, short_wait);
    assert_in_bounds(fleet);
}

Test(quota_fleet, routers_cut_off_in_turn_keep_the_sum)
{
    settled_fleet fleet(sized(65));
    fleet.reaches = [&fleet](std::size_t from, std::size_t to)
    {
        const auto step =
            static_cast<std::size_t>(fleet.now().time_since_epoch() / 700ms);
        const auto is_cut = [step](std::size_t one)
        {
            return (one + step * 17) % 65 < 25;
        };
        return is_cut(from) == is_cut(to);
    };
    fleet.send(25s, hot, triage, short_wait);
    assert_in_bounds(fleet);
}

Test(quota_fleet, hundreds_restart_at_once_with_nothing_known)
{
    settled_fleet fleet(sized(300));
    fleet.send(8s, hot, triage, short_wait);
    for (std::size_t i = 0; i < 300; ++i)
        fleet.restart(i);
    fleet.send(8s, hot, triage, short_wait);
    assert_in_bounds(fleet);
    assert_served(fleet, 0.9);
}

Test(quota_fleet, restarts_one_after_the_other)
{
    settled_fleet fleet(sized(65));
    for (std::size_t i = 0; i < 65; ++i)
    {
        fleet.restart(i);
        fleet.send(300ms, hot, triage, short_wait);
    }
    assert_in_bounds(fleet);
    assert_served(fleet, 0.85);
}

Test(quota_fleet, three_quarters_more_routers_at_once)
{
    settled_fleet fleet(sized(65));
    fleet.send(5s, hot, triage, short_wait);
    fleet.add(49);
    fleet.send(10s, hot, triage, short_wait);
    assert_in_bounds(fleet);
    assert_served(fleet, 0.98);
}

Test(quota_fleet, a_limit_that_goes_up_is_owed_at_once)
{
    settled_fleet fleet(sized(65));
    fleet.send(5s, 100'000, triage, short_wait);
    fleet.set_limit({90'000, 90'000});
    fleet.forget();
    fleet.send(10s, 6 * 90'000, triage, short_wait);
    assert_served(fleet, 0.98);
}

Test(quota_fleet, a_limit_far_below_what_is_sent_binds)
{
    settled_fleet fleet(sized(65));
    fleet.set_limit({5'000, 5'000});
    fleet.send(20s, 100'000, triage, short_wait);
    assert_in_bounds(fleet);
}

Test(quota_fleet, a_first_limit_binds)
{
    quota_fleet::options chosen = sized(65);
    chosen.limit = {0, 0};
    settled_fleet fleet(chosen);
    fleet.set_limit({limit, limit});
    fleet.send(20s, hot, triage, short_wait);
    assert_in_bounds(fleet);
    assert_served(fleet, 0.95);
}

Test(quota_fleet, an_organisation_without_a_limit_is_never_refused)
{
    quota_fleet::options chosen = sized(65);
    chosen.limit = {0, 0};
    settled_fleet fleet(chosen);
    fleet.send(5s, 100'000, triage, 0ms);
    fleet.pass(1s);
    cr_assert_gt(fleet.worst_window(), 450'000);
}

Test(quota_fleet, an_idle_fleet_says_little)
{
    settled_fleet fleet(sized(300));
    const std::size_t before = fleet.words();
    fleet.pass(10s);
    const double each_second =
        static_cast<double>(fleet.words() - before) / 10 / 300;
    cr_assert_leq(each_second, 8, "%.1f words a router", each_second);
}
