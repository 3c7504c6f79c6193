/// The part of `backend_leg` that relays an event stream to the caller.

#include "adapters/edge/backend_leg.hpp"
#include "adapters/edge/sse_reader.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>

#include <array>
#include <utility>

namespace roseworks::edge
{

namespace
{

constexpr std::size_t piece_bytes = std::size_t(16) << 10;

} // namespace

asio::awaitable<void> backend_leg::relay(header_parser& header)
{
    const edge_options& options = this->pool.context.options;
    const bool verifiable = !header.need_eof();
    http::response_parser<http::buffer_body> parser(std::move(header));
    std::array<char, piece_bytes> piece;
    if (!this->joins(parser.get().base()))
        co_return;
    sse_reader events(options.stream_buffer_bytes, &this->call.position);
    const std::uint32_t earlier_tokens = this->outcome.result.tokens;
    stream_gap_estimator pace;
    while (!parser.is_done())
    {
        auto& body = parser.get().body();
        body.data = piece.data();
        body.size = piece.size();
        body.more = true;
        this->limit(this->next_event_limit(pace));
        const auto [error, size] = co_await http::async_read_some(
            this->connection->stream,
            this->connection->buffer,
            parser,
            quietly);
        if (error && error != http::error::need_buffer)
        {
            this->fail(error);
            co_return;
        }
        const std::size_t came = piece.size() - body.size;
        const bool fits = events.feed({piece.data(), came});
        this->outcome.result.tokens = earlier_tokens + events.tokens();
        const std::string ready = events.take_ready();
        if (!ready.empty())
            pace.record_event(this->pool.context.now());
        const bool passed = co_await this->pass_on(ready, parser.get().base());
        if (!passed)
            co_return;
        if (!fits)
        {
            this->end_as(end::broken);
            co_return;
        }
    }
    events.finish();
    this->outcome.result.tokens = earlier_tokens + events.tokens();
    const bool done = !events.done_event().empty();
    const bool whole = this->call.is_service() ? verifiable : done;
    if (!whole)
    {
        this->end_as(end::broken);
        co_return;
    }
    const std::string last = events.take_ready() + events.done_event();
    const bool passed = co_await this->pass_on(last, parser.get().base());
    if (!passed)
        co_return;
    const bool begun = co_await this->begin_stream(parser.get().base());
    if (!begun)
        co_return;
    const bool finished = co_await this->out.finish();
    this->end_as(finished ? end::answered : end::caller_left);
    this->release(parser.keep_alive());
}

asio::awaitable<bool>
backend_leg::pass_on(const std::string& events, const answer_head& head)
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
    const bool passed = co_await this->out.write(events);
    if (!passed)
        this->end_as(end::caller_left);
    co_return passed;
}

asio::awaitable<bool> backend_leg::begin_stream(const answer_head& head)
{
    if (!this->first_byte_came)
    {
        this->note_first_byte();
        this->learn_first_byte();
    }
    if (this->out.started())
        co_return true;
    const bool begun = co_await this->out.begin(head.result_int(), head);
    if (!begun)
        this->end_as(end::caller_left);
    co_return begun;
}

bool backend_leg::joins(const answer_head& head)
{
    const auto tag = head[http::field::etag];
    const bool follows =
        this->call.position.begin_run({tag.data(), tag.size()});
    const bool good = head.result() == http::status::ok;
    if (!this->out.started() || (follows && good))
        return true;
    this->call.position.disable_resume();
    this->end_as(end::broken);
    return false;
}

duration backend_leg::next_event_limit(const stream_gap_estimator& pace) const
{
    const edge_options& options = this->pool.context.options;
    if (!this->first_byte_came)
        return this->first_byte_left();
    if (!this->call.resumable())
        return options.idle_byte_timeout;
    return pace.limit(options.idle_byte_timeout);
}

} // namespace roseworks::edge
