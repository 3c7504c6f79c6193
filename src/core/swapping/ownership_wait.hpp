#pragma once

#include <roseworks/instant.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace roseworks
{

/// What is known about the router's previous run on this VM.
enum class previous_run : std::uint8_t
{
    unknown,     ///< no record of it was found
    never_owned, ///< it never sent an order to an engine
    owned        ///< it may have sent orders to engines until it ended
};

/** Returns how long a router waits after its start before it may own placement.

    Two owners must not send orders to one engine alternately within the lease.
    That could happen when a router sends an order, restarts, and sends the
    engine another order after a different owner did. A restarted process
    doesn't know when its last order was sent, so it waits for a whole lease. It
    doesn't have to wait when its previous run never owned placement. After a
    failure of all VMs this is true of most routers, and the first one that is
    back may send orders at once.

    @param first_start The whole deployment is starting: no order was ever
                       sent, and other routers may still register.
*/
constexpr duration
ownership_wait(previous_run previous, bool first_start, duration lease)
{
    /// Time for the other routers' records to arrive: routers on stronger VMs
    /// apply for ownership first.
    constexpr duration settling_time = std::chrono::seconds(1);
    if (first_start)
        return settling_time;
    if (previous == previous_run::never_owned)
        return duration::zero();
    return std::max(lease, settling_time);
}

} // namespace roseworks
