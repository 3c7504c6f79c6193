#include "core/placement/order_keeper.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::detail
{

namespace
{

/// Reads that must agree before a replica counts as absent or as a stray.
constexpr unsigned agreeing_reads = 2;
/// Refusals of a load, for whatever reason, after which it has failed.
constexpr unsigned max_refusals = 5;
constexpr duration first_retry = std::chrono::milliseconds(200);
constexpr duration longest_retry = std::chrono::seconds(10);
/// After an order, its effect is looked for so long before it is ordered again.
constexpr duration reorder_interval = std::chrono::seconds(2);
/// After a stale fence: the log will say who holds the lease.
constexpr duration stale_fence_pause = std::chrono::seconds(1);
/// After a report that the fold rejected.
constexpr duration rejected_pause = std::chrono::seconds(2);
/// A load on an engine that can't be reached for so long has failed: its
/// weight-store slot is needed elsewhere.
constexpr duration unreachable_limit = std::chrono::seconds(60);
/// Routers have stopped sending to a draining replica by then.
constexpr duration drain_notice = std::chrono::seconds(2);

std::string load_order_id(replica_id replica)
{
    return "load-" + std::to_string(replica.value);
}

std::string unload_order_id(replica_id replica)
{
    return "unload-" + std::to_string(replica.value);
}

constexpr std::string_view lost_cause = "its engine no longer has it";

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
    const engine_reports& report_source)
    : settings(wanted)
    , leases(lease_source)
    , vms(vm_source)
    , reports(report_source)
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
    forget_settled(context, this->uncertain, this->settings.order_settle);
    context.state.for_each_engine(
        [&](const engine_view& engine)
        {
            if (!context.self || engine.holder != context.self)
            {
                this->engines.erase(engine.id);
                return;
            }
            this->step_engine(context, engine);
        });
}

