#pragma once

#include <roseworks/membership.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace roseworks::detail
{

/** News to be carried on datagrams, the least sent first.

    An update is dropped after it was sent `3 * log2(members + 1)` times, which
    spreads it to all with high probability. A hint's transport.
*/
class update_queue
{
public:
    /// Queue news; replaces older news of the same member.
    void push(const member_update& update);

    /** Take the updates for one datagram.

        @param members Size of the fleet; sets how often each is sent.
        @return        At most `membership::max_updates`.
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
