#include "core/placement/activity.hpp"

#include <algorithm>

namespace roseworks::detail
{

namespace
{

/// An engine's report may lag so far behind a use of this router.
constexpr duration report_lag = std::chrono::seconds(5);
/// A report shows its engine as it was so long before it was read.
constexpr duration least_lag = std::chrono::seconds(1);

} // namespace

void activity::used(const fleet_state& state, servable_id servable, instant now)
{
    this->wanted(state, servable, now);
    this->servables.use(servable).value = now;
}

void activity::wanted(
    const fleet_state& state, servable_id servable, instant now)
{
    this->servables.use(servable).last_use = now;
    const std::optional<servable_view> view = state.servable(servable);
    if (view && view->is_adapter)
    {
        this->servables.use(view->base).last_use = now;
    }
}

std::vector<servable_id> activity::reported(
    const fleet_state& state, const engine_report& report, instant now)
{
    std::vector<servable_id> used_elsewhere;
    if (!report.reachable)
    {
        return used_elsewhere;
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
        const bool served_since = item.served != use.served;
        const bool served_more = use.reported && served_since;
        use.running = item.running != 0 || any_may_run;
        if (use.last == instant{} || use.running || served_more)
        {
            use.last = now;
        }
        const instant since = (use.reported ? use.reported_at : now);
        if (served_since &&
            !this->used_here(replica->servable, since - report_lag))
        {
            used_elsewhere.push_back(replica->servable);
        }
        use.served = item.served;
        use.reported = true;
        use.reported_at = now;
        if (replica->base && use.last == now)
        {
            this->replicas[replica->base].last = now;
        }
    }
    return used_elsewhere;
}

bool activity::used_here(servable_id servable, instant since) const
{
    const auto* local = this->servables.find(servable);
    return local != nullptr && local->value != instant{} &&
           local->value >= since;
}

void activity::appeared(replica_id replica, instant now)
{
    this->replicas[replica].last = now;
}

void activity::forget(replica_id replica)
{
    this->replicas.erase(replica);
}

std::optional<instant> activity::last_use(servable_id servable) const
{
    const auto* known = this->servables.find(servable);
    return known == nullptr ? std::nullopt : std::optional(known->last_use);
}

duration activity::idle(const replica_view& replica, instant now) const
{
    const auto known = this->replicas.find(replica.id);
    if (known == this->replicas.end() || known->second.running)
    {
        return {};
    }
    instant last = known->second.last;
    const auto* local = this->servables.find(replica.servable);
    if (local != nullptr)
    {
        last = std::max(last, local->last_use);
    }
    return now - last;
}

duration activity::reported_idle(const replica_view& replica) const
{
    const auto known = this->replicas.find(replica.id);
    if (known == this->replicas.end() || !known->second.reported)
    {
        return {};
    }
    const instant shown = known->second.reported_at - least_lag;
    return std::max(duration(), this->idle(replica, shown));
}

bool activity::unused(replica_id replica) const
{
    const auto known = this->replicas.find(replica);
    return known == this->replicas.end() ||
           (known->second.served == 0 && !known->second.running);
}

bool activity::seen_by_engine(replica_id replica) const
{
    const auto known = this->replicas.find(replica);
    return known != this->replicas.end() && known->second.reported;
}

} // namespace roseworks::detail
