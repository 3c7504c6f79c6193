#pragma once

#include "core/swapping/demand_tracker.hpp"
#include "core/swapping/engine_tracker.hpp"
#include "core/swapping/swap_order.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace roseworks::detail
{

/// A base model or adapter that should be loaded.
struct placement_request
{
    std::string servable; ///< key of the model or adapter
    std::string service;
    std::string model;
    std::string adapter;
    /// Of the engines that may load it; 0: all may. Streams that such an engine
    /// began wait for it.
    software_version software;
    std::uint32_t waiting = 0;
    instant objective;
    instant deadline;
    bool extra_copy = false; ///< loaded, but on too few engines
    bool overloaded = false; ///< extra copy that is needed urgently
    /// It is loaded only on engines with a rate limit.
    bool only_rate_limited = false;
    /// Expected number of requests that don't have to wait if a load from
    /// the store starts now instead of after the next one.
    double waits_avoided = 0;
    bool has_no_copy = false;      ///< no engine has the weights or loads them
    std::size_t copies_needed = 0; ///< for the requests that run and wait
};

/// @return Whether a copy on the engine serves the request.
inline bool
is_of_use(const engine_state& engine, const placement_request& request)
{
    return engine.entry.service == request.service &&
           (!request.software || engine.software == request.software);
}

/// An engine that could load the model.
struct candidate
{
    const engine_state* engine = nullptr;
    weight_source source = weight_source::disk;
    std::vector<std::string> victims; ///< models to unload first
    duration ready_in{};              ///< until the model is loaded
    std::uint32_t running = 0;        ///< requests on the engine
    std::uint32_t free_slots = 0;     ///< at the usual pace
    /// The engine holds, or has the weights of, another model that is
    /// overloaded.
    bool wanted_by_overloaded = false;
};

/// Use of a model on one engine, its adapters included.
struct model_usage
{
    std::uint32_t running = 0;
    instant last_used;
};

/// Use of an engine's models.
struct engine_usage
{
    /// In the order of the engine's loaded models.
    std::vector<model_usage> loaded_models;
    std::uint32_t running = 0;
    /// Estimate of the running requests that allows for the reports' lag.
    double estimated_running = 0;
    /// Overloaded models that the engine holds or has the weights of.
    std::vector<std::string_view> overloaded_models;
};

/// Totals of a model over all engines of its service.
struct model_totals
{
    std::size_t copies = 0;  ///< loaded on engines without a rate limit
    std::size_t limited = 0; ///< loaded on engines with a rate limit
    std::size_t loading = 0; ///< being loaded
    std::uint32_t running = 0;
    std::uint32_t waiting = 0; ///< requests that routers report as waiting
    /// Estimated requests for each one that is reported as running.
    double lag_factor = 1;
    /// Slots in use on the engines of `copies`, also by other models.
    double slots_in_use = 0;
    bool overloaded = false; ///< its requests find hardly a free slot

    /// @return Estimated requests that run or wait.
    double requests() const
    {
        return this->running * this->lag_factor + this->waiting;
    }
};

/// Engines that may load a model.
enum class load_targets : std::uint8_t
{
    with_weights,      ///< those that have the weights
    without_weights,   ///< those that need the weights from the store
    nearly_empty_disks ///< the same, but only those with nearly empty disks
};

/// State of one planning round.
struct planning_round
{
    const engine_tracker& engines;
    const demand_tracker& needs;
    instant now;
    std::unordered_map<const engine_state*, engine_usage> usage_by_engine;
    /// By model key.
    std::unordered_map<std::string, model_totals> totals_by_model;
    /// Ids of engines that get an order in this round or are reserved.
    std::set<std::string, std::less<>> assigned_engines;
    /// Keys of models for which requests wait, also for an adapter.
    std::set<std::string, std::less<>> awaited_models;
    std::vector<swap_order> orders;
    /// Requests that wait for a model whose weights no engine has, by model
    /// key.
    std::unordered_map<std::string, std::uint32_t> waiting_without_copy;
    std::vector<std::string> overloaded_models; ///< keys
    std::vector<waiting_servable> waiting;
    /// Keys of models that no further engine can load in this round.
    std::set<std::string, std::less<>> unplaceable;
    /// Running and waiting requests of overloaded models that need more copies
    /// than engines have their weights, by model key.
    std::unordered_map<std::string, std::uint32_t> overloaded_without_weights;
};

} // namespace roseworks::detail
