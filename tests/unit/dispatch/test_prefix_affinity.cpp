#include "core/routing/prefix_map.hpp"
#include "harness.hpp"

#include <set>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;
using knowledge = detail::prefix_map::freshness;

namespace
{

constexpr std::uint64_t prompt = 12345;

cache_report report_of(
    std::uint64_t from, std::vector<cache_event> events, std::uint64_t engine)
{
    cache_report report;
    report.engine = engine_id(engine);
    report.incarnation = 1;
    report.from = from;
    report.next = events.empty() ? from : events.back().sequence + 1;
    report.events = std::move(events);
    return report;
}

/// A map of engine 1 alone.
struct map_bench
{
    void report(std::uint64_t from, std::vector<cache_event> events)
    {
        this->map.reported(report_of(from, std::move(events), 1), this->now);
    }

    knowledge find(std::uint64_t prefix) const
    {
        return this->map.find(1, prefix, this->now);
    }

    detail::prefix_map map;
    instant now{1h};
};

request_info with_prefix(const harness& test, std::uint64_t prefix = prompt)
{
    request_info request = test.info();
    request.prefix = prefix;
    return request;
}

/// @return The engine that a prefix hashes to, of those of model `m`.
std::uint32_t home_of(harness& test, std::uint64_t prefix = prompt)
{
    const ticket id = test.submit(with_prefix(test, prefix));
    test.finish(id);
    return test.engine(id);
}

} // namespace

Test(prefix_map, a_gap_makes_stale_what_no_later_event_names)
{
    map_bench bench;
    bench.report(0, {{7, 100, true}, {8, 200, true}});
    cr_expect(bench.find(100) == knowledge::fresh, "the first number is free");
    bench.report(9, {{10, 300, true}, {11, 200, true}, {12, 300, false}});
    cr_expect(bench.find(100) == knowledge::stale);
    cr_expect(bench.find(200) == knowledge::fresh, "resynchronised");
    cr_expect(bench.find(300) == knowledge::none);

    cache_report tail = report_of(13, {}, 1);
    tail.next = 14;
    bench.map.reported(tail, bench.now);
    cr_expect(bench.find(200) == knowledge::stale, "the last one is missing");
}

Test(prefix_map, events_seen_before_change_nothing)
{
    map_bench bench;
    bench.report(0, {{1, 100, true}, {2, 100, false}, {3, 200, true}});
    bench.report(2, {{1, 100, true}, {3, 200, true}, {4, 300, true}});
    cr_expect(bench.find(100) == knowledge::none);
    cr_expect(bench.find(200) == knowledge::fresh);
    cr_expect(bench.find(300) == knowledge::fresh);
}

Test(prefix_map, a_restart_voids_and_silence_makes_stale)
{
    map_bench bench;
    bench.report(0, {{1, 100, true}, {2, 200, true}});
    bench.now += 31s;
    cr_expect(bench.find(100) == knowledge::stale);
    bench.report(3, {});
    cr_expect(bench.find(100) == knowledge::fresh, "nothing was missed");

    cache_report back = report_of(3, {}, 1);
    back.next = 1;
    bench.map.reported(back, bench.now);
    cr_expect(bench.find(100) == knowledge::none, "numbers went back");

    bench.report(0, {{1, 100, true}});
    cache_report other = report_of(2, {}, 1);
    other.incarnation = 2;
    bench.map.reported(other, bench.now);
    cr_expect(bench.find(100) == knowledge::none, "another incarnation");

    bench.report(0, {{1, 100, true}});
    bench.now += 10min;
    bench.map.reported(report_of(0, {}, 2), bench.now);
    cr_expect(bench.map.size() == 0, "forgotten");
}

