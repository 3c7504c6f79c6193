#pragma once

#include "adapters/edge/net.hpp"

#include <boost/asio/steady_timer.hpp>

namespace roseworks::relay
{

/** Copies bytes between another router and a backend server until both
    directions have ended.

    How one side ends a direction reaches the other side unchanged: an end as an
    end, a reset as a reset. Until a side has ended, closing its socket resets
    it, also when the process ends, so that a part of a response never looks
    complete.
*/
class relayed_connection
{
public:
    /// The sockets are connected and outlive the object.
    relayed_connection(
        edge::tcp::socket& router_side, edge::tcp::socket& server_side);

    /// Returns when both directions have ended.
    edge::asio::awaitable<void> run();

    /// Resets both sides.
    void reset();

private:
    edge::asio::awaitable<void>
    copy(edge::tcp::socket& from, edge::tcp::socket& to);
    void end_direction(edge::tcp::socket& to);

    edge::tcp::socket& router;
    edge::tcp::socket& server;
    /// Ends the connection when one side has ended and the other one is silent.
    edge::asio::steady_timer timer;
    int open_directions = 2;
};

} // namespace roseworks::relay
