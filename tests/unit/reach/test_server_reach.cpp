#include "core/reach/server_reach.hpp"

#include <string>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;
using failure = server_reach::failure;

namespace
{

struct harness
{
    void lose(int first, int last)
    {
        for (int i = first; i <= last; ++i)
        {
            const std::string server = std::to_string(i);
            this->reach.direct_failed(server, failure::no_answer, this->now);
            this->reach.opened_by_other(server, this->now);
        }
    }

    instant now{100s};
    server_reach reach{server_reach::options()};
};

} // namespace

Test(server_reach, a_failure_closes_the_direct_way_to_one_server_for_a_while)
{
    harness test;
    test.reach.direct_failed("a", failure::refused, test.now);
    cr_assert_not(test.reach.tries_direct("a", test.now));
    cr_assert(test.reach.tries_direct("b", test.now));
    test.now += 1s;
    cr_assert(test.reach.tries_direct("a", test.now));
}

Test(server_reach, a_router_is_cut_off_when_others_reach_what_it_does_not)
{
    harness test;
    test.lose(1, 1);
    cr_assert_not(test.reach.is_cut_off());
    test.lose(2, 2);
    cr_assert(test.reach.is_cut_off());
    cr_assert_not(test.reach.tries_direct("unknown", test.now));
}

Test(server_reach, servers_that_nobody_reaches_do_not_cut_a_router_off)
{
    harness test;
    for (const char* server : {"a", "b", "c"})
    {
        test.reach.direct_failed(server, failure::no_answer, test.now);
        test.reach.unreached_by_all(server, test.now);
    }
    cr_assert_not(test.reach.is_cut_off());
    cr_assert_not(test.reach.asks_others("a", test.now));
    test.now += 2s;
    cr_assert(test.reach.asks_others("a", test.now));
}

Test(server_reach, a_router_that_reaches_most_servers_is_not_cut_off)
{
    harness test;
    for (const char* server : {"a", "b", "c"})
        test.reach.direct_opened(server, test.now);
    test.lose(1, 3);
    cr_assert_not(test.reach.is_cut_off());
    test.lose(4, 4);
    cr_assert(test.reach.is_cut_off());
}

Test(server_reach, the_direct_way_is_used_again_after_it_has_worked_once)
{
    harness test;
    test.lose(1, 3);
    for (int i = 1; i <= 3; ++i)
        test.reach.direct_opened(std::to_string(i), test.now);
    cr_assert_not(test.reach.is_cut_off());
    cr_assert(test.reach.tries_direct("1", test.now));
    cr_assert(test.reach.tries_direct("unknown", test.now));
}

// Open connections work while new ones are refused; if new ones hang, open ones
// are dead.
Test(server_reach, open_connections_are_reused_unless_new_ones_hang)
{
    harness test;
    test.reach.direct_failed("a", failure::refused, test.now);
    test.reach.direct_failed("b", failure::no_answer, test.now);
    cr_assert(test.reach.may_reuse_direct("a"));
    cr_assert_not(test.reach.may_reuse_direct("b"));
    cr_assert(test.reach.may_reuse_direct("c"));
}

Test(server_reach, old_failures_are_forgotten)
{
    harness test;
    test.lose(1, 5);
    test.now += 11s;
    test.reach.direct_opened("a", test.now);
    cr_assert_not(test.reach.is_cut_off());
    cr_assert(test.reach.tries_direct("1", test.now));
}

// Guards against routers that wait for each other while one reaches the server
// again.
Test(server_reach, the_last_resort_is_tried_unless_it_would_cost_a_timeout)
{
    harness test;
    test.reach.direct_failed("a", failure::refused, test.now);
    cr_assert(test.reach.tries_as_last_resort("a", test.now));
    test.reach.direct_failed("b", failure::no_answer, test.now);
    cr_assert_not(test.reach.tries_as_last_resort("b", test.now));
    cr_assert(test.reach.tries_as_last_resort("c", test.now));
    test.lose(1, 3);
    cr_assert_not(test.reach.tries_as_last_resort("c", test.now));
    test.now += 501ms;
    cr_assert(test.reach.tries_as_last_resort("b", test.now));
    cr_assert(test.reach.tries_as_last_resort("c", test.now));
}

// Guards against a router that sends nothing and keeps an old judgement.
Test(server_reach, a_judgement_expires_without_further_attempts)
{
    harness test;
    test.lose(1, 5);
    test.reach.tick(test.now + 5s);
    cr_assert(test.reach.is_cut_off());
    test.reach.tick(test.now + 11s);
    cr_assert_not(test.reach.is_cut_off());
}

Test(server_reach, routers_return_to_the_direct_way_at_different_times)
{
    int early = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
    {
        server_reach::options settings;
        settings.seed = seed;
        server_reach reach(settings);
        reach.direct_failed("a", failure::refused, instant{100s});
        early += reach.tries_direct("a", instant{100s} + 750ms) ? 1 : 0;
    }
    cr_assert_gt(early, 20);
    cr_assert_lt(early, 80);
}
