#pragma once

#include "core/placement/activity.hpp"
#include "core/placement/demand_table.hpp"
#include "core/placement/engine_reports.hpp"
#include "core/placement/load_failures.hpp"
#include "core/placement/placement_policy.hpp"
#include "core/placement/preloader.hpp"
#include "core/recovery/control_context.hpp"
#include "core/recovery/vm_watch.hpp"

#include <roseworks/controller.hpp>
#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace roseworks::detail
{

/** Turns demand into decided replicas.

    Rendezvous hashing names one proposer for each servable; the others forward
    their demand to it, and step in one after the other when it is silent. Two
    proposers at once cost a rejected record, nothing else: the fold keeps
    replicas and memory within what is declared.
*/
class proposer
{
public:
    proposer(
        const controller::options& settings,
        const placement_policy& policy,
        preloader& preloads,
        const activity& uses,
        const vm_watch& vms,
        const engine_reports& reports,
        const load_failures& load_streaks);

    /// Records that requests wait for a servable, at this router or another.
    void demanded(const servable_demand& reported, instant now);

    /// Applies the state changes of a record.
    void folded(const control_context& context, const fold_event& event);

    /// Forwards demand, proposes replicas and makes room for them; then
    /// preloads what is expected and not demanded yet.
    void step(const control_context& context);

    /// @return Whether requests are known to wait for the servable.
    bool is_demanded(servable_id id) const;

    /// @return The priority of the most urgent request that is known to wait
    ///         for the servable; empty if none is.
    std::optional<priority> demand_priority(servable_id id) const;

    /// @return Servables that requests of this router wait for.
    std::vector<servable_demand> own_demands() const;

    /// @return Whether a new replica may be decided on the engine.
    bool usable(const engine_view& engine) const;

    /// @return Engines whose reports are needed at once, to make room there.
    std::set<engine_id> requested_reports(instant now) const;

    instant next_tick() const;

private:
    struct pending_decide
    {
        engine_id engine;
        std::uint32_t memory_mib = 0;
    };

    /// Progress of one servable towards the replicas that it should have.
    struct placement_progress
    {
        /// Since when it has had too few replicas.
        std::optional<instant> short_since;
        instant last_change{}; ///< of a replica's state
        instant demand_forwarded_at{};
        instant next_attempt{};
        duration retry_interval{};
        /// Submitted records that aren't folded yet, by sequence number.
        std::map<std::uint64_t, pending_decide> pending;
        /// When a load failed last, by engine.
        std::map<engine_id, instant> failed_loads;
    };

    /// Numbers of a servable's replicas.
    struct replica_counts
    {
        std::size_t existing = 0; ///< not proven gone
        std::size_t useful = 0;   ///< ready or going to be, on a usable engine
        std::size_t ready = 0;

        /// @return Whether no further replica is about to become ready.
        bool all_ready() const
        {
            return this->ready != 0 && this->ready == this->useful;
        }
    };

    void apply_change(const control_context& context, const state_change& one);
    /// Applies the result of a decision of this proposer.
    void apply_decision(
        const control_context& context,
        const replica_decide& decision,
        const fold_event& event);
    /// Retries at once when a granted model was returned unused: its memory is
    /// free again.
    void retry_after_unused_grant(
        const control_context& context, const fold_event& event);
    void expire(instant now);
    void update_minimums(const fleet_state& state);
    /// @return The servables that are demanded or have a minimum of replicas,
    ///         the most urgent first.
    std::vector<servable_view> list_servables(const fleet_state& state);
    void step_servable(
        const control_context& context, const servable_view& servable);
    replica_counts count_replicas(
        const control_context& context, const servable_view& servable) const;
    static std::size_t target_replicas(
        const servable_view& servable,
        const demand_table::total& demand,
        const replica_counts& counts);
    /// @return When this router may propose further replicas.
    instant proposal_due(
        const servable_view& servable,
        const placement_progress& progress,
        const replica_counts& counts,
        std::size_t rank) const;
    void forward_own_demand(
        const control_context& context,
        servable_id id,
        placement_progress& progress);
    void propose(
        const control_context& context,
        const servable_view& servable,
        placement_progress& progress,
        priority urgency);
    void decide(
        const control_context& context,
        const servable_view& servable,
        const engine_view& engine,
        replica_id base,
        priority urgency);
    /// Demands the base model of an adapter.
    void demand_base(
        const control_context& context,
        const servable_view& adapter,
        priority urgency);

    struct place
    {
        engine_id engine;
        replica_id base;
    };

    std::optional<place> choose_engine(
        const control_context& context,
        const servable_view& servable,
        const placement_progress& progress,
        bool needs_room) const;
    std::optional<replica_id> ready_base(
        const control_context& context,
        const servable_view& servable,
        const engine_view& engine) const;
    bool may_preload_from_store(const control_context& context) const;
    static bool has_ready(const control_context& context, servable_id id);
    void step_preloads(const control_context& context);
    void preload(
        const control_context& context,
        const servable_view& servable,
        const expected_use& use);

    std::uint32_t pending_mib(engine_id engine) const;
    int cache_tier(engine_id engine, std::string_view servable) const;
    bool unreachable(engine_id engine) const;

    bool
    make_room(const control_context& context, const servable_view& servable);
    bool has_fresh_report(engine_id engine, instant now) const;
    bool request_report(engine_id engine, instant now);
    struct eviction_plan;
    eviction_plan plan_eviction(
        const control_context& context,
        const servable_view& servable,
        const engine_view& engine) const;
    bool evictable(
        const control_context& context, const replica_view& replica) const;

    controller::options settings;
    const placement_policy& policy;
    preloader& preloads;
    const activity& uses;
    const vm_watch& vms;
    const engine_reports& reports;
    const load_failures& load_streaks;
    demand_table demands;
    std::map<servable_id, placement_progress> progress_by_servable;
    bool catalogue_changed = true;
    instant next_preloads{};
    std::set<servable_id> with_minimum; ///< declared with minimum replicas
    /// Sequence numbers of the submitted evictions, by replica.
    std::map<replica_id, std::uint64_t> evictions;
    /// Engines whose reports an eviction waits for, and since when.
    std::map<engine_id, instant> report_requests;
};

} // namespace roseworks::detail
