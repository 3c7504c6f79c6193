#include "harness.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;
using end_kind = attempt_result::end;

namespace
{

request_info once(const harness& test)
{
    request_info request = test.info();
    request.repeatable = false;
    return request;
}

} // namespace

Test(retries, a_refused_one_goes_to_another_server)
{
    harness test;
    test.model("m", 1, 2);
    const ticket id = test.submit(once(test));
    const std::uint32_t first = test.engine(id);
    cr_assert(not test.finish(id, end_kind::refused_not_run).final_answer);
    cr_assert_eq(test.grants[id].size(), 2);
    cr_assert_neq(test.engine(id), first);
    cr_assert_eq(test.grants[id][1].attempt, 1);
}

Test(retries, waits_for_another_server_rather_than_the_same)
{
    harness test;
    test.model("m", 1, 2);
    const ticket id = test.submit();
    const ticket other = test.submit();
    cr_assert(not test.finish(id, end_kind::not_sent).final_answer);
    cr_assert_eq(test.grants[id].size(), 1, "the other server is full");
    cr_assert(test.granted(test.submit()), "and doesn't hold up the rest");
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

Test(retries, one_not_repeatable_is_final_once_it_may_have_run)
{
    for (const end_kind how : {end_kind::broken, end_kind::no_progress})
    {
        harness test;
        test.model("m", 1, 2);
        const ticket id = test.submit(once(test));
        const auto outcome = test.finish(id, how);
        cr_assert(outcome.final_answer);
        cr_assert(outcome.outcome == verdict::may_have_run);
        cr_assert_eq(test.grants[id].size(), 1);
    }
}

Test(retries, a_repeatable_one_is_sent_again_unless_its_answer_started)
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

Test(retries, the_deadline_goes_on)
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

Test(retries, the_budget_bounds_them)
{
    harness test;
    test.model("m", 1, 4, 8);
    const auto retried = [&test](int tries)
    {
        int count = 0;
        for (int i = 0; i < tries; ++i)
        {
            const ticket id = test.submit();
            const auto outcome = test.finish(id, end_kind::not_sent);
            count += outcome.final_answer ? 0 : 1;
            cr_assert(
                !outcome.final_answer ||
                outcome.reason == refusal_reason::retries_exhausted);
            test.core.abandon(id, test.now);
            test.collect();
        }
        return count;
    };
    cr_assert_eq(retried(20), 3, "the floor");
    for (int i = 0; i < 50; ++i)
    {
        test.finish(test.submit());
    }
    cr_assert_eq(retried(20), 10, "a fifth of the answers");
    test.now += 1s;
    cr_assert_eq(retried(20), 3, "the floor of a second");
}

Test(retries, a_broken_connection_is_a_crash_suspicion)
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
    cr_assert_eq(test.grants[id].size(), 2, "nothing is known of the second");
    test.examined(crash_finding::crashed);
    cr_assert_eq(
        test.grants[id].size(), 2, "it doesn't take a third server down");
    cr_assert(test.refused(id) == refusal_reason::backend_failed);
    cr_assert(test.refusals[id][0].outcome == verdict::may_have_run);
}

// A network device that resets connections doesn't crash servers.
Test(retries, a_server_that_survived_does_not_count_as_crashed)
{
    harness test;
    test.model("m", 1, 3, 4);
    request_info request = test.info();
    request.content = fingerprint(9);
    const ticket id = test.submit(request);
    test.finish(id, end_kind::broken);
    test.finish(id, end_kind::broken);
    cr_assert_eq(test.grants[id].size(), 2, "it waits for what is found");
    test.examined(crash_finding::survived);
    cr_assert_eq(test.grants[id].size(), 3);
    cr_assert(test.finish(id).outcome == verdict::answered);
}

Test(retries, what_can_not_be_told_counts_as_a_crash)
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

Test(retries, one_that_waits_for_findings_meets_its_deadline)
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

Test(retries, a_run_that_was_stopped_may_have_run_and_crashed_nothing)
{
    harness test;
    test.model("m", 1, 2, 4);
    request_info request = test.info();
    request.content = fingerprint(9);
    const ticket id = test.submit(request);
    cr_assert(not test.finish(id, end_kind::stopped).final_answer);
    cr_assert_eq(test.grants[id].size(), 2);
    cr_assert(test.crashes.empty());
    const auto end = test.finish(test.submit(once(test)), end_kind::stopped);
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

Test(retries, a_stream_that_breaks_is_a_crash_suspicion_too)
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

Test(resume, a_stream_that_can_be_continued_gets_another_server)
{
    harness test;
    test.model("m", 1, 2, 4);
    const ticket id = test.submit();
    const ticket other = test.submit();
    cr_assert(not test.cut(id, true).final_answer);
    cr_assert_eq(test.grants[id].size(), 2, "at once, beside others");
    cr_assert_neq(test.grants[id][1].engine, test.grants[id][0].engine);
    cr_assert(test.finish(other).final_answer);
    const auto end = test.cut(id, false);
    cr_assert(end.final_answer);
    cr_assert(end.outcome == verdict::may_have_run);
    cr_assert(end.reason == refusal_reason::stream_cut);
}

Test(resume, a_stream_goes_on_after_each_cut_that_was_no_crash)
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

Test(resume, a_stream_that_gets_no_further_is_cut)
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

Test(resume, one_not_repeatable_is_never_continued)
{
    harness test;
    test.model("m", 1, 2, 4);
    const ticket id = test.submit(once(test));
    const auto end = test.cut(id, true);
    cr_assert(end.final_answer);
    cr_assert(end.outcome == verdict::may_have_run);
}

// Urgent streams are continued first when the budget is short.
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

Test(retry_after, tells_when_a_lone_replica_may_be_back)
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
