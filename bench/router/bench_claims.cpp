/** What claims cost at the log's append budget, with real processes on
    loopback: claims a second at nine routers and a log that takes 300 appends
    a second, their latency, how many share an append, and whether each call
    ran once by the service's ledger.
*/
#include "bench/router/figures.hpp"
#include "bench/router/keep_alive_client.hpp"
#include "tests/support/calls.hpp"
#include "tests/support/fleet.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace roseworks;
using namespace roseworks::bench;

namespace
{

constexpr std::size_t fleet_size = 9;
constexpr std::uint64_t append_budget = 300;
constexpr double measured_seconds = 6;
constexpr double to_ms = 1000;

/// Answers to keyed calls, and how long each took.
struct claimed_calls
{
    std::vector<double> seconds;
    std::uint64_t failed = 0;
};

std::uint64_t ledger_number(const std::string& address, std::string_view key)
{
    const auto ledger = test::get_json(address, "/ledger");
    if (!ledger.is_object() || !ledger.as_object().contains(key))
        throw std::runtime_error("no ledger at " + address);
    return ledger.as_object().at(key).to_number<std::uint64_t>();
}

/// One caller's calls, each under a key of its own.
void call_until(
    std::chrono::steady_clock::time_point end,
    const std::string& router,
    const std::string& prefix,
    claimed_calls& into)
{
    keep_alive_client client(router);
    for (std::uint64_t i = 0; std::chrono::steady_clock::now() < end; ++i)
    {
        const double took =
            client.call(test::dispatch(prefix + std::to_string(i)));
        if (took < 0)
            ++into.failed;
        else
            into.seconds.push_back(took);
    }
}

claimed_calls call_all(const test::fleet& nodes, std::size_t callers)
{
    const auto end =
        std::chrono::steady_clock::now() +
        std::chrono::milliseconds(static_cast<int>(measured_seconds * to_ms));
    std::vector<claimed_calls> own(callers);
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < callers; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                const std::string prefix = "c" + std::to_string(callers) + "-" +
                                           std::to_string(i) + "-";
                call_until(
                    end,
                    nodes.router_address(i % nodes.routers()),
                    prefix,
                    own[i]);
            });
    }
    threads.clear();
    claimed_calls all;
    for (const claimed_calls& one : own)
    {
        all.failed += one.failed;
        all.seconds.insert(
            all.seconds.end(), one.seconds.begin(), one.seconds.end());
    }
    return all;
}

void measure(const test::fleet& nodes, std::size_t callers)
{
    const std::string& log = nodes.log_address();
    const std::string& service = nodes.service_address(0);
    const std::uint64_t appends = ledger_number(log, "appends");
    const std::uint64_t runs = ledger_number(service, "runs");
    const claimed_calls calls = call_all(nodes, callers);
    const auto used =
        static_cast<double>(ledger_number(log, "appends") - appends);
    const std::uint64_t ran = ledger_number(service, "runs") - runs;
    const auto answered = static_cast<double>(calls.seconds.size());
    const std::string name = "claims_" + std::to_string(callers) + "_callers";
    print_figure(name, answered / measured_seconds, "claims/s");
    print_figure(name + "_p50", quantile(calls.seconds, 0.5) * to_ms, "ms");
    print_figure(name + "_p99", quantile(calls.seconds, 0.99) * to_ms, "ms");
    print_figure(name + "_appends", used / measured_seconds, "appends/s");
    print_figure(name + "_per_append", answered / used, "claims");
    print_figure(name + "_refused", static_cast<double>(calls.failed), "calls");
    print_figure(
        name + "_runs_beyond_answers",
        static_cast<double>(ran) - answered,
        "runs");
}

} // namespace

int main()
{
    try
    {
        test::fleet_setup setup;
        setup.routers = fleet_size;
        setup.log_arguments = {
            "--appends-per-second", std::to_string(append_budget)};
        test::fleet nodes(std::move(setup));
        const auto applied = nodes.apply(
            "[model agri-lm]\nmemory_mib = 16000\nmax_replicas = 1\n");
        if (applied.exit_code != 0 || !nodes.wait_ready())
            throw std::runtime_error("no fleet: " + applied.output);
        for (const std::size_t callers : {9, 90, 270})
            measure(nodes, callers);
        return 0;
    }
    catch (const std::exception& error)
    {
        std::fprintf(stderr, "bench_claims: %s\n", error.what());
        return 1;
    }
}
