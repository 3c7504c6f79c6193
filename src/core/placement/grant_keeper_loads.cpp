#include "core/placement/grant_keeper.hpp"
#include "core/placement/order_ids.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

// The grant keeper's part while the log is away.

namespace roseworks::detail
{

namespace
{

constexpr duration second = std::chrono::seconds(1);

} // namespace

duration grant_keeper::load_interval(
    const fleet_state& state, const standing_grant_view& grant) const
{
    const policy_spec& policy = state.policy();
    const auto share = duration::rep(policy.store_loads_per_second) *
                       std::max<duration::rep>(1, grant.loads);
    return second * duration::rep(policy.store_slots) /
           std::max<duration::rep>(1, share);
}

void grant_keeper::load(
    const control_context& context,
    const engine_view& engine,
    engine_track& track)
{
    const std::optional<standing_grant_view> grant =
        context.state.standing_grant(engine.id);
    if (this->winding_down || !grant ||
        !this->leases.may_order_granted(
            context.state, engine.id, engine.held, context.now))
    {
        return;
    }
    const std::vector<wanted_model> wanted =
        this->loadable(context, engine, track);
    for (const wanted_model& next : wanted)
    {
        const auto loading = std::count_if(
            track.loads.begin(),
            track.loads.end(),
            [](const auto& item)
            {
                return item.second.order || item.second.loading;
            });
        if (loading >= grant->loads || context.now < track.next_load)
        {
            return;
        }
        std::uint64_t spent = 0;
        for (const auto& [id, load] : track.loads)
        {
            const bool counted = id != next.model.id &&
                                 (load.order || load.used) &&
                                 context.state.granted_model(id);
            spent += counted ? load.memory_mib : 0;
        }
        if (spent + next.model.memory_mib > grant->memory_mib)
        {
            continue;
        }
        this->send(context, engine, track, next.model);
        track.next_load =
            context.now + this->load_interval(context.state, *grant);
    }
}

std::vector<grant_keeper::wanted_model> grant_keeper::loadable(
    const control_context& context,
    const engine_view& engine,
    const engine_track& track) const
{
    const engine_sighting* sighting = this->reports.find(engine.id);
    std::vector<wanted_model> found;
    context.state.for_each_granted_model(
        [&](const granted_model_view& model)
        {
            const std::optional<priority> urgency =
                model.engine == engine.id
                    ? this->proposals.demand_priority(model.servable)
                    : std::nullopt;
            // A record that gives it free may be in the log already.
            if (!urgency || model.held != engine.held ||
                track.leaving_grant.contains(model.id))
            {
                return;
            }
            const bool there =
                sighting != nullptr && sighting->find(model.id) != nullptr;
            const auto load = track.loads.find(model.id);
            const bool under_way =
                load != track.loads.end() &&
                (load->second.order || load->second.loading ||
                 context.now < load->second.not_before);
            if (!there && !under_way)
            {
                found.push_back({*urgency, model});
            }
        });
    std::stable_sort(
        found.begin(),
        found.end(),
        [](const wanted_model& one, const wanted_model& other)
        {
            return one.urgency < other.urgency;
        });
    return found;
}

void grant_keeper::send(
    const control_context& context,
    const engine_view& engine,
    engine_track& track,
    const granted_model_view& model)
{
    const std::optional<servable_view> servable =
        context.state.servable(model.servable);
    if (!servable || servable->current != model.servable_revision)
    {
        return;
    }
    engine_order order;
    order.order = ++this->last_order;
    order.order_id = load_order_id(model.id);
    order.engine = engine.id;
    order.address = engine.spec->address;
    order.checks_credential = engine.spec->checks_credential;
    order.held = engine.held;
    order.action = order_action::load;
    order.replica = model.id;
    order.servable = std::string(servable->name);
    order.version = std::string(servable->version);
    order.memory_mib = model.memory_mib;
    order.granted = true;
    load_track& load = track.loads[model.id];
    load.order = order.order;
    load.memory_mib = model.memory_mib;
    context.out.emplace_back(std::move(order));
}

} // namespace roseworks::detail
