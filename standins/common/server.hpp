#pragma once

#include "adapters/tls/context_source.hpp"
#include "standins/common/service.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>

namespace roseworks::standins
{

/// An HTTP/1.1 server with keep-alive on one event loop and one thread. Over
/// TLS, each new connection has the certificates that its files hold by then.
class server
{
public:
    /// Binds and listens at once; throws `boost::system::system_error`.
    ///
    /// @param context  the event loop.
    /// @param endpoint where to listen; port 0 picks a free one.
    /// @param target   answers the requests.
    /// @param secure   makes TLS contexts; null: plain HTTP.
    server(
        asio::io_context& context,
        const asio::ip::tcp::endpoint& endpoint,
        service& target,
        tls::context_source* secure = nullptr);

    [[nodiscard]] std::uint16_t port() const;

private:
    asio::awaitable<void> accept_connections();

    asio::ip::tcp::acceptor acceptor;
    service& handler;
    tls::context_source* contexts;
};

} // namespace roseworks::standins
