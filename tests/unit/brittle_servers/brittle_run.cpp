#include "brittle_run.hpp"

#include <chrono>

namespace roseworks::testing
{

namespace
{

/// Time that routers have to learn that servers are brittle.
constexpr duration grace_period = 3s;
constexpr duration brittle_time = 8s;

} // namespace

brittle_fleet::options brittle_options(std::size_t routers, std::size_t engines)
{
    brittle_fleet::options config;
    config.routers = routers;
    config.engines = engines;
    config.slots = static_cast<std::uint16_t>(config.server.slots);
    return config;
}

brittle_outcome run_brittle(brittle_fleet& fleet, double load)
{
    constexpr double calm_load = 0.3;
    fleet.send(2s, calm_load * fleet.capacity());
    fleet.set_brittle(true);
    const instant since = fleet.time();
    fleet.send(grace_period, calm_load * fleet.capacity());
    const duration busy_before = fleet.busy();
    const instant from = fleet.time();
    fleet.send(brittle_time, load * fleet.capacity());
    const std::chrono::duration<double> busy = fleet.busy() - busy_before;
    const std::chrono::duration<double> length = brittle_time;
    return {
        fleet.falls(since),
        fleet.allowed_falls(),
        fleet.worst_second(from),
        busy.count() / (length.count() * fleet.slots())};
}

} // namespace roseworks::testing
