#include "bench/router/figures.hpp"
#include "bench/router/measured_fleet.hpp"
#include "bench/router/measurements.hpp"

#include <boost/json/value.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
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
constexpr double slow_seconds = 8;
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

/// One engine behind a proxy, with as many kept connections as there will be
/// callers, and enough calls on each for an estimate of the first byte.
std::unique_ptr<test::fleet> warm_fleet(const test::http_call& call)
{
    test::fleet_setup setup;
    setup.routers = 1;
    setup.engines = {{"e1", 40000, true, {"--slots", "64"}}};
    setup.proxies = true;
    auto nodes = std::make_unique<test::fleet>(std::move(setup));
    publish(*nodes, model_record("agri-lm", 1, 1));
    warm(nodes->router_address(0), call);
    const test::addressed_call at_router{nodes->router_address(0), call};
    for (int i = 0; i < warm_rounds; ++i)
    {
        test::send_all(
            std::vector<test::addressed_call>(silent_callers, at_router));
    }
    return nodes;
}

/// A burst of traffic after a command to the engine's proxy.
void burst(
    const test::fleet& nodes,
    const test::addressed_call& call,
    const char* command,
    double seconds,
    felt& all)
{
    require(test::control(nodes.engine_proxy(0), command), "proxy control");
    const auto start = clock::now();
    std::vector<std::jthread> threads;
    threads.reserve(silent_callers);
    for (int i = 0; i < silent_callers; ++i)
    {
        threads.emplace_back(
            [&]
            {
                call_until(call, start, seconds, all);
            });
    }
}

/// Traffic while the open connections to the only engine fall silent.
void measure_case(const silence_case& run)
{
    auto call = test::completion("agri-lm", "silent");
    call.headers["X-Deadline-Ms"] = run.deadline_ms;
    const auto nodes = warm_fleet(call);
    felt all;
    burst(
        *nodes,
        {nodes->router_address(0), call},
        R"({"mode":"silent"})",
        run.seconds,
        all);
    print_figure(run.name + "_stops_hurting", all.last_hurt, "s");
    print_figure(run.name + "_calls_hurt", all.hurt, "calls");
    print_figure(run.name + "_calls_failed", all.failed, "calls");
    print_figure(run.name + "_longest_call", all.longest, "s");
    print_figure(run.name + "_calls", all.calls, "calls");
}

double runs_begun(const std::string& engine)
{
    double sum = 0;
    const auto ledger = test::get_json(engine, "/ledger");
    for (const auto& one : ledger.at("executions").as_array())
        sum += one.at("count").to_number<double>();
    return sum;
}

/// Traffic while all that passes to and from the only engine slows down: no
/// connection is silent, so whatever is sent twice is wasted.
void measure_slowdown()
{
    auto call = test::completion("agri-lm", "slow");
    call.headers["X-Deadline-Ms"] = "30000";
    const auto nodes = warm_fleet(call);
    const std::string& engine = nodes->engine_address(0);
    const double before = runs_begun(engine);
    felt all;
    burst(
        *nodes,
        {nodes->router_address(0), call},
        R"({"mode":"delay","delay_ms":300})",
        slow_seconds,
        all);
    print_figure("slowdown_calls", all.calls, "calls");
    print_figure("slowdown_calls_failed", all.failed, "calls");
    print_figure("slowdown_longest_call", all.longest, "s");
    print_figure(
        "slowdown_runs_wasted",
        runs_begun(engine) - before - all.calls,
        "runs");
}

} // namespace

void measure_silence()
{
    measure_case({"silence", "2000", 8});
    measure_case({"silence_deadline_30_s", "30000", 8});
    measure_slowdown();
}

} // namespace roseworks::bench
