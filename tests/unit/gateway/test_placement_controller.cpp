#include "placement_fixture.hpp"

#include <algorithm>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::app;
using namespace roseworks::app::tests;

Test(
    placement_controller, sends_no_order_to_an_engine_before_reading_its_report)
{
    placement_fixture test(1);
    test.controller.tenure_changed(placement_tenure{7, test.clock.time + 1s});
    test.report_demand("m1");
    auto report = test.next_report();
    cr_assert_eq(test.orders_sent(), 0);
    test.commands.reports.push_front(std::move(report));
    test.answer_report({"m0"}, 41);
    const auto sent = test.next_command();
    cr_assert_eq(sent.order.model, "m1");
    cr_assert_eq(sent.order.fence, 7);
    cr_assert_eq(sent.order.orders_taken, 41);
}

/// If engines don't check fencing numbers, two owners could otherwise order
/// them alternately.
Test(placement_controller, sends_no_order_after_its_term)
{
    placement_fixture test(1);
    test.acquire_ownership(7);
    test.report_demand("m1");
    const auto sent = test.next_command();
    cr_assert(sent.allowed());
    test.clock.time += 2s;
    cr_assert_not(sent.allowed());
    cr_assert_not(test.controller.owns(test.clock.time));
}

Test(
    placement_controller,
    continues_after_its_term_if_engines_check_fencing_numbers)
{
    placement_controller::options settings;
    settings.fences_checked = true;
    placement_fixture test(1, settings);
    test.acquire_ownership(7);
    test.clock.time += 2s;
    cr_assert(test.controller.owns(test.clock.time));
    test.controller.other_owner_announced(8);
    cr_assert_not(test.controller.owns(test.clock.time));
}

Test(
    placement_controller, an_unsent_order_is_not_allowed_after_losing_ownership)
{
    placement_fixture test(1);
    test.acquire_ownership(7);
    test.report_demand("m1");
    const auto sent = test.next_command();
    test.controller.tenure_changed(std::nullopt);
    cr_assert_not(sent.allowed());
}

Test(placement_controller, a_fenced_off_order_ends_the_tenure)
{
    placement_fixture test(1);
    test.acquire_ownership(7);
    test.report_demand("m1");
    test.next_command().done(command_outcome::fenced_off);
    cr_assert_not(test.controller.owns(test.clock.time));
    test.report_demand("m2");
    cr_assert_eq(test.orders_sent(), 0);
}

/// Both copies carry the same order count, so the engine takes only one.
Test(placement_controller, an_order_without_an_answer_is_retried_unchanged)
{
    placement_fixture test(1);
    test.acquire_ownership(7);
    test.report_demand("m1");
    const auto first = test.next_command();
    first.done(command_outcome::unknown);
    const auto second = test.next_command();
    cr_assert_eq(second.order.model, first.order.model);
    cr_assert_eq(second.order.orders_taken, first.order.orders_taken);
    cr_assert_eq(second.order.fence, first.order.fence);
    second.done(command_outcome::accepted);
    cr_assert_eq(test.controller.engines().find("e1")->orders_taken, 1);
    cr_assert(test.controller.engines().find("e1")->state_confirmed);
}

/// The engine took the first copy and its answer was lost, so the state of the
/// engine has to be read.
Test(placement_controller, an_out_of_step_retry_makes_the_report_be_read)
{
    placement_fixture test(1);
    test.acquire_ownership(7);
    test.report_demand("m1");
    test.next_command().done(command_outcome::unknown);
    test.next_command().done(command_outcome::out_of_step);
    cr_assert_not(test.controller.engines().find("e1")->state_confirmed);
    test.answer_report({"m1"}, 1);
    cr_assert(test.controller.engines().find("e1")->state_confirmed);
    cr_assert_eq(test.controller.engines().find("e1")->orders_taken, 1);
}

/// An answer is lost, and ownership is lost and regained meanwhile: a retry
/// would carry a lower fencing number than the order sent since.
Test(placement_controller, an_order_of_an_earlier_tenure_is_not_retried)
{
    placement_fixture test(1);
    test.acquire_ownership(7);
    test.report_demand("m1");
    const auto first = test.next_command();
    test.controller.tenure_changed(std::nullopt);
    test.acquire_ownership(9);
    test.report_demand("m1");
    const auto second = test.next_command();
    cr_assert_eq(second.order.fence, 9);
    first.done(command_outcome::unknown);
    cr_assert_eq(test.orders_sent(), 0);
}

