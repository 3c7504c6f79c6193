#include "core/routing/ejection.hpp"
#include "harness.hpp"

#include <map>
#include <set>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;
using end_kind = attempt_result::end;

namespace
{

constexpr fingerprint crashing_content(77);

request_info crashing_request(const harness& test)
{
    request_info request = test.info();
    request.content = crashing_content;
    return request;
}

void mark_suspect(harness& test)
{
    test.table.set_suspect(crashing_content, true);
    test.publish();
}

} // namespace

Test(routing, own_data_centre_is_preferred_until_full)
{
    dispatcher::options settings;
    settings.data_centre = "odd";
    harness test(settings);
    test.model("m", 1, 4, 2);
    std::multiset<std::uint32_t> engines;
    for (int i = 0; i < 8; ++i)
    {
        engines.insert(test.engine(test.submit()));
        if (i == 3)
        {
            cr_assert(engines == std::multiset<std::uint32_t>({1, 1, 3, 3}));
        }
    }
    cr_assert(
        engines == std::multiset<std::uint32_t>({1, 1, 2, 2, 3, 3, 4, 4}));
}

/// Guards against sending all callers of a data centre to its only replica
/// while replicas in other data centres are idle.
Test(routing, a_loaded_server_in_the_own_data_centre_is_not_preferred)
{
    dispatcher::options settings;
    settings.data_centre = "odd";
    harness test(settings);
    test.model("m", 1, 2, 64); // only engine 1 is in the own data centre
    std::map<std::uint32_t, int> sent;
    for (int i = 0; i < 60; ++i)
        ++sent[test.engine(test.submit())];
    cr_assert_geq(sent[1], sent[2]);
    cr_assert_geq(sent[2], 20, "%d", sent[2]);
}

Test(routing, reported_load_is_avoided_until_it_is_stale)
{
    harness test;
    test.model("m", 1, 2, 8);
    test.core.load_reported({engine_id(1), 5, 2}, test.now);
    for (int i = 0; i < 7; ++i)
    {
        cr_assert_eq(test.engine(test.submit()), 2);
    }
    test.now += 1min;
    cr_assert_eq(test.engine(test.submit()), 1, "the report is too old");
}

Test(routing, load_of_other_routers_leaves_this_router_a_slot)
{
    harness test;
    test.model("m", 1, 1, 4);
    test.core.load_reported({engine_id(1), 4, 100}, test.now);
    cr_assert(test.granted(test.submit()));
    const ticket second = test.submit();
    cr_assert(not test.granted(second));
    test.core.load_reported({engine_id(1), 2, 0}, test.now);
    test.collect();
    cr_assert(test.granted(second));
}

Test(routing, a_prefix_keeps_its_replica_within_the_load_bound)
{
    harness test;
    test.model("m", 1, 4, 16);
    request_info request = test.info();
    request.prefix = 12345;
    std::multiset<std::uint32_t> engines;
    const ticket first = test.submit(request);
    test.finish(first);
    const ticket second = test.submit(request);
    cr_assert_eq(test.engine(first), test.engine(second));
    for (int i = 0; i < 19; ++i)
    {
        engines.insert(test.engine(test.submit(request)));
    }
    cr_assert(engines.count(test.engine(first)) <= 8, "bounded load");
    cr_assert(engines.count(test.engine(first)) >= 5);
}

Test(routing, leaving_vms_get_no_new_requests)
{
    harness test;
    test.model("m", 1, 2, 8);
    test.core.vm_leaving("vm1", true, test.now);
    for (int i = 0; i < 8; ++i)
    {
        cr_assert_eq(test.engine(test.submit()), 2);
    }
    test.core.vm_leaving("vm2", true, test.now);
    const ticket waits = test.submit();
    cr_assert(not test.granted(waits));
    cr_assert_eq(test.demands.size(), 1);
    test.core.vm_leaving("vm1", false, test.now);
    test.collect();
    cr_assert_eq(test.engine(waits), 1);
}

Test(routing, a_suspect_request_runs_alone)
{
    harness test;
    test.model("m", 1, 1, 4);
    mark_suspect(test);
    const ticket before = test.submit();
    const ticket suspect = test.submit(crashing_request(test));
    const ticket after = test.submit();
    cr_assert(not test.granted(suspect), "another request runs there");
    cr_assert(not test.granted(after), "the replica is reserved");
    test.finish(before);
    cr_assert(test.granted(suspect));
    cr_assert(not test.granted(after));
    test.finish(suspect);
    cr_assert(test.granted(after));
}

Test(routing, a_suspect_request_excludes_other_models_of_its_engine)
{
    harness test;
    test.model("m", 1, 1, 4);
    test.model("other", 2, 1, 4);
    mark_suspect(test);
    const ticket suspect = test.submit(crashing_request(test));
    cr_assert(test.granted(suspect));
    request_info other = test.info();
    other.target = "other";
    const ticket waits = test.submit(other);
    cr_assert(not test.granted(waits));
    test.finish(suspect);
    cr_assert(test.granted(waits));
}

