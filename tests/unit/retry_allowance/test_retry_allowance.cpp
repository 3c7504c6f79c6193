#include "retry_fleet.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

constexpr retry_allowance allowance{0.2, 54, 10s};

/// Sizes of the fleets; an allowance of 54 is a fraction of a retry for each
/// router of the larger ones.
constexpr std::size_t fleet_sizes[] = {7, 65, 300, 1000};

/// Requests of which nearly all fail: few, and as many as the design size has.
constexpr double request_rates[] = {16, 1600};

void assert_allowed(const retry_fleet& fleet)
{
    const double excess = fleet.worst_excess(allowance);
    cr_assert_leq(
        excess,
        0,
        "%zu routers sent %.1f retries more than allowed in 10 s",
        fleet.size(),
        excess);
}

retry_fleet::options make_options(std::size_t routers)
{
    retry_fleet::options config;
    config.routers = routers;
    config.accountant_candidates = std::min<std::size_t>(routers, 6);
    config.retries = allowance;
    return config;
}

/// A fleet in which all routers had time to choose an accountant.
struct settled_fleet : retry_fleet
{
    explicit settled_fleet(std::size_t routers)
        : retry_fleet(make_options(routers))
    {
        this->advance(10s);
    }

    void restart_all()
    {
        for (std::size_t router = 0; router < this->size(); ++router)
            this->restart(router);
    }
};

/// Calls a function with a fleet of each size and a load of each rate, after a
/// time without failures in which no retry was needed.
template <class Function>
void with_each_fleet(Function function)
{
    for (const std::size_t routers : fleet_sizes)
    {
        for (const double rate : request_rates)
        {
            settled_fleet fleet(routers);
            fleet.receive(12s, {rate, 0});
            function(fleet, retry_fleet::load{rate});
            assert_allowed(fleet);
        }
    }
}

} // namespace

/// A fleet without faults whose callers need all retries they can get.
Test(retry_allowance, a_calm_fleet_uses_half_of_it_or_more)
{
    with_each_fleet(
        [](settled_fleet& fleet, const retry_fleet::load& offered)
        {
            const instant start = fleet.now();
            fleet.receive(40s, offered);
            const double used = fleet.least_used(start, fleet.now(), allowance);
            cr_assert_geq(
                used, 0.5, "%zu routers used %.3f", fleet.size(), used);
        });
}

Test(retry_allowance, the_callers_of_few_routers_use_half_of_it_or_more)
{
    for (const std::size_t routers : fleet_sizes)
    {
        settled_fleet fleet(routers);
        std::vector<double> weights(routers, 0);
        std::fill_n(weights.rbegin(), 3, 1);
        const instant start = fleet.now();
        fleet.receive(40s, {}, weights);
        assert_allowed(fleet);
        cr_assert_geq(
            fleet.least_used(start + 10s, fleet.now(), allowance), 0.5);
    }
}

/// The platform hands most connections to one router, which gets the others'
/// part of the allowance within three seconds.
Test(retry_allowance, most_callers_of_one_router_use_half_of_it_or_more)
{
    constexpr double share_of_one = 0.9;
    for (const std::size_t routers : fleet_sizes)
    {
        settled_fleet fleet(routers);
        fleet.receive(20s, {});
        std::vector<double> weights(
            routers, (1 - share_of_one) / static_cast<double>(routers - 1));
        weights.back() = share_of_one;
        const instant moved = fleet.now();
        fleet.receive(40s, {}, weights);
        assert_allowed(fleet);
        cr_assert_geq(
            fleet.least_used(moved + 3s, fleet.now(), allowance), 0.5);
    }
}

/// Each router spends all that it may, and is killed and started again.
Test(retry_allowance, routers_killed_in_series_stay_within_it)
{
    with_each_fleet(
        [](settled_fleet& fleet, const retry_fleet::load& offered)
        {
            fleet.receive(2s, offered);
            for (const duration pause : {300ms, 1200ms, 1800ms, 2500ms, 4000ms})
            {
                for (int kill = 0; kill < 4; ++kill)
                {
                    fleet.restart_all();
                    fleet.receive(pause, offered);
                }
            }
        });
}

/// Only the accountant of the moment is killed, while the others spend.
Test(retry_allowance, accountants_killed_in_series_stay_within_it)
{
    with_each_fleet(
        [](settled_fleet& fleet, const retry_fleet::load& offered)
        {
            fleet.receive(2s, offered);
            for (std::size_t kill = 0; kill < 12; ++kill)
            {
                fleet.restart(kill % 2);
                fleet.receive(900ms, offered);
            }
        });
}

