/// The part of `backend_attempt` that relays an event stream to the caller.

#include "adapters/edge/backend_attempt.hpp"
#include "adapters/edge/sse_reader.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>

#include <array>
#include <utility>

namespace roseworks::edge
{

namespace
{

constexpr std::size_t read_buffer_bytes = std::size_t(16) << 10;

} // namespace

asio::awaitable<void> backend_attempt::relay_stream(header_parser& header)
{
    const edge_options& options = this->pool.context.options;
    const bool is_delimited = !header.need_eof();
    http::response_parser<http::buffer_body> parser(std::move(header));
    std::array<char, read_buffer_bytes> read_buffer;
    if (!this->continues_stream(parser.get().base()))
        co_return;
    sse_reader events(options.stream_buffer_bytes, &this->call.position);
    const std::uint32_t earlier_tokens = this->outcome.result.tokens;
    stream_gap_estimator gaps;
    while (!parser.is_done())
    {
        auto& body = parser.get().body();
        body.data = read_buffer.data();
        body.size = read_buffer.size();
        body.more = true;
        this->start_timer(this->next_event_limit(gaps));
        const auto [error, size] = co_await http::async_read_some(
            this->connection->stream,
            this->connection->buffer,
            parser,
            use_awaitable_tuple);
        if (error && error != http::error::need_buffer)
        {
            this->record_error(error);
            co_return;
        }
        const std::size_t received = read_buffer.size() - body.size;
        const bool accepted = events.feed({read_buffer.data(), received});
        this->outcome.result.tokens = earlier_tokens + events.tokens();
        const std::string ready = events.take_ready();
        if (!ready.empty())
            gaps.record_event(this->pool.context.now());
        const bool written =
            co_await this->write_events(ready, parser.get().base());
        if (!written)
            co_return;
        if (!accepted)
        {
            this->set_end(end::broken);
            co_return;
        }
    }
    const bool states_end = is_delimited && !events.is_inside_event();
    events.finish();
    this->outcome.result.tokens = earlier_tokens + events.tokens();
    const bool done = !events.done_event().empty();
    const bool complete = this->call.is_service() ? states_end : done;
    if (!complete)
    {
        this->set_end(end::broken);
        co_return;
    }
    const std::string last = events.take_ready() + events.done_event();
    const bool written = co_await this->write_events(last, parser.get().base());
    if (!written)
        co_return;
    const bool begun = co_await this->begin_stream(parser.get().base());
    if (!begun)
        co_return;
    const bool finished = co_await this->response.finish();
    this->set_end(finished ? end::answered : end::caller_left);
    this->release(parser.keep_alive());
}

asio::awaitable<bool> backend_attempt::write_events(
    const std::string& events, const response_header& head)
{
    if (events.empty())
        co_return true;
    const bool begun = co_await this->begin_stream(head);
    if (!begun)
        co_return false;
    if (!this->call.resumable())
    {
        // The request can no longer be sent again.
        this->call.body = std::string();
    }
    const bool written = co_await this->response.write(events);
    if (!written)
        this->set_end(end::caller_left);
    co_return written;
}

asio::awaitable<bool> backend_attempt::begin_stream(const response_header& head)
{
    if (!this->first_byte_arrived)
    {
        this->record_first_byte_time();
        this->update_first_byte_estimate();
    }
    if (this->response.started())
        co_return true;
    const bool begun = co_await this->response.begin(head.result_int(), head);
    if (!begun)
        this->set_end(end::caller_left);
    co_return begun;
}

bool backend_attempt::continues_stream(const response_header& head)
{
    const auto tag = head[http::field::etag];
    const bool follows =
        this->call.position.begin_run({tag.data(), tag.size()});
    const bool is_ok = head.result() == http::status::ok;
    if (!this->response.started() || (follows && is_ok))
        return true;
    this->call.position.disable_resume();
    this->set_end(end::broken);
    return false;
}

duration
backend_attempt::next_event_limit(const stream_gap_estimator& gaps) const
{
    const edge_options& options = this->pool.context.options;
    if (!this->first_byte_arrived)
        return this->remaining_first_byte_time();
    if (!this->call.resumable())
        return options.idle_byte_timeout;
    return gaps.limit(options.idle_byte_timeout);
}

} // namespace roseworks::edge
