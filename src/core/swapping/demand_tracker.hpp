#pragma once

#include "core/swapping/demand_estimator.hpp"
#include "core/swapping/peer_messages.hpp"

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace roseworks
{

/// A model or adapter for which requests wait, summed over all routers.
struct waiting_servable
{
    std::string servable; ///< key of the model or adapter
    /// Of the engines on which a copy is of use; 0: of all.
    software_version software;
    std::uint32_t waiting = 0;
    instant objective = instant::max(); ///< earliest that can still be met
    instant deadline;                   ///< earliest one
    std::vector<std::string> routers;   ///< at which requests wait
};

/** The waiting and running requests of all routers, from their latest reports.

    An entry is valid until the router reports it again, and no longer than its
    lifetime: routers repeat what still waits or runs. The data may be
    outdated and only guides decisions.
*/
class demand_tracker
{
public:
    struct options
    {
        /// Routers repeat waiting requests every 250 ms; two reports in a row
        /// may be lost.
        duration need_lifetime = std::chrono::milliseconds(800);
        /// Routers report running requests every 100 to 500 ms.
        duration use_lifetime = std::chrono::milliseconds(1500);
        /// A router that is silent for this long isn't counted as active.
        duration router_lifetime = std::chrono::seconds(3);
        /// Routers that used a servable on an engine within this time are told
        /// when it is unloaded there.
        duration recent_use = std::chrono::seconds(10);
        demand_estimator::options demand;
        /// Half-life of the count of starts. Demand shifts to other models
        /// within seconds.
        demand_estimator::options starts{std::chrono::milliseconds(500)};
    };

    explicit demand_tracker(options settings);

    /// Applies a router's report.
    /// @return False when the report is outdated; it is ignored then.
    bool apply_router_report(const router_report& report, instant now);

    /// @return All servables for which requests wait. Those that can still meet
    ///         an objective come first, by objective; the others follow, by
    ///         deadline.
    std::vector<waiting_servable> waiting_servables(instant now) const;

    /// Requests for one servable that run on one engine.
    struct use
    {
        std::uint32_t running = 0;
        instant last_used; ///< time of the last report that named it
    };

    /// @return Null when no router reported it recently.
    const use*
    find_use(std::string_view engine, std::string_view servable) const;

    /// @param model Key of the model.
    /// @return Decayed count of requests for it, over all routers. A request
    ///         that waited before it was sent to an engine is counted twice.
    double demand(const std::string& model, instant now) const
    {
        return this->demand_estimate.decayed_count(model, now);
    }

    /// @param model Key of the model.
    /// @return The same as requests per second.
    double demand_rate(const std::string& model, instant now) const
    {
        return this->demand_estimate.requests_per_second(model, now);
    }

    /// @param model Key of the model.
    /// @return Requests for it that started per second in the last seconds, on
    ///         all engines.
    double start_rate(const std::string& model, instant now) const
    {
        return this->start_estimate.requests_per_second(model, now);
    }

    /// @return Routers at which requests wait for a servable, on engines of any
    ///         software.
    std::vector<std::string>
    routers_waiting(std::string_view servable, instant now) const;

    /// @return Routers that used a servable on an engine recently.
    std::vector<std::string>
    routers_using(std::string_view engine, std::string_view servable) const;

    /// @return Number of routers that reported recently.
    std::size_t active_routers(instant now) const;

    /// Removes entries whose lifetime has ended.
    void tick(instant now);

private:
    struct need_row
    {
        std::uint32_t waiting = 0;
        instant objective;
        instant deadline;
        instant reported_at;
    };

    struct use_row
    {
        std::uint32_t running = 0;
        instant reported_at;
        instant last_used;
    };

    struct router_row
    {
        std::uint64_t run = 0;
        std::uint64_t sequence = 0;
        instant reported_at;
        std::unordered_map<std::string, need_row> needs; ///< by servable
        std::unordered_map<std::string, use_row> uses;   ///< by use_key
    };

    static std::string
    use_key(std::string_view engine, std::string_view servable);
    void apply_uses(router_row& row, const router_report& report, instant now);
    void update_running(
        const std::string& key, std::uint32_t before, std::uint32_t after);

    options settings;
    std::map<std::string, router_row, std::less<>> rows;
    std::unordered_map<std::string, use> uses; ///< by use_key
    demand_estimator demand_estimate;
    demand_estimator start_estimate;
};

} // namespace roseworks
