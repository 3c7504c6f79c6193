#include "swap_fixture.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

/// The model `m1` is on the limited engine `e1` only; `e2` has its copy.
struct limited_copy : swap_fixture
{
    limited_copy()
        : swap_fixture(6)
    {
        this->engine("e1", {"m1"}, {"m1", "m2"}, at(0s));
        this->engine("e2", {}, {"m1", "m3"}, at(0s));
        this->engines.limits_named({{"e1", 2.0}});
    }
};

} // namespace

Test(limited_engines, what_waits_for_a_limited_engine_is_loaded_elsewhere)
{
    limited_copy test;
    test.need("m1", 2500ms, at(1s));
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1U);
    cr_assert_eq(orders[0].engine, "e2");
    cr_assert_eq(orders[0].model, "m1");
    test.accept(orders[0], at(1s));
    cr_assert(test.plan(at(1s + 100ms)).empty(), "it is on its way");
}

Test(limited_engines, what_nobody_waits_for_is_not_loaded_again)
{
    limited_copy test;
    cr_assert(test.plan(at(1s)).empty());
}

Test(limited_engines, once_the_limit_ends_its_copy_counts_again)
{
    limited_copy test;
    test.engines.limits_named({});
    test.need("m1", 2500ms, at(1s));
    cr_assert(test.plan(at(1s)).empty());
}

Test(limited_engines, no_second_copy_goes_to_another_limited_engine)
{
    limited_copy test;
    test.engines.limits_named({{"e1", 2.0}, {"e2", 2.0}});
    test.need("m1", 2500ms, at(1s));
    cr_assert(test.plan(at(1s)).empty());
}

/// All engines are limited, and rare models waited while most of them were
/// idle.
Test(limited_engines, more_copies_give_a_model_more_pace_where_all_are_limited)
{
    limited_copy test;
    test.engines.limits_named({{"e1", 2.0}, {"e2", 2.0}});
    test.need("m1", 2500ms, at(1s), "r1", 3);
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1U);
    cr_assert_eq(orders[0].engine, "e2");
    test.accept(orders[0], at(1s));
    cr_assert(test.plan(at(1s + 100ms)).empty(), "one at a time");
}

Test(limited_engines, a_cold_model_goes_to_an_engine_without_a_limit)
{
    swap_fixture test(6);
    test.engine("e1", {}, {"m1"}, at(0s));
    test.engine("e2", {}, {"m1"}, at(0s));
    test.engines.limits_named({{"e1", 2.0}});
    test.need("m1", 2500ms, at(1s));
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1U);
    cr_assert_eq(orders[0].engine, "e2");
}

Test(limited_engines, a_cold_model_that_only_a_limited_engine_has_is_loaded)
{
    swap_fixture test(6);
    test.engine("e1", {}, {"m1"}, at(0s));
    test.engines.limits_named({{"e1", 2.0}});
    test.need("m1", 2500ms, at(1s));
    cr_assert_eq(test.plan(at(1s)).size(), 1U);
}

Test(limited_engines, an_adapter_goes_beside_its_model_where_no_limit_is)
{
    limited_copy test;
    test.examine("e2", {"m1"}, {"m1", "m3"}, 0, at(500ms));
    test.need("m1/a1", 2500ms, at(1s));
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1U);
    cr_assert_eq(orders[0].engine, "e2");
    cr_assert_eq(orders[0].adapter, "a1");
}

/// The engine that is listed anew is a new run of it, which named nothing.
Test(limited_engines, limits_are_those_that_are_named_now)
{
    limited_copy test;
    cr_assert_eq(test.engines.find("e1")->rate_limit, 2.0);
    test.engines.limits_named({{"e2", 3.0}});
    cr_assert_eq(test.engines.find("e1")->rate_limit, 0);
    cr_assert_eq(test.engines.find("e2")->rate_limit, 3.0);
}
