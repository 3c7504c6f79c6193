#include "adapters/platform/http_client.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <sstream>
#include <unordered_set>
#include <utility>

namespace roseworks::platform
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using asio::ip::tcp;
using beast::error_code;
using steady = std::chrono::steady_clock;

namespace
{

constexpr std::size_t max_buffered_bytes = std::size_t(64) << 10;

struct connection
{
    explicit connection(const asio::any_io_executor& executor)
        : stream(executor)
    {
    }

    tls::secure_stream stream;
    steady::time_point idle_since{};
};

using connection_ptr = std::shared_ptr<connection>;

/// @return Whether the rest of the body has a known length that is worth
///         reading without the parser.
bool is_large_rest(const http::response_parser<http::string_body>& parser)
{
    constexpr std::uint64_t min_bytes = std::uint64_t(16) << 10;
    return parser.is_header_done() && !parser.is_done() && !parser.chunked() &&
           parser.content_length_remaining().value_or(0) >= min_bytes;
}

http::request<http::string_body>
make_request(http_call& call, const std::string& host)
{
    constexpr unsigned http_1_1 = 11;
    http::request<http::string_body> request(
        call.method, call.target, http_1_1);
    request.set(http::field::host, host);
    if (!call.content_type.empty())
        request.set(http::field::content_type, call.content_type);
    if (!call.authorization.empty())
        request.set(http::field::authorization, call.authorization);
    if (!call.if_none_match.empty())
        request.set(http::field::if_none_match, call.if_none_match);
    if (!call.header.name.empty())
        request.set(call.header.name, call.header.value);
    request.body() = std::move(call.body);
    request.prepare_payload();
    return request;
}

} // namespace

class http_client::pool
{
public:
    pool(
        asio::any_io_executor executor,
        tcp::endpoint server,
        const options& settings,
        byte_meter& meter)
        : executor(std::move(executor))
        , server(server)
        , host((std::ostringstream() << server).str())
        , settings(settings)
        , meter(meter)
    {
    }

    static asio::awaitable<http_answer>
    exchange(std::shared_ptr<pool> self, http_call call);

    void break_connections()
    {
        this->idle_connections.clear();
        ++this->generation;
        for (connection* active : this->active_connections)
            active->stream.close();
    }

private:
    connection_ptr take_idle()
    {
        const auto min_idle_since =
            steady::now() - this->settings.max_idle_time;
        while (!this->idle_connections.empty())
        {
            connection_ptr last = std::move(this->idle_connections.back());
            this->idle_connections.pop_back();
            if (last->idle_since >= min_idle_since &&
                last->stream.check_idle() == tls::idle_state::no_data)
                return last;
        }
        return {};
    }

    void
    return_to_pool(connection_ptr released, std::uint64_t started_generation)
    {
        if (started_generation != this->generation)
            return;
        released->stream.expires_never();
        released->idle_since = steady::now();
        this->idle_connections.push_back(std::move(released));
        if (this->idle_connections.size() > this->settings.max_idle)
            this->idle_connections.pop_front();
    }

