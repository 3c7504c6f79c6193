#include "fleet_fixture.hpp"

#include <optional>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t caller = 7;
constexpr duration period = 20min;

policy_spec policy_of(placement_kind strategy, duration hold)
{
    policy_spec policy;
    policy.strategy = strategy;
    policy.hold_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(hold).count());
    return policy;
}

std::optional<replica_view>
replica_of(const fake_fleet& fleet, const std::string& name)
{
    std::optional<replica_view> found;
    fleet.oracle().for_each_replica_of(
        fleet.servable(name),
        [&](const replica_view& item)
        {
            found = item;
        });
    return found;
}

/// A caller's visit through a router: waits until the servable is ready, then
/// uses it once.
void visit(fake_fleet& fleet, std::size_t router, const std::string& name)
{
    fleet.keep_demanding(router, fleet.servable(name), 1);
    const bool ready = fleet.run_until(
        [&]
        {
            return fleet.replicas(name, replica_state::ready) != 0;
        },
        60s);
    cr_assert(ready, "%s", name.c_str());
    fleet.stop_demanding();
    const replica_view replica = *replica_of(fleet, name);
    fleet.engine(replica.engine).use(replica.id, fleet.now());
    fleet.at(router).control->used(fleet.servable(name), fleet.now(), caller);
}

/// Visits at regular times, and then on to `before` the next one.
void visit_regularly(
    fake_fleet& fleet, const std::string& name, duration before)
{
    instant next = fleet.now();
    for (int round = 0; round < 3; ++round)
    {
        fleet.run(next - fleet.now());
        visit(fleet, 0, name);
        next += period;
    }
    fleet.run(next - before - fleet.now());
}

void count_decides(fake_fleet& fleet, std::size_t& decides)
{
    fleet.on_record = [&](const record& value, const fold_result&)
    {
        decides +=
            std::holds_alternative<replica_decide>(value.payload) ? 1 : 0;
    };
}

} // namespace

