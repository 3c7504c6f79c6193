#include "fold_log.hpp"
#include "snapshot_format_1.hpp"

#include <roseworks/checkpoint.hpp>

#include <criterion/criterion.h>

namespace
{

using namespace roseworks;
using namespace roseworks::test;

/// A log with something in every store.
fold_log full_log()
{
    fold_log log;
    log.put_fleet();
    log.put_policy(policy_spec());
    log.put_entity(
        entity_kind::service,
        "s",
        service_spec{{{"10.0.0.9:80", "vm", "dc"}}, true, 2});
    log.put_entity(entity_kind::caller, "c", caller_spec());
    entity_change unread = log.removal(entity_kind::caller, "c2");
    unread.schema = newest_entity_schema + 1;
    unread.unread = {std::byte{1}, std::byte{2}};
    log.put_changes({unread});
    const session_id old = log.join(2);
    const session_id fresh = log.join(3);
    log.lease(old);
    const replica_id base = log.decide("m", old);
    log.report(base, replica_state::ready, old, fence(log.at.value - 1));
    log.decide("a", old, base);
    log.take_over(fresh);
    log.put(claim_open{claim_key{1, 2}, old});
    log.put(claim_open{claim_key{1, 3}, fresh, 77});
    log.put(claim_close{
        claim_key{1, 3}, fresh, claim_outcome::answered, 200, "body"});
    log.put(request_suspect{fingerprint(5), {}, fresh});
    const auto engine = log.state.engine(log.state.find_engine("e"));
    log.put(grant_open{engine->id, fresh, engine->held, 100, 1, 60'000});
    const auto model = log.state.servable(log.state.find_servable("m"));
    log.put(grant_model{
        model->id, model->current, engine->id, fresh, engine->held});
    return log;
}

std::vector<std::byte> from_hex(std::string_view text)
{
    std::vector<std::byte> bytes;
    for (std::size_t at = 0; at + 1 < text.size(); at += 2)
        bytes.push_back(static_cast<std::byte>(
            std::stoul(std::string(text.substr(at, 2)), nullptr, 16)));
    return bytes;
}

} // namespace

Test(snapshot, of_the_earlier_format_is_read)
{
    const auto bytes = from_hex(snapshot_format_1);
    checkpoint whole{log_offset(7), snapshot_format_1_hash, bytes};
    const auto state = restore_checkpoint(whole);
    cr_assert(state);
    const claim_key answered{1, 3};
    cr_assert(state->claim({1, 2})->outcome == claim_outcome::open);
    cr_assert(state->claim({1, 2})->session == session_id(1));
    cr_assert(state->claim(answered)->outcome == claim_outcome::answered);
    cr_assert_eq(state->claim(answered)->status, 201);
    cr_assert_eq(state->claim(answered)->body, "body");
    cr_assert_eq(state->claim(answered)->content, 0);
    cr_assert(state->claim({9, 4})->outcome == claim_outcome::may_have_run);

    const auto again = fleet_state::restore(state->snapshot());
    cr_assert(again);
    cr_assert_eq(again->hash(), state->hash());
    ++whole.state_hash;
    cr_assert(!restore_checkpoint(whole));
}

Test(snapshot, comes_back_as_it_was)
{
    const fold_log log = full_log();
    const auto bytes = log.state.snapshot();
    const auto again = fleet_state::restore(bytes);
    cr_assert(again);
    cr_assert(again->folded() == log.at);
    cr_assert_eq(again->hash(), log.state.hash());
    cr_assert(again->snapshot() == bytes);
    const engine_id engine = again->find_engine("e");
    cr_assert(again->order_may_be_in_flight(engine));
    cr_assert_eq(again->engine(engine)->reserved_mib, 250);
    cr_assert_eq(again->standing_grant(engine)->memory_mib, 100);
    std::size_t granted = 0;
    again->for_each_granted_model(
        [&granted](const granted_model_view&)
        {
            ++granted;
        });
    cr_assert_eq(granted, 1);
    cr_assert_eq(again->claim(claim_key{1, 3})->body, "body");
    cr_assert_eq(again->claim(claim_key{1, 3})->content, 77);
    cr_assert_eq(again->recorded_crashes(fingerprint(5)), 1);
    cr_assert(again->entity_revision(entity_kind::caller, "c2"));
    cr_assert(!again->entity(entity_kind::caller, "c2"));
}

Test(snapshot, keeps_every_field_of_replicas_and_sessions)
{
    fold_log log = full_log();
    log.now += 12345;
    log.put(log.decision("m", log.join(4)));
    const auto again = fleet_state::restore(log.state.snapshot());
    cr_assert(again);
    cr_assert_eq(again->log_time(), log.now);
    log.state.for_each_replica(
        [&again](const replica_view& was)
        {
            const auto is = again->replica(was.id);
            cr_assert(is);
            cr_assert(is->servable == was.servable);
            cr_assert(is->engine == was.engine);
            cr_assert(is->base == was.base);
            cr_assert(is->state == was.state);
            cr_assert(is->urgency == was.urgency);
            cr_assert_eq(is->memory_mib, was.memory_mib);
            cr_assert(is->servable_revision == was.servable_revision);
            cr_assert_eq(is->holds_slot, was.holds_slot);
            cr_assert_eq(is->slot_not_before, was.slot_not_before);
            cr_assert(is->last_change == was.last_change);
        });
    log.state.for_each_session(
        [&again](const session_view& was)
        {
            const auto is = again->session(was.id);
            cr_assert(is);
            cr_assert(is->author == was.author);
            cr_assert_eq(is->incarnation, was.incarnation);
            cr_assert_eq(is->name, was.name);
            cr_assert(is->last_renewal == was.last_renewal);
            cr_assert_eq(is->ended, was.ended);
        });
}

Test(snapshot, remembers_which_records_were_folded)
{
    fold_log log = full_log();
    auto again = fleet_state::restore(log.state.snapshot());
    log_offset at = log.at;
    for (const record& value : log.records)
    {
        ++at.value;
        cr_assert(again->apply(at, value).status == fold_status::duplicate);
    }
    cr_assert_eq(again->hash(), log.state.hash());
}

Test(snapshot, any_damage_is_refused)
{
    const auto bytes = full_log().state.snapshot();
    // Magic, format, hash, length and content; not the offset, at 7 to 14.
    for (std::size_t at = 0; at < bytes.size(); ++at)
    {
        if (at >= 7 && at < 15)
            continue;
        auto damaged = bytes;
        damaged[at] ^= std::byte{1};
        cr_assert(!fleet_state::restore(damaged));
    }
    for (std::size_t size = 0; size < bytes.size(); ++size)
        cr_assert(!fleet_state::restore(std::span(bytes).first(size)));
}

Test(snapshot, checkpoints_and_skipped_entries_leave_the_hash)
{
    fold_log log = full_log();
    const auto hash = log.state.hash();
    log.now += 5000;
    cr_assert(accepted(log.put(checkpoint_chunk{log.at, hash, 0, 1, {}})));
    cr_assert(log.state.folded() == log.at);
    cr_assert_eq(log.state.hash(), hash);
    ++log.at.value;
    log.state.skip(log.at);
    cr_assert(log.state.folded() == log.at);
    cr_assert_eq(log.state.hash(), hash);
    cr_assert(log.state.changes().empty());
}

Test(snapshot, keeps_the_strategy_that_is_named)
{
    fold_log log = full_log();
    policy_spec policy;
    policy.idle_weight = 20;
    log.put_policy(policy);
    const auto before = log.state.snapshot();
    const auto unnamed = fleet_state::restore(before);
    cr_assert(unnamed);
    cr_assert(unnamed->policy().strategy == placement_kind::unset);
    policy.strategy = placement_kind::gap_cost_preload;
    log.put_policy(policy);
    const auto bytes = log.state.snapshot();
    cr_assert_eq(bytes.size(), before.size());
    cr_assert_neq(log.state.hash(), unnamed->hash());
    const auto again = fleet_state::restore(bytes);
    cr_assert(again);
    cr_assert(again->policy() == policy);
    cr_assert_eq(again->hash(), log.state.hash());
}
