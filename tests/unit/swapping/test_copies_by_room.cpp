#include "swap_fixture.hpp"

#include <algorithm>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

swap_planner planner_by_room()
{
    swap_planner::options options;
    options.copies_by_room = true;
    return swap_planner(options);
}

/// Fixture whose planner follows demand and free slots. Engines have 24 slots.
class room_fixture : public swap_fixture
{
public:
    explicit room_fixture(std::size_t models)
        : swap_fixture(models)
    {
        this->planner = planner_by_room();
    }

    /// Reports what router `r1` runs, all at once.
    void runs(std::vector<servable_usage> uses, instant now)
    {
        router_report report;
        report.router = "r1";
        report.sequence = ++this->sequence;
        for (servable_usage& one : uses)
        {
            one.servable = servable_key("llm", one.servable);
            report.uses.push_back(one);
        }
        this->needs.apply_router_report(report, now);
    }

    /// Loads an adapter on an engine.
    void adapter(
        const std::string& engine,
        const std::string& model,
        const std::string& name,
        instant now)
    {
        swap_order order;
        order.engine = engine;
        order.model = model;
        order.adapter = name;
        this->accept(order, now);
        this->engines.complete_due_orders(now + 1s);
    }
};

std::size_t
count_loads(const std::vector<swap_order>& orders, const std::string& model)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        orders,
        [&model](const swap_order& order)
        {
            return order.action == engine_action::load && order.model == model;
        }));
}

} // namespace

// Guards against an extra copy on an engine that other models keep busy.
Test(copies_by_room, an_extra_copy_goes_to_the_engine_with_most_free_slots)
{
    room_fixture test(4);
    test.engine("e1", {"m1"}, {"m1"}, at(0s));
    test.engine("e2", {"m2"}, {"m1"}, at(0s));
    test.engine("e3", {}, {"m1"}, at(0s));
    test.runs({{"m1", "e1", 16, 1}, {"m2", "e2", 14, 1}}, at(1s));
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].engine, "e3");
    cr_assert_eq(orders[0].model, "m1");
    cr_assert_eq(orders[0].copies, 1);
    cr_assert_eq(orders[0].copies_needed, 2);
    cr_assert_eq(orders[0].free_slots, 24);
}

// Guards against a choice by load time alone: host memory saves 0.2 s, a busy
// engine costs every request.
Test(copies_by_room, free_slots_count_more_than_a_slightly_faster_load)
{
    room_fixture test(4);
    test.engine("e1", {"m1"}, {"m1"}, at(0s));
    test.engine("e2", {"m2"}, {"m1"}, at(0s));
    test.engine("e3", {}, {"m1"}, at(0s));
    holdings_report report;
    report.holdings.resident.push_back({"m2", {}});
    report.holdings.in_memory = {"m1"};
    report.holdings.on_disk = {"m1"};
    test.engines.apply_engine_report("e2", report, at(0s));
    test.runs({{"m1", "e1", 16, 1}, {"m2", "e2", 14, 1}}, at(1s));
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].engine, "e3");
}

// Guards against a busy model beside an overloaded one: both need the slots.
Test(copies_by_room, no_copy_beside_an_overloaded_model_if_another_can_take_it)
{
    room_fixture test(4);
    test.engine("e1", {"m0"}, {"m0", "m1"}, at(0s));
    test.engine("e2", {"m2"}, {"m1"}, at(0s));
    test.runs({{"m0", "e1", 24, 1}, {"m2", "e2", 12, 1}}, at(1s));
    test.need("m1", 2500ms, at(1s), "r2");
    const auto orders = test.plan(at(1s));
    const auto placed =
        std::ranges::find(orders, std::string("m1"), &swap_order::model);
    cr_assert(placed != orders.end());
    cr_assert_eq(placed->engine, "e2");
}

// Guards against a first copy that is full at once.
Test(copies_by_room, a_model_without_a_copy_gets_those_its_waiting_ones_need)
{
    room_fixture test(4);
    for (const char* id : {"e1", "e2", "e3", "e4", "e5"})
        test.engine(id, {}, {"m1"}, at(0s));
    test.need("m1", 400ms, at(1s), "r1", 40);
    const auto orders = test.plan(at(1s));
    // 40 requests at 0.6 of 24 slots.
    cr_assert_eq(count_loads(orders, "m1"), 3);
}

// Guards against several copies of a model that a few requests wait for.
Test(copies_by_room, a_rare_model_gets_one_copy)
{
    room_fixture test(4);
    for (const char* id : {"e1", "e2", "e3"})
        test.engine(id, {}, {"m1"}, at(0s));
    test.need("m1", 400ms, at(1s), "r1", 6);
    cr_assert_eq(count_loads(test.plan(at(1s)), "m1"), 1);
}

