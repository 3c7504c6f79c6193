#include "bench/router/figures.hpp"
#include "bench/router/measured_fleet.hpp"
#include "bench/router/measurements.hpp"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace roseworks::bench
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr int silent_callers = 4;
constexpr int warm_rounds = 10;
constexpr double hurt_above_seconds = 0.5;

/// One run: the callers' deadline, and how long they go on calling.
struct silence_case
{
    std::string name;
    std::string deadline_ms;
    double seconds;
};

/// What the callers felt, added up under one lock.
struct felt
{
    std::mutex guard;
    double last_hurt = 0;
    double longest = 0;
    int hurt = 0;
    int failed = 0;
    int calls = 0;
};

void call_until(
    const test::addressed_call& what,
    clock::time_point start,
    double seconds,
    felt& into)
{
    while (seconds_since(start) < seconds)
    {
        const auto began = clock::now();
        const auto reply = test::send(what.address, what.call);
        const double took = seconds_since(began);
        const std::scoped_lock lock(into.guard);
        ++into.calls;
        into.longest = std::max(into.longest, took);
        into.failed += reply.status == 200 ? 0 : 1;
        if (reply.status == 200 && took < hurt_above_seconds)
            continue;
        ++into.hurt;
        into.last_hurt = std::max(into.last_hurt, seconds_since(start));
    }
}

/// A burst of traffic while connections to the only engine fall silent.
void measure_case(const silence_case& run)
{
    test::fleet_setup setup;
    setup.routers = 1;
    setup.engines = {{"e1", 40000, true, {"--slots", "64"}}};
    setup.proxies = true;
    test::fleet nodes(std::move(setup));
    publish(nodes, model_record("agri-lm", 1, 1));
    auto call = test::completion("agri-lm", "silent");
    call.headers["X-Deadline-Ms"] = run.deadline_ms;
    warm(nodes.router_address(0), call);
    // As many pooled connections as there will be callers, and enough calls
    // on each for an estimate of the time to the first byte.
    const test::addressed_call at_router{nodes.router_address(0), call};
    for (int i = 0; i < warm_rounds; ++i)
    {
        test::send_all(
            std::vector<test::addressed_call>(silent_callers, at_router));
    }

    require(
        test::control(nodes.engine_proxy(0), R"({"mode":"silent"})"),
        "proxy control");
    const auto start = clock::now();
    felt all;
    std::vector<std::jthread> threads;
    for (int i = 0; i < silent_callers; ++i)
    {
        threads.emplace_back(
            [&]
            {
                call_until(at_router, start, run.seconds, all);
            });
    }
    threads.clear();
    print_figure(run.name + "_stops_hurting", all.last_hurt, "s");
    print_figure(run.name + "_calls_hurt", all.hurt, "calls");
    print_figure(run.name + "_calls_failed", all.failed, "calls");
    print_figure(run.name + "_longest_call", all.longest, "s");
    print_figure(run.name + "_calls", all.calls, "calls");
}

} // namespace

void measure_silence()
{
    measure_case({"silence", "2000", 8});
    measure_case({"silence_deadline_30_s", "30000", 8});
}

} // namespace roseworks::bench
