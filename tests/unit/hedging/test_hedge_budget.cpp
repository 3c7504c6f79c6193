#include "hedge_budget_fleet.hpp"

#include <cstddef>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

constexpr std::size_t fleet_sizes[] = {7, 84, 300};

/// As many requests as deployment R has on its engines.
constexpr double requests_per_second = 560;

void assert_within_limit(const hedge_budget_fleet& fleet)
{
    const double excess = fleet.worst_excess();
    cr_log_info("%zu routers: %.1f", fleet.size(), excess);
    cr_assert_leq(
        excess,
        0,
        "%zu routers sent %.1f hedges more than allowed in 10 s",
        fleet.size(),
        excess);
}

/// Calls a function with a fleet of each size that has run for a while. The
/// requests go on after it, so that a window that began at its end is full.
template <class Function>
void with_each_fleet(Function function)
{
    for (const std::size_t routers : fleet_sizes)
    {
        hedge_budget_fleet fleet(routers);
        fleet.receive(22s, requests_per_second);
        function(fleet);
        fleet.receive(10s, requests_per_second);
        assert_within_limit(fleet);
    }
}

} // namespace

Test(hedge_budget, a_calm_fleet_stays_within_it_and_uses_half_of_it)
{
    for (const std::size_t routers : fleet_sizes)
    {
        hedge_budget_fleet fleet(routers);
        fleet.receive(20s, requests_per_second);
        const instant start = fleet.now();
        fleet.receive(30s, requests_per_second);
        assert_within_limit(fleet);
        const double used = fleet.hedged_share(start);
        cr_log_info("%zu routers: %.4f hedged", routers, used);
        cr_assert_geq(used, hedge_budget_fleet::share / 2);
    }
}

/// Each router that is killed forgets what it has sent.
Test(hedge_budget, accountants_killed_in_series_stay_within_it)
{
    with_each_fleet(
        [](hedge_budget_fleet& fleet)
        {
            for (std::size_t kill = 0; kill < 12; ++kill)
            {
                fleet.restart(kill % 2);
                fleet.receive(900ms, requests_per_second);
            }
        });
}

Test(hedge_budget, all_routers_restarted_stay_within_it)
{
    with_each_fleet(
        [](hedge_budget_fleet& fleet)
        {
            for (const duration pause : {300ms, 1200ms, 4000ms})
            {
                for (std::size_t i = 0; i < fleet.size(); ++i)
                    fleet.restart(i);
                fleet.receive(pause, requests_per_second);
            }
        });
}

Test(hedge_budget, a_suspended_accountant_stays_within_it)
{
    with_each_fleet(
        [](hedge_budget_fleet& fleet)
        {
            fleet.freeze(0, 3s);
            fleet.receive(6s, requests_per_second);
        });
}

Test(hedge_budget, an_accountant_reachable_in_one_direction_stays_within_it)
{
    for (const bool no_replies : {false, true})
    {
        with_each_fleet(
            [no_replies](hedge_budget_fleet& fleet)
            {
                fleet.reaches = [no_replies](std::size_t from, std::size_t to)
                {
                    return no_replies ? to != 0 : from != 0;
                };
                fleet.receive(12s, requests_per_second);
            });
    }
}

/// Two accountants grant at once, each to its half of the routers.
Test(hedge_budget, two_accountants_at_once_stay_within_it)
{
    with_each_fleet(
        [](hedge_budget_fleet& fleet)
        {
            fleet.reaches = [](std::size_t from, std::size_t to)
            {
                return from % 2 == to % 2;
            };
            fleet.receive(12s, requests_per_second);
        });
}

/// A share that each router keeps by itself would be a second sum.
Test(hedge_budget, no_hedge_without_an_accountant)
{
    for (const std::size_t routers : fleet_sizes)
    {
        hedge_budget_fleet fleet(routers);
        fleet.receive(12s, requests_per_second);
        fleet.reaches = [](std::size_t, std::size_t)
        {
            return false;
        };
        // Accountants are routers, and reach themselves.
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.restart_without_list(i);
        const std::size_t before = fleet.hedge_count();
        fleet.receive(15s, requests_per_second);
        cr_assert_eq(fleet.hedge_count(), before);
    }
}

/// The organisations' and retries' messages stay as they are.
Test(hedge_budget, no_account_with_a_share_of_zero)
{
    deployment configuration;
    configuration.services = {{"app", 1, {}}};
    cr_assert(hedge_limits_of(configuration, 0, 10s).empty());
    cr_assert_eq(hedge_limits_of(configuration, 0.02, 10s).size(), 1);
}

/// A router without the setting has to refuse hedges, since it has no account
/// that limits them.
Test(hedge_budget, an_accountant_without_the_account_refuses_hedges)
{
    const instant now(1000s);
    quota_accountant accountant("a", {});
    accountant.set_limits({{retry_account("app"), limit_of_retries({})}}, now);
    accountant.set_router_count(1);
    quota_query query;
    query.router = "r1";
    query.last_reply_age_us = 0;
    query.counting_delay_us = 0;
    query.draws = {{1, hedge_account("app"), 1, 0, 0}};
    const quota_reply reply = accountant.handle_query(query, now);
    cr_assert_eq(reply.results.size(), 1);
    cr_assert_not(reply.results.front().is_allowed);
}

Test(hedge_budget, hedges_and_retries_have_different_accounts)
{
    cr_assert(is_hedge_account(hedge_account("app")));
    cr_assert_not(is_hedge_account(retry_account("app")));
    cr_assert_not(is_hedge_account("app"));
    cr_assert_eq(
        limit_of_hedges("app", 0.02, 10s).counted_under, retry_account("app"));
}
