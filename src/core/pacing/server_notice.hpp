#pragma once

#include <roseworks/instant.hpp>

#include <cstdint>
#include <optional>

namespace roseworks
{

/// The requests that a backend server has.
struct server_load_notice
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// What an answer of a backend server states about the server itself. It holds
/// for longer than the attempt that it answers.
struct server_notice
{
    /// Requests per second that it accepts from all routers together.
    std::optional<double> rate_limit;
    /// Requests that it may have to reject within a second without falling
    /// over.
    std::optional<double> max_rejections;
    std::optional<server_load_notice> load;
    bool no_room = false; ///< it rejected the request for want of room
    /// The server is about to end, and takes no new requests.
    bool leaving = false;
    /// Another server has its address; the rest is empty then.
    bool replaced = false;
    /// Time for which it wants no requests of this router.
    std::optional<duration> pause;

    /// @return Whether the server took the request although it had others to
    ///         run first.
    bool is_queueing() const
    {
        return this->load && this->load->waiting > 0;
    }

    /// @return Whether the answer announces no limit.
    bool is_empty() const
    {
        return !this->rate_limit && !this->max_rejections;
    }
};

} // namespace roseworks
