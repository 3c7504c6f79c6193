#include "adapters/edge/backend_attempt.hpp"

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

backend_attempt::backend_attempt(
    backend_pool& connections,
    prepared_call& request,
    call_inbox& messages,
    stream_response& answer)
    : pool(connections)
    , call(request)
    , inbox(messages)
    , response(answer)
{
    this->inbox.on_interrupt = [this]
    {
        if (this->connection)
            this->connection->stream.close();
    };
}

backend_attempt::~backend_attempt()
{
    this->inbox.on_interrupt = nullptr;
}

asio::awaitable<attempt_outcome> backend_attempt::run(grant where)
{
    this->target = std::move(where);
    this->sent_at = this->pool.context.now();
    this->set_end(end::not_sent);
    co_await this->exchange();
    this->account_for_both_runs();
    attempt_result& result = this->outcome.result;
    result.answer_started = this->response.started();
    result.resumable = this->response.started() && this->call.resumable();
    result.total = this->pool.context.now() - this->sent_at;
    const bool cut = result.how == end::broken && this->response.started();
    const bool stopped =
        cut || result.how == end::caller_left || result.how == end::no_progress;
    if (stopped && this->outcome.sent && !this->call.is_service())
        this->call.unfinished_run_address = this->target.address;
    co_return std::move(this->outcome);
}

asio::awaitable<void> backend_attempt::exchange()
{
    const bool opened = co_await this->open();
    if (!opened)
        co_return;
    co_await this->send_and_receive();
    if (!this->may_switch_connection())
        co_return;
    const bool switched_over = co_await this->switch_connection();
    if (switched_over)
        co_await this->send_and_receive();
}

bool backend_attempt::may_switch_connection() const
{
    const bool timed_out = this->outcome.result.how == end::no_progress;
    const bool repeatable_from_here =
        this->call.info.repeatable &&
        (!this->response.started() || this->call.resumable());
    const bool before_deadline = this->pool.context.now() < this->call.deadline;
    return timed_out && repeatable_from_here && before_deadline &&
           this->connection && this->connection->pooled &&
           !this->inbox.interrupted();
}

asio::awaitable<bool> backend_attempt::switch_connection()
{
    this->switched = true;
    const bool opened = co_await this->open_new();
    if (!opened)
        co_return false;
    const bool stopped = co_await this->cancel_earlier_run();
    co_return stopped;
}

asio::awaitable<bool> backend_attempt::cancel_earlier_run()
{
    if (this->call.is_service())
        co_return true;
    // After a switch the cancel also probes whether the server is reachable,
    // so it gets the short limit. Otherwise a slow server may take longer.
    const edge_options& options = this->pool.context.options;
    const cancel_result answer = co_await cancel_run(
        *this->connection,
        this->call.headers.request_id,
        this->limit_to_deadline(
            this->switched ? options.connect_timeout
                           : options.first_byte_timeout));
    if (answer == cancel_result::unreachable)
    {
        this->set_end(
            this->inbox.interrupted() ? end::caller_left : end::not_sent);
        co_return false;
    }
    this->call.unfinished_run_address.clear();
    // The fresh connection works, so only the older ones are silent.
    this->pool.record_response(*this->connection);
    if (answer == cancel_result::reusable)
        co_return true;
    const bool opened = co_await this->open_new();
    co_return opened;
}

asio::awaitable<void> backend_attempt::send_and_receive()
{
    bool sent = co_await this->send();
    const bool is_unused_pooled =
        !this->outcome.sent && this->connection->pooled;
    if (!sent && is_unused_pooled && !this->inbox.interrupted())
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
    this->pool.record_response(*this->connection);
    this->connection->pooled = true;
    if (is_event_stream(parser->get()))
        co_await this->relay_stream(*parser);
    else
        co_await this->read_buffered(*parser);
}

asio::awaitable<bool> backend_attempt::open()
{
    if (this->call.unfinished_run_address == this->target.address)
    {
        // Waits for the cancel first: if it arrived after the new run began,
        // it would stop that run.
        const bool opened = co_await this->open_new();
        if (!opened)
            co_return false;
        const bool stopped = co_await this->cancel_earlier_run();
        co_return stopped;
    }
    if (!this->call.unfinished_run_address.empty())
        this->pool.cancel(
            std::exchange(this->call.unfinished_run_address, {}),
            this->call.headers.request_id);
    const edge_options& options = this->pool.context.options;
    this->connection = this->pool.acquire(
        this->target.address,
        this->call.info.repeatable ? options.connection_max_idle
                                   : options.non_repeatable_max_idle);
    if (this->connection)
        co_return true;
    const bool opened = co_await this->open_new();
    co_return opened;
}

asio::awaitable<bool> backend_attempt::open_new()
{
    this->connection = this->pool.make(this->target.address);
    const connect_result result = co_await connect(
        *this->connection,
        this->limit_to_deadline(this->pool.context.options.connect_timeout),
        this->pool.context.options.tcp_user_timeout);
    if (result != connect_result::opened || this->inbox.interrupted())
    {
        this->set_end(
            this->inbox.interrupted() ? end::caller_left : end::not_sent);
        co_return false;
    }
    co_return true;
}

