#include "adapters/edge/backend_leg.hpp"

#include "adapters/edge/backend_request.hpp"
#include "adapters/edge/sse_reader.hpp"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace roseworks::edge
{

namespace
{

constexpr std::size_t piece_bytes = std::size_t(16) << 10;
constexpr unsigned first_final_status = 200;
constexpr int max_interim_answers = 8;

} // namespace

backend_leg::backend_leg(
    backend_pool& connections,
    prepared_call& request,
    call_inbox& messages,
    stream_answer& answer)
    : pool(connections)
    , call(request)
    , inbox(messages)
    , out(answer)
{
    this->inbox.on_interrupt = [this]
    {
        if (this->connection)
            this->connection->stream.close();
    };
}

backend_leg::~backend_leg()
{
    this->inbox.on_interrupt = nullptr;
}

asio::awaitable<leg_outcome> backend_leg::run(grant where)
{
    this->target = std::move(where);
    this->sent_at = this->pool.context.now();
    this->end_as(end::not_sent);
    co_await this->exchange();
    attempt_result& result = this->outcome.result;
    result.answer_started = this->out.started();
    result.total = this->pool.context.now() - this->sent_at;
    const bool stopped =
        result.how == end::caller_left || result.how == end::no_progress;
    if (stopped && this->outcome.sent && !this->call.is_service())
        this->pool.cancel(this->target.address, this->call.headers.request_id);
    co_return std::move(this->outcome);
}

asio::awaitable<void> backend_leg::exchange()
{
    const bool opened = co_await this->open();
    if (!opened)
        co_return;
    bool sent = co_await this->send();
    if (!sent && !this->outcome.sent && this->connection->pooled &&
        !this->inbox.interrupted())
    {
        // The kept connection was dead already and took no byte.
        const bool reopened = co_await this->open_new();
        if (!reopened)
            co_return;
        sent = co_await this->send();
    }
    if (!sent)
        co_return;
    std::optional<header_parser> parser;
    const bool read = co_await this->read_header(parser);
    if (!read)
        co_return;
    this->pool.answered(*this->connection);
    if (is_event_stream(parser->get()))
        co_await this->relay(*parser);
    else
        co_await this->collect(*parser);
}

asio::awaitable<bool> backend_leg::open()
{
    this->connection = this->pool.take(this->target.address);
    if (this->connection)
        co_return true;
    const bool opened = co_await this->open_new();
    co_return opened;
}

asio::awaitable<bool> backend_leg::open_new()
{
    this->connection = this->pool.make(this->target.address);
    const edge_options& options = this->pool.context.options;
    const duration left = this->call.deadline - this->pool.context.now();
    const duration limit =
        std::clamp<duration>(left, duration::zero(), options.connect_timeout);
    const bool opened =
        co_await connect(*this->connection, limit, options.first_byte_timeout);
    if (!opened || this->inbox.interrupted())
    {
        this->end_as(
            this->inbox.interrupted() ? end::caller_left : end::not_sent);
        co_return false;
    }
    co_return true;
}

asio::awaitable<bool> backend_leg::send()
{
    const duration left = this->call.deadline - this->pool.context.now();
    backend_request request =
        make_backend_request(this->call, this->target.address, left);
    this->limit(this->pool.context.options.first_byte_timeout);
    this->sent_at = this->pool.context.now();
    const auto [error, size] =
        co_await http::async_write(this->connection->stream, request, quietly);
    this->outcome.sent = size != 0;
    if (!error)
        co_return true;
    if (this->outcome.sent)
        this->fail(error);
    else
        this->end_as(
            this->inbox.interrupted() ? end::caller_left : end::not_sent);
    co_return false;
}

asio::awaitable<bool>
backend_leg::read_header(std::optional<header_parser>& parser)
{
    for (int interim = 0; interim < max_interim_answers; ++interim)
    {
        parser.emplace();
        parser->header_limit(max_buffered);
        parser->body_limit(boost::none);
        parser->skip(this->call.method == http::verb::head);
        this->limit(this->pool.context.options.first_byte_timeout);
        const auto [error, size] = co_await http::async_read_header(
            this->connection->stream,
            this->connection->buffer,
            *parser,
            quietly);
        if (error)
        {
            this->fail(error);
            co_return false;
        }
        if (parser->get().result_int() < first_final_status)
            continue;
        this->note_first_byte();
        const bool matches = this->echo_matches(parser->get());
        if (!matches)
            this->end_as(end::broken);
        co_return matches;
    }
    this->end_as(end::broken);
    co_return false;
}

asio::awaitable<void> backend_leg::collect(header_parser& header)
{
    const edge_options& options = this->pool.context.options;
    const bool verifiable = !header.need_eof();
    http::response_parser<http::string_body> parser(std::move(header));
    parser.body_limit(options.max_answer_bytes);
    while (!parser.is_done())
    {
        this->limit(options.idle_byte_timeout);
        const auto [error, size] = co_await http::async_read_some(
            this->connection->stream,
            this->connection->buffer,
            parser,
            quietly);
        if (error)
        {
            this->fail(error);
            co_return;
        }
    }
    if (!verifiable)
    {
        this->end_as(end::broken);
        co_return;
    }
    this->outcome.answer = parser.release();
    this->classify();
    this->release(this->outcome.answer->keep_alive());
}

asio::awaitable<void> backend_leg::relay(header_parser& header)
{
    const edge_options& options = this->pool.context.options;
    const bool verifiable = !header.need_eof();
    http::response_parser<http::buffer_body> parser(std::move(header));
    std::array<char, piece_bytes> piece;
    sse_reader events(options.stream_buffer_bytes);
    while (!parser.is_done())
    {
        auto& body = parser.get().body();
        body.data = piece.data();
        body.size = piece.size();
        body.more = true;
        this->limit(
            this->out.started() ? options.idle_byte_timeout
                                : options.first_byte_timeout);
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
        this->outcome.result.tokens = events.tokens();
        const std::string ready = events.take_ready();
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
    this->outcome.result.tokens = events.tokens();
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
    if (!this->out.started())
    {
        const bool begun = co_await this->out.begin(
            parser.get().result_int(), parser.get().base());
        if (!begun)
        {
            this->end_as(end::caller_left);
            co_return;
        }
    }
    const bool finished = co_await this->out.finish();
    this->end_as(finished ? end::answered : end::caller_left);
    this->release(parser.keep_alive());
}

asio::awaitable<bool>
backend_leg::pass_on(const std::string& events, const answer_head& head)
{
    if (events.empty())
        co_return true;
    bool passed = true;
    if (!this->out.started())
    {
        this->note_first_byte();
        // From here on there is no retry.
        this->call.body = std::string();
        passed = co_await this->out.begin(head.result_int(), head);
    }
    if (passed)
        passed = co_await this->out.write(events);
    if (!passed)
        this->end_as(end::caller_left);
    co_return passed;
}

bool backend_leg::echo_matches(const http::fields& header)
{
    const auto echoed = header["X-Request-Id"];
    const std::string& wanted = this->call.headers.request_id;
    const bool same = echoed == beast::string_view(wanted);
    // Plain services need not echo it.
    if (same || (this->call.is_service() && echoed.empty()))
        return true;
    this->pool.context.ports.observer.late_answer_dropped();
    this->pool.context.ports.events.report(
        event_id::late_answer_dropped,
        {{"engine", this->target.address},
         {"request_id", wanted},
         {"got_request_id", std::string_view(echoed.data(), echoed.size())}});
    return false;
}

void backend_leg::classify()
{
    const whole_answer& answer = *this->outcome.answer;
    const bool refused = !this->call.is_service() &&
                         says_not_run(answer.result_int(), answer.body());
    this->end_as(refused ? end::refused_not_run : end::answered);
}

void backend_leg::fail(beast::error_code error)
{
    if (this->inbox.interrupted())
        this->end_as(end::caller_left);
    else if (error == beast::error::timeout)
    {
        this->end_as(end::no_progress);
        this->pool.silent(*this->connection);
    }
    else
        this->end_as(end::broken);
}

void backend_leg::end_as(end how)
{
    this->outcome.result.how = how;
}

void backend_leg::release(bool keep_alive)
{
    if (keep_alive)
        this->pool.put(std::move(this->connection));
    this->connection.reset();
}

void backend_leg::limit(std::chrono::milliseconds longest)
{
    const duration left = this->call.deadline - this->pool.context.now();
    this->connection->stream.expires_after(
        std::clamp<duration>(left, duration::zero(), longest));
}

void backend_leg::note_first_byte()
{
    this->outcome.result.first_byte = this->pool.context.now() - this->sent_at;
}

} // namespace roseworks::edge
