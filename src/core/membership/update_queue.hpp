#pragma once

#include <roseworks/membership.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace roseworks::detail
{

/** Updates of members to piggyback on datagrams, the least sent first.

    An update is dropped after it was sent `3 * log2(members + 1)` times, which
    reaches all members with high probability. Advisory: nothing is decided by
    it.
*/
class update_queue
{
public:
    /// Queues an update; replaces an older update of the same member.
    void push(const member_update& update);

    /** Returns the updates for one datagram.

        @param members Number of other members; sets how often an update is
       sent.
        @return        At most `membership::max_updates` updates.
    */
    std::vector<member_update> take(std::size_t members);

private:
    struct entry
    {
        member_update update;
        std::uint32_t sent = 0;
    };

    std::vector<entry> entries;
};

} // namespace roseworks::detail
