#include "core/placement/order_keeper.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::detail
{

namespace
{

/// After a report that the fold rejected.
constexpr duration rejected_pause = std::chrono::seconds(2);
/// A load on an engine that can't be reached for so long has failed: its
/// weight-store slot is needed elsewhere.
constexpr duration unreachable_limit = std::chrono::seconds(60);
/// The next step on the way to `gone` when nothing is left to be done.
replica_state next_to_gone(replica_state state)
{
    switch (state)
    {
    case replica_state::ready:
        return replica_state::draining;
    case replica_state::draining:
        return replica_state::unloading;
    default:
        return replica_state::gone;
    }
}

bool has_adapters(const fleet_state& state, const replica_view& replica)
{
    bool found = false;
    state.for_each_replica_on(
        replica.engine,
        [&](const replica_view& other)
        {
            found = found || other.base == replica.id;
        });
    return found;
}

} // namespace

order_keeper::order_keeper(
    const controller::options& wanted,
    const lease_keeper& lease_source,
    const vm_watch& vm_source,
    const engine_reports& report_source,
    const load_failures& failure_source)
    : settings(wanted)
    , leases(lease_source)
    , vms(vm_source)
    , reports(report_source)
    , failures(failure_source)
{
}

bool order_keeper::busy(engine_id engine) const
{
    const bool ordered = std::any_of(
        this->in_flight.begin(),
        this->in_flight.end(),
        [&](const auto& item)
        {
            return item.second.engine == engine;
        });
    const auto lost = this->uncertain.lower_bound({engine, replica_id{}});
    return ordered ||
           (lost != this->uncertain.end() && lost->first.first == engine);
}

bool order_keeper::any_busy() const
{
    return !this->in_flight.empty() || !this->uncertain.empty();
}

const std::set<engine_id>& order_keeper::held() const
{
    return this->held_engines;
}

const std::set<engine_id>& order_keeper::urgent() const
{
    return this->urgent_engines;
}

void order_keeper::folded(
    const control_context& context, const fold_event& event)
{
    const bool rejected = event.result.status == fold_status::rejected;
    for (auto& [id, track] : this->engines)
    {
        for (auto& [replica, item] : track.replicas)
        {
            if (!event.handed_out || item.report != event.value.id.sequence)
            {
                continue;
            }
            item.report.reset();
            if (rejected)
            {
                item.report_not_before = context.now + rejected_pause;
            }
        }
    }
}

void order_keeper::wind_down()
{
    this->winding_down = true;
}

void order_keeper::step(const control_context& context)
{
    this->held_engines.clear();
    this->urgent_engines.clear();
    forget_settled(context, this->uncertain, this->settings.lost_order_grace);
    context.state.for_each_engine(
        [&](const engine_view& engine)
        {
            if (!context.self || engine.holder != context.self)
            {
                this->engines.erase(engine.id);
                this->step_lost(context, engine);
                return;
            }
            this->step_engine(context, engine);
        });
}

/// An engine whose lease is another's: see whether a lost order arrives.
void order_keeper::step_lost(
    const control_context& context, const engine_view& engine)
{
    const auto lost = this->uncertain.lower_bound({engine.id, replica_id{}});
    const bool any =
        lost != this->uncertain.end() && lost->first.first == engine.id;
    if (any && context.state.order_may_be_in_flight(engine.id) &&
        context.state.former_holder(engine.id, context.self))
    {
        this->urgent_engines.insert(engine.id);
    }
}

void order_keeper::step_engine(
    const control_context& context, const engine_view& engine)
{
    engine_track& track = this->engines[engine.id];
    if (track.held != engine.held)
    {
        track = {};
        track.held = engine.held;
        track.taken = context.now;
    }
    note_proof(context, engine, track);
    this->held_engines.insert(engine.id);
    if (engine.spec == nullptr || !engine.readable ||
        this->leases.releasing(engine.id) ||
        !this->leases.may_order(
            context.state, engine.id, engine.held, context.now))
    {
        return;
    }
    if (this->vms.gone(engine.spec->vm))
    {
        this->give_up_dead(context, engine, track);
        return;
    }
    this->give_up_unreachable(context, engine, track);
    if (!track.read_since_taken)
    {
        this->urgent_engines.insert(engine.id);
        return;
    }
    std::set<replica_id> present;
    context.state.for_each_replica_on(
        engine.id,
        [&](const replica_view& replica)
        {
            present.insert(replica.id);
            this->step_replica(context, engine, track, replica);
        });
    std::erase_if(
        track.replicas,
        [&](const auto& item)
        {
            return !present.contains(item.first);
        });
    for (auto& [replica, stray] : track.strays)
    {
        this->urgent_engines.insert(engine.id);
        this->step_stray(context, engine, replica, stray);
    }
}

void order_keeper::give_up_dead(
    const control_context& context,
    const engine_view& engine,
    engine_track& track)
{
    const bool unproven = context.state.order_may_be_in_flight(engine.id);
    context.state.for_each_replica_on(
        engine.id,
        [&](const replica_view& replica)
        {
            // Its memory waits for a proof; its weight-store slot needn't.
            const bool only_slot =
                unproven && replica.state == replica_state::loading;
            this->report(
                context,
                engine,
                track.replicas[replica.id],
                replica,
                only_slot ? replica_state::failed : next_to_gone(replica.state),
                "vm gone");
        });
    // What ran there is dead with its VM, and so are orders on their way.
    std::erase_if(
        this->uncertain,
        [&](const auto& item)
        {
            return item.first.first == engine.id;
        });
}

void order_keeper::give_up_unreachable(
    const control_context& context,
    const engine_view& engine,
    engine_track& track)
{
    const engine_sighting* sighting = this->reports.find(engine.id);
    if (sighting == nullptr || sighting->report.reachable ||
        context.now < sighting->reached + unreachable_limit ||
        context.now < track.taken + unreachable_limit)
    {
        return;
    }
    context.state.for_each_replica_on(
        engine.id,
        [&](const replica_view& replica)
        {
            if (replica.state == replica_state::loading)
            {
                this->report(
                    context,
                    engine,
                    track.replicas[replica.id],
                    replica,
                    replica_state::failed,
                    "its engine can't be reached");
            }
        });
}

void order_keeper::step_stray(
    const control_context& context,
    const engine_view& engine,
    replica_id replica,
    stray_track& stray)
{
    if (stray.order || stray.reads < agreeing_reads || this->winding_down ||
        context.now < stray.not_before)
    {
        return;
    }
    ++stray.attempts;
    std::string order_id = "stray-" + std::to_string(replica.value) + "-" +
                           std::to_string(engine.held.value) + "-" +
                           std::to_string(stray.attempts);
    engine_order order = this->make_order(
        engine, replica, order_action::unload, std::move(order_id));
    stray.order = order.order;
    this->in_flight[order.order] = {
        engine.id, replica, order_action::unload, true};
    context.out.emplace_back(std::move(order));
}

void order_keeper::report(
    const control_context& context,
    const engine_view& engine,
    replica_track& item,
    const replica_view& replica,
    replica_state to,
    std::string_view cause)
{
    if (item.report || context.now < item.report_not_before ||
        !context.log_available)
    {
        return;
    }
    // The fold refuses to release a base under its adapters.
    const bool releases =
        to == replica_state::unloading || to == replica_state::gone;
    if (releases && has_adapters(context.state, replica))
    {
        return;
    }
    // Nor does it free memory that a former holder's order may still take.
    if (to == replica_state::gone && replica.state != replica_state::decided &&
        context.state.order_may_be_in_flight(engine.id))
    {
        return;
    }
    replica_report record;
    record.replica = replica.id;
    record.to = to;
    record.held = engine.held;
    record.session = context.self;
    record.cause = std::string(cause);
    item.report = context.submit(std::move(record));
}

} // namespace roseworks::detail
