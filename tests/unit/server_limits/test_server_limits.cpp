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

/// Knows a server that announced a limit of two requests per second.
struct limits_fixture
{
    limits_fixture()
    {
        this->limits.handle_answer("s", 2.0, at(0s), at(100ms));
    }

    server_limits limits{server_limits::options{"r"}};
};

server_limit_update update_of(double per_second, duration age)
{
    return {"other", {{"s", per_second, age.count()}}};
}

} // namespace

Test(server_limits, a_limit_in_an_answer_is_kept_and_sent_to_other_routers)
{
    limits_fixture test;
    cr_assert_eq(test.limits.limit_of("s"), 2.0);
    cr_assert_eq(test.limits.take_changes().size(), 1U);
    const auto update = test.limits.take_update(at(150ms));
    cr_assert(update.has_value());
    cr_assert_eq(update->limits.at(0).per_second, 2.0);
    cr_assert_eq(update->limits.at(0).age_us, duration(50ms).count());
    cr_assert_not(test.limits.take_update(at(150ms)).has_value());
}

Test(server_limits, an_answer_without_a_limit_ends_it)
{
    limits_fixture test;
    test.limits.handle_answer("s", {}, at(200ms), at(300ms));
    cr_assert_eq(test.limits.limit_of("s"), 0);
    cr_assert_eq(test.limits.take_changes().back().per_second, 0);
}

/// Answers on different connections overtake each other.
Test(server_limits, an_answer_to_an_older_request_ends_no_limit)
{
    limits_fixture test;
    test.limits.handle_answer("s", {}, at(99ms), at(300ms));
    cr_assert_eq(test.limits.limit_of("s"), 2.0);
}

Test(server_limits, the_newest_information_wins)
{
    limits_fixture test;
    test.limits.handle_update(update_of(5, 500ms), at(200ms));
    cr_assert_eq(test.limits.limit_of("s"), 2.0);
    test.limits.handle_update(update_of(5, 10ms), at(200ms));
    cr_assert_eq(test.limits.limit_of("s"), 5.0);
    test.limits.handle_update(update_of(0, 0ms), at(300ms));
    cr_assert_eq(test.limits.limit_of("s"), 0);
    test.limits.handle_update(update_of(5, 200ms), at(400ms));
    cr_assert_eq(test.limits.limit_of("s"), 0);
}

Test(server_limits, a_change_is_sent_three_times)
{
    limits_fixture test;
    int sent_updates = 0;
    for (duration passed = 100ms; passed < 900ms; passed += 10ms)
    {
        test.limits.tick(at(passed));
        sent_updates += test.limits.take_update(at(passed)) ? 1 : 0;
    }
    cr_assert_eq(sent_updates, 3);
}

Test(
    server_limits,
    a_limit_that_changes_in_each_answer_is_sent_at_a_bounded_rate)
{
    limits_fixture test;
    int sent_updates = 0;
    for (duration passed = 100ms; passed < 1100ms; passed += 1ms)
    {
        test.limits.handle_answer(
            "s",
            2.0 + static_cast<double>(passed.count()),
            at(passed),
            at(passed));
        sent_updates += test.limits.take_update(at(passed)) ? 1 : 0;
    }
    cr_assert_leq(sent_updates, 8);
}

Test(server_limits, an_unchanged_limit_is_sent_again_each_second)
{
    limits_fixture test;
    test.limits.take_update(at(100ms));
    int sent_updates = 0;
    for (duration passed = 1s; passed < 5s; passed += 100ms)
    {
        test.limits.handle_answer("s", 2.0, at(passed), at(passed));
        sent_updates += test.limits.take_update(at(passed)) ? 1 : 0;
    }
    cr_assert_eq(sent_updates, 4);
}

Test(server_limits, a_router_does_not_repeat_what_another_has_just_sent)
{
    limits_fixture test;
    test.limits.take_update(at(100ms));
    test.limits.handle_update(update_of(2, 0ms), at(1s));
    test.limits.handle_answer("s", 2.0, at(1s), at(1100ms));
    cr_assert_not(test.limits.take_update(at(1100ms)).has_value());
}

Test(server_limits, a_limit_of_zero_still_allows_some_requests)
{
    server_limits limits(server_limits::options{"r"});
    limits.handle_answer("s", 0.0, at(0s), at(0s));
    cr_assert_gt(limits.limit_of("s"), 0);
}

Test(server_limits, an_invalid_update_changes_nothing)
{
    limits_fixture test;
    for (const double bad :
         {-1.0,
          std::numeric_limits<double>::quiet_NaN(),
          std::numeric_limits<double>::infinity()})
        test.limits.handle_update(update_of(bad, 0ms), at(200ms));
    cr_assert_eq(test.limits.limit_of("s"), 2.0);
}

Test(server_limits, the_number_of_servers_is_bounded)
{
    server_limits::options few{"r"};
    few.max_servers = 2;
    server_limits limits(few);
    for (const char* server : {"a", "b", "c"})
        limits.handle_answer(server, 1.0, at(0s), at(0s));
    cr_assert_eq(limits.in_force().size(), 2U);
}

Test(server_limits, a_limit_that_was_not_seen_for_long_expires)
{
    limits_fixture test;
    test.limits.tick(at(60s));
    cr_assert_eq(test.limits.limit_of("s"), 2.0);
    test.limits.tick(at(61s));
    cr_assert_eq(test.limits.limit_of("s"), 0);
    cr_assert_not(test.limits.next_tick().has_value());
}

Test(server_limits, a_server_without_a_limit_is_not_tracked)
{
    server_limits limits(server_limits::options{"r"});
    limits.handle_answer("s", {}, at(0s), at(100ms));
    limits.handle_update(update_of(0, 0ms), at(100ms));
    cr_assert_not(limits.next_tick().has_value());
    cr_assert_not(limits.take_update(at(100ms)).has_value());
}
