#include "adapters/edge/caller_connection.hpp"

#include "adapters/edge/head_scan.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace roseworks::edge
{

namespace
{

constexpr std::size_t read_bytes = std::size_t(4) << 10;
constexpr std::size_t body_read_bytes = std::size_t(16) << 10;
constexpr std::size_t max_linger_bytes = std::size_t(256) << 10;
constexpr std::chrono::seconds linger_timeout{1};
constexpr std::string_view continue_answer = "HTTP/1.1 100 Continue\r\n\r\n";

caller_read closed()
{
    return {caller_read::status::closed, {}};
}

caller_read malformed(std::string detail, unsigned status)
{
    return {
        caller_read::status::malformed,
        client_error(std::move(detail), status)};
}

caller_read to_read_result(beast::error_code error)
{
    if (error == http::error::body_limit)
        return malformed("the body is over the limit", 413);
    if (error == http::error::header_limit)
        return malformed("the header is over the limit", 431);
    return malformed(error.message(), 400);
}

std::string_view view(const beast::flat_buffer& buffer)
{
    const auto data = buffer.data();
    return {static_cast<const char*>(data.data()), data.size()};
}

} // namespace

caller_connection::caller_connection(
    tcp::socket accepted, const edge_options& limits)
    : stream(std::move(accepted))
    , options(limits)
{
}

asio::awaitable<bool> caller_connection::secure(tls::context_ptr certificate)
{
    this->stream.expires_after(this->options.head_timeout);
    const bool done = co_await this->stream.accept_tls(std::move(certificate));
    co_return done;
}

asio::awaitable<caller_read> caller_connection::read_head(
    caller_parser& parser, std::chrono::milliseconds idle)
{
    caller_read waited = co_await this->wait_for_request(idle);
    if (waited.result != caller_read::status::done)
        co_return waited;
    caller_read read = co_await this->read_whole_head();
    if (read.result != caller_read::status::done)
        co_return read;
    beast::error_code error;
    const std::size_t used = parser.put(this->buffer.data(), error);
    this->buffer.consume(used);
    if (error)
        co_return to_read_result(error);
    if (!parser.is_header_done())
        co_return malformed("the head is incomplete", 400);
    co_return caller_read{};
}

asio::awaitable<caller_read>
caller_connection::wait_for_request(std::chrono::milliseconds idle)
{
    if (this->buffer.size() != 0)
        co_return caller_read{};
    this->buffer.shrink_to_fit();
    this->between_requests = true;
    this->stream.expires_after(idle);
    const bool received = co_await this->read_some(read_bytes);
    this->between_requests = false;
    if (!received)
        co_return closed();
    co_return caller_read{};
}

asio::awaitable<caller_read> caller_connection::read_whole_head()
{
    head_scan scan;
    this->stream.expires_after(this->options.head_timeout);
    while (true)
    {
        const auto known = scan.feed(view(this->buffer));
        if (known == head_scan::status::malformed)
            co_return malformed(std::string(scan.fault()), 400);
        if (scan.size() > this->options.max_header_bytes)
            co_return malformed("the header is over the limit", 431);
        if (known == head_scan::status::complete)
            co_return caller_read{};
        const bool received = co_await this->read_some(read_bytes);
        if (!received)
            co_return closed();
    }
}

asio::awaitable<bool> caller_connection::read_some(std::size_t max_bytes)
{
    const auto space = this->buffer.prepare(max_bytes);
    const auto [error, size] =
        co_await this->stream.async_read_some(space, use_awaitable_tuple);
    if (error)
        co_return false;
    this->buffer.commit(size);
    co_return true;
}

asio::awaitable<caller_read> caller_connection::read_body(caller_parser& parser)
{
    const auto expect = parser.get()[http::field::expect];
    if (!expect.empty() && !beast::iequals(expect, "100-continue"))
        co_return malformed("Expect takes 100-continue", 417);
    if (!expect.empty() && !parser.is_done() && this->buffer.size() == 0)
    {
        const bool sent = co_await this->write_raw(continue_answer);
        if (!sent)
            co_return closed();
    }
    parser.eager(true);
    this->stream.expires_after(this->options.body_timeout);
    while (!parser.is_done())
    {
        caller_read parsed = this->parse_body(parser);
        if (parsed.result != caller_read::status::done)
            co_return parsed;
        if (parser.is_done())
            break;
        const bool received = co_await this->read_some(body_read_bytes);
        if (!received)
            co_return closed();
    }
    co_return caller_read{};
}

caller_read caller_connection::parse_body(caller_parser& parser)
{
    if (this->buffer.size() == 0)
        return {};
    beast::error_code error;
    const std::size_t used = parser.put(this->buffer.data(), error);
    this->buffer.consume(used);
    if (error && error != http::error::need_more)
        return to_read_result(error);
    // The parser leaves an incomplete chunk header or incomplete trailers, for
    // which it has no limit of its own.
    if (this->buffer.size() > this->options.max_header_bytes)
        return malformed("a chunk header or the trailers are too large", 431);
    return {};
}

asio::awaitable<bool> caller_connection::write(buffered_response& answer)
{
    this->expire_write();
    const auto [error, size] =
        co_await http::async_write(this->stream, answer, use_awaitable_tuple);
    co_return !error;
}

asio::awaitable<bool>
caller_connection::write_head_only(const buffered_response& answer)
{
    http::response_serializer<http::string_body> serializer(answer);
    this->expire_write();
    const auto [error, size] = co_await http::async_write_header(
        this->stream, serializer, use_awaitable_tuple);
    co_return !error;
}

asio::awaitable<bool> caller_connection::write_raw(std::string_view bytes)
{
    this->expire_write();
    const asio::const_buffer data(bytes.data(), bytes.size());
    const auto [error, size] =
        co_await asio::async_write(this->stream, data, use_awaitable_tuple);
    co_return !error;
}

void caller_connection::begin_unframed()
{
    beast::error_code ignored;
    this->stream.socket().set_option(
        asio::socket_base::linger(true, 0), ignored);
    this->is_unframed = true;
}

void caller_connection::end_unframed()
{
    beast::error_code ignored;
    this->stream.socket().set_option(
        asio::socket_base::linger(false, 0), ignored);
    this->is_unframed = false;
}

asio::awaitable<void> caller_connection::linger_close()
{
    if (this->is_unframed)
    {
        this->stream.close();
        co_return;
    }
    this->stream.expires_after(linger_timeout);
    co_await this->stream.shutdown_tls();
    beast::error_code error;
    this->stream.socket().shutdown(tcp::socket::shutdown_send, error);
    if (error)
        co_return;
    std::array<char, read_bytes> discarded;
    std::size_t total = 0;
    while (total < max_linger_bytes)
    {
        const auto [failed, size] = co_await this->stream.async_read_raw(
            asio::buffer(discarded), use_awaitable_tuple);
        if (failed)
            co_return;
        total += size;
    }
}

bool caller_connection::peer_closed()
{
    if (this->stream.secured())
        return this->stream.peer_closing();
    char byte = 0;
    const auto count = ::recv(
        this->stream.socket().native_handle(),
        &byte,
        1,
        MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
        return false;
    return count == 0 || (errno != EAGAIN && errno != EINTR);
}

void caller_connection::stop_waiting()
{
    beast::error_code error;
    const bool begun = this->stream.socket().available(error) != 0;
    if (this->between_requests && !begun)
        this->stream.cancel();
}

} // namespace roseworks::edge
