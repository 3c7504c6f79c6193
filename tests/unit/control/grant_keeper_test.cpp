#include "fleet_fixture.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <random>
#include <utility>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::test;
using namespace std::chrono_literals;

namespace
{

controller::options with_grants(std::uint32_t engines = 1)
{
    controller::options settings;
    settings.grants.memory_mib = 8'000;
    settings.grants.engines = engines;
    settings.grants.term = 10min;
    settings.placement = placement_kind::fixed_ttl;
    settings.idle_ttl = 15s;
    return settings;
}

/// Two engines, one with a standing grant of two models at once; `big` fits
/// into no grant.
struct granting_fleet : fake_fleet
{
    explicit granting_fleet(
        fencing_kind fencing = fencing_kind::checks,
        std::uint32_t engine_mib = 10'000,
        std::uint32_t grants = 1)
        : fake_fleet(with_grants(grants))
    {
        this->add_engine("e0", engine_of(engine_mib, fencing));
        this->add_engine("e1", engine_of(engine_mib, fencing));
        for (const char* name : {"one", "two", "three"})
        {
            this->add_model(name, model(4'000, 1));
        }
        this->add_model("big", model(9'000, 1));
        add_routers(*this, 3);
        const bool named = this->run_until(
            [&]
            {
                return this->granted("one") && this->granted("two") &&
                       this->granted("three");
            },
            30s);
        cr_assert(named, "the models are named in a grant");
        this->engine_granted = this->granted("one")->engine;
        this->holder = holder_of(*this, this->engine_granted);
        this->other = (this->holder + 1) % this->size();
        this->run(1s);
    }

    std::optional<granted_model_view> granted(const std::string& name) const
    {
        std::optional<granted_model_view> found;
        this->oracle().for_each_granted_model(
            [&](const granted_model_view& item)
            {
                if (item.servable == this->servable(name))
                {
                    found = item;
                }
            });
        return found;
    }

    bool is_ready(const std::string& name) const
    {
        return this->replicas(name, replica_state::ready) == 1;
    }

    void want(const std::string& name)
    {
        this->keep_demanding(this->other, this->servable(name), 1);
    }

    engine_id engine_granted;
    std::size_t holder = 0;
    std::size_t other = 0; ///< a router that isn't the holder
};

} // namespace

Test(grant_keeper, covered_cold_model_is_loaded_in_an_outage)
{
    granting_fleet fleet;
    fleet.log_down = true;
    fleet.run(60s);
    fleet.want("one");
    fleet.run(5s);
    cr_expect_eq(fleet.resident("one"), 1, "its lease's term is long over");
    cr_expect_eq(fleet.engine(fleet.engine_granted).loads_begun(), 1);
    check_sound(fleet);
}

Test(grant_keeper, other_routers_see_the_replica_on_the_engine)
{
    granting_fleet fleet;
    fleet.log_down = true;
    fleet.run(60s);
    const auto covers = [&](const char* name, bool loaded)
    {
        const auto& hints = fleet.at(fleet.other).grants;
        return std::any_of(
            hints.begin(),
            hints.end(),
            [&](const grant_hint& hint)
            {
                return hint.servable == fleet.servable(name) &&
                       hint.loaded == loaded;
            });
    };
    cr_expect(covers("one", false), "callers may wait");
    cr_expect_not(covers("big", false), "no grant covers it");
    fleet.want("one");
    fleet.run(6s);
    cr_expect(covers("one", true));
    fleet.want("two");
    fleet.run(6s);
    cr_expect(covers("two", true));
    cr_expect_not(covers("three", false), "no room is left for it");
    fleet.log_down = false;
    fleet.run(500ms);
    cr_expect(covers("one", true), "until its replica counts as ready");
    cr_expect(fleet.run_until(
        [&]
        {
            return fleet.at(fleet.other).grants.empty();
        },
        60s));
    cr_expect(fleet.is_ready("one"));
}

Test(grant_keeper, uncovered_models_and_spent_memory_load_nothing)
{
    granting_fleet fleet;
    fleet.log_down = true;
    fleet.run(60s);
    for (const char* name : {"big", "one", "two", "three"})
    {
        fleet.want(name);
    }
    fleet.run(60s);
    cr_expect_eq(fleet.resident("big"), 0);
    const std::size_t loaded =
        fleet.resident("one") + fleet.resident("two") + fleet.resident("three");
    cr_expect_eq(loaded, 2, "the grant has room for two: %zu", loaded);
    check_sound(fleet);
}

Test(grant_keeper, paused_holder_past_its_term_orders_nothing)
{
    granting_fleet fleet;
    fleet.log_down = true;
    fleet.run(10s);
    fleet.pause(fleet.holder);
    fleet.want("one");
    fleet.run(11min);
    fleet.resume(fleet.holder);
    fleet.run(10s);
    cr_expect_eq(fleet.resident("one"), 0);
    cr_expect_eq(fleet.engine(fleet.engine_granted).loads_begun(), 0);
}

Test(grant_keeper, order_held_on_the_wire_past_the_term_is_never_sent)
{
    granting_fleet fleet;
    fleet.log_down = true;
    fleet.run(10s);
    fleet.want("one");
    fleet.run_until(
        [&]
        {
            return !fleet.at(fleet.holder).orders.empty();
        },
        5s);
    const auto& router = fleet.at(fleet.holder);
    cr_assert(router.orders.back().granted);
    const engine_order& order = router.orders.back();
    cr_expect(router.control->may_send(order, fleet.now()));
    cr_expect_not(router.control->may_send(order, fleet.now() + 10min));
    engine_order foreign = order;
    foreign.replica = replica_id(order.replica.value + 1'000);
    cr_expect_not(router.control->may_send(foreign, fleet.now()));
}

Test(grant_keeper, model_wanted_while_the_log_answers_is_freed_at_once)
{
    granting_fleet fleet;
    const engine_id granted = fleet.engine_granted;
    fleet.want("one");
    cr_expect(
        fleet.run_until(
            [&]
            {
                return fleet.replicas("one", replica_state::ready) == 1;
            },
            4s),
        "beside the grant only the other engine has room");
    cr_expect_eq(fleet.engine(granted).loads_begun(), 0);
    cr_expect_eq(fleet.resident("one"), 1);
    check_sound(fleet);
}

Test(grant_keeper, used_models_are_settled_after_the_outage)
{
    granting_fleet fleet;
    bool lose = true;
    fleet.lose_order_answer = [&]
    {
        return std::exchange(lose, false);
    };
    const replica_id id = fleet.granted("one")->id;
    fleet.log_down = true;
    fleet.run(60s);
    fleet.want("one");
    fleet.run(10s);
    fleet.stop_demanding();
    fleet.log_down = false;
    cr_expect(fleet.run_until(
        [&]
        {
            const auto view = fleet.oracle().replica(id);
            return view && view->state == replica_state::ready;
        },
        30s));
    cr_expect_not(fleet.granted("one"));
    cr_expect(fleet.granted("two"), "it wasn't used and stays");
    cr_expect_eq(fleet.engine(fleet.engine_granted).loads_begun(), 1);
    fleet.run(20s);
    const auto grant = fleet.oracle().standing_grant(fleet.engine_granted);
    cr_expect_eq(grant->memory_mib, 6'000, "what is free is put back");
    check_sound(fleet);
}

Test(grant_keeper, holder_alone_cut_off_keeps_within_every_maximum)
{
    granting_fleet fleet;
    fleet.at(fleet.holder).log_cut = true;
    fleet.run(30s);
    for (const char* name : {"one", "two", "three", "big"})
    {
        fleet.want(name);
    }
    fleet.run(30s);
    fleet.at(fleet.holder).log_cut = false;
    fleet.run(60s);
    check_sound(fleet);
}

Test(grant_keeper, without_the_option_no_grant_is_opened)
{
    fake_fleet fleet;
    const engine_id engine = fleet.add_engine("e0", engine_of(10'000));
    fleet.add_model("one", model(4'000, 1));
    add_routers(fleet, 3);
    fleet.run(60s);
    cr_expect_not(fleet.oracle().standing_grant(engine));
}

Test(grant_keeper, grant_gives_way_to_a_model_that_fits_nowhere_beside_it)
{
    granting_fleet fleet(fencing_kind::checks, 10'000, 2);
    const engine_id free(3 - fleet.engine_granted.value);
    cr_expect_not(
        fleet.oracle().standing_grant(free),
        "beside two grants `big` would fit on no engine");
    engine_spec small = *fleet.oracle().engine(free)->spec;
    small.memory_mib = 5'000;
    fleet.put(
        entity_kind::engine,
        std::string(fleet.oracle().engine(free)->name),
        small);
    cr_expect(fleet.run_until(
        [&]
        {
            return !fleet.oracle().standing_grant(fleet.engine_granted);
        },
        30s));
    fleet.want("big");
    fleet.run(10s);
    cr_expect_eq(fleet.resident("big"), 1);
    check_sound(fleet);
}

Test(grant_keeper, withdrawn_model_and_draining_engine_are_let_go)
{
    granting_fleet fleet(fencing_kind::checks, 14'000);
    fleet.put(entity_kind::model, "one", model(4'000, 0));
    // It would fit on no engine beside a grant on the one that stays.
    fleet.put(entity_kind::model, "big", model(9'000, 0));
    fleet.run(1s);
    cr_expect_not(fleet.granted("one"));
    cr_expect(fleet.granted("two"));
    engine_spec leaving = *fleet.oracle().engine(fleet.engine_granted)->spec;
    leaving.draining = true;
    const auto engine = *fleet.oracle().engine(fleet.engine_granted);
    fleet.put(entity_kind::engine, std::string(engine.name), leaving);
    cr_expect(fleet.run_until(
        [&]
        {
            return !fleet.oracle().standing_grant(engine.id);
        },
        20s));
    cr_expect(
        fleet.run_until(
            [&]
            {
                return fleet.granted("two").has_value();
            },
            20s),
        "the other engine has a grant now");
}

Test(grant_keeper, leaving_holder_settles_and_gives_its_grant_back)
{
    granting_fleet fleet;
    fleet.log_down = true;
    fleet.run(30s);
    fleet.want("one");
    fleet.run(10s);
    fleet.log_down = false;
    fleet.at(fleet.holder).control->leave(fleet.now());
    cr_expect(fleet.run_until(
        [&]
        {
            return !fleet.at(fleet.holder).lefts.empty() &&
                   fleet.is_ready("one");
        },
        60s));
    cr_expect(fleet.at(fleet.holder).lefts[0].clean);
    cr_expect_eq(fleet.engine(fleet.engine_granted).loads_begun(), 1);
    check_sound(fleet);
}

/// Outages, cuts, pauses, kills and lost answers at seeded times.
Test(grant_keeper, promises_hold_in_seeded_storms)
{
    std::ptrdiff_t granted_orders = 0;
    for (const fencing_kind fencing :
         {fencing_kind::checks, fencing_kind::ignores})
    {
        for (std::uint32_t seed = 1; seed <= 12; ++seed)
        {
            granting_fleet fleet(fencing, 18'000, 2);
            std::mt19937 random(seed);
            fleet.lose_order_answer = [&]
            {
                return random() % 4 == 0;
            };
            fleet.lose_answer = fleet.lose_order_answer;
            const std::array<const char*, 4> names{
                "one", "two", "three", "big"};
            for (int round = 0; round < 20; ++round)
            {
                fleet.log_down = random() % 2 == 0;
                const std::size_t victim = random() % 3;
                fleet.at(victim).log_cut = random() % 3 == 0;
                const bool pauses = random() % 3 == 0;
                if (pauses)
                {
                    fleet.pause(victim);
                }
                else if (random() % 4 == 0)
                {
                    fleet.restart(victim);
                }
                fleet.run(std::chrono::seconds(random() % 30));
                for (int demand = 0; demand < 3; ++demand)
                {
                    fleet.keep_demanding(
                        random() % 3, fleet.servable(names[random() % 4]), 1);
                }
                fleet.run(std::chrono::seconds(random() % 30));
                // Idle models are unloaded and named again.
                fleet.stop_demanding();
                if (pauses)
                {
                    fleet.resume(victim);
                }
            }
            check_sound(fleet);
            for (std::size_t index = 0; index < fleet.size(); ++index)
            {
                const auto& orders = fleet.at(index).orders;
                granted_orders += std::count_if(
                    orders.begin(),
                    orders.end(),
                    [](const engine_order& order)
                    {
                        return order.granted;
                    });
            }
        }
    }
    cr_expect_geq(granted_orders, 24, "grants are used: %td", granted_orders);
}
