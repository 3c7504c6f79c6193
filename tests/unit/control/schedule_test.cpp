#include "fleet_fixture.hpp"

#include <cstdlib>
#include <rapidcheck.h>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t routers = 4;
constexpr std::size_t engines = 3;

/// One disturbance, then some time for it to work.
struct disturbance
{
    unsigned kind = 0;
    unsigned target = 0;
    unsigned wait_ms = 0;
};

constexpr unsigned disturbance_kinds = 10;

rc::Gen<disturbance> any_disturbance()
{
    return rc::gen::construct<disturbance>(
        rc::gen::inRange(0U, disturbance_kinds),
        rc::gen::inRange(0U, 12U),
        rc::gen::inRange(1U, 20'000U));
}

std::ostream& operator<<(std::ostream& out, const disturbance& what)
{
    return out << what.kind << '@' << what.target << '+' << what.wait_ms;
}

void disturb(fake_fleet& fleet, const disturbance& what)
{
    const std::size_t router = what.target % routers;
    const engine_id engine(1 + what.target % engines);
    switch (what.kind)
    {
    case 0:
        fleet.restart(router);
        break;
    case 1:
        fleet.pause(router);
        break;
    case 2:
        fleet.at(router).hold_orders = true;
        break;
    case 3:
        fleet.let_orders_go(router);
        break;
    case 4:
        fleet.resume(router);
        break;
    case 5:
        fleet.log_down = !fleet.log_down;
        break;
    case 6:
        fleet.engine(engine).restart(fleet.now());
        break;
    case 7:
        fleet.demand(router, fleet.servable("rare"), 1 + what.target);
        break;
    case 8:
        fleet.demand(router, fleet.servable("tuned"), 1 + what.target);
        break;
    default:
        fleet.at(router).log_cut = !fleet.at(router).log_cut;
        break;
    }
    fleet.run(std::chrono::milliseconds(what.wait_ms));
}

/// Faults end; a process that was paused or held is replaced.
void heal(fake_fleet& fleet)
{
    fleet.log_down = false;
    fleet.lose_answer = nullptr;
    fleet.lose_order_answer = nullptr;
    for (std::size_t index = 0; index < fleet.size(); ++index)
    {
        fleet.at(index).log_cut = false;
        fleet.restart(index);
    }
}

void add_declared(fake_fleet& fleet)
{
    fleet.add_engine("e0", engine_of(20'000, fencing_kind::ignores));
    fleet.add_engine("e1", engine_of(20'000, fencing_kind::checks));
    fleet.add_engine("e2", engine_of(12'000, fencing_kind::ignores));
    fleet.add_model("kept", kept_model(6'000, 2));
    fleet.add_model("rare", model(9'000, 2));
    adapter_spec tuned;
    tuned.base = "rare";
    tuned.memory_mib = 500;
    fleet.add_adapter("tuned", tuned);
}

void check_schedule(const std::vector<disturbance>& schedule)
{
    controller::options settings;
    settings.idle_ttl = 30s;
    settings.checkpoint_records = 100;
    fake_fleet fleet(settings);
    add_declared(fleet);
    add_routers(fleet, routers);
    std::uint64_t events = 0;
    fleet.lose_answer = [&]
    {
        return ++events % 5 == 0;
    };
    fleet.lose_order_answer = [&]
    {
        return ++events % 3 == 0;
    };
    fleet.run(10s);
    for (const disturbance& what : schedule)
    {
        disturb(fleet, what);
    }
    heal(fleet);
    fleet.run(150s);

    RC_ASSERT(fleet.violations() == std::vector<std::string>());
    RC_ASSERT(fleet.replicas("kept", replica_state::ready) == 2U);
    RC_ASSERT(fleet.replicas("kept") == 2U);
    RC_ASSERT(fleet.resident("kept") == 2U);
    for (std::size_t index = 0; index < fleet.size(); ++index)
    {
        RC_ASSERT(fleet.at(index).alarms.empty());
    }
    fleet.run_until(
        [&]
        {
            return fleet.at(0).control->state().folded() ==
                   fleet.oracle().folded();
        },
        1s);
    RC_ASSERT(fleet.at(0).control->state().hash() == fleet.oracle().hash());
}

/// Declared capacity and no more, after 25 schedules of disturbances.
void check_schedules(const char* parameters)
{
    setenv("RC_PARAMS", parameters, 1);
    cr_expect(rc::check(
        "capacity comes back",
        []
        {
            check_schedule(*rc::gen::container<std::vector<disturbance>>(
                any_disturbance()));
        }));
}

} // namespace

// Several small tests, so that they run side by side under sanitizers.

Test(schedule, first_seed)
{
    check_schedules("seed=20261202 max_success=25 max_size=25");
}

Test(schedule, second_seed)
{
    check_schedules("seed=2 max_success=25 max_size=25");
}

Test(schedule, third_seed)
{
    check_schedules("seed=3 max_success=25 max_size=25");
}

Test(schedule, fourth_seed)
{
    check_schedules("seed=4 max_success=25 max_size=25");
}

Test(schedule, fifth_seed)
{
    check_schedules("seed=5 max_success=25 max_size=25");
}

Test(schedule, sixth_seed)
{
    check_schedules("seed=6 max_success=25 max_size=25");
}
