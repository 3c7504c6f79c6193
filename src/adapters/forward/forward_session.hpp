#pragma once

#include "adapters/edge/backend_pool.hpp"
#include "adapters/edge/caller_connection.hpp"
#include "adapters/forward/forward_call.hpp"
#include "adapters/forward/forward_context.hpp"

namespace roseworks::forward
{

/// Serves the requests of one caller's connection, one after the other.
class forward_session
{
public:
    /// @param memory For the requests of all callers.
    /// @param limits Limits for the caller. They apply for the lifetime of the
    ///               connection.
    forward_session(
        forward_context& shared,
        edge::backend_pool& connections,
        receive_budget& memory,
        edge::tcp::socket socket,
        const edge::edge_options& limits);

    /// Serves requests until the connection ends.
    asio::awaitable<void> run();

    /// Closes the connection if no request has begun.
    void close_idle();

    /// Refuses the running call if it waits and its request is blocked.
    void refuse_blocked();

    /// Refuses the call if it waits to be sent to a server.
    void refuse_waiting();

    /// Interrupts the running call. Without one, closes the connection.
    void force_end();

private:
    asio::awaitable<bool> handle_next_request();
    asio::awaitable<bool> handle_request(forward_request request);
    asio::awaitable<bool>
    send_response(local_response response, const forward_request& request);
    /// @return The given response, or a retryable one if other routers have a
    ///         newer configuration.
    local_response retry_if_outdated(local_response permanent_error) const;
    asio::awaitable<void> reject_request(
        const edge::call_problem& problem, const edge::caller_parser& parser);

    forward_context& context;
    edge::backend_pool& pool;
    const edge::edge_options options;
    edge::caller_connection connection;
    forward_call* active_call = nullptr;
};

} // namespace roseworks::forward
