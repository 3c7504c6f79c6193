#include "fleet_fixture.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::test;
using namespace std::chrono_literals;

namespace
{

constexpr engine_id only_engine(1);

/// A holder is paused with a load on the wire, which lands after a takeover.
void late_order_after_takeover(fencing_kind fencing)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(10'000, fencing));
    fleet.add_model("one", model(8'000, 1));
    fleet.add_model("two", model(8'000, 1));
    add_routers(fleet, 3);
    fleet.run(3s);
    const std::size_t holder = holder_of(fleet, only_engine);
    cr_assert_lt(holder, fleet.size());

    fleet.at(holder).hold_orders = true;
    fleet.keep_demanding((holder + 1) % 3, fleet.servable("one"), 1);
    cr_assert(fleet.run_until(
        [&]
        {
            return !fleet.at(holder).held_orders.empty();
        },
        10s));
    fleet.pause(holder);
    fleet.stop_demanding();

    cr_assert(fleet.run_until(
        [&]
        {
            const std::size_t taker = holder_of(fleet, only_engine);
            return taker != holder && taker < fleet.size();
        },
        90s));
    // The taker makes room for the other model as far as it may.
    fleet.keep_demanding((holder + 1) % 3, fleet.servable("two"), 1);
    fleet.run(60s);
    fleet.let_orders_go(holder);
    fleet.run(1s);
    check_sound(fleet);

    fleet.resume(holder);
    fleet.run(60s);
    check_sound(fleet);
    cr_expect_leq(fleet.engine(only_engine).memory_used(), 10'000);
    cr_expect_eq(
        fleet.resident("one") + fleet.resident("two"), 1, "only one fits");
}

} // namespace

Test(lease, late_order_to_an_engine_that_checks_fences)
{
    late_order_after_takeover(fencing_kind::checks);
}

Test(lease, late_order_to_an_engine_that_ignores_fences)
{
    late_order_after_takeover(fencing_kind::ignores);
}

Test(lease, memory_waits_for_the_proof_that_a_paused_holder_is_dead)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(10'000, fencing_kind::ignores));
    fleet.add_model("one", model(8'000, 1));
    fleet.add_model("two", model(8'000, 1));
    add_routers(fleet, 3);
    fleet.run(3s);
    const std::size_t holder = holder_of(fleet, only_engine);
    fleet.at(holder).hold_orders = true;
    fleet.keep_demanding((holder + 1) % 3, fleet.servable("one"), 1);
    cr_assert(fleet.run_until(
        [&]
        {
            return !fleet.at(holder).held_orders.empty();
        },
        10s));
    fleet.pause(holder);
    fleet.stop_demanding();
    cr_assert(fleet.run_until(
        [&]
        {
            return fleet.replicas("one", replica_state::ready) == 1;
        },
        90s));
    fleet.keep_demanding((holder + 1) % 3, fleet.servable("two"), 1);
    fleet.run(90s);
    cr_expect_eq(fleet.replicas("one"), 1, "its order may still arrive");
    cr_expect_eq(fleet.resident("two"), 0);

    fleet.kill(holder);
    fleet.remove_vm(fleet.at(holder).name);
    cr_expect(fleet.run_until(
        [&]
        {
            return fleet.replicas("two", replica_state::ready) == 1;
        },
        60s));
    check_sound(fleet);
}

Test(lease, no_order_leaves_after_the_lease_lapsed)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000));
    fleet.add_model("agri", model(8'000, 1));
    add_routers(fleet, 2);
    fleet.run(3s);
    const std::size_t holder = holder_of(fleet, only_engine);
    engine_order order;
    order.engine = only_engine;
    order.held = fleet.oracle().engine(only_engine)->held;
    controller& control = *fleet.at(holder).control;
    cr_expect(control.may_send(order, fleet.now()));
    // Joined, and so renewed, less than 3 s ago: term 30 s, margin 3 s.
    cr_expect(control.may_send(order, fleet.now() + 23s));
    cr_expect_not(control.may_send(order, fleet.now() + 27s));
    ++order.held.value;
    cr_expect_not(control.may_send(order, fleet.now()));
}

Test(lease, nobody_takes_it_before_its_full_term)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000));
    add_routers(fleet, 3);
    fleet.run(3s);
    const std::size_t holder = holder_of(fleet, only_engine);
    // The last renewal may be 10 s old; term 30 s, margin 3 s.
    fleet.pause(holder);
    fleet.run(20s);
    cr_expect_eq(holder_of(fleet, only_engine), holder);
    fleet.run(60s);
    cr_expect_neq(holder_of(fleet, only_engine), holder);
}

Test(lease, a_router_cut_off_from_the_log_loses_its_leases_only)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000));
    fleet.add_model("kept", kept_model(8'000, 1));
    add_routers(fleet, 3);
    fleet.run(20s);
    const std::size_t holder = holder_of(fleet, only_engine);
    fleet.at(holder).log_cut = true;
    fleet.run(60s);
    cr_expect_neq(holder_of(fleet, only_engine), holder);
    fleet.at(holder).log_cut = false;
    fleet.run(60s);
    cr_expect_eq(fleet.resident("kept"), 1);
    cr_expect_eq(fleet.engine(only_engine).loads_begun(), 1);
    check_sound(fleet);
}

Test(lease, log_down_then_back)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000));
    fleet.add_model("kept", kept_model(4'000, 1));
    fleet.add_model("agri", model(4'000, 2));
    add_routers(fleet, 4);
    fleet.run(20s);
    fleet.log_down = true;
    fleet.run(10s);
    for (std::size_t index = 0; index < fleet.size(); ++index)
    {
        cr_expect_not(fleet.at(index).control->log_available(fleet.now()));
        fleet.keep_demanding(index, fleet.servable("agri"), 20);
    }
    fleet.run(5min);
    cr_expect_eq(fleet.resident("kept"), 1);
    cr_expect_eq(fleet.resident("agri"), 0);
    fleet.log_down = false;
    cr_expect(fleet.run_until(
        [&]
        {
            return fleet.replicas("agri", replica_state::ready) == 2;
        },
        60s));
    cr_expect_eq(fleet.resident("kept"), 1);
    check_sound(fleet);
}

Test(lease, a_router_wrongly_declared_gone_joins_again)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000));
    add_routers(fleet, 2);
    fleet.run(3s);
    const session_id before = fleet.at(0).control->session();
    fleet.remove_vm(fleet.at(0).name);
    cr_expect(fleet.run_until(
        [&]
        {
            return fleet.at(0).control->joined() &&
                   fleet.at(0).control->session() != before;
        },
        10s));
    fleet.run(5s);
    cr_expect_lt(holder_of(fleet, only_engine), fleet.size());
}

Test(lease, a_live_router_missing_from_the_vm_list_is_declared_gone_once)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000));
    add_routers(fleet, 3);
    fleet.run(3s);
    int joins = 0;
    int obituaries = 0;
    fleet.on_record = [&](const record& value, const fold_result& result)
    {
        if (result.status != fold_status::accepted)
        {
            return;
        }
        joins += std::holds_alternative<router_join>(value.payload) ? 1 : 0;
        obituaries +=
            std::holds_alternative<router_gone>(value.payload) ? 1 : 0;
    };
    fleet.remove_vm(fleet.at(0).name);
    fleet.run(60s);
    cr_expect_eq(joins, 1, "%d joins", joins);
    cr_expect_eq(obituaries, 1, "%d obituaries", obituaries);
    cr_expect(fleet.at(0).control->joined());
}

