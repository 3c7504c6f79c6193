#pragma once

#include "core/pacing/server_limits.hpp"
#include "core/pacing/server_notice.hpp"

#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace roseworks
{

/** Decides from a server's answers whether it is saturated.

    Load pattern: routers that each know only their own requests at a server
    fill its queue together. Each answer is late then, although the server gives
    as many answers as with a short queue.
*/
struct saturation_rule
{
    /// Requests that may wait at a saturated server, as a share of its slots.
    double queue_share = 0.1;

    /// @return Requests that all routers together may have at a saturated
    ///         server.
    double places(std::uint32_t slots) const
    {
        return static_cast<double>(slots) + this->queue_places(slots);
    }

    /** @return Whether an answer shows a saturated server.

        A server whose places are counted never has a long queue. It remains
        saturated while its slots are full, since its queue would be full again
        as soon as its places aren't counted.

        @param is_saturated Whether it counted as saturated before.
    */
    bool is_shown(
        const server_notice& notice,
        std::uint32_t slots,
        bool is_saturated) const
    {
        if (!notice.load)
            return notice.no_room;
        // A server also rejects requests for a model that it is loading.
        const bool is_full =
            notice.load->running + notice.load->waiting >= slots;
        if (is_saturated || notice.no_room)
            return is_full;
        return notice.load->waiting > this->queue_places(slots);
    }

private:
    double queue_places(std::uint32_t slots) const
    {
        const double share = this->queue_share * static_cast<double>(slots);
        return std::floor(share);
    }
};

/** Names under which routers exchange which servers are saturated, in the same
    messages as the rate limits of servers. They can't clash with the id of a
    server, which doesn't begin with a control character. */
inline std::string saturated_server_key(std::string_view server)
{
    return "\x01"
           "saturated " +
           std::string(server);
}

/// @return Whether the name stands for a saturated server.
inline bool is_saturated_server_key(std::string_view key)
{
    return key.starts_with("\x01"
                           "saturated ");
}

/// @param key Must stand for a saturated server.
inline std::string_view server_of_saturated_key(std::string_view key)
{
    return key.substr(saturated_server_key({}).size());
}

/// @return The options for the servers that are saturated. A server is so until
///         answers have shown for a while that it isn't.
inline server_limits::options saturated_server_options(std::string router)
{
    server_limits::options made;
    made.router = std::move(router);
    made.end_delay = std::chrono::milliseconds(2500);
    return made;
}

} // namespace roseworks
