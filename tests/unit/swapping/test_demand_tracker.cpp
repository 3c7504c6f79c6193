#include "swap_fixture.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

Test(demand_tracker, sums_the_waiting_requests_of_all_routers)
{
    swap_fixture test(3);
    test.need("m1", 2s, at(0s), "r1", 2);
    test.need("m1", 1s, at(0s), "r2", 1);
    const auto servables = test.needs.waiting_servables(at(0s));
    cr_assert_eq(servables.size(), 1);
    cr_assert_eq(servables[0].waiting, 3);
    cr_assert_eq(
        servables[0].objective.time_since_epoch().count(),
        at(1s).time_since_epoch().count());
    cr_assert_eq(servables[0].routers.size(), 2);
}

Test(demand_tracker, waiting_requests_that_are_not_repeated_expire)
{
    swap_fixture test(3);
    test.need("m1", 2s, at(0s));
    cr_assert_eq(test.needs.waiting_servables(at(800ms)).size(), 1);
    cr_assert(test.needs.waiting_servables(at(801ms)).empty());
}

Test(demand_tracker, an_outdated_report_is_ignored)
{
    swap_fixture test(3);
    test.need("m1", 2s, at(0s));
    router_report late;
    late.router = "r1";
    late.sequence = 0;
    late.needs = {{"llm/m1", 9, 0, 0}};
    cr_assert_not(test.needs.apply_router_report(late, at(0s)));
    cr_assert_eq(test.needs.waiting_servables(at(0s))[0].waiting, 1);
}

Test(demand_tracker, the_report_of_a_restarted_router_is_accepted)
{
    swap_fixture test(3);
    test.sequence = 1000;
    test.need("m1", 2s, at(0s));
    router_report report;
    report.router = "r1";
    report.run = 1;
    report.sequence = 1;
    report.needs = {{"llm/m1", 4, 100, 1'000'000}};
    cr_assert(test.needs.apply_router_report(report, at(0s)));
    cr_assert_eq(test.needs.waiting_servables(at(0s))[0].waiting, 4);
}

/// A router takes the number of its run from the VM's wall clock. If the clock
/// is set back before a restart, the new run has a lower number. The owner then
/// dropped all of its reports for as long as the owner's process ran.
Test(
    demand_tracker,
    a_run_with_a_lower_number_is_accepted_after_the_other_is_silent)
{
    swap_fixture test(3);
    router_report report;
    report.router = "r1";
    report.run = 9;
    report.sequence = 1;
    cr_assert(test.needs.apply_router_report(report, at(0s)));
    report.run = 4;
    report.needs = {{"llm/m1", 1, 2'000'000, 9'000'000}};
    cr_assert_not(test.needs.apply_router_report(
        report, at(100ms))); // as if from the previous run
    cr_assert(test.needs.apply_router_report(report, at(3s)));
    cr_assert_eq(test.needs.waiting_servables(at(3s)).size(), 1);
    ++report.sequence;
    cr_assert(test.needs.apply_router_report(report, at(3s + 100ms)));
}

Test(demand_tracker, a_report_of_none_waiting_removes_the_entry)
{
    swap_fixture test(3);
    test.need("m1", 2s, at(0s), "r1", 2);
    test.need("m1", 2s, at(0s), "r1", 0);
    cr_assert(test.needs.waiting_servables(at(0s)).empty());
}

Test(demand_tracker, running_requests_of_silent_routers_expire)
{
    swap_fixture test(3);
    test.use("m1", "e1", 3, at(0s));
    test.use("m1", "e1", 2, at(100ms));
    cr_assert_eq(test.needs.find_use("e1", "llm/m1")->running, 2);
    test.needs.tick(at(1s));
    cr_assert_eq(test.needs.find_use("e1", "llm/m1")->running, 2);
    test.needs.tick(at(1700ms));
    cr_assert_eq(test.needs.find_use("e1", "llm/m1")->running, 0);
}

Test(demand_tracker, lists_the_routers_that_used_a_model_recently)
{
    swap_fixture test(3);
    test.use("m1", "e1", 1, at(0s));
    test.use("m1", "e1", 0, at(1s));
    cr_assert_eq(test.needs.routers_using("e1", "llm/m1").size(), 1);
    test.needs.tick(at(12s));
    cr_assert(test.needs.routers_using("e1", "llm/m1").empty());
}

Test(demand_tracker, counts_the_routers_that_reported_recently)
{
    swap_fixture test(3);
    test.need("m1", 2s, at(0s), "r1");
    test.need("m1", 2s, at(2s), "r2");
    cr_assert_eq(test.needs.active_routers(at(2s)), 2);
    cr_assert_eq(test.needs.active_routers(at(3s + 500ms)), 1);
}
