#include "standins/common/client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace roseworks::standins
{

asio::awaitable<unsigned>
get_status(asio::ip::tcp::endpoint endpoint, std::string target)
{
    constexpr auto quietly = asio::as_tuple(asio::use_awaitable);
    asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
    const auto [refused] = co_await socket.async_connect(endpoint, quietly);
    if (refused)
    {
        co_return 0;
    }
    constexpr unsigned http_1_1 = 11;
    http::request<http::empty_body> request(http::verb::get, target, http_1_1);
    request.set(http::field::host, endpoint.address().to_string());
    request.keep_alive(false);
    const auto [not_sent, sent] =
        co_await http::async_write(socket, request, quietly);
    if (not_sent)
    {
        co_return 0;
    }
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    const auto [no_answer, size] =
        co_await http::async_read(socket, buffer, answer, quietly);
    co_return no_answer ? 0 : answer.result_int();
}

std::string encode_segment(std::string_view text)
{
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

} // namespace roseworks::standins
