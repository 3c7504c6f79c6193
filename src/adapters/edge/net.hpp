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
inline boost::system::error_code
open_listener(tcp::acceptor& acceptor, const tcp::endpoint& endpoint)
{
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(tcp::acceptor::max_listen_connections, error);
    return error;
}

} // namespace roseworks::edge
