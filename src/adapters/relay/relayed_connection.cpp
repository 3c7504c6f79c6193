#include "adapters/relay/relayed_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <tuple>
#include <utility>

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

/// Longer heads of responses aren't read.
constexpr std::size_t max_head_bytes = std::size_t(16) << 10;

/// Time for the second direction to end after the first one.
constexpr std::chrono::seconds half_open_timeout{10};

void reset_on_close(tcp::socket& socket, bool enabled)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(enabled, 0), ignored);
}

} // namespace

relayed_connection::relayed_connection(
    tcp::socket& router_side,
    tcp::socket& server_side,
    std::string server_address,
    relay_watch& known)
    : router(router_side)
    , server(server_side)
    , address(std::move(server_address))
    , watch(known)
    , timer(router_side.get_executor())
{
    reset_on_close(this->router, true);
    reset_on_close(this->server, true);
}

asio::awaitable<void> relayed_connection::run()
{
    using namespace asio::experimental::awaitable_operators;
    co_await (this->copy_requests() && this->copy_responses());
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

asio::awaitable<void> relayed_connection::copy_requests()
{
    std::array<char, buffer_bytes> buffer{};
    while (true)
    {
        const auto [error, size] = co_await this->router.async_read_some(
            asio::buffer(buffer), use_awaitable_tuple);
        if (error)
        {
            this->end_reading(error, true);
            co_return;
        }
        if (this->between_requests)
        {
            std::string rejection = this->watch.rejection_for(this->address);
            if (!rejection.empty())
            {
                co_await this->reject(std::move(rejection));
                co_return;
            }
            this->between_requests = false;
            this->head_expected = true;
            this->head.clear();
        }
        const bool written =
            co_await this->pass_on(this->server, {buffer.data(), size});
        if (!written)
            co_return;
    }
}

asio::awaitable<void> relayed_connection::copy_responses()
{
    std::array<char, buffer_bytes> buffer{};
    while (true)
    {
        const auto [error, size] = co_await this->server.async_read_some(
            asio::buffer(buffer), use_awaitable_tuple);
        if (this->rejecting)
            co_return;
        if (error)
        {
            this->end_reading(error, false);
            co_return;
        }
        this->between_requests = true;
        if (this->head_expected)
            this->read_head({buffer.data(), size});
        const bool written =
            co_await this->pass_on(this->router, {buffer.data(), size});
        if (!written)
            co_return;
    }
}

asio::awaitable<bool>
relayed_connection::pass_on(tcp::socket& to, std::string_view bytes)
{
    const auto [error, size] = co_await asio::async_write(
        to, asio::buffer(bytes.data(), bytes.size()), use_awaitable_tuple);
    if (error && !this->rejecting)
        this->reset();
    co_return !error;
}

void relayed_connection::end_reading(
    const boost::system::error_code& error, bool of_requests)
{
    if (error == asio::error::eof)
        this->end_direction(of_requests ? this->server : this->router);
    else
        this->reset();
}

asio::awaitable<void> relayed_connection::reject(std::string response)
{
    this->rejecting = true;
    boost::system::error_code ignored;
    this->server.close(ignored);
    this->limit_half_open_time();
    auto [error, size] = co_await asio::async_write(
        this->router, asio::buffer(response), use_awaitable_tuple);
    reset_on_close(this->router, false);
    this->router.shutdown(tcp::socket::shutdown_send, ignored);
    // Bytes that aren't read would reset the connection, and the response might
    // be lost.
    std::array<char, buffer_bytes> rest{};
    while (!error)
        std::tie(error, size) = co_await this->router.async_read_some(
            asio::buffer(rest), use_awaitable_tuple);
}

void relayed_connection::read_head(std::string_view bytes)
{
    constexpr std::string_view end = "\r\n\r\n";
    constexpr std::string_view interim = "HTTP/1.1 1";
    this->head += bytes;
    while (true)
    {
        const auto found = this->head.find(end);
        if (found == std::string::npos)
        {
            this->head_expected = this->head.size() <= max_head_bytes;
            return;
        }
        const std::size_t size = found + end.size();
        if (!this->head.starts_with(interim))
        {
            this->head_expected = false;
            this->watch.response_relayed(
                this->address, std::string_view(this->head).substr(0, size));
            return;
        }
        this->head.erase(0, size);
    }
}

void relayed_connection::end_direction(tcp::socket& to)
{
    boost::system::error_code ignored;
    reset_on_close(to, false);
    to.shutdown(tcp::socket::shutdown_send, ignored);
    if (--this->open_directions != 0)
        this->limit_half_open_time();
}

void relayed_connection::limit_half_open_time()
{
    this->timer.expires_after(half_open_timeout);
    this->timer.async_wait(
        [this](const boost::system::error_code& cancelled)
        {
            if (!cancelled)
                this->reset();
        });
}

} // namespace roseworks::relay
