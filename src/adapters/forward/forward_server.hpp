#pragma once

#include "adapters/edge/backend_pool.hpp"
#include "adapters/forward/forward_context.hpp"
#include "adapters/forward/forward_session.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <memory>
#include <unordered_set>

namespace roseworks::forward
{

/** Accepts callers' connections on one event loop and serves them there.

    All functions must be called on that loop. Has to outlive the last run of
    the loop.
*/
class forward_server
{
public:
    forward_server(
        asio::any_io_executor loop,
        forward_context& shared,
        edge::edge_options limits);

    /// Binds to the endpoint and starts to accept connections.
    /// @return The error; empty on success.
    beast::error_code listen(const edge::tcp::endpoint& endpoint);

    /// Sets size and time limits for callers on new connections.
    void set_caller_limits(const caller_bounds& bounds);

    /// From now on, closes each connection after its next response.
    void start_drain();

    /// Stops accepting connections, and closes those without a request.
    void close_idle();

    /// Refuses the waiting calls whose requests are blocked.
    void refuse_blocked();

    /// From now on no request is sent to a server. Those that wait are refused,
    /// and those that were sent go on.
    void stop_sending();

    /// Interrupts all calls, and closes idle connections.
    void force_end();

    void stop();

    std::size_t connections() const
    {
        return this->sessions.size();
    }

    edge::tcp::endpoint local_endpoint() const
    {
        return this->bound_endpoint;
    }

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> run_session(edge::tcp::socket socket);
    asio::awaitable<void> sweep();
    /// Measures how late this event loop is.
    asio::awaitable<void> measure_delay();
    /// Closes a connection before anything of it was read.
    void refuse(edge::tcp::socket& socket);
    /// @return Whether another connection may be served.
    bool takes_connection();
    /// Decides whether connections stay open after their response.
    void update_shedding();
    void report_refused();
    /// Counts and logs the limits that callers have met.
    void report_limits();

    asio::any_io_executor executor;
    forward_context& context;
    edge::edge_options limits;
    edge::backend_pool pool;
    edge::tcp::acceptor acceptor;
    edge::tcp::endpoint bound_endpoint;
    asio::steady_timer sweep_timer;
    asio::steady_timer delay_timer;
    load_guard guard;
    receive_budget memory;
    std::size_t refused = 0; ///< connections since the last report
    std::unordered_set<forward_session*> sessions;
    bool stopped = false;
};

} // namespace roseworks::forward
