#pragma once

#include "core/pace/pace_sample.hpp"
#include "core/serving/engine_residency.hpp"

#include <roseworks/instant.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace roseworks
{

/// Requests that wait at one router for a model or adapter. Times are relative
/// to the sending of the message, because the routers' clocks differ.
struct servable_need
{
    /// None of the requests can meet its objective any more.
    static constexpr std::int64_t no_objective =
        std::numeric_limits<std::int64_t>::max();

    /// Key of the model or adapter, with the software that its servers need.
    std::string servable;
    std::uint32_t waiting = 0;
    std::int64_t objective_in_us = no_objective; ///< earliest one
    std::int64_t deadline_in_us = 0;             ///< earliest one

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(
            this->servable,
            this->waiting,
            this->objective_in_us,
            this->deadline_in_us);
    }
};

/// @return Interval at which a router reports its running requests. It grows
///         with the number of routers, which limits the owner's load to some
///         200 reports a second.
constexpr duration usage_report_interval(std::size_t routers)
{
    constexpr duration min_interval = std::chrono::milliseconds(100);
    constexpr duration max_interval = std::chrono::milliseconds(500);
    constexpr duration interval_per_router = std::chrono::milliseconds(5);
    return std::clamp(
        interval_per_router * static_cast<duration::rep>(routers),
        min_interval,
        max_interval);
}

/// Requests for one model or adapter that a router runs on one engine.
struct servable_usage
{
    std::string servable; ///< key of the model or adapter
    std::string engine;   ///< id of the engine's entry
    std::uint32_t running = 0;
    std::uint32_t started = 0; ///< since the previous report

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->servable, this->engine, this->running, this->started);
    }
};

/// A router's report to the placement owner. Its content is repeated, so that a
/// lost or late report only causes a delay.
struct router_report
{
    std::string router;
    std::uint64_t run = 0;      ///< identifies the run of the router process
    std::uint64_t sequence = 0; ///< increases within a run
    std::vector<servable_need> needs;
    std::vector<servable_usage> uses;
    /// Ids of engines to which a connection has just failed.
    std::vector<std::string> unreachable_engines;
    /// Times between events that the router measured since its last report.
    std::vector<pace_sample> pace_samples;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(
            this->router,
            this->run,
            this->sequence,
            this->needs,
            this->uses,
            this->unreachable_engines);
        // Routers of earlier versions leave this field out.
        if constexpr (requires { archive.remaining(); })
        {
            if (archive.remaining() == 0)
                return;
        }
        else if (this->pace_samples.empty())
            return;
        archive(this->pace_samples);
    }
};

/// Time until a model that no engine has is expected to be loaded.
struct announced_load_forecast
{
    std::string model;            ///< key of the model
    std::int64_t ready_in_us = 0; ///< from the sending of the message

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->model, this->ready_in_us);
    }
};

/// The placement owner's announcement to the routers.
struct owner_announcement
{
    std::string owner;
    std::uint64_t tenure = 0;
    std::uint32_t routers = 0; ///< that reported recently, the owner included
    bool ownership_released = false; ///< the sender no longer owns placement
    /// The owner's term has ended without a renewal. It sends no orders, and
    /// another router may own placement. What it announces about engines is
    /// still valid.
    bool term_expired = false;
    std::vector<engine_residency> engines;
    std::vector<announced_load_forecast> load_forecasts;
    /// Pace of each of `engines`, in percent of the mean; 0: no estimate. Empty
    /// if the owner estimates none.
    std::vector<std::uint16_t> paces;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(
            this->owner,
            this->tenure,
            this->routers,
            this->ownership_released,
            this->term_expired,
            this->engines,
            this->load_forecasts);
        // Routers of earlier versions leave this field out.
        if constexpr (requires { archive.remaining(); })
        {
            if (archive.remaining() == 0)
                return;
        }
        else if (this->paces.empty())
            return;
        archive(this->paces);
    }
};

} // namespace roseworks
