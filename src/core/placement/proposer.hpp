#pragma once

#include "core/placement/activity.hpp"
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

    /// A servable is wanted, here or (as heard) at another router.
    void demanded(const servable_demand& what, instant now);

    /// A record was folded.
    void folded(const control_context& context, const fold_event& event);

    /// Forward demand, propose replicas and make room for them; then load
    /// ahead what is expected, where nobody waits for it.
    void step(const control_context& context);

    /// @return Whether the servable is wanted now, as far as is known here.
    bool wanted(servable_id id) const;

    /// @return The best class that waits for the servable, here or (as heard)
    ///         elsewhere; empty when nobody does.
    std::optional<priority> wanted_as(servable_id id) const;

    /// @return Servables that requests of this router wait for.
    std::vector<servable_demand> own_demands() const;

    /// @return Whether a new replica may be decided on the engine.
    bool usable(const engine_view& engine) const;

    /// @return Engines that are to be read at once: room on them is wanted.
    std::set<engine_id> wanted_reads(instant now) const;

    instant next_tick() const;

private:
    struct demand
    {
        std::uint32_t waiting = 0;
        priority urgency = priority::normal;
        instant heard{};
    };

    struct pending_decide
    {
        engine_id engine;
        std::uint32_t memory_mib = 0;
    };

    struct servable_track
    {
        std::map<session_id, demand> demands; ///< by who wants it
        std::optional<instant> wanted_since;
        instant moved{}; ///< a replica of it was decided or moved on
        instant forwarded{};
        instant not_before{};
        duration retry{};
        std::map<std::uint64_t, pending_decide> pending;
        /// Engines on which a load failed lately.
        std::map<engine_id, instant> failures;
    };

    /// Replicas of a servable as they count for the wish.
    struct census
    {
        std::size_t held = 0;   ///< not proven gone
        std::size_t useful = 0; ///< ready or on their way, on a usable engine
        std::size_t ready = 0;
    };

    struct wish
    {
        std::uint32_t waiting = 0;
        priority urgency = priority::batch;
    };

    void note_freed(const control_context& context, const fold_event& event);
    void expire(instant now);
    void list_declared(const fleet_state& state);
    std::vector<servable_view> list_wishes(const fleet_state& state);
    void step_servable(
        const control_context& context, const servable_view& servable);
    census
    count(const control_context& context, const servable_view& servable) const;
    static wish sum(const servable_track& track);
    static std::size_t wanted_replicas(
        const servable_view& servable, const wish& what, const census& have);
    void forward(
        const control_context& context, servable_id id, servable_track& track);
    void propose(
        const control_context& context,
        const servable_view& servable,
        servable_track& track,
        priority urgency);
    void decide(
        const control_context& context,
        const servable_view& servable,
        const engine_view& engine,
        replica_id base,
        priority urgency);
    void want_base(
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
        const servable_track& track,
        bool needs_room) const;
    std::optional<replica_id> ready_base(
        const control_context& context,
        const servable_view& servable,
        const engine_view& engine) const;
    bool store_at_leisure(const control_context& context) const;
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
    bool ask_report(engine_id engine, instant now);
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
    std::map<servable_id, servable_track> tracks;
    bool catalogue_changed = true;
    instant next_preloads{};
    std::set<servable_id> kept_ready; ///< declared with a minimum
    /// Evictions under way, by the replica that shall go.
    std::map<replica_id, std::uint64_t> evictions;
    /// Engines whose reports an eviction waits for, and since when.
    std::map<engine_id, instant> asked_reports;
};

} // namespace roseworks::detail
