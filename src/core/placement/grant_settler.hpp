#pragma once

#include "core/placement/engine_reports.hpp"
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
#include <vector>

namespace roseworks::detail
{

/** Settles standing grants of earlier lease holders on the engines whose lease
    this router holds.

    An earlier holder may have loaded granted models while the log was away and
    died before it said so. What the engine shows becomes replicas. What it
    doesn't show is freed once that is certain: an order under this router's
    fencing number was answered, so that an engine that checks them refuses the
    earlier holder's; no order to an engine that ignores them can be in flight;
    and two reads asked after that, past the reports' lag, agree. Then the grant
    is closed.

    What is settled is decided by the fold; what this class holds are hints that
    are gathered anew under each lease.
*/
class grant_settler
{
public:
    grant_settler(
        const controller::options& settings,
        const lease_keeper& leases,
        const vm_watch& vms,
        const engine_reports& reports);

    /// A record was folded.
    void folded(const control_context& context, const fold_event& event);

    /// An order was answered or wasn't; those of others are left alone.
    void answered(std::uint64_t order, order_outcome outcome, instant now);

    /// An engine's report came and is in the reports.
    void reported(const control_context& context, engine_id engine);

    /// Order and record what is due.
    void step(const control_context& context);

    /// @return Whether an order to the engine is in flight.
    bool busy(engine_id engine) const;
    bool any_busy() const;

    /// @return Engines on which something is to be settled.
    const std::set<engine_id>& urgent() const;

private:
    /// Reads that must agree before a model counts as absent.
    static constexpr unsigned agreeing_reads = 2;

    struct model_track
    {
        unsigned absent_reads = 0;
        instant last_read{};
        bool present = false;
    };

    struct engine_track
    {
        fence held;
        instant baseline{}; ///< reads asked before it prove nothing
        bool unproven = false;
        bool fence_shown = false; ///< the engine answered an order of ours
        std::optional<std::uint64_t> order;
        std::set<std::uint64_t> records; ///< under way
        instant not_before{};            ///< of the next order or record
        std::map<replica_id, model_track> models;
    };

    void step_engine(const control_context& context, const engine_view& engine);
    static void begin_anew(engine_track& track, instant now);
    void settle(
        const control_context& context,
        const engine_view& engine,
        engine_track& track);
    bool absence_proven(const model_track& model, instant baseline) const;
    void show_fence(
        const control_context& context,
        const engine_view& engine,
        engine_track& track,
        replica_id replica);

    controller::options settings;
    const lease_keeper& leases;
    const vm_watch& vms;
    const engine_reports& reports;
    std::uint64_t last_order;
    std::map<engine_id, engine_track> engines;
    std::set<engine_id> urgent_engines;
};

} // namespace roseworks::detail
