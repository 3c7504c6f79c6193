#include "fold_log.hpp"

#include <criterion/criterion.h>

namespace
{

using namespace roseworks;
using namespace roseworks::test;

/// A fleet with one router that holds the engine's lease.
struct held_fleet : fold_log
{
    held_fleet()
    {
        this->put_fleet();
        this->router = this->join(2);
        this->held = this->lease(this->router);
    }

    fold_result move(replica_id id, replica_state to)
    {
        return this->report(id, to, this->router, this->held);
    }

    replica_state state_of(replica_id id) const
    {
        const auto view = this->state.replica(id);
        return view ? view->state : replica_state::gone;
    }

    std::uint32_t reserved() const
    {
        return this->state.engine(this->state.find_engine("e"))->reserved_mib;
    }

    replica_id ready(const std::string& servable, replica_id base = {})
    {
        const replica_id id = this->decide(servable, this->router, base);
        this->move(id, replica_state::ready);
        return id;
    }

    session_id router;
    fence held;
};

using state = replica_state;

} // namespace

Test(replica, lives_through_its_cycle)
{
    held_fleet fleet;
    const replica_id id = fleet.decide("m", fleet.router);
    cr_assert(fleet.state_of(id) == state::loading, "a slot was free");
    cr_assert_eq(fleet.reserved(), 100);
    for (const state to :
         {state::ready, state::draining, state::unloading, state::gone})
    {
        cr_assert_eq(fleet.reserved(), 100);
        cr_assert(accepted(fleet.move(id, to)));
        cr_assert(fleet.state.changes().back().to == to);
    }
    cr_assert_eq(fleet.reserved(), 0);
    cr_assert(!fleet.state.replica(id));
    cr_assert(
        rejected(fleet.move(id, state::gone), reject_reason::unknown_entity));
}

Test(replica, moves_only_as_the_cycle_says)
{
    const std::vector<std::pair<std::vector<state>, std::vector<state>>> paths{
        {{}, {state::ready, state::failed, state::gone}},
        {{state::ready}, {state::draining}},
        {{state::ready, state::draining}, {state::unloading}},
        {{state::ready, state::draining, state::unloading}, {state::gone}},
        {{state::failed}, {state::unloading, state::gone}}};
    for (const auto& [path, allowed] : paths)
        for (int number = 0; number <= int(state::gone); ++number)
        {
            held_fleet fleet;
            const replica_id id = fleet.decide("m", fleet.router);
            for (const state to : path)
                cr_assert(accepted(fleet.move(id, to)));
            const auto to = static_cast<state>(number);
            const bool legal =
                std::count(allowed.begin(), allowed.end(), to) != 0;
            const auto result = fleet.move(id, to);
            cr_assert_eq(accepted(result), legal);
            if (!legal)
                cr_assert(rejected(result, reject_reason::illegal_transition));
        }
}

Test(replica, waits_for_a_slot_by_urgency_then_age)
{
    held_fleet fleet;
    policy_spec policy;
    policy.store_slots = 1;
    policy.store_loads_per_second = 4;
    fleet.put_policy(policy);
    auto model = fold_log::model();
    model.memory_mib = 10;
    model.max_replicas = 9;
    fleet.put_entity(entity_kind::model, "m", model);
    const auto decide = [&](priority urgency)
    {
        auto decision = fleet.decision("m", fleet.router);
        decision.urgency = urgency;
        fleet.put(decision);
        return replica_id(fleet.at.value);
    };
    const replica_id first = decide(priority::batch);
    const replica_id batch = decide(priority::batch);
    const replica_id normal = decide(priority::normal);
    const replica_id urgent = decide(priority::urgent);
    const replica_id late = decide(priority::normal);
    cr_assert(fleet.state_of(batch) == state::decided);
    std::vector<replica_id> order{first, urgent, normal, late, batch};
    stamp_ms start = fleet.state.log_time();
    for (const replica_id id : order)
    {
        const auto view = fleet.state.replica(id);
        cr_assert(view->state == state::loading);
        cr_assert(view->holds_slot);
        cr_assert_eq(view->slot_not_before, start, "250 ms apart");
        start += 250;
        cr_assert(accepted(fleet.move(id, state::failed)));
        cr_assert(!fleet.state.replica(id)->holds_slot);
    }
}

Test(replica, is_given_up_before_it_was_ordered)
{
    held_fleet fleet;
    policy_spec policy;
    policy.store_slots = 1;
    fleet.put_policy(policy);
    fleet.decide("m", fleet.router);
    const replica_id waiting = fleet.decide("m", fleet.router);
    cr_assert(fleet.state_of(waiting) == state::decided);
    cr_assert(rejected(
        fleet.report(waiting, state::gone, fleet.router, fence(1)),
        reject_reason::fence_not_current));
    // Also while an old holder's orders may arrive: it had none for this.
    const session_id taker = fleet.join(3);
    fleet.take_over(taker);
    const fence held(fleet.at.value);
    cr_assert(accepted(fleet.report(waiting, state::gone, taker, held)));
    cr_assert_eq(fleet.reserved(), 100);
}

