#include "harness.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;
using end_kind = attempt_result::end;

namespace
{

request_info non_repeatable(const harness& test)
{
    request_info request = test.info();
    request.repeatable = false;
    return request;
}

} // namespace

Test(retries, a_refused_request_goes_to_another_server)
{
    harness test;
    test.model("m", 1, 2);
    const ticket id = test.submit(non_repeatable(test));
    const std::uint32_t first = test.engine(id);
    cr_assert(not test.finish(id, end_kind::refused_not_run).final_answer);
    cr_assert_eq(test.grants[id].size(), 2);
    cr_assert_neq(test.engine(id), first);
    cr_assert_eq(test.grants[id][1].attempt, 1);
}

Test(retries, a_retry_waits_for_another_server)
{
    harness test;
    test.model("m", 1, 2);
    const ticket id = test.submit();
    const ticket other = test.submit();
    cr_assert(not test.finish(id, end_kind::not_sent).final_answer);
    cr_assert_eq(test.grants[id].size(), 1, "the other server is full");
    cr_assert(test.granted(test.submit()), "the retry does not block others");
    test.finish(other);
    cr_assert_eq(test.grants[id].size(), 2);
    cr_assert_neq(test.grants[id][1].engine, test.grants[id][0].engine);
}

Test(retries, the_only_server_is_tried_again)
{
    harness test;
    test.model("m", 1, 1);
    const ticket id = test.submit();
    cr_assert(not test.finish(id, end_kind::not_sent).final_answer);
    cr_assert_eq(test.grants[id].size(), 2);
}

Test(retries, a_non_repeatable_request_is_final_once_it_may_have_run)
{
    for (const end_kind how : {end_kind::broken, end_kind::no_progress})
    {
        harness test;
        test.model("m", 1, 2);
        const ticket id = test.submit(non_repeatable(test));
        const auto outcome = test.finish(id, how);
        cr_assert(outcome.final_answer);
        cr_assert(outcome.outcome == verdict::may_have_run);
        cr_assert_eq(test.grants[id].size(), 1);
    }
}

Test(retries, a_repeatable_request_is_retried_unless_its_answer_started)
{
    harness test;
    test.model("m", 1, 2);
    const ticket id = test.submit();
    cr_assert(not test.finish(id, end_kind::no_progress).final_answer);
    const auto outcome = test.finish(id, end_kind::broken, 1s, true);
    cr_assert(outcome.final_answer);
    cr_assert(outcome.outcome == verdict::may_have_run);
    cr_assert(outcome.reason == refusal_reason::stream_cut);
}

Test(retries, attempts_are_bounded)
{
    harness test;
    test.model("m", 1, 4);
    const ticket id = test.submit();
    cr_assert(not test.finish(id, end_kind::not_sent).final_answer);
    cr_assert(not test.finish(id, end_kind::not_sent).final_answer);
    const auto outcome = test.finish(id, end_kind::not_sent);
    cr_assert(outcome.final_answer);
    cr_assert(outcome.outcome == verdict::not_run);
    cr_assert(outcome.reason == refusal_reason::backend_failed);
}

Test(retries, a_retry_keeps_the_deadline)
{
    harness test;
    test.model("m", 1, 2);
    request_info request = test.info();
    request.deadline = test.now + 1s;
    const ticket id = test.submit(request);
    test.now += 1s;
    const auto outcome = test.finish(id, end_kind::not_sent);
    cr_assert(outcome.final_answer);
    cr_assert(outcome.reason == refusal_reason::deadline);
}

Test(retries, the_budget_limits_retries)
{
    harness test;
    test.model("m", 1, 4, 8);
    const auto retried = [&test](int tries)
    {
        int count = 0;
        for (int i = 0; i < tries; ++i)
        {
            const ticket id = test.submit();
            const auto outcome = test.finish(id, end_kind::refused_not_run);
            count += outcome.final_answer ? 0 : 1;
            cr_assert(
                !outcome.final_answer ||
                outcome.reason == refusal_reason::retries_exhausted);
            test.core.abandon(id, test.now);
            test.collect();
        }
        return count;
    };
    cr_assert_eq(retried(20), 3, "the initial tokens");
    for (int i = 0; i < 50; ++i)
    {
        test.finish(test.submit());
    }
    cr_assert_eq(retried(20), 10, "20 % of the answers");
    test.now += 1s;
    cr_assert_eq(retried(20), 3, "the tokens of one second");
}

// Guards against refusing requests for their retries although none of them
// reached a server.
Test(retries, attempts_that_sent_nothing_use_no_budget)
{
    harness test;
    test.model("m", 1, 4, 8);
    for (int i = 0; i < 20; ++i)
    {
        const ticket id = test.submit();
        const auto outcome = test.finish(id, end_kind::not_sent);
        cr_assert(not outcome.final_answer, "attempt %d", i);
        test.core.abandon(id, test.now);
        test.collect();
    }
}

