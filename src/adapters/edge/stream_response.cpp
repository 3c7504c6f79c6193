#include "adapters/edge/stream_response.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace roseworks::edge
{

namespace
{

constexpr unsigned version_1_1 = 11;
constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace

stream_response::stream_response(
    caller_connection& connection,
    response_context about,
    traffic_observer& counts)
    : caller(connection)
    , context(std::move(about))
    , observer(counts)
{
}

stream_response::~stream_response()
{
    if (this->has_started)
        this->observer.stream_closed();
}

bool stream_response::chunked() const
{
    return this->context.version == version_1_1;
}

asio::awaitable<bool>
stream_response::begin(unsigned status, const http::fields& headers)
{
    this->has_started = true;
    this->sent_status = status;
    this->observer.stream_opened();
    http::response<http::empty_body> answer;
    answer.result(status);
    answer.version(this->context.version);
    copy_end_to_end_headers(headers, answer);
    set_router_headers(answer, this->context.request_id, verdict::answered);
    answer.keep_alive(this->context.keep_alive);
    answer.chunked(this->chunked());
    http::response_serializer<http::empty_body> serializer(answer);
    this->caller.expire_write();
    const auto [error, size] = co_await http::async_write_header(
        this->caller.stream, serializer, use_awaitable_tuple);
    co_return !error;
}

asio::awaitable<bool> stream_response::write(std::string_view bytes)
{
    if (bytes.empty())
        co_return true;
    this->sent_bytes += bytes.size();
    if (!this->chunked())
    {
        const bool sent = co_await this->caller.write_raw(bytes);
        co_return sent;
    }
    this->caller.expire_write();
    const asio::const_buffer data(bytes.data(), bytes.size());
    const auto chunk = http::make_chunk(data);
    const auto [error, size] = co_await asio::async_write(
        this->caller.stream, chunk, use_awaitable_tuple);
    co_return !error;
}

asio::awaitable<bool> stream_response::finish()
{
    if (!this->chunked())
        co_return true;
    const bool sent = co_await this->caller.write_raw(last_chunk);
    co_return sent;
}

asio::awaitable<void> stream_response::cut(const call_problem& problem)
{
    std::string event = "event: error\ndata: ";
    event += to_problem_json(problem, this->context.request_id);
    event += "\n\n";
    const bool sent = co_await this->write(event);
    if (sent)
        co_await this->finish();
}

} // namespace roseworks::edge
