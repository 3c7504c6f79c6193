#include "harness.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

Test(admission, urgent_goes_before_normal_and_batch)
{
    harness test;
    const ticket running = test.occupy();
    const ticket batch = test.submit(priority::batch);
    const ticket normal = test.submit(priority::normal);
    const ticket urgent = test.submit(priority::urgent);
    test.finish(running);
    test.finish(urgent);
    test.finish(normal);
    cr_assert(test.order == std::vector({running, urgent, normal, batch}));
}

Test(admission, priority_is_capped_by_the_callers_spec)
{
    harness test;
    const ticket running = test.occupy();
    request_info unlisted = test.info(priority::urgent);
    unlisted.caller = "stranger"; // no record: normal at most
    unlisted.deadline -= 10min;
    const ticket capped = test.submit(unlisted);
    const ticket urgent = test.submit(priority::urgent);
    test.finish(running);
    cr_assert(test.granted(urgent));
    cr_assert(not test.granted(capped));
}

Test(admission, earliest_deadline_goes_first_inside_a_class)
{
    harness test;
    const ticket running = test.occupy();
    const ticket late = test.submit();
    request_info sooner = test.info();
    sooner.deadline -= 30min;
    const ticket soon = test.submit(sooner);
    test.finish(running);
    cr_assert(test.granted(soon));
    cr_assert(not test.granted(late));
}

Test(admission, one_callers_backlog_does_not_delay_another)
{
    harness test;
    const ticket running = test.occupy();
    for (int i = 0; i < 50; ++i)
    {
        request_info flood = test.info();
        flood.caller = "flood";
        flood.deadline -= 30min; // earlier than the other caller's
        test.submit(flood);
    }
    request_info other = test.info();
    other.caller = "other";
    const ticket waits = test.submit(other);
    test.finish(running);
    test.finish(test.order.back());
    cr_assert(test.granted(waits), "must be among the first two");
}

Test(admission, callers_share_by_weight)
{
    harness test;
    test.model("m", 1, 1);
    caller_spec heavy;
    heavy.weight = 3;
    test.table.put_caller("heavy", heavy);
    test.publish();
    std::map<ticket, std::string> callers;
    for (int i = 0; i < 80; ++i)
    {
        request_info request = test.info();
        request.caller = i % 2 == 0 ? "heavy" : "light";
        callers[test.submit(request)] = request.caller;
    }
    for (int i = 0; i < 40; ++i)
    {
        test.finish(test.order.back());
    }
    const auto heavy_grants = std::count_if(
        test.order.begin(),
        test.order.end(),
        [&](ticket id)
        {
            return callers[id] == "heavy";
        });
    cr_assert(heavy_grants >= 28 && heavy_grants <= 33, "%ld", heavy_grants);
}

Test(admission, a_caller_that_resubmits_does_not_starve_another)
{
    harness test;
    const ticket running = test.occupy();
    const ticket waiting = test.submit();
    request_info resubmitted = test.info();
    resubmitted.caller = "eager";
    test.submit(resubmitted);
    test.finish(running);
    for (int i = 0; i < 4 && !test.granted(waiting); ++i)
    {
        test.submit(resubmitted);
        test.finish(test.order.back());
    }
    cr_assert(test.granted(waiting));
}

Test(admission, batch_work_does_not_starve)
{
    harness test;
    test.occupy();
    const ticket batch = test.submit(priority::batch);
    test.submit(priority::urgent);
    int urgent_done = 0;
    while (!test.granted(batch) && urgent_done < 1000)
    {
        test.now += 1s;
        test.submit(priority::urgent);
        test.finish(test.order.back());
        ++urgent_done;
    }
    cr_assert(test.granted(batch));
    cr_assert(urgent_done >= 50, "strict order holds until it has aged");
    cr_assert(urgent_done <= 70, "%d", urgent_done);
}

Test(admission, aged_batch_work_takes_only_its_share_of_grants)
{
    harness test;
    test.occupy();
    std::vector<ticket> batch;
    batch.reserve(100);
    for (int i = 0; i < 100; ++i)
    {
        batch.push_back(test.submit(priority::batch));
    }
    test.now += 10min;
    for (int i = 0; i < 50; ++i)
    {
        test.submit(priority::urgent);
    }
    for (int i = 0; i < 40; ++i)
    {
        test.finish(test.order.back());
    }
    const auto served = std::count_if(
        batch.begin(),
        batch.end(),
        [&](ticket id)
        {
            return test.granted(id);
        });
    cr_assert(served >= 8 && served <= 10, "%ld", served);
}

Test(admission, long_prompts_take_half_the_slots_while_short_ones_wait)
{
    harness test;
    test.model("m", 1, 1, 4);
    request_info longer = test.info();
    longer.prompt_bytes = 100'000;
    longer.deadline -= 30min; // would all go first without the rule
    std::vector<ticket> running;
    for (int i = 0; i < 4; ++i)
    {
        running.push_back(test.submit(longer));
        cr_assert(test.granted(running.back()), "no short prompt waits");
    }
    for (int i = 0; i < 10; ++i)
    {
        test.submit(longer);
        test.submit();
    }
    for (const ticket id : running)
    {
        test.finish(id);
    }
    const auto long_grants = std::count_if(
        test.order.begin() + 4,
        test.order.end(),
        [](ticket id)
        {
            return id.value % 2 == 1;
        });
    cr_assert_eq(test.order.size(), 8);
    cr_assert_eq(long_grants, 2, "%ld", long_grants);
}

Test(admission, batch_work_leaves_a_slot_free)
{
    harness test;
    test.model("m", 1, 1, 4);
    for (int i = 0; i < 10; ++i)
    {
        test.submit(priority::batch);
    }
    cr_assert_eq(test.order.size(), 3);
    cr_assert(test.granted(test.submit(priority::normal)));
}

Test(admission, batch_work_leaves_one_slot_of_all_replicas_free)
{
    harness test;
    test.model("m", 1, 4, 4);
    for (int i = 0; i < 20; ++i)
    {
        test.submit(priority::batch);
    }
    cr_assert_eq(test.order.size(), 15, "%zu", test.order.size());
    cr_assert(test.granted(test.submit(priority::urgent)));
}

Test(admission, single_stream_replicas_all_serve_batch_work)
{
    harness test;
    test.model("m", 1, 2);
    test.submit(priority::batch);
    test.submit(priority::batch);
    cr_assert_eq(test.order.size(), 2, "%zu", test.order.size());
}
