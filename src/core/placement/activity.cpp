#include "core/placement/activity.hpp"

#include <algorithm>

namespace roseworks::detail
{

void activity::used(const fleet_state& state, servable_id servable, instant now)
{
    this->local_use[servable] = now;
    const std::optional<servable_view> view = state.servable(servable);
    if (view && view->is_adapter)
    {
        this->local_use[view->base] = now;
    }
}

void activity::reported(
    const fleet_state& state, const engine_report& report, instant now)
{
    if (!report.reachable)
    {
        return;
    }
    // An engine that counts for the whole only: all of its replicas may be
    // busy.
    const bool counts_each = std::any_of(
        report.residents.begin(),
        report.residents.end(),
        [](const resident& item)
        {
            return item.running != 0 || item.served != 0;
        });
    const bool any_may_run = !counts_each && report.running != 0;

    for (const resident& item : report.residents)
    {
        const std::optional<replica_view> replica = state.replica(item.replica);
        if (!replica)
        {
            continue;
        }
        replica_use& use = this->replicas[item.replica];
        const bool served_more = use.reported && item.served != use.served;
        use.running = item.running != 0 || any_may_run;
        if (use.last == instant{} || use.running || served_more)
        {
            use.last = now;
        }
        use.served = item.served;
        use.reported = true;
        if (replica->base && use.last == now)
        {
            this->replicas[replica->base].last = now;
        }
    }
}

void activity::appeared(replica_id replica, instant now)
{
    this->replicas[replica].last = now;
}

void activity::forget(replica_id replica)
{
    this->replicas.erase(replica);
}

duration activity::idle(const replica_view& replica, instant now) const
{
    const auto known = this->replicas.find(replica.id);
    if (known == this->replicas.end() || known->second.running)
    {
        return {};
    }
    instant last = known->second.last;
    const auto local = this->local_use.find(replica.servable);
    if (local != this->local_use.end())
    {
        last = std::max(last, local->second);
    }
    return now - last;
}

bool activity::seen_by_engine(replica_id replica) const
{
    const auto known = this->replicas.find(replica);
    return known != this->replicas.end() && known->second.reported;
}

} // namespace roseworks::detail
