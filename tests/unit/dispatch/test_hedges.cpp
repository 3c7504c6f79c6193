#include "harness.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;
using end_kind = attempt_result::end;

namespace
{

/// A model on two engines, and one running request of it.
struct hedge_fixture : harness
{
    explicit hedge_fixture(std::uint32_t engines = 2, std::uint16_t streams = 1)
    {
        this->model("m", 1, engines, streams);
    }

    std::optional<grant> hedge(ticket running)
    {
        const auto granted = this->core.hedge(running, this->now);
        this->collect();
        return granted;
    }
};

} // namespace

Test(hedges, a_hedge_runs_on_another_server)
{
    hedge_fixture test;
    const ticket first = test.submit();
    const auto second = test.hedge(first);
    cr_assert(second);
    cr_assert_neq(second->request, first);
    cr_assert_neq(second->engine.value, test.engine(first));
    cr_assert_eq(test.core.in_flight(), 2);
    cr_assert_eq(test.core.queued(), 0);
}

/// Its grant is the result, and must not be sent as a second reply.
Test(hedges, a_hedge_is_no_command)
{
    hedge_fixture test;
    const ticket first = test.submit();
    const auto second = test.hedge(first);
    cr_assert_not(test.granted(second->request));
}

/// Each ticket gives back its own slot, whichever attempt answers.
Test(hedges, both_attempts_free_their_slots_once)
{
    for (const bool hedge_wins : {false, true})
    {
        hedge_fixture test;
        const ticket first = test.submit();
        const ticket second = test.hedge(first)->request;
        const ticket winner = hedge_wins ? second : first;
        const ticket loser = hedge_wins ? first : second;
        test.core.abandon(loser, test.now);
        cr_assert_eq(test.core.in_flight(), 1);
        cr_assert(test.finish(winner).final_answer);
        cr_assert_eq(test.core.in_flight(), 0);
        const ticket third = test.submit();
        const ticket fourth = test.submit();
        cr_assert(test.granted(third) && test.granted(fourth));
        const ticket fifth = test.submit();
        cr_assert_not(test.granted(fifth));
    }
}

/// The request whose answer the hedge began continues under its ticket.
Test(hedges, a_hedge_is_retried_like_any_request)
{
    hedge_fixture test(3);
    const ticket first = test.submit();
    const ticket second = test.hedge(first)->request;
    test.core.abandon(first, test.now);
    cr_assert_not(test.finish(second, end_kind::broken).final_answer);
    cr_assert(test.granted(second));
    cr_assert_neq(test.engine(second), 0);
}

/// A second run of a request that isn't repeatable is the worst fault.
Test(hedges, a_request_that_runs_at_most_once_gets_none)
{
    hedge_fixture test;
    request_info info = test.info();
    info.repeatable = false;
    cr_assert_not(test.hedge(test.submit(info)));
}

Test(hedges, no_hedge_without_another_server)
{
    hedge_fixture test(1, 4);
    cr_assert_not(test.hedge(test.submit()));
}

Test(hedges, no_hedge_without_a_free_slot)
{
    hedge_fixture test;
    const ticket first = test.submit();
    test.submit();
    cr_assert_not(test.hedge(first));
}

/// A hedge must not take the slot that a waiting request could get.
Test(hedges, no_hedge_while_requests_wait)
{
    hedge_fixture test;
    const ticket first = test.submit();
    test.submit();
    test.submit();
    cr_assert_eq(test.core.queued(), 1);
    cr_assert_not(test.hedge(first));
}

/// Its permits are counted over all routers, and other requests wait for them.
Test(hedges, no_hedge_to_a_server_with_a_limit)
{
    hedge_fixture test;
    const ticket first = test.submit();
    test.limit(3 - test.engine(first), 1);
    cr_assert_not(test.hedge(first));
}

Test(hedges, no_hedge_of_a_request_that_has_ended_or_waits)
{
    hedge_fixture test(1);
    const ticket first = test.submit();
    const ticket waiting = test.submit();
    cr_assert_not(test.hedge(waiting));
    test.finish(first);
    cr_assert_not(test.hedge(first));
}

Test(hedges, no_hedge_while_the_router_shuts_down)
{
    hedge_fixture test;
    const ticket first = test.submit();
    test.core.drain(test.now);
    cr_assert_not(test.hedge(first));
}
