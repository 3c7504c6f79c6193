#include "core/routing/server_pause.hpp"
#include "harness.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;
using detail::server_pause;

namespace
{

constexpr server_place first_server{engine_id(1), {}};
constexpr server_place second_server{engine_id(2), {}};

/// The pauses are longer than any request waits, and than callers are told.
constexpr duration longest_retry_after = 10min;

/// Longer than the time after which all routers begin again.
constexpr duration after(duration pause)
{
    return pause + pause / 4;
}

} // namespace

Test(server_pauses, the_later_end_holds)
{
    server_pause pause;
    pause.begin(instant(10s));
    pause.begin(instant(5s));
    cr_assert(pause.is_active(instant(9s)));
    cr_assert_not(pause.is_active(instant(10s)));
    pause.begin(instant(12s));
    cr_assert(pause.is_active(instant(11s)));
}

Test(server_pauses, requests_come_back_one_by_one)
{
    server_pause pause;
    constexpr std::uint32_t many = 1000;
    cr_assert(pause.allows(many, instant(0s)));
    pause.begin(instant(10s));
    cr_assert_not(pause.allows(0, instant(9s)));
    cr_assert(pause.allows(0, instant(10s)));
    cr_assert_not(pause.allows(1, instant(10s)));
    pause.accepted(instant(9s));
    cr_assert_not(pause.allows(1, instant(10s)), "accepted before the end");
    pause.accepted(instant(10s));
    cr_assert(pause.allows(1, instant(10s)));
    cr_assert_not(pause.allows(2, instant(10s)));
    pause.rejected();
    cr_assert_not(pause.allows(1, instant(10s)));
    for (std::uint32_t i = 0; i < 3 * many; ++i)
        pause.accepted(instant(11s));
    cr_assert(pause.allows(many, instant(11s)));
}

/// All models of an engine, since it is the engine that wants a pause.
Test(server_pauses, a_paused_engine_gets_no_request_for_any_model)
{
    harness test;
    test.model("m", 1, 1);
    test.model("n", 2, 1, 1, 1);
    test.core.server_paused(first_server, 3h, test.now);
    for (const char* name : {"m", "n"})
    {
        request_info request = test.info();
        request.target = name;
        const ticket refused = test.submit(request);
        test.collect();
        cr_assert(test.grants.empty());
        cr_assert_eq(
            test.refusals.at(refused).back().reason, refusal_reason::deadline);
        cr_assert_geq(
            test.refusals.at(refused).back().retry_after.count(),
            longest_retry_after.count());
    }
}

Test(server_pauses, other_servers_are_used_meanwhile)
{
    harness test;
    test.model("m", 1, 2, 8);
    test.core.server_paused(first_server, 3h, test.now);
    for (int i = 0; i < 8; ++i)
    {
        const ticket request = test.submit();
        test.collect();
        cr_assert_eq(test.grants.at(request).back().engine, engine_id(2));
    }
    // The other one is full: the request waits for it.
    test.submit();
    test.collect();
    cr_assert_eq(test.core.queued(), 1);
}

Test(server_pauses, a_request_that_can_wait_for_the_end_is_served_then)
{
    harness test;
    test.model("m", 1, 1, 8);
    test.core.server_paused(first_server, 1s, test.now);
    const ticket first = test.submit();
    const ticket second = test.submit();
    test.collect();
    cr_assert(test.grants.empty());
    cr_assert(test.refusals.empty());
    test.now += after(1s);
    test.core.tick(test.now);
    test.collect();
    cr_assert_eq(test.grants.size(), 1);
    cr_assert(test.grants.contains(first));
    test.core.server_took_request(first_server, false, test.now);
    test.collect();
    cr_assert(test.grants.contains(second));
}

/// What was granted before is not sent, and doesn't count as a failure.
Test(server_pauses, a_granted_request_may_not_be_sent_to_a_paused_server)
{
    harness test;
    test.model("m", 1, 1);
    test.core.server_paused(first_server, 1s, test.now);
    cr_assert_not(test.core.takes_requests(first_server, "vm1", test.now));
    cr_assert(test.core.takes_requests(second_server, "vm2", test.now));
    test.now += after(1s);
    cr_assert(test.core.takes_requests(first_server, "vm1", test.now));
}

Test(server_pauses, a_waiting_request_is_refused_when_its_last_server_pauses)
{
    harness test;
    test.model("m", 1, 1, 1);
    test.submit();
    const ticket waiting = test.submit();
    test.collect();
    cr_assert_not(test.refusals.contains(waiting));
    test.core.server_paused(first_server, 3h, test.now);
    test.collect();
    cr_assert(test.refusals.contains(waiting));
}

Test(server_pauses, a_rejected_request_that_cannot_wait_ends_at_once)
{
    harness test;
    test.model("m", 1, 1);
    const ticket request = test.submit();
    test.collect();
    test.core.server_paused(first_server, 3h, test.now);
    attempt_result rejected;
    rejected.how = attempt_result::end::refused_not_run;
    rejected.no_room = true;
    const auto outcome = test.core.finished(request, rejected, test.now);
    cr_assert(outcome.final_answer);
    cr_assert_eq(outcome.outcome, verdict::not_run);
    cr_assert_geq(outcome.retry_after.count(), longest_retry_after.count());
}

Test(server_pauses, a_restart_ends_the_pause)
{
    harness test;
    test.model("m", 1, 1);
    test.core.server_paused(first_server, 3h, test.now);
    test.core.server_paused(first_server, 0s, test.now);
    const ticket request = test.submit();
    test.collect();
    cr_assert(test.grants.contains(request));
}

/// The place was drawn for a request that may not be sent now.
Test(server_pauses, a_place_at_a_paused_server_goes_back_at_once)
{
    harness test;
    test.model("m", 1, 1, 8);
    test.core.server_counted(first_server, true, test.now);
    test.submit();
    test.core.server_paused(first_server, 1s, test.now);
    test.core.take_commands();
    test.core.permit_given(first_server, test.now, test.now);
    const auto commands = test.core.take_commands();
    cr_assert(std::ranges::any_of(
        commands,
        [](const dispatch_command& one)
        {
            return std::holds_alternative<place_released>(one);
        }));
}

/// A hedge is no reason to disturb a server that wants a pause.
Test(server_pauses, no_hedge_goes_to_a_paused_server)
{
    harness test;
    test.model("m", 1, 2);
    const ticket request = test.submit();
    test.collect();
    const engine_id used = test.grants.at(request).back().engine;
    test.core.server_paused(
        used == engine_id(1) ? second_server : first_server, 1s, test.now);
    cr_assert_not(test.core.hedge(request, test.now).has_value());
}