// Guards against a model that stays on the engines that have its weights while
// second copies of idle models take the store.
Test(copies_by_room, an_overloaded_model_is_loaded_from_the_store_first)
{
    room_fixture test(4);
    test.engine("e1", {"m1"}, {"m1"}, at(0s));
    test.engine("e2", {"m1"}, {"m1"}, at(0s));
    test.engine("e3", {"m2"}, {"m2"}, at(0s));
    test.engine("e4", {}, {}, at(0s));
    for (int i = 0; i < 20; ++i)
        test.use("m2", "e3", 0, at(1s));
    test.runs({{"m1", "e1", 24, 1}, {"m1", "e2", 24, 1}}, at(1s));
    const auto orders = test.plan(at(1s));
    const auto from_store =
        std::ranges::find(orders, weight_source::store, &swap_order::source);
    cr_assert(from_store != orders.end());
    cr_assert_eq(from_store->model, "m1");
    cr_assert_eq(
        std::ranges::count(orders, weight_source::store, &swap_order::source),
        1,
        "the store loads one model at a time at full speed");
}

// Guards against copies of a silent model that keep the memory from a rising
// one for longer than a second.
Test(copies_by_room, copies_of_silent_models_give_way_within_a_second)
{
    room_fixture test(6);
    test.engine("e1", {"m0", "m2", "m3"}, {"m1"}, at(0s));
    test.engine("e2", {"m0", "m4", "m5"}, {"m1"}, at(0s));
    test.runs(
        {{"m0", "e1", 10, 10},
         {"m0", "e2", 10, 10},
         {"m2", "e1", 1, 1},
         {"m3", "e1", 1, 1},
         {"m4", "e2", 1, 1},
         {"m5", "e2", 1, 1}},
        at(1s));
    test.need("m1", 400ms, at(2s), "r2");
    test.runs({{"m0", "e1", 0, 0}, {"m0", "e2", 0, 0}}, at(2s));
    test.runs(
        {{"m2", "e1", 1, 0},
         {"m3", "e1", 1, 0},
         {"m4", "e2", 1, 0},
         {"m5", "e2", 1, 0}},
        at(2s));
    std::vector<swap_order> orders;
    instant now = at(2s);
    for (; orders.empty() && now <= at(3s); now += 20ms)
        orders = test.plan(now);
    cr_assert_leq(now, at(3s));
    cr_assert_eq(orders.size(), 1);
    cr_assert(orders[0].action == engine_action::unload);
    cr_assert_eq(orders[0].model, "m0");
}

// Guards against a burst that evicts a copy on which requests run.
Test(copies_by_room, a_copy_in_use_is_not_given_up_for_a_burst)
{
    room_fixture test(6);
    test.engine("e1", {"m0", "m2", "m3"}, {"m1"}, at(0s));
    test.runs(
        {{"m0", "e1", 2, 1}, {"m2", "e1", 2, 1}, {"m3", "e1", 1, 1}}, at(1s));
    test.need("m1", 400ms, at(1s), "r2");
    cr_assert(test.plan(at(1s)).empty());
}

// Guards against one load for each router that waits for the adapter.
Test(copies_by_room, one_load_serves_all_that_wait_for_an_adapter)
{
    room_fixture test(4);
    test.engine("e1", {"m1"}, {"m1"}, at(0s));
    test.engine("e2", {"m1"}, {"m1"}, at(0s));
    for (const char* router : {"r1", "r2", "r3"})
        test.need("m1/a1", 1000ms, at(1s), router);
    const auto orders = test.plan(at(1s));
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].adapter, "a1");
    cr_assert_eq(orders[0].waiting, 3);
    test.accept(orders[0], at(1s));
    cr_assert(test.plan(at(1s + 10ms)).empty());
}

// Guards against an adapter whose requests all wait for one full engine.
Test(copies_by_room, an_adapter_of_a_full_engine_is_loaded_on_a_further_one)
{
    room_fixture test(4);
    test.engine("e1", {"m1"}, {"m1"}, at(0s));
    test.engine("e2", {"m1"}, {"m1"}, at(0s));
    test.adapter("e1", "m1", "a1", at(0s));
    test.runs({{"m1/a1", "e1", 10, 1}}, at(2s));
    cr_assert(test.plan(at(2s)).empty(), "the engine has free slots");
    test.runs({{"m1/a1", "e1", 24, 1}}, at(3s));
    const auto orders = test.plan(at(3s));
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].engine, "e2");
    cr_assert_eq(orders[0].adapter, "a1");
    test.accept(orders[0], at(3s));
    cr_assert(test.plan(at(3s + 10ms)).empty(), "it is being loaded");
}
