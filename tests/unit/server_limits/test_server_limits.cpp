#include "core/pacing/server_limits.hpp"

#include <limits>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

instant at(duration since_start)
{
    return instant(100s + since_start);
}

/// Knows that a server named two requests a second.
struct limited
{
    limited()
    {
        this->known.handle_answer("s", 2.0, at(0s), at(100ms));
    }

    server_limits known{server_limits::options{"r"}};
};

server_limit_update word_of(double per_second, duration age)
{
    return {"other", {{"s", per_second, age.count()}}};
}

} // namespace

Test(server_limits, what_an_answer_names_holds_and_is_told)
{
    limited test;
    cr_assert_eq(test.known.limit_of("s"), 2.0);
    cr_assert_eq(test.known.take_changes().size(), 1U);
    const auto word = test.known.take_update(at(150ms));
    cr_assert(word.has_value());
    cr_assert_eq(word->limits.at(0).per_second, 2.0);
    cr_assert_eq(word->limits.at(0).age_us, duration(50ms).count());
    cr_assert_not(test.known.take_update(at(150ms)).has_value());
}

Test(server_limits, an_answer_without_one_ends_it)
{
    limited test;
    test.known.handle_answer("s", {}, at(200ms), at(300ms));
    cr_assert_eq(test.known.limit_of("s"), 0);
    cr_assert_eq(test.known.take_changes().back().per_second, 0);
}

/// Answers on different connections overtake each other.
Test(server_limits, an_answer_to_an_older_request_ends_nothing)
{
    limited test;
    test.known.handle_answer("s", {}, at(99ms), at(300ms));
    cr_assert_eq(test.known.limit_of("s"), 2.0);
}

Test(server_limits, the_newest_word_counts)
{
    limited test;
    test.known.handle_update(word_of(5, 500ms), at(200ms));
    cr_assert_eq(test.known.limit_of("s"), 2.0);
    test.known.handle_update(word_of(5, 10ms), at(200ms));
    cr_assert_eq(test.known.limit_of("s"), 5.0);
    test.known.handle_update(word_of(0, 0ms), at(300ms));
    cr_assert_eq(test.known.limit_of("s"), 0);
    test.known.handle_update(word_of(5, 200ms), at(400ms));
    cr_assert_eq(test.known.limit_of("s"), 0);
}

Test(server_limits, a_change_is_told_three_times)
{
    limited test;
    int told = 0;
    for (duration passed = 100ms; passed < 900ms; passed += 10ms)
    {
        test.known.tick(at(passed));
        told += test.known.take_update(at(passed)) ? 1 : 0;
    }
    cr_assert_eq(told, 3);
}

Test(server_limits, one_that_is_another_in_each_answer_is_told_in_turn)
{
    limited test;
    int told = 0;
    for (duration passed = 100ms; passed < 1100ms; passed += 1ms)
    {
        test.known.handle_answer(
            "s",
            2.0 + static_cast<double>(passed.count()),
            at(passed),
            at(passed));
        told += test.known.take_update(at(passed)) ? 1 : 0;
    }
    cr_assert_leq(told, 8);
}

Test(server_limits, one_that_holds_is_told_again_each_second)
{
    limited test;
    test.known.take_update(at(100ms));
    int told = 0;
    for (duration passed = 1s; passed < 5s; passed += 100ms)
    {
        test.known.handle_answer("s", 2.0, at(passed), at(passed));
        told += test.known.take_update(at(passed)) ? 1 : 0;
    }
    cr_assert_eq(told, 4);
}

Test(server_limits, nobody_tells_again_what_another_has_just_told)
{
    limited test;
    test.known.take_update(at(100ms));
    test.known.handle_update(word_of(2, 0ms), at(1s));
    test.known.handle_answer("s", 2.0, at(1s), at(1100ms));
    cr_assert_not(test.known.take_update(at(1100ms)).has_value());
}

Test(server_limits, a_limit_of_nothing_still_lets_a_request_through)
{
    server_limits known(server_limits::options{"r"});
    known.handle_answer("s", 0.0, at(0s), at(0s));
    cr_assert_gt(known.limit_of("s"), 0);
}

Test(server_limits, a_word_of_nonsense_changes_nothing)
{
    limited test;
    for (const double bad :
         {-1.0,
          std::numeric_limits<double>::quiet_NaN(),
          std::numeric_limits<double>::infinity()})
        test.known.handle_update(word_of(bad, 0ms), at(200ms));
    cr_assert_eq(test.known.limit_of("s"), 2.0);
}

Test(server_limits, of_too_many_servers_no_more_are_kept)
{
    server_limits::options few{"r"};
    few.max_servers = 2;
    server_limits known(few);
    for (const char* server : {"a", "b", "c"})
        known.handle_answer(server, 1.0, at(0s), at(0s));
    cr_assert_eq(known.in_force().size(), 2U);
}

Test(server_limits, one_that_nobody_has_seen_for_long_is_forgotten)
{
    limited test;
    test.known.tick(at(60s));
    cr_assert_eq(test.known.limit_of("s"), 2.0);
    test.known.tick(at(61s));
    cr_assert_eq(test.known.limit_of("s"), 0);
    cr_assert_not(test.known.next_tick().has_value());
}

Test(server_limits, a_server_that_never_named_one_costs_nothing)
{
    server_limits known(server_limits::options{"r"});
    known.handle_answer("s", {}, at(0s), at(100ms));
    known.handle_update(word_of(0, 0ms), at(100ms));
    cr_assert_not(known.next_tick().has_value());
    cr_assert_not(known.take_update(at(100ms)).has_value());
}
