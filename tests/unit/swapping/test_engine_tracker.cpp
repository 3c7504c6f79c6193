#include "swap_fixture.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

pending_order load_of(std::string model)
{
    pending_order order;
    order.model = std::move(model);
    return order;
}

pending_order unload_of(std::string model)
{
    pending_order order = load_of(std::move(model));
    order.action = engine_action::unload;
    return order;
}

} // namespace

Test(engine_tracker, a_load_is_done_after_its_expected_time)
{
    swap_fixture test(3);
    test.engine("e1", {}, {"m1"}, at(0s));
    test.engines.order_sent("e1", load_of("m1"), at(1s));
    cr_assert_not(test.engines.find("e1")->accepts_orders(at(1s)));
    test.engines.order_answered("e1", command_outcome::accepted, at(1s));
    cr_assert(test.engines.complete_due_orders(at(1s + 799ms)).empty());
    const auto done = test.engines.complete_due_orders(at(1s + 800ms));
    cr_assert_eq(done.size(), 1);
    cr_assert_eq(done[0].servable, "llm/m1");
    cr_assert_not_null(test.engines.find("e1")->find("m1"));
    cr_assert_eq(test.engines.find("e1")->orders_taken, 1);
    cr_assert(test.engines.find("e1")->accepts_orders(at(1s + 800ms)));
}

Test(engine_tracker, a_model_is_removed_when_its_unload_is_sent)
{
    swap_fixture test(3);
    test.engine("e1", {"m1"}, {}, at(0s));
    const auto before = test.engines.find("e1")->revision;
    test.engines.order_sent("e1", unload_of("m1"), at(1s));
    cr_assert_null(test.engines.find("e1")->find("m1"));
    cr_assert_gt(test.engines.find("e1")->revision, before);
}

Test(engine_tracker, a_rejected_unload_restores_the_model)
{
    for (const command_outcome how :
         {command_outcome::out_of_step, command_outcome::withheld})
    {
        swap_fixture test(3);
        test.engine("e1", {"m1"}, {}, at(0s));
        test.engines.order_sent("e1", unload_of("m1"), at(1s));
        cr_assert_not(test.engines.order_answered("e1", how, at(1s)));
        cr_assert_not_null(test.engines.find("e1")->find("m1"));
        cr_assert_eq(test.engines.find("e1")->orders_taken, 0);
        cr_assert_not(test.engines.find("e1")->accepts_orders(at(1s)));
        cr_assert(test.engines.find("e1")->accepts_orders(at(1s + 50ms)));
    }
}

/// An engine that disappears without notice remains in the registry for some
/// seconds. While it got one order after the other, its models were not loaded
/// elsewhere.
Test(
    engine_tracker,
    an_unreachable_engine_gets_no_orders_until_its_report_is_read)
{
    swap_fixture test(3);
    test.engine("e1", {"m1"}, {}, at(0s));
    test.engines.order_sent("e1", unload_of("m1"), at(1s));
    cr_assert(
        test.engines.order_answered("e1", command_outcome::not_sent, at(1s)));
    const engine_state* engine = test.engines.find("e1");
    cr_assert_not_null(engine->find("m1"));
    cr_assert_not(engine->reachable);
    cr_assert_not(engine->accepts_orders(at(10s)));
    test.report_state("e1", {"m1"}, {"m1"}, 0, at(11s));
    cr_assert(engine->reachable);
    cr_assert(engine->accepts_orders(at(11s)));
}

Test(engine_tracker, a_pending_load_on_an_unreachable_engine_is_dropped)
{
    swap_fixture test(3);
    test.engine("e1", {}, {"m1"}, at(0s));
    test.engines.order_sent("e1", load_of("m1"), at(1s));
    test.engines.order_answered("e1", command_outcome::accepted, at(1s));
    test.engines.mark_unreachable("e1");
    cr_assert(test.engines.complete_due_orders(at(3s)).empty());
    cr_assert_null(test.engines.find("e1")->find("m1"));
}

Test(engine_tracker, three_consecutive_orders_out_of_step_require_a_report)
{
    swap_fixture test(3);
    test.engine("e1", {}, {"m1"}, at(0s));
    for (const bool last : {false, false, true})
    {
        test.engines.order_sent("e1", load_of("m1"), at(1s));
        cr_assert_eq(
            test.engines.order_answered(
                "e1", command_outcome::out_of_step, at(1s)),
            last);
    }
    cr_assert_not(test.engines.find("e1")->accepts_orders(at(10s)));
}

Test(engine_tracker, an_order_that_failed_or_is_unknown_requires_a_report)
{
    for (const command_outcome how :
         {command_outcome::unknown,
          command_outcome::refused,
          command_outcome::wrong_server,
          command_outcome::fenced_off})
    {
        swap_fixture test(3);
        test.engine("e1", {}, {"m1"}, at(0s));
        test.engines.order_sent("e1", load_of("m1"), at(1s));
        cr_assert(test.engines.order_answered("e1", how, at(1s)));
        cr_assert_not(test.engines.find("e1")->accepts_orders(at(10s)));
        test.report_state("e1", {"m1"}, {"m1"}, 1, at(2s));
        cr_assert(test.engines.find("e1")->accepts_orders(at(2s)));
    }
}

Test(engine_tracker, the_report_of_a_busy_engine_is_ignored)
{
    swap_fixture test(3);
    test.engine("e1", {}, {"m1"}, at(0s));
    test.engines.mark_unconfirmed("e1");
    holdings_report report;
    report.busy = true;
    test.engines.apply_engine_report("e1", report, at(1s));
    cr_assert_not(test.engines.find("e1")->accepts_orders(at(2s)));
}

