#include "harness.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

using end_kind = attempt_result::end;

/// Calls at a model whose only server just became unreachable: none runs.
std::vector<ticket> strand(harness& test, std::size_t count)
{
    test.model("m", 1, 1, 4);
    std::vector<ticket> calls;
    for (std::size_t i = 0; i < count; ++i)
    {
        calls.push_back(test.submit());
    }
    for (int attempt = 0; attempt < 3; ++attempt)
    {
        const auto outcome = test.finish(calls[0], end_kind::not_sent);
        cr_assert(not outcome.final_answer);
        cr_assert(outcome.outcome == verdict::not_run);
    }
    for (std::size_t i = 1; i < calls.size() && test.granted(calls[i]); ++i)
    {
        cr_assert(not test.finish(calls[i], end_kind::not_sent).final_answer);
    }
    return calls;
}

/// Let every granted call fail as soon as it is granted, for some time.
/// @return How many attempts there were.
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

Test(recovery, calls_of_a_lone_dead_server_go_to_the_one_that_replaces_it)
{
    harness test;
    const auto calls = strand(test, 3);
    test.order.clear();
    test.tick(50ms);
    cr_assert(test.order.empty(), "nothing more is sent to it at once");
    test.model("m", 1, 1, 4, 2);
    cr_assert_eq(test.engine(calls[0]), 2);
    cr_assert(test.finish(calls[0]).final_answer);
    cr_assert(test.refusals.empty());
}

Test(recovery, calls_go_on_when_the_server_is_back)
{
    harness test;
    const auto calls = strand(test, 1);
    test.order.clear();
    test.tick(100ms);
    cr_assert_eq(test.order.size(), 1, "one probes the server");
    cr_assert(test.finish(calls[0]).final_answer);
    const ticket first = test.submit();
    const ticket second = test.submit();
    cr_assert(test.granted(first) && test.granted(second));
}

Test(recovery, a_dead_server_is_probed_rarely_however_many_wait)
{
    harness test;
    strand(test, 200);
    test.order.clear();
    const std::size_t attempts = fail_all(test, 10s);
    cr_assert_leq(attempts, 20, "%zu attempts", attempts);
    cr_assert(test.refusals.empty());
}

Test(recovery, callers_are_refused_when_the_server_stays_away)
{
    harness test;
    const auto calls = strand(test, 20);
    test.order.clear();
    fail_all(test, 20s);
    // The one whose attempt was the last got its answer from `finished`.
    cr_assert_geq(test.refusals.size(), calls.size() - 1);
    for (const auto& [id, refused] : test.refusals)
    {
        cr_assert(refused.front().reason == refusal_reason::backend_failed);
        cr_assert(refused.front().outcome == verdict::not_run);
        cr_assert(refused.front().retry_after >= 10s, "the load estimate");
        cr_assert(refused.front().retry_after <= 13s);
    }
    cr_assert_eq(test.core.queued(), 0);
}

Test(recovery, a_deadline_ends_the_wait)
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
