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

Test(engine_book, a_load_counts_as_done_after_its_usual_time)
{
    swap_fixture test(3);
    test.engine("e1", {}, {"m1"}, at(0s));
    test.engines.sent("e1", load_of("m1"), at(1s));
    cr_assert_not(test.engines.find("e1")->free(at(1s)));
    test.engines.answered("e1", command_end::accepted, at(1s));
    cr_assert(test.engines.advance(at(1s + 799ms)).empty());
    const auto done = test.engines.advance(at(1s + 800ms));
    cr_assert_eq(done.size(), 1);
    cr_assert_eq(done[0].servable, "llm/m1");
    cr_assert_not_null(test.engines.find("e1")->find("m1"));
    cr_assert_eq(test.engines.find("e1")->orders_taken, 1);
    cr_assert(test.engines.find("e1")->free(at(1s + 800ms)));
}

Test(engine_book, a_model_counts_as_gone_once_its_unload_is_sent)
{
    swap_fixture test(3);
    test.engine("e1", {"m1"}, {}, at(0s));
    const auto before = test.engines.find("e1")->revision;
    test.engines.sent("e1", unload_of("m1"), at(1s));
    cr_assert_null(test.engines.find("e1")->find("m1"));
    cr_assert_gt(test.engines.find("e1")->revision, before);
}

Test(engine_book, an_unload_that_was_not_taken_leaves_the_model)
{
    for (const command_end how :
         {command_end::out_of_step, command_end::withheld})
    {
        swap_fixture test(3);
        test.engine("e1", {"m1"}, {}, at(0s));
        test.engines.sent("e1", unload_of("m1"), at(1s));
        cr_assert_not(test.engines.answered("e1", how, at(1s)));
        cr_assert_not_null(test.engines.find("e1")->find("m1"));
        cr_assert_eq(test.engines.find("e1")->orders_taken, 0);
        cr_assert_not(test.engines.find("e1")->free(at(1s)));
        cr_assert(test.engines.find("e1")->free(at(1s + 50ms)));
    }
}

/// An engine that is gone without a word stays in the registry for seconds.
/// Ordered again and again, it kept its models from being loaded elsewhere.
Test(engine_book, an_engine_that_can_not_be_reached_is_not_ordered_on)
{
    swap_fixture test(3);
    test.engine("e1", {"m1"}, {}, at(0s));
    test.engines.sent("e1", unload_of("m1"), at(1s));
    cr_assert(test.engines.answered("e1", command_end::not_sent, at(1s)));
    const engine_state* engine = test.engines.find("e1");
    cr_assert_not_null(engine->find("m1"));
    cr_assert_not(engine->reachable);
    cr_assert_not(engine->free(at(10s)));
    test.examine("e1", {"m1"}, {"m1"}, 0, at(11s));
    cr_assert(engine->reachable);
    cr_assert(engine->free(at(11s)));
}

Test(engine_book, what_was_on_its_way_to_an_unreachable_engine_is_not_there)
{
    swap_fixture test(3);
    test.engine("e1", {}, {"m1"}, at(0s));
    test.engines.sent("e1", load_of("m1"), at(1s));
    test.engines.answered("e1", command_end::accepted, at(1s));
    test.engines.unreached("e1");
    cr_assert(test.engines.advance(at(3s)).empty());
    cr_assert_null(test.engines.find("e1")->find("m1"));
}

Test(engine_book, three_orders_out_of_step_have_the_engine_examined)
{
    swap_fixture test(3);
    test.engine("e1", {}, {"m1"}, at(0s));
    for (const bool last : {false, false, true})
    {
        test.engines.sent("e1", load_of("m1"), at(1s));
        cr_assert_eq(
            test.engines.answered("e1", command_end::out_of_step, at(1s)),
            last);
    }
    cr_assert_not(test.engines.find("e1")->free(at(10s)));
}

Test(engine_book, an_order_of_unknown_outcome_has_the_engine_examined)
{
    for (const command_end how :
         {command_end::unknown,
          command_end::refused,
          command_end::wrong_server,
          command_end::fenced_off})
    {
        swap_fixture test(3);
        test.engine("e1", {}, {"m1"}, at(0s));
        test.engines.sent("e1", load_of("m1"), at(1s));
        cr_assert(test.engines.answered("e1", how, at(1s)));
        cr_assert_not(test.engines.find("e1")->free(at(10s)));
        test.examine("e1", {"m1"}, {"m1"}, 1, at(2s));
        cr_assert(test.engines.find("e1")->free(at(2s)));
    }
}

