#pragma once

#include "adapters/edge/net.hpp"
#include "adapters/relay/relay_watch.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace roseworks::relay
{

/** Copies bytes between another router and a backend server until both
    directions have ended.

    How one side ends a direction reaches the other side unchanged: an end as an
    end, a reset as a reset. Until a side has ended, closing its socket resets
    it, also when the process ends, so that a part of a response never looks
    complete.

    The other router sends one request at a time. Its first bytes, and those
    after a response, begin a request; one that may not be sent is rejected
    here.
*/
class relayed_connection
{
public:
    /// The sockets are connected. They and the watch outlive the object.
    /// @param server_address ip:port of the server.
    relayed_connection(
        edge::tcp::socket& router_side,
        edge::tcp::socket& server_side,
        std::string server_address,
        relay_watch& watch);

    /// Returns when both directions have ended.
    edge::asio::awaitable<void> run();

    /// Resets both sides.
    void reset();

private:
    edge::asio::awaitable<void> copy_requests();
    edge::asio::awaitable<void> copy_responses();
    /// Writes bytes to one side. Resets both if that fails.
    /// @return Whether they were written.
    edge::asio::awaitable<bool>
    pass_on(edge::tcp::socket& to, std::string_view bytes);
    /// Processes the end of reading from one side.
    void end_reading(const boost::system::error_code& error, bool of_requests);
    /// Answers the request in place of the server, which gets none of it.
    edge::asio::awaitable<void> reject(std::string response);
    /// Collects the head of the response and reports it once it is complete.
    void read_head(std::string_view bytes);
    void end_direction(edge::tcp::socket& to);
    void limit_half_open_time();

    edge::tcp::socket& router;
    edge::tcp::socket& server;
    std::string address; ///< of the server
    relay_watch& watch;
    /// Ends the connection when one side has ended and the other one is silent.
    edge::asio::steady_timer timer;
    int open_directions = 2;
    bool between_requests = true; ///< the next bytes begin a request
    bool head_expected = false;   ///< a response's head isn't complete yet
    bool rejecting = false;
    std::string head; ///< of a response, as far as it was received
};

} // namespace roseworks::relay
