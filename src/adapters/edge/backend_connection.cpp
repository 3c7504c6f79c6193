#include "adapters/edge/backend_connection.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>

namespace roseworks::edge
{

namespace
{

/// The first probe goes out early: `TCP_USER_TIMEOUT` ends a connection once it
/// has passed since the last byte and a probe is unanswered. With a first probe
/// after the timeout, a server that is silent for one interval would be
/// dropped.
constexpr int keepalive_idle_seconds = 1;
constexpr int keepalive_interval_seconds = 1;
constexpr int keepalive_probes = 3;

void set_tcp_option(int handle, int name, int value)
{
    // Best effort: if it fails, the progress timers still end a dead call.
    ::setsockopt(handle, IPPROTO_TCP, name, &value, sizeof(value));
}

} // namespace

void enable_dead_peer_detection(
    tcp::socket& socket, std::chrono::milliseconds tcp_user_timeout)
{
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const int handle = socket.native_handle();
    set_tcp_option(handle, TCP_KEEPIDLE, keepalive_idle_seconds);
    set_tcp_option(handle, TCP_KEEPINTVL, keepalive_interval_seconds);
    set_tcp_option(handle, TCP_KEEPCNT, keepalive_probes);
    set_tcp_option(
        handle, TCP_USER_TIMEOUT, static_cast<int>(tcp_user_timeout.count()));
}

bool parse_address(const std::string& address, tcp::endpoint& into)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return false;
    std::uint16_t port = 0;
    const char* const end = address.data() + address.size();
    const auto [stop, error] =
        std::from_chars(address.data() + colon + 1, end, port);
    if (error != std::errc() || stop != end || port == 0)
        return false;
    std::string ip = address.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    beast::error_code failed;
    const auto parsed = asio::ip::make_address(ip, failed);
    if (failed)
        return false;
    into = tcp::endpoint(parsed, port);
    return true;
}

asio::awaitable<connect_result> connect(
    backend_connection& connection,
    std::chrono::steady_clock::duration limit,
    std::chrono::milliseconds tcp_user_timeout)
{
    tcp::endpoint endpoint;
    if (!parse_address(connection.address, endpoint))
        co_return connect_result::failed;
    connection.stream.expires_after(limit);
    const auto [error] =
        co_await connection.stream.async_connect(endpoint, use_awaitable_tuple);
    if (error == asio::error::connection_refused)
        co_return connect_result::refused;
    if (error)
        co_return connect_result::failed;
    enable_dead_peer_detection(connection.stream.socket(), tcp_user_timeout);
    if (connection.tls_connector == nullptr)
        co_return connect_result::opened;
    const bool secured =
        co_await connection.tls_connector->secure(connection.stream);
    co_return secured ? connect_result::opened : connect_result::failed;
}

} // namespace roseworks::edge
