#include "adapters/edge/caller_connection.hpp"

#include "adapters/edge/head_scan.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
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

/// A caller that sends nothing for this time after its last response, or
/// something for longer than the second time, is reset.
constexpr std::chrono::seconds linger_timeout{1};
constexpr std::chrono::seconds max_linger_time{5};

/// A body grows by doubling, from this size on.
constexpr std::size_t min_body_capacity = std::size_t(16) << 10;

/// A head is held as it was read, parsed, and as it is sent on.
constexpr std::size_t head_copies = 2;

/// Other routers may have memory at once.
constexpr std::chrono::milliseconds memory_retry_after{200};
constexpr std::string_view continue_answer = "HTTP/1.1 100 Continue\r\n\r\n";

caller_read closed()
{
    return {caller_read::status::closed, {}};
}

caller_read rejected(call_problem problem)
{
    return {caller_read::status::rejected, std::move(problem)};
}

caller_read malformed(std::string detail, unsigned status = 400)
{
    return rejected(client_error(std::move(detail), status));
}

/// @return The refusal of a request for which there is no memory. No backend
///         server has it.
caller_read no_memory()
{
    return rejected(make_problem(
        refusal_reason::queue_full, verdict::not_run, memory_retry_after));
}

std::string_view view(const beast::flat_buffer& buffer)
{
    const auto data = buffer.data();
    return {static_cast<const char*>(data.data()), data.size()};
}

} // namespace

caller_connection::caller_connection(
    tcp::socket accepted,
    const edge_options& limits,
    receive_budget& memory,
    const clock_port& time)
    : stream(std::move(accepted))
    , options(limits)
    , clock(time)
    , share(
          memory,
          [this]
          {
              return this->displace();
          })
{
    this->share.wait(this->clock.now());
}

bool caller_connection::displace()
{
    if (this->is_closing)
    {
        this->stream.close();
        return true;
    }
    if (this->between_requests)
        return this->stop_waiting();
    this->is_displaced = true;
    if (this->receiving != nullptr)
    {
        std::string().swap(this->receiving->get().body());
        this->hold(0);
    }
    this->stream.cancel();
    return true;
}

bool caller_connection::hold(std::size_t body_capacity)
{
    const std::size_t bytes = this->buffer.capacity() +
                              this->head_bytes * head_copies + body_capacity;
    return this->share.hold(bytes, this->clock.now());
}

void caller_connection::release()
{
    this->buffer.clear();
    this->buffer.shrink_to_fit();
    this->head_bytes = 0;
    this->hold(0);
}

caller_read caller_connection::over_limit(receive_limit limit)
{
    this->share.count(limit);
    switch (limit)
    {
    case receive_limit::header:
        return malformed("the header is over the limit", 431);
    case receive_limit::framing:
        return malformed("a chunk header or the trailers are too large", 431);
    default:
        return malformed("the body is over the limit", 413);
    }
}

caller_read caller_connection::to_read_result(beast::error_code error)
{
    if (error == http::error::body_limit)
        return this->over_limit(receive_limit::body);
    if (error == http::error::header_limit)
        return this->over_limit(receive_limit::header);
    return malformed(error.message());
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
    {
        this->release();
        co_return read;
    }
    beast::error_code error;
    const std::size_t used = parser.put(this->buffer.data(), error);
    this->buffer.consume(used);
    if (error)
        co_return this->to_read_result(error);
    if (!parser.is_header_done())
        co_return malformed("the head is incomplete");
    co_return caller_read{};
}

