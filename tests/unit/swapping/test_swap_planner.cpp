#include "swap_fixture.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

Test(swap_planner, nothing_is_ordered_without_waiting_requests)
{
    swap_fixture test(4);
    test.engine("e1", {"m0"}, {"m1", "m2"}, at(0s));
    cr_assert(test.plan(at(1s)).empty());
}

Test(swap_planner, an_awaited_model_is_loaded_where_its_weights_are)
{
    swap_fixture test(4);
    test.engine("e1", {"m0"}, {"m2"}, at(0s));
    test.engine("e2", {"m0"}, {"m1"}, at(0s));
    test.need("m1", 2500ms, at(1s));
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].engine, "e2");
    cr_assert_eq(orders[0].model, "m1");
    cr_assert(orders[0].action == engine_action::load);
    cr_assert(orders[0].source == weight_source::disk);
}

Test(swap_planner, a_loaded_model_is_not_loaded_again)
{
    swap_fixture test(4);
    test.engine("e1", {"m1"}, {}, at(0s));
    test.engine("e2", {"m0"}, {"m1"}, at(0s));
    test.need("m1", 2500ms, at(1s));
    cr_assert(test.plan(at(1s)).empty());
}

Test(swap_planner, one_load_serves_the_requests_of_all_routers)
{
    swap_fixture test(4);
    test.engine("e1", {}, {"m1"}, at(0s));
    test.engine("e2", {}, {"m1"}, at(0s));
    test.need("m1", 2500ms, at(1s), "r1", 2);
    test.need("m1", 2400ms, at(1s), "r2", 3);
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].waiting, 5);
    test.accept(orders[0], at(1s));
    cr_assert(test.plan(at(1s + 100ms)).empty(), "the model is being loaded");
}

Test(swap_planner, a_model_of_an_unreachable_engine_is_loaded_elsewhere)
{
    swap_fixture test(4);
    test.engine("e1", {"m1"}, {"m1"}, at(0s));
    test.engine("e2", {}, {"m1"}, at(0s));
    test.need("m1", 2500ms, at(1s));
    cr_assert(test.plan(at(1s)).empty());
    test.engines.mark_unreachable("e1");
    const auto orders = test.plan(at(1s + 10ms));
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].engine, "e2");
    cr_assert_eq(orders[0].model, "m1");
}

Test(swap_planner, an_adapter_of_an_unreachable_engine_is_loaded_elsewhere)
{
    swap_fixture test(4);
    test.engine("e1", {"m1"}, {"m1"}, at(0s));
    test.engine("e2", {"m1"}, {"m1"}, at(0s));
    test.need("m1/a1", 1000ms, at(1s));
    const auto first = test.plan(at(1s));
    cr_assert_eq(first.size(), 1);
    test.accept(first[0], at(1s));
    test.engines.mark_unreachable(first[0].engine);
    const auto second = test.plan(at(1s + 10ms));
    cr_assert_eq(second.size(), 1);
    cr_assert_neq(second[0].engine, first[0].engine);
    cr_assert_eq(second[0].adapter, "a1");
}

Test(swap_planner, a_model_and_its_adapter_awaited_at_once_need_one_load)
{
    swap_fixture test(4);
    test.engine("e1", {}, {"m1"}, at(0s));
    test.engine("e2", {}, {"m1"}, at(0s));
    test.need("m1", 2500ms, at(1s), "r1");
    test.need("m1/a1", 2500ms, at(1s), "r2");
    cr_assert_eq(test.plan(at(1s)).size(), 1);
}

Test(swap_planner, the_model_with_the_earliest_objective_gets_the_engine)
{
    swap_fixture test(4);
    test.engine("e1", {}, {"m1", "m2"}, at(0s));
    test.need("m1", 2000ms, at(1s), "r1");
    test.need("m2", 1500ms, at(1s), "r2");
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].model, "m2");
}

Test(swap_planner, a_missed_objective_comes_after_those_that_can_be_met)
{
    swap_fixture test(4);
    test.engine("e1", {}, {"m1", "m2"}, at(0s));
    test.need("m1", -100ms, at(1s), "r1");
    test.need("m2", 2000ms, at(1s), "r2");
    cr_assert_eq(test.plan(at(1s))[0].model, "m2");
}

Test(swap_planner, a_copy_in_host_memory_is_preferred_to_one_on_disk)
{
    swap_fixture test(4);
    test.engine("e1", {}, {"m1"}, at(0s));
    server_entry entry;
    entry.id = "e2";
    entry.service = "llm";
    entry.address = "10.0.0.2:80";
    test.engines.update_entry(entry);
    holdings_report report;
    report.holdings.in_memory = {"m1"};
    report.holdings.on_disk = {"m1"};
    test.engines.apply_engine_report("e2", report, at(0s));
    test.need("m1", 2500ms, at(1s));
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders[0].engine, "e2");
    cr_assert(orders[0].source == weight_source::memory);
}

