#pragma once

#include "adapters/edge/backend_connection.hpp"
#include "adapters/edge/edge_options.hpp"

#include <string>

namespace roseworks::edge
{

/// How an engine took a cancel.
enum class cancel_end : std::uint8_t
{
    unreachable, ///< it didn't connect or didn't answer
    answered,    ///< it answered; the connection can't be used again
    kept         ///< it answered, and the connection can be used
};

/// Tells an engine to stop a request's run on an open connection.
asio::awaitable<cancel_end> cancel_on(
    backend_connection& connection,
    const std::string& request_id,
    std::chrono::steady_clock::duration limit);

/// The same on a connection of its own; best effort. Owns all that it uses, so
/// that it may outlive the pool.
asio::awaitable<void> send_cancel(
    backend_connection_ptr connection,
    std::string request_id,
    edge_options options);

} // namespace roseworks::edge
