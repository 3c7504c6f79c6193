#include "adapters/edge/stream_answer.hpp"

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

stream_answer::stream_answer(
    caller_connection& connection, answer_frame about, traffic_observer& counts)
    : caller(connection)
    , frame(std::move(about))
    , observer(counts)
{
}

stream_answer::~stream_answer()
{
    if (this->has_begun)
        this->observer.stream_closed();
}

bool stream_answer::chunked() const
{
    return this->frame.version == version_1_1;
}

asio::awaitable<bool>
stream_answer::begin(unsigned status, const http::fields& headers)
{
    this->has_begun = true;
    this->sent_status = status;
    this->observer.stream_opened();
    http::response<http::empty_body> answer;
    answer.result(status);
    answer.version(this->frame.version);
    copy_end_to_end(headers, answer);
    stamp(answer, this->frame.request_id, verdict::answered);
    answer.keep_alive(this->frame.keep_alive);
    answer.chunked(this->chunked());
    http::response_serializer<http::empty_body> serializer(answer);
    this->caller.expire_write();
    const auto [error, size] = co_await http::async_write_header(
        this->caller.stream, serializer, quietly);
    co_return !error;
}

asio::awaitable<bool> stream_answer::write(std::string_view bytes)
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
    const auto [error, size] =
        co_await asio::async_write(this->caller.stream, chunk, quietly);
    co_return !error;
}

asio::awaitable<bool> stream_answer::finish()
{
    if (!this->chunked())
        co_return true;
    const bool sent = co_await this->caller.write_raw(last_chunk);
    co_return sent;
}

asio::awaitable<void> stream_answer::cut(const call_problem& problem)
{
    std::string event = "event: error\ndata: ";
    event += to_document(problem, this->frame.request_id);
    event += "\n\n";
    const bool sent = co_await this->write(event);
    if (sent)
        co_await this->finish();
}

} // namespace roseworks::edge
