#include "adapters/edge/engine_cancel.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace roseworks::edge
{

namespace
{

constexpr unsigned version_1_1 = 11;

http::request<http::string_body>
make_cancel(const std::string& address, const std::string& request_id)
{
    http::request<http::string_body> request(
        http::verb::post, "/v1/engine/cancel", version_1_1);
    request.set(http::field::host, address);
    request.set(http::field::content_type, "application/json");
    boost::json::object body;
    body["request_id"] = request_id;
    request.body() = boost::json::serialize(body);
    request.prepare_payload();
    return request;
}

} // namespace

asio::awaitable<cancel_result> cancel_run(
    backend_connection& connection,
    const std::string& request_id,
    std::chrono::steady_clock::duration limit)
{
    const auto request = make_cancel(connection.address, request_id);
    connection.stream.expires_after(limit);
    const auto [not_sent, sent] = co_await http::async_write(
        connection.stream, request, use_awaitable_tuple);
    if (not_sent)
        co_return cancel_result::unreachable;
    http::response<http::string_body> answer;
    const auto [error, size] = co_await http::async_read(
        connection.stream, connection.buffer, answer, use_awaitable_tuple);
    if (error)
        co_return cancel_result::unreachable;
    const bool reusable = answer.keep_alive() && connection.buffer.size() == 0;
    co_return reusable ? cancel_result::reusable : cancel_result::answered;
}

asio::awaitable<void> send_cancel(
    backend_connection_ptr connection,
    std::string request_id,
    edge_options options)
{
    const connect_result result = co_await connect(
        *connection, options.connect_timeout, options.tcp_user_timeout);
    if (result == connect_result::opened)
        co_await cancel_run(*connection, request_id, options.cancel_timeout);
}

} // namespace roseworks::edge
