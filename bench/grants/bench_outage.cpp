// Cold requests while the platform's log is away, at real routers: how long a
// caller waits for a model of a standing grant, beside the same with the log
// up.

#include "bench/router/figures.hpp"
#include "tests/support/calls.hpp"
#include "tests/support/fleet.hpp"

#include <chrono>
#include <cstddef>
#include <cstdio>
#include <string>
#include <vector>

namespace
{

using namespace roseworks;
using clock = std::chrono::steady_clock;

constexpr std::size_t tries = 10;

std::string model_name(std::string_view group, std::size_t number)
{
    return std::string(group) + "-" + std::to_string(number);
}

/// Models of 2,000 MiB, each of one replica.
std::string records()
{
    std::string text;
    for (const std::string_view group : {"away", "up", "plain"})
    {
        for (std::size_t i = 0; i < tries; ++i)
            text += "[model " + model_name(group, i) +
                    "]\nversion = 1\nmemory_mib = 2000\nmax_replicas = 1\n";
    }
    return text;
}

test::fleet_setup setup_with(std::uint32_t grant_mib)
{
    test::fleet_setup setup;
    setup.engines = {{"e1", 100'000}, {"e2", 100'000}};
    setup.store_mib_per_second = 4'000;
    setup.router_settings =
        "[grants]\nmemory_mib = " + std::to_string(grant_mib) + "\n";
    return setup;
}

bool all_show(const test::fleet& nodes, std::string_view metric, double value)
{
    for (std::size_t i = 0; i < nodes.routers(); ++i)
    {
        if (bench::read_metric(nodes.router_address(i), metric) != value)
            return false;
    }
    return true;
}

/// Ask for cold models one after the other, at each router in turn.
void measure(
    const test::fleet& nodes, std::string_view group, std::string_view figure)
{
    std::vector<double> waits;
    std::size_t served = 0;
    for (std::size_t i = 0; i < tries; ++i)
    {
        const auto start = clock::now();
        const auto reply = test::send(
            nodes.router_address(i % nodes.routers()),
            test::completion(model_name(group, i), "x"));
        waits.push_back(bench::seconds_since(start) * 1000);
        served += reply.status == 200 ? 1 : 0;
    }
    const std::string name = "outage_" + std::string(figure);
    bench::print_figure(name + "_served", static_cast<double>(served), "count");
    bench::print_quantiles(name, waits, "ms");
    bench::print_figure(name + "_max", bench::quantile(waits, 1), "ms");
}

bool take_log_away(const test::fleet& nodes)
{
    return test::control(nodes.log_address(), R"({"mode":"down"})") &&
           test::eventually(
               [&]
               {
                   return all_show(nodes, "roseworks_log_available", 0);
               });
}

int run()
{
    constexpr double named = 3 * tries;
    test::fleet granted(setup_with(60'000));
    if (granted.apply(records()).exit_code != 0 ||
        !test::eventually(
            [&]
            {
                return all_show(granted, "roseworks_granted_models", named);
            }))
        return 1;
    measure(granted, "up", "log_up_granted_model");
    if (!take_log_away(granted))
        return 1;
    measure(granted, "away", "log_away_granted_model");

    test::fleet plain(setup_with(0));
    if (plain.apply(records()).exit_code != 0)
        return 1;
    measure(plain, "plain", "log_up_no_grants");
    if (!take_log_away(plain))
        return 1;
    measure(plain, "away", "log_away_no_grants");
    return 0;
}

} // namespace

int main()
{
    const int status = run();
    if (status != 0)
        std::fprintf(stderr, "the fleet didn't come up as wanted\n");
    return status;
}
