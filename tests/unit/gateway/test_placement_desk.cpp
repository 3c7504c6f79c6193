#include "desk_fixture.hpp"

#include <algorithm>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::app;
using namespace roseworks::app::tests;

Test(placement_desk, an_engine_is_ordered_only_after_its_report_was_read)
{
    desk_fixture test(1);
    test.desk.tenure_changed(placement_tenure{7, test.clock.time + 1s});
    test.need("m1");
    auto report = test.next_report();
    cr_assert_eq(test.orders_sent(), 0);
    test.commands.reports.push_front(std::move(report));
    test.answer_report({"m0"}, 41);
    const auto sent = test.next_command();
    cr_assert_eq(sent.what.model, "m1");
    cr_assert_eq(sent.what.fence, 7);
    cr_assert_eq(sent.what.orders_taken, 41);
}

/// Two owners could order in turn where engines don't check the number.
Test(placement_desk, past_its_term_an_owner_orders_nothing)
{
    desk_fixture test(1);
    test.own(7);
    test.need("m1");
    const auto sent = test.next_command();
    cr_assert(sent.allowed());
    test.clock.time += 2s;
    cr_assert_not(sent.allowed());
    cr_assert_not(test.desk.owns(test.clock.time));
}

Test(placement_desk, engines_that_check_numbers_let_it_go_on)
{
    placement_desk::options settings;
    settings.fences_checked = true;
    desk_fixture test(1, settings);
    test.own(7);
    test.clock.time += 2s;
    cr_assert(test.desk.owns(test.clock.time));
    test.desk.other_owner_heard(8);
    cr_assert_not(test.desk.owns(test.clock.time));
}

Test(placement_desk, an_order_that_was_given_up_meanwhile_is_not_sent)
{
    desk_fixture test(1);
    test.own(7);
    test.need("m1");
    const auto sent = test.next_command();
    test.desk.tenure_changed(std::nullopt);
    cr_assert_not(sent.allowed());
}

Test(placement_desk, a_later_owners_order_ends_the_tenure)
{
    desk_fixture test(1);
    test.own(7);
    test.need("m1");
    test.next_command().done(command_end::fenced_off);
    cr_assert_not(test.desk.owns(test.clock.time));
    test.need("m2");
    cr_assert_eq(test.orders_sent(), 0);
}

/// The count of orders in both lets the engine take only one of them.
Test(placement_desk, an_order_without_an_answer_is_sent_again_as_it_was)
{
    desk_fixture test(1);
    test.own(7);
    test.need("m1");
    const auto first = test.next_command();
    first.done(command_end::unknown);
    const auto second = test.next_command();
    cr_assert_eq(second.what.model, first.what.model);
    cr_assert_eq(second.what.orders_taken, first.what.orders_taken);
    cr_assert_eq(second.what.fence, first.what.fence);
    second.done(command_end::accepted);
    cr_assert_eq(test.desk.engines().find("e1")->orders_taken, 1);
    cr_assert(test.desk.engines().find("e1")->state_confirmed);
}

/// The first was taken and its answer lost: what the engine does is read.
Test(placement_desk, a_repeat_that_is_out_of_step_has_the_engine_examined)
{
    desk_fixture test(1);
    test.own(7);
    test.need("m1");
    test.next_command().done(command_end::unknown);
    test.next_command().done(command_end::out_of_step);
    cr_assert_not(test.desk.engines().find("e1")->state_confirmed);
    test.answer_report({"m1"}, 1);
    cr_assert(test.desk.engines().find("e1")->state_confirmed);
    cr_assert_eq(test.desk.engines().find("e1")->orders_taken, 1);
}

/// An answer is lost, and ownership lost and regained meanwhile: the repeat
/// would bear a lower number than the order that was sent since.
Test(
    placement_desk, an_order_of_an_earlier_tenure_is_not_repeated_into_this_one)
{
    desk_fixture test(1);
    test.own(7);
    test.need("m1");
    const auto first = test.next_command();
    test.desk.tenure_changed(std::nullopt);
    test.own(9);
    test.need("m1");
    const auto second = test.next_command();
    cr_assert_eq(second.what.fence, 9);
    first.done(command_end::unknown);
    cr_assert_eq(test.orders_sent(), 0);
}