Test(swap_planner, the_model_that_was_idle_longest_is_unloaded)
{
    swap_fixture test(5);
    test.engine("e1", {"m0", "m1", "m2"}, {"m3"}, at(0s));
    test.use("m0", "e1", 0, at(2s));
    test.use("m2", "e1", 0, at(1s));
    test.need("m3", 2500ms, at(5s));
    const auto orders = test.plan(at(5s));
    cr_assert_eq(orders.size(), 1);
    cr_assert(orders[0].action == engine_action::unload);
    cr_assert_eq(orders[0].model, "m1");
}

Test(swap_planner, running_awaited_and_recently_used_models_are_not_unloaded)
{
    swap_fixture test(5);
    test.engine("e1", {"m0", "m1", "m2"}, {"m3"}, at(0s));
    test.use("m0", "e1", 1, at(5s));
    test.need("m1", 1000ms, at(5s), "r2");
    test.use("m2", "e1", 0, at(4s + 900ms));
    test.need("m3", 2500ms, at(5s));
    cr_assert(test.plan(at(5s)).empty());
}

/// A large model that will soon miss its objective needs memory that smaller
/// models would otherwise take as it is freed.
Test(swap_planner, an_engine_is_reserved_for_a_model_that_will_soon_be_late)
{
    for (const bool urgent : {true, false})
    {
        swap_fixture test(5);
        test.resize(0, 130'000);
        test.resize(4, 40'000);
        test.engine("e1", {"m1", "m2"}, {"m0", "m4"}, at(0s));
        test.use("m1", "e1", 5, at(5s));
        test.use("m2", "e1", 5, at(5s));
        test.need("m0", urgent ? 1500ms : 2400ms, at(5s), "r1");
        test.need("m4", 2500ms, at(5s), "r2");
        const auto orders = test.plan(at(5s));
        cr_assert_eq(orders.size(), urgent ? 0 : 1);
        if (!urgent)
            cr_assert_eq(orders[0].model, "m4");
    }
}

Test(swap_planner, an_urgent_model_replaces_one_with_few_running_requests)
{
    for (const bool urgent : {true, false})
    {
        swap_fixture test(5);
        test.engine("e1", {"m1", "m2", "m3"}, {"m0"}, at(0s));
        test.use("m1", "e1", 5, at(5s));
        test.use("m2", "e1", 2, at(5s));
        test.use("m3", "e1", 5, at(5s));
        test.need("m0", urgent ? 1500ms : 2400ms, at(5s));
        const auto orders = test.plan(at(5s));
        cr_assert_eq(orders.size(), urgent ? 1 : 0);
        if (urgent)
            cr_assert_eq(orders[0].model, "m2");
    }
}

/// After a loss of many engines, rarer models would otherwise take all freed
/// memory on the few engines that have the weights of the overloaded model.
Test(swap_planner, an_engine_is_reserved_for_an_overloaded_model)
{
    for (const std::uint32_t running : {40U, 10U})
    {
        swap_fixture test(5);
        test.resize(0, 130'000);
        test.resize(4, 40'000);
        test.engine("e1", {"m0"}, {"m0"}, at(0s));
        test.engine("e2", {"m1", "m2"}, {"m0", "m4"}, at(0s));
        test.use("m0", "e1", running, at(5s));
        test.use("m1", "e2", 5, at(5s));
        test.use("m2", "e2", 5, at(5s));
        test.need("m4", 2500ms, at(5s), "r2");
        cr_assert_eq(test.plan(at(5s)).size(), running == 40 ? 0 : 1);
    }
}

Test(swap_planner, copies_that_the_running_requests_need_are_not_unloaded)
{
    swap_fixture test(5);
    test.engine("e1", {"m0", "m1", "m2"}, {"m3"}, at(0s));
    test.engine("e2", {"m0", "m1", "m2"}, {}, at(0s));
    test.use("m0", "e2", 20, at(5s));
    test.use("m1", "e2", 20, at(5s));
    test.use("m2", "e2", 20, at(5s));
    test.need("m3", 2500ms, at(5s));
    for (const swap_order& order : test.plan(at(5s)))
        cr_assert(
            order.action == engine_action::load, "%s", order.model.c_str());
}

Test(swap_planner, a_model_with_too_many_running_requests_gets_another_copy)
{
    swap_fixture test(4);
    test.engine("e1", {"m0"}, {}, at(0s));
    test.engine("e2", {}, {"m0"}, at(0s));
    test.use("m0", "e1", 8, at(1s));
    cr_assert(test.plan(at(1s)).empty());
    test.use("m0", "e1", 9, at(1s));
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].engine, "e2");
}

Test(swap_planner, a_model_that_no_engine_has_is_loaded_from_the_store)
{
    swap_fixture test(4);
    for (int i = 0; i < 6; ++i)
        test.engine("e" + std::to_string(i), {}, {"m0"}, at(0s));
    test.need("m1", 2500ms, at(1s));
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1);
    cr_assert(orders[0].source == weight_source::store);
}

/// A new owner must not start loads from the store on most engines: each of
/// them then takes no other order, which has lasted up to 18 s.
Test(swap_planner, store_loads_leave_most_engines_free)
{
    swap_fixture test(40);
    const std::vector<std::string> usual{"m30", "m31", "m32", "m33", "m34"};
    for (int i = 0; i < 18; ++i)
        test.engine("e" + std::to_string(i), {}, usual, at(0s));
    for (int i = 0; i < 30; ++i)
        test.need(
            "m" + std::to_string(i), 2500ms, at(1s), "r" + std::to_string(i));
    std::size_t store_loads = 0;
    for (instant now = at(1s); now < at(1s + 700ms); now += 20ms)
    {
        for (const swap_order& order : test.plan(now))
        {
            test.accept(order, now);
            ++store_loads;
        }
    }
    cr_assert_eq(store_loads, 3, "got %zu", store_loads);
}

/// Engines with almost empty disks can do little but load from the store, so
/// only the store's own concurrency limits them.
Test(swap_planner, engines_with_empty_disks_use_the_full_store_concurrency)
{
    swap_fixture test(40);
    for (int i = 0; i < 18; ++i)
        test.engine("e" + std::to_string(i), {}, {}, at(0s));
    for (int i = 0; i < 30; ++i)
        test.need(
            "m" + std::to_string(i), 2500ms, at(1s), "r" + std::to_string(i));
    std::size_t store_loads = 0;
    for (instant now = at(1s); now < at(1s + 700ms); now += 20ms)
    {
        for (const swap_order& order : test.plan(now))
        {
            test.accept(order, now);
            ++store_loads;
        }
    }
    cr_assert_eq(store_loads, 4, "got %zu", store_loads);
}

/// After a release, a model with 16 waiting requests was loaded after six other
/// models with one request each, which took 6 s per load.
Test(swap_planner, the_model_with_most_waiting_requests_is_loaded_first)
{
    swap_fixture test(9);
    for (int i = 0; i < 3; ++i)
        test.engine("e" + std::to_string(i), {}, {}, at(0s));
    test.need("m1", 500ms, at(1s), "r1");
    test.need("m2", 2000ms, at(1s), "r2", 16);
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].model, "m2");
}

