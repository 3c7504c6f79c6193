#include "bench/router/measured_fleet.hpp"

#include "bench/router/figures.hpp"
#include "bench/router/keep_alive_client.hpp"

#include <chrono>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace roseworks::bench
{

namespace
{

using clock = std::chrono::steady_clock;

} // namespace

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
model_record(const std::string& name, int least, int most, int streams)
{
    return "[model " + name +
           "]\nmemory_mib = 100\nmax_streams = " + std::to_string(streams) +
           "\n" +
           "load_estimate_ms = 100\nmin_replicas = " + std::to_string(least) +
           "\nmax_replicas = " + std::to_string(most) + "\n";
}

void warm(const std::string& address, const test::http_call& call)
{
    const bool warmed = test::eventually(
        [&]
        {
            return test::send(address, call).status == 200;
        });
    require(warmed, "never warm: " + address);
}

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

} // namespace roseworks::bench
