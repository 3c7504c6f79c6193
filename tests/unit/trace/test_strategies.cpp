#include "core/placement/gap_cost.hpp"
#include "core/placement/periodic_callers.hpp"
#include "core/placement/strategies/companions.hpp"
#include "core/placement/strategies/idle_histogram.hpp"
#include "core/placement/strategies/reload_cost_eviction.hpp"
#include "core/placement/visit_filter.hpp"

#include <roseworks/placement_strategy.hpp>

#include <memory>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr servable_id first{1};
constexpr servable_id second{2};
constexpr instant start{1h};

servable_view view_of(servable_id id, std::uint32_t load_ms)
{
    servable_view view;
    view.id = id;
    view.memory_mib = 8192;
    view.load_estimate_ms = load_ms;
    return view;
}

std::vector<expected_use>
use(preload_source& source, servable_id id, std::uint32_t caller, instant at)
{
    std::vector<expected_use> expected;
    source.used({id, caller, at}, expected);
    return expected;
}

} // namespace

Test(periodic_callers, expects_the_third_visit_of_a_regular_caller)
{
    detail::periodic_callers callers;
    cr_assert(use(callers, first, 7, start).empty());
    cr_assert(use(callers, first, 7, start + 1h).empty());
    const auto expected = use(callers, first, 7, start + 2h + 20s);
    cr_assert_eq(expected.size(), 1);
    cr_assert(expected[0].servable == first);
    cr_assert(expected[0].earliest < start + 3h + 20s);
    cr_assert(expected[0].latest > start + 3h + 20s);
}

Test(periodic_callers, expects_nothing_of_an_irregular_one)
{
    detail::periodic_callers callers;
    use(callers, first, 7, start);
    use(callers, first, 7, start + 1h);
    cr_assert(use(callers, first, 7, start + 4h).empty());
    cr_assert(use(callers, first, 8, start + 5h).empty(), "another caller");
}

Test(periodic_callers, a_day_is_enough_once)
{
    detail::periodic_callers callers;
    use(callers, first, 7, start);
    cr_assert_eq(use(callers, first, 7, start + 24h + 1min).size(), 1);
}

Test(visit_filter, tells_often_enough_that_a_visit_is_not_taken_for_two)
{
    detail::visit_filter filter;
    instant last_told = start;
    cr_assert(filter.should_tell({first, 7, start}));
    for (instant at = start; at < start + 1h; at += 4min)
    {
        if (filter.should_tell({first, 7, at}))
        {
            cr_assert_gt((at - last_told).count(), 0);
            cr_assert_leq(
                (at - last_told).count(),
                detail::periodic_callers::visit_pause.count());
            last_told = at;
        }
    }
    cr_assert(last_told > start + 50min);
    cr_assert(filter.should_tell({first, 8, start}), "another caller");
}

Test(visit_filter, remembers_a_bounded_number_and_forgets_the_old)
{
    detail::visit_filter filter;
    constexpr std::uint32_t many = detail::visit_filter::most_known;
    for (std::uint32_t caller = 1; caller <= many; ++caller)
    {
        cr_assert(filter.should_tell({first, caller, start}));
    }
    cr_assert_not(filter.should_tell({first, many + 1, start}));
    cr_assert(filter.should_tell({first, many + 1, start + 10min}));
}

Test(periodic_callers, remembers_a_bounded_number_of_callers)
{
    detail::periodic_callers callers;
    constexpr std::uint32_t many = detail::periodic_callers::most_known;
    for (std::uint32_t caller = 1; caller <= many; ++caller)
    {
        use(callers, first, caller, start);
    }
    const std::uint32_t late = many + 1;
    use(callers, first, late, start);
    cr_assert(use(callers, first, late, start + 24h).empty(), "no room");
    // The others stay away, and make room.
    use(callers, first, late, start + 48h);
    cr_assert_eq(use(callers, first, late, start + 72h).size(), 1);
}

Test(companions, expects_what_followed_twice)
{
    detail::companions habits(0.5);
    for (int day = 0; day < 2; ++day)
    {
        const instant at = start + day * 24h;
        cr_assert(use(habits, first, 7, at).empty());
        use(habits, second, 7, at + 2min);
    }
    const auto expected = use(habits, first, 7, start + 48h);
    cr_assert_eq(expected.size(), 1);
    cr_assert(expected[0].servable == second);
    cr_assert(use(habits, first, 8, start + 48h).empty(), "another caller");
}

Test(gap_cost, waits_for_short_gaps_and_not_for_long_ones)
{
    detail::gap_cost strategy(60s);
    for (int i = 0; i < 50; ++i)
    {
        strategy.used(first, start + i * 30s);
        strategy.used(second, start + i * 4h);
    }
    const policy_spec policy;
    const duration often = strategy.hold(view_of(first, 10'000), policy);
    const duration seldom = strategy.hold(view_of(second, 10'000), policy);
    cr_assert(often >= 30s);
    cr_assert(seldom < 30s);
}

Test(gap_cost, the_policy_weighs_idle_against_cold)
{
    detail::gap_cost strategy(60s);
    for (int i = 0; i < 50; ++i)
    {
        strategy.used(first, start + i * 3min);
    }
    policy_spec cold_counts;
    cold_counts.idle_weight = 10;
    policy_spec idle_counts;
    idle_counts.idle_weight = 90;
    const servable_view what = view_of(first, 10'000);
    cr_assert(
        strategy.hold(what, cold_counts) > strategy.hold(what, idle_counts));
}

Test(reload_cost_eviction, evicts_what_loads_sooner)
{
    const detail::reload_cost_eviction strategy(
        make_placement_strategy(placement_kind::fixed_ttl, 5min));
    const policy_spec policy;
    const double quick =
        strategy.eviction_value(view_of(first, 2'000), 1min, policy);
    const double slow =
        strategy.eviction_value(view_of(second, 40'000), 1min, policy);
    cr_assert_gt(quick, slow);
    cr_assert(strategy.hold(view_of(first, 2'000), policy) == 5min);
}

Test(idle_histogram, expects_a_use_only_when_gaps_are_alike)
{
    detail::idle_histogram regular;
    std::vector<expected_use> expected;
    for (int i = 0; i < 6; ++i)
    {
        expected = use(regular, first, 7, start + i * 1h);
    }
    cr_assert_eq(expected.size(), 1);
    cr_assert(expected[0].earliest <= start + 6h);
    cr_assert(expected[0].latest >= start + 6h);

    detail::idle_histogram irregular;
    instant at = start;
    for (const duration gap :
         {duration(6min),
          duration(9h),
          duration(20min),
          duration(3h),
          duration(7min),
          duration(11h)})
    {
        at += gap;
        expected = use(irregular, first, 7, at);
    }
    cr_assert(expected.empty());
}
