#include "core/pacing/leaving_servers.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr server_life first_life(1);
constexpr server_life second_life(2);

instant at(duration since_start)
{
    return instant(1000s + since_start);
}

/// @return The update that a router sends after a server has told it.
server_limit_update told_update(server_life life)
{
    leaving_servers told("r1");
    told.handle_answer("i-1", life, true, at(0s), at(0s));
    return told.take_update(at(0s)).value();
}

bool is_leaving(const leaving_servers& known, server_life life)
{
    const auto all = known.all();
    const auto found = all.find("i-1");
    return found != all.end() && found->second == life;
}

} // namespace

Test(leaving_servers, what_a_server_states_holds_for_its_life)
{
    leaving_servers known("r1");
    known.handle_answer("i-1", first_life, true, at(0s), at(0s));
    known.handle_answer("i-1", first_life, false, at(1s), at(2s));
    known.tick(at(1h));
    cr_assert(is_leaving(known, first_life));
    const auto changes = known.take_changes();
    cr_assert_eq(changes.size(), 1);
    cr_assert(changes[0].is_leaving && changes[0].is_own);
}

Test(leaving_servers, a_restart_ends_the_statement)
{
    leaving_servers known("r1");
    known.handle_answer("i-1", first_life, true, at(0s), at(0s));
    known.take_changes();
    known.restarted("i-1", first_life);
    cr_assert(known.take_changes().empty());
    known.restarted("i-1", second_life);
    const auto changes = known.take_changes();
    cr_assert_eq(changes.size(), 1);
    cr_assert_not(changes[0].is_leaving);
}

Test(leaving_servers, a_restart_ends_the_word_of_another_router)
{
    leaving_servers known("r2");
    known.handle_update(told_update(first_life), at(0s));
    known.take_changes();
    known.restarted("i-1", first_life);
    cr_assert(known.take_changes().empty());
    known.restarted("i-1", second_life);
    const auto changes = known.take_changes();
    cr_assert_eq(changes.size(), 1);
    cr_assert_not(changes[0].is_leaving);
    cr_assert_eq(changes[0].life, first_life);
    cr_assert(known.empty());
}

Test(leaving_servers, other_routers_are_told)
{
    leaving_servers other("r2");
    const server_limit_update update = told_update(first_life);
    cr_assert(is_leaving_server_key(update.limits.at(0).server));
    other.handle_update(update, at(0s));
    cr_assert(is_leaving(other, first_life));
    const auto changes = other.take_changes();
    cr_assert_eq(changes.size(), 1);
    cr_assert(changes[0].is_leaving);
    cr_assert_not(changes[0].is_own);
    cr_assert_eq(changes[0].server, "i-1");
}

/// A router that is wrong can't take servers away from the others.
Test(leaving_servers, the_word_of_another_router_expires)
{
    leaving_servers other("r2");
    other.handle_update(told_update(first_life), at(0s));
    other.take_changes();
    other.tick(at(1min));
    const auto changes = other.take_changes();
    cr_assert_eq(changes.size(), 1);
    cr_assert_not(changes[0].is_leaving);
    cr_assert(other.empty());
}

Test(leaving_servers, an_answer_to_a_later_request_refutes_another_router)
{
    leaving_servers other("r2");
    other.handle_update(told_update(first_life), at(1s));
    other.take_changes();
    other.handle_answer("i-1", first_life, false, at(0s), at(2s));
    cr_assert(is_leaving(other, first_life), "sent before the report");
    other.handle_answer("i-1", first_life, false, at(3s), at(4s));
    cr_assert_not(is_leaving(other, first_life));
}

Test(leaving_servers, an_own_statement_outlasts_the_reports)
{
    leaving_servers known("r1");
    known.handle_update(told_update(first_life), at(0s));
    known.handle_answer("i-1", first_life, true, at(1s), at(1s));
    known.take_changes();
    known.tick(at(2min));
    cr_assert(known.take_changes().empty());
    cr_assert(is_leaving(known, first_life));
}

/// A wrong response can't take a server away for its life.
Test(leaving_servers, a_replacement_expires_and_is_told_to_other_routers)
{
    leaving_servers known("r1");
    known.handle_replacement("i-1", first_life, at(0s));
    cr_assert(is_leaving(known, first_life));
    const auto changes = known.take_changes();
    cr_assert_eq(changes.size(), 1);
    cr_assert(changes[0].is_leaving);
    cr_assert(known.take_update(at(0s)).has_value());
    known.tick(at(1min));
    cr_assert(known.empty());
    cr_assert_not(known.take_changes().at(0).is_leaving);
}

Test(leaving_servers, a_replacement_ends_no_statement_of_the_server)
{
    leaving_servers known("r1");
    known.handle_answer("i-1", first_life, true, at(0s), at(0s));
    known.handle_replacement("i-1", first_life, at(1s));
    known.tick(at(1min));
    cr_assert(is_leaving(known, first_life));
}

Test(leaving_servers, malformed_keys_are_ignored)
{
    leaving_servers known("r1");
    for (const char* tail :
         {"", "0123", "zzzzzzzzzzzzzzzzi-1", "0123456789abcdef"})
        known.handle_update(
            {"r2",
             {{std::string("\x01"
                           "leaving ") +
                   tail,
               1,
               0}}},
            at(0s));
    cr_assert(known.take_changes().empty());
}
