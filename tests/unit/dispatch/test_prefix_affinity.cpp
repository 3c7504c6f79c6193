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

/// A prefix map that receives the reports of engine 1.
struct map_fixture
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

/// @return The engine of model `m` that the prefix hashes to.
std::uint32_t hashed_engine(harness& test, std::uint64_t prefix = prompt)
{
    const ticket id = test.submit(with_prefix(test, prefix));
    test.finish(id);
    return test.engine(id);
}

} // namespace

Test(prefix_map, a_gap_makes_entries_stale_until_reported_again)
{
    map_fixture fixture;
    fixture.report(0, {{7, 100, true}, {8, 200, true}});
    cr_expect(
        fixture.find(100) == knowledge::fresh, "any first number is valid");
    fixture.report(9, {{10, 300, true}, {11, 200, true}, {12, 300, false}});
    cr_expect(fixture.find(100) == knowledge::stale);
    cr_expect(fixture.find(200) == knowledge::fresh, "resynchronised");
    cr_expect(fixture.find(300) == knowledge::none);

    cache_report tail = report_of(13, {}, 1);
    tail.next = 14;
    fixture.map.reported(tail, fixture.now);
    cr_expect(fixture.find(200) == knowledge::stale, "the last one is missing");
}

Test(prefix_map, repeated_events_are_ignored)
{
    map_fixture fixture;
    fixture.report(0, {{1, 100, true}, {2, 100, false}, {3, 200, true}});
    fixture.report(2, {{1, 100, true}, {3, 200, true}, {4, 300, true}});
    cr_expect(fixture.find(100) == knowledge::none);
    cr_expect(fixture.find(200) == knowledge::fresh);
    cr_expect(fixture.find(300) == knowledge::fresh);
}

Test(prefix_map, a_restart_clears_entries_and_silence_makes_them_stale)
{
    map_fixture fixture;
    fixture.report(0, {{1, 100, true}, {2, 200, true}});
    fixture.now += 31s;
    cr_expect(fixture.find(100) == knowledge::stale);
    fixture.report(3, {});
    cr_expect(fixture.find(100) == knowledge::fresh, "nothing was missed");

    cache_report back = report_of(3, {}, 1);
    back.next = 1;
    fixture.map.reported(back, fixture.now);
    cr_expect(fixture.find(100) == knowledge::none, "numbers went back");

    fixture.report(0, {{1, 100, true}});
    cache_report other = report_of(2, {}, 1);
    other.incarnation = 2;
    fixture.map.reported(other, fixture.now);
    cr_expect(fixture.find(100) == knowledge::none, "another incarnation");

    fixture.report(0, {{1, 100, true}});
    fixture.now += 10min;
    fixture.map.reported(report_of(0, {}, 2), fixture.now);
    cr_expect(fixture.map.size() == 0, "expired");
}

Test(prefix_map, is_bounded_per_engine_and_in_total)
{
    detail::prefix_map::options options;
    options.max_per_engine = 2;
    options.max_prefixes = 3;
    map_fixture fixture{detail::prefix_map(options)};
    fixture.report(
        0, {{1, 100, true}, {2, 200, true}, {3, 100, true}, {4, 300, true}});
    cr_expect(fixture.find(100) == knowledge::fresh);
    cr_expect(fixture.find(200) == knowledge::none, "least recently reported");
    fixture.map.reported(
        report_of(0, {{1, 100, true}, {2, 200, true}}, 2), fixture.now);
    cr_expect(fixture.map.size() == 3);
    cr_expect(fixture.map.find(2, 200, fixture.now) == knowledge::fresh);
    cr_expect(fixture.map.find(2, 100, fixture.now) == knowledge::none);
    fixture.map.reported(report_of(0, {{1, 100, true}}, 3), fixture.now);
    cr_expect(fixture.map.size() == 3, "no room for another engine");
}

Test(prefix_affinity, equal_engine_and_replica_ids_spread_the_prefixes)
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
    std::multiset<std::uint32_t> selected;
    for (std::uint64_t prefix = 1; prefix <= 400; ++prefix)
        selected.insert(hashed_engine(test, prefix));
    for (std::uint32_t i = 1; i <= 4; ++i)
        cr_expect(selected.count(i) >= 60 && selected.count(i) <= 140);
}

Test(prefix_affinity, prefers_the_reporting_engine_within_the_load_bound)
{
    harness test;
    test.model("m", 1, 4, 16);
    const std::uint32_t other = hashed_engine(test) % 4 + 1;
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

Test(prefix_affinity, the_hash_takes_precedence_over_stale_reports)
{
    harness test;
    test.model("m", 1, 4, 2);
    const std::uint32_t hashed = hashed_engine(test);
    const std::uint32_t other = hashed % 4 + 1;
    test.core.cache_reported(
        report_of(0, {{1, prompt, true}}, other), test.now);
    test.core.cache_reported(report_of(2, {{3, 9, true}}, other), test.now);
    for (int round = 0; round < 10; ++round)
    {
        const ticket first = test.submit(with_prefix(test));
        const ticket second = test.submit(with_prefix(test));
        const ticket third = test.submit(with_prefix(test));
        cr_expect(test.engine(first) == hashed);
        cr_expect(test.engine(second) == hashed);
        cr_expect(test.engine(third) == other, "the hashed engine is full");
        for (const ticket id : {first, second, third})
            test.finish(id);
    }
}

Test(prefix_affinity, never_selects_a_leaving_or_ejected_replica)
{
    harness test;
    test.model("m", 1, 2, 4);
    for (const std::uint32_t engine : {1, 2})
        test.core.cache_reported(
            report_of(0, {{1, prompt, true}}, engine), test.now);
    test.core.vm_leaving("vm1", true, test.now);
    cr_expect(hashed_engine(test) == 2);
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