/// All routers start at once, and none knows another one yet.
Test(retry_allowance, routers_that_know_no_other_stay_within_it)
{
    with_each_fleet(
        [](settled_fleet& fleet, const retry_fleet::load& offered)
        {
            fleet.receive(2s, offered);
            for (std::size_t router = 0; router < fleet.size(); ++router)
                fleet.restart_without_list(router);
            fleet.receive(15s, offered);
        });
}

/// Retries of a whole window, without any fault.
Test(retry_allowance, any_ten_seconds_of_one_router_stay_within_it)
{
    settled_fleet fleet(1);
    fleet.receive(60s, {});
    assert_allowed(fleet);
}

Test(retry_allowance, a_suspended_accountant_stays_within_it)
{
    for (const duration length : {700ms, 3000ms, 9000ms})
    {
        with_each_fleet(
            [length](settled_fleet& fleet, const retry_fleet::load& offered)
            {
                fleet.receive(2s, offered);
                fleet.freeze(0, length);
                fleet.receive(14s, offered);
            });
    }
}

/// All retries that were held during the freeze are due at once.
Test(retry_allowance, routers_that_resume_together_stay_within_it)
{
    with_each_fleet(
        [](settled_fleet& fleet, const retry_fleet::load& offered)
        {
            fleet.receive(2s, offered);
            for (std::size_t router = 0; router < fleet.size(); router += 2)
                fleet.freeze(router, 4s);
            fleet.receive(2s, offered);
        });
}

Test(retry_allowance, an_accountant_reachable_in_one_direction_stays_within_it)
{
    for (const bool no_replies : {false, true})
    {
        with_each_fleet(
            [no_replies](settled_fleet& fleet, const retry_fleet::load& offered)
            {
                fleet.receive(2s, offered);
                fleet.reaches = [no_replies](std::size_t from, std::size_t to)
                {
                    return no_replies ? to != 0 : from != 0;
                };
                fleet.receive(15s, offered);
            });
    }
}

Test(retry_allowance, two_accountants_at_once_stay_within_it)
{
    with_each_fleet(
        [](settled_fleet& fleet, const retry_fleet::load& offered)
        {
            fleet.receive(2s, offered);
            fleet.reaches = [](std::size_t from, std::size_t to)
            {
                return from % 2 == to % 2;
            };
            fleet.receive(15s, offered);
        });
}

Test(retry_allowance, routers_that_are_all_cut_off_stay_within_it)
{
    with_each_fleet(
        [](settled_fleet& fleet, const retry_fleet::load& offered)
        {
            fleet.receive(2s, offered);
            fleet.reaches = [](std::size_t, std::size_t)
            {
                return false;
            };
            fleet.receive(40s, offered);
        });
}

Test(retry_allowance, routers_cut_off_in_turn_and_killed_stay_within_it)
{
    with_each_fleet(
        [](settled_fleet& fleet, const retry_fleet::load& offered)
        {
            fleet.receive(2s, offered);
            fleet.reaches = [&fleet](std::size_t from, std::size_t to)
            {
                const auto step = static_cast<std::size_t>(
                    fleet.now().time_since_epoch() / 700ms);
                const auto is_cut = [&fleet, step](std::size_t router)
                {
                    return (router + step * 17) % fleet.size() <
                           fleet.size() * 2 / 5;
                };
                return is_cut(from) == is_cut(to);
            };
            for (std::size_t kill = 0; kill < 20; ++kill)
            {
                fleet.restart(kill % fleet.size());
                fleet.receive(1100ms, offered);
            }
        });
}

Test(retry_allowance, three_quarters_more_routers_stay_within_it)
{
    with_each_fleet(
        [](settled_fleet& fleet, const retry_fleet::load& offered)
        {
            fleet.receive(2s, offered);
            fleet.add(fleet.size() * 3 / 4);
            fleet.receive(15s, offered);
        });
}

/// A burst of requests ends, and its retries are due up to a deadline later.
Test(retry_allowance, retries_after_the_traffic_has_stopped_stay_within_it)
{
    for (const duration delay : {4s, 9s, 17s})
    {
        with_each_fleet(
            [delay](settled_fleet& fleet, const retry_fleet::load& offered)
            {
                retry_fleet::load delayed = offered;
                delayed.longest_delay = delay;
                fleet.receive(10s, delayed);
                fleet.advance(delay + 11s);
            });
    }
}

/// The traffic moves from one half of the routers to the other.
Test(retry_allowance, traffic_that_moves_between_routers_stays_within_it)
{
    with_each_fleet(
        [](settled_fleet& fleet, const retry_fleet::load& offered)
        {
            for (std::size_t part = 0; part < 6; ++part)
            {
                std::vector<double> weights(fleet.size(), 0);
                for (std::size_t i = part % 2; i < weights.size(); i += 2)
                    weights[i] = 1;
                fleet.receive(5s, offered, weights);
            }
        });
}
