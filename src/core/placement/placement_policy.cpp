#include "core/placement/placement_policy.hpp"

#include <algorithm>
#include <optional>

namespace roseworks::detail
{

placement_policy::placement_policy(placement_kind wanted, duration idle_ttl)
    : own_kind(wanted)
    , own_hold(idle_ttl)
    , chosen(wanted)
    , chosen_hold(idle_ttl)
    , strategy(make_placement_strategy(wanted, idle_ttl))
{
}

void placement_policy::follow(const policy_spec& published)
{
    const placement_kind kind = published.strategy == placement_kind::unset
                                    ? this->own_kind
                                    : published.strategy;
    const duration hold = published.hold_ms == 0
                              ? this->own_hold
                              : std::chrono::milliseconds(published.hold_ms);
    if (kind == this->chosen && hold == this->chosen_hold)
    {
        return;
    }
    this->chosen = kind;
    this->chosen_hold = hold;
    this->strategy = make_placement_strategy(kind, hold);
}

void placement_policy::used(
    const fleet_state& state, servable_id id, instant now)
{
    this->strategy->used(id, now);
    const std::optional<servable_view> view = state.servable(id);
    if (view && view->is_adapter)
    {
        this->strategy->used(view->base, now);
    }
}

duration placement_policy::hold(
    const fleet_state& state, const servable_view& what) const
{
    return this->strategy->hold(this->weighed(state, what), state.policy());
}

double placement_policy::eviction_value(
    const fleet_state& state, const servable_view& what, duration idle) const
{
    return this->strategy->eviction_value(
        this->weighed(state, what), idle, state.policy());
}

placement_kind placement_policy::kind() const
{
    return this->chosen;
}

servable_view placement_policy::weighed(
    const fleet_state& state, const servable_view& what) const
{
    const bool adopted = this->chosen == placement_kind::gap_cost ||
                         this->chosen == placement_kind::gap_cost_preload;
    const std::optional<servable_view> base =
        adopted && what.is_adapter ? state.servable(what.base) : std::nullopt;
    return base ? held_like_base(what, base->load_estimate_ms) : what;
}

servable_view held_like_base(servable_view what, std::uint32_t base_load)
{
    what.load_estimate_ms = std::max(what.load_estimate_ms, base_load);
    return what;
}

} // namespace roseworks::detail
