#pragma once

#include "adapters/edge/net.hpp"
#include "adapters/relay/relay_messages.hpp"
#include "adapters/tls/secure_stream.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace roseworks::relay
{

/// Largest message of the handshake.
inline constexpr std::size_t max_handshake_bytes = 256;

/// @return The message with its length and checksum.
std::string encode(const relay_request& request);
std::string encode(const relay_reply& reply);

/// Reads one message of the handshake and no byte beyond it, within the time
/// limit of the stream.
/// @return Empty if it is malformed or the connection ended.
edge::asio::awaitable<std::optional<relay_request>>
read_request(tls::secure_stream& stream);

/** Connects to a router and asks it for a connection to a server.

    Closing the stream from elsewhere ends the call.

    @param stream Not open. If the result is `opened`, connected to the server.
    @param limit  Time limit of the whole call.
*/
edge::asio::awaitable<relay_status> ask_router(
    tls::secure_stream& stream,
    edge::tcp::endpoint router,
    const relay_request& request,
    duration limit);

} // namespace roseworks::relay
