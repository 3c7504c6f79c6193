#include "core/placement/idle_watch.hpp"

#include <algorithm>
#include <optional>

namespace roseworks::detail
{

idle_watch::idle_watch(
    const placement_policy& policy_source,
    const preloader& preload_source,
    const activity& use_source,
    const proposer& demand_source,
    const engine_reports& report_source)
    : policy(policy_source)
    , preloads(preload_source)
    , uses(use_source)
    , demand(demand_source)
    , reports(report_source)
{
}

void idle_watch::step(
    const control_context& context, const std::set<engine_id>& held)
{
    std::erase_if(
        this->draining,
        [&](const auto& item)
        {
            return !context.commit.pending(item.second);
        });
    if (!context.log_available || held.empty())
    {
        return;
    }
    std::set<servable_id> here;
    for (const engine_id engine : held)
    {
        context.state.for_each_replica_on(
            engine,
            [&](const replica_view& replica)
            {
                if (replica.state == replica_state::ready)
                {
                    here.insert(replica.servable);
                }
            });
    }
    for (const servable_id id : here)
    {
        const std::optional<servable_view> servable =
            context.state.servable(id);
        servable_view removed;
        removed.id = id;
        this->step_servable(context, servable.value_or(removed), held);
    }
}

void idle_watch::step_servable(
    const control_context& context,
    const servable_view& servable,
    const std::set<engine_id>& held)
{
    if (!servable.readable)
    {
        return;
    }
    std::vector<replica_view> ready;
    bool any_moves = false;
    context.state.for_each_replica_of(
        servable.id,
        [&](const replica_view& replica)
        {
            if (replica.state == replica_state::ready)
            {
                ready.push_back(replica);
            }
            any_moves = any_moves || replica.state != replica_state::ready ||
                        this->draining.contains(replica.id);
        });
    std::sort(
        ready.begin(),
        ready.end(),
        [](const replica_view& one, const replica_view& other)
        {
            return one.id < other.id;
        });

    for (std::size_t place = 0; place < ready.size(); ++place)
    {
        const replica_view& replica = ready[place];
        if (!held.contains(replica.engine) ||
            this->draining.contains(replica.id) ||
            has_adapters(context, replica))
        {
            continue;
        }
        if (!any_moves && this->outdated(servable, replica))
        {
            this->drain(context, replica.id, "another version is declared");
            return;
        }
        const std::string_view cause = this->cause_to_drain(
            context, servable, replica, place, ready.size());
        if (!cause.empty())
        {
            this->drain(context, replica.id, cause);
        }
    }
}

std::string_view idle_watch::cause_to_drain(
    const control_context& context,
    const servable_view& servable,
    const replica_view& replica,
    std::size_t place,
    std::size_t ready) const
{
    if (!servable.current)
    {
        return "its servable was removed";
    }
    const std::optional<engine_view> engine =
        context.state.engine(replica.engine);
    if (engine && engine->readable && !this->demand.usable(*engine))
    {
        return "its engine leaves";
    }
    if (place >= servable.max_replicas)
    {
        return "above the declared maximum";
    }
    if (place >= servable.min_replicas && ready > servable.min_replicas &&
        this->idle(context, servable, replica))
    {
        return "idle";
    }
    return {};
}

bool idle_watch::idle(
    const control_context& context,
    const servable_view& servable,
    const replica_view& replica) const
{
    if (this->demand.is_demanded(servable.id) ||
        this->preloads.expected(context.state, servable.id, context.now))
    {
        return false;
    }
    duration hold = this->policy.hold(context.state, servable);
    // Perhaps another router foresaw its use and loaded it ahead.
    const bool ahead =
        this->policy.kind() == placement_kind::gap_cost_preload &&
        replica.urgency == priority::batch && this->uses.unused(replica.id);
    if (ahead)
    {
        hold = std::max(hold, preload_life);
    }
    // Only a report can tell that no other router used it meanwhile.
    return this->uses.reported_idle(replica) >= hold;
}

bool idle_watch::outdated(
    const servable_view& servable, const replica_view& replica) const
{
    const engine_sighting* sighting = this->reports.find(replica.engine);
    const resident* seen =
        sighting == nullptr ? nullptr : sighting->find(replica.id);
    return seen != nullptr && servable.current && !seen->version.empty() &&
           replica.servable_revision != servable.current &&
           seen->version != servable.version;
}

bool idle_watch::has_adapters(
    const control_context& context, const replica_view& replica)
{
    bool found = false;
    context.state.for_each_replica_on(
        replica.engine,
        [&](const replica_view& other)
        {
            found = found || other.base == replica.id;
        });
    return found;
}

void idle_watch::drain(
    const control_context& context, replica_id replica, std::string_view cause)
{
    replica_report record;
    record.replica = replica;
    record.to = replica_state::draining;
    record.session = context.self;
    record.cause = std::string(cause);
    this->draining[replica] = context.submit(std::move(record));
}

} // namespace roseworks::detail
