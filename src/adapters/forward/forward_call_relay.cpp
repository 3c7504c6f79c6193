#include "adapters/forward/forward_call.hpp"
#include "adapters/forward/response_head.hpp"

#include <string>

namespace roseworks::forward
{

namespace
{

using end_kind = attempt_result::end;

constexpr unsigned status_ok = 200;

} // namespace

forward_call::relay_outcome forward_call::outcome_of(exchange_state state)
{
    if (state == exchange_state::interrupted)
        return relay_outcome::interrupted;
    return state == exchange_state::timed_out ? relay_outcome::deadline_passed
                                              : relay_outcome::truncated;
}

bool forward_call::continues_stream(const server_exchange& exchange) const
{
    return exchange.head().result_int() == status_ok &&
           is_event_stream(exchange.head());
}

asio::awaitable<attempt_result>
forward_call::forward_response(server_exchange& exchange)
{
    const auto encoding = exchange.head()[http::field::content_encoding];
    const bool is_encoded = !encoding.empty() && encoding != "identity";
    if (is_encoded ||
        (this->response.has_begun() && !this->continues_stream(exchange)))
    {
        // An encoded body is not what the service produced. After the head was
        // sent, only an event stream can continue the response.
        attempt_result broken;
        broken.how = end_kind::broken;
        broken.answer_started = this->response.has_begun();
        co_return broken;
    }
    if (this->first_byte_at == instant())
        this->first_byte_at = this->context.now();
    const relay_outcome outcome = co_await this->relay(exchange);
    if (outcome == relay_outcome::complete)
        exchange.return_to_pool();
    co_return this->result_of(outcome);
}

asio::awaitable<forward_call::relay_outcome>
forward_call::relay(server_exchange& exchange)
{
    const bool is_stream = exchange.framing() != body_framing::none &&
                           is_event_stream(exchange.head());
    const forward_options& limits = this->context.settings;
    exchange.limit_body(
        is_stream ? limits.max_stream_bytes : limits.max_body_bytes);
    if (!is_stream)
        this->answer_began = this->context.now();
    if (!is_stream)
        co_return co_await this->relay_buffered(exchange);
    this->event_timer =
        stream_timer(this->host_time_percent, this->context.now());
    const relay_outcome outcome = co_await this->relay_stream(exchange);
    if (this->event_timer.events() != 0 && this->context.ports.stream_measured)
        this->context.ports.stream_measured(
            this->admission_info().target, this->last_life, this->event_timer);
    co_return outcome;
}

asio::awaitable<forward_call::relay_outcome>
forward_call::relay_buffered(server_exchange& exchange)
{
    std::string body;
    std::string_view piece;
    do
    {
        const exchange_state state = co_await exchange.read_some(piece);
        if (state != exchange_state::ok)
            co_return outcome_of(state);
        body += piece;
    } while (!piece.empty() &&
             body.size() < this->context.settings.max_buffered_bytes);
    if (piece.empty())
    {
        const bool written =
            co_await this->response.send_whole(exchange.head(), body);
        co_return written ? relay_outcome::complete
                          : relay_outcome::write_failed;
    }
    bool written = co_await this->response.send_part(exchange.head(), body);
    while (written)
    {
        const exchange_state state = co_await exchange.read_some(piece);
        if (state != exchange_state::ok)
            co_return outcome_of(state);
        if (piece.empty())
        {
            written = co_await this->response.finish(exchange.head(), {});
            co_return written ? relay_outcome::complete
                              : relay_outcome::write_failed;
        }
        written = co_await this->response.send_part(exchange.head(), piece);
    }
    co_return relay_outcome::write_failed;
}

bool forward_call::stream_has_ended(
    const server_exchange& exchange, std::uint32_t earlier_events) const
{
    if (this->events.is_inside_event())
        return false;
    // A server that crashes before the first event closes its connection too.
    return exchange.framing() != body_framing::connection ||
           this->events.event_count() != earlier_events;
}

asio::awaitable<forward_call::relay_outcome>
forward_call::relay_stream(server_exchange& exchange)
{
    const bool complete_events_only = this->route.resumable;
    const std::uint32_t earlier_events = this->events.event_count();
    this->events.discard_incomplete();
    std::size_t bytes_without_event = 0;
    bool written = true;
    std::string_view piece;
    while (written)
    {
        const instant waiting_since = this->context.now();
        const exchange_state state = co_await exchange.read_some(piece);
        if (state != exchange_state::ok)
            co_return outcome_of(state);
        if (piece.empty())
        {
            if (!this->stream_has_ended(exchange, earlier_events))
                co_return relay_outcome::truncated;
            const std::string rest = complete_events_only
                                         ? this->events.take_remainder()
                                         : std::string();
            written = co_await this->response.finish(exchange.head(), rest);
            co_return written ? relay_outcome::complete
                              : relay_outcome::write_failed;
        }
        const std::uint32_t known_events = this->events.event_count();
        const std::string completed_events = this->events.feed(piece);
        this->event_timer.received(
            this->events.event_count() - known_events,
            waiting_since,
            this->context.now());
        bytes_without_event = this->events.event_count() == known_events
                                  ? bytes_without_event + piece.size()
                                  : 0;
        if (!this->answer_began && this->events.event_count() != earlier_events)
            this->answer_began = this->context.now();
        const bool is_endless = bytes_without_event >
                                this->context.settings.max_bytes_without_event;
        if (is_endless || this->events.exceeds_limit())
            co_return relay_outcome::truncated;
        this->record_origin();
        written = co_await this->response.send_part(
            exchange.head(),
            complete_events_only ? std::string_view(completed_events) : piece);
    }
    co_return this->inbox->interrupted() ? relay_outcome::interrupted
                                         : relay_outcome::write_failed;
}

bool forward_call::can_resume() const
{
    return this->response.has_begun() && this->route.resumable &&
           !this->events.last_id().empty() && this->first_software;
}

attempt_result forward_call::result_of(relay_outcome outcome) const
{
    attempt_result result;
    result.answer_started = this->response.has_begun();
    result.tokens = this->events.event_count();
    result.resumable = this->can_resume();
    result.software = this->first_software;
    result.total = this->context.now() - this->sent_at;
    if (this->first_byte_at != instant())
        result.first_byte = this->first_byte_at - this->sent_at;
    switch (outcome)
    {
    case relay_outcome::complete:
        result.how = end_kind::answered;
        break;
    case relay_outcome::truncated:
        result.how = end_kind::broken;
        break;
    case relay_outcome::deadline_passed:
        result.how = end_kind::no_progress;
        break;
    case relay_outcome::write_failed:
    case relay_outcome::interrupted:
        result.how = end_kind::caller_left;
        break;
    }
    return result;
}

attempt_result forward_call::result_of(exchange_state state) const
{
    attempt_result result;
    result.answer_started = this->response.has_begun();
    result.resumable = this->can_resume();
    result.software = this->first_software;
    switch (state)
    {
    case exchange_state::not_sent:
        result.how = end_kind::not_sent;
        break;
    case exchange_state::timed_out:
        result.how = end_kind::no_progress;
        break;
    case exchange_state::interrupted:
        result.how = end_kind::caller_left;
        break;
    default:
        result.how = end_kind::broken;
        break;
    }
    return result;
}

} // namespace roseworks::forward
