#include "bench/dispatch/shared_engines.hpp"
#include "tests/unit/dispatch/harness.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::bench;
using roseworks::testing::harness;
using namespace std::chrono_literals;

namespace
{

/// Simulates two routers that share engines beyond saturation.
/// @param head_start Fraction of the run during which the second router
///                   receives no calls.
void check_past_saturation(double load, double head_start, std::uint64_t seed)
{
    shared_engines_setup setup;
    setup.load = load;
    setup.head_start = head_start;
    setup.seed = seed;
    const auto seen = run_shared_engines(setup);
    cr_assert_geq(seen.urgent_timely, 0.99);
    cr_assert_geq(seen.least_urgent_timely, 0.97);
    cr_assert_geq(seen.goodput, 0.95 * 100, "the capacity is 100 calls/s");
    cr_assert_leq(seen.engine_waiting, 1);
    cr_assert_leq(seen.cut, 30);
    cr_assert_eq(seen.refused_late, 0);
}

} // namespace

Test(shared_engines, urgent_calls_are_in_time_past_saturation)
{
    for (const double load : {2.0, 4.0})
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
        {
            check_past_saturation(load, 0, seed);
        }
    }
}

Test(shared_engines, answers_of_varying_length_are_rarely_cut)
{
    shared_engines_setup setup;
    setup.spread = 80ms;
    const auto seen = run_shared_engines(setup);
    cr_assert_leq(seen.cut, 30);
    cr_assert_geq(seen.goodput, 0.95 * 100);
}

Test(shared_engines, a_router_that_starts_later_gets_its_share)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        check_past_saturation(4, 0.3, seed);
    }
}

Test(shared_engines, each_router_has_its_share_of_a_full_server)
{
    harness test;
    test.model("m", 1, 1, 8);
    test.core.routers_alive(2, test.now);
    test.core.load_reported({engine_id(1), 8, 0}, test.now);
    for (int i = 0; i < 4; ++i)
    {
        cr_assert(test.granted(test.submit()));
    }
    const ticket fifth = test.submit();
    cr_assert(not test.granted(fifth));
    test.core.routers_alive(1, test.now);
    test.collect();
    cr_assert(
        not test.granted(fifth),
        "no share: the load there is not from routers");
}
