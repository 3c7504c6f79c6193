#pragma once

#include "core/placement/engine_reports.hpp"
#include "core/placement/load_failures.hpp"
#include "core/recovery/control_context.hpp"
#include "core/recovery/lease_keeper.hpp"
#include "core/recovery/vm_watch.hpp"

#include <roseworks/controller.hpp>
#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace roseworks::detail
{

/** Orders the engines whose lease this router holds, and records what became
    of each order.

    A load is ordered only for a replica that the fold has moved to `loading`,
    under an id that depends on the replica alone: whoever orders it, and
   however often, it is one load. A lost answer is cleared up by reading the
   engine and ordering again under the same id. Absence is believed after two
   reads that agree, asked late enough after the last event to be past the
   reports' lag.

    A load whose answer was lost may still arrive. While the lease is held it
    counts as in flight until it is seen, or its replica is gone and the settle
    time is over; after the lease was lost to another router, until this one has
    itself seen the replica on the engine, in a read asked after the loss. All
    copies of the order have one id, so that the others then do nothing.

    A load that its engine has taken but that doesn't end has failed after
    `controller::options::load_limit` or ten times the servable's estimate,
    whichever is longer, doubled for each failure of the servable in a row. Each
    lease holder counts from when it first knew that the engine had taken it.
*/
class order_keeper
{
public:
    order_keeper(
        const controller::options& settings,
        const lease_keeper& leases,
        const vm_watch& vms,
        const engine_reports& reports,
        const load_failures& failures);

    /// A record was folded.
    void folded(const control_context& context, const fold_event& event);

    /// An order was answered or wasn't.
    void answered(std::uint64_t order, order_outcome outcome, instant now);

    /// An engine's report came and is in the reports.
    void reported(const control_context& context, engine_id engine);

    /// From now on only clear up orders whose answers were lost.
    void wind_down();

    /// Order and report what is due.
    void step(const control_context& context);

    /// @return Whether an order to the engine may be in flight.
    bool busy(engine_id engine) const;

    /// @return Whether any order is in flight or uncertain.
    bool any_busy() const;

    /// @return Engines held, and those of them on which something moves.
    const std::set<engine_id>& held() const;
    const std::set<engine_id>& urgent() const;

private:
    using replica_on = std::pair<engine_id, replica_id>;

    /// Reads that must agree before a replica counts as absent or as a stray.
    static constexpr unsigned agreeing_reads = 2;

    struct order_sent
    {
        engine_id engine;
        replica_id replica;
        order_action action = order_action::load;
        bool is_stray = false;
    };

    /// Reads that agree on a replica's absence.
    struct absence
    {
        unsigned reads = 0;
        instant last{};
    };

    struct replica_track
    {
        std::optional<std::uint64_t> order; ///< in flight
        bool load_accepted = false;
        bool unload_accepted = false;
        bool load_failed = false; ///< the engine refused it for good
        std::optional<instant> loading_since; ///< its engine took the order
        unsigned refusals = 0;
        instant not_before{}; ///< of the next order
        duration retry{};
        instant baseline{}; ///< reads asked before it prove nothing
        absence absent;
        bool present = false; ///< in a read asked after the baseline
        resident seen;
        std::optional<std::uint64_t> report; ///< a record under way
        instant report_not_before{};
        std::optional<instant> draining_since;
        replica_state last_state = replica_state::gone;
    };

    struct stray_track
    {
        std::optional<std::uint64_t> order;
        unsigned reads = 0;
        unsigned attempts = 0;
        instant not_before{};
    };

    struct engine_track
    {
        fence held;
        instant taken{};
        bool read_since_taken = false;
        bool unproven = false; ///< a former holder's order may arrive
        std::map<replica_id, replica_track> replicas;
        std::map<replica_id, stray_track> strays;
    };

    void step_engine(const control_context& context, const engine_view& engine);
    static void note_proof(
        const control_context& context,
        const engine_view& engine,
        engine_track& track);
    void step_lost(const control_context& context, const engine_view& engine);
    void note_effects(
        const control_context& context,
        engine_id engine,
        const engine_sighting& sighting);
    bool load_overdue(
        const control_context& context,
        const engine_view& engine,
        const replica_track& item,
        const replica_view& replica) const;
    void give_up_dead(
        const control_context& context,
        const engine_view& engine,
        engine_track& track);
    void give_up_unreachable(
        const control_context& context,
        const engine_view& engine,
        engine_track& track);
    void step_replica(
        const control_context& context,
        const engine_view& engine,
        engine_track& track,
        const replica_view& replica);
    void step_loading(
        const control_context& context,
        const engine_view& engine,
        replica_track& item,
        const replica_view& replica);
    void step_ready(
        const control_context& context,
        const engine_view& engine,
        replica_track& item,
        const replica_view& replica);
    void step_draining(
        const control_context& context,
        const engine_view& engine,
        replica_track& item,
        const replica_view& replica);
    void step_unloading(
        const control_context& context,
        const engine_view& engine,
        replica_track& item,
        const replica_view& replica);
    void step_stray(
        const control_context& context,
        const engine_view& engine,
        replica_id replica,
        stray_track& stray);

    void note_strays(
        const control_context& context,
        engine_id engine,
        engine_track& track,
        const engine_sighting& sighting);
    void note_sighting(
        replica_id id, replica_track& item, const engine_sighting& sighting);
    bool absence_proven(const replica_track& item) const;
    bool order_settled(replica_on where, instant now) const;

    void send(
        const control_context& context,
        const engine_view& engine,
        replica_track& item,
        const replica_view& replica,
        order_action action);
    engine_order make_order(
        const engine_view& engine,
        replica_id replica,
        order_action action,
        std::string order_id);
    void report(
        const control_context& context,
        const engine_view& engine,
        replica_track& item,
        const replica_view& replica,
        replica_state to,
        std::string_view cause);

    void
    answered_stray(engine_track& track, const order_sent& sent, instant now);
    static void forget_settled(
        const control_context& context,
        std::map<replica_on, instant>& uncertain,
        duration settle);
    void answered_replica(
        replica_track& item,
        const order_sent& sent,
        order_outcome outcome,
        instant now);
    static void back_off(replica_track& item, instant now, duration at_least);

    controller::options settings;
    const lease_keeper& leases;
    const vm_watch& vms;
    const engine_reports& reports;
    const load_failures& failures;
    bool winding_down = false;
    std::uint64_t last_order = 0;
    std::map<engine_id, engine_track> engines;
    std::map<std::uint64_t, order_sent> in_flight;
    /// Loads whose answer was lost and that aren't cleared up, with when the
    /// last answer was lost.
    std::map<replica_on, instant> uncertain;
    std::set<engine_id> held_engines;
    std::set<engine_id> urgent_engines;
};

} // namespace roseworks::detail
