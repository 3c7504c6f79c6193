#include "fold_log.hpp"

#include <criterion/criterion.h>

namespace
{

using namespace roseworks;
using namespace roseworks::test;

constexpr std::uint32_t term_ms = 600'000;

/// A fleet whose one engine of 250 MiB is held by a router; models of 100 MiB.
struct granted_fleet : fold_log
{
    explicit granted_fleet(fencing_kind fencing = fencing_kind::ignores)
    {
        this->put_fleet(fencing);
        auto spec = model();
        spec.max_replicas = 1;
        this->put_entity(entity_kind::model, "rare", spec);
        this->granting = this->state.find_engine("e");
        this->router = this->join(2);
        this->other = this->join(3);
        this->held = this->lease(this->router);
    }

    fold_result
    open(std::uint32_t memory_mib, std::uint16_t loads, session_id by, fence at)
    {
        return this->put(
            grant_open{this->granting, by, at, memory_mib, loads, term_ms});
    }

    fold_result open(std::uint32_t memory_mib, std::uint16_t loads = 1)
    {
        return this->open(memory_mib, loads, this->router, this->held);
    }

    fold_result grant(const std::string& name)
    {
        const auto view = this->state.servable(this->state.find_servable(name));
        return this->put(grant_model{
            view->id, view->current, this->granting, this->router, this->held});
    }

    /// @return The granted model's replica.
    replica_id granted(const std::string& name)
    {
        cr_assert(accepted(this->grant(name)));
        return replica_id(this->at.value);
    }

    fold_result settle(replica_id id, bool used)
    {
        return this->put(grant_settle{id, this->router, this->held, used});
    }

    std::uint32_t reserved() const
    {
        return this->state.engine(this->granting)->reserved_mib;
    }

    /// The other router takes the lapsed lease. @return Its fencing number.
    fence lose_lease()
    {
        cr_assert(accepted(this->take_over(this->other)));
        return fence(this->at.value);
    }

    engine_id granting;
    session_id router;
    session_id other;
    fence held;
};

} // namespace

Test(grant, reserves_memory_and_a_store_slot)
{
    granted_fleet log;
    cr_assert(accepted(log.open(200)));
    cr_assert_eq(log.reserved(), 200);
    cr_assert(rejected(
        log.put(log.decision("m", log.router)), reject_reason::engine_memory));
    cr_assert(accepted(log.open(0, 0)));
    cr_assert_eq(log.reserved(), 0);
    cr_assert(accepted(log.put(log.decision("m", log.router))));
}

Test(grant, is_bounded_by_memory_and_slots)
{
    granted_fleet log;
    policy_spec policy;
    policy.store_slots = 2;
    log.put_policy(policy);
    cr_assert(rejected(log.open(251), reject_reason::engine_memory));
    cr_assert(rejected(log.open(100, 2), reject_reason::store_slots));
    cr_assert(rejected(log.open(100, 0), reject_reason::invalid_spec));
    cr_assert(accepted(log.open(100, 1)));
    // One slot of two is kept: of two decided loads, one waits.
    log.put_entity(entity_kind::engine, "e2", fold_log::engine(2));
    log.put(log.decision("m", log.router, {}, "e2"));
    const replica_id first(log.at.value);
    log.put(log.decision("m", log.router, {}, "e2"));
    const replica_id second(log.at.value);
    cr_assert(log.state.replica(first)->holds_slot);
    cr_assert_not(log.state.replica(second)->holds_slot);
}

Test(grant, keeps_its_slots_share_of_the_stores_rate)
{
    granted_fleet log;
    policy_spec policy;
    policy.store_slots = 4;
    policy.store_loads_per_second = 10;
    log.put_policy(policy);
    log.put_entity(entity_kind::engine, "e2", fold_log::engine(2));
    const auto apart = [&]
    {
        log.put(log.decision("m", log.router, {}, "e2"));
        const auto first = log.state.replica(replica_id(log.at.value));
        log.put(log.decision("m", log.router, {}, "e2"));
        const auto second = log.state.replica(replica_id(log.at.value));
        return second->slot_not_before - first->slot_not_before;
    };
    cr_assert(accepted(log.open(100, 2)));
    cr_assert_eq(apart(), 200, "half of the slots, half of the rate");
}

Test(grant, two_that_race_for_the_last_slot_have_one_winner)
{
    granted_fleet log;
    policy_spec policy;
    policy.store_slots = 2;
    log.put_policy(policy);
    log.put_entity(entity_kind::engine, "e2", fold_log::engine(2));
    const fence there = log.lease(log.other, "e2");
    cr_assert(accepted(log.open(100)));
    cr_assert(rejected(
        log.put(grant_open{
            log.state.find_engine("e2"), log.other, there, 100, 1, term_ms}),
        reject_reason::store_slots));
}

Test(grant, only_the_lease_holder_speaks_of_it)
{
    granted_fleet log;
    cr_assert(rejected(
        log.open(100, 1, log.other, log.held),
        reject_reason::fence_not_current));
    cr_assert(accepted(log.open(100)));
    const replica_id id = log.granted("rare");
    const fence taken = log.lose_lease();
    cr_assert(rejected(log.open(100), reject_reason::fence_not_current));
    cr_assert(rejected(log.grant("m"), reject_reason::fence_not_current));
    cr_assert(rejected(log.settle(id, true), reject_reason::fence_not_current));
    cr_assert(rejected(
        log.open(200, 1, log.other, taken), reject_reason::entity_in_use));
}

