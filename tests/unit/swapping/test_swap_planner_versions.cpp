#include "swap_fixture.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

Test(swap_planner_versions, a_model_is_loaded_at_the_version_that_streams_need)
{
    swap_fixture test(4);
    test.engine("e1", {"m1"}, {"m1"}, at(0s), "v1.1");
    test.engine("e2", {}, {"m1"}, at(0s), "v1.1");
    test.engine("e3", {}, {"m1"}, at(0s), "v1");
    test.need("m1", 2500ms, at(1s), "r1", 1, "v1");
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].engine, "e3");
    cr_assert_eq(orders[0].model, "m1");
    test.accept(orders[0], at(1s));
    cr_assert(test.plan(at(1s + 100ms)).empty(), "the model is being loaded");
}

Test(swap_planner_versions, a_model_at_the_needed_version_is_not_loaded_again)
{
    swap_fixture test(4);
    test.engine("e1", {"m1"}, {"m1"}, at(0s), "v1");
    test.engine("e2", {}, {"m1"}, at(0s), "v1");
    test.need("m1", 2500ms, at(1s), "r1", 1, "v1");
    cr_assert(test.plan(at(1s)).empty());
}

Test(swap_planner_versions, an_adapter_is_loaded_at_the_version_streams_need)
{
    swap_fixture test(4);
    test.engine("e1", {"m1"}, {"m1"}, at(0s), "v1.1");
    test.engine("e2", {"m1"}, {"m1"}, at(0s), "v1");
    test.need("m1/a3", 400ms, at(1s), "r1", 1, "v1");
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].engine, "e2");
    cr_assert_eq(orders[0].adapter, "a3");
}

Test(swap_planner_versions, streams_do_not_wait_for_a_load_from_the_store)
{
    swap_fixture test(4);
    test.engine("e1", {"m1"}, {"m1"}, at(0s), "v1.1");
    test.engine("e2", {}, {}, at(0s), "v1");
    test.need("m1", 2500ms, at(1s), "r1", 1, "v1");
    cr_assert(test.plan(at(1s)).empty());
}

Test(swap_planner_versions, routers_that_wait_for_a_version_are_told_of_loads)
{
    swap_fixture test(4);
    test.need("m1", 2500ms, at(1s), "r1", 1, "v1");
    test.need("m1", 2500ms, at(1s), "r2", 1);
    cr_assert_eq(
        test.needs.routers_waiting(servable_key("llm", "m1"), at(1s)).size(),
        2);
    cr_assert_eq(test.needs.waiting_servables(at(1s)).size(), 2);
}