/// Its outcome says nothing of the order that is on its way now.
Test(placement_desk, an_answer_counts_for_its_own_order_only)
{
    desk_fixture test(1);
    test.own(7);
    test.need("m1");
    const auto first = test.next_command();
    test.desk.tenure_changed(std::nullopt);
    test.own(9);
    test.need("m1");
    const auto second = test.next_command();
    for (const command_end late :
         {command_end::accepted,
          command_end::not_sent,
          command_end::wrong_server})
        first.done(late);
    const engine_state* engine = test.desk.engines().find("e1");
    cr_assert(engine->order.has_value());
    cr_assert(!engine->order->expected_completion);
    cr_assert_eq(engine->orders_taken, 0);
    cr_assert(engine->state_confirmed);
    second.done(command_end::accepted);
    cr_assert_eq(engine->orders_taken, 1);
}

/// Another owner may have ordered the engine since it was read.
Test(placement_desk, a_report_read_in_an_earlier_tenure_is_read_again)
{
    desk_fixture test(1);
    test.desk.tenure_changed(placement_tenure{7, test.clock.time + 1s});
    const auto old = test.next_report();
    test.desk.tenure_changed(std::nullopt);
    test.desk.tenure_changed(placement_tenure{9, test.clock.time + 1s});
    old.done(holdings_report());
    cr_assert_not(test.desk.engines().find("e1")->state_confirmed);
    test.answer_report({"m0"}, 3);
    cr_assert(test.desk.engines().find("e1")->state_confirmed);
    cr_assert_eq(test.desk.engines().find("e1")->orders_taken, 3);
}

Test(placement_desk, an_order_is_repeated_so_often_only)
{
    placement_desk::options settings;
    settings.most_repeats = 2;
    desk_fixture test(1, settings);
    test.own(7);
    test.need("m1");
    for (int sent = 0; sent < 3; ++sent)
        test.next_command().done(command_end::unknown);
    cr_assert_eq(test.orders_sent(), 0);
    cr_assert_not(test.desk.engines().find("e1")->state_confirmed);
}

/// It stays in the registry for seconds, and its models would serve nobody.
Test(placement_desk, what_a_silent_engine_holds_is_loaded_elsewhere)
{
    desk_fixture test(2);
    test.own(7, {"m0"});
    test.unreached("e1");
    test.unreached("e1"); // looked at once
    auto report = test.next_report();
    cr_assert_eq(report.engine, "e1");
    cr_assert(test.commands.reports.empty());
    report.done(std::nullopt);
    cr_assert_not(test.desk.engines().find("e1")->reachable);
    test.need("m1");
    cr_assert_eq(test.next_command().what.engine, "e2");
}

Test(placement_desk, an_engine_that_one_router_can_not_reach_stays_in_use)
{
    desk_fixture test(1);
    test.own(7, {"m0"});
    test.unreached("e1");
    test.answer_report({"m0"});
    cr_assert(test.desk.engines().find("e1")->reachable);
    cr_assert(test.desk.engines().find("e1")->state_confirmed);
}

/// The run after it at its address answers its report, and holds nothing: the
/// emptiest engine of all, to which each load was sent in vain.
Test(placement_desk, an_engine_whose_run_is_over_is_not_ordered_on)
{
    desk_fixture test(2);
    test.own(7);
    test.need("m1");
    const auto first = test.next_command();
    first.done(command_end::wrong_server);
    const auto second = test.next_command();
    cr_assert_neq(second.what.engine, first.what.engine);
    cr_assert_not(test.desk.engines().find(first.what.engine)->reachable);
    cr_assert(test.commands.reports.empty());
}