Test(preload, a_periodic_callers_model_is_ready_ahead_of_its_call)
{
    fake_fleet fleet;
    fleet.put(
        entity_kind::policy,
        "policy",
        policy_of(placement_kind::gap_cost_preload, 10s));
    fleet.add_engine("e0", engine_of(20'000));
    fleet.add_model("base", model(8'000, 1));
    adapter_spec adapter;
    adapter.base = "base";
    adapter.memory_mib = 100;
    fleet.add_adapter("tuned", adapter);
    add_routers(fleet, 3);
    fleet.run(3s);
    visit_regularly(fleet, "tuned", 5min);
    cr_assert_eq(fleet.replicas("tuned"), 0, "it must have been dropped");
    fleet.run(4min);
    cr_expect_eq(fleet.replicas("tuned", replica_state::ready), 1);

    // The caller stays away: it is loaded no second time.
    std::size_t decides = 0;
    count_decides(fleet, decides);
    fleet.run(period - 2min);
    cr_expect_eq(fleet.replicas("tuned") + fleet.replicas("base"), 0);
    cr_expect_eq(decides, 0);
    check_sound(fleet);
}

Test(preload, a_caller_who_comes_through_another_router_each_time_is_expected)
{
    fake_fleet fleet;
    fleet.put(
        entity_kind::policy,
        "policy",
        policy_of(placement_kind::gap_cost_preload, 10s));
    fleet.add_engine("e0", engine_of(20'000));
    fleet.add_model("agri", model(8'000, 1));
    add_routers(fleet, 4);
    fleet.run(3s);
    instant next = fleet.now();
    for (std::size_t router = 0; router < 4; ++router)
    {
        fleet.run(next - fleet.now());
        visit(fleet, router, "agri");
        next += period;
    }
    fleet.run(next - 5min - fleet.now());
    cr_assert_eq(fleet.replicas("agri"), 0, "it must have been dropped");
    fleet.run(4min);
    cr_expect_eq(fleet.replicas("agri", replica_state::ready), 1);
    check_sound(fleet);
}

Test(preload, loads_nothing_ahead_under_another_strategy)
{
    fake_fleet fleet;
    fleet.put(
        entity_kind::policy,
        "policy",
        policy_of(placement_kind::gap_cost, 10s));
    fleet.add_engine("e0", engine_of(20'000));
    fleet.add_model("agri", model(8'000, 1));
    add_routers(fleet, 2);
    fleet.run(3s);
    visit_regularly(fleet, "agri", 1s);
    cr_expect_eq(fleet.replicas("agri"), 0);
}

Test(preload, displaces_nothing)
{
    fake_fleet fleet;
    fleet.put(
        entity_kind::policy,
        "policy",
        policy_of(placement_kind::gap_cost_preload, 120s));
    fleet.add_engine("e0", engine_of(10'000));
    fleet.add_model("due", model(8'000, 1));
    fleet.add_model("other", model(8'000, 1));
    add_routers(fleet, 2);
    fleet.run(3s);
    visit_regularly(fleet, "due", 5min);
    // Another caller's model took the room, and idles past the grace.
    visit(fleet, 1, "other");
    const replica_id kept = replica_of(fleet, "other")->id;
    std::size_t decides = 0;
    count_decides(fleet, decides);
    for (int round = 0; round < 300; ++round)
    {
        fleet.run(1s);
        fleet.engine(engine_id(1)).use(kept, fleet.now());
        fleet.at(1).control->used(
            fleet.servable("other"), fleet.now(), caller + 1);
    }
    cr_expect(replica_of(fleet, "other")->id == kept);
    cr_expect_eq(decides, 0);
    check_sound(fleet);
}

Test(preload, takes_no_store_slot_that_a_caller_could_want)
{
    fake_fleet fleet;
    policy_spec policy = policy_of(placement_kind::gap_cost_preload, 10s);
    policy.store_slots = 2;
    fleet.put(entity_kind::policy, "policy", policy);
    fake_engine::options slow = engine_of(80'000);
    slow.load_time = 40s;
    fleet.add_engine("e0", slow);
    fleet.add_model("due", model(8'000, 1));
    fleet.add_model("first", model(8'000, 1));
    fleet.add_model("second", model(8'000, 1));
    add_routers(fleet, 2);
    fleet.run(3s);
    visit_regularly(fleet, "due", 2min);
    cr_assert_eq(fleet.replicas("due"), 0);
    bool crowded = false;
    fleet.on_record = [&](const record& value, const fold_result&)
    {
        const auto* decide = std::get_if<replica_decide>(&value.payload);
        crowded =
            crowded ||
            (decide != nullptr && decide->servable == fleet.servable("due") &&
             fleet.replicas("first", replica_state::loading) +
                     fleet.replicas("second", replica_state::loading) !=
                 0);
    };
    fleet.keep_demanding(1, fleet.servable("first"), 1);
    fleet.run(25s);
    cr_assert_eq(fleet.replicas("first", replica_state::loading), 1);
    fleet.keep_demanding(1, fleet.servable("second"), 1);
    const bool loaded = fleet.run_until(
        [&]
        {
            return fleet.replicas("second", replica_state::ready) == 1;
        },
        120s);
    cr_assert(loaded);
    cr_expect(fleet.run_until(
        [&]
        {
            return fleet.replicas("due", replica_state::ready) == 1;
        },
        90s));
    cr_expect_not(crowded, "it took the last slot");
    check_sound(fleet);
}

Test(adopted_policy, an_adapter_is_not_dropped_after_seconds)
{
    fake_fleet fleet;
    fleet.put(
        entity_kind::policy,
        "policy",
        policy_of(placement_kind::gap_cost_preload, 300s));
    fleet.add_engine("e0", engine_of(20'000));
    model_spec base = model(8'000, 1);
    base.load_estimate_ms = 20'000;
    fleet.add_model("base", base);
    adapter_spec adapter;
    adapter.base = "base";
    adapter.memory_mib = 100;
    adapter.load_estimate_ms = 500;
    fleet.add_adapter("tuned", adapter);
    add_routers(fleet, 2);
    fleet.run(3s);
    visit(fleet, 0, "tuned");
    fleet.run(5min);
    cr_expect_eq(fleet.replicas("tuned", replica_state::ready), 1);
}

Test(adopted_policy, what_another_router_uses_steadily_is_not_dropped)
{
    fake_fleet fleet;
    fleet.put(
        entity_kind::policy,
        "policy",
        policy_of(placement_kind::gap_cost_preload, 60s));
    fleet.add_engine("e0", engine_of(40'000));
    fleet.add_model("steady", model(8'000, 1));
    fleet.add_model("rare", model(8'000, 1));
    add_routers(fleet, 2);
    fleet.run(3s);
    const std::size_t holder = holder_of(fleet, engine_id(1));
    cr_assert_lt(holder, 2);
    // The engine's holder knows but a model that comes back after hours.
    for (int day = 0; day < 40; ++day)
    {
        const duration ago = 4h * (40 - day);
        fleet.at(holder).control->used(
            fleet.servable("rare"), fleet.now() + 200h - ago);
    }
    visit(fleet, 1 - holder, "steady");
    std::size_t decides = 0;
    count_decides(fleet, decides);
    for (int round = 0; round < 60; ++round)
    {
        fleet.run(15s);
        visit(fleet, 1 - holder, "steady");
    }
    // Until the gaps that it saw outweigh those of all servables.
    cr_expect_leq(decides, 8, "%zu", decides);
    check_sound(fleet);
}

Test(adopted_policy, follows_the_published_strategy_and_not_the_setting)
{
    controller::options settings;
    settings.placement = placement_kind::fixed_ttl;
    settings.idle_ttl = 1s;
    fake_fleet fleet(settings);
    fleet.add_engine("e0", engine_of(20'000));
    fleet.add_model("agri", model(8'000, 1));
    add_routers(fleet, 2);
    fleet.run(3s);
    fleet.put(
        entity_kind::policy,
        "policy",
        policy_of(placement_kind::fixed_ttl, 10min));
    visit(fleet, 0, "agri");
    fleet.run(5min);
    cr_expect_eq(fleet.replicas("agri", replica_state::ready), 1);
    fleet.put(entity_kind::policy, "policy", policy_spec{});
    fleet.run(10s);
    cr_expect_eq(fleet.replicas("agri"), 0);
}
