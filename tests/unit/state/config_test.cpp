#include "fold_log.hpp"

#include <roseworks/codec.hpp>

#include <criterion/criterion.h>

namespace
{

using namespace roseworks;
using namespace roseworks::test;

bool names(const fold_result& result, std::string_view text)
{
    return result.detail.find(text) != std::string::npos;
}

/// Expect a spec to be refused as invalid, with a detail naming the field.
void refuse(entity_kind kind, entity_spec spec, std::string_view field)
{
    fold_log log;
    log.put_entity(entity_kind::model, "m", fold_log::model());
    const std::string name = kind == entity_kind::policy ? "policy" : "x1";
    const auto result = log.put_entity(kind, name, std::move(spec));
    cr_assert(rejected(result, reject_reason::invalid_spec));
    cr_assert(names(result, name + ": "), "%s", result.detail.c_str());
    cr_assert(names(result, field), "%s", result.detail.c_str());
    cr_assert(!log.state.entity_revision(kind, name));
}

} // namespace

Test(config, a_put_entity_can_be_read)
{
    fold_log log;
    log.put_fleet();
    const auto view = log.state.servable(log.state.find_servable("a"));
    cr_assert(view->is_adapter);
    cr_assert(view->base == log.state.find_servable("m"));
    cr_assert_eq(view->max_streams, fold_log::model().max_streams);
    cr_assert(
        *log.state.entity(entity_kind::adapter, "a") ==
        entity_spec(fold_log::adapter()));
    cr_assert(
        *log.state.entity(entity_kind::engine, "e") ==
        entity_spec(fold_log::engine(1)));
    cr_assert(!log.state.entity(entity_kind::model, "a"));
    cr_assert_eq(view->current.value, 2);
}

Test(config, the_loser_of_a_race_is_told_the_winner)
{
    fold_log log;
    log.put_fleet();
    auto late = log.change(entity_kind::model, "m", fold_log::model());
    cr_assert(
        accepted(log.put_entity(entity_kind::model, "m", fold_log::model())));
    const log_offset winner = log.at;
    const auto result = log.put_changes({late});
    cr_assert(rejected(result, reject_reason::revision_moved));
    cr_assert(result.winner == winner);
    cr_assert(
        log.state.entity_revision(entity_kind::model, "m").value ==
        winner.value);
}

Test(config, an_entity_is_made_once)
{
    fold_log log;
    auto change = log.change(entity_kind::model, "m", fold_log::model());
    cr_assert(accepted(log.put_changes({change})));
    cr_assert(
        rejected(log.put_changes({change}), reject_reason::revision_moved));
    auto removal = log.removal(entity_kind::engine, "none");
    cr_assert(
        rejected(log.put_changes({removal}), reject_reason::unknown_entity));
}

Test(config, all_or_nothing)
{
    fold_log log;
    engine_spec bad = fold_log::engine(1);
    bad.memory_mib = 0;
    const auto result = log.put_changes(
        {log.change(entity_kind::model, "m", fold_log::model()),
         log.change(entity_kind::engine, "e", bad)});
    cr_assert(rejected(result, reject_reason::invalid_spec));
    cr_assert(!log.state.find_servable("m"));
    cr_assert(log.state.changes().empty());
}

Test(config, specs_are_checked_by_field)
{
    auto model = fold_log::model();
    model.memory_mib = 0;
    refuse(entity_kind::model, model, "memory_mib");
    model = fold_log::model();
    model.min_replicas = 3;
    refuse(entity_kind::model, model, "min_replicas");
    model = fold_log::model();
    model.version.clear();
    refuse(entity_kind::model, model, "version");
    model = fold_log::model();
    model.max_streams = 0;
    refuse(entity_kind::model, model, "max_streams");
    auto adapter = fold_log::adapter();
    adapter.base = "nope";
    refuse(entity_kind::adapter, adapter, "base: there is no model `nope`");
    for (const char* address :
         {"",
          "host:1",
          "10.0.0.1",
          "10.0.0.1:",
          "10.0.0.1:0",
          "1.2.3:4",
          "10.0.0.1:70000",
          "[::1]",
          "[::g]:1",
          "10.0.0.1:1x"})
    {
        auto engine = fold_log::engine(1);
        engine.address = address;
        refuse(entity_kind::engine, engine, "address");
    }
    refuse(entity_kind::service, service_spec{}, "backends");
    refuse(entity_kind::caller, caller_spec{{}, 0, 0, 0}, "weight");
    policy_spec policy;
    policy.store_slots = 0;
    refuse(entity_kind::policy, policy, "store_slots");
    refuse(entity_kind::model, fold_log::adapter(), "spec");
}

Test(config, an_ipv6_address_is_an_address)
{
    fold_log log;
    auto engine = fold_log::engine(1);
    engine.address = "[fd00::1]:7000";
    cr_assert(accepted(log.put_entity(entity_kind::engine, "e", engine)));
}