void order_keeper::forget_settled(
    const control_context& context,
    std::map<replica_on, instant>& uncertain,
    duration settle)
{
    std::erase_if(
        uncertain,
        [&](const auto& item)
        {
            const auto& [where, lost] = item;
            const std::optional<engine_view> engine =
                context.state.engine(where.first);
            const bool held = engine && engine->holder == context.self;
            return held && !context.state.replica(where.second) &&
                   context.now >= lost + settle;
        });
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
    this->held_engines.insert(engine.id);
    if (engine.spec == nullptr || !engine.readable ||
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
    context.state.for_each_replica_on(
        engine.id,
        [&](const replica_view& replica)
        {
            this->report(
                context,
                engine,
                track.replicas[replica.id],
                replica,
                next_to_gone(replica.state),
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
    if (item.present)
    {
        this->uncertain.erase({engine.id, replica.id});
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

void order_keeper::reported(const control_context& context, engine_id engine)
{
    const auto place = this->engines.find(engine);
    const engine_sighting* sighting = this->reports.find(engine);
    if (place == this->engines.end() || sighting == nullptr ||
        !sighting->report.reachable)
    {
        return;
    }
    engine_track& track = place->second;
    if (sighting->asked < track.taken)
    {
        return;
    }
    if (!track.read_since_taken)
    {
        track.read_since_taken = true;
        // What the engine has already is known before anything is ordered.
        context.state.for_each_replica_on(
            engine,
            [&](const replica_view& replica)
            {
                replica_track& item = track.replicas[replica.id];
                item.last_state = replica.state;
                item.baseline = track.taken;
            });
    }
    for (auto& [id, item] : track.replicas)
    {
        this->note_sighting(id, item, *sighting);
    }
    this->note_strays(context, engine, track, *sighting);
}

void order_keeper::note_sighting(
    replica_id id, replica_track& item, const engine_sighting& sighting)
{
    if (item.order || sighting.asked < item.baseline)
    {
        return;
    }
    const resident* found = sighting.find(id);
    item.present = found != nullptr;
    if (found != nullptr)
    {
        item.seen = *found;
        item.absent = {};
        return;
    }
    const bool spaced =
        item.absent.reads == 0 ||
        sighting.asked >= item.absent.last + this->settings.engine_poll;
    if (spaced)
    {
        ++item.absent.reads;
        item.absent.last = sighting.asked;
    }
}

void order_keeper::note_strays(
    const control_context& context,
    engine_id engine,
    engine_track& track,
    const engine_sighting& sighting)
{
    std::set<replica_id> seen;
    for (const resident& item : sighting.report.residents)
    {
        const std::optional<replica_view> known =
            context.state.replica(item.replica);
        const bool explained = known && known->engine == engine;
        // A replica decided beyond what is folded here isn't a stray.
        const bool newer = item.replica.value > context.state.folded().value;
        if (explained || newer || item.state == replica_state::unloading)
        {
            continue;
        }
        seen.insert(item.replica);
        ++track.strays[item.replica].reads;
    }
    std::erase_if(
        track.strays,
        [&](const auto& item)
        {
            return !seen.contains(item.first) && !item.second.order;
        });
}

bool order_keeper::absence_proven(const replica_track& item) const
{
    return item.absent.reads >= agreeing_reads &&
           item.absent.last >= item.baseline + this->settings.report_lag;
}

bool order_keeper::order_settled(replica_on where, instant now) const
{
    const bool ordered = std::any_of(
        this->in_flight.begin(),
        this->in_flight.end(),
        [&](const auto& item)
        {
            const order_sent& sent = item.second;
            return sent.engine == where.first && sent.replica == where.second &&
                   sent.action == order_action::load;
        });
    const auto lost = this->uncertain.find(where);
    return !ordered && (lost == this->uncertain.end() ||
                        now >= lost->second + this->settings.order_settle);
}

engine_order order_keeper::make_order(
    const engine_view& engine,
    replica_id replica,
    order_action action,
    std::string order_id)
{
    engine_order order;
    order.order = ++this->last_order;
    order.order_id = std::move(order_id);
    order.engine = engine.id;
    order.address = engine.spec->address;
    order.checks_credential = engine.spec->checks_credential;
    order.held = engine.held;
    order.action = action;
    order.replica = replica;
    return order;
}

void order_keeper::send(
    const control_context& context,
    const engine_view& engine,
    replica_track& item,
    const replica_view& replica,
    order_action action)
{
    if (this->winding_down &&
        !this->uncertain.contains({engine.id, replica.id}))
    {
        return;
    }
    const std::optional<servable_view> servable =
        context.state.servable(replica.servable);
    engine_order order = this->make_order(
        engine,
        replica.id,
        action,
        action == order_action::load ? load_order_id(replica.id)
                                     : unload_order_id(replica.id));
    order.memory_mib = replica.memory_mib;
    order.is_adapter = static_cast<bool>(replica.base);
    if (servable)
    {
        order.servable = std::string(servable->name);
        order.is_adapter = servable->is_adapter;
        order.version = std::string(servable->version);
        const std::optional<servable_view> base =
            context.state.servable(servable->base);
        order.base = base ? std::string(base->name) : std::string();
    }
    else if (action == order_action::load)
    {
        // Its entity was removed since: there is nothing to load.
        item.load_failed = true;
        return;
    }
    item.order = order.order;
    item.absent = {};
    this->in_flight[order.order] = {engine.id, replica.id, action, false};
    context.out.emplace_back(std::move(order));
}

void order_keeper::answered(
    std::uint64_t order, order_outcome outcome, instant now)
{
    const auto place = this->in_flight.find(order);
    if (place == this->in_flight.end())
    {
        return;
    }
    const order_sent sent = place->second;
    this->in_flight.erase(place);

    const replica_on where{sent.engine, sent.replica};
    if (sent.action == order_action::load)
    {
        // An acceptance covers every copy of the order: they have one id.
        if (outcome == order_outcome::unknown)
        {
            this->uncertain[where] = now;
        }
        else if (outcome == order_outcome::accepted)
        {
            this->uncertain.erase(where);
        }
    }
    const auto engine = this->engines.find(sent.engine);
    if (engine == this->engines.end())
    {
        return;
    }
    engine_track& track = engine->second;
    if (sent.is_stray)
    {
        this->answered_stray(track, sent, now);
        return;
    }
    const auto item = track.replicas.find(sent.replica);
    if (item != track.replicas.end() && item->second.order == order)
    {
        this->answered_replica(item->second, sent, outcome, now);
    }
}

void order_keeper::answered_stray(
    engine_track& track, const order_sent& sent, instant now)
{
    const auto stray = track.strays.find(sent.replica);
    if (stray == track.strays.end())
    {
        return;
    }
    stray->second.order.reset();
    stray->second.reads = 0;
    stray->second.not_before = now + reorder_interval;
}

void order_keeper::back_off(replica_track& item, instant now, duration at_least)
{
    item.retry = std::clamp(item.retry * 2, first_retry, longest_retry);
    item.not_before = now + std::max(item.retry, at_least);
}

void order_keeper::answered_replica(
    replica_track& item,
    const order_sent& sent,
    order_outcome outcome,
    instant now)
{
    item.order.reset();
    item.baseline = now;
    item.absent = {};
    const bool is_load = sent.action == order_action::load;
    switch (outcome)
    {
    case order_outcome::accepted:
        (is_load ? item.load_accepted : item.unload_accepted) = true;
        item.present = item.present && !is_load;
        back_off(item, now, reorder_interval);
        return;
    case order_outcome::unknown:
        // The reads until then show whether it took effect.
        item.load_accepted = item.load_accepted || is_load;
        back_off(item, now, this->settings.engine_poll);
        return;
    case order_outcome::out_of_memory:
        item.load_failed = item.load_failed || is_load;
        back_off(item, now, first_retry);
        return;
    case order_outcome::stale_fence:
        back_off(item, now, stale_fence_pause);
        return;
    case order_outcome::not_found:
        item.present = item.present && is_load;
        back_off(item, now, first_retry);
        return;
    case order_outcome::refused:
        ++item.refusals;
        item.load_failed = is_load && item.refusals >= max_refusals;
        back_off(item, now, first_retry);
        return;
    case order_outcome::not_sent:
        back_off(item, now, first_retry);
        return;
    }
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
    replica_report record;
    record.replica = replica.id;
    record.to = to;
    record.held = engine.held;
    record.session = context.self;
    record.cause = std::string(cause);
    item.report = context.submit(std::move(record));
}

} // namespace roseworks::detail