Test(retries, a_broken_connection_makes_a_request_suspect)
{
    harness test;
    test.model("m", 1, 3, 4);
    request_info request = test.info();
    request.content = fingerprint(9);
    const ticket id = test.submit(request);
    const std::uint32_t first = test.engine(id);
    cr_assert(not test.finish(id, end_kind::broken).final_answer);
    cr_assert_eq(test.crashes.size(), 1);
    cr_assert(test.crashes[0].request == fingerprint(9));
    cr_assert_eq(test.crashes[0].engine.value, first);

    const std::uint32_t second = test.engine(id);
    cr_assert_neq(second, first);
    for (int i = 0; i < 8; ++i)
    {
        cr_assert_neq(test.engine(test.submit()), second, "it runs alone");
    }
    test.examined(crash_finding::crashed);
    test.finish(id, end_kind::broken);
    cr_assert_eq(test.crashes.size(), 2);
    test.tick(1s);
    cr_assert_eq(test.grants[id].size(), 2, "awaits the second finding");
    test.examined(crash_finding::crashed);
    cr_assert_eq(test.grants[id].size(), 2, "must not reach a third server");
    cr_assert(test.refused(id) == refusal_reason::backend_failed);
    cr_assert(test.refusals[id][0].outcome == verdict::may_have_run);
}

// Guards against counting a connection that a network device reset as a crash.
Test(retries, a_server_that_survived_does_not_count_as_crashed)
{
    harness test;
    test.model("m", 1, 3, 4);
    request_info request = test.info();
    request.content = fingerprint(9);
    const ticket id = test.submit(request);
    test.finish(id, end_kind::broken);
    test.finish(id, end_kind::broken);
    cr_assert_eq(test.grants[id].size(), 2, "awaits the findings");
    test.examined(crash_finding::survived);
    cr_assert_eq(test.grants[id].size(), 3);
    cr_assert(test.finish(id).outcome == verdict::answered);
}

Test(retries, an_unknown_finding_counts_as_a_crash)
{
    harness test;
    test.model("m", 1, 3, 4);
    request_info request = test.info();
    request.content = fingerprint(9);
    const ticket id = test.submit(request);
    test.finish(id, end_kind::broken);
    test.examined(crash_finding::unknown);
    test.finish(id, end_kind::broken);
    test.examined(crash_finding::unknown);
    cr_assert(test.refused(id) == refusal_reason::backend_failed);
}

Test(retries, a_request_that_awaits_findings_is_refused_at_its_deadline)
{
    harness test;
    test.model("m", 1, 3, 4);
    request_info request = test.info();
    request.content = fingerprint(9);
    request.deadline = test.now + 2s;
    const ticket id = test.submit(request);
    test.finish(id, end_kind::broken);
    test.finish(id, end_kind::broken);
    test.tick(2s);
    cr_assert(test.refused(id) == refusal_reason::deadline);
    cr_assert(test.refusals[id][0].outcome == verdict::may_have_run);
    test.examined(crash_finding::survived);
    cr_assert_eq(test.grants[id].size(), 2);
}

Test(retries, a_cancelled_run_may_have_run_and_is_no_crash)
{
    harness test;
    test.model("m", 1, 2, 4);
    request_info request = test.info();
    request.content = fingerprint(9);
    const ticket id = test.submit(request);
    cr_assert(not test.finish(id, end_kind::stopped).final_answer);
    cr_assert_eq(test.grants[id].size(), 2);
    cr_assert(test.crashes.empty());
    const auto end =
        test.finish(test.submit(non_repeatable(test)), end_kind::stopped);
    cr_assert(end.final_answer);
    cr_assert(end.outcome == verdict::may_have_run);
}

Test(retries, two_connections_to_one_crashed_server_are_one_crash)
{
    harness test;
    test.model("m", 1, 1, 4);
    request_info request = test.info();
    request.content = fingerprint(9);
    const ticket id = test.submit(request);
    cr_assert(not test.finish(id, end_kind::broken).final_answer);
    test.examined(crash_finding::crashed);
    cr_assert(test.finish(id, end_kind::broken).final_answer);
    cr_assert_eq(test.crashes.size(), 1);
}

Test(retries, a_broken_stream_is_reported_as_a_possible_crash)
{
    harness test;
    test.model("m", 1, 1);
    request_info request = test.info();
    request.content = fingerprint(9);
    const ticket id = test.submit(request);
    cr_assert(test.finish(id, end_kind::broken, 1s, true).final_answer);
    cr_assert_eq(test.crashes.size(), 1);
}

