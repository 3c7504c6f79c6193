#include "bench/router/figures.hpp"
#include "bench/router/keep_alive_client.hpp"
#include "bench/router/measured_fleet.hpp"
#include "bench/router/measurements.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace roseworks::bench
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr std::size_t fleet_size = 9;
constexpr int applies = 30;
constexpr int bursts = 8;
constexpr int burst_streams = 4;
constexpr std::size_t calls_per_router = 4;
constexpr int claim_rounds = 60;
constexpr std::size_t claim_callers = 64;
constexpr double claim_seconds = 3;

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

} // namespace

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

} // namespace roseworks::bench
