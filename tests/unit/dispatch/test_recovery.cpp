#include "harness.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

using end_kind = attempt_result::end;

/// Submits requests to a model whose only server became unreachable. All
/// attempts fail, so none is running on return.
std::vector<ticket> submit_to_unreachable(harness& test, std::size_t count)
{
    test.model("m", 1, 1, 4);
    std::vector<ticket> tickets;
    for (std::size_t i = 0; i < count; ++i)
    {
        tickets.push_back(test.submit());
    }
    for (int attempt = 0; attempt < 3; ++attempt)
    {
        const auto outcome = test.finish(tickets[0], end_kind::not_sent);
        cr_assert(not outcome.final_answer);
        cr_assert(outcome.outcome == verdict::not_run);
    }
    for (std::size_t i = 1; i < tickets.size() && test.granted(tickets[i]); ++i)
    {
        cr_assert(not test.finish(tickets[i], end_kind::not_sent).final_answer);
    }
    return tickets;
}

/// Lets every granted request fail at once, for the given time.
/// @return The number of attempts.
std::size_t fail_all(harness& test, duration length)
{
    std::size_t attempts = 0;
    for (duration passed{}; passed < length; passed += 50ms)
    {
        test.tick(50ms);
        while (!test.order.empty())
        {
            const ticket id = test.order.back();
            test.order.pop_back();
            ++attempts;
            test.finish(id, end_kind::not_sent);
        }
    }
    return attempts;
}

} // namespace

Test(recovery, requests_of_a_lost_server_go_to_its_replacement)
{
    harness test;
    const auto tickets = submit_to_unreachable(test, 3);
    test.order.clear();
    test.tick(50ms);
    cr_assert(test.order.empty(), "no immediate retry");
    test.model("m", 1, 1, 4, 2);
    cr_assert_eq(test.engine(tickets[0]), 2);
    cr_assert(test.finish(tickets[0]).final_answer);
    cr_assert(test.refusals.empty());
}

Test(recovery, requests_continue_when_the_server_is_back)
{
    harness test;
    const auto tickets = submit_to_unreachable(test, 1);
    test.order.clear();
    test.tick(100ms);
    cr_assert_eq(test.order.size(), 1, "one request probes the server");
    cr_assert(test.finish(tickets[0]).final_answer);
    const ticket first = test.submit();
    const ticket second = test.submit();
    cr_assert(test.granted(first) && test.granted(second));
}

Test(recovery, the_probe_rate_is_independent_of_the_waiting_requests)
{
    harness test;
    submit_to_unreachable(test, 200);
    test.order.clear();
    const std::size_t attempts = fail_all(test, 10s);
    cr_assert_leq(attempts, 20, "%zu attempts", attempts);
    cr_assert(test.refusals.empty());
}

Test(recovery, requests_are_refused_if_the_server_stays_unreachable)
{
    harness test;
    const auto tickets = submit_to_unreachable(test, 20);
    test.order.clear();
    fail_all(test, 20s);
    // The request of the last attempt is answered by `finished` instead.
    cr_assert_geq(test.refusals.size(), tickets.size() - 1);
    for (const auto& [id, refused] : test.refusals)
    {
        cr_assert(refused.front().reason == refusal_reason::backend_failed);
        cr_assert(refused.front().outcome == verdict::not_run);
        cr_assert(refused.front().retry_after >= 10s, "the load estimate");
        cr_assert(refused.front().retry_after <= 13s);
    }
    cr_assert_eq(test.core.queued(), 0);
}

Test(recovery, a_deadline_ends_the_wait_for_recovery)
{
    harness test;
    test.model("m", 1, 1);
    request_info request = test.info();
    request.deadline = test.now + 1s;
    const ticket id = test.submit(request);
    for (int attempt = 0; attempt < 3; ++attempt)
    {
        cr_assert(not test.finish(id, end_kind::not_sent).final_answer);
    }
    test.order.clear();
    fail_all(test, 2s);
    cr_assert_eq(test.core.queued(), 0);
}
