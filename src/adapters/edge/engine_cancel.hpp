#pragma once

#include "adapters/edge/backend_connection.hpp"
#include "adapters/edge/edge_options.hpp"

#include <string>

namespace roseworks::edge
{

/// The result of a cancel request to an engine.
enum class cancel_result : std::uint8_t
{
    unreachable, ///< the request or its response failed
    answered,    ///< it responded; the connection is not reusable
    reusable     ///< it responded; the connection is reusable
};

/// Tells an engine, on an open connection, to stop the run of a request.
asio::awaitable<cancel_result> cancel_run(
    backend_connection& connection,
    const std::string& request_id,
    std::chrono::steady_clock::duration limit);

/// Connects and sends a cancel request, best effort. It owns everything that it
/// uses, so it may outlive the pool.
asio::awaitable<void> send_cancel(
    backend_connection_ptr connection,
    std::string request_id,
    edge_options options);

} // namespace roseworks::edge