asio::awaitable<bool> backend_attempt::send()
{
    const duration left = this->call.deadline - this->pool.context.now();
    backend_request request =
        make_backend_request(this->call, this->target.address, left);
    this->sent_at = this->pool.context.now();
    this->start_first_byte_timer();
    const std::uint64_t before = this->connection->stream.secured_bytes();
    const auto [error, size] = co_await http::async_write(
        this->connection->stream, request, use_awaitable_tuple);
    const bool begun =
        size != 0 || this->connection->stream.secured_bytes() != before;
    this->outcome.sent = this->outcome.sent || begun;
    if (!error)
        co_return true;
    if (begun)
        this->record_error(error);
    else
        this->set_end(
            this->inbox.interrupted() ? end::caller_left : end::not_sent);
    co_return false;
}

asio::awaitable<bool>
backend_attempt::read_header(std::optional<header_parser>& parser)
{
    for (int interim = 0; interim < max_interim_answers; ++interim)
    {
        parser.emplace();
        parser->header_limit(max_read_ahead_bytes);
        parser->body_limit(boost::none);
        parser->skip(this->call.method == http::verb::head);
        this->start_timer(this->remaining_first_byte_time());
        const auto [error, size] = co_await http::async_read_header(
            this->connection->stream,
            this->connection->buffer,
            *parser,
            use_awaitable_tuple);
        if (error)
        {
            this->record_error(error);
            co_return false;
        }
        if (parser->get().result_int() < first_final_status)
            continue;
        this->record_first_byte_time();
        if (!is_event_stream(parser->get()))
            this->update_first_byte_estimate();
        const bool matches = this->has_matching_request_id(parser->get());
        if (!matches)
            this->set_end(end::broken);
        co_return matches;
    }
    this->set_end(end::broken);
    co_return false;
}

asio::awaitable<void> backend_attempt::read_buffered(header_parser& header)
{
    const edge_options& options = this->pool.context.options;
    const bool is_delimited = !header.need_eof();
    http::response_parser<http::string_body> parser(std::move(header));
    parser.body_limit(options.max_answer_bytes);
    while (!parser.is_done())
    {
        this->start_timer(options.idle_byte_timeout);
        const auto [error, size] = co_await http::async_read_some(
            this->connection->stream,
            this->connection->buffer,
            parser,
            use_awaitable_tuple);
        if (error)
        {
            this->record_error(error);
            co_return;
        }
    }
    if (!is_delimited)
    {
        this->set_end(end::broken);
        co_return;
    }
    this->outcome.answer = parser.release();
    this->classify_response();
    if (this->response.started() && this->outcome.result.how == end::answered)
    {
        // The caller has already received part of a stream; this response
        // is not the rest of it.
        this->call.position.disable_resume();
        this->set_end(end::broken);
    }
    this->release(this->outcome.answer->keep_alive());
}

void backend_attempt::account_for_both_runs()
{
    if (!this->switched)
        return;
    // Whatever the result of the second run, the first one may have run.
    const end how = this->outcome.result.how;
    if (how == end::not_sent || how == end::refused_not_run)
        this->set_end(end::no_progress);
}

bool backend_attempt::has_matching_request_id(const http::fields& header)
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

void backend_attempt::classify_response()
{
    const buffered_response& answer = *this->outcome.answer;
    const unsigned status = answer.result_int();
    this->set_end(end::answered);
    if (this->call.is_service())
        return;
    if (reports_not_run(status, answer.body()))
        this->set_end(end::refused_not_run);
    else if (reports_cancelled(status, answer.body()))
        this->set_end(end::stopped);
}

void backend_attempt::record_error(beast::error_code error)
{
    if (this->inbox.interrupted())
        this->set_end(end::caller_left);
    else if (error == beast::error::timeout)
    {
        this->set_end(end::no_progress);
        this->pool.record_silence(*this->connection);
        this->call.use_longest_limits = true;
        if (!this->first_byte_arrived)
            this->pool.progress.record_timeout(this->call.profile());
    }
    else
        this->set_end(end::broken);
}

void backend_attempt::set_end(end how)
{
    this->outcome.result.how = how;
}

void backend_attempt::release(bool keep_alive)
{
    if (keep_alive)
        this->pool.add_idle(std::move(this->connection));
    this->connection.reset();
}

void backend_attempt::start_timer(duration longest)
{
    this->connection->stream.expires_after(
        this->limit_to_deadline(std::max(longest, duration::zero())));
}

void backend_attempt::start_first_byte_timer()
{
    const duration ceiling = this->pool.context.options.first_byte_timeout;
    const connection_kind kind = this->connection->pooled
                                     ? connection_kind::reused
                                     : connection_kind::fresh;
    // A call that cannot be sent again would lose its answer to an early
    // time-out.
    const bool may_time_out_early =
        this->call.info.repeatable && !this->call.use_longest_limits;
    this->first_byte_arrived = false;
    this->first_byte_limit = may_time_out_early
                                 ? this->pool.progress.first_byte_limit(
                                       this->call.profile(), kind, ceiling)
                                 : ceiling;
    this->start_timer(this->first_byte_limit);
}

duration backend_attempt::remaining_first_byte_time() const
{
    return this->sent_at + this->first_byte_limit - this->pool.context.now();
}

duration backend_attempt::limit_to_deadline(duration longest) const
{
    const duration left = this->call.deadline - this->pool.context.now();
    return std::clamp(left, duration::zero(), longest);
}

void backend_attempt::record_first_byte_time()
{
    this->outcome.result.first_byte = this->pool.context.now() - this->sent_at;
}

void backend_attempt::update_first_byte_estimate()
{
    this->first_byte_arrived = true;
    this->pool.progress.record_first_byte(
        this->call.profile(),
        this->outcome.result.first_byte,
        this->pool.context.now());
}

} // namespace roseworks::edge
