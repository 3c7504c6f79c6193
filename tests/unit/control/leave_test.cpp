#include "fleet_fixture.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::test;
using namespace std::chrono_literals;

Test(leave, hands_leases_over_without_waiting_for_the_term)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000, fencing_kind::ignores));
    fleet.add_model("kept", kept_model(8'000, 1));
    add_routers(fleet, 3);
    fleet.run(20s);
    const std::size_t holder = holder_of(fleet, engine_id(1));
    fleet.at(holder).control->leave(fleet.now());
    fleet.run(2s);
    cr_assert_eq(fleet.at(holder).lefts.size(), 1);
    cr_expect(fleet.at(holder).lefts[0].clean);
    fleet.kill(holder);
    cr_expect(fleet.run_until(
        [&]
        {
            const std::size_t next = holder_of(fleet, engine_id(1));
            return next != holder && next < fleet.size();
        },
        15s));
    cr_expect_not(fleet.oracle().order_may_be_in_flight(engine_id(1)));
    fleet.run(10s);
    cr_expect_eq(fleet.resident("kept"), 1);
    check_sound(fleet);
}

Test(leave, waits_for_an_order_in_flight)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000, fencing_kind::ignores));
    add_routers(fleet, 2);
    fleet.run(3s);
    const std::size_t holder = holder_of(fleet, engine_id(1));
    fleet.at(holder).hold_orders = true;
    fleet.add_model("kept", kept_model(8'000, 1));
    cr_assert(fleet.run_until(
        [&]
        {
            return !fleet.at(holder).held_orders.empty();
        },
        10s));
    fleet.at(holder).control->leave(fleet.now());
    fleet.run(5s);
    cr_expect(fleet.at(holder).lefts.empty());
    cr_expect_eq(holder_of(fleet, engine_id(1)), holder);
    fleet.let_orders_go(holder);
    fleet.run(5s);
    cr_assert_eq(fleet.at(holder).lefts.size(), 1);
    cr_expect(fleet.at(holder).lefts[0].clean);
    fleet.run(20s);
    cr_expect_eq(fleet.replicas("kept", replica_state::ready), 1);
    cr_expect_eq(fleet.engine(engine_id(1)).loads_begun(), 1);
}

Test(leave, gives_up_on_an_order_that_is_never_answered)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000, fencing_kind::ignores));
    add_routers(fleet, 2);
    fleet.run(3s);
    const std::size_t holder = holder_of(fleet, engine_id(1));
    fleet.at(holder).hold_orders = true;
    fleet.add_model("kept", kept_model(8'000, 1));
    cr_assert(fleet.run_until(
        [&]
        {
            return !fleet.at(holder).held_orders.empty();
        },
        10s));
    const session_id session = fleet.at(holder).control->session();
    fleet.at(holder).control->leave(fleet.now());
    fleet.run(40s);
    cr_assert_eq(fleet.at(holder).lefts.size(), 1);
    cr_expect_not(fleet.at(holder).lefts[0].clean);
    cr_expect_not(fleet.oracle().session(session)->ended, "it stays unproven");
}

Test(leave, without_the_log_it_ends_all_the_same)
{
    fake_fleet fleet;
    add_routers(fleet, 1);
    fleet.run(3s);
    fleet.log_down = true;
    fleet.at(0).control->leave(fleet.now());
    fleet.run(40s);
    cr_assert_eq(fleet.at(0).lefts.size(), 1);
    cr_expect_not(fleet.at(0).lefts[0].clean);
}
