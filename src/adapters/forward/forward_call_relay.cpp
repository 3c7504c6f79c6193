#include "adapters/forward/forward_call.hpp"
#include "adapters/forward/relay_head.hpp"

#include <array>
#include <cstdio>

namespace roseworks::forward
{

namespace
{

using end_kind = attempt_result::end;

constexpr unsigned status_ok = 200;
constexpr std::string_view last_chunk = "0\r\n\r\n";

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

bool forward_call::joins(const server_exchange& exchange) const
{
    return exchange.head().result_int() == status_ok &&
           is_event_stream(exchange.head());
}

asio::awaitable<attempt_result> forward_call::pass_on(server_exchange& exchange)
{
    const auto encoding = exchange.head()[http::field::content_encoding];
    const bool foreign = !encoding.empty() && encoding != "identity";
    if (foreign || (this->head_written && !this->joins(exchange)))
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
    const relayed how = co_await this->relay(exchange);
    if (how == relayed::whole)
        exchange.release();
    co_return this->result_of(how);
}

asio::awaitable<forward_call::relayed>
forward_call::relay(server_exchange& exchange)
{
    const bool stream = is_event_stream(exchange.head());
    const relayed how = stream ? co_await this->relay_stream(exchange)
                               : co_await this->relay_collected(exchange);
    co_return how;
}

asio::awaitable<forward_call::relayed>
forward_call::relay_collected(server_exchange& exchange)
{
    const auto end_of = [](exchange_state state)
    {
        if (state == exchange_state::interrupted)
            return relayed::interrupted;
        return state == exchange_state::timed_out ? relayed::late
                                                  : relayed::cut;
    };
    std::string body;
    std::string_view piece;
    do
    {
        const exchange_state state = co_await exchange.read_some(piece);
        if (state != exchange_state::good)
            co_return end_of(state);
        body += piece;
    } while (!piece.empty() &&
             body.size() < this->context.settings.collect_bytes);

    this->status = exchange.head().result_int();
    std::string bytes = head_lines(exchange.head(), this->context.names);
    const bool whole = piece.empty();
    const bool close = !this->request.keep_alive || this->context.draining;
    const auto length = exchange.head()[http::field::content_length];
    if (this->request.head_only && !length.empty())
        bytes += "Content-Length: " + std::string(view(length)) + "\r\n";
    else if (whole && !this->request.head_only)
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    else if (!whole)
        bytes += "Transfer-Encoding: chunked\r\n";
    if (close)
        bytes += "Connection: close\r\n";
    bytes += "\r\n";
    this->head_written = true;
    if (whole)
    {
        bytes += body;
        const bool written = co_await this->caller.write_raw(bytes);
        co_return written ? relayed::whole : relayed::caller_gone;
    }
    this->chunked = true;
    bool written = co_await this->caller.write_raw(bytes);
    written = written && co_await this->write_chunk(body);
    while (written)
    {
        const exchange_state state = co_await exchange.read_some(piece);
        if (state != exchange_state::good)
            co_return end_of(state);
        if (piece.empty())
        {
            written = co_await this->caller.write_raw(last_chunk);
            co_return written ? relayed::whole : relayed::caller_gone;
        }
        written = co_await this->write_chunk(piece);
    }
    co_return relayed::caller_gone;
}

asio::awaitable<bool> forward_call::write_head(const server_exchange& exchange)
{
    this->status = exchange.head().result_int();
    this->head_written = true;
    this->chunked = true;
    std::string bytes = head_lines(exchange.head(), this->context.names);
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

asio::awaitable<forward_call::relayed>
forward_call::relay_stream(server_exchange& exchange)
{
    const bool joining = this->head_written;
    const bool whole_events = this->route.resumable;
    this->events.restart();
    bool written = joining || co_await this->write_head(exchange);
    std::string_view piece;
    while (written)
    {
        const exchange_state state = co_await exchange.read_some(piece);
        if (state == exchange_state::interrupted)
            co_return relayed::interrupted;
        if (state == exchange_state::timed_out)
            co_return relayed::late;
        if (state != exchange_state::good)
            co_return relayed::cut;
        if (piece.empty())
        {
            // The response is complete, even if its last bytes are not a
            // complete event.
            std::string rest =
                whole_events ? this->events.take_rest() : std::string();
            written = co_await this->write_chunk(rest);
            written = written && co_await this->caller.write_raw(last_chunk);
            co_return written ? relayed::whole : relayed::caller_gone;
        }
        const std::string events_now = this->events.feed(piece);
        if (this->events.overrun())
            co_return relayed::cut;
        written = co_await this->write_chunk(
            whole_events ? std::string_view(events_now) : piece);
    }
    co_return this->inbox->interrupted() ? relayed::interrupted
                                         : relayed::caller_gone;
}

attempt_result forward_call::result_of(relayed how) const
{
    attempt_result result;
    result.answer_started = this->head_written;
    result.tokens = this->events.events();
    result.resumable = this->head_written && this->route.resumable &&
                       this->chunked && !this->events.last_id().empty();
    result.total = this->context.now() - this->sent_at;
    if (this->first_byte_at != instant())
        result.first_byte = this->first_byte_at - this->sent_at;
    switch (how)
    {
    case relayed::whole:
        result.how = end_kind::answered;
        break;
    case relayed::cut:
        result.how = end_kind::broken;
        break;
    case relayed::late:
        result.how = end_kind::no_progress;
        break;
    case relayed::caller_gone:
    case relayed::interrupted:
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
