#include "swap_fixture.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

/// Model `m1` is loaded only on engine `e1`, which has a rate limit. Engine
/// `e2` has the model's weights on its disk.
struct limited_copy : swap_fixture
{
    limited_copy()
        : swap_fixture(6)
    {
        this->engine("e1", {"m1"}, {"m1", "m2"}, at(0s));
        this->engine("e2", {}, {"m1", "m3"}, at(0s));
        this->engines.set_rate_limits({{"e1", 2.0}});
    }
};

} // namespace

Test(limited_engines, a_model_awaited_on_a_limited_engine_is_loaded_elsewhere)
{
    limited_copy test;
    test.need("m1", 2500ms, at(1s));
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1U);
    cr_assert_eq(orders[0].engine, "e2");
    cr_assert_eq(orders[0].model, "m1");
    test.accept(orders[0], at(1s));
    cr_assert(test.plan(at(1s + 100ms)).empty(), "the model is being loaded");
}

Test(limited_engines, a_model_that_is_not_awaited_gets_no_second_copy)
{
    limited_copy test;
    cr_assert(test.plan(at(1s)).empty());
}

Test(limited_engines, a_copy_counts_again_after_the_limit_has_ended)
{
    limited_copy test;
    test.engines.set_rate_limits({});
    test.need("m1", 2500ms, at(1s));
    cr_assert(test.plan(at(1s)).empty());
}

Test(limited_engines, one_waiting_request_adds_no_copy_on_a_limited_engine)
{
    limited_copy test;
    test.engines.set_rate_limits({{"e1", 2.0}, {"e2", 2.0}});
    test.need("m1", 2500ms, at(1s));
    cr_assert(test.plan(at(1s)).empty());
}

/// When all engines have a rate limit, requests for rare models must not wait
/// while most engines are idle.
Test(limited_engines, waiting_requests_add_a_copy_where_all_engines_are_limited)
{
    limited_copy test;
    test.engines.set_rate_limits({{"e1", 2.0}, {"e2", 2.0}});
    test.need("m1", 2500ms, at(1s), "r1", 3);
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1U);
    cr_assert_eq(orders[0].engine, "e2");
    test.accept(orders[0], at(1s));
    cr_assert(test.plan(at(1s + 100ms)).empty(), "one load at a time");
}

Test(limited_engines, a_model_is_loaded_on_an_engine_without_a_limit)
{
    swap_fixture test(6);
    test.engine("e1", {}, {"m1"}, at(0s));
    test.engine("e2", {}, {"m1"}, at(0s));
    test.engines.set_rate_limits({{"e1", 2.0}});
    test.need("m1", 2500ms, at(1s));
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1U);
    cr_assert_eq(orders[0].engine, "e2");
}

Test(limited_engines, a_limited_engine_loads_a_model_that_no_other_engine_has)
{
    swap_fixture test(6);
    test.engine("e1", {}, {"m1"}, at(0s));
    test.engines.set_rate_limits({{"e1", 2.0}});
    test.need("m1", 2500ms, at(1s));
    cr_assert_eq(test.plan(at(1s)).size(), 1U);
}

Test(limited_engines, an_adapter_is_loaded_on_an_engine_without_a_limit)
{
    limited_copy test;
    test.report_state("e2", {"m1"}, {"m1", "m3"}, 0, at(500ms));
    test.need("m1/a1", 2500ms, at(1s));
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1U);
    cr_assert_eq(orders[0].engine, "e2");
    cr_assert_eq(orders[0].adapter, "a1");
}

/// An engine that is missing from the new limits may have restarted, and has
/// named no limit since.
Test(limited_engines, new_limits_replace_all_previous_ones)
{
    limited_copy test;
    cr_assert_eq(test.engines.find("e1")->rate_limit, 2.0);
    test.engines.set_rate_limits({{"e2", 3.0}});
    cr_assert_eq(test.engines.find("e1")->rate_limit, 0);
    cr_assert_eq(test.engines.find("e2")->rate_limit, 3.0);
}
