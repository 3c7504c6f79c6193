#include "bench/router/figures.hpp"
#include "bench/router/keep_alive_client.hpp"
#include "bench/router/measured_fleet.hpp"
#include "bench/router/measurements.hpp"

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace roseworks::bench
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr int latency_rounds = 120;
constexpr int calls_a_round = 10;
constexpr int rate_rounds = 4;
constexpr std::size_t rate_callers = 16;
constexpr double rate_seconds = 0.75;
constexpr double default_traffic_threads = 2;
constexpr int stream_tokens = 150;
constexpr int streams_open = 49; ///< of one router at the two-year size

} // namespace

void measure_added_latency()
{
    test::fleet_setup setup;
    setup.routers = 1;
    setup.engines = {{"e1", 40000, true, {"--token-ms", "0", "--slots", "64"}}};
    test::fleet nodes(std::move(setup));
    publish(nodes, model_record("agri-lm", 1, 1));
    auto call = test::completion("agri-lm", "warm");
    const std::string router = nodes.router_address(0);
    const std::string engine = nodes.engine_address(0);
    warm(router, call);
    warm(engine, call);

    keep_alive_client routed(router);
    keep_alive_client direct(engine);
    std::vector<double> routed_ms;
    std::vector<double> direct_ms;
    std::size_t failed = 0;
    const auto sample = [&](keep_alive_client& client, auto& into)
    {
        for (int i = 0; i < calls_a_round; ++i)
        {
            const double seconds = client.call(call);
            if (seconds < 0)
                ++failed;
            else
                into.push_back(seconds * to_ms);
        }
    };
    for (int round = 0; round < latency_rounds; ++round)
    {
        sample(direct, direct_ms);
        sample(routed, routed_ms);
    }
    print_quantiles("direct_latency", direct_ms, "ms");
    print_quantiles("routed_latency", routed_ms, "ms");
    for (const double share : {0.5, 0.99})
    {
        const std::string mark = share == 0.5 ? "p50" : "p99";
        const double with = quantile(routed_ms, share);
        const double without = quantile(direct_ms, share);
        print_figure("added_latency_" + mark, with - without, "ms");
        print_figure("latency_ratio_" + mark, with / without, "x");
    }
    print_figure("latency_failed", static_cast<double>(failed), "calls");

    const auto same = [&](std::size_t, std::size_t)
    {
        return call;
    };
    double routed_calls = 0;
    double direct_calls = 0;
    double cpu = 0;
    const auto pids = children_running("roseworks-router");
    for (int round = 0; round < rate_rounds; ++round)
    {
        direct_calls += static_cast<double>(
            call_for({engine}, rate_callers, rate_seconds, same).size());
        const double before = usage_of(pids.at(0)).cpu_seconds;
        routed_calls += static_cast<double>(
            call_for({router}, rate_callers, rate_seconds, same).size());
        cpu += usage_of(pids.at(0)).cpu_seconds - before;
    }
    const double time = rate_rounds * rate_seconds;
    print_figure("direct_rate", direct_calls / time, "requests/s");
    print_figure("routed_rate", routed_calls / time, "requests/s");
    print_figure(
        "routed_rate_per_traffic_thread",
        routed_calls / time / default_traffic_threads,
        "requests/s");
    print_figure("rate_ratio", routed_calls / direct_calls, "x");
    print_figure("router_cpu_per_request", cpu / routed_calls * 1e6, "us");
}

void measure_streams()
{
    test::fleet_setup setup;
    setup.routers = 1;
    setup.engines = {
        {"e1", 40000, true, {"--token-ms", "27", "--slots", "64"}}};
    test::fleet nodes(std::move(setup));
    publish(nodes, model_record("agri-lm", 1, 1));
    const std::string router = nodes.router_address(0);
    warm(router, test::completion("agri-lm", "warm"));

    auto call = test::completion("agri-lm", "stream");
    call.body = R"({"model":"agri-lm","stream":true,"max_tokens":)" +
                std::to_string(stream_tokens) +
                R"(,"messages":[{"role":"user","content":"stream"}]})";
    const int pid = children_running("roseworks-router").at(0);
    const auto start = clock::now();
    const double before = usage_of(pid).cpu_seconds;
    std::vector<std::jthread> threads;
    threads.reserve(streams_open);
    std::atomic<int> answered{0};
    for (int i = 0; i < streams_open; ++i)
    {
        threads.emplace_back(
            [&]
            {
                keep_alive_client client(router);
                answered += client.call(call) >= 0 ? 1 : 0;
            });
    }
    threads.clear();
    const double cpu = usage_of(pid).cpu_seconds - before;
    const double tokens = static_cast<double>(answered) * stream_tokens;
    print_figure("stream_answered", answered, "streams");
    print_figure(
        "stream_tokens_rate", tokens / seconds_since(start), "tokens/s");
    print_figure("stream_cpu_per_token", cpu / tokens * 1e6, "us");
    print_figure("stream_resident", usage_of(pid).resident_mib, "MiB");
}

} // namespace roseworks::bench