Test(prefix_map, is_bounded_by_engine_and_altogether)
{
    detail::prefix_map::options options;
    options.max_per_engine = 2;
    options.max_prefixes = 3;
    map_bench bench{detail::prefix_map(options)};
    bench.report(
        0, {{1, 100, true}, {2, 200, true}, {3, 100, true}, {4, 300, true}});
    cr_expect(bench.find(100) == knowledge::fresh);
    cr_expect(bench.find(200) == knowledge::none, "least recently reported");
    bench.map.reported(
        report_of(0, {{1, 100, true}, {2, 200, true}}, 2), bench.now);
    cr_expect(bench.map.size() == 3);
    cr_expect(bench.map.find(2, 200, bench.now) == knowledge::fresh);
    cr_expect(bench.map.find(2, 100, bench.now) == knowledge::none);
    bench.map.reported(report_of(0, {{1, 100, true}}, 3), bench.now);
    cr_expect(bench.map.size() == 3, "no room for another engine's");
}

Test(prefix_affinity, alike_engine_and_replica_numbers_share_the_prefixes)
{
    harness test;
    servable_routes entry;
    entry.id = servable_id(1);
    entry.name = "m";
    entry.max_streams = 4;
    for (std::uint32_t i = 1; i <= 4; ++i)
        entry.ready.push_back(
            {replica_id(i), engine_id(i), "10.0.0.1:80", "here", "vm"});
    test.table.put(entry);
    test.publish();
    std::multiset<std::uint32_t> homes;
    for (std::uint64_t prefix = 1; prefix <= 400; ++prefix)
        homes.insert(home_of(test, prefix));
    for (std::uint32_t i = 1; i <= 4; ++i)
        cr_expect(homes.count(i) >= 60 && homes.count(i) <= 140);
}

Test(prefix_affinity, goes_where_the_prefix_was_reported_within_the_load_bound)
{
    harness test;
    test.model("m", 1, 4, 16);
    const std::uint32_t other = home_of(test) % 4 + 1;
    test.core.cache_reported(
        report_of(0, {{1, prompt, true}}, other), test.now);
    std::multiset<std::uint32_t> engines;
    for (int i = 0; i < 20; ++i)
    {
        const ticket id = test.submit(with_prefix(test));
        engines.insert(test.engine(id));
        cr_expect(i > 0 || test.engine(id) == other);
    }
    cr_expect(engines.count(other) >= 5 && engines.count(other) <= 8);
}

Test(prefix_affinity, stale_knowledge_stands_back_behind_the_hash)
{
    harness test;
    test.model("m", 1, 4, 2);
    const std::uint32_t home = home_of(test);
    const std::uint32_t other = home % 4 + 1;
    test.core.cache_reported(
        report_of(0, {{1, prompt, true}}, other), test.now);
    test.core.cache_reported(report_of(2, {{3, 9, true}}, other), test.now);
    for (int round = 0; round < 10; ++round)
    {
        const ticket first = test.submit(with_prefix(test));
        const ticket second = test.submit(with_prefix(test));
        const ticket third = test.submit(with_prefix(test));
        cr_expect(test.engine(first) == home);
        cr_expect(test.engine(second) == home);
        cr_expect(test.engine(third) == other, "the home is full");
        for (const ticket id : {first, second, third})
            test.finish(id);
    }
}

Test(prefix_affinity, never_leads_to_a_leaving_or_ejected_replica)
{
    harness test;
    test.model("m", 1, 2, 4);
    for (const std::uint32_t engine : {1, 2})
        test.core.cache_reported(
            report_of(0, {{1, prompt, true}}, engine), test.now);
    test.core.vm_leaving("vm1", true, test.now);
    cr_expect(home_of(test) == 2);
    test.core.vm_leaving("vm1", false, test.now);

    for (int i = 0; i < 40; ++i)
    {
        request_info request = test.info();
        request.repeatable = false;
        const ticket id = test.submit(request);
        test.finish(
            id,
            test.engine(id) == 2 ? attempt_result::end::no_progress
                                 : attempt_result::end::answered);
    }
    for (int i = 0; i < 4; ++i)
        cr_expect(test.engine(test.submit(with_prefix(test))) == 1);
}
