#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

/// Namespace aliases and helpers for Asio and Beast.

namespace boost::beast::http
{
}

namespace roseworks::edge
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

/// Completion token: returns the error as a value instead of throwing.
inline constexpr auto use_awaitable_tuple = asio::as_tuple(asio::use_awaitable);

/// Opens an acceptor, binds it to an endpoint and starts to listen.
/// @param receive_buffer Bytes that the kernel holds unread for each accepted
///                       connection; it doubles them for its own use. 0: what
///                       the kernel finds fit, up to megabytes.
inline boost::system::error_code open_listener(
    tcp::acceptor& acceptor,
    const tcp::endpoint& endpoint,
    std::size_t receive_buffer = 0)
{
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    boost::system::error_code ignored;
    if (!error && receive_buffer != 0)
        acceptor.set_option(
            asio::socket_base::receive_buffer_size(
                static_cast<int>(receive_buffer)),
            ignored);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(tcp::acceptor::max_listen_connections, error);
    return error;
}

} // namespace roseworks::edge