Test(replica, is_moved_by_the_holder_alone)
{
    held_fleet fleet;
    const replica_id id = fleet.decide("m", fleet.router);
    const session_id other = fleet.join(3);
    cr_assert(rejected(
        fleet.report(id, state::ready, other, fleet.held),
        reject_reason::fence_not_current));
    cr_assert(rejected(
        fleet.report(id, state::ready, fleet.router, fence(1)),
        reject_reason::fence_not_current));
    cr_assert(rejected(
        fleet.report(id, state::ready, session_id(1), fleet.held),
        reject_reason::session_ended));
    cr_assert(accepted(fleet.move(id, state::ready)));
    cr_assert(
        accepted(fleet.report(id, state::draining, other, {})),
        "any router drains");
    cr_assert(rejected(
        fleet.report(id, state::unloading, other, {}),
        reject_reason::fence_not_current));
}

Test(replica, is_not_decided_beyond_the_maximum)
{
    held_fleet fleet;
    fleet.put_entity(entity_kind::engine, "e2", fold_log::engine(2));
    fleet.decide("m", fleet.router);
    fleet.put(fleet.decision("m", fleet.router, {}, "e2"));
    cr_assert(rejected(
        fleet.put(fleet.decision("m", fleet.router, {}, "e2")),
        reject_reason::replicas_at_maximum));
    auto fewer = fold_log::model();
    fewer.max_replicas = 1;
    cr_assert(
        accepted(fleet.put_entity(entity_kind::model, "m", fewer)),
        "the surplus is drained");
}

Test(replica, is_not_decided_beyond_the_memory)
{
    held_fleet fleet;
    auto model = fold_log::model();
    model.max_replicas = 9;
    fleet.put_entity(entity_kind::model, "m", model);
    fleet.decide("m", fleet.router);
    const replica_id second = fleet.decide("m", fleet.router);
    cr_assert(rejected(
        fleet.put(fleet.decision("m", fleet.router)),
        reject_reason::engine_memory));
    fleet.move(second, state::failed);
    cr_assert(
        rejected(
            fleet.put(fleet.decision("m", fleet.router)),
            reject_reason::engine_memory),
        "failed memory is held until proven gone");
    fleet.move(second, state::gone);
    cr_assert(accepted(fleet.put(fleet.decision("m", fleet.router))));
}

Test(replica, is_decided_on_what_still_stands)
{
    held_fleet fleet;
    auto decision = fleet.decision("m", fleet.router);
    decision.servable_revision = revision(99);
    cr_assert(rejected(fleet.put(decision), reject_reason::revision_moved));
    decision = fleet.decision("m", fleet.router);
    decision.engine_revision = revision(99);
    cr_assert(rejected(fleet.put(decision), reject_reason::revision_moved));
    decision.engine = engine_id(9);
    cr_assert(rejected(fleet.put(decision), reject_reason::unknown_entity));
    cr_assert(rejected(
        fleet.put(fleet.decision("none", fleet.router)),
        reject_reason::unknown_entity));
    cr_assert(rejected(
        fleet.put(fleet.decision("m", session_id(1))),
        reject_reason::session_ended));
    auto engine = fold_log::engine(1);
    engine.draining = true;
    fleet.put_entity(entity_kind::engine, "e", engine);
    cr_assert(rejected(
        fleet.put(fleet.decision("m", fleet.router)),
        reject_reason::engine_unusable));
}

Test(replica, of_an_adapter_lies_beside_a_ready_base)
{
    held_fleet fleet;
    const replica_id loading = fleet.decide("m", fleet.router);
    for (const replica_id base : {replica_id(), loading, replica_id(99)})
        cr_assert(rejected(
            fleet.put(fleet.decision("a", fleet.router, base)),
            reject_reason::base_not_ready));
    fleet.move(loading, state::ready);
    cr_assert(rejected(
        fleet.put(fleet.decision("m", fleet.router, loading)),
        reject_reason::base_not_ready));
    const replica_id adapter = fleet.ready("a", loading);
    cr_assert(fleet.state_of(adapter) == state::ready);

    cr_assert(accepted(fleet.move(loading, state::draining)));
    cr_assert(rejected(
        fleet.move(loading, state::unloading), reject_reason::entity_in_use));
    for (const state to : {state::draining, state::unloading, state::gone})
        fleet.move(adapter, to);
    cr_assert(accepted(fleet.move(loading, state::unloading)));
}

Test(replica, keeps_its_adapter_on_its_base)
{
    held_fleet fleet;
    fleet.put_entity(entity_kind::model, "n", fold_log::model());
    fleet.decide("a", fleet.router, fleet.ready("m"));
    auto moved = fold_log::adapter();
    moved.base = "n";
    cr_assert(rejected(
        fleet.put_entity(entity_kind::adapter, "a", moved),
        reject_reason::entity_in_use));
}
