/** What callers feel of the router, with real processes on loopback: latency
    and rate beside the same engine called directly, time until an applied
    change is in force on nine routers, the cost of a claim, what a burst for
    a cold model costs the log, and how long a silent connection hurts.
*/
#include "bench/router/figures.hpp"
#include "bench/router/keep_alive_client.hpp"
#include "tests/support/calls.hpp"
#include "tests/support/fleet.hpp"

#include <boost/json/value.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <functional>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace roseworks;
using namespace roseworks::bench;

namespace
{

using clock = std::chrono::steady_clock;

constexpr std::size_t fleet_size = 9;
constexpr int latency_rounds = 120;
constexpr int calls_a_round = 10;
constexpr int rate_rounds = 4;
constexpr std::size_t rate_callers = 16;
constexpr double rate_seconds = 0.75;
constexpr double default_traffic_threads = 2;
constexpr int stream_tokens = 150;
constexpr int streams_open = 49; ///< of one router at the two-year size
constexpr int applies = 30;
constexpr int bursts = 8;
constexpr int burst_streams = 4;
constexpr std::size_t calls_per_router = 4;
constexpr int claim_rounds = 60;
constexpr std::size_t claim_callers = 64;
constexpr double claim_seconds = 3;
constexpr double silent_seconds = 8;
constexpr int silent_callers = 4;
constexpr double hurt_above_seconds = 0.5;
constexpr double to_ms = 1000;

void require(bool holds, const std::string& what)
{
    if (!holds)
        throw std::runtime_error(what);
}

void publish(test::fleet& nodes, const std::string& records)
{
    // `apply` waits for running routers only: without this, none is enough.
    for (std::size_t i = 0; i < nodes.routers(); ++i)
        require(nodes.router(i).running(), "a router isn't running");
    const auto result = nodes.apply(records);
    require(result.exit_code == 0, "apply: " + result.output);
}

std::uint64_t ledger_number(std::string_view standin, std::string_view key)
{
    const auto ledger = test::get_json(standin, "/ledger");
    if (!ledger.is_object() || !ledger.as_object().contains(key))
        return 0;
    const auto& value = ledger.as_object().at(key);
    return value.is_number() ? value.to_number<std::uint64_t>() : 0;
}

std::string
model_record(const std::string& name, int least, int most, int streams = 64)
{
    return "[model " + name +
           "]\nmemory_mib = 100\nmax_streams = " + std::to_string(streams) +
           "\n" +
           "load_estimate_ms = 100\nmin_replicas = " + std::to_string(least) +
           "\nmax_replicas = " + std::to_string(most) + "\n";
}

/// Call until one answer is good, so that what follows is warm.
void warm(const std::string& address, const test::http_call& call)
{
    const bool warmed = test::eventually(
        [&]
        {
            return test::send(address, call).status == 200;
        });
    require(warmed, "never warm: " + address);
}

/// Repeat calls on several connections for a time.
/// @param make Builds a call from the caller's and the call's number.
/// @return     Seconds of each good answer.
std::vector<double> call_for(
    const std::vector<std::string>& addresses,
    std::size_t callers,
    double seconds,
    const std::function<test::http_call(std::size_t, std::size_t)>& make)
{
    std::mutex guard;
    std::vector<double> samples;
    std::vector<std::jthread> threads;
    const auto start = clock::now();
    for (std::size_t caller = 0; caller < callers; ++caller)
    {
        threads.emplace_back(
            [&, caller]
            {
                keep_alive_client client(addresses[caller % addresses.size()]);
                std::vector<double> own;
                for (std::size_t i = 0; seconds_since(start) < seconds; ++i)
                    own.push_back(client.call(make(caller, i)));
                const std::scoped_lock lock(guard);
                for (const double sample : own)
                {
                    if (sample >= 0)
                        samples.push_back(sample);
                }
            });
    }
    threads.clear();
    return samples;
}

/// Latency and rate on a warm model, beside the engine called directly.
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

/// Processor time of passing a stream on, one event a token as on a real
/// engine: with a pause between tokens, so that they don't arrive together.
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

/// Time of `roseworksctl apply` until each of nine routers has it in force.
void measure_apply(test::fleet& nodes, const std::string& base)
{
    std::vector<double> seconds;
    for (int i = 0; i < applies; ++i)
    {
        const std::string caller =
            "[caller desk]\nrequests_per_second = " + std::to_string(1000 + i) +
            "\n";
        const auto start = clock::now();
        publish(nodes, base + caller);
        seconds.push_back(seconds_since(start));
    }
    print_quantiles("apply_in_force_9_routers", seconds, "s");
    print_figure("apply_in_force_max", quantile(seconds, 1), "s");
}

double sum_metric(const test::fleet& nodes, std::string_view name)
{
    double sum = 0;
    for (std::size_t i = 0; i < nodes.routers(); ++i)
        sum += read_metric(nodes.router_address(i), name);
    return sum;
}

/// A burst at nine routers for one cold model with two declared replicas.
void measure_bursts(test::fleet& nodes, const std::string& base)
{
    std::string records = base;
    for (int i = 0; i < bursts; ++i)
        records +=
            model_record("cold-" + std::to_string(i), 0, 2, burst_streams);
    publish(nodes, records);

    const std::string& log = nodes.log_address();
    const double appends = static_cast<double>(ledger_number(log, "appends"));
    const double next = static_cast<double>(ledger_number(log, "next_offset"));
    const double rejected =
        read_metric(nodes.router_address(0), "roseworks_records_rejected");
    std::size_t answered = 0;
    std::uint64_t resident = 0;
    std::vector<double> burst_seconds;
    for (int i = 0; i < bursts; ++i)
    {
        const std::string name = "cold-" + std::to_string(i);
        std::vector<test::addressed_call> calls;
        for (std::size_t k = 0; k < nodes.routers() * calls_per_router; ++k)
        {
            calls.push_back(
                {nodes.router_address(k % nodes.routers()),
                 test::completion(name, "burst " + std::to_string(k))});
        }
        const auto start = clock::now();
        for (const auto& reply : test::send_all(calls))
            answered += reply.status == 200 ? 1 : 0;
        burst_seconds.push_back(seconds_since(start));
        resident += test::resident_peak(nodes, name);
    }
    print_quantiles("burst_all_answered", burst_seconds, "s");
    print_figure(
        "burst_answered",
        100.0 * static_cast<double>(answered) /
            static_cast<double>(bursts * nodes.routers() * calls_per_router),
        "percent");
    print_figure(
        "burst_replicas_of_2_declared",
        static_cast<double>(resident) / bursts,
        "replicas");
    print_figure(
        "burst_appends_per_cold_start",
        (static_cast<double>(ledger_number(log, "appends")) - appends) / bursts,
        "appends");
    print_figure(
        "burst_records_per_cold_start",
        (static_cast<double>(ledger_number(log, "next_offset")) - next) /
            bursts,
        "records");
    print_figure(
        "burst_rejected_per_cold_start",
        (read_metric(nodes.router_address(0), "roseworks_records_rejected") -
         rejected) /
            bursts,
        "records");
    print_figure(
        "records_divergent",
        sum_metric(nodes, "roseworks_records_rejected") -
            static_cast<double>(nodes.routers()) *
                read_metric(
                    nodes.router_address(0), "roseworks_records_rejected"),
        "records");
}

/// A call of the same backend server under the repeatable service's record.
/// Without a key: a key would be claimed there, too.
test::http_call repeatable_call()
{
    auto call = test::dispatch("unused");
    call.headers.erase("Idempotency-Key");
    call.target = "/services/again/dispatch";
    return call;
}

/// Keyed calls from many callers at all routers; every one must run once.
void measure_claim_rate(const test::fleet& nodes, const std::string& name)
{
    std::vector<std::string> routers;
    for (std::size_t i = 0; i < nodes.routers(); ++i)
        routers.push_back(nodes.router_address(i));
    const std::string& log = nodes.log_address();
    const auto appends = ledger_number(log, "appends");
    const auto runs = ledger_number(nodes.service_address(0), "runs");
    const auto samples = call_for(
        routers,
        claim_callers,
        claim_seconds,
        [&](std::size_t caller, std::size_t i)
        {
            return test::dispatch(
                name + "-" + std::to_string(caller) + "-" + std::to_string(i));
        });
    const auto answered = static_cast<double>(samples.size());
    const auto used =
        static_cast<double>(ledger_number(log, "appends") - appends);
    const auto ran = static_cast<double>(
        ledger_number(nodes.service_address(0), "runs") - runs);
    print_figure(name, answered / claim_seconds, "claims/s");
    print_figure(name + "_p50", quantile(samples, 0.5) * to_ms, "ms");
    print_figure(name + "_p99", quantile(samples, 0.99) * to_ms, "ms");
    print_figure(name + "_appends", used / claim_seconds, "appends/s");
    print_figure(name + "_per_append", answered / used, "claims");
    print_figure(name + "_run_and_not_answered", ran - answered, "calls");
}

/// A call under a claim beside the same backend as a repeatable service.
void measure_claims(test::fleet& nodes)
{
    keep_alive_client claimed(nodes.router_address(0));
    keep_alive_client repeatable(nodes.router_address(0));
    std::vector<double> claimed_ms;
    std::vector<double> repeatable_ms;
    for (int i = 0; i < claim_rounds; ++i)
    {
        const std::string key = "round-" + std::to_string(i);
        const double plain = repeatable.call(repeatable_call());
        const double once = claimed.call(test::dispatch(key));
        require(plain >= 0 && once >= 0, "a service call failed");
        repeatable_ms.push_back(plain * to_ms);
        claimed_ms.push_back(once * to_ms);
    }
    print_quantiles("repeatable_call", repeatable_ms, "ms");
    print_quantiles("claimed_call", claimed_ms, "ms");
    print_figure(
        "claim_added_p50",
        quantile(claimed_ms, 0.5) - quantile(repeatable_ms, 0.5),
        "ms");
    print_figure(
        "claim_added_p99",
        quantile(claimed_ms, 0.99) - quantile(repeatable_ms, 0.99),
        "ms");

    measure_claim_rate(nodes, "claims_64_callers");
    require(
        test::control(nodes.log_address(), R"({"mode":"slow","delay_ms":5})"),
        "log control");
    measure_claim_rate(nodes, "claims_64_callers_slow_log");
    require(
        test::control(nodes.log_address(), R"({"mode":"up"})"), "log control");
}

/// A burst of traffic while connections to the only engine fall silent.
void measure_silence()
{
    test::fleet_setup setup;
    setup.routers = 1;
    setup.engines = {{"e1", 40000, true, {"--slots", "64"}}};
    setup.proxies = true;
    test::fleet nodes(std::move(setup));
    publish(nodes, model_record("agri-lm", 1, 1));
    auto call = test::completion("agri-lm", "silent");
    call.headers["X-Deadline-Ms"] = "2000";
    warm(nodes.router_address(0), call);
    // As many pooled connections as there will be callers.
    const test::addressed_call at_router{nodes.router_address(0), call};
    test::send_all(
        std::vector<test::addressed_call>(silent_callers, at_router));

    require(
        test::control(nodes.engine_proxy(0), R"({"mode":"silent"})"),
        "proxy control");
    const auto start = clock::now();
    std::mutex guard;
    double last_hurt = 0;
    double longest = 0;
    int hurt = 0;
    int failed = 0;
    int calls = 0;
    std::vector<std::jthread> threads;
    for (int i = 0; i < silent_callers; ++i)
    {
        threads.emplace_back(
            [&]
            {
                while (seconds_since(start) < silent_seconds)
                {
                    const auto began = clock::now();
                    const auto reply =
                        test::send(nodes.router_address(0), call);
                    const double took = seconds_since(began);
                    const std::scoped_lock lock(guard);
                    ++calls;
                    longest = std::max(longest, took);
                    failed += reply.status == 200 ? 0 : 1;
                    if (reply.status == 200 && took < hurt_above_seconds)
                        continue;
                    ++hurt;
                    last_hurt = std::max(last_hurt, seconds_since(start));
                }
            });
    }
    threads.clear();
    print_figure("silence_stops_hurting", last_hurt, "s");
    print_figure("silence_calls_hurt", hurt, "calls");
    print_figure("silence_calls_failed", failed, "calls");
    print_figure("silence_longest_call", longest, "s");
    print_figure("silence_calls", calls, "calls");
}

void measure_fleet()
{
    test::fleet_setup setup;
    setup.routers = fleet_size;
    setup.engines = {{"e1"}, {"e2"}, {"e3"}};
    test::fleet nodes(std::move(setup));
    const std::string base =
        "[service again]\nbackends = " + nodes.service_address(0) +
        " vm-s1 dc-a\nrepeatable = yes\n";
    publish(nodes, base);
    measure_apply(nodes, base);
    measure_bursts(nodes, base);
    measure_claims(nodes);
}

/// Run one measurement; a failure is printed and doesn't end the others.
bool measured(const char* name, void (*measure)())
{
    try
    {
        measure();
        return true;
    }
    catch (const std::exception& error)
    {
        std::printf("# %s failed: %s\n", name, error.what());
        return false;
    }
}

} // namespace

int main()
{
    bool all = measured("added latency", measure_added_latency);
    all = measured("streams", measure_streams) && all;
    all = measured("fleet", measure_fleet) && all;
    all = measured("silence", measure_silence) && all;
    return all ? 0 : 1;
}
