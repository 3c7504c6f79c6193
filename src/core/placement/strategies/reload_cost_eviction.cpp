#include "core/placement/strategies/reload_cost_eviction.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::detail
{

reload_cost_eviction::reload_cost_eviction(
    std::unique_ptr<placement_strategy> inner)
    : holds(std::move(inner))
{
}

void reload_cost_eviction::used(servable_id id, instant now)
{
    this->holds->used(id, now);
}

duration reload_cost_eviction::hold(
    const servable_view& what, const policy_spec& policy) const
{
    return this->holds->hold(what, policy);
}

double reload_cost_eviction::eviction_value(
    const servable_view& what, duration idle, const policy_spec&) const
{
    const double load =
        std::max(1.0, static_cast<double>(what.load_estimate_ms));
    return static_cast<double>(idle.count()) * what.memory_mib / load;
}

} // namespace roseworks::detail
