#pragma once

#include <roseworks/fleet_state.hpp>
#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>
#include <roseworks/specs.hpp>

#include <memory>

namespace roseworks
{

/** How long idle replicas are kept, and which goes first when memory is short.

    A hint: each router asks its own strategy, fed with what it saw. Whatever it
    says, the fold keeps replicas and memory within what is declared.
*/
class placement_strategy
{
public:
    virtual ~placement_strategy() = default;

    /** Learn that a servable was used.

        @param id  The servable.
        @param now When.
    */
    virtual void used(servable_id id, instant now) = 0;

    /** How long a replica is kept idle before it is unloaded.

        @param what   The servable.
        @param policy The deployment's weights.
        @return       Time since its last use.
    */
    virtual duration
    hold(const servable_view& what, const policy_spec& policy) const = 0;

    /** Order of eviction when an engine's memory is short.

        @param what   The servable.
        @param idle   Time since the replica's last use.
        @param policy The deployment's weights.
        @return       The replica with the highest value goes first.
    */
    virtual double eviction_value(
        const servable_view& what,
        duration idle,
        const policy_spec& policy) const = 0;
};

/** Make a strategy.

    @param kind     Which; `unset` is taken as `break_even`.
    @param idle_ttl Time to live of `fixed_ttl`; for the others the hold of a
                    servable with the reference load time at equal weights.
    @return         The strategy.
*/
std::unique_ptr<placement_strategy>
make_placement_strategy(placement_kind kind, duration idle_ttl);

} // namespace roseworks
