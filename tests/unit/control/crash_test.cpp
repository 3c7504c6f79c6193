#include "fleet_fixture.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::test;
using namespace std::chrono_literals;

namespace
{

/// Kill the holder after so many of its commands, in the middle of a load.
/// @return Whether it died: it doesn't when it has fewer commands.
bool dies_after(std::uint64_t commands, fencing_kind fencing)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000, fencing));
    add_routers(fleet, 3);
    fleet.run(3s);
    const std::size_t holder = holder_of(fleet, engine_id(1));
    fleet.at(holder).commands_left = commands;
    fleet.add_model("kept", kept_model(8'000, 2));
    fleet.run(6s);
    const bool died = !fleet.at(holder).alive;
    fleet.at(holder).commands_left.reset();

    const auto whole = [&]
    {
        return fleet.replicas("kept", replica_state::ready) == 2 &&
               fleet.resident("kept") == 2;
    };
    cr_expect(
        fleet.run_until(whole, 120s),
        "capacity isn't back after a death at command %lu",
        static_cast<unsigned long>(commands));
    fleet.run(10s);
    cr_expect(whole());
    cr_expect_eq(fleet.replicas("kept"), 2);
    check_sound(fleet);
    return died;
}

void dies_at_every_step(fencing_kind fencing)
{
    std::uint64_t commands = 0;
    while (dies_after(commands, fencing) && commands < 200)
    {
        ++commands;
    }
    cr_expect_gt(commands, 10, "too few steps to be a load");
}

} // namespace

Test(crash, at_every_step_of_a_load_with_fences)
{
    dies_at_every_step(fencing_kind::checks);
}

Test(crash, at_every_step_of_a_load_without_fences)
{
    dies_at_every_step(fencing_kind::ignores);
}

Test(crash, all_replaced_one_after_another)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000, fencing_kind::ignores));
    fleet.add_engine("e1", engine_of(20'000));
    fleet.add_model("kept", kept_model(8'000, 3));
    add_routers(fleet, 4);
    fleet.run(30s);
    cr_assert_eq(fleet.resident("kept"), 3);
    for (std::size_t index = 0; index < fleet.size(); ++index)
    {
        fleet.restart(index);
        fleet.run(5s);
    }
    fleet.run(30s);
    cr_expect_eq(fleet.resident("kept"), 3);
    cr_expect_eq(fleet.replicas("kept", replica_state::ready), 3);
    cr_expect_eq(
        fleet.engine(engine_id(1)).loads_begun() +
            fleet.engine(engine_id(2)).loads_begun(),
        3,
        "nothing was loaded anew");
    check_sound(fleet);
}

Test(crash, all_replaced_at_once)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000, fencing_kind::ignores));
    fleet.add_engine("e1", engine_of(20'000));
    add_routers(fleet, 4);
    fleet.run(3s);
    fleet.add_model("kept", kept_model(8'000, 3));
    // In the middle of the loads.
    cr_assert(fleet.run_until(
        [&]
        {
            return fleet.resident("kept") > 0;
        },
        20s));
    for (std::size_t index = 0; index < fleet.size(); ++index)
    {
        fleet.restart(index);
    }
    cr_expect(fleet.run_until(
        [&]
        {
            return fleet.replicas("kept", replica_state::ready) == 3;
        },
        90s));
    cr_expect_eq(fleet.resident("kept"), 3);
    check_sound(fleet);
}

Test(crash, all_die_and_others_come)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000, fencing_kind::ignores));
    add_routers(fleet, 3);
    fleet.run(3s);
    fleet.add_model("kept", kept_model(8'000, 2));
    cr_assert(fleet.run_until(
        [&]
        {
            return fleet.resident("kept") > 0;
        },
        20s));
    for (std::size_t index = 0; index < 3; ++index)
    {
        fleet.kill(index);
        fleet.remove_vm(fleet.at(index).name);
    }
    fleet.run(60s);
    fleet.add_router("new0");
    fleet.add_router("new1");
    cr_expect(fleet.run_until(
        [&]
        {
            return fleet.replicas("kept", replica_state::ready) == 2;
        },
        120s));
    cr_expect_eq(fleet.resident("kept"), 2);
    check_sound(fleet);
}
