#pragma once

#include "core/swapping/demand_tracker.hpp"
#include "core/swapping/engine_loss_estimator.hpp"
#include "core/swapping/engine_tracker.hpp"
#include "core/swapping/load_forecast.hpp"
#include "core/swapping/planning_round.hpp"
#include "core/swapping/store_load_limiter.hpp"
#include "core/swapping/swap_order.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace roseworks
{

/** Decides which engine loads or unloads which model next.

    Designed for requests that are spread over many rarely used models and
    arrive faster than one engine could be assigned to each, with bursts that
    more than double the rate. Models are assigned to engines only when an order
    can be sent. The model with the earliest objective then gets the engine that
    can load it soonest, and the load serves all requests that wait for it.

    An engine with a rate limit serves its models at that rate only, so they are
    also loaded on other engines when requests wait for them.

    A model is unloaded only when its memory is needed: unloading an idle one
    takes some milliseconds, and a model that stays may be requested again.

    The planner sends at most one order to an engine at a time and never exceeds
    its memory and adapter slots. Its inputs may be outdated.
*/
class swap_planner
{
public:
    struct options
    {
        /// A model that has been idle for this long may be unloaded. Before
        /// that, requests of routers that know the model to be loaded may still
        /// be on their way. Routers report the end of a use within 20 ms.
        duration min_idle_time = std::chrono::milliseconds(150);
        /// Running requests per loaded copy above which another copy is loaded.
        /// An engine processes 38 prompt tokens per millisecond. With about 650
        /// prompt tokens and 0.45 s per request, 8 requests use a third of
        /// that.
        std::uint32_t max_running_per_copy = 8;
        /// The same limit as a share of the engine's slots. Above it, requests
        /// of different routers, which don't know of each other's, would queue
        /// at the engine.
        double max_slot_share_per_copy = 0.35;
        /// An additional copy is as urgent as a request whose objective is this
        /// far away.
        duration extra_copy_objective = std::chrono::milliseconds(600);
        /// When a model needs this many times its present copies, an engine
        /// that has its weights is reserved for another copy. Otherwise, after
        /// a loss of many engines, rarer models would take all freed memory on
        /// the few engines that have the weights.
        std::uint32_t overload_factor = 2;
        /// A model whose load has to begin within this time to meet its
        /// objective reserves an engine that has its weights. Otherwise smaller
        /// or more popular models would take all memory as it is freed.
        duration reserve_slack = std::chrono::milliseconds(900);
        /// Such an urgent model may replace a model on which up to this many
        /// requests run: the engine finishes them first.
        std::uint32_t max_running_to_unload = 2;
        /// A load from the store occupies its engine for 6 s or more, so only
        /// one in this many engines does one at a time.
        std::size_t engines_per_store_load = 6;
        /// Number of engines whose disks should have a requested model. When
        /// one engine is lost, another can load the model from disk in a
        /// second, instead of from the store in 6 s or more.
        std::size_t desired_copies = 2;
        /// A model is loaded from the store only when at least this many
        /// requests wait for it or would have to wait otherwise; for fewer it
        /// isn't worth the engine's time.
        double min_expected_waits = 0.2;
        /// Interval at which the copies on all engines are counted.
        duration copy_count_interval = std::chrono::milliseconds(100);
        /// Whether the number of copies and the choice of their engines follow
        /// demand and free slots.
        bool copies_by_room = false;
        /// With `copies_by_room`: share of the slots of its engines that a
        /// model's requests may use. Above it, random peaks have to wait.
        double slot_share = 0.6;
        /// With `copies_by_room`: copies added at least, as far as engines have
        /// the weights, when no copy has a free slot: the requests that wait at
        /// the routers aren't known then.
        std::size_t min_added_copies = 8;
        engine_loss_estimator::options engine_loss;
        store_load_limiter::options store_limiter;
    };

    explicit swap_planner(options settings);

    /// Records that an engine's load from the store has ended. To be called
    /// while the engine's state still contains the order.
    void store_load_ended(
        const engine_tracker& engines, const engine_state& engine, instant now);

    /// @return Orders to send now. The caller records them as sent.
    std::vector<swap_order> plan(
        const engine_tracker& engines,
        const demand_tracker& needs,
        instant now);

    /// @return Requested models that no engine has, with the times at which
    ///         they are expected to be loaded if the loads from the store go as
    ///         planned. Updated when the copies are counted.
    std::span<const load_forecast> load_forecasts() const
    {
        return this->forecasts;
    }

private:
    using placement_request = detail::placement_request;
    using candidate = detail::candidate;
    using model_usage = detail::model_usage;
    using engine_usage = detail::engine_usage;
    using model_totals = detail::model_totals;
    using load_targets = detail::load_targets;
    using planning_round = detail::planning_round;

    void collect_usage(planning_round& round) const;
    engine_usage collect_usage(
        const planning_round& round, const engine_state& engine) const;
    std::vector<placement_request>
    collect_requests(const planning_round& round) const;
    void add_extra_copies(
        const planning_round& round,
        std::vector<placement_request>& requests) const;
    std::uint32_t max_running_per_copy(
        const planning_round& round, std::string_view service) const;
    std::size_t copies_needed(
        const planning_round& round,
        std::string_view service,
        const model_totals& totals) const;
    /// @return Whether an engine that may serve the request holds its model.
    bool is_loaded(
        const planning_round& round, const placement_request& request) const;
    /// @return Whether an engine that may serve the request holds its model or
    ///         loads it.
    bool is_available(
        const planning_round& round, const placement_request& request) const;
    void place_model(planning_round& round, const placement_request& request);
    /// @return Whether more requests wait for the model than the rate limits of
    ///         the engines that have it allow in a second.
    bool exceeds_rate_limits(
        const planning_round& round, const placement_request& request) const;
    /// Orders a load on the best engine, or an unload that makes room for it.
    /// @return Whether there is such an engine.
    bool load_on_best_engine(
        planning_round& round,
        const placement_request& request,
        load_targets targets);
    void place_adapter(
        planning_round& round, const placement_request& request) const;
    std::optional<candidate> find_best_engine(
        const planning_round& round,
        const placement_request& request,
        load_targets targets) const;
    std::optional<candidate> evaluate(
        const planning_round& round,
        const engine_state& engine,
        const model_profile& model,
        load_targets targets,
        bool urgent) const;
    /// @return Number of models on an engine's disk below which the disk counts
    ///         as almost empty: the engine can do little but load from the
    ///         store.
    double nearly_empty_limit(
        const planning_round& round, std::string_view service) const;
    /// Selects models to unload until the needed memory is free.
    /// @return Whether enough memory can be freed.
    bool find_victims(
        const planning_round& round,
        const engine_state& engine,
        double needed_mb,
        bool urgent,
        std::vector<std::string>& victims) const;
    bool may_unload(
        const planning_round& round,
        const engine_state& engine,
        const loaded_model& loaded,
        const model_usage& usage,
        bool urgent) const;
    bool is_urgent(
        const planning_round& round, const placement_request& request) const;
    /** Orders loads from the store, starting with the model that spares most
        requests a wait.

        Engines that a release has replaced start with empty disks, and a load
        from the store takes 6 s. Many requests may need models whose weights
        are on no engine, or only on engines that will be replaced soon.
    */
    void load_from_store(planning_round& round);
    std::vector<placement_request> collect_store_requests(
        const planning_round& round, const std::string& service) const;
    /// @return Number of engines that have a model's weights or load them from
    ///         the store, by model name.
    std::unordered_map<std::string_view, std::size_t>
    count_copies(const planning_round& round, std::string_view service) const;
    void update_engine_loss(const planning_round& round);
    void forecast_loads(
        const planning_round& round,
        const std::string& service,
        std::span<const placement_request> requests);
    /// @return When each of the concurrent loads from the store ends, earliest
    ///         first. An unused one ends now.
    std::vector<instant>
    store_slots(const planning_round& round, const std::string& service) const;
    /// @return Number of loads from the store that may run concurrently.
    std::size_t max_store_loads(std::size_t engines) const;
    void reserve_engine(
        planning_round& round, const placement_request& request) const;
    /// Changes the order into an unload of the least recently used idle
    /// adapter.
    /// @return Whether there is an idle adapter.
    bool unload_adapter(
        const planning_round& round,
        const engine_state& engine,
        swap_order& order) const;
    /// @return Engines that may load from the store now; empty: none.
    std::optional<load_targets> store_load_targets(
        const planning_round& round, const placement_request& request);
    bool has_any_copy(
        const planning_round& round, const placement_request& request) const;
    const model_totals&
    totals_of(const planning_round& round, std::string_view key) const;

    // With `copies_by_room`:

    /// Counts the waiting requests and the slots in use.
    void collect_room(planning_round& round);
    void collect_room(planning_round& round, const engine_state& engine) const;
    /// @param interval Interval of the routers' reports, in seconds.
    /// @return Estimated running requests for each one that is reported.
    double lag_factor(
        const planning_round& round,
        const std::string& key,
        const model_totals& totals,
        double interval) const;
    /// @return Whether an engine has hardly a free slot.
    bool is_full(const planning_round& round, const engine_state& engine) const;
    std::uint32_t
    slots_of(const planning_round& round, std::string_view service) const;
    /// @return Slots that an engine has free, in slots of the usual pace.
    std::uint32_t
    free_slots(const planning_round& round, const engine_state& engine) const;
    std::size_t copies_for_demand(
        const planning_round& round,
        std::string_view service,
        const model_totals& totals) const;
    void add_copies_for_demand(
        const planning_round& round,
        std::vector<placement_request>& requests) const;
    /// Adds requests for adapters that are only on full engines.
    void add_extra_adapters(
        const planning_round& round,
        std::vector<placement_request>& requests) const;
    /// @return Whether the engine holds, or has the weights of, another model
    ///         that is overloaded.
    bool is_wanted_by_overloaded(
        const planning_round& round,
        const engine_state& engine,
        std::string_view other_than) const;
    bool is_preferred(
        const planning_round& round,
        const candidate& left,
        const candidate& right) const;
    /// @return Whether an overloaded model is loaded from the store or has to
    ///         be.
    bool is_store_reserved(
        const planning_round& round, const std::string& service) const;
    std::size_t engines_with_weights(
        const planning_round& round, const placement_request& request) const;
    /// @return Whether an order for the adapter was made in this round.
    bool is_adapter_ordered(
        const planning_round& round, const placement_request& request) const;

    options settings;
    store_load_limiter store_limiter;
    engine_loss_estimator engine_loss;
    std::vector<load_forecast> forecasts;
    instant copies_counted_at;
    /// Models whose engines were full recently, by key.
    std::unordered_map<std::string, instant> overloaded_until;
};

} // namespace roseworks
