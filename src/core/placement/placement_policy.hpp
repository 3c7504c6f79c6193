#pragma once

#include <roseworks/fleet_state.hpp>
#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>
#include <roseworks/placement_strategy.hpp>
#include <roseworks/specs.hpp>

#include <memory>

namespace roseworks::detail
{

/** The strategy that the published policy names, or this router's setting
    while it names none.

    Which strategy applies is decided state, the same on every router. What the
    strategy has learned is a hint: it starts anew when the policy names another
    one or another hold.
*/
class placement_policy
{
public:
    /// @param wanted   This router's setting.
    /// @param idle_ttl The same, for the hold.
    placement_policy(placement_kind wanted, duration idle_ttl);

    /// Go by the published policy.
    void follow(const policy_spec& published);

    /// A servable was used; an adapter's use is its base's, too.
    void used(const fleet_state& state, servable_id id, instant now);

    /// @return How long an idle replica of the servable is kept.
    duration hold(const fleet_state& state, const servable_view& what) const;

    /// @return Which of two idle replicas goes first: the one with the higher
    ///         value.
    double eviction_value(
        const fleet_state& state,
        const servable_view& what,
        duration idle) const;

    placement_kind kind() const;

private:
    servable_view
    weighed(const fleet_state& state, const servable_view& what) const;

    placement_kind own_kind;
    duration own_hold;
    placement_kind chosen;
    duration chosen_hold;
    std::unique_ptr<placement_strategy> strategy;
};

/** What a strategy is asked about: an adapter counts as if it took its base's
    load time. It loads in a second but holds no accelerator of its own, and its
    base, which does, stays for it.

    @param what      The servable.
    @param base_load The base's load time in ms.
    @return          The same with the longer load time.
*/
servable_view held_like_base(servable_view what, std::uint32_t base_load);

} // namespace roseworks::detail
