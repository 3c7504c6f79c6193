#pragma once

#include <roseworks/instant.hpp>

#include <cstdint>
#include <vector>

namespace roseworks::bench
{

/** What a replay gave, by the definitions of docs/design/0003.

    The cold-start time of a request is the part of its wait for which its model
    or adapter was not ready on any engine. Idle accelerator hours are times in
    which a ready replica runs no request, weighted by its accelerators.
*/
struct replay_figures
{
    double cold_p50_s = 0;
    double cold_p95_s = 0;
    double cold_p99_s = 0;
    double cold_p999_s = 0;
    double waited_share = 0;          ///< requests with a cold-start time
    double periodic_waited_share = 0; ///< of periodic callers' requests
    double waited_p99_s = 0;          ///< among those
    double idle_hours = 0;            ///< accelerator hours, ready and idle
    double idle_cost = 0;     ///< `idle_hours`, weighted by engines' prices
    double slowed_share = 0;  ///< requests not of class batch that ran on a
                              ///< slower engine
    double loading_hours = 0; ///< accelerator hours, reserved but not ready
    std::uint64_t requests = 0;
    std::uint64_t unanswered = 0; ///< never had a ready replica
    std::uint64_t loads = 0;
    std::uint64_t remote_loads = 0;
    std::uint64_t evictions = 0;
};

/** Fill in the percentiles, by nearest rank.

    @param cold   Cold-start time of every request measured; sorted by this.
    @param result Figures to complete.
*/
void set_percentiles(std::vector<duration>& cold, replay_figures& result);

} // namespace roseworks::bench
