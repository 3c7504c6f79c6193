#include "standins/common/server.hpp"

#include "standins/common/json_fields.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <exception>
#include <string>
#include <utility>

namespace roseworks::standins
{

namespace
{

using tcp = asio::ip::tcp;

constexpr std::uint64_t max_body_bytes = 64ULL * 1024 * 1024;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_internal_error = 500;

asio::awaitable<void> answer(service& handler, exchange& call)
{
    unsigned status = 0;
    std::string reason;
    try
    {
        co_await handler.handle(call);
    }
    catch (const bad_request& error)
    {
        status = status_bad_request;
        reason = error.what();
    }
    catch (const std::exception& error)
    {
        status = status_internal_error;
        reason = error.what();
    }
    if (status != 0 && !call.answered())
    {
        json::object body;
        body["error"] = reason;
        co_await call.send_json(status, std::move(body));
    }
}

asio::awaitable<void> serve(tcp::socket socket, service& handler)
{
    boost::beast::flat_buffer buffer;
    while (true)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        const auto [error, size] = co_await http::async_read(
            socket, buffer, parser, asio::as_tuple(asio::use_awaitable));
        if (error)
        {
            co_return;
        }
        exchange call(socket, parser.get());
        co_await answer(handler, call);
        if (!call.reusable())
        {
            co_return;
        }
    }
}

} // namespace

server::server(
    asio::io_context& context, const tcp::endpoint& endpoint, service& target)
    : acceptor(context, endpoint)
    , handler(target)
{
    asio::co_spawn(context, this->accept_connections(), asio::detached);
}

std::uint16_t server::port() const
{
    return this->acceptor.local_endpoint().port();
}

asio::awaitable<void> server::accept_connections()
{
    while (true)
    {
        auto [error, socket] = co_await this->acceptor.async_accept(
            asio::as_tuple(asio::use_awaitable));
        if (error == asio::error::operation_aborted)
        {
            co_return;
        }
        if (error)
        {
            continue;
        }
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        asio::co_spawn(
            this->acceptor.get_executor(),
            serve(std::move(socket), this->handler),
            asio::detached);
    }
}

} // namespace roseworks::standins