Test(grant, renews_so_that_a_taker_who_missed_its_term_is_refused)
{
    granted_fleet log;
    const auto seen = log.state.session(log.router)->last_renewal;
    cr_assert(accepted(log.open(100)));
    cr_assert(rejected(
        log.put(lease_acquire{log.granting, log.other, log.router, seen}),
        reject_reason::lease_renewed));
}

Test(grant, a_granted_model_counts_as_a_replica)
{
    granted_fleet log;
    log.put_entity(entity_kind::engine, "e2", fold_log::engine(2));
    cr_assert(accepted(log.open(100)));
    log.granted("rare");
    cr_assert(rejected(log.grant("rare"), reject_reason::entity_in_use));
    cr_assert(rejected(
        log.put(log.decision("rare", log.other, {}, "e2")),
        reject_reason::replicas_at_maximum));
    cr_assert(rejected(log.grant("a"), reject_reason::base_not_ready));
    cr_assert(rejected(
        log.put_changes({log.removal(entity_kind::model, "rare")}),
        reject_reason::entity_in_use));
    cr_assert(rejected(
        log.put_changes({log.removal(entity_kind::engine, "e")}),
        reject_reason::entity_in_use));
}

Test(grant, a_burst_that_decides_a_granted_model_gets_the_granted_replica)
{
    granted_fleet log;
    cr_assert(accepted(log.open(100)));
    const replica_id id = log.granted("rare");
    cr_assert(accepted(log.put(log.decision("rare", log.other))));
    cr_assert(log.state.replica(id), "under the id that its holder would load");
    cr_assert_not(log.state.granted_model(id));
    cr_assert_eq(log.reserved(), 200, "the grant's memory isn't touched");
    cr_assert(rejected(
        log.put(log.decision("rare", log.router)),
        reject_reason::replicas_at_maximum));
    // Its holder, cut off, loaded it under the grant: that is settled already.
    cr_assert(rejected(log.settle(id, true), reject_reason::unknown_entity));
}

Test(grant, a_changed_model_is_not_decided_under_the_granted_id)
{
    granted_fleet log;
    cr_assert(accepted(log.open(100)));
    log.granted("rare");
    auto spec = fold_log::model();
    spec.max_replicas = 1;
    spec.version = "2";
    log.put_entity(entity_kind::model, "rare", spec);
    cr_assert(rejected(
        log.put(log.decision("rare", log.other)),
        reject_reason::replicas_at_maximum));
}

Test(grant, what_was_used_becomes_a_replica_and_the_rest_is_freed)
{
    granted_fleet log;
    cr_assert(accepted(log.open(150)));
    const replica_id used = log.granted("rare");
    const replica_id unused = log.granted("m");
    cr_assert(accepted(log.settle(used, true)));
    cr_assert_eq(log.state.replica(used)->memory_mib, 100);
    cr_assert_eq(log.reserved(), 150);
    cr_assert_eq(log.state.standing_grant(log.granting)->memory_mib, 50);
    cr_assert(
        rejected(log.settle(unused, true), reject_reason::engine_memory),
        "more was used than the grant has");
    cr_assert(rejected(log.open(0, 0), reject_reason::entity_in_use));
    cr_assert(accepted(log.settle(unused, false)));
    cr_assert(accepted(log.open(0, 0)));
    cr_assert_eq(log.reserved(), 100);
}

Test(grant, of_a_dead_holder_stays_until_its_successor_settles_it)
{
    granted_fleet log;
    cr_assert(accepted(log.open(200)));
    const replica_id loaded = log.granted("rare");
    const replica_id absent = log.granted("m");
    const fence taken = log.lose_lease();
    const auto settle = [&](replica_id id, bool used)
    {
        return log.put(grant_settle{id, log.other, taken, used});
    };
    // The old holder may yet send a load to an engine that ignores fences.
    cr_assert(rejected(settle(absent, false), reject_reason::not_proven_gone));
    cr_assert(accepted(settle(loaded, true)), "it was seen on the engine");
    cr_assert_eq(log.reserved(), 200);
    log.put(router_gone{log.router, "vm left the list"});
    cr_assert(accepted(settle(absent, false)));
    cr_assert(accepted(log.open(0, 0, log.other, taken)));
    cr_assert_eq(log.reserved(), 100);
}

Test(grant, outlives_the_proof_that_its_holder_is_gone)
{
    granted_fleet log;
    cr_assert(accepted(log.open(200)));
    const replica_id id = log.granted("rare");
    log.put(router_gone{log.router, "vm left the list"});
    cr_assert_eq(log.reserved(), 200, "nobody has read the engine yet");
    cr_assert(log.state.granted_model(id));
}

Test(grant, goes_with_a_lease_given_back)
{
    granted_fleet log;
    cr_assert(accepted(log.open(200)));
    const replica_id id = log.granted("rare");
    cr_assert(accepted(log.put(lease_release{log.granting, log.router})));
    cr_assert_eq(log.reserved(), 0);
    cr_assert_not(log.state.granted_model(id));
    cr_assert_not(log.state.standing_grant(log.granting));
}

Test(grant, records_are_without_effect_on_a_state_that_has_none)
{
    granted_fleet log;
    const auto before = log.state.snapshot();
    cr_assert(accepted(log.open(100)));
    cr_assert(log.state.snapshot().size() > before.size());
    cr_assert(accepted(log.open(0, 0)));
    cr_assert_eq(
        log.state.snapshot().size(),
        before.size(),
        "snapshots without grants are as they always were");
}