/// Guards against two owners that send orders to one engine alternately within
/// the lease.
Test(engine_tracker, an_engine_with_another_owners_orders_waits_for_the_lease)
{
    swap_fixture test(3);
    test.engine("e1", {}, {"m1"}, at(0s));
    test.engines.order_sent("e1", load_of("m1"), at(1s));
    test.engines.order_answered("e1", command_outcome::accepted, at(1s));
    test.engines.complete_due_orders(at(2s));
    test.engines.take_over(3s, false);
    test.report_state("e1", {"m2"}, {"m1"}, 3, at(2s + 500ms));
    cr_assert_not(test.engines.find("e1")->accepts_orders(at(3s + 999ms)));
    cr_assert(test.engines.find("e1")->accepts_orders(at(4s)));
}

/// An order that arrived just after it was sent, and the next one of the same
/// owner, were a little less than the lease apart at the engine.
Test(engine_tracker, the_lease_begins_when_an_order_was_answered)
{
    swap_fixture test(3);
    test.engine("e1", {}, {"m1"}, at(0s));
    test.engines.order_sent("e1", load_of("m1"), at(1s));
    test.engines.order_answered("e1", command_outcome::accepted, at(1s + 8ms));
    test.engines.complete_due_orders(at(2s));
    test.engines.take_over(3s, true);
    test.report_state("e1", {"m2"}, {"m1"}, 3, at(2s + 500ms));
    cr_assert_not(test.engines.find("e1")->accepts_orders(at(4s + 7ms)));
    cr_assert(test.engines.find("e1")->accepts_orders(at(4s + 8ms)));
}

Test(engine_tracker, an_engine_without_another_owners_orders_does_not_wait)
{
    swap_fixture test(3);
    test.engine("e1", {}, {"m1"}, at(0s));
    test.engines.order_sent("e1", load_of("m1"), at(1s));
    test.engines.order_answered("e1", command_outcome::accepted, at(1s));
    test.engines.complete_due_orders(at(2s));
    test.engines.take_over(3s, false);
    cr_assert_not(
        test.engines.find("e1")->accepts_orders(at(2s)),
        "its report has not been read yet");
    test.report_state("e1", {"m1"}, {"m1"}, 1, at(2s + 500ms));
    cr_assert(test.engines.find("e1")->accepts_orders(at(2s + 500ms)));
}

Test(engine_tracker, a_restarted_engine_requires_a_report)
{
    swap_fixture test(3);
    test.engine("e1", {"m1"}, {}, at(0s));
    server_entry entry = test.engines.find("e1")->entry;
    cr_assert_not(test.engines.update_entry(entry));
    entry.born_ms = 77;
    cr_assert(test.engines.update_entry(entry));
    cr_assert(test.engines.find("e1")->loaded_models.empty());
    cr_assert_not(test.engines.find("e1")->accepts_orders(at(2s)));
}

Test(engine_tracker, host_memory_keeps_the_most_recently_used_models)
{
    swap_fixture test(4);
    test.engine("e1", {}, {"m0", "m1", "m2"}, at(0s));
    instant now = at(1s);
    for (const char* model : {"m0", "m1", "m2"})
    {
        test.engines.order_sent("e1", load_of(model), now);
        test.engines.order_answered("e1", command_outcome::accepted, now);
        now += 1s;
        test.engines.complete_due_orders(now);
    }
    const engine_state* engine = test.engines.find("e1");
    cr_assert(engine->weight_source_of("m0") == weight_source::disk);
    cr_assert(engine->weight_source_of("m1") == weight_source::memory);
    cr_assert(engine->weight_source_of("m2") == weight_source::memory);
}

/// An engine with eight adapter slots was ordered to load a ninth adapter while
/// requests still used the one that was being unloaded.
Test(engine_tracker, an_adapter_in_use_keeps_its_slot_while_it_is_unloaded)
{
    swap_fixture test(3);
    test.engine("e1", {"m1"}, {}, at(0s));
    pending_order load = load_of("m1");
    load.adapter = "a1";
    test.engines.order_sent("e1", load, at(1s));
    test.engines.order_answered("e1", command_outcome::accepted, at(1s));
    test.engines.complete_due_orders(at(2s));
    cr_assert_eq(test.engines.find("e1")->adapter_count(), 1);
    pending_order unload = unload_of("m1");
    unload.adapter = "a1";
    test.engines.order_sent("e1", unload, at(3s));
    cr_assert(
        test.engines.order_answered("e1", command_outcome::accepted, at(3s)));
    cr_assert_eq(test.engines.find("e1")->adapter_count(), 1);
    cr_assert_not(
        test.engines.find("e1")->accepts_orders(at(9s)),
        "its report has to be read");
}

Test(engine_tracker, an_idle_adapter_is_unloaded_at_once)
{
    swap_fixture test(3);
    test.engine("e1", {"m1"}, {}, at(0s));
    pending_order load = load_of("m1");
    load.adapter = "a1";
    test.engines.order_sent("e1", load, at(1s));
    test.engines.order_answered("e1", command_outcome::accepted, at(1s));
    test.engines.complete_due_orders(at(2s));
    pending_order unload = unload_of("m1");
    unload.adapter = "a1";
    test.engines.order_sent("e1", unload, at(3s));
    cr_assert_not(
        test.engines.order_answered("e1", command_outcome::already_so, at(3s)));
    test.engines.complete_due_orders(at(3s));
    cr_assert_eq(test.engines.find("e1")->adapter_count(), 0);
    cr_assert_eq(test.engines.find("e1")->orders_taken, 2);
}
