#pragma once

#include "standins/common/service.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>

namespace roseworks::standins
{

/// An HTTP/1.1 server with keep-alive on one event loop and one thread.
class server
{
public:
    /// Binds and listens at once; throws `boost::system::system_error`.
    ///
    /// @param context  the event loop.
    /// @param endpoint where to listen; port 0 picks a free one.
    /// @param target   answers the requests.
    server(
        asio::io_context& context,
        const asio::ip::tcp::endpoint& endpoint,
        service& target);

    [[nodiscard]] std::uint16_t port() const;

private:
    asio::awaitable<void> accept_connections();

    asio::ip::tcp::acceptor acceptor;
    service& handler;
};

} // namespace roseworks::standins
