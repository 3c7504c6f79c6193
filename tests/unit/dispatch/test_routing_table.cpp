#include "core/routing/sharded_table.hpp"
#include "tests/unit/state/fold_log.hpp"

#include <roseworks/routing_table_builder.hpp>

#include <map>
#include <random>

#include <criterion/criterion.h>

using namespace roseworks;

namespace
{

/// A fleet with one model, one adapter and one engine, and the table builder
/// that follows its state.
struct routed_fleet : test::fold_log
{
    routed_fleet()
    {
        this->put_fleet();
        this->router = this->join(2);
        this->held = this->lease(this->router);
        this->builder.rebuild(this->state);
    }

    /// Changes the state of a replica and updates the table.
    void move(replica_id id, replica_state to)
    {
        cr_assert(
            test::accepted(this->report(id, to, this->router, this->held)));
        this->builder.update(this->state);
    }

    replica_id ready(const std::string& servable, replica_id base = {})
    {
        const replica_id id = this->decide(servable, this->router, base);
        this->builder.update(this->state);
        this->move(id, replica_state::ready);
        return id;
    }

    void put_and_update(
        entity_kind kind, const std::string& name, const entity_spec& spec)
    {
        cr_assert(test::accepted(this->put_entity(kind, name, spec)));
        this->builder.update(this->state);
    }

    std::size_t routes(const std::string& name)
    {
        return this->builder.table()->find_servable(name)->ready.size();
    }

    routing_table_builder builder;
    session_id router;
    fence held;
};

servable_routes make_entry(std::uint32_t id, const std::string& name)
{
    servable_routes entry;
    entry.id = servable_id(id);
    entry.name = name;
    return entry;
}

} // namespace

Test(routing_table, names_outlive_the_state_that_owns_them)
{
    routing_table_ptr table;
    {
        routed_fleet fleet;
        fleet.builder.rebuild(fleet.state);
        table = fleet.builder.table();
        const servable_routes* entry = table->find_servable("m");
        cr_assert_not_null(entry);
        cr_expect(entry->name.is_borrowed());
        cr_expect(fleet.state.names_owner().use_count() > 2);
    }
    cr_assert_not_null(table->find_servable("m"));
    cr_expect(table->find_servable("m")->name == "m");
    const servable_routes copy = *table->find_servable("m");
    cr_expect(copy.name.is_borrowed());
}

Test(routing_table, an_entry_that_is_not_built_from_a_state_owns_its_name)
{
    servable_routes entry =
        make_entry(1, std::string("a-name-") + "of-its-own");
    const servable_routes copy = entry;
    entry = make_entry(2, "b");
    cr_expect(copy.name == std::string("a-name-of-its-own"));
    cr_expect_not(copy.name.is_borrowed());
}

Test(routing_table, routes_follow_the_replica_states)
{
    routed_fleet fleet;
    const auto before = fleet.builder.table();
    cr_assert(before == fleet.builder.table(), "nothing changed");
    cr_assert_eq(fleet.routes("m"), 0);
    const replica_id base = fleet.ready("m");
    cr_assert_eq(fleet.routes("m"), 1);
    cr_assert_eq(before->find_servable("m")->ready.size(), 0, "immutable");
    const route there = fleet.builder.table()->find_servable("m")->ready[0];
    cr_assert(there.replica == base);
    cr_assert_eq(there.address, "10.0.0.1:7000");
    const replica_id adapter = fleet.ready("a", base);
    cr_assert_eq(fleet.routes("a"), 1);
    fleet.move(adapter, replica_state::draining);
    cr_assert_eq(fleet.routes("a"), 0);
    fleet.move(adapter, replica_state::unloading);
    fleet.move(adapter, replica_state::gone);
    cr_assert_eq(fleet.routes("a"), 0);
    cr_assert_eq(fleet.routes("m"), 1);
}

Test(routing_table, draining_engines_have_no_routes)
{
    routed_fleet fleet;
    fleet.ready("m");
    engine_spec draining = test::fold_log::engine(1);
    draining.draining = true;
    fleet.put_and_update(entity_kind::engine, "e", draining);
    cr_assert_eq(fleet.routes("m"), 0);
    fleet.put_and_update(entity_kind::engine, "e", test::fold_log::engine(1));
    cr_assert_eq(fleet.routes("m"), 1);
}

Test(routing_table, adapters_use_the_stream_limit_of_their_base)
{
    routed_fleet fleet;
    model_spec wider = test::fold_log::model();
    wider.max_streams = 21;
    fleet.put_and_update(entity_kind::model, "m", wider);
    const auto table = fleet.builder.table();
    cr_assert_eq(table->find_servable("m")->max_streams, 21);
    cr_assert_eq(table->find_servable("a")->max_streams, 21);
    cr_assert(table->find_servable("a")->is_adapter);
}

Test(routing_table, services_and_callers_are_added_and_removed)
{
    routed_fleet fleet;
    service_spec service;
    service.backends = {{"10.0.0.9:80", "vm9", "odd"}};
    service.repeatable = true;
    fleet.put_and_update(entity_kind::service, "s", service);
    caller_spec caller;
    caller.weight = 9;
    fleet.put_and_update(entity_kind::caller, "c", caller);
    auto table = fleet.builder.table();
    cr_assert(table->find_service("s")->repeatable);
    cr_assert_eq(table->find_caller("c")->weight, 9);
    cr_assert(table->servable_names() == std::vector<std::string>({"a", "m"}));

    cr_assert(test::accepted(fleet.put_changes(
        {fleet.removal(entity_kind::service, "s"),
         fleet.removal(entity_kind::caller, "c"),
         fleet.removal(entity_kind::adapter, "a")})));
    fleet.builder.update(fleet.state);
    table = fleet.builder.table();
    cr_assert_null(table->find_service("s"));
    cr_assert_null(table->find_caller("c"));
    cr_assert_null(table->find_servable("a"));
    cr_assert_not_null(table->find_servable("m"));
}

