#include <roseworks/placement_strategy.hpp>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

servable_view servable_of(std::uint32_t id, std::uint32_t load_ms)
{
    servable_view view;
    view.id = servable_id(id);
    view.load_estimate_ms = load_ms;
    return view;
}

policy_spec weight(std::uint16_t idle)
{
    policy_spec policy;
    policy.idle_weight = idle;
    return policy;
}

void use_every(
    placement_strategy& strategy, servable_id id, duration gap, int times)
{
    instant now{1000s};
    for (int use = 0; use < times; ++use)
    {
        strategy.used(id, now);
        now += gap;
    }
}

} // namespace

Test(fixed_ttl, keeps_all_alike_and_evicts_the_least_recently_used)
{
    const auto strategy =
        make_placement_strategy(placement_kind::fixed_ttl, 300s);
    const servable_view quick = servable_of(1, 100);
    const servable_view slow = servable_of(2, 60'000);
    cr_expect(strategy->hold(quick, weight(50)) == 300s);
    cr_expect(strategy->hold(slow, weight(90)) == 300s);
    cr_expect_gt(
        strategy->eviction_value(slow, 20s, weight(50)),
        strategy->eviction_value(quick, 10s, weight(50)));
}

Test(break_even, holds_longer_what_loads_longer_and_less_when_idling_costs)
{
    const auto strategy =
        make_placement_strategy(placement_kind::break_even, 300s);
    const servable_view reference = servable_of(1, 10'000);
    const servable_view slow = servable_of(2, 40'000);
    cr_expect(strategy->hold(reference, weight(50)) == 300s);
    cr_expect(strategy->hold(slow, weight(50)) == 1200s);
    cr_expect_lt(
        strategy->hold(reference, weight(80)).count(),
        strategy->hold(reference, weight(20)).count());
    cr_expect_gt(strategy->hold(reference, weight(100)).count(), 0);
    cr_expect_lt(
        strategy->hold(reference, weight(0)).count(), duration(24h).count());
}

Test(break_even, waits_for_an_expected_return_and_not_for_a_distant_one)
{
    const auto strategy =
        make_placement_strategy(placement_kind::break_even, 300s);
    const servable_view regular = servable_of(1, 10'000);
    const servable_view distant = servable_of(2, 10'000);
    use_every(*strategy, regular.id, 500s, 10);
    use_every(*strategy, distant.id, 5000s, 10);
    cr_expect_gt(
        strategy->hold(regular, weight(50)).count(), duration(500s).count());
    cr_expect_lt(
        strategy->hold(distant, weight(50)).count(), duration(300s).count());
}

Test(break_even, a_burst_is_one_use)
{
    const auto strategy =
        make_placement_strategy(placement_kind::break_even, 300s);
    const servable_view item = servable_of(1, 10'000);
    use_every(*strategy, item.id, 10ms, 1000);
    cr_expect(strategy->hold(item, weight(50)) == 300s);
}

Test(break_even, evicts_first_what_is_cheap_to_load_again)
{
    const auto strategy =
        make_placement_strategy(placement_kind::break_even, 300s);
    cr_expect_gt(
        strategy->eviction_value(servable_of(1, 1'000), 60s, weight(50)),
        strategy->eviction_value(servable_of(2, 60'000), 60s, weight(50)));
}
