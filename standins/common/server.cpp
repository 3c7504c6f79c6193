#include "standins/common/server.hpp"

#include "standins/common/json_fields.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <chrono>
#include <exception>
#include <string>
#include <utility>

namespace roseworks::standins
{

namespace
{

using tcp = asio::ip::tcp;

constexpr std::uint64_t max_body_bytes = 64ULL * 1024 * 1024;
constexpr std::chrono::seconds handshake_limit{10};
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_internal_error = 500;

/// Files that can't be used leave the context as it was.
tls::context_ptr newest(tls::context_source& contexts)
{
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_CHECK(contexts.reload());
            return {};
        },
        [] {});
    return contexts.current();
}

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

asio::awaitable<void>
serve(tcp::socket socket, service& handler, tls::context_source* contexts)
{
    tls::secure_stream stream(std::move(socket));
    if (contexts != nullptr)
    {
        stream.expires_after(handshake_limit);
        const bool secured = co_await stream.accept_tls(newest(*contexts));
        if (!secured)
        {
            co_return;
        }
        stream.expires_never();
    }
    boost::beast::flat_buffer buffer;
    while (true)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        const auto [error, size] = co_await http::async_read(
            stream, buffer, parser, asio::as_tuple(asio::use_awaitable));
        if (error)
        {
            co_return;
        }
        exchange call(stream, parser.get());
        co_await answer(handler, call);
        if (!call.reusable())
        {
            co_return;
        }
    }
}

} // namespace

server::server(
    asio::io_context& context,
    const tcp::endpoint& endpoint,
    service& target,
    tls::context_source* secure)
    : acceptor(context, endpoint)
    , handler(target)
    , contexts(secure)
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
            serve(std::move(socket), this->handler, this->contexts),
            asio::detached);
    }
}

} // namespace roseworks::standins
