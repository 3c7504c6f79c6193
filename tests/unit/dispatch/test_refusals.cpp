#include "harness.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

/// Runs five requests in sequence so that the estimator learns their duration.
void record_durations(harness& test, duration total)
{
    for (int i = 0; i < 5; ++i)
    {
        test.finish(test.submit(), attempt_result::end::answered, total);
    }
}

} // namespace

Test(admission, full_queue_refuses_and_urgent_displaces_batch)
{
    dispatcher::options settings;
    settings.max_queued_per_target = 2;
    harness test(settings);
    test.occupy();
    const ticket normal = test.submit();
    const ticket batch = test.submit(priority::batch);
    const ticket more_batch = test.submit(priority::batch);
    cr_assert(test.refused(more_batch) == refusal_reason::queue_full);
    const ticket urgent = test.submit(priority::urgent);
    cr_assert(test.refused(urgent) == refusal_reason::none);
    cr_assert(test.refused(batch) == refusal_reason::displaced);
    cr_assert(test.refusals[batch][0].outcome == verdict::not_run);
    cr_assert(test.refusals[batch][0].retry_after > 0s);
    cr_assert(test.refused(normal) == refusal_reason::none);
    cr_assert_eq(test.core.queued(), 2);
}

Test(admission, the_total_queue_limit_displaces_across_targets)
{
    dispatcher::options settings;
    settings.max_queued = 1;
    harness test(settings);
    test.occupy();
    test.model("other", 2, 1, 1, 5);
    const ticket batch = test.submit(priority::batch);
    request_info other = test.info();
    other.target = "other";
    test.submit(other);
    const ticket urgent = test.submit(other);
    cr_assert(test.refused(batch) == refusal_reason::displaced);
    cr_assert(test.refused(urgent) == refusal_reason::none);
}

Test(admission, held_bytes_are_bounded)
{
    dispatcher::options settings;
    settings.max_held_bytes = 100;
    harness test(settings);
    const ticket running = test.occupy();
    request_info batch = test.info(priority::batch);
    batch.held_bytes = 80;
    const ticket waits = test.submit(batch);
    cr_assert(test.refused(test.submit(batch)) == refusal_reason::queue_full);
    request_info urgent = test.info(priority::urgent);
    urgent.held_bytes = 90;
    const ticket admitted = test.submit(urgent);
    cr_assert(test.refused(waits) == refusal_reason::displaced);
    cr_assert(test.refused(admitted) == refusal_reason::none);
    test.finish(running);
    test.finish(admitted);
    cr_assert(test.granted(test.submit(urgent)), "bytes are released");
}