    asio::awaitable<bool> connect(connection& created)
    {
        error_code error;
        created.stream.expires_after(this->settings.connect_timeout);
        co_await created.stream.async_connect(
            this->server, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return false;
        created.stream.socket().set_option(tcp::no_delay(true), error);
        if (this->settings.resets_connections)
            created.stream.socket().set_option(
                asio::socket_base::linger(true, 0), error);
        if (this->settings.tls_connector == nullptr)
            co_return true;
        const bool is_secured =
            co_await this->settings.tls_connector->secure(created.stream);
        co_return is_secured;
    }

    /// Reads one response. The result is `no_answer` if it isn't complete.
    asio::awaitable<http_answer>
    read(connection& from, const http_call& call, bool& is_reusable)
    {
        http_answer answer;
        answer.outcome = exchange_outcome::no_answer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(this->settings.max_answer_bytes);
        // Bounds the head, extensions of chunks and trailers.
        beast::flat_buffer buffer(max_buffered_bytes);
        error_code error;
        const auto deadline = steady::now() + call.total_timeout;
        const auto count = [&](std::size_t received)
        {
            this->meter.received += received;
            answer.received += received;
            ++answer.reads;
            if (call.total_timeout > call.timeout)
                from.stream.expires_after(std::min<steady::duration>(
                    deadline - steady::now(), call.timeout));
        };
        while (!parser.is_done() && !error)
        {
            const std::size_t received = co_await http::async_read_some(
                from.stream,
                buffer,
                parser,
                asio::redirect_error(asio::use_awaitable, error));
            count(received);
            if (!error && is_large_rest(parser))
                break;
        }
        if (error)
            co_return answer;
        std::string body = std::move(parser.get().body());
        std::size_t size = body.size();
        // Each read takes all that has arrived: on a busy event loop, reads of
        // a limited size would delay a large answer by seconds.
        if (!parser.is_done())
        {
            body.resize(size + *parser.content_length_remaining());
            const std::size_t copied = asio::buffer_copy(
                asio::buffer(body.data() + size, body.size() - size),
                buffer.data());
            buffer.consume(copied);
            size += copied;
        }
        while (size < body.size() && !error)
        {
            const std::size_t received = co_await from.stream.async_read_some(
                asio::buffer(body.data() + size, body.size() - size),
                asio::redirect_error(asio::use_awaitable, error));
            count(received);
            size += received;
        }
        if (error)
            co_return answer;

        is_reusable = parser.get().keep_alive() && buffer.size() == 0;
        answer.outcome = exchange_outcome::answered;
        answer.status = parser.get().result_int();
        answer.etag = std::string(parser.get()[http::field::etag]);
        answer.body = std::move(body);
        co_return answer;
    }

    asio::awaitable<http_answer> write_and_read(
        connection_ptr used, http_call& call, std::uint64_t started_generation)
    {
        http_answer answer;
        const http::request<http::string_body> request =
            make_request(call, this->host);
        used->stream.expires_after(call.timeout);
        if (call.may_send && !call.may_send())
        {
            this->return_to_pool(used, started_generation);
            answer.outcome = exchange_outcome::withheld;
            co_return answer;
        }

        error_code error;
        const std::uint64_t bytes_before = used->stream.secured_bytes();
        const std::size_t sent = co_await http::async_write(
            used->stream,
            request,
            asio::redirect_error(asio::use_awaitable, error));
        this->meter.sent += sent;
        if (error)
        {
            const bool is_unsent =
                sent == 0 && used->stream.secured_bytes() == bytes_before;
            answer.outcome = is_unsent ? exchange_outcome::not_sent
                                       : exchange_outcome::no_answer;
            co_return answer;
        }

        bool is_reusable = false;
        answer = co_await this->read(*used, call, is_reusable);
        if (is_reusable)
            this->return_to_pool(used, started_generation);
        co_return answer;
    }

    asio::any_io_executor executor;
    tcp::endpoint server;
    std::string host;
    options settings;
    byte_meter& meter;
    std::deque<connection_ptr> idle_connections;
    std::unordered_set<connection*> active_connections;
    std::uint64_t generation = 0;
};

asio::awaitable<http_answer>
http_client::pool::exchange(std::shared_ptr<pool> self, http_call call)
{
    const std::uint64_t started_generation = self->generation;
    http_answer answer;
    connection_ptr used = self->take_idle();
    const bool is_reused = used != nullptr;
    if (!is_reused)
        used = std::make_shared<connection>(self->executor);

    self->active_connections.insert(used.get());
    bool is_connected = is_reused;
    if (!is_reused)
        is_connected = co_await self->connect(*used);
    if (is_connected && started_generation == self->generation)
        answer = co_await self->write_and_read(used, call, started_generation);
    self->active_connections.erase(used.get());
    co_return answer;
}

http_client::http_client(
    asio::any_io_executor executor,
    tcp::endpoint server,
    const options& settings,
    byte_meter& meter)
    : connections(
          std::make_shared<pool>(std::move(executor), server, settings, meter))
{
}

asio::awaitable<http_answer> http_client::send(http_call call)
{
    return pool::exchange(this->connections, std::move(call));
}

void http_client::break_connections()
{
    this->connections->break_connections();
}

} // namespace roseworks::platform