Test(routing, an_abandoned_suspect_request_releases_its_reservation)
{
    harness test;
    test.model("m", 1, 1, 4);
    mark_suspect(test);
    test.submit();
    const ticket suspect = test.submit(crashing_request(test));
    const ticket after = test.submit();
    cr_assert(not test.granted(after));
    test.core.abandon(suspect, test.now);
    test.collect();
    cr_assert(test.granted(after));
}

Test(routing, a_suspect_request_avoids_the_last_healthy_replica)
{
    harness test;
    test.model("m", 1, 2, 1);
    // Engine 1 fails until it is ejected.
    for (int i = 0; i < 60; ++i)
    {
        request_info request = test.info();
        request.repeatable = false;
        const ticket id = test.submit(request);
        test.finish(
            id,
            test.engine(id) == 1 ? end_kind::no_progress : end_kind::answered);
    }
    mark_suspect(test);
    cr_assert_eq(test.engine(test.submit(crashing_request(test))), 1);
    cr_assert_eq(test.engine(test.submit()), 2);
}

Test(routing, a_blocked_request_is_refused_even_if_already_queued)
{
    harness test;
    test.model("m", 1, 1);
    const ticket running = test.submit();
    const ticket waits = test.submit(crashing_request(test));
    test.table.set_blocked(crashing_content, true);
    test.publish();
    test.finish(running);
    cr_assert(test.refused(waits) == refusal_reason::blocked);
    const ticket late = test.submit(crashing_request(test));
    cr_assert(test.refused(late) == refusal_reason::blocked);
    cr_assert(test.refusals[late][0].outcome == verdict::not_run);
}

Test(routing, failing_replicas_are_ejected_but_never_more_than_half)
{
    harness test;
    test.model("m", 1, 4, 4);
    request_info request = test.info();
    request.repeatable = false;
    for (int i = 0; i < 400; ++i)
    {
        const ticket id = test.submit(request);
        cr_assert(test.granted(id), "a model never loses its last replica");
        test.finish(id, end_kind::no_progress);
    }

    harness healthy;
    healthy.model("m", 1, 4, 4);
    for (int i = 0; i < 200; ++i)
    {
        const ticket id = healthy.submit(request);
        healthy.finish(
            id,
            healthy.engine(id) == 1 ? end_kind::no_progress
                                    : end_kind::answered);
    }
    const auto at_bad = std::count_if(
        healthy.grants.begin(),
        healthy.grants.end(),
        [](const auto& one)
        {
            return one.second[0].engine.value == 1;
        });
    cr_assert_eq(at_bad, 3, "ejected after three in a row");
}

Test(routing, ejection_time_doubles_and_resets)
{
    detail::server_health health;
    instant now{1h};
    for (int i = 0; i < 3; ++i)
    {
        cr_assert(not health.ejected(now));
        health.failed(now);
    }
    cr_assert(health.ejected(now));
    cr_assert(health.ejected_until() == now + 5s);
    now += 5s;
    cr_assert(not health.ejected(now));
    health.failed(now);
    cr_assert(health.ejected_until() == now + 10s, "twice as long");
    now += 10s;
    for (int i = 0; i < 20; ++i)
    {
        health.succeeded(now);
    }
    for (int i = 0; i < 3; ++i)
    {
        health.failed(now);
    }
    cr_assert(health.ejected_until() == now + 5s, "reset by successes");
}

Test(routing, plain_services_are_queued_and_granted)
{
    harness test;
    service_routes service;
    service.id = service_id(1);
    service.name = "m";
    service.max_streams = 1;
    service.backends = {{"10.0.0.1:80", "vm1", "odd"}};
    test.table.put(service);
    test.publish();
    request_info request = test.info();
    request.is_service = true;
    const ticket first = test.submit(request);
    const ticket second = test.submit(request);
    cr_assert(test.granted(first));
    cr_assert_eq(test.grants[first][0].address, "10.0.0.1:80");
    cr_assert_eq(test.engine(first), 0);
    cr_assert(not test.granted(second), "the limit of requests in flight");
    test.core.vm_leaving("vm1", true, test.now);
    test.collect();
    cr_assert(test.refused(second) == refusal_reason::no_capacity);
    cr_assert(test.demands.empty());
}

Test(routing, an_answer_cut_by_its_deadline_is_no_server_failure)
{
    harness test;
    test.model("m", 1, 2, 4);
    for (int i = 0; i < 20; ++i)
    {
        request_info info = test.info();
        info.deadline = test.now + 100ms;
        const ticket id = test.submit(info);
        test.now += 100ms;
        test.finish(id, attempt_result::end::no_progress, 100ms, true);
    }
    std::set<std::uint32_t> engines;
    for (int i = 0; i < 8; ++i)
    {
        engines.insert(test.engine(test.submit()));
    }
    cr_assert(engines == std::set<std::uint32_t>({1, 2}), "neither is ejected");
}