Test(config, names_are_checked)
{
    fold_log log;
    for (const std::string& name :
         {std::string(), std::string("a b"), std::string(201, 'x')})
        cr_assert(rejected(
            log.put_entity(entity_kind::model, name, fold_log::model()),
            reject_reason::invalid_spec));
    cr_assert(rejected(
        log.put_entity(entity_kind::policy, "other", policy_spec()),
        reject_reason::invalid_spec));
    log.put_fleet();
    cr_assert(rejected(
        log.put_entity(entity_kind::adapter, "m", fold_log::adapter()),
        reject_reason::invalid_spec));
    cr_assert(rejected(
        log.put_entity(entity_kind::engine, "e2", fold_log::engine(1)),
        reject_reason::invalid_spec));
    auto twice = log.change(entity_kind::model, "n", fold_log::model());
    cr_assert(
        rejected(log.put_changes({twice, twice}), reject_reason::invalid_spec));
}

Test(config, an_adapter_and_its_base_go_together_in_any_order)
{
    fold_log log;
    cr_assert(accepted(log.put_changes(
        {log.change(entity_kind::adapter, "a", fold_log::adapter()),
         log.change(entity_kind::model, "m", fold_log::model())})));
    cr_assert(rejected(
        log.put_changes({log.removal(entity_kind::model, "m")}),
        reject_reason::entity_in_use));
    cr_assert(rejected(
        log.put_changes(
            {log.removal(entity_kind::model, "m"),
             log.change(entity_kind::adapter, "b", fold_log::adapter())}),
        reject_reason::entity_in_use));
    cr_assert(accepted(log.put_changes(
        {log.removal(entity_kind::model, "m"),
         log.removal(entity_kind::adapter, "a")})));
    cr_assert(!log.state.find_servable("m"));
    cr_assert(!log.state.find_servable("a"));
}

Test(config, what_replicas_need_is_not_taken_away)
{
    fold_log log;
    log.put_fleet();
    log.decide("m", log.join(2));
    auto shrunk = fold_log::engine(1);
    shrunk.memory_mib = 99;
    const auto result = log.put_entity(entity_kind::engine, "e", shrunk);
    cr_assert(rejected(result, reject_reason::invalid_spec));
    cr_assert(names(result, "engine e: memory_mib: 100"));
    cr_assert(rejected(
        log.put_entity(entity_kind::engine, "e", fold_log::engine(2)),
        reject_reason::entity_in_use));
    cr_assert(rejected(
        log.put_changes({log.removal(entity_kind::engine, "e")}),
        reject_reason::entity_in_use));
    const auto removal = log.put_changes(
        {log.removal(entity_kind::adapter, "a"),
         log.removal(entity_kind::model, "m")});
    cr_assert(rejected(removal, reject_reason::entity_in_use));
    cr_assert(names(removal, "max_replicas 0"));
    auto none = fold_log::model();
    none.max_replicas = 0;
    cr_assert(accepted(log.put_entity(entity_kind::model, "m", none)));
}

Test(config, a_removed_entity_comes_back_under_its_id)
{
    fold_log log;
    log.put_fleet();
    const engine_id before = log.state.find_engine("e");
    log.put_changes({log.removal(entity_kind::engine, "e")});
    cr_assert(!log.state.find_engine("e"));
    cr_assert(!log.state.engine(before));
    cr_assert(accepted(
        log.put_entity(entity_kind::engine, "e", fold_log::engine(3))));
    cr_assert(log.state.find_engine("e") == before);
}

Test(config, an_unread_schema_keeps_the_last_and_is_not_acted_on)
{
    fold_log log;
    log.put_fleet();
    const session_id session = log.join(2);
    for (const auto& [kind, name] :
         {std::pair(entity_kind::model, "m"),
          std::pair(entity_kind::engine, "e")})
    {
        entity_change change = log.removal(kind, name);
        change.schema = newest_entity_schema + 1;
        change.unread = {std::byte{1}};
        cr_assert(accepted(log.put_changes({change})));
        cr_assert(!log.state.entity(kind, name));
    }
    const auto model = log.state.servable(log.state.find_servable("m"));
    cr_assert(!model->readable);
    cr_assert_eq(model->memory_mib, 100);
    cr_assert(!log.state.engine(log.state.find_engine("e"))->readable);
    cr_assert(!accepted(log.put(log.decision("m", session))));
    cr_assert(rejected(
        log.put(lease_acquire{log.state.find_engine("e"), session, {}, {}}),
        reject_reason::engine_unusable));
    cr_assert(
        accepted(log.put_entity(entity_kind::model, "m", fold_log::model())));
    cr_assert(log.state.servable(log.state.find_servable("m"))->readable);
}