/// Nothing in a report names the run, but a start clears the count of orders.
Test(placement_desk, a_report_of_the_run_after_it_brings_no_engine_back)
{
    desk_fixture test(1);
    test.desk.tenure_changed(placement_tenure{7, test.clock.time + 1s});
    test.answer_report({"m0"}, 12);
    test.unreached("e1");
    test.no_report();
    test.answer_report({}, 0);
    cr_assert_not(test.desk.engines().find("e1")->reachable);
    test.need("m1");
    cr_assert_eq(test.orders_sent(), 0);
}

Test(placement_desk, a_report_that_lags_by_an_order_is_the_engines_own)
{
    desk_fixture test(1);
    test.desk.tenure_changed(placement_tenure{7, test.clock.time + 1s});
    test.answer_report({"m0"}, 12);
    test.unreached("e1");
    test.no_report();
    test.answer_report({"m0"}, 11);
    cr_assert(test.desk.engines().find("e1")->reachable);
}

Test(placement_desk, an_engine_that_is_back_is_used_again)
{
    desk_fixture test(1);
    test.own(7);
    test.unreached("e1");
    test.no_report();
    test.answer_report({"m0"});
    cr_assert(test.desk.engines().find("e1")->reachable);
    test.need("m1");
    cr_assert_eq(test.next_command().what.engine, "e1");
}

/// All that an owner before knew may have changed since.
Test(placement_desk, an_owner_anew_reads_all_reports_again)
{
    desk_fixture test(2);
    test.own(7, {"m0"});
    test.desk.tenure_changed(std::nullopt);
    test.desk.tenure_changed(placement_tenure{9, test.clock.time + 1s});
    cr_assert_not(test.desk.engines().find("e1")->state_confirmed);
    cr_assert_not(test.desk.engines().find("e2")->state_confirmed);
    test.answer_reports({"m0"});
    cr_assert(test.desk.engines().find("e2")->state_confirmed);
}

Test(placement_desk, a_renewed_term_goes_on_with_what_is_known)
{
    desk_fixture test(1);
    test.own(7, {"m0"});
    test.desk.tenure_changed(placement_tenure{8, test.clock.time + 1s});
    cr_assert(test.desk.engines().find("e1")->state_confirmed);
    test.need("m1");
    cr_assert_eq(test.next_command().what.fence, 8);
}

/// Cut off from the store, it went on as the owner to all who heard it, and
/// nobody ordered engines for as long as the cut lasted.
Test(placement_desk, past_its_term_it_says_so_and_tells_what_it_had_ordered)
{
    desk_fixture test(1);
    test.own(7);
    test.need("m1");
    test.next_command().done(command_end::accepted);
    test.clock.time += 1s;
    test.desk.term_ended();
    cr_assert(test.told.back().term_expired);
    const auto tells_of_load = [](const owner_announcement& word)
    {
        return word.term_expired && !word.engines.empty() &&
               !word.engines.front().resident.empty();
    };
    test.clock.time += 10s;
    while (std::ranges::none_of(test.told, tells_of_load))
        test.run_events(1);
    test.desk.tenure_changed(placement_tenure{7, test.clock.time + 1s});
    cr_assert_not(test.told.back().term_expired);
}

/// A later owner's order that was the very one under way isn't counted by the
/// engine: the owner before, back after 0.7 s, ordered it in turn.
Test(placement_desk, after_another_owner_was_heard_the_lease_is_waited_for)
{
    desk_fixture test(1);
    test.own(7);
    test.need("m1");
    test.next_command().done(command_end::accepted);
    test.desk.tenure_changed(std::nullopt);
    test.desk.other_owner_heard(8);
    const instant regained = test.clock.time;
    test.desk.tenure_changed(placement_tenure{9, regained + 1h});
    test.answer_report({"m1"}, 1); // as many orders as it had sent
    while (test.orders_sent() == 0)
    {
        test.need("m2");
        test.clock.time += 20ms;
        test.run_events(1);
    }
    cr_assert_geq(test.clock.time - regained, duration(2s));
}
