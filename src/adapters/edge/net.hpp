#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

/// Short names of the networking libraries, for the edge's sources.

namespace boost::beast::http
{
}

namespace roseworks::edge
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

/// Awaits an operation and returns its error as a value.
inline constexpr auto quietly = asio::as_tuple(asio::use_awaitable);

} // namespace roseworks::edge
