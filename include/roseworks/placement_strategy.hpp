#pragma once

#include <roseworks/fleet_state.hpp>
#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>
#include <roseworks/specs.hpp>

#include <memory>

namespace roseworks
{

/** Decides how long idle replicas are kept and which are evicted first when
    memory is short.

    A hint: each router has its own strategy, based on the requests it observed.
    Whatever the strategy returns, the fold keeps replicas and memory within the
    declared limits.
*/
class placement_strategy
{
public:
    virtual ~placement_strategy() = default;

    /** Record a use of a servable.

        @param id  The servable.
        @param now Time of the use.
    */
    virtual void used(servable_id id, instant now) = 0;

    /** Time that an idle replica is kept before it is unloaded.

        @param what   The servable.
        @param policy The deployment's weights.
        @return       The time, counted from its last use.
    */
    virtual duration
    hold(const servable_view& what, const policy_spec& policy) const = 0;

    /** Rank of a replica for eviction when an engine's memory is short.

        @param what   The servable.
        @param idle   Time since the replica's last use.
        @param policy The deployment's weights.
        @return       The rank; the replica with the highest is evicted first.
    */
    virtual double eviction_value(
        const servable_view& what,
        duration idle,
        const policy_spec& policy) const = 0;
};

/** Create a strategy.

    @param kind     Kind of strategy; `unset` selects `break_even`.
    @param idle_ttl Time to live of `fixed_ttl`; for the others, the hold of a
                    servable with the reference load time at equal weights.
    @return         The strategy.
*/
std::unique_ptr<placement_strategy>
make_placement_strategy(placement_kind kind, duration idle_ttl);

} // namespace roseworks
