#pragma once

#include "core/serving/deployment.hpp"
#include "core/serving/engine_residency.hpp"
#include "core/serving/holdings_report.hpp"
#include "core/serving/server_entry.hpp"
#include "ports/engine_command_port.hpp"

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/// Where the weights of a load come from.
enum class weight_source : std::uint8_t
{
    memory, ///< the engine's host memory
    disk,   ///< the engine's disk
    store   ///< the shared weight store
};

/// @return The source's name in logs and metrics.
constexpr std::string_view to_string(weight_source source)
{
    switch (source)
    {
    case weight_source::memory:
        return "memory";
    case weight_source::disk:
        return "disk";
    case weight_source::store:
        return "store";
    }
    return "unknown";
}

/// An adapter in an engine's accelerator memory.
struct loaded_adapter
{
    std::string name;
    instant loaded_at;
};

/// A model in an engine's accelerator memory.
struct loaded_model
{
    std::string name;
    double weights_mb = 0;
    double adapter_mb = 0; ///< size of each adapter
    instant loaded_at;     ///< when it was first known to be loaded
    std::vector<loaded_adapter> adapters;

    double size_mb() const
    {
        return this->weights_mb +
               this->adapter_mb * static_cast<double>(this->adapters.size());
    }
};

/// An order that was sent and isn't known to be done.
struct pending_order
{
    std::uint64_t number = 0; ///< unique within the owner's run
    engine_action action = engine_action::load;
    std::string model;
    std::string adapter; ///< empty: the base model
    weight_source source = weight_source::disk;
    instant sent;
    /// Expected completion. Empty until the order is answered, and again when
    /// only the engine's report can show whether a load from the store ended.
    std::optional<instant> expected_completion;
    /// Model that an unload removes.
    std::optional<loaded_model> unloaded_model;
    bool running = false; ///< requests ran on the model that is unloaded
    /// Peak number of concurrent loads from the store since it was sent.
    std::size_t peak_store_loads = 1;

    bool is_store_load() const
    {
        return this->action == engine_action::load && this->adapter.empty() &&
               this->source == weight_source::store;
    }
};

/// State of one run of an engine, as the placement owner derives it from the
/// engine's last report and the orders that it has accepted since.
struct engine_state
{
    server_entry entry;
    software_version software;
    bool state_confirmed = false; ///< the state is confirmed by a report
    bool reachable = true;        ///< result of the last attempt
    double rate_limit = 0; ///< requests per second; 0: the engine named none
    std::uint32_t pace_percent = 100; ///< time of its work; 100: as usual
    std::uint64_t orders_taken = 0;   ///< accepted since the engine's start
    std::vector<loaded_model> loaded_models;
    std::deque<std::string> in_memory; ///< in host memory, last used last
    std::vector<std::string> on_disk;  ///< copies on the engine's disk
    std::optional<pending_order> order;
    instant not_before = instant::min(); ///< no order is sent before this time
    /// Latest time at which an order of this router may have arrived there.
    instant last_order = instant::min();
    std::uint32_t out_of_step_orders = 0; ///< consecutive orders out of step
    bool owner_changed = false; ///< another owner may have sent it orders
    std::uint64_t revision = 1; ///< of the announced content

    /// @return Whether an order may be sent.
    bool accepts_orders(instant now) const
    {
        return this->state_confirmed && !this->entry.leaving && !this->order &&
               now >= this->not_before;
    }

    const loaded_model* find(std::string_view model) const;
    loaded_model* find(std::string_view model);

    /// @return Whether a model or adapter, named by its key, is loaded.
    bool holds(std::string_view servable) const;

    /// @return Accelerator memory that the models and adapters occupy.
    double used_mb() const;

    std::size_t adapter_count() const;

    /// @return Fastest source of a model's weights.
    weight_source weight_source_of(std::string_view model) const;

    engine_residency residency(std::uint64_t tenure) const;
};

/// An order that is assumed to be done.
struct finished_order
{
    std::string engine;   ///< id of the engine's entry
    std::string servable; ///< key of the model or adapter
};

/** Tracks the state of the engines to which the placement owner sends orders.

    The class does no I/O: the caller records each order when it is sent and
    when it is answered. An accepted order is assumed to be done after its usual
    time, because the engine's report would show it only after the report's
    lag. After an unexpected answer, or none, the engine's state is unconfirmed
    until a report has been read.
*/
class engine_tracker
{
public:
    using engines = std::map<std::string, engine_state, std::less<>>;

