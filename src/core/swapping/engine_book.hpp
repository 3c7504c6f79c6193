#pragma once

#include "core/serving/deployment.hpp"
#include "core/serving/engine_residency.hpp"
#include "core/serving/holdings_report.hpp"
#include "core/serving/server_entry.hpp"
#include "ports/engine_command_port.hpp"

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

/// @return The word for logs and metrics.
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

/// An adapter beside its model.
struct held_adapter
{
    std::string name;
    instant loaded;
};

/// A model in an engine's accelerator memory.
struct held_model
{
    std::string name;
    double weights_mb = 0;
    double adapter_mb = 0; ///< of each adapter
    instant loaded;        ///< known to be there since
    std::vector<held_adapter> adapters;

    double size_mb() const
    {
        return this->weights_mb +
               this->adapter_mb * static_cast<double>(this->adapters.size());
    }
};

/// An order that was sent, or is being carried out.
struct pending_order
{
    std::uint64_t number = 0; ///< tells it from all others of its owner's run
    engine_action action = engine_action::load;
    std::string model;
    std::string adapter; ///< empty: the base model
    weight_source source = weight_source::disk;
    instant sent;
    std::optional<instant> done_at;  ///< expected; empty: not answered yet
    std::optional<held_model> taken; ///< what an unload takes away
    bool running = false;            ///< requests ran on what is unloaded
    /// The most loads from the store that ran at once since it was sent.
    std::size_t at_once = 1;

    bool is_store_load() const
    {
        return this->action == engine_action::load && this->adapter.empty() &&
               this->source == weight_source::store;
    }
};

/** One run of an engine as the owner of its orders knows it: by its last
    report and the orders that it accepted since. */
struct engine_state
{
    server_entry entry;
    bool examined = false; ///< a report was read since it was taken up
    bool reachable = true; ///< by the last attempt
    double rate_limit = 0; ///< requests a second that it takes; 0: none named
    std::uint64_t orders_taken = 0; ///< by the engine, since its start
    std::vector<held_model> held;
    std::deque<std::string> in_memory; ///< copies, last used last
    std::vector<std::string> on_disk;  ///< copies
    std::optional<pending_order> order;
    instant not_before = instant::min(); ///< no order is sent earlier
    instant last_order = instant::min(); ///< this router's, sent
    std::uint32_t strikes = 0;           ///< orders out of step in a row
    bool retaken = false;       ///< another owner may have ordered it meanwhile
    std::uint64_t revision = 1; ///< of what is told to the routers

    /// @return Whether an order may be sent.
    bool free(instant now) const
    {
        return this->examined && !this->entry.leaving && !this->order &&
               now >= this->not_before;
    }

    const held_model* find(std::string_view model) const;
    held_model* find(std::string_view model);

    /// @return Whether it has a model or adapter, by its key.
    bool holds(std::string_view servable) const;

    /// @return Memory that models and adapters take.
    double used_mb() const;

    std::size_t adapter_count() const;

    /// @return The nearest place of a model's weights.
    weight_source source_of(std::string_view model) const;

    engine_residency residency(std::uint64_t tenure) const;
};

/// An order that counts as done.
struct finished_order
{
    std::string engine;   ///< id of its entry
    std::string servable; ///< key of the model or adapter
};

/** The engines that the placement owner orders.

    Pure bookkeeping: orders are entered when they are sent and when they are
    answered; one that was accepted counts as done when its usual time has
    passed, which is earlier than the engine's report shows it by the report's
    lag. An answer that doesn't fit, or none, makes the engine unexamined until
    a report is read.
*/
class engine_book
{
public:
    using engines = std::map<std::string, engine_state, std::less<>>;

    struct options
    {
        /// Added to a load's stated time: the answer's way and the engine's
        /// own step until it takes requests.
        duration load_margin = std::chrono::milliseconds(20);
        /// An idle model's unloading.
        duration unload_time = std::chrono::milliseconds(50);
        /// The same while some requests still run on it.
        duration busy_unload_time = std::chrono::milliseconds(250);
        /// An adapter's loading from the store; the stated times are less.
        duration adapter_time = std::chrono::milliseconds(25);
        /// Until an order that came too early for the one before is tried anew.
        duration step_wait = std::chrono::milliseconds(50);
        /// Orders out of step in a row after which the engine is examined.
        std::uint32_t most_strikes = 3;
    };

    explicit engine_book(options settings);

    /// A new configuration, which has the models' sizes and times.
    void configured(std::shared_ptr<const deployment> next);

    /// An engine is in the registry. A new run of it has to be examined.
    /// @return Whether it has to be examined.
    bool listed(const server_entry& entry);

    /// An engine is gone from the registry.
    void removed(std::string_view id);

    /** This router owns placement anew: nothing known may be trusted.

        Two owners may not order an engine in turn within the lease. Whether
        another one ordered it in between shows when it is examined: by the
        count of orders that it has taken. Not if it was the very order that the
        engine was carrying out: that is answered alike and not counted.

        @param another_owned Another owner was heard of since the last tenure:
                             each engine ordered before has to be waited for.
    */
    void take_over(duration lease, bool another_owned);

    /// A report was read.
    void reported(std::string_view id, const holdings_report& report, instant);

    void sent(std::string_view id, pending_order order, instant now);

    /// An order was answered, or wasn't.
    /// @return Whether the engine has to be examined.
    bool answered(std::string_view id, command_end how, instant now);

    /// @return Orders that count as done since the last call.
    std::vector<finished_order> advance(instant now);

    /** Engines whose load from the store could have ended since the last call.

        How long one takes depends on how many run at once, over all engines:
        whether it has ended is read from the engine's report.
    */
    std::vector<std::string> take_uncertain(instant now);

    /// @return When `advance` has something next.
    std::optional<instant> next_event() const;

    /** The engine couldn't be reached.

        Until a report of it was read, what it holds serves nobody, and what
        waits for it is loaded elsewhere: an engine that is gone without a word
        stays in the registry for some seconds.
    */
    void unreached(std::string_view id);

    /// Rate limits that engines name now, in requests a second, by their ids.
    void limits_named(const std::map<std::string, double, std::less<>>& all);

    /// Another run answers at its address: the same, and its orders' count
    /// begins anew should it be the engine's own after all.
    void run_over(std::string_view id);

    /// Something contradicts what is known of the engine.
    void distrust(std::string_view id);

    const engines& all() const
    {
        return this->known;
    }

    const engine_state* find(std::string_view id) const;

    /// @return Null when the configuration has no such model.
    const model_profile*
    find_model(std::string_view service, std::string_view model) const;

    const engine_profile* find_profile(std::string_view service) const;

    /// @return Usual time of a load.
    duration load_time(const model_profile& model, weight_source from) const;

private:
    engine_state* find_mutable(std::string_view id);
    void carry_out(engine_state& engine, const pending_order& order, instant);
    void carry_out_adapter(engine_state& engine, const pending_order&, instant);
    void loaded(engine_state& engine, const pending_order& order, instant now);
    duration order_time(const engine_state& engine, const pending_order&) const;
    void undo(engine_state& engine);
    void count_store_loads();
    void touch_memory(engine_state& engine, const std::string& model);

    options settings;
    std::shared_ptr<const deployment> config;
    engines known;
    duration lease{};
};

} // namespace roseworks
