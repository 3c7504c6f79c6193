#include "affinity_experiment.hpp"
#include "core/routing/sharded_table.hpp"
#include "overload_experiment.hpp"
#include "shared_engines.hpp"

#include <roseworks/dispatcher.hpp>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <new>
#include <string>
#include <utility>
#include <vector>

namespace
{

std::atomic<std::size_t> heap_bytes{0};

} // namespace

// Counts allocated memory, including the rounding of the allocator.
void* operator new(std::size_t size)
{
    void* block = std::malloc(size);
    if (block == nullptr)
    {
        throw std::bad_alloc();
    }
    heap_bytes += malloc_usable_size(block) + sizeof(std::size_t);
    return block;
}

void operator delete(void* block) noexcept
{
    if (block != nullptr)
    {
        heap_bytes -= malloc_usable_size(block) + sizeof(std::size_t);
    }
    std::free(block);
}

void operator delete(void* block, std::size_t) noexcept
{
    operator delete(block);
}

namespace
{

using namespace roseworks;
using namespace std::chrono_literals;

constexpr std::uint32_t adapters = 87'000;

class stopwatch
{
public:
    double nanoseconds_per(std::size_t count) const
    {
        const auto passed = std::chrono::steady_clock::now() - this->start;
        return std::chrono::duration<double, std::nano>(passed).count() /
               static_cast<double>(count);
    }

private:
    std::chrono::steady_clock::time_point start =
        std::chrono::steady_clock::now();
};

void print(const std::string& name, double value, const char* unit)
{
    std::printf("%s=%.4g %s\n", name.c_str(), value, unit);
}

servable_routes
make_model(std::uint32_t id, std::uint32_t replicas, std::uint16_t streams)
{
    servable_routes entry;
    entry.id = servable_id(id);
    entry.name = "model" + std::to_string(id);
    entry.max_streams = streams;
    entry.max_replicas = 16;
    for (std::uint32_t i = 1; i <= replicas; ++i)
    {
        entry.ready.push_back(
            {replica_id(id * 100 + i),
             engine_id(id * 100 + i),
             "10.0.0." + std::to_string(i) + ":8080",
             "here",
             "vm" + std::to_string(i)});
    }
    return entry;
}

request_info make_request(const std::string& target, instant now)
{
    request_info info;
    info.target = target;
    info.deadline = now + 1h;
    return info;
}

/// Measures a request's way through the dispatcher: one request after the other
/// over 100 models, each with a free slot.
void measure_cycles()
{
    detail::sharded_table table;
    std::vector<std::string> names;
    for (std::uint32_t id = 1; id <= 100; ++id)
    {
        table.put(make_model(id, 4, 8));
        names.push_back("model" + std::to_string(id));
    }
    dispatcher core(dispatcher::options{});
    instant now{1h};
    core.table_changed(table.publish(), now);

    constexpr std::size_t rounds = 500'000;
    attempt_result result;
    result.total = 100ms;
    result.first_byte = 10ms;
    const stopwatch watch;
    for (std::size_t i = 0; i < rounds; ++i)
    {
        now += 10us;
        const ticket id = core.submit(make_request(names[i % 100], now), now);
        core.take_commands();
        core.finished(id, result, now);
        core.take_commands();
    }
    const double each = watch.nanoseconds_per(rounds);
    print("dispatch_cycle", each, "ns");
    print("dispatch_cycles_per_second", 1e9 / each, "1/s");
}

/// Measures submission to a target with a queue of 4000 requests.
void measure_queue()
{
    dispatcher::options settings;
    settings.max_queued = 10'000;
    settings.max_queued_per_target = 10'000;
    dispatcher core(settings);
    detail::sharded_table table;
    table.put(make_model(1, 1, 1));
    instant now{1h};
    core.table_changed(table.publish(), now);

    const auto submit = [&core, &now](std::size_t i)
    {
        now += 10us;
        request_info info = make_request("model1", now);
        info.caller = "caller" + std::to_string(i % 20);
        info.deadline += std::chrono::milliseconds(i * 7919 % 100'000);
        return core.submit(std::move(info), now);
    };
    const std::size_t before = heap_bytes;
    for (std::size_t i = 0; i < 4001; ++i)
    {
        submit(i);
    }
    print(
        "queue_bytes_per_waiting_request",
        static_cast<double>(heap_bytes - before) / 4000,
        "B");

    constexpr std::size_t rounds = 20'000;
    const stopwatch watch;
    for (std::size_t i = 0; i < rounds; ++i)
    {
        core.abandon(submit(i), now);
    }
    core.take_commands();
    print("queue_4000_submit_and_abandon", watch.nanoseconds_per(rounds), "ns");

    constexpr std::size_t ticks = 200;
    const stopwatch tick_watch;
    for (std::size_t i = 0; i < ticks; ++i)
    {
        now += 50ms;
        core.tick(now);
    }
    core.take_commands();
    print("queue_4000_tick", tick_watch.nanoseconds_per(ticks) / 1000, "us");
}

servable_routes make_adapter(std::uint32_t id)
{
    servable_routes entry;
    entry.id = servable_id(id);
    entry.name = "customer-" + std::to_string(100'000 + id) + "-summaries";
    entry.is_adapter = true;
    entry.max_replicas = 1;
    return entry;
}

/// Measures the size of a table of 87,000 adapters and the cost of a change.
void measure_table()
{
    const std::size_t before = heap_bytes;
    detail::sharded_table table;
    for (std::uint32_t id = 1; id <= adapters; ++id)
    {
        table.put(make_adapter(id));
    }
    routing_table_ptr current = table.publish();
    print(
        "table_bytes_per_adapter",
        static_cast<double>(heap_bytes - before) / adapters,
        "B");

    constexpr std::uint32_t changes = 20'000;
    const servable_routes ready = make_model(1, 1, 8);
    const stopwatch watch;
    for (std::uint32_t i = 0; i < changes; ++i)
    {
        servable_routes entry = make_adapter(1 + i * 7919 % adapters);
        entry.ready = ready.ready;
        table.put(std::move(entry));
        current = table.publish();
    }
    print("table_change", watch.nanoseconds_per(changes) / 1000, "us");

    const std::size_t held = heap_bytes;
    const routing_table_ptr old = current;
    table.put(make_adapter(4242));
    current = table.publish();
    print(
        "table_bytes_per_change_while_the_old_is_held",
        static_cast<double>(heap_bytes - held),
        "B");

    constexpr std::uint32_t lookups = 1'000'000;
    std::vector<std::string> names;
    for (std::uint32_t i = 0; i < 1000; ++i)
    {
        names.emplace_back(make_adapter(1 + i * 7919 % adapters).name.view());
    }
    std::size_t found = 0;
    const stopwatch lookup_watch;
    for (std::uint32_t i = 0; i < lookups; ++i)
    {
        found += current->find_servable(names[i % 1000]) != nullptr ? 1 : 0;
    }
    print("table_lookup", lookup_watch.nanoseconds_per(lookups), "ns");
    print("table_lookups_found", static_cast<double>(found), "of 1000000");
}

void measure_overload()
{
    for (const double load : {0.5, 1.0, 2.0, 4.0})
    {
        for (const auto kind :
             {bench::discipline::dispatcher, bench::discipline::fcfs})
        {
            const bool is_fcfs = kind == bench::discipline::fcfs;
            const auto result = bench::run_overload(kind, load, 42);
            char prefix[64];
            std::snprintf(
                prefix,
                sizeof(prefix),
                "overload_%gx_%s_",
                load,
                is_fcfs ? "fcfs" : "dispatcher");
            const std::string name(prefix);
            print(name + "goodput", result.goodput, "1/s");
            print(name + "urgent_p99", result.urgent_p99_ms, "ms");
            print(name + "urgent_timely", 100 * result.urgent_timely, "%");
            print(name + "normal_timely", 100 * result.normal_timely, "%");
            print(name + "batch_timely", 100 * result.batch_timely, "%");
            print(name + "refused", 100 * result.refused, "%");
        }
    }
}

/// Prints the means of five seeds; counts are summed up.
void measure_shared_engines(std::size_t routers, double load)
{
    constexpr std::uint64_t seeds = 5;
    bench::shared_engines_setup setup;
    setup.routers = routers;
    setup.load = load;
    bench::shared_engines_result sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        setup.seed = seed;
        const auto one = bench::run_shared_engines(setup);
        sum.goodput += one.goodput / seeds;
        sum.urgent_p99_ms += one.urgent_p99_ms / seeds;
        sum.urgent_timely += one.urgent_timely / seeds;
        sum.urgent_refused += one.urgent_refused;
        sum.cut += one.cut;
        sum.engine_waiting += one.engine_waiting / seeds;
    }
    char prefix[64];
    std::snprintf(prefix, sizeof(prefix), "shared_%zu_%gx_", routers, load);
    const std::string name(prefix);
    print(name + "goodput", sum.goodput, "1/s");
    print(name + "urgent_p99", sum.urgent_p99_ms, "ms");
    print(name + "urgent_timely", 100 * sum.urgent_timely, "%");
    print(name + "urgent_refused", double(sum.urgent_refused), "calls");
    print(name + "cut", double(sum.cut), "calls");
    print(name + "engine_waiting", sum.engine_waiting, "calls");
}

void measure_shared_engines()
{
    for (const std::size_t routers : {1, 2, 3, 9})
    {
        for (const double load : {0.5, 1.0, 2.0, 4.0})
        {
            measure_shared_engines(routers, load);
        }
    }
}

/// Prints the means of three seeds.
void measure_affinity(bench::affinity_setting setting, const char* kind)
{
    constexpr std::uint64_t seeds = 3;
    bench::affinity_result sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        setting.seed = seed;
        const auto one = bench::run_affinity(setting);
        sum.hits += one.hits / seeds;
        sum.p99_ms += one.p99_ms / seeds;
        sum.p50_ms += one.p50_ms / seeds;
        sum.refused += one.refused / seeds;
    }
    char prefix[96];
    std::snprintf(
        prefix,
        sizeof(prefix),
        "affinity_%g_%s_%s_%s_",
        setting.rate,
        setting.churn ? "churn" : "steady",
        setting.frequent_reads ? "frequent" : "usual",
        kind);
    const std::string name(prefix);
    print(name + "hits", 100 * sum.hits, "%");
    print(name + "p99", sum.p99_ms, "ms");
    print(name + "p50", sum.p50_ms, "ms");
    print(name + "refused", sum.refused, "requests");
}

void measure_affinity()
{
    using enum bench::affinity_kind;
    constexpr std::pair<bench::affinity_kind, const char*> kinds[] = {
        {random, "random"},
        {two_choices, "two_choices"},
        {rendezvous, "rendezvous"},
        {cache_events, "cache_events"},
        {cache_events_kept, "cache_events_kept"},
        {cache_events_whole, "cache_events_whole"}};
    for (const bool frequent : {false, true})
    {
        for (const bool churn : {false, true})
        {
            for (const double rate : {30.0, 60.0, 75.0})
            {
                for (const auto& [kind, label] : kinds)
                {
                    measure_affinity({kind, rate, churn, frequent, 1}, label);
                }
            }
        }
    }
}

} // namespace

int main()
{
    measure_affinity();
    measure_cycles();
    measure_queue();
    measure_table();
    measure_overload();
    measure_shared_engines();
    return 0;
}