Test(lease, a_resumed_holder_proves_its_old_orders_done_by_taking_over_again)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(10'000, fencing_kind::ignores));
    fleet.add_model("one", model(8'000, 1));
    fleet.add_model("two", model(8'000, 1));
    add_routers(fleet, 3);
    fleet.run(3s);
    const std::size_t holder = holder_of(fleet, only_engine);
    fleet.keep_demanding((holder + 1) % 3, fleet.servable("one"), 1);
    fleet.run(10s);
    fleet.stop_demanding();
    fleet.pause(holder);
    fleet.run(90s);
    cr_expect(fleet.oracle().order_may_be_in_flight(only_engine));
    fleet.resume(holder);
    fleet.keep_demanding((holder + 1) % 3, fleet.servable("two"), 1);
    cr_expect(fleet.run_until(
        [&]
        {
            return fleet.replicas("two", replica_state::ready) == 1;
        },
        150s));
    cr_expect_not(fleet.oracle().order_may_be_in_flight(only_engine));
    check_sound(fleet);
}

Test(lease, a_lease_moves_to_the_router_that_hashing_names)
{
    fake_fleet fleet;
    for (int index = 0; index < 8; ++index)
    {
        fleet.add_engine("e" + std::to_string(index), engine_of(20'000));
    }
    add_routers(fleet, 1);
    fleet.run(10s);
    fleet.add_router("r1");
    fleet.add_router("r2");
    fleet.run(50s);
    std::set<std::size_t> holders;
    for (std::uint32_t engine = 1; engine <= 8; ++engine)
    {
        holders.insert(holder_of(fleet, engine_id(engine)));
    }
    cr_expect_geq(holders.size(), 2);
    cr_expect_not(holders.contains(fleet.size()), "none is left free");
}
