#pragma once

#include <roseworks/instant.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/** What a trace is generated from.

    The users gave the numbers of models and adapters, the store's limits and
    the share that wakes or falls idle in an hour. All else is assumed, and
    listed in docs/design/0003-placement-policy.md.
*/
struct trace_profile
{
    std::string name;
    std::vector<std::string> data_centres;
    std::uint32_t models = 0;
    std::uint32_t adapters = 0;
    std::uint32_t engines = 0;
    std::uint32_t callers = 0;
    std::uint16_t store_slots = 0;
    std::uint16_t store_loads_per_second = 0;

    double wake_or_idle_share = 0.29; ///< of the servables, in an hour
    double zipf_exponent = 0.6;       ///< of the pace within a session
    double wake_exponent = 0.3;       ///< of the number of sessions
    double night_factor = 0.4;        ///< wakes at night against the mean
    double companion_share = 0.5;     ///< sessions that bring a next one
    double periodic_share = 0.2;      ///< sessions of periodic callers
    double bursts_per_day = 0;
    std::uint32_t burst_servables = 0; ///< awakened by one burst
    double batch_share = 0;            ///< servables with an overnight batch
    double catalogue_share = 0;        ///< requests with a whole catalogue
    double urgent_share = 0.1;         ///< sessions of urgent callers

    duration length = std::chrono::hours(48);
};

/** Find a ready profile.

    @param name  `consortium`, `cooperative` or `scaled`.
    @param scale For `scaled`: the two-year size divided by this.
    @return      The profile; empty when there is none of that name or the
                 scale isn't positive.
*/
std::optional<trace_profile>
find_trace_profile(std::string_view name, double scale = 100);

} // namespace roseworks
