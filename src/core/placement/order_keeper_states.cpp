#include "core/placement/order_keeper.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string_view>

namespace roseworks::detail
{

namespace
{

/// A load may take so many times its servable's estimate.
constexpr int estimates_allowed = 10;
/// Routers have stopped sending to a draining replica by then.
constexpr duration drain_notice = std::chrono::seconds(2);

constexpr std::string_view lost_cause = "its engine no longer has it";

} // namespace

void order_keeper::step_replica(
    const control_context& context,
    const engine_view& engine,
    engine_track& track,
    const replica_view& replica)
{
    replica_track& item = track.replicas[replica.id];
    if (item.last_state != replica.state)
    {
        item.last_state = replica.state;
        item.baseline = context.now;
        item.absent = {};
        item.refusals = 0;
        item.retry = {};
    }
    switch (replica.state)
    {
    case replica_state::decided:
    case replica_state::gone:
        return;
    case replica_state::loading:
        this->urgent_engines.insert(engine.id);
        this->step_loading(context, engine, item, replica);
        return;
    case replica_state::ready:
        this->step_ready(context, engine, item, replica);
        return;
    case replica_state::draining:
        this->urgent_engines.insert(engine.id);
        this->step_draining(context, engine, item, replica);
        return;
    case replica_state::unloading:
    case replica_state::failed:
        this->urgent_engines.insert(engine.id);
        this->step_unloading(context, engine, item, replica);
        return;
    }
}

void order_keeper::step_loading(
    const control_context& context,
    const engine_view& engine,
    replica_track& item,
    const replica_view& replica)
{
    if (item.order)
    {
        return;
    }
    const bool ended =
        item.present && item.seen.state != replica_state::loading;
    if (!ended && this->load_overdue(context, engine, item, replica))
    {
        this->report(
            context,
            engine,
            item,
            replica,
            replica_state::failed,
            "it loads without end");
        return;
    }
    if (item.present)
    {
        this->uncertain.erase({engine.id, replica.id});
        if (!item.loading_since)
        {
            item.loading_since = context.now;
        }
        if (item.seen.state == replica_state::ready)
        {
            this->report(
                context, engine, item, replica, replica_state::ready, "loaded");
        }
        else if (item.seen.state != replica_state::loading)
        {
            this->report(
                context,
                engine,
                item,
                replica,
                replica_state::failed,
                "the engine failed to load it");
        }
        return;
    }
    if (item.load_failed)
    {
        this->report(
            context,
            engine,
            item,
            replica,
            replica_state::failed,
            "the engine refused it");
        return;
    }
    const stamp_ms log_wall = std::max(context.state.log_time(), context.wall);
    if (log_wall < replica.slot_not_before || context.now < item.not_before)
    {
        return;
    }
    // An accepted load that shows up in no report was lost with its engine.
    if (item.load_accepted && !this->absence_proven(item))
    {
        return;
    }
    this->send(context, engine, item, replica, order_action::load);
}

bool order_keeper::load_overdue(
    const control_context& context,
    const engine_view& engine,
    const replica_track& item,
    const replica_view& replica) const
{
    const engine_sighting* sighting = this->reports.find(engine.id);
    if (!item.loading_since || sighting == nullptr ||
        !sighting->report.reachable)
    {
        return false;
    }
    const std::optional<servable_view> servable =
        context.state.servable(replica.servable);
    const duration estimate =
        std::chrono::milliseconds(servable ? servable->load_estimate_ms : 0);
    const duration limit =
        std::max(this->settings.load_limit, estimate * estimates_allowed) *
        this->failures.patience(replica.servable);
    // A read asked after the limit shows that it hasn't ended.
    return sighting->asked >= *item.loading_since + limit;
}

void order_keeper::step_ready(
    const control_context& context,
    const engine_view& engine,
    replica_track& item,
    const replica_view& replica)
{
    if (item.absent.reads != 0)
    {
        this->urgent_engines.insert(engine.id);
    }
    const bool failed =
        item.present && item.seen.state == replica_state::failed;
    if (failed || this->absence_proven(item))
    {
        this->report(
            context,
            engine,
            item,
            replica,
            replica_state::draining,
            failed ? "it failed on its engine" : lost_cause);
    }
}

void order_keeper::step_draining(
    const control_context& context,
    const engine_view& engine,
    replica_track& item,
    const replica_view& replica)
{
    if (!item.draining_since)
    {
        item.draining_since = context.now;
    }
    if (this->absence_proven(item))
    {
        this->report(
            context,
            engine,
            item,
            replica,
            replica_state::unloading,
            lost_cause);
        return;
    }
    if (context.now < *item.draining_since + drain_notice)
    {
        return;
    }
    const engine_sighting* sighting = this->reports.find(engine.id);
    const bool fresh = sighting != nullptr && sighting->report.reachable &&
                       sighting->asked >= *item.draining_since + drain_notice;
    // An engine that counts for the whole only may be busy with another.
    const bool counted_here = item.present && item.seen.running != 0;
    const bool quiet = fresh && !counted_here &&
                       (sighting->report.running == 0 ||
                        item.seen.served != 0 || !item.present);
    const bool over =
        context.now >= *item.draining_since + this->settings.drain_grace;
    if (quiet || over)
    {
        this->report(
            context,
            engine,
            item,
            replica,
            replica_state::unloading,
            quiet ? "drained" : "drain grace is over");
    }
}

void order_keeper::step_unloading(
    const control_context& context,
    const engine_view& engine,
    replica_track& item,
    const replica_view& replica)
{
    if (item.order)
    {
        return;
    }
    if (item.present)
    {
        this->uncertain.erase({engine.id, replica.id});
        const bool under_way = item.seen.state == replica_state::unloading;
        if (!under_way && context.now >= item.not_before)
        {
            this->send(context, engine, item, replica, order_action::unload);
        }
        return;
    }
    if (this->absence_proven(item) &&
        this->order_settled({engine.id, replica.id}, context.now))
    {
        this->report(
            context, engine, item, replica, replica_state::gone, lost_cause);
    }
}

} // namespace roseworks::detail
