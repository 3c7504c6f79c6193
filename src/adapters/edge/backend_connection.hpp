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

/// Limit of the bytes read ahead from a backend server, and of the size of its
/// response header.
inline constexpr std::size_t max_read_ahead_bytes = std::size_t(16) << 10;

/// A connection to a backend server. It carries one exchange at a time.
struct backend_connection
{
    backend_connection(
        const asio::any_io_executor& executor,
        std::string where,
        std::uint64_t number,
        instant now,
        const tls::connector* tls)
        : stream(executor)
        , buffer(max_read_ahead_bytes)
        , address(std::move(where))
        , serial(number)
        , opened(now)
        , last_used(now)
        , tls_connector(tls)
    {
    }

    tls::secure_stream stream;
    beast::flat_buffer buffer;
    std::string address;  ///< ip:port
    std::uint64_t serial; ///< increases with each new connection
    instant opened;
    instant last_used;      ///< end of the last exchange
    bool pooled = false;    ///< has carried an exchange before
    bool abandoned = false; ///< nobody waits for it any more
    std::string relay;      ///< name of the router that relays it; empty: none
    const tls::connector* tls_connector; ///< null: plain TCP
};

using backend_connection_ptr = std::unique_ptr<backend_connection>;

/// @param address `ip:port`; an IPv6 address is in brackets.
/// @param into    Set if the address is valid.
/// @return        Whether the address is valid.
bool parse_address(const std::string& address, tcp::endpoint& into);

/// Lets the kernel detect that the peer of a connection is gone. A peer that is
/// silent for a second isn't.
/// @param tcp_user_timeout Time without an acknowledgement after which the
///                         connection fails. It also ends keepalive probes,
///                         whatever their number.
void enable_dead_peer_detection(
    tcp::socket& socket, std::chrono::milliseconds tcp_user_timeout);

/// The result of opening a connection.
enum class connect_result : std::uint8_t
{
    opened,
    refused, ///< the address refused the connection
    failed   ///< no answer in time, or another error
};

/// Connects, enables the detection of dead peers (keepalive probes and
/// `TCP_USER_TIMEOUT`), and does the TLS handshake if the connection has a
/// connector.
/// @param limit            Time limit for connecting and the handshake
/// together.
/// @param tcp_user_timeout The value of `TCP_USER_TIMEOUT`.
asio::awaitable<connect_result> connect(
    backend_connection& connection,
    std::chrono::steady_clock::duration limit,
    std::chrono::milliseconds tcp_user_timeout);

} // namespace roseworks::edge
