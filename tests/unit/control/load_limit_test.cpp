#include "fleet_fixture.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::test;
using namespace std::chrono_literals;

namespace
{

fake_engine::options loading_for(duration load_time)
{
    fake_engine::options what = engine_of(20'000);
    what.load_time = load_time;
    return what;
}

model_spec estimated(duration estimate)
{
    model_spec spec = kept_model(8'000, 1);
    spec.load_estimate_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(estimate)
            .count());
    return spec;
}

/// @return Whether the kept model is ready within the limit.
bool ready_within(fake_fleet& fleet, duration limit)
{
    return fleet.run_until(
        [&]
        {
            return fleet.replicas("kept", replica_state::ready) == 1;
        },
        limit);
}

} // namespace

Test(load_limit, a_load_without_end_moves_elsewhere_and_frees_its_slot)
{
    fake_fleet fleet;
    fleet.add_engine("e0", loading_for(1000h));
    fleet.add_engine("e1", loading_for(2s));
    policy_spec policy;
    policy.store_slots = 1;
    fleet.put(entity_kind::policy, "policy", policy);
    add_routers(fleet, 2);
    fleet.run(3s);
    fleet.add_model("kept", estimated(2s));
    fleet.run(50s);
    cr_assert_eq(fleet.engine(engine_id(1)).count("kept"), 1, "tried first");
    cr_expect(ready_within(fleet, 30s));
    cr_expect_eq(fleet.engine(engine_id(1)).count("kept"), 0);
    cr_expect_eq(fleet.replicas("kept"), 1);
    cr_expect_eq(fleet.oracle().engine(engine_id(1))->reserved_mib, 0);
    check_sound(fleet);
}

Test(load_limit, a_load_that_is_slow_as_declared_goes_on)
{
    fake_fleet fleet;
    fleet.add_engine("e0", loading_for(180s));
    add_routers(fleet, 2);
    fleet.run(3s);
    fleet.add_model("kept", estimated(20s));
    cr_expect(ready_within(fleet, 200s));
    cr_expect_eq(fleet.engine(engine_id(1)).loads_begun(), 1);
    check_sound(fleet);
}

Test(load_limit, a_slow_weight_store_gets_more_time_each_time)
{
    fake_fleet fleet;
    fleet.add_engine("e0", loading_for(200s));
    add_routers(fleet, 2);
    fleet.run(3s);
    fleet.add_model("kept", estimated(2s));
    cr_expect(ready_within(fleet, 10min));
    cr_expect_eq(fleet.engine(engine_id(1)).loads_begun(), 3);
    check_sound(fleet);
}

Test(load_limit, loads_without_end_make_no_storm)
{
    fake_fleet fleet;
    fleet.add_engine("e0", loading_for(1000h));
    fleet.add_engine("e1", loading_for(1000h));
    add_routers(fleet, 2);
    fleet.run(3s);
    fleet.add_model("kept", estimated(2s));
    fleet.run(2h);
    const std::uint64_t loads = fleet.engine(engine_id(1)).loads_begun() +
                                fleet.engine(engine_id(2)).loads_begun();
    cr_expect_geq(loads, 5, "it goes on trying");
    cr_expect_leq(loads, 12, "%lu loads", static_cast<unsigned long>(loads));
    check_sound(fleet);
}

Test(load_limit, failing_loads_back_off)
{
    fake_fleet fleet;
    fleet.add_engine("e0", loading_for(1s));
    fleet.engine(engine_id(1)).fail_loads(true);
    add_routers(fleet, 2);
    fleet.run(3s);
    fleet.add_model("kept", estimated(1s));
    fleet.run(10min);
    cr_expect_leq(fleet.engine(engine_id(1)).loads_begun(), 12);
    fleet.engine(engine_id(1)).fail_loads(false);
    cr_expect(ready_within(fleet, 6min));
    check_sound(fleet);
}
