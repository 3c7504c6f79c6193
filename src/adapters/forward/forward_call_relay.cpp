#include "adapters/forward/forward_call.hpp"
#include "adapters/forward/response_head.hpp"

#include <array>
#include <cstdio>

namespace roseworks::forward
{

namespace
{

using end_kind = attempt_result::end;

constexpr unsigned status_ok = 200;
constexpr std::string_view last_chunk = "0\r\n\r\n";

std::string_view to_string_view(beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

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
    if (is_encoded || (this->head_written && !this->continues_stream(exchange)))
    {
        // An encoded body is not what the service produced. After the head was
        // sent, only an event stream can continue the response.
        attempt_result broken;
        broken.how = end_kind::broken;
        broken.answer_started = this->head_written;
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
    const bool is_stream = is_event_stream(exchange.head());
    const relay_outcome outcome = is_stream
                                      ? co_await this->relay_stream(exchange)
                                      : co_await this->relay_buffered(exchange);
    co_return outcome;
}

asio::awaitable<forward_call::relay_outcome>
forward_call::relay_buffered(server_exchange& exchange)
{
    const auto outcome_of = [](exchange_state state)
    {
        if (state == exchange_state::interrupted)
            return relay_outcome::interrupted;
        return state == exchange_state::timed_out
                   ? relay_outcome::deadline_passed
                   : relay_outcome::truncated;
    };
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

    this->status = exchange.head().result_int();
    std::string bytes = serialize_head(exchange.head(), this->context.names);
    const bool is_complete = piece.empty();
    const bool close = !this->request.keep_alive || this->context.draining;
    const auto length = exchange.head()[http::field::content_length];
    if (this->request.head_only && !length.empty())
        bytes +=
            "Content-Length: " + std::string(to_string_view(length)) + "\r\n";
    else if (is_complete && !this->request.head_only)
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    else if (!is_complete)
        bytes += "Transfer-Encoding: chunked\r\n";
    if (close)
        bytes += "Connection: close\r\n";
    bytes += "\r\n";
    this->head_written = true;
    if (is_complete)
    {
        bytes += body;
        const bool written = co_await this->caller.write_raw(bytes);
        co_return written ? relay_outcome::complete
                          : relay_outcome::write_failed;
    }
    this->chunked = true;
    bool written = co_await this->caller.write_raw(bytes);
    written = written && co_await this->write_chunk(body);
    while (written)
    {
        const exchange_state state = co_await exchange.read_some(piece);
        if (state != exchange_state::ok)
            co_return outcome_of(state);
        if (piece.empty())
        {
            written = co_await this->caller.write_raw(last_chunk);
            co_return written ? relay_outcome::complete
                              : relay_outcome::write_failed;
        }
        written = co_await this->write_chunk(piece);
    }
    co_return relay_outcome::write_failed;
}

asio::awaitable<bool>
forward_call::write_stream_head(const server_exchange& exchange)
{
    this->status = exchange.head().result_int();
    this->head_written = true;
    this->chunked = true;
    std::string bytes = serialize_head(exchange.head(), this->context.names);
    bytes += "Transfer-Encoding: chunked\r\n";
    if (!this->request.keep_alive || this->context.draining)
        bytes += "Connection: close\r\n";
    bytes += "\r\n";
    const bool written = co_await this->caller.write_raw(bytes);
    co_return written;
}

asio::awaitable<bool> forward_call::write_chunk(std::string_view bytes)
{
    if (bytes.empty())
        co_return true;
    std::array<char, 24> size{};
    const int digits =
        std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string chunk(size.data(), static_cast<std::size_t>(digits));
    chunk += bytes;
    chunk += "\r\n";
    const bool written = co_await this->caller.write_raw(chunk);
    co_return written;
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
    const bool is_continuation = this->head_written;
    const bool complete_events_only = this->route.resumable;
    const std::uint32_t earlier_events = this->events.event_count();
    this->events.discard_incomplete();
    bool written =
        is_continuation || co_await this->write_stream_head(exchange);
    std::string_view piece;
    while (written)
    {
        const exchange_state state = co_await exchange.read_some(piece);
        if (state == exchange_state::interrupted)
            co_return relay_outcome::interrupted;
        if (state == exchange_state::timed_out)
            co_return relay_outcome::deadline_passed;
        if (state != exchange_state::ok)
            co_return relay_outcome::truncated;
        if (piece.empty())
        {
            if (!this->stream_has_ended(exchange, earlier_events))
                co_return relay_outcome::truncated;
            const std::string remainder = complete_events_only
                                              ? this->events.take_remainder()
                                              : std::string();
            written = co_await this->write_chunk(remainder);
            written = written && co_await this->caller.write_raw(last_chunk);
            co_return written ? relay_outcome::complete
                              : relay_outcome::write_failed;
        }
        const std::string completed_events = this->events.feed(piece);
        if (this->events.exceeds_limit())
            co_return relay_outcome::truncated;
        written = co_await this->write_chunk(
            complete_events_only ? std::string_view(completed_events) : piece);
    }
    co_return this->inbox->interrupted() ? relay_outcome::interrupted
                                         : relay_outcome::write_failed;
}

attempt_result forward_call::result_of(relay_outcome outcome) const
{
    attempt_result result;
    result.answer_started = this->head_written;
    result.tokens = this->events.event_count();
    result.resumable = this->head_written && this->route.resumable &&
                       this->chunked && !this->events.last_id().empty();
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
    result.answer_started = this->head_written;
    result.resumable = this->head_written && this->route.resumable &&
                       !this->events.last_id().empty();
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
