#include "adapters/edge/backend_leg.hpp"

#include "adapters/edge/backend_request.hpp"
#include "adapters/edge/engine_cancel.hpp"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace roseworks::edge
{

namespace
{

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
    this->tell_truly();
    attempt_result& result = this->outcome.result;
    result.answer_started = this->out.started();
    result.resumable = this->out.started() && this->call.resumable();
    result.total = this->pool.context.now() - this->sent_at;
    const bool cut = result.how == end::broken && this->out.started();
    const bool stopped =
        cut || result.how == end::caller_left || result.how == end::no_progress;
    if (stopped && this->outcome.sent && !this->call.is_service())
        this->call.run_left_at = this->target.address;
    co_return std::move(this->outcome);
}

asio::awaitable<void> backend_leg::exchange()
{
    const bool opened = co_await this->open();
    if (!opened)
        co_return;
    co_await this->converse();
    if (!this->may_switch())
        co_return;
    const bool switched_over = co_await this->switch_connection();
    if (switched_over)
        co_await this->converse();
}

bool backend_leg::may_switch() const
{
    const bool silent = this->outcome.result.how == end::no_progress;
    const bool again = this->call.info.repeatable &&
                       (!this->out.started() || this->call.resumable());
    const bool in_time = this->pool.context.now() < this->call.deadline;
    return silent && again && in_time && this->connection &&
           this->connection->pooled && !this->inbox.interrupted();
}

asio::awaitable<bool> backend_leg::switch_connection()
{
    this->switched = true;
    const bool opened = co_await this->open_new();
    if (!opened)
        co_return false;
    const bool stopped = co_await this->stop_old_run();
    co_return stopped;
}

asio::awaitable<bool> backend_leg::stop_old_run()
{
    if (this->call.is_service())
        co_return true;
    // After a switch the cancel also probes whether the server is reachable,
    // so it gets the short limit. Otherwise a slow server may take longer.
    const edge_options& options = this->pool.context.options;
    const cancel_end answer = co_await cancel_on(
        *this->connection,
        this->call.headers.request_id,
        this->time_left(
            this->switched ? options.connect_timeout
                           : options.first_byte_timeout));
    if (answer == cancel_end::unreachable)
    {
        this->end_as(
            this->inbox.interrupted() ? end::caller_left : end::not_sent);
        co_return false;
    }
    this->call.run_left_at.clear();
    // The fresh connection works, so only the older ones are silent.
    this->pool.answered(*this->connection);
    if (answer == cancel_end::kept)
        co_return true;
    const bool opened = co_await this->open_new();
    co_return opened;
}

asio::awaitable<void> backend_leg::converse()
{
    bool sent = co_await this->send();
    const bool untouched = !this->outcome.sent && this->connection->pooled;
    if (!sent && untouched && !this->inbox.interrupted())
    {
        // The pooled connection was already closed; no byte was sent on it.
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
    this->connection->pooled = true;
    if (is_event_stream(parser->get()))
        co_await this->relay(*parser);
    else
        co_await this->collect(*parser);
}

asio::awaitable<bool> backend_leg::open()
{
    if (this->call.run_left_at == this->target.address)
    {
        // Waits for the cancel first: if it arrived after the new run began,
        // it would stop that run.
        const bool opened = co_await this->open_new();
        if (!opened)
            co_return false;
        const bool stopped = co_await this->stop_old_run();
        co_return stopped;
    }
    if (!this->call.run_left_at.empty())
        this->pool.cancel(
            std::exchange(this->call.run_left_at, {}),
            this->call.headers.request_id);
    const edge_options& options = this->pool.context.options;
    this->connection = this->pool.take(
        this->target.address,
        this->call.info.repeatable ? options.connection_max_idle
                                   : options.proof_of_life);
    if (this->connection)
        co_return true;
    const bool opened = co_await this->open_new();
    co_return opened;
}

asio::awaitable<bool> backend_leg::open_new()
{
    this->connection = this->pool.make(this->target.address);
    const bool opened = co_await connect(
        *this->connection,
        this->time_left(this->pool.context.options.connect_timeout),
        this->pool.context.options.unacknowledged);
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
    this->sent_at = this->pool.context.now();
    this->limit_first_byte();
    const std::uint64_t before = this->connection->stream.secured_bytes();
    const auto [error, size] =
        co_await http::async_write(this->connection->stream, request, quietly);
    const bool begun =
        size != 0 || this->connection->stream.secured_bytes() != before;
    this->outcome.sent = this->outcome.sent || begun;
    if (!error)
        co_return true;
    if (begun)
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
        this->limit(this->first_byte_left());
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
        if (!is_event_stream(parser->get()))
            this->learn_first_byte();
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
    if (this->out.started() && this->outcome.result.how == end::answered)
    {
        // The caller has already received part of a stream; this response
        // is not the rest of it.
        this->call.position.disable_resume();
        this->end_as(end::broken);
    }
    this->release(this->outcome.answer->keep_alive());
}

void backend_leg::tell_truly()
{
    if (!this->switched)
        return;
    // Whatever the result of the second run, the first one may have run.
    const end how = this->outcome.result.how;
    if (how == end::not_sent || how == end::refused_not_run)
        this->end_as(end::no_progress);
}

bool backend_leg::echo_matches(const http::fields& header)
{
    const auto echoed = header["X-Request-Id"];
    const std::string& wanted = this->call.headers.request_id;
    const bool same = echoed == beast::string_view(wanted);
    // Services need not echo the request id, but engines must.
    if (same || (this->call.is_service() && echoed.empty()))
        return true;
    this->pool.context.observer.late_answer_dropped();
    this->pool.context.events.report(
        event_id::late_answer_dropped,
        {{"engine", this->target.address},
         {"request_id", wanted},
         {"got_request_id", std::string_view(echoed.data(), echoed.size())}});
    return false;
}

void backend_leg::classify()
{
    const whole_answer& answer = *this->outcome.answer;
    const unsigned status = answer.result_int();
    this->end_as(end::answered);
    if (this->call.is_service())
        return;
    if (says_not_run(status, answer.body()))
        this->end_as(end::refused_not_run);
    else if (says_stopped(status, answer.body()))
        this->end_as(end::stopped);
}

void backend_leg::fail(beast::error_code error)
{
    if (this->inbox.interrupted())
        this->end_as(end::caller_left);
    else if (error == beast::error::timeout)
    {
        this->end_as(end::no_progress);
        this->pool.silent(*this->connection);
        this->call.patient = true;
        if (!this->first_byte_came)
            this->pool.progress.record_timeout(this->call.work());
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

void backend_leg::limit(duration longest)
{
    this->connection->stream.expires_after(
        this->time_left(std::max(longest, duration::zero())));
}

void backend_leg::limit_first_byte()
{
    const duration ceiling = this->pool.context.options.first_byte_timeout;
    const connection_kind kind = this->connection->pooled
                                     ? connection_kind::reused
                                     : connection_kind::fresh;
    // A call that cannot be sent again would lose its answer to an early
    // time-out.
    const bool early = this->call.info.repeatable && !this->call.patient;
    this->first_byte_came = false;
    this->first_byte_limit = early ? this->pool.progress.first_byte_limit(
                                         this->call.work(), kind, ceiling)
                                   : ceiling;
    this->limit(this->first_byte_limit);
}

duration backend_leg::first_byte_left() const
{
    return this->sent_at + this->first_byte_limit - this->pool.context.now();
}

duration backend_leg::time_left(duration longest) const
{
    const duration left = this->call.deadline - this->pool.context.now();
    return std::clamp(left, duration::zero(), longest);
}

void backend_leg::note_first_byte()
{
    this->outcome.result.first_byte = this->pool.context.now() - this->sent_at;
}

void backend_leg::learn_first_byte()
{
    this->first_byte_came = true;
    this->pool.progress.record_first_byte(
        this->call.work(),
        this->outcome.result.first_byte,
        this->pool.context.now());
}

} // namespace roseworks::edge
