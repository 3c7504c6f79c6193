#include "adapters/relay/relayed_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <cstddef>

namespace roseworks::relay
{

namespace asio = boost::asio;
using edge::tcp;
using edge::use_awaitable_tuple;

namespace
{

/// Buffer of each direction. Small, since a side that doesn't read has to slow
/// down the other one.
constexpr std::size_t buffer_bytes = std::size_t(16) << 10;

/// Time for the second direction to end after the first one.
constexpr std::chrono::seconds half_open_timeout{10};

void reset_on_close(tcp::socket& socket, bool enabled)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(enabled, 0), ignored);
}

} // namespace

relayed_connection::relayed_connection(
    tcp::socket& router_side, tcp::socket& server_side)
    : router(router_side)
    , server(server_side)
    , timer(router_side.get_executor())
{
    reset_on_close(this->router, true);
    reset_on_close(this->server, true);
}

asio::awaitable<void> relayed_connection::run()
{
    using namespace asio::experimental::awaitable_operators;
    co_await (
        this->copy(this->router, this->server) &&
        this->copy(this->server, this->router));
    this->timer.cancel();
}

void relayed_connection::reset()
{
    boost::system::error_code ignored;
    reset_on_close(this->router, true);
    reset_on_close(this->server, true);
    this->router.close(ignored);
    this->server.close(ignored);
}

asio::awaitable<void>
relayed_connection::copy(tcp::socket& from, tcp::socket& to)
{
    std::array<char, buffer_bytes> buffer{};
    while (true)
    {
        const auto [read_error, size] = co_await from.async_read_some(
            asio::buffer(buffer), use_awaitable_tuple);
        if (read_error == asio::error::eof)
        {
            this->end_direction(to);
            co_return;
        }
        if (read_error)
        {
            this->reset();
            co_return;
        }
        const auto [write_error, written] = co_await asio::async_write(
            to, asio::buffer(buffer.data(), size), use_awaitable_tuple);
        if (write_error)
        {
            this->reset();
            co_return;
        }
    }
}

void relayed_connection::end_direction(tcp::socket& to)
{
    boost::system::error_code ignored;
    reset_on_close(to, false);
    to.shutdown(tcp::socket::shutdown_send, ignored);
    if (--this->open_directions == 0)
        return;
    this->timer.expires_after(half_open_timeout);
    this->timer.async_wait(
        [this](const boost::system::error_code& cancelled)
        {
            if (!cancelled)
                this->reset();
        });
}

} // namespace roseworks::relay