Test(admission, requests_per_second_are_limited)
{
    harness test;
    test.model("m", 1, 1, 8);
    caller_spec spec;
    spec.requests_per_second = 2;
    test.table.put_caller("anonymous", spec);
    test.publish();
    test.submit();
    test.submit();
    const ticket third = test.submit();
    cr_assert(test.refused(third) == refusal_reason::caller_limit);
    cr_assert_eq(test.refusals[third][0].retry_after.count(), 500'000);
    test.now += test.refusals[third][0].retry_after;
    cr_assert(test.granted(test.submit()));
}

Test(admission, requests_in_flight_are_limited)
{
    harness test;
    test.model("m", 1, 1, 8);
    caller_spec spec;
    spec.max_in_flight = 1;
    test.table.put_caller("anonymous", spec);
    test.publish();
    const ticket first = test.submit();
    cr_assert(test.refused(test.submit()) == refusal_reason::caller_limit);
    test.finish(first);
    const ticket second = test.submit();
    cr_assert(test.granted(second));
    test.core.abandon(second, test.now);
    cr_assert(test.granted(test.submit()));
}

Test(admission, without_samples_no_request_is_refused)
{
    harness test;
    test.occupy();
    request_info short_deadline = test.info();
    short_deadline.deadline = test.now + 10ms;
    for (int i = 0; i < 20; ++i)
    {
        cr_assert(
            test.refused(test.submit(short_deadline)) == refusal_reason::none);
    }
}

Test(admission, a_request_is_refused_at_once_if_the_queue_is_too_long)
{
    harness test;
    test.model("m", 1, 1);
    record_durations(test, 1s);
    test.submit();
    request_info request = test.info();
    request.deadline = test.now + 10s;
    for (int i = 0; i < 10; ++i)
    {
        cr_assert(test.refused(test.submit(request)) == refusal_reason::none);
    }
    const ticket late = test.submit(request); // ten seconds of work are ahead
    cr_assert(test.refused(late) == refusal_reason::deadline);
    cr_assert(test.refusals[late][0].retry_after >= 10s);
    request.caller = "another"; // goes earlier because of its fair share
    cr_assert(test.refused(test.submit(request)) == refusal_reason::none);
}

Test(admission, queued_requests_are_refused_once_they_cannot_be_in_time)
{
    harness test;
    const ticket running = test.occupy();
    request_info request = test.info();
    request.deadline = test.now + 30s;
    std::vector<ticket> waiting;
    waiting.reserve(20);
    for (int i = 0; i < 20; ++i)
    {
        waiting.push_back(test.submit(request));
    }
    cr_assert(test.refusals.empty());
    test.finish(running, attempt_result::end::answered, 4s);
    for (int i = 0; i < 4; ++i)
    {
        test.finish(test.order.back(), attempt_result::end::answered, 4s);
    }
    test.tick();
    cr_assert_eq(test.refusals.size(), 7, "%zu", test.refusals.size());
    for (const auto& [id, all] : test.refusals)
    {
        cr_assert(all[0].reason == refusal_reason::deadline);
        cr_assert(all[0].outcome == verdict::not_run);
        cr_assert(all[0].retry_after >= 28s);
    }
}

Test(admission, a_queued_request_is_refused_on_the_tick_at_its_deadline)
{
    harness test;
    test.occupy();
    request_info request = test.info();
    request.deadline = test.now + 30ms;
    const ticket waits = test.submit(request);
    cr_assert(test.core.next_tick() == request.deadline);
    test.tick(30ms);
    cr_assert(test.refused(waits) == refusal_reason::deadline);
    cr_assert(test.core.next_tick() == std::nullopt);
}

Test(admission, cold_load_counts_against_the_deadline)
{
    harness test;
    test.model("m", 1, 0);
    request_info short_deadline = test.info();
    short_deadline.deadline = test.now + 5s; // loading takes 10 s
    const ticket early = test.submit(short_deadline);
    cr_assert(test.refused(early) == refusal_reason::deadline);
    cr_assert(test.refusals[early][0].retry_after >= 10s);
    cr_assert_eq(test.demands.size(), 1, "a refusal still causes a load");
    test.now += 6s;
    short_deadline.deadline = test.now + 5s;
    cr_assert(
        test.refused(test.submit(short_deadline)) == refusal_reason::none,
        "four seconds of the load remain");
}

Test(admission, observed_cold_starts_replace_the_declared_estimate)
{
    harness test;
    test.model("m", 1, 0);
    const ticket first = test.submit();
    for (int i = 0; i < 20; ++i)
    {
        test.tick(1s);
    }
    test.model("m", 1, 1);
    cr_assert(test.granted(first));
    test.finish(first);
    test.model("m", 1, 0);
    request_info request = test.info();
    // Enough for the declared load time of 10 s, not for the observed 20 s.
    request.deadline = test.now + 15s;
    cr_assert(test.refused(test.submit(request)) == refusal_reason::deadline);
    request.deadline = test.now + 25s;
    cr_assert(test.refused(test.submit(request)) == refusal_reason::none);
}

Test(admission, refusals_name_their_reason)
{
    harness test;
    const ticket too_early = test.submit();
    cr_assert(test.refused(too_early) == refusal_reason::log_unavailable);
    test.model("m", 1, 0);
    test.model("none", 2, 0, 1, 1, 0);
    request_info request = test.info();
    request.target = "nothing";
    cr_assert(
        test.refused(test.submit(request)) == refusal_reason::unknown_servable);
    request.is_service = true;
    cr_assert(
        test.refused(test.submit(request)) == refusal_reason::unknown_service);
    request.is_service = false;
    request.target = "none";
    cr_assert(
        test.refused(test.submit(request)) == refusal_reason::no_capacity);

    const ticket waits = test.submit();
    test.table.set_log_available(false);
    test.publish();
    cr_assert(test.refused(waits) == refusal_reason::log_unavailable);
    const ticket late = test.submit();
    cr_assert(test.refused(late) == refusal_reason::log_unavailable);
    cr_assert(test.refusals[late][0].retry_after >= 1s);
    test.model("m", 1, 1);
    cr_assert(test.granted(test.submit()), "ready replicas keep serving");
}

Test(admission, requests_wait_for_a_granted_model_without_the_log)
{
    harness test;
    test.model("m", 1, 0, 8, 1, 4, true);
    test.model("uncovered", 2, 0);
    test.table.set_log_available(false);
    test.publish();
    const ticket waits = test.submit();
    cr_assert(test.refused(waits) == refusal_reason::none);
    cr_assert_eq(test.demands.size(), 1, "the grant holder needs the demand");
    request_info other = test.info();
    other.target = "uncovered";
    cr_assert(
        test.refused(test.submit(other)) == refusal_reason::log_unavailable);
    test.model("m", 1, 0);
    cr_assert(
        test.refused(waits) == refusal_reason::log_unavailable,
        "the grant has expired");
}

Test(admission, demand_is_sent_at_once_and_then_periodically)
{
    harness test;
    test.model("m", 1, 0);
    test.submit(priority::batch);
    cr_assert_eq(test.demands.size(), 1);
    cr_assert(test.demands[0].urgency == priority::batch);
    test.submit();
    test.tick(10ms);
    cr_assert_eq(test.demands.size(), 1);
    test.tick(40ms);
    cr_assert_eq(test.demands.size(), 2);
    cr_assert(test.demands[1].urgency == priority::normal);
    cr_assert_eq(test.demands[1].waiting, 2);
    test.model("m", 1, 1, 8);
    test.tick(1s);
    cr_assert_eq(test.demands.size(), 2, "no more demand");
}

Test(admission, demand_for_another_replica_when_the_queue_is_long)
{
    harness test;
    test.model("m", 1, 1, 1, 1, 2);
    test.submit();
    test.submit();
    cr_assert(test.demands.empty());
    test.submit();
    cr_assert_eq(test.demands.size(), 1);
    test.model("m", 1, 2, 1, 1, 2);
    test.now += 1s;
    for (int i = 0; i < 5; ++i)
    {
        test.submit();
    }
    cr_assert_eq(test.demands.size(), 1, "at the maximum of replicas");
}

Test(admission, drain_refuses_queued_requests_and_lets_running_ones_end)
{
    harness test;
    const ticket running = test.occupy();
    const ticket waits = test.submit();
    test.core.drain(test.now);
    test.collect();
    cr_assert(test.refused(waits) == refusal_reason::draining);
    cr_assert(test.refusals[waits][0].outcome == verdict::not_run);
    cr_assert(test.refused(test.submit()) == refusal_reason::draining);
    cr_assert_eq(test.core.in_flight(), 1);
    cr_assert(test.finish(running).final_answer);
    cr_assert_eq(test.core.in_flight(), 0);
}

Test(admission, a_request_that_cannot_finish_in_time_is_refused)
{
    harness test;
    test.model("m", 1, 1, 4);
    for (int i = 0; i < 4; ++i)
    {
        attempt_result result;
        result.first_byte = 10ms;
        result.total = 170ms;
        result.tokens = 16;
        test.core.finished(test.submit(), result, test.now);
    }
    request_info info = test.info();
    info.deadline = test.now + 100ms;
    cr_assert_eq(test.refused(test.submit(info)), refusal_reason::deadline);
    info.max_tokens = 8;
    cr_assert(test.granted(test.submit(info)), "a shorter answer fits");
}
