#pragma once

#include "adapters/edge/net.hpp"
#include "adapters/tls/connector.hpp"
#include "adapters/tls/secure_stream.hpp"

#include <roseworks/instant.hpp>

#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace roseworks::edge
{

/// Bytes read ahead of a backend server at most, and its header's limit.
inline constexpr std::size_t max_buffered = std::size_t(16) << 10;

/// A connection to a backend server; carries one exchange at a time.
struct backend_connection
{
    backend_connection(
        const asio::any_io_executor& executor,
        std::string where,
        std::uint64_t number,
        instant now,
        const tls::connector* tls)
        : stream(executor)
        , buffer(max_buffered)
        , address(std::move(where))
        , serial(number)
        , opened(now)
        , last_used(now)
        , secured_by(tls)
    {
    }

    tls::secure_stream stream;
    beast::flat_buffer buffer;
    std::string address;  ///< ip:port
    std::uint64_t serial; ///< later ones are higher
    instant opened;
    instant last_used;                ///< end of the last exchange
    bool pooled = false;              ///< has carried an exchange before
    const tls::connector* secured_by; ///< null: plain
};

using backend_connection_ptr = std::unique_ptr<backend_connection>;

/// @param address `ip:port`, the ip of version 6 in brackets.
/// @param into    set when the address can be read.
/// @return        whether it can.
bool parse_address(const std::string& address, tcp::endpoint& into);

/// Connects, sets what finds dead peers (keepalive probes and a limit on
/// unacknowledged data), and secures the connection where it has to be.
/// @param limit For connecting and the handshake together.
/// @return Whether it is connected.
asio::awaitable<bool> connect(
    backend_connection& connection,
    std::chrono::steady_clock::duration limit,
    std::chrono::milliseconds unacknowledged);

} // namespace roseworks::edge
