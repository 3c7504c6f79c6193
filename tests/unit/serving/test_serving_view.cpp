#include "core/serving/servable_key.hpp"
#include "serving_fixture.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

serving_table_ptr table_of(const serving_view& view, instant now)
{
    return view.make_table(true, now);
}

std::size_t
engine_count(const serving_view& view, std::string_view model, instant now)
{
    const auto* entry =
        table_of(view, now)->find_servable(servable_key("llm", model));
    cr_assert_not_null(entry);
    return entry->ready.size();
}

engine_residency
make_report(std::string engine, std::uint64_t tenure, std::uint64_t revision)
{
    engine_residency report;
    report.engine = std::move(engine);
    report.tenure = tenure;
    report.revision = revision;
    return report;
}

serving_view make_view()
{
    serving_view view{serving_view::options()};
    view.deployment_read(make_deployment(1));
    return view;
}

} // namespace

Test(serving_view, there_is_no_table_before_a_configuration)
{
    serving_view view{serving_view::options()};
    cr_assert_null(table_of(view, at(0s)));
}

Test(serving_view, an_older_configuration_changes_nothing)
{
    serving_view view = make_view();
    cr_assert(view.deployment_read(make_deployment(5)));
    cr_assert_not(view.deployment_read(make_deployment(5)));
    cr_assert_not(view.deployment_read(make_deployment(4)));
    cr_assert_eq(view.config()->version, 5);
}

Test(serving_view, a_model_runs_where_it_is_resident)
{
    serving_view view = make_view();
    view.entry_read(make_engine("e1", "m1"));
    view.entry_read(make_engine("e22", "m2"));
    cr_assert_eq(engine_count(view, "m1", at(0s)), 1);
    cr_assert_eq(engine_count(view, "m2", at(0s)), 1);
    cr_assert_eq(engine_count(view, "m1/a1", at(0s)), 0);
    cr_assert_null(table_of(view, at(0s))->find_servable("llm/unknown"));
}

/// Messages from other routers omit the weights on an engine's disk. A router
/// that becomes the owner needs them to load from disk.
Test(serving_view, an_entry_without_copies_keeps_the_known_copies)
{
    serving_view view = make_view();
    server_entry entry = make_engine("e1", "m1");
    entry.holdings.on_disk = {"m1", "m2"};
    view.entry_read(entry);
    entry.holdings = {{{"m2", {}}}, {}, {}, false};
    cr_assert(view.entry_read(entry));
    cr_assert_not(view.entry_read(entry));
    cr_assert_eq(engine_count(view, "m2", at(0s)), 1);
    const engine_holdings& kept =
        view.servers().find("e1")->second.entry.holdings;
    cr_assert_eq(kept.on_disk.size(), 2);
    entry.born_ms = 7;
    cr_assert(view.entry_read(entry));
    cr_assert(view.servers().find("e1")->second.entry.holdings.on_disk.empty());
}

Test(serving_view, a_server_of_an_unknown_service_is_not_used)
{
    serving_view view = make_view();
    server_entry entry = make_plain("p1");
    entry.service = "unheard";
    view.entry_read(entry);
    cr_assert(table_of(view, at(0s))->find_service("app")->backends.empty());
    cr_assert_null(table_of(view, at(0s))->find_service("unheard"));
}

Test(serving_view, a_leaving_server_gets_no_new_requests)
{
    serving_view view = make_view();
    server_entry entry = make_plain("p1");
    view.entry_read(entry);
    cr_assert_eq(
        table_of(view, at(0s))->find_service("app")->backends.size(), 1);
    entry.leaving = true;
    cr_assert(view.entry_read(entry));
    cr_assert(table_of(view, at(1s))->find_service("app")->backends.empty());
}

Test(serving_view, an_entry_that_expired_during_a_registry_outage_is_kept)
{
    serving_view view = make_view();
    view.entry_read(make_plain("p1"));
    view.registry_back(at(10s));
    cr_assert_not(view.entry_removed("p1", at(10s)));
    cr_assert_eq(
        table_of(view, at(11s))->find_service("app")->backends.size(), 1);
    cr_assert(view.tick(at(12s + 300ms)));
    cr_assert(
        table_of(view, at(12s + 300ms))->find_service("app")->backends.empty());
}

Test(serving_view, a_refuted_outage_keeps_no_entry)
{
    serving_view view = make_view();
    view.entry_read(make_plain("p1"));
    view.registry_back(at(10s));
    cr_assert_not(view.entry_removed("p1", at(10s)));
    cr_assert(view.registry_was_not_out());
    cr_assert(view.servers().empty());
}