Test(engine_book, a_busy_engine_stays_unexamined)
{
    swap_fixture test(3);
    test.engine("e1", {}, {"m1"}, at(0s));
    test.engines.distrust("e1");
    holdings_report report;
    report.busy = true;
    test.engines.reported("e1", report, at(1s));
    cr_assert_not(test.engines.find("e1")->free(at(2s)));
}

/// Two owners ordered one engine in turn within the lease.
Test(engine_book, an_engine_that_another_ordered_meanwhile_waits_for_the_lease)
{
    swap_fixture test(3);
    test.engine("e1", {}, {"m1"}, at(0s));
    test.engines.sent("e1", load_of("m1"), at(1s));
    test.engines.answered("e1", command_end::accepted, at(1s));
    test.engines.advance(at(2s));
    test.engines.take_over(3s, false);
    test.examine("e1", {"m2"}, {"m1"}, 3, at(2s + 500ms));
    cr_assert_not(test.engines.find("e1")->free(at(3s + 999ms)));
    cr_assert(test.engines.find("e1")->free(at(4s)));
}

Test(engine_book, an_engine_that_nobody_ordered_meanwhile_does_not_wait)
{
    swap_fixture test(3);
    test.engine("e1", {}, {"m1"}, at(0s));
    test.engines.sent("e1", load_of("m1"), at(1s));
    test.engines.answered("e1", command_end::accepted, at(1s));
    test.engines.advance(at(2s));
    test.engines.take_over(3s, false);
    cr_assert_not(test.engines.find("e1")->free(at(2s)), "not examined yet");
    test.examine("e1", {"m1"}, {"m1"}, 1, at(2s + 500ms));
    cr_assert(test.engines.find("e1")->free(at(2s + 500ms)));
}

Test(engine_book, a_new_run_of_an_engine_is_examined)
{
    swap_fixture test(3);
    test.engine("e1", {"m1"}, {}, at(0s));
    server_entry entry = test.engines.find("e1")->entry;
    cr_assert_not(test.engines.listed(entry));
    entry.born_ms = 77;
    cr_assert(test.engines.listed(entry));
    cr_assert(test.engines.find("e1")->held.empty());
    cr_assert_not(test.engines.find("e1")->free(at(2s)));
}

Test(engine_book, host_memory_keeps_the_copies_used_last)
{
    swap_fixture test(4);
    test.engine("e1", {}, {"m0", "m1", "m2"}, at(0s));
    instant now = at(1s);
    for (const char* model : {"m0", "m1", "m2"})
    {
        test.engines.sent("e1", load_of(model), now);
        test.engines.answered("e1", command_end::accepted, now);
        now += 1s;
        test.engines.advance(now);
    }
    const engine_state* engine = test.engines.find("e1");
    cr_assert(engine->source_of("m0") == weight_source::disk);
    cr_assert(engine->source_of("m1") == weight_source::memory);
    cr_assert(engine->source_of("m2") == weight_source::memory);
}

/// An engine was ordered to load a ninth adapter beside eight, one of which
/// was still used while it was being unloaded.
Test(engine_book, an_adapter_that_is_still_used_keeps_its_place)
{
    swap_fixture test(3);
    test.engine("e1", {"m1"}, {}, at(0s));
    pending_order load = load_of("m1");
    load.adapter = "a1";
    test.engines.sent("e1", load, at(1s));
    test.engines.answered("e1", command_end::accepted, at(1s));
    test.engines.advance(at(2s));
    cr_assert_eq(test.engines.find("e1")->adapter_count(), 1);
    pending_order unload = unload_of("m1");
    unload.adapter = "a1";
    test.engines.sent("e1", unload, at(3s));
    cr_assert(test.engines.answered("e1", command_end::accepted, at(3s)));
    cr_assert_eq(test.engines.find("e1")->adapter_count(), 1);
    cr_assert_not(test.engines.find("e1")->free(at(9s)), "to be examined");
}

Test(engine_book, an_idle_adapter_is_gone_at_once)
{
    swap_fixture test(3);
    test.engine("e1", {"m1"}, {}, at(0s));
    pending_order load = load_of("m1");
    load.adapter = "a1";
    test.engines.sent("e1", load, at(1s));
    test.engines.answered("e1", command_end::accepted, at(1s));
    test.engines.advance(at(2s));
    pending_order unload = unload_of("m1");
    unload.adapter = "a1";
    test.engines.sent("e1", unload, at(3s));
    cr_assert_not(test.engines.answered("e1", command_end::already_so, at(3s)));
    test.engines.advance(at(3s));
    cr_assert_eq(test.engines.find("e1")->adapter_count(), 0);
    cr_assert_eq(test.engines.find("e1")->orders_taken, 2);
}
