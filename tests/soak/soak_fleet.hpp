#pragma once

#include "tests/support/fleet.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace roseworks::test
{

/// Memory of every engine of the run, MiB.
inline constexpr std::uint32_t soak_engine_mib = 40000;

/// The fleet of a run: three engines, one of which ignores fencing numbers,
/// and one plain service whose calls may not be repeated, behind proxies.
fleet_setup soak_fleet(std::size_t routers);

/** The records of a run: eight models of which three fit on an engine, two
    adapters, and callers of each class.

    @param versions Version by model; `1` for those that aren't named.
*/
std::string soak_records(const std::map<std::string, std::string>& versions);

/// Everything that callers may name as a model.
const std::vector<std::string>& soak_servables();

/// Base models whose version may be changed while the run lasts.
const std::vector<std::string>& soak_rolling_models();

/// @return The declared number of replicas that a servable never exceeds.
std::uint64_t max_replicas(const std::string& servable);

} // namespace roseworks::test
