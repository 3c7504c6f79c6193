#include "fleet_fixture.hpp"

#include <roseworks/rendezvous.hpp>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t routers = 9;

/// Index of the router that rendezvous hashing names for the servable.
std::size_t proposer_of(fake_fleet& fleet, servable_id what)
{
    std::vector<session_id> alive;
    for (std::size_t index = 0; index < fleet.size(); ++index)
    {
        alive.push_back(fleet.at(index).control->session());
    }
    const session_id chosen =
        rendezvous_choice({rendezvous_domain::proposer, what.value}, alive);
    for (std::size_t index = 0; index < fleet.size(); ++index)
    {
        if (fleet.at(index).control->session() == chosen)
        {
            return index;
        }
    }
    return fleet.size();
}

} // namespace

Test(burst, at_nine_routers_loads_exactly_the_maximum)
{
    fake_fleet fleet;
    for (int index = 0; index < 4; ++index)
    {
        fleet.add_engine("e" + std::to_string(index), engine_of(20'000));
    }
    fleet.add_model("agri", model(8'000, 3));
    add_routers(fleet, routers);
    fleet.run(3s);

    for (std::size_t index = 0; index < routers; ++index)
    {
        fleet.keep_demanding(index, fleet.servable("agri"), 40);
    }
    const bool done = fleet.run_until(
        [&]
        {
            return fleet.replicas("agri", replica_state::ready) == 3;
        },
        30s);
    cr_assert(done);
    fleet.run(20s);
    cr_expect_eq(fleet.replicas("agri"), 3);
    cr_expect_eq(fleet.resident("agri"), 3);
    std::uint64_t loads = 0;
    for (std::uint32_t id = 1; id <= 4; ++id)
    {
        loads += fleet.engine(engine_id(id)).loads_begun();
    }
    cr_expect_eq(loads, 3);
    check_sound(fleet);
}

Test(burst, routers_that_know_no_peers_all_propose_and_one_wins)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000));
    fleet.add_model("agri", model(8'000, 1));
    add_routers(fleet, 2);
    std::size_t rejected = 0;
    fleet.on_record = [&](const record& value, const fold_result& result)
    {
        const bool decide =
            std::holds_alternative<replica_decide>(value.payload);
        rejected += decide && result.status == fold_status::rejected ? 1 : 0;
    };
    fleet.run(3s);
    const servable_id agri = fleet.servable("agri");
    for (std::size_t index = 0; index < 2; ++index)
    {
        const session_id self[] = {fleet.at(index).control->session()};
        fleet.at(index).control->peers_changed(self, fleet.now());
        fleet.demand(index, agri, 1);
    }
    fleet.run(20s);
    cr_expect_eq(rejected, 1, "both must have proposed");
    cr_expect_eq(fleet.resident("agri"), 1);
    cr_expect_eq(fleet.replicas("agri", replica_state::ready), 1);
    check_sound(fleet);
}

Test(burst, the_next_in_line_proposes_for_a_silent_proposer)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000));
    fleet.add_model("agri", model(8'000, 1));
    add_routers(fleet, 3);
    fleet.run(3s);
    const servable_id agri = fleet.servable("agri");
    const std::size_t silent = proposer_of(fleet, agri);
    // Membership and its lease still say that it is alive.
    fleet.at(silent).log_cut = true;
    fleet.keep_demanding((silent + 1) % 3, agri, 1);
    cr_expect(fleet.run_until(
        [&]
        {
            return fleet.replicas("agri") == 1;
        },
        10s));
}

Test(burst, declared_capacity_comes_without_its_proposer)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000));
    add_routers(fleet, 3);
    fleet.run(100s);
    // The next servable's id is 1.
    const std::size_t silent = proposer_of(fleet, servable_id(1));
    fleet.at(silent).log_cut = true;
    fleet.add_model("kept", kept_model(8'000, 1));
    cr_assert(fleet.servable("kept") == servable_id(1));
    cr_expect(fleet.run_until(
        [&]
        {
            return fleet.replicas("kept") == 1;
        },
        10s));
}

Test(burst, an_append_whose_answer_is_lost_takes_effect_once)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000));
    fleet.add_model("agri", model(2'000, 4));
    add_routers(fleet, 2);
    fleet.log_delay = 200ms;
    std::uint64_t appends = 0;
    fleet.lose_answer = [&]
    {
        return ++appends % 2 == 0;
    };
    std::size_t duplicates = 0;
    fleet.on_record = [&](const record&, const fold_result& result)
    {
        duplicates += result.status == fold_status::duplicate ? 1 : 0;
    };
    fleet.run(3s);
    // One replica takes 8 at once: when more than half of that still wait, a
    // second one is wanted.
    fleet.keep_demanding(0, fleet.servable("agri"), 6);
    fleet.run(20s);
    cr_expect_gt(duplicates, 0, "some must have been sent again");
    cr_expect_eq(fleet.replicas("agri", replica_state::ready), 2);
    cr_expect_eq(fleet.resident("agri"), 2);
    check_sound(fleet);
}

Test(burst, every_other_order_answer_lost)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000));
    fleet.add_model("agri", model(2'000, 2));
    add_routers(fleet, 2);
    std::uint64_t orders = 0;
    fleet.lose_order_answer = [&]
    {
        return ++orders % 2 == 1;
    };
    fleet.run(3s);
    fleet.keep_demanding(0, fleet.servable("agri"), 9);
    fleet.run(20s);
    cr_expect_eq(fleet.replicas("agri", replica_state::ready), 2);
    cr_expect_eq(fleet.engine(engine_id(1)).loads_begun(), 2);
    check_sound(fleet);
}

Test(burst, an_engine_that_reports_late_is_ordered_again_under_the_same_id)
{
    fake_fleet fleet;
    fake_engine::options late = engine_of(20'000);
    late.report_lag = 5s;
    late.worst_lag = 5s;
    fleet.add_engine("e0", late);
    fleet.add_model("agri", model(2'000, 1));
    add_routers(fleet, 2);
    std::uint64_t answers = 0;
    fleet.lose_order_answer = [&]
    {
        return ++answers == 1;
    };
    fleet.run(10s);
    fleet.keep_demanding(0, fleet.servable("agri"), 1);
    fleet.run(30s);
    cr_expect_gt(answers, 1, "it must have been ordered again");
    cr_expect_eq(fleet.replicas("agri", replica_state::ready), 1);
    cr_expect_eq(fleet.engine(engine_id(1)).loads_begun(), 1);
}

Test(burst, a_single_old_report_takes_no_capacity_down)
{
    fake_fleet fleet;
    fake_engine::options uneven = engine_of(20'000);
    uneven.worst_lag = 6s;
    fleet.add_engine("e0", uneven);
    add_routers(fleet, 2);
    fleet.run(10s);
    fleet.add_model("kept", kept_model(2'000, 1));
    fleet.run(60s);
    cr_expect_eq(fleet.replicas("kept", replica_state::ready), 1);
    cr_expect_eq(fleet.engine(engine_id(1)).loads_begun(), 1);
}

Test(burst, an_adapter_brings_its_base_and_both_go_when_idle)
{
    controller::options settings;
    settings.placement = placement_kind::fixed_ttl;
    settings.idle_ttl = 20s;
    fake_fleet fleet(settings);
    fleet.add_engine("e0", engine_of(20'000));
    fleet.add_model("base", model(8'000, 1));
    adapter_spec adapter;
    adapter.base = "base";
    adapter.memory_mib = 100;
    fleet.add_adapter("tuned", adapter);
    add_routers(fleet, 3);
    fleet.run(3s);
    fleet.keep_demanding(0, fleet.servable("tuned"), 1);
    cr_assert(fleet.run_until(
        [&]
        {
            return fleet.replicas("tuned", replica_state::ready) == 1;
        },
        30s));
    fleet.stop_demanding();
    cr_assert(fleet.run_until(
        [&]
        {
            return fleet.resident("base") + fleet.resident("tuned") == 0;
        },
        120s));
    fleet.run(10s);
    cr_expect_eq(fleet.replicas("base") + fleet.replicas("tuned"), 0);
    check_sound(fleet);
}

Test(burst, memory_is_made_by_evicting_what_is_idle_and_not_kept)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000));
    model_spec kept = model(8'000, 1);
    kept.min_replicas = 1;
    fleet.add_model("kept", kept);
    fleet.add_model("old", model(8'000, 1));
    fleet.add_model("new", model(8'000, 1));
    add_routers(fleet, 3);
    fleet.run(10s);
    cr_assert_eq(fleet.replicas("kept", replica_state::ready), 1);
    fleet.keep_demanding(0, fleet.servable("old"), 1);
    cr_assert(fleet.run_until(
        [&]
        {
            return fleet.replicas("old", replica_state::ready) == 1;
        },
        30s));
    fleet.stop_demanding();
    fleet.keep_demanding(1, fleet.servable("new"), 1);
    cr_assert(fleet.run_until(
        [&]
        {
            return fleet.replicas("new", replica_state::ready) == 1;
        },
        90s));
    cr_expect_eq(fleet.replicas("old"), 0);
    cr_expect_eq(fleet.replicas("kept", replica_state::ready), 1);
    cr_expect_eq(fleet.engine(engine_id(1)).loads_begun(), 3);
    check_sound(fleet);
}

Test(burst, nothing_is_evicted_by_an_old_report)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(10'000));
    // So many that each router reads another's engines rarely.
    for (int i = 1; i <= 80; ++i)
        fleet.add_engine("small" + std::to_string(i), engine_of(1'000));
    model_spec busy = model(8'000, 1);
    fleet.add_model("busy", busy);
    for (int i = 0; i < 6; ++i)
        fleet.add_model("other" + std::to_string(i), model(8'000, 1));
    add_routers(fleet, 3);
    fleet.run(5s);
    fleet.keep_demanding(0, fleet.servable("busy"), 1);
    cr_assert(fleet.run_until(
        [&]
        {
            return fleet.replicas("busy", replica_state::ready) == 1;
        },
        60s));
    fleet.stop_demanding();
    replica_id loaded;
    fleet.oracle().for_each_replica(
        [&](const replica_view& replica)
        {
            loaded = replica.id;
        });
    for (int second = 0; second < 300; ++second)
    {
        // Used through a router that these know nothing of.
        fleet.engine(engine_id(1)).use(loaded, fleet.now());
        if (second % 30 == 29)
        {
            const int which = second / 30 % 6;
            fleet.demand(
                second % 3, fleet.servable("other" + std::to_string(which)), 1);
        }
        fleet.run(1s);
        cr_assert_eq(fleet.replicas("busy", replica_state::ready), 1);
    }
    check_sound(fleet);
}

Test(burst, a_replica_used_through_another_router_stays)
{
    controller::options settings;
    settings.placement = placement_kind::fixed_ttl;
    settings.idle_ttl = 20s;
    fake_fleet fleet(settings);
    fleet.add_engine("e0", engine_of(20'000));
    fleet.add_model("agri", model(8'000, 1));
    add_routers(fleet, 2);
    fleet.run(3s);
    fleet.keep_demanding(0, fleet.servable("agri"), 1);
    cr_assert(fleet.run_until(
        [&]
        {
            return fleet.replicas("agri", replica_state::ready) == 1;
        },
        30s));
    fleet.stop_demanding();
    replica_id replica;
    fleet.oracle().for_each_replica(
        [&](const replica_view& item)
        {
            replica = item.id;
        });
    for (int round = 0; round < 12; ++round)
    {
        fleet.run(10s);
        fleet.engine(engine_id(1)).use(replica, fleet.now());
    }
    cr_expect_eq(fleet.replicas("agri", replica_state::ready), 1);
    cr_expect(fleet.run_until(
        [&]
        {
            return fleet.replicas("agri") == 0;
        },
        60s));
}

Test(burst, capacity_lost_with_an_engine_is_decided_anew)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000));
    model_spec kept = model(8'000, 2);
    kept.min_replicas = 1;
    fleet.add_model("kept", kept);
    add_routers(fleet, 3);
    fleet.run(15s);
    cr_assert_eq(fleet.resident("kept"), 1);
    fleet.engine(engine_id(1)).restart(fleet.now());
    cr_assert_eq(fleet.resident("kept"), 0);
    cr_expect(fleet.run_until(
        [&]
        {
            return fleet.resident("kept") == 1;
        },
        60s));
    fleet.run(30s);
    cr_expect_eq(fleet.replicas("kept", replica_state::ready), 1);
    cr_expect_eq(fleet.replicas("kept"), 1);
    check_sound(fleet);
}

Test(burst, a_failed_load_is_cleared_away_and_tried_elsewhere)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000));
    fleet.add_engine("e1", engine_of(10'000));
    fleet.engine(engine_id(1)).fail_loads(true);
    fleet.engine(engine_id(2)).fail_loads(true);
    fleet.add_model("agri", model(8'000, 1));
    add_routers(fleet, 2);
    fleet.run(3s);
    fleet.keep_demanding(0, fleet.servable("agri"), 1);
    fleet.run(30s);
    cr_expect_geq(
        fleet.engine(engine_id(1)).loads_begun() +
            fleet.engine(engine_id(2)).loads_begun(),
        2);
    fleet.engine(engine_id(1)).fail_loads(false);
    fleet.engine(engine_id(2)).fail_loads(false);
    cr_expect(fleet.run_until(
        [&]
        {
            return fleet.replicas("agri", replica_state::ready) == 1;
        },
        60s));
    check_sound(fleet);
}

Test(burst, a_backend_vm_that_goes_takes_its_replicas_along)
{
    fake_fleet fleet;
    fleet.add_engine("e0", engine_of(20'000, fencing_kind::ignores));
    model_spec kept = model(8'000, 1);
    kept.min_replicas = 1;
    fleet.add_model("kept", kept);
    add_routers(fleet, 2);
    fleet.run(15s);
    cr_assert_eq(fleet.replicas("kept", replica_state::ready), 1);
    fleet.remove_vm("e0-vm");
    fleet.add_engine("e1", engine_of(20'000));
    cr_expect(fleet.run_until(
        [&]
        {
            return fleet.engine(engine_id(2)).count("kept") == 1;
        },
        30s));
}

Test(burst, an_engine_out_of_reach_gives_its_slot_back)
{
    fake_fleet fleet;
    policy_spec policy;
    policy.store_slots = 1;
    fleet.put(entity_kind::policy, "policy", policy);
    fleet.add_engine("e0", engine_of(20'000));
    add_routers(fleet, 2);
    fleet.run(10s);
    fleet.cut_engines.insert(engine_id(1));
    fleet.add_model("stuck", model(8'000, 1));
    fleet.keep_demanding(0, fleet.servable("stuck"), 1);
    fleet.run(10s);
    fleet.stop_demanding();
    cr_assert_eq(fleet.replicas("stuck", replica_state::loading), 1);
    fleet.add_engine("e1", engine_of(20'000));
    fleet.add_model("kept", kept_model(8'000, 1));
    cr_expect(fleet.run_until(
        [&]
        {
            return fleet.replicas("kept", replica_state::ready) == 1;
        },
        120s));
    cr_expect_eq(fleet.replicas("stuck", replica_state::failed), 1);
    fleet.cut_engines.clear();
    cr_expect(fleet.run_until(
        [&]
        {
            return fleet.replicas("stuck") == 0;
        },
        60s));
}