/// After a release, the models that only the replaced engines had were loaded
/// one by one. Engines with empty disks may load beside the share of engines
/// that load from the store.
Test(swap_planner, an_engine_with_an_empty_disk_may_exceed_the_store_load_share)
{
    swap_fixture test(9);
    const std::vector<std::string> usual{
        "m2", "m3", "m4", "m5", "m6", "m7", "m8"};
    for (const std::string id : {"e1", "e2", "e4"})
        test.engine(id, {}, usual, at(0s));
    test.need("m0", 2000ms, at(1s), "r1");
    test.need("m1", 2000ms, at(1s), "r2");
    auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1);
    test.accept(orders[0], at(1s));
    test.engine("e3", {}, {}, at(1s));
    orders = test.plan(at(1s + 10ms));
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].engine, "e3");
    cr_assert(orders[0].source == weight_source::store);
}

Test(swap_planner, copies_on_engines_without_a_report_count)
{
    swap_fixture test(4);
    for (int i = 0; i < 12; ++i)
        test.engine("e" + std::to_string(i), {}, {}, at(0s));
    server_entry entry;
    entry.id = "unexamined";
    entry.service = "llm";
    entry.address = "10.0.0.2:80";
    entry.holdings.on_disk = {"m1"};
    test.engines.update_entry(entry);
    test.need("m1", 2500ms, at(1s));
    cr_assert(
        test.plan(at(1s)).empty(), "the copy is used once the report is read");
}

Test(swap_planner, a_leaving_engine_gets_no_orders)
{
    swap_fixture test(4);
    test.engine("e1", {}, {"m1"}, at(0s));
    server_entry entry = test.engines.find("e1")->entry;
    entry.leaving = true;
    test.engines.update_entry(entry);
    test.need("m1", 2500ms, at(1s));
    for (const swap_order& order : test.plan(at(1s)))
        cr_assert_neq(order.engine, "e1");
}

Test(swap_planner, an_adapter_is_loaded_beside_its_model)
{
    swap_fixture test(4);
    test.engine("e1", {"m0"}, {}, at(0s));
    test.engine("e2", {"m1"}, {}, at(0s));
    test.need("m1/a3", 400ms, at(1s));
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].engine, "e2");
    cr_assert_eq(orders[0].adapter, "a3");
}

Test(swap_planner, an_idle_adapter_is_unloaded_for_another)
{
    swap_fixture test(4);
    test.engine("e1", {"m1"}, {}, at(0s));
    for (const char* name : {"a1", "a2"})
    {
        swap_order order;
        order.engine = "e1";
        order.model = "m1";
        order.adapter = name;
        test.accept(order, at(0s));
        test.engines.complete_due_orders(at(100ms));
    }
    test.use("m1/a1", "e1", 1, at(1s));
    test.need("m1/a3", 400ms, at(2s), "r2");
    test.use("m1/a1", "e1", 1, at(2s));
    const auto orders = test.plan(at(2s));
    cr_assert_eq(orders.size(), 1);
    cr_assert(orders[0].action == engine_action::unload);
    cr_assert_eq(orders[0].adapter, "a2");
}