/// A late answer to an earlier order says nothing about the pending order.
Test(placement_controller, an_answer_affects_only_its_own_order)
{
    placement_fixture test(1);
    test.acquire_ownership(7);
    test.report_demand("m1");
    const auto first = test.next_command();
    test.controller.tenure_changed(std::nullopt);
    test.acquire_ownership(9);
    test.report_demand("m1");
    const auto second = test.next_command();
    for (const command_outcome late :
         {command_outcome::accepted,
          command_outcome::not_sent,
          command_outcome::wrong_server})
        first.done(late);
    const engine_state* engine = test.controller.engines().find("e1");
    cr_assert(engine->order.has_value());
    cr_assert(!engine->order->expected_completion);
    cr_assert_eq(engine->orders_taken, 0);
    cr_assert(engine->state_confirmed);
    second.done(command_outcome::accepted);
    cr_assert_eq(engine->orders_taken, 1);
}

/// Another owner may have sent orders to the engine since the read began.
Test(
    placement_controller, a_report_requested_in_an_earlier_tenure_is_read_again)
{
    placement_fixture test(1);
    test.controller.tenure_changed(placement_tenure{7, test.clock.time + 1s});
    const auto old = test.next_report();
    test.controller.tenure_changed(std::nullopt);
    test.controller.tenure_changed(placement_tenure{9, test.clock.time + 1s});
    old.done(holdings_report());
    cr_assert_not(test.controller.engines().find("e1")->state_confirmed);
    test.answer_report({"m0"}, 3);
    cr_assert(test.controller.engines().find("e1")->state_confirmed);
    cr_assert_eq(test.controller.engines().find("e1")->orders_taken, 3);
}

Test(placement_controller, the_number_of_retries_of_an_order_is_limited)
{
    placement_controller::options settings;
    settings.max_retries = 2;
    placement_fixture test(1, settings);
    test.acquire_ownership(7);
    test.report_demand("m1");
    for (int sent = 0; sent < 3; ++sent)
        test.next_command().done(command_outcome::unknown);
    cr_assert_eq(test.orders_sent(), 0);
    cr_assert_not(test.controller.engines().find("e1")->state_confirmed);
}

/// A dead engine stays in the registry for seconds. Until it is marked as
/// unreachable, requests for its models have no engine.
Test(placement_controller, an_engine_that_does_not_answer_gets_no_orders)
{
    placement_fixture test(2);
    test.acquire_ownership(7, {"m0"});
    test.report_unreachable("e1");
    test.report_unreachable("e1"); // doesn't start a second read
    auto report = test.next_report();
    cr_assert_eq(report.engine, "e1");
    cr_assert(test.commands.reports.empty());
    report.done(std::nullopt);
    cr_assert_not(test.controller.engines().find("e1")->reachable);
    test.report_demand("m1");
    cr_assert_eq(test.next_command().order.engine, "e2");
}

Test(placement_controller, an_engine_that_the_owner_can_reach_stays_in_use)
{
    placement_fixture test(1);
    test.acquire_ownership(7, {"m0"});
    test.report_unreachable("e1");
    test.answer_report({"m0"});
    cr_assert(test.controller.engines().find("e1")->reachable);
    cr_assert(test.controller.engines().find("e1")->state_confirmed);
}

/// After a restart, another run answers the report read at the same address and
/// holds no models. It used to look like the emptiest engine, so each load was
/// sent to it in vain.
Test(placement_controller, a_replaced_engine_gets_no_more_orders)
{
    placement_fixture test(2);
    test.acquire_ownership(7);
    test.report_demand("m1");
    const auto first = test.next_command();
    first.done(command_outcome::wrong_server);
    const auto second = test.next_command();
    cr_assert_neq(second.order.engine, first.order.engine);
    cr_assert_not(
        test.controller.engines().find(first.order.engine)->reachable);
    cr_assert(test.commands.reports.empty());
}