    struct options
    {
        /// Added to a load's configured time: for the way of the answer, and
        /// for the engine to accept requests after the load.
        duration load_margin = std::chrono::milliseconds(20);
        /// Time to unload an idle model.
        duration unload_time = std::chrono::milliseconds(50);
        /// Time to unload a model on which a few requests still run.
        duration busy_unload_time = std::chrono::milliseconds(250);
        /// Time to load an adapter from the store, which exceeds the
        /// configured times.
        duration adapter_time = std::chrono::milliseconds(25);
        /// Pause before another order after one that failed or whose outcome is
        /// unknown; for example one that came before the engine had finished
        /// its previous order.
        duration retry_pause = std::chrono::milliseconds(50);
        /// Consecutive orders out of step after which the engine's report is
        /// read.
        std::uint32_t max_out_of_step_orders = 3;
    };

    explicit engine_tracker(options settings);

    /// Sets the configuration, which contains the models' sizes and load times.
    void set_configuration(std::shared_ptr<const deployment> next);

    /// Adds an engine of the registry, or updates its entry. A changed start
    /// time or address means that it is a new run, whose state is unconfirmed.
    /// @return Whether the engine's report has to be read.
    bool update_entry(const server_entry& entry);

    /// Removes an engine that is no longer in the registry.
    void remove(std::string_view id);

    /** Marks all known state as unconfirmed when this router becomes owner.

        Two owners must not send orders to one engine alternately within the
        lease. The engine's count of accepted orders shows whether another owner
        has sent it orders in between. One case doesn't show: the engine doesn't
        count a repetition of the order that it is carrying out, although it
        answers it in the same way.

        @param another_owned Another owner was observed since this router's last
                             tenure: every engine to which this router has sent
                             an order gets none until the lease has passed.
    */
    void take_over(duration lease, bool another_owned);

    /// Replaces the engine's state with its report. The report of a busy engine
    /// is ignored.
    void apply_engine_report(
        std::string_view id, const holdings_report& report, instant);

    /// Records that an order was sent.
    void order_sent(std::string_view id, pending_order order, instant now);

    /// Records the outcome of the pending order.
    /// @return Whether the engine's report has to be read.
    bool
    order_answered(std::string_view id, command_outcome outcome, instant now);

    /// Completes the orders whose expected time has come, except loads from the
    /// store.
    /// @return The completed orders.
    std::vector<finished_order> complete_due_orders(instant now);

    /** Returns engines whose load from the store may have ended.

        Each load is returned once. Its duration depends on how many loads run
        concurrently on all engines, so that only the engine's report shows
        whether it has ended.
    */
    std::vector<std::string> take_unconfirmed_store_loads(instant now);

    /// @return Earliest expected completion of an order.
    std::optional<instant> next_completion() const;

    /** Marks an engine as unreachable until its report has been read.

        Meanwhile its models count as unavailable and are loaded on other
        engines. An engine that disappears without notice remains in the
        registry for some seconds.
    */
    void mark_unreachable(std::string_view id);

    /// Sets the rate limits that engines currently name, in requests per
    /// second by engine id. Engines that aren't listed have no limit.
    void set_rate_limits(const std::map<std::string, double, std::less<>>& all);

    /// Handles that a different run answers at the engine's address. The engine
    /// is marked as unreachable. Its order count is reset, because the answer
    /// may come from a restart of the engine itself.
    void mark_replaced(std::string_view id);

    /// Marks an engine's state as unconfirmed.
    void mark_unconfirmed(std::string_view id);

    const engines& all() const
    {
        return this->engines_by_id;
    }

    const engine_state* find(std::string_view id) const;

    /// @return Null when the configuration doesn't contain the model.
    const model_profile*
    find_model(std::string_view service, std::string_view model) const;

    const engine_profile* find_profile(std::string_view service) const;

    /// @return Expected duration of a load.
    duration load_time(const model_profile& model, weight_source from) const;

private:
    engine_state* find_mutable(std::string_view id);
    void apply_order(engine_state& engine, const pending_order& order, instant);
    void
    apply_adapter_order(engine_state& engine, const pending_order&, instant);
    void
    apply_load(engine_state& engine, const pending_order& order, instant now);
    duration order_time(const engine_state& engine, const pending_order&) const;
    void revert_order(engine_state& engine);
    void update_peak_store_loads();
    void cache_in_host_memory(engine_state& engine, const std::string& model);

    options settings;
    std::shared_ptr<const deployment> config;
    engines engines_by_id;
    duration lease{};
};

} // namespace roseworks
