#include "swap_fixture.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

Test(need_book, sums_what_all_routers_wait_for)
{
    swap_fixture test(3);
    test.need("m1", 2s, at(0s), "r1", 2);
    test.need("m1", 1s, at(0s), "r2", 1);
    const auto wanted = test.needs.wanted(at(0s));
    cr_assert_eq(wanted.size(), 1);
    cr_assert_eq(wanted[0].waiting, 3);
    cr_assert_eq(
        wanted[0].objective.time_since_epoch().count(),
        at(1s).time_since_epoch().count());
    cr_assert_eq(wanted[0].routers.size(), 2);
}

Test(need_book, a_need_that_is_not_repeated_lapses)
{
    swap_fixture test(3);
    test.need("m1", 2s, at(0s));
    cr_assert_eq(test.needs.wanted(at(800ms)).size(), 1);
    cr_assert(test.needs.wanted(at(801ms)).empty());
}

Test(need_book, an_older_word_changes_nothing)
{
    swap_fixture test(3);
    test.need("m1", 2s, at(0s));
    router_word late;
    late.router = "r1";
    late.sequence = 0;
    late.needs = {{"llm/m1", 9, 0, 0}};
    cr_assert_not(test.needs.heard(late, at(0s)));
    cr_assert_eq(test.needs.wanted(at(0s))[0].waiting, 1);
}

Test(need_book, a_router_that_started_anew_is_heard_again)
{
    swap_fixture test(3);
    test.sequence = 1000;
    test.need("m1", 2s, at(0s));
    router_word word;
    word.router = "r1";
    word.run = 1;
    word.sequence = 1;
    word.needs = {{"llm/m1", 4, 100, 1'000'000}};
    cr_assert(test.needs.heard(word, at(0s)));
    cr_assert_eq(test.needs.wanted(at(0s))[0].waiting, 4);
}

/// The VM's time of day was set back before it started anew: its number is
/// lower, and all it said was dropped for as long as the owner lived.
Test(
    need_book, a_run_with_a_lower_number_is_heard_once_the_one_before_is_silent)
{
    swap_fixture test(3);
    router_word word;
    word.router = "r1";
    word.run = 9;
    word.sequence = 1;
    cr_assert(test.needs.heard(word, at(0s)));
    word.run = 4;
    word.needs = {{"llm/m1", 1, 2'000'000, 9'000'000}};
    cr_assert_not(test.needs.heard(word, at(100ms))); // late, of a run before
    cr_assert(test.needs.heard(word, at(3s)));
    cr_assert_eq(test.needs.wanted(at(3s)).size(), 1);
    ++word.sequence;
    cr_assert(test.needs.heard(word, at(3s + 100ms)));
}

Test(need_book, waiting_for_nothing_more_ends_a_need)
{
    swap_fixture test(3);
    test.need("m1", 2s, at(0s), "r1", 2);
    test.need("m1", 2s, at(0s), "r1", 0);
    cr_assert(test.needs.wanted(at(0s)).empty());
}

Test(need_book, counts_what_runs_and_forgets_silent_routers)
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

Test(need_book, knows_who_used_a_model_lately)
{
    swap_fixture test(3);
    test.use("m1", "e1", 1, at(0s));
    test.use("m1", "e1", 0, at(1s));
    cr_assert_eq(test.needs.routers_using("e1", "llm/m1").size(), 1);
    test.needs.tick(at(12s));
    cr_assert(test.needs.routers_using("e1", "llm/m1").empty());
}

Test(need_book, counts_routers_that_sent_word_lately)
{
    swap_fixture test(3);
    test.need("m1", 2s, at(0s), "r1");
    test.need("m1", 2s, at(2s), "r2");
    cr_assert_eq(test.needs.routers(at(2s)), 2);
    cr_assert_eq(test.needs.routers(at(3s + 500ms)), 1);
}
