#include "saturated_run.hpp"

#include <cstdio>

#include <criterion/criterion.h>

namespace roseworks::testing
{

namespace
{

constexpr double required_use = 0.9;
constexpr double required_prompt_share = 0.95;

} // namespace

saturated_fleet::options engines_of_12_slots(std::size_t routers)
{
    saturated_fleet::options config;
    config.routers = routers;
    config.engines = 4;
    config.slots = 12;
    config.caller_timeout = 5s;
    config.saturation = saturation_rule{};
    return config;
}

std::size_t longest_allowed_queue(const saturated_fleet::options& config)
{
    constexpr std::size_t in_transit = 2;
    return static_cast<std::size_t>(config.saturation->places(config.slots)) -
           config.slots + in_transit;
}

void expect_room_is_used_well(
    const char* name,
    saturated_fleet& fleet,
    const saturated_fleet::options& config,
    double load,
    const std::function<void()>& at_peak)
{
    fleet.send(learning_time, load * fleet.capacity());
    const instant from = fleet.time();
    fleet.send(peak_length / 2, load * fleet.capacity());
    at_peak();
    fleet.send(peak_length / 2, load * fleet.capacity());
    const std::chrono::duration<double> length = peak_length;
    const double use = static_cast<double>(fleet.answers_since(from)) /
                       (fleet.capacity() * length.count());
    std::printf(
        "%s, %zu routers, load %.1f: %.2f of the room used, %.3f prompt, "
        "longest queue %zu of %zu allowed\n",
        name,
        config.routers,
        load,
        use,
        fleet.prompt_share(from),
        fleet.longest_queue(from),
        longest_allowed_queue(config));
    cr_expect_geq(use, required_use);
    cr_expect_geq(fleet.prompt_share(from), required_prompt_share);
    cr_expect_leq(fleet.longest_queue(from), longest_allowed_queue(config));
}

} // namespace roseworks::testing
