#include "core/placement/grant_settler.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace roseworks::detail
{

namespace
{

/// After an order without an answer or a record that the fold rejected.
constexpr duration retry_pause = std::chrono::seconds(2);
/// Orders are numbered apart from the order keeper's.
constexpr std::uint64_t first_order = std::uint64_t(1) << 63;

std::vector<granted_model_view>
models_on(const fleet_state& state, engine_id engine)
{
    std::vector<granted_model_view> found;
    state.for_each_granted_model(
        [&](const granted_model_view& model)
        {
            if (model.engine == engine)
            {
                found.push_back(model);
            }
        });
    return found;
}

} // namespace

grant_settler::grant_settler(
    const controller::options& wanted,
    const lease_keeper& lease_source,
    const vm_watch& vm_source,
    const engine_reports& report_source)
    : settings(wanted)
    , leases(lease_source)
    , vms(vm_source)
    , reports(report_source)
    , last_order(first_order)
{
}

void grant_settler::folded(
    const control_context& context, const fold_event& event)
{
    if (!event.handed_out)
    {
        return;
    }
    for (auto& [id, track] : this->engines)
    {
        const bool own = track.records.erase(event.value.id.sequence) != 0;
        if (own && event.result.status != fold_status::accepted)
        {
            track.not_before = context.now + retry_pause;
        }
    }
}

void grant_settler::answered(
    std::uint64_t order, order_outcome outcome, instant now)
{
    for (auto& [id, track] : this->engines)
    {
        if (track.order != order)
        {
            continue;
        }
        track.order.reset();
        const bool shown = outcome == order_outcome::accepted ||
                           outcome == order_outcome::not_found;
        if (shown)
        {
            track.fence_shown = true;
            begin_anew(track, now);
            continue;
        }
        track.not_before = now + retry_pause;
    }
}

void grant_settler::begin_anew(engine_track& track, instant now)
{
    track.baseline = now;
    track.models.clear();
}

void grant_settler::reported(const control_context& context, engine_id engine)
{
    const auto place = this->engines.find(engine);
    const engine_sighting* sighting = this->reports.find(engine);
    if (place == this->engines.end() || sighting == nullptr ||
        !sighting->report.reachable || sighting->asked < place->second.baseline)
    {
        return;
    }
    engine_track& track = place->second;
    for (const granted_model_view& model : models_on(context.state, engine))
    {
        model_track& item = track.models[model.id];
        const resident* found = sighting->find(model.id);
        item.present =
            found != nullptr && found->state != replica_state::unloading;
        if (found != nullptr)
        {
            item.absent_reads = 0;
            continue;
        }
        const bool spaced =
            item.absent_reads == 0 ||
            sighting->asked >= item.last_read + this->settings.engine_poll;
        if (spaced)
        {
            ++item.absent_reads;
            item.last_read = sighting->asked;
        }
    }
}

void grant_settler::step(const control_context& context)
{
    this->urgent_engines.clear();
    context.state.for_each_engine(
        [&](const engine_view& engine)
        {
            const std::optional<standing_grant_view> grant =
                context.state.standing_grant(engine.id);
            const bool inherited = grant && context.self &&
                                   engine.holder == context.self &&
                                   grant->held != engine.held;
            if (inherited)
            {
                this->step_engine(context, engine);
                return;
            }
            // An order under way is waited for, so that it counts as busy.
            const auto track = this->engines.find(engine.id);
            if (track != this->engines.end() && !track->second.order)
            {
                this->engines.erase(track);
            }
        });
}

void grant_settler::step_engine(
    const control_context& context, const engine_view& engine)
{
    engine_track& track = this->engines[engine.id];
    if (track.held != engine.held)
    {
        const std::optional<std::uint64_t> under_way = track.order;
        track = {};
        track.held = engine.held;
        track.order = under_way;
        begin_anew(track, context.now);
    }
    const bool unproven = context.state.order_may_be_in_flight(engine.id);
    if (std::exchange(track.unproven, unproven) && !unproven)
    {
        // Until the proof an earlier holder's order may have arrived.
        begin_anew(track, context.now);
    }
    this->urgent_engines.insert(engine.id);
    const bool may_act =
        context.log_available && engine.spec != nullptr && engine.readable &&
        !track.order && track.records.empty() &&
        context.now >= track.not_before && !this->leases.releasing(engine.id) &&
        this->leases.may_order(
            context.state, engine.id, engine.held, context.now);
    if (may_act)
    {
        this->settle(context, engine, track);
    }
}

void grant_settler::settle(
    const control_context& context,
    const engine_view& engine,
    engine_track& track)
{
    const std::vector<granted_model_view> models =
        models_on(context.state, engine.id);
    if (models.empty())
    {
        if (!track.unproven)
        {
            track.records.insert(context.submit(
                grant_open{engine.id, context.self, engine.held, 0, 0, 0}));
        }
        return;
    }
    // What ran there is dead with its VM, and so are orders on their way.
    const bool dead = this->vms.gone(engine.spec->vm);
    for (const granted_model_view& model : models)
    {
        if (track.models[model.id].present && !dead)
        {
            track.records.insert(context.submit(
                grant_settle{model.id, context.self, engine.held, true}));
        }
    }
    if (!track.records.empty())
    {
        return;
    }
    for (const granted_model_view& model : models)
    {
        const bool absent = dead || this->absence_proven(
                                        track.models[model.id], track.baseline);
        if (!absent)
        {
            continue;
        }
        if (!dead && !track.fence_shown)
        {
            this->show_fence(context, engine, track, model.id);
            return;
        }
        if (!track.unproven)
        {
            track.records.insert(context.submit(
                grant_settle{model.id, context.self, engine.held, false}));
        }
    }
}

bool grant_settler::absence_proven(
    const model_track& model, instant baseline) const
{
    return model.absent_reads >= agreeing_reads &&
           model.last_read >= baseline + this->settings.report_lag;
}

void grant_settler::show_fence(
    const control_context& context,
    const engine_view& engine,
    engine_track& track,
    replica_id replica)
{
    engine_order order;
    order.order = ++this->last_order;
    order.order_id = "settle-" + std::to_string(replica.value) + "-" +
                     std::to_string(engine.held.value);
    order.engine = engine.id;
    order.address = engine.spec->address;
    order.checks_credential = engine.spec->checks_credential;
    order.held = engine.held;
    order.action = order_action::unload;
    order.replica = replica;
    track.order = order.order;
    context.out.emplace_back(std::move(order));
}

bool grant_settler::busy(engine_id engine) const
{
    const auto track = this->engines.find(engine);
    return track != this->engines.end() && track->second.order;
}

bool grant_settler::any_busy() const
{
    return std::any_of(
        this->engines.begin(),
        this->engines.end(),
        [](const auto& item)
        {
            return item.second.order.has_value();
        });
}

const std::set<engine_id>& grant_settler::urgent() const
{
    return this->urgent_engines;
}

} // namespace roseworks::detail