Test(retries, a_refusal_after_a_broken_attempt_says_may_have_run)
{
    harness test;
    test.model("m", 1, 2);
    const ticket id = test.submit();
    const ticket other = test.submit();
    cr_assert(not test.finish(id, end_kind::no_progress).final_answer);
    cr_assert_eq(test.grants[id].size(), 1);
    test.core.drain(test.now);
    test.collect();
    cr_assert(test.refused(id) == refusal_reason::draining);
    cr_assert(test.refusals[id][0].outcome == verdict::may_have_run);
    test.finish(other);
}

Test(retries, an_abandoned_grant_frees_its_slot)
{
    harness test;
    test.model("m", 1, 1);
    const ticket first = test.submit();
    const ticket second = test.submit();
    test.core.abandon(first, test.now);
    test.collect();
    cr_assert(test.granted(second));
    cr_assert(test.finish(first).outcome == verdict::may_have_run);
}

Test(resume, a_resumable_stream_continues_on_another_server)
{
    harness test;
    test.model("m", 1, 2, 4);
    const ticket id = test.submit();
    const ticket other = test.submit();
    cr_assert(not test.cut(id, true).final_answer);
    cr_assert_eq(test.grants[id].size(), 2, "at once, not alone on a server");
    cr_assert_neq(test.grants[id][1].engine, test.grants[id][0].engine);
    cr_assert(test.finish(other).final_answer);
    const auto end = test.cut(id, false);
    cr_assert(end.final_answer);
    cr_assert(end.outcome == verdict::may_have_run);
    cr_assert(end.reason == refusal_reason::stream_cut);
}

Test(resume, a_stream_is_resumed_after_each_cut_that_was_no_crash)
{
    harness test;
    test.model("m", 1, 8, 4);
    request_info request = test.info();
    request.content = fingerprint(9);
    const ticket id = test.submit(request);
    constexpr std::size_t cuts = 12;
    for (std::size_t i = 0; i < cuts; ++i)
    {
        cr_assert(not test.cut(id, true).final_answer);
        test.examined(crash_finding::survived);
        cr_assert_eq(test.grants[id].size(), i + 2);
    }
    test.cut(id, true);
    test.examined(crash_finding::crashed);
    cr_assert(not test.cut(id, true).final_answer);
    test.examined(crash_finding::crashed);
    cr_assert(test.refused(id) == refusal_reason::stream_cut);
}

Test(resume, a_stream_without_progress_is_cut)
{
    harness test;
    test.model("m", 1, 2, 4);
    const ticket id = test.submit();
    cr_assert(not test.cut(id, true, 5).final_answer);
    cr_assert(not test.cut(id, true, 0).final_answer);
    const auto end = test.cut(id, true, 0);
    cr_assert(end.final_answer);
    cr_assert(end.reason == refusal_reason::stream_cut);
}

Test(resume, a_non_repeatable_request_is_never_resumed)
{
    harness test;
    test.model("m", 1, 2, 4);
    const ticket id = test.submit(non_repeatable(test));
    const auto end = test.cut(id, true);
    cr_assert(end.final_answer);
    cr_assert(end.outcome == verdict::may_have_run);
}

Test(resume, the_last_third_of_the_budget_is_for_urgent_streams)
{
    harness test;
    test.allow_urgent();
    test.model("m", 1, 2, 200);
    std::size_t continued = 0;
    for (int i = 0; i < 200; ++i)
        continued += test.cut(test.submit(), true).final_answer ? 0 : 1;
    cr_assert(continued > 0 && continued < 200);
    std::size_t urgent = 0;
    for (int i = 0; i < 200; ++i)
    {
        const ticket id = test.submit(priority::urgent);
        urgent += test.cut(id, true).final_answer ? 0 : 1;
    }
    cr_assert(urgent * 3 >= continued, "%zu after %zu", urgent, continued);
}

Test(retry_after, is_the_load_time_if_the_only_replica_is_lost)
{
    harness test;
    test.model("m", 1, 1);
    const ticket id = test.submit();
    test.finish(id, end_kind::not_sent);
    test.finish(id, end_kind::not_sent);
    cr_assert(not test.finish(id, end_kind::not_sent).final_answer);
    test.tick(15s);
    const auto end = test.finish(id, end_kind::not_sent);
    cr_assert(end.final_answer);
    cr_assert(end.outcome == verdict::not_run);
    cr_assert(end.retry_after >= 10s, "the model's load estimate");
    cr_assert(end.retry_after <= 13s);
}

Test(retry_after, is_short_while_another_replica_is_ready)
{
    harness test;
    test.model("m", 1, 4);
    const ticket id = test.submit();
    test.finish(id, end_kind::not_sent);
    test.finish(id, end_kind::not_sent);
    const auto end = test.finish(id, end_kind::not_sent);
    cr_assert(end.final_answer);
    cr_assert(end.retry_after > 0s && end.retry_after < 1s);
}