Test(serving_view, an_entry_that_registers_again_in_time_stays)
{
    serving_view view = make_view();
    view.entry_read(make_plain("p1"));
    view.registry_back(at(10s));
    view.entry_removed("p1", at(10s));
    view.entry_read(make_plain("p1"));
    cr_assert_not(view.tick(at(13s)));
    cr_assert_eq(
        table_of(view, at(13s))->find_service("app")->backends.size(), 1);
}

Test(serving_view, without_an_outage_a_removed_entry_is_gone_at_once)
{
    serving_view view = make_view();
    view.entry_read(make_plain("p1"));
    cr_assert(view.entry_removed("p1", at(5s)));
    cr_assert(view.servers().empty());
}

Test(serving_view, a_listing_without_a_server_removes_it)
{
    serving_view view = make_view();
    view.entry_read(make_plain("p1"));
    cr_assert(view.entries_listed({make_engine("e1", "m1")}, at(1s)));
    cr_assert_not(view.servers().contains("p1"));
    cr_assert(view.servers().contains("e1"));
}

Test(serving_view, a_restarted_server_is_another_run)
{
    serving_view view = make_view();
    server_entry entry = make_engine("e1", "m1");
    entry.born_ms = 100;
    view.entry_read(entry);
    const replica_id first = view.servers().at("e1").run;
    entry.born_ms = 200;
    view.entry_read(entry);
    cr_assert_neq(view.servers().at("e1").run, first);
    cr_assert_eq(view.servers().at("e1").engine, engine_id(1));
    entry.born_ms = 100;
    cr_assert_not(view.entry_read(entry), "a late entry of an older run");
    cr_assert_eq(view.servers().at("e1").entry.born_ms, 200);
}

Test(serving_view, the_owners_report_precedes_the_entry)
{
    serving_view view = make_view();
    view.entry_read(make_engine("e1", "m1"));
    engine_residency report = make_report("e1", 7, 1);
    report.resident = {{"m2", {}}};
    cr_assert(view.update_residency(report, at(1s)));
    cr_assert_eq(engine_count(view, "m1", at(1s)), 0);
    cr_assert_eq(engine_count(view, "m2", at(1s)), 1);
}

Test(serving_view, reports_of_an_older_revision_or_owner_are_ignored)
{
    serving_view view = make_view();
    view.entry_read(make_engine("e1", "m1"));
    engine_residency report = make_report("e1", 7, 5);
    report.resident = {{"m2", {}}};
    view.update_residency(report, at(1s));
    cr_assert_not(view.update_residency(make_report("e1", 7, 4), at(1s)));
    cr_assert_not(view.update_residency(make_report("e1", 6, 9), at(1s)));
    cr_assert_eq(engine_count(view, "m2", at(1s)), 1);
    cr_assert(view.update_residency(make_report("e1", 8, 1), at(1s)));
    cr_assert_eq(engine_count(view, "m2", at(1s)), 0);
}

Test(serving_view, a_report_on_another_run_of_the_engine_is_ignored)
{
    serving_view view = make_view();
    view.entry_read(make_engine("e1", "m1"));
    engine_residency report = make_report("e1", 7, 1);
    report.born_ms = 55;
    cr_assert_not(view.update_residency(report, at(1s)));
    cr_assert_eq(engine_count(view, "m1", at(1s)), 1);
}

Test(serving_view, entries_apply_again_when_the_owner_stops_reporting)
{
    serving_view view = make_view();
    view.entry_read(make_engine("e1", "m1"));
    view.update_residency(make_report("e1", 7, 1), at(1s));
    cr_assert_eq(engine_count(view, "m1", at(2s)), 0);
    cr_assert(view.tick(at(5s + 1ms)));
    cr_assert_eq(engine_count(view, "m1", at(5s + 1ms)), 1);
}

/// The owner reports a load shortly before it finishes.
Test(serving_view, a_refusal_of_a_just_reported_model_expires_soon)
{
    serving_view view = make_view();
    view.entry_read(make_engine("e1", "m2"));
    engine_residency report = make_report("e1", 7, 1);
    report.resident = {{"m1", {}}};
    view.update_residency(report, at(1s));
    cr_assert(view.mark_refused("e1", servable_key("llm", "m1"), at(1s)));
    cr_assert_eq(engine_count(view, "m1", at(1s)), 0);
    cr_assert(view.tick(at(1s + 150ms)));
    cr_assert_eq(engine_count(view, "m1", at(1s + 150ms)), 1);
}

