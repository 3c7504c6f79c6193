#pragma once

#include "core/trace/trace.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace roseworks::bench
{

/// How memory is set aside for loads while the log is away.
enum class grant_way : std::uint8_t
{
    none,      ///< every cold request is refused
    per_model, ///< memory for each granted model, the last used ones first
    shared     ///< memory that any granted model may take
};

/// What is set aside, and for how long.
struct grant_plan
{
    grant_way way = grant_way::none;
    std::uint32_t grants = 0;     ///< engines with one, a load at a time each
    std::uint32_t memory_mib = 0; ///< of each; less where less is free
    duration term{};              ///< loads are ordered for so long
};

/// What an outage of the log did to the requests for cold servables.
struct outage_figures
{
    std::uint64_t cold = 0;          ///< requests without a warm replica
    std::uint64_t cold_models = 0;   ///< those of them for models
    std::uint64_t cold_urgent = 0;   ///< those of urgent callers for models
    std::uint64_t served = 0;        ///< in time, by a grant
    std::uint64_t served_urgent = 0; ///< those of urgent callers
    std::uint64_t loads = 0;
    std::uint64_t granted_models = 0;
    double reserved_gib = 0;   ///< mean over outages
    double reserved_share = 0; ///< of all engines' memory
    std::uint64_t outages = 0;
};

/** Replays outages of the log over a trace: one every few hours.

    At its begin a servable is warm when it was used within the idle time; warm
    ones stay so. What the replay leaves out: networks, faults, evictions, the
    store slowed down. Only models are granted, not adapters.

    @param source The trace.
    @param length Of each outage.
    @param plan   What was granted before.
    @return       Sums over the outages; the same for the same input.
*/
outage_figures
replay_outages(const trace& source, duration length, const grant_plan& plan);

/// @return The word used in figures.
std::string_view to_string(grant_way way);

} // namespace roseworks::bench