Test(routing_table, requests_become_suspect_then_blocked_until_expiry)
{
    routed_fleet fleet;
    constexpr fingerprint request(5);
    const engine_id engine = fleet.state.find_engine("e");
    const auto crash = [&]
    {
        fleet.put(request_suspect{request, engine, fleet.router});
        fleet.builder.update(fleet.state);
        return fleet.builder.table();
    };
    cr_assert(crash()->is_suspect(request));
    cr_assert(not fleet.builder.table()->is_blocked(request));
    cr_assert(crash()->is_blocked(request));
    for (int i = 0; i < 3; ++i)
    {
        fleet.pass(3'000'000);
        fleet.builder.update(fleet.state);
    }
    cr_assert_eq(
        fleet.builder.table()->is_blocked(request),
        fleet.state.blocked(request));
    cr_assert(not fleet.builder.table()->is_blocked(request));
}

Test(routing_table, a_rebuilt_table_equals_the_updated_one)
{
    routed_fleet fleet;
    const replica_id base = fleet.ready("m");
    fleet.ready("a", base);
    routing_table_builder other;
    other.rebuild(fleet.state);
    for (const char* name : {"m", "a"})
    {
        const auto* kept = fleet.builder.table()->find_servable(name);
        const auto* made = other.table()->find_servable(name);
        cr_assert(kept->ready[0].replica == made->ready[0].replica);
        cr_assert_eq(kept->max_streams, made->max_streams);
        cr_assert(kept->id == made->id);
    }
    fleet.builder.set_log_available(false);
    cr_assert(not fleet.builder.table()->log_available());
    fleet.builder.rebuild(fleet.state);
    cr_assert(not fleet.builder.table()->log_available(), "kept by a rebuild");
}

Test(routing_table, a_change_copies_only_one_leaf)
{
    detail::sharded_table table;
    for (std::uint32_t id = 1; id <= 10'000; ++id)
    {
        table.put(make_entry(id, "adapter" + std::to_string(id)));
    }
    const auto before = table.publish();
    table.put(make_entry(5000, "adapter5000"));
    const auto after = table.publish();
    std::size_t copied = 0;
    for (std::uint32_t id = 1; id <= 10'000; ++id)
    {
        const servable_id one(id);
        copied +=
            before->find_servable(one) != after->find_servable(one) ? 1 : 0;
    }
    cr_assert_eq(copied, detail::servable_tree::fan_out);
}

Test(routing_table, equals_a_std_map_under_random_edits)
{
    detail::sharded_table table;
    std::map<std::uint32_t, std::string> plain;
    std::mt19937_64 random(11);
    for (int i = 0; i < 20'000; ++i)
    {
        const auto id = static_cast<std::uint32_t>(1 + random() % 3000);
        if (random() % 3 == 0)
        {
            table.erase(servable_id(id));
            plain.erase(id);
        }
        else
        {
            plain[id] = "n" + std::to_string(id + 10'000 * (random() % 2));
            table.put(make_entry(id, plain[id]));
        }
        if (random() % 50 == 0)
        {
            table.publish();
        }
    }
    const auto last = table.publish();
    cr_assert_eq(last->servable_names().size(), plain.size());
    for (std::uint32_t id = 1; id <= 3000; ++id)
    {
        const auto wanted = plain.find(id);
        const auto* entry = last->find_servable(servable_id(id));
        cr_assert_eq(entry != nullptr, wanted != plain.end());
        if (entry != nullptr)
        {
            cr_assert_eq(entry->name, wanted->second);
            cr_assert(last->find_servable(entry->name) == entry);
        }
    }
}

Test(routing_table, a_rebuild_from_a_state_includes_its_blocks)
{
    routed_fleet fleet;
    constexpr fingerprint blocked(5);
    constexpr fingerprint suspect(6);
    const engine_id engine = fleet.state.find_engine("e");
    fleet.put(request_suspect{blocked, engine, fleet.router});
    fleet.put(request_suspect{blocked, engine, fleet.router});
    fleet.put(request_suspect{suspect, engine, fleet.router});
    routing_table_builder fresh;
    fresh.rebuild(fleet.state);
    cr_assert(fresh.table()->is_blocked(blocked));
    cr_assert(fresh.table()->is_suspect(suspect));
    cr_assert(not fresh.table()->is_blocked(suspect));
}

Test(routing_table, a_granted_model_is_marked_and_routed_when_loaded)
{
    routed_fleet fleet;
    const servable_id model = fleet.state.find_servable("m");
    grant_hint hint{model, replica_id(900), fleet.state.find_engine("e")};
    fleet.builder.set_grants(fleet.state, {&hint, 1});
    cr_assert(fleet.builder.table()->find_servable("m")->granted);
    cr_assert_eq(fleet.routes("m"), 0);
    hint.loaded = true;
    fleet.builder.set_grants(fleet.state, {&hint, 1});
    const route there = fleet.builder.table()->find_servable("m")->ready.at(0);
    cr_assert(there.replica == hint.replica);
    cr_assert_eq(there.address, "10.0.0.1:7000");
    fleet.builder.rebuild(fleet.state);
    cr_assert_eq(fleet.routes("m"), 1, "kept by a rebuild");
    fleet.builder.set_grants(fleet.state, {});
    cr_assert_eq(fleet.routes("m"), 0);
    cr_assert_not(fleet.builder.table()->find_servable("m")->granted);
}