/// Guards against requests for rare models that were sent three times within
/// half a second to an engine that had unloaded the model, and then refused.
Test(serving_view, a_refusal_due_to_outdated_data_lasts_longer)
{
    serving_view view = make_view();
    view.entry_read(make_engine("e1", "m1"));
    engine_residency report = make_report("e2", 7, 1);
    report.resident = {{"m1", {}}};
    view.entry_read(make_engine("e2", "m2"));
    view.update_residency(report, at(1s));
    for (const char* engine : {"e1", "e2"})
        view.mark_refused(engine, servable_key("llm", "m1"), at(3s));
    view.tick(at(3s + 900ms));
    cr_assert_eq(engine_count(view, "m1", at(3s + 900ms)), 0);
    cr_assert(view.tick(at(4s)));
    cr_assert_eq(engine_count(view, "m1", at(4s)), 2);
}

Test(serving_view, an_entry_with_other_models_ends_a_refusal)
{
    serving_view view = make_view();
    view.entry_read(make_engine("e1", "m1"));
    view.mark_refused("e1", servable_key("llm", "m1"), at(1s));
    server_entry entry = make_engine("e1", "m1");
    entry.holdings.resident.push_back({"m2", {}});
    view.entry_read(entry);
    cr_assert_eq(engine_count(view, "m1", at(1s + 10ms)), 1);
}

Test(serving_view, a_newer_report_ends_a_refusal)
{
    serving_view view = make_view();
    view.entry_read(make_engine("e1", "m1"));
    view.mark_refused("e1", servable_key("llm", "m1"), at(1s));
    engine_residency report = make_report("e1", 7, 1);
    report.resident = {{"m1", {"a2"}}};
    cr_assert(view.update_residency(report, at(1s + 10ms)));
    cr_assert_eq(engine_count(view, "m1", at(1s + 10ms)), 1);
    cr_assert_eq(engine_count(view, "m1/a2", at(1s + 10ms)), 1);
}

/// Its orders and requests would be refused, as the server there has another
/// id.
Test(serving_view, a_superseded_run_at_the_same_address_is_not_used)
{
    serving_view view = make_view();
    server_entry old = make_engine("e1", "m1");
    old.registry_revision = 100;
    server_entry next = make_engine("e2", "m2");
    next.address = old.address;
    next.registry_revision = 103;
    view.entry_read(next);
    cr_assert(view.entry_read(old));
    cr_assert(view.servers().at("e1").superseded);
    cr_assert_eq(engine_count(view, "m1", at(1s)), 0);
    cr_assert_eq(engine_count(view, "m2", at(1s)), 1);
    const auto* there = table_of(view, at(1s))->find_server(old.address);
    cr_assert_eq(there->instance, "e2");
    view.entry_removed("e2", at(2s));
    cr_assert_not(view.servers().at("e1").superseded);
}

/// A slow paged listing can return outdated entries.
Test(serving_view, an_older_entry_of_a_server_changes_nothing)
{
    serving_view view = make_view();
    server_entry entry = make_engine("e1", "m1");
    entry.registry_revision = 20;
    entry.leaving = true;
    view.entry_read(entry);
    entry.registry_revision = 10;
    entry.leaving = false;
    cr_assert_not(view.entry_read(entry));
    cr_assert(view.servers().at("e1").entry.leaving);
}

Test(serving_view, the_run_with_the_highest_revision_is_used)
{
    serving_view view = make_view();
    server_entry first = make_engine("e1", "m1");
    first.registry_revision = 100;
    server_entry second = make_engine("e2", "m2");
    second.address = first.address;
    second.registry_revision = 90;
    view.entry_read(first);
    view.entry_read(second);
    cr_assert(view.servers().at("e2").superseded);
    second.registry_revision = 110; // otherwise unchanged
    cr_assert(view.entry_read(second));
    cr_assert_not(view.servers().at("e2").superseded);
    cr_assert(view.servers().at("e1").superseded);
}