asio::awaitable<caller_read>
caller_connection::wait_for_request(std::chrono::milliseconds idle)
{
    if (this->buffer.size() != 0)
        co_return caller_read{};
    this->buffer.shrink_to_fit();
    this->between_requests = true;
    this->head_bytes = 0;
    this->share.wait(this->clock.now());
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
    this->share.begin(this->clock.now());
    this->stream.expires_after(this->options.head_timeout);
    while (true)
    {
        const auto known = scan.feed(view(this->buffer));
        if (known == head_scan::status::malformed)
            co_return malformed(std::string(scan.fault()));
        this->head_bytes = scan.size();
        if (scan.size() > this->options.max_header_bytes)
            co_return this->over_limit(receive_limit::header);
        if (!this->hold(0))
            co_return no_memory();
        if (known == head_scan::status::complete)
            co_return caller_read{};
        const bool received = co_await this->read_some(read_bytes);
        if (this->is_displaced)
            co_return no_memory();
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
    this->share.received(size, this->clock.now());
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
    this->receiving = &parser;
    this->stream.expires_after(this->options.body_timeout);
    caller_read read;
    while (!parser.is_done() && read.result == caller_read::status::done)
        read = co_await this->read_body_piece(parser);
    this->receiving = nullptr;
    if (read.result == caller_read::status::done)
    {
        this->finish_request(parser);
        co_return read;
    }
    std::string().swap(parser.get().body());
    this->release();
    co_return read;
}

asio::awaitable<caller_read>
caller_connection::read_body_piece(caller_parser& parser)
{
    const caller_read parsed = this->parse_body(parser);
    if (parser.is_done() || parsed.result != caller_read::status::done)
        co_return parsed;
    const bool received = co_await this->read_some(body_read_bytes);
    if (this->is_displaced)
        co_return no_memory();
    co_return received ? caller_read{} : closed();
}

void caller_connection::finish_request(const caller_parser& parser)
{
    if (this->buffer.size() == 0)
        this->buffer.shrink_to_fit();
    this->hold(parser.get().body().capacity());
    this->share.complete();
}

caller_read caller_connection::parse_body(caller_parser& parser)
{
    if (this->buffer.size() == 0)
        return {};
    if (!this->make_room(parser))
        return no_memory();
    beast::error_code error;
    const std::size_t used = parser.put(this->buffer.data(), error);
    this->buffer.consume(used);
    if (error && error != http::error::need_more)
        return this->to_read_result(error);
    // The parser leaves an incomplete chunk header or incomplete trailers, for
    // which it has no limit of its own.
    if (this->buffer.size() > this->options.max_header_bytes)
        return this->over_limit(receive_limit::framing);
    return {};
}

bool caller_connection::make_room(caller_parser& parser)
{
    std::string& body = parser.get().body();
    const std::size_t needed = body.size() + this->buffer.size();
    if (needed <= body.capacity())
        return this->hold(body.capacity());
    const std::uint64_t limit = this->options.max_body_bytes;
    const auto longest = static_cast<std::size_t>(
        std::min(parser.content_length().value_or(limit), limit));
    const std::size_t capacity = std::clamp(
        std::max(2 * body.capacity(), min_body_capacity),
        needed,
        std::max(needed, longest));
    // Both strings exist while the bytes move.
    if (!this->hold(body.capacity() + capacity))
        return false;
    std::string grown;
    grown.reserve(capacity);
    grown += body;
    body.swap(grown);
    return this->hold(body.capacity());
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
    this->is_closing = true;
    this->share.close();
    this->stream.expires_after(linger_timeout);
    co_await this->stream.shutdown_tls();
    beast::error_code error;
    this->stream.socket().shutdown(tcp::socket::shutdown_send, error);
    const instant end = this->clock.now() + max_linger_time;
    std::array<char, read_bytes> discarded;
    while (!error && this->clock.now() < end)
    {
        this->stream.expires_after(linger_timeout);
        const auto [failed, size] = co_await this->stream.async_read_raw(
            asio::buffer(discarded), use_awaitable_tuple);
        error = failed;
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

bool caller_connection::stop_waiting()
{
    beast::error_code error;
    const bool begun = this->stream.socket().available(error) != 0;
    if (!this->between_requests || begun)
        return false;
    this->stream.cancel();
    return true;
}

} // namespace roseworks::edge
