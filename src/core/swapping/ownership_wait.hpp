#pragma once

#include <roseworks/instant.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace roseworks
{

/// What is known of this VM's run before this one.
enum class former_run : std::uint8_t
{
    unknown,     ///< there is no record of it
    never_owned, ///< it never ordered an engine
    owned        ///< it may have ordered engines, until it ended
};

/** How long a router waits after its start before it owns placement.

    Failure prevented: a router that orders an engine, loses ownership with its
    process, and orders that engine again within the lease, after another owner
    did. A process that was started anew can't know its last order's time, so
    that it waits for a whole lease, unless the run before it never owned: after
    a failure of all VMs most of them never did, and the first to be back may
    order at once.

    @param first_start The whole deployment starts just now: nothing was
                       ordered before, and the other routers are yet to come.
*/
constexpr duration
ownership_wait(former_run before, bool first_start, duration lease)
{
    /// For the other routers' records: the stronger VMs apply.
    constexpr duration settling = std::chrono::seconds(1);
    if (first_start)
        return settling;
    if (before == former_run::never_owned)
        return duration::zero();
    return std::max(lease, settling);
}

} // namespace roseworks
