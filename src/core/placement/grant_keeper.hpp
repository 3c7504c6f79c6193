#pragma once

#include "core/placement/activity.hpp"
#include "core/placement/engine_reports.hpp"
#include "core/placement/proposer.hpp"
#include "core/recovery/control_context.hpp"
#include "core/recovery/lease_keeper.hpp"

#include <roseworks/controller.hpp>
#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace roseworks::detail
{

/** Opens and uses standing grants on the engines whose lease this router holds.

    While the log answers it opens a grant on the engine with the most free
    memory until the deployment has as many as the options ask, names cold
    models in it, those wanted last first, and frees a named model at once when
    somebody wants it, so that it may be decided on any engine. A grant is never
    opened where a declared model would then fit on no engine, and closed when
    such a model is published.

    While the log is away it orders loads of named models that are wanted:
   within the grant's term less the margin, at most as many at once as the grant
   keeps weight-store slots, spaced by these slots' share of the store's rate,
   and never more than the grant's memory holds. What was ordered, also when the
    answer was lost, becomes a replica under the granted id when the log is
   back; what was refused, or not sent, wasn't used.

    What is granted is decided by the fold. What was used is known to this
    process alone until it is settled; a successor reads the engine instead.
*/
class grant_keeper
{
public:
    grant_keeper(
        const controller::options& settings,
        const lease_keeper& leases,
        const engine_reports& reports,
        const activity& uses,
        const proposer& proposals);

    /// A record was folded.
    void folded(const control_context& context, const fold_event& event);

    /// An order was answered or wasn't; those of others are left alone.
    void answered(std::uint64_t order, order_outcome outcome, instant now);

    /// An engine's report came and is in the reports.
    void reported(engine_id engine);

    /// From now on only settle what was used.
    void wind_down();

    /// Order and record what is due.
    void step(const control_context& context);

    /// @return Whether the engine's lease has to be kept: an order may be in
    ///         flight, or a load isn't settled.
    bool busy(engine_id engine) const;
    bool any_busy() const;

    /// @return Engines on which a granted model is loading.
    const std::set<engine_id>& urgent() const;

private:
    /// A load under the grant.
    struct load_track
    {
        std::optional<std::uint64_t> order; ///< in flight
        bool used = false;    ///< taken by its engine, or its answer was lost
        bool unsure = false;  ///< its answer was lost and nothing shows it yet
        bool loading = false; ///< as far as is known
        instant answered{};
        instant not_before{}; ///< of the next order
        std::uint32_t memory_mib = 0;
    };

    struct engine_track
    {
        fence held;
        std::map<replica_id, load_track> loads;
        std::set<std::uint64_t> records;    ///< under way
        std::set<replica_id> leaving_grant; ///< being settled by one of them
        instant records_not_before{};
        instant names_not_before{};
        instant open_not_before{};
        instant look_again{};   ///< for what the grant keeps out
        bool keeps_out = false; ///< a declared model fits nowhere beside it
        instant next_load{};    ///< by the share of the store's rate
    };

    /// A named model that is wanted and may be loaded now.
    struct wanted_model
    {
        priority urgency = priority::normal;
        granted_model_view model;
    };

    void step_engine(const control_context& context, const engine_view& engine);
    static void keep_what_may_arrive(engine_track& track);
    void forget_settled(const control_context& context, engine_id engine);
    void record(
        const control_context& context,
        engine_track& track,
        record_payload payload) const;
    void settle(
        const control_context& context,
        const engine_view& engine,
        engine_track& track);
    bool to_be_freed(
        const control_context& context,
        const engine_view& engine,
        const granted_model_view& model) const;
    void open(
        const control_context& context,
        const engine_view& engine,
        engine_track& track) const;
    void resize(
        const control_context& context,
        const engine_view& engine,
        const standing_grant_view& grant,
        engine_track& track,
        grant_open wanted) const;
    void look_for_room(
        const control_context& context,
        const engine_view& engine,
        engine_track& track) const;
    bool would_keep_out(
        const control_context& context, const engine_view& engine) const;
    bool is_next_to_open(
        const control_context& context, const engine_view& engine) const;
    bool has_room(const engine_view& engine) const;
    void name_models(
        const control_context& context,
        const engine_view& engine,
        engine_track& track) const;
    std::vector<servable_view> candidates(
        const control_context& context,
        const engine_view& engine,
        const standing_grant_view& grant) const;
    void load(
        const control_context& context,
        const engine_view& engine,
        engine_track& track);
    std::vector<wanted_model> loadable(
        const control_context& context,
        const engine_view& engine,
        const engine_track& track) const;
    void send(
        const control_context& context,
        const engine_view& engine,
        engine_track& track,
        const granted_model_view& model);
    duration load_interval(
        const fleet_state& state, const standing_grant_view& grant) const;

    controller::options settings;
    const lease_keeper& leases;
    const engine_reports& reports;
    const activity& uses;
    const proposer& proposals;
    bool winding_down = false;
    std::uint64_t last_order;
    std::map<engine_id, engine_track> engines;
    std::set<engine_id> urgent_engines;
};

} // namespace roseworks::detail
