#include "core/trace/trace_profile.hpp"

#include <algorithm>

namespace roseworks
{

namespace
{

/// Models and adapters at the two-year size.
constexpr double two_year_servables = 87'180;
constexpr double two_year_loads_per_second = 15;
/// Models among all servables, and servables per engine, as today.
constexpr double model_share = 100.0 / 220.0;
constexpr double servables_per_engine = 220.0 / 12.0;

trace_profile consortium()
{
    trace_profile profile;
    profile.name = "consortium";
    profile.data_centres = {"colombo-a", "colombo-b", "negombo"};
    profile.models = 100;
    profile.adapters = 120;
    profile.engines = 12;
    profile.callers = 300;
    profile.store_slots = 4;
    profile.store_loads_per_second = 15;
    profile.bursts_per_day = 2;
    profile.burst_servables = 16;
    profile.batch_share = 0.03;
    profile.urgent_share = 0.3;
    return profile;
}

trace_profile cooperative()
{
    trace_profile profile;
    profile.name = "cooperative";
    profile.data_centres = {"nasr-hall", "maadi-hall", "october-hall"};
    profile.models = 50;
    profile.adapters = 55;
    profile.engines = 6;
    profile.callers = 200;
    profile.store_slots = 4;
    profile.store_loads_per_second = 8;
    profile.bursts_per_day = 1;
    profile.burst_servables = 8;
    profile.batch_share = 0.2;
    profile.catalogue_share = 0.05;
    profile.urgent_share = 0.1;
    return profile;
}

/// The consortium's mix at the two-year number of servables, divided.
trace_profile scaled(double scale)
{
    trace_profile profile = consortium();
    const double servables = std::max(2.0, two_year_servables / scale);
    profile.name = "scaled";
    profile.models = static_cast<std::uint32_t>(servables * model_share);
    profile.adapters = static_cast<std::uint32_t>(servables) - profile.models;
    profile.models = std::max(1u, profile.models);
    profile.engines = std::max(
        3u, static_cast<std::uint32_t>(servables / servables_per_engine));
    profile.callers = std::max(10u, profile.models * 3);
    profile.burst_servables = std::max(2u, profile.models / 6);
    profile.store_loads_per_second =
        static_cast<std::uint16_t>(two_year_loads_per_second);
    return profile;
}

} // namespace

std::optional<trace_profile>
find_trace_profile(std::string_view name, double scale)
{
    if (name == "consortium")
    {
        return consortium();
    }
    if (name == "cooperative")
    {
        return cooperative();
    }
    if (name == "scaled" && scale > 0)
    {
        return scaled(scale);
    }
    return std::nullopt;
}

} // namespace roseworks