/// A report doesn't identify the run, but a restart resets the order count.
Test(placement_controller, a_report_of_a_later_run_does_not_restore_the_engine)
{
    placement_fixture test(1);
    test.controller.tenure_changed(placement_tenure{7, test.clock.time + 1s});
    test.answer_report({"m0"}, 12);
    test.report_unreachable("e1");
    test.fail_report();
    test.answer_report({}, 0);
    cr_assert_not(test.controller.engines().find("e1")->reachable);
    test.report_demand("m1");
    cr_assert_eq(test.orders_sent(), 0);
}

Test(placement_controller, a_report_that_lags_by_one_order_is_accepted)
{
    placement_fixture test(1);
    test.controller.tenure_changed(placement_tenure{7, test.clock.time + 1s});
    test.answer_report({"m0"}, 12);
    test.report_unreachable("e1");
    test.fail_report();
    test.answer_report({"m0"}, 11);
    cr_assert(test.controller.engines().find("e1")->reachable);
}

Test(placement_controller, an_engine_that_is_reachable_again_is_used)
{
    placement_fixture test(1);
    test.acquire_ownership(7);
    test.report_unreachable("e1");
    test.fail_report();
    test.answer_report({"m0"});
    cr_assert(test.controller.engines().find("e1")->reachable);
    test.report_demand("m1");
    cr_assert_eq(test.next_command().order.engine, "e1");
}

/// The state known from an earlier tenure may have changed since.
Test(placement_controller, a_new_tenure_reads_all_reports_again)
{
    placement_fixture test(2);
    test.acquire_ownership(7, {"m0"});
    test.controller.tenure_changed(std::nullopt);
    test.controller.tenure_changed(placement_tenure{9, test.clock.time + 1s});
    cr_assert_not(test.controller.engines().find("e1")->state_confirmed);
    cr_assert_not(test.controller.engines().find("e2")->state_confirmed);
    test.answer_reports({"m0"});
    cr_assert(test.controller.engines().find("e2")->state_confirmed);
}

Test(placement_controller, a_renewal_with_a_new_number_keeps_the_known_state)
{
    placement_fixture test(1);
    test.acquire_ownership(7, {"m0"});
    test.controller.tenure_changed(placement_tenure{8, test.clock.time + 1s});
    cr_assert(test.controller.engines().find("e1")->state_confirmed);
    test.report_demand("m1");
    cr_assert_eq(test.next_command().order.fence, 8);
}

/// An owner that was partitioned from the store kept announcing itself without
/// sending orders. No other router applied, so no engine got orders until the
/// partition ended.
Test(placement_controller, announces_the_end_of_its_term_and_its_earlier_orders)
{
    placement_fixture test(1);
    test.acquire_ownership(7);
    test.report_demand("m1");
    test.next_command().done(command_outcome::accepted);
    test.clock.time += 1s;
    test.controller.term_ended();
    cr_assert(test.announcements.back().term_expired);
    const auto shows_load = [](const owner_announcement& announcement)
    {
        return announcement.term_expired && !announcement.engines.empty() &&
               !announcement.engines.front().resident.empty();
    };
    test.clock.time += 10s;
    while (std::ranges::none_of(test.announcements, shows_load))
        test.run_handlers(1);
    test.controller.tenure_changed(placement_tenure{7, test.clock.time + 1s});
    cr_assert_not(test.announcements.back().term_expired);
}

/// An engine doesn't count a later owner's order if it is already carrying out
/// the same one, so the order count doesn't show it. The earlier owner, which
/// regained ownership after 0.7 s, sent its own order in between.
Test(
    placement_controller, waits_for_the_lease_after_another_owner_was_announced)
{
    placement_fixture test(1);
    test.acquire_ownership(7);
    test.report_demand("m1");
    test.next_command().done(command_outcome::accepted);
    test.controller.tenure_changed(std::nullopt);
    test.controller.other_owner_announced(8);
    const instant regained = test.clock.time;
    test.controller.tenure_changed(placement_tenure{9, regained + 1h});
    test.answer_report({"m1"}, 1); // the count of this owner's own orders
    while (test.orders_sent() == 0)
    {
        test.report_demand("m2");
        test.clock.time += 20ms;
        test.run_handlers(1);
    }
    cr_assert_geq(test.clock.time - regained, duration(2s));
}