/// Otherwise each request sent there waits for the connect timeout.
Test(serving_view, an_unreachable_engine_gets_no_requests_for_a_while)
{
    serving_view view = make_view();
    view.entry_read(make_engine("e1", "m1"));
    cr_assert_eq(*view.mark_unreachable("e1", at(1s)), at(1s + 500ms));
    cr_assert(!view.mark_unreachable("e1", at(1s + 10ms)));
    view.tick(at(1s + 499ms));
    cr_assert_eq(engine_count(view, "m1", at(1s + 499ms)), 0);
    cr_assert(view.tick(at(1s + 500ms)));
    cr_assert_eq(engine_count(view, "m1", at(1s + 500ms)), 1);
}

Test(serving_view, the_back_off_of_an_unreachable_engine_doubles)
{
    serving_view view = make_view();
    view.entry_read(make_engine("e1", "m1"));
    instant now = at(1s);
    for (const duration expected : {500ms, 1000ms, 2000ms, 4000ms, 4000ms})
    {
        cr_assert_eq(*view.mark_unreachable("e1", now) - now, expected);
        now += expected;
        view.tick(now);
    }
    now += 10s;
    cr_assert_eq(*view.mark_unreachable("e1", now) - now, 500ms);
}

/// Requests of a plain service may have no alternative server, so they still
/// try this one.
Test(serving_view, an_unreachable_plain_server_stays_listed)
{
    serving_view view = make_view();
    view.entry_read(make_plain("s1"));
    cr_assert(!view.mark_unreachable("s1", at(1s)));
    cr_assert_eq(
        table_of(view, at(1s))->find_service("app")->backends.size(), 1);
}

Test(serving_table, finds_the_server_at_an_address)
{
    serving_view view = make_view();
    view.entry_read(make_plain("p1"));
    const serving_table_ptr table = table_of(view, at(0s));
    cr_assert_eq(table->find_server("10.0.1.1:80")->instance, "p1");
    cr_assert_null(table->find_server("10.0.1.2:80"));
    cr_assert(table->has_engines("llm"));
    cr_assert_not(table->has_engines("app"));
}

/// Applies to a model that no engine has, and to its adapters.
Test(serving_view, expected_load_times_expire_when_the_owner_stops_sending_them)
{
    serving_view view = make_view();
    const std::string model = servable_key("llm", "m1");
    cr_assert(view.update_expected_load(model, at(7s), at(1s)));
    cr_assert_not(view.update_expected_load(model, at(7s + 20ms), at(1s)));
    cr_assert(*table_of(view, at(1s))->expected_ready(model) == at(7s));
    cr_assert(*table_of(view, at(1s))->expected_ready(model + "/a1") == at(7s));
    cr_assert_not(table_of(view, at(1s))
                      ->expected_ready(servable_key("llm", "m2"))
                      .has_value());
    cr_assert_not(view.tick(at(1s + 900ms)));
    cr_assert(view.tick(at(2s)));
    cr_assert_not(table_of(view, at(2s))->expected_ready(model).has_value());
}

/// The registry can't be read, or its entry is older than the statement.
Test(serving_view, a_server_that_stated_it_leaves_gets_no_requests)
{
    serving_view view = make_view();
    const server_entry entry = make_engine("e1", "m1");
    view.entry_read(entry);
    const server_life life = life_of("e1", entry.born_ms);
    cr_assert(view.set_leaving(life, true));
    cr_assert_eq(engine_count(view, "m1", at(0s)), 0);
    cr_assert_not(view.set_leaving(life, true));
    server_entry later = entry;
    later.registry_revision = 2;
    later.slots = 12;
    view.entry_read(later);
    view.entries_listed({later}, at(1s));
    cr_assert_eq(engine_count(view, "m1", at(1s)), 0);
    cr_assert(view.set_leaving(life, false));
    cr_assert_eq(engine_count(view, "m1", at(1s)), 1);
}

Test(serving_view, a_restarted_server_does_not_leave)
{
    serving_view view = make_view();
    server_entry entry = make_engine("e1", "m1");
    view.entry_read(entry);
    view.set_leaving(life_of("e1", entry.born_ms), true);
    entry.born_ms += 1;
    entry.registry_revision = 2;
    view.entry_read(entry);
    cr_assert_eq(engine_count(view, "m1", at(0s)), 1);
}

Test(serving_view, a_withdrawn_statement_leaves_the_registry_entry_in_force)
{
    serving_view view = make_view();
    server_entry entry = make_engine("e1", "m1");
    const server_life life = life_of("e1", entry.born_ms);
    view.set_leaving(life, true);
    entry.leaving = true;
    view.entry_read(entry);
    cr_assert_not(view.set_leaving(life, false));
    cr_assert_eq(engine_count(view, "m1", at(0s)), 0);
}
