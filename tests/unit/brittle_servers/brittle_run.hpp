#pragma once

#include "brittle_fleet.hpp"

#include <cstddef>

namespace roseworks::testing
{

/// What happened in one time in which the servers were brittle.
struct brittle_outcome
{
    std::size_t falls = 0;
    std::size_t allowed_falls = 0;
    std::size_t worst_second = 0; ///< rejections of one server
    double used = 0;              ///< share of the servers' slots
};

/// @return Options of a fleet whose routers know the servers' slots.
brittle_fleet::options
brittle_options(std::size_t routers, std::size_t engines);

/// Makes the servers of a calm fleet brittle, and then changes the load.
/// @param load Requests, as a multiple of what the servers can run.
brittle_outcome run_brittle(brittle_fleet& fleet, double load);

} // namespace roseworks::testing
