#include "adapters/forward/server_exchange.hpp"

#include "adapters/forward/sse_event_splitter.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <utility>

namespace roseworks::forward
{

namespace
{

constexpr unsigned first_status = 100;
constexpr unsigned first_final_status = 200;
constexpr unsigned last_status = 599;

/// Maximum number of response heads read for one request. Interim responses and
/// responses to other requests are skipped.
constexpr int max_heads_read = 4;

std::string_view to_string_view(beast::string_view text)
{
    return {text.data(), text.size()};
}

body_framing framing_of(const http::response_parser<http::buffer_body>& parser)
{
    if (parser.is_done())
        return body_framing::none;
    if (parser.chunked())
        return body_framing::chunked;
    return parser.need_eof() ? body_framing::connection : body_framing::length;
}

} // namespace

std::string_view to_string(body_framing framing)
{
    switch (framing)
    {
    case body_framing::none:
        break;
    case body_framing::length:
        return "length";
    case body_framing::chunked:
        return "chunked";
    case body_framing::connection:
        return "connection";
    }
    return "none";
}

server_exchange::server_exchange(
    forward_context& shared,
    edge::backend_pool& connections,
    edge::call_inbox& messages)
    : context(shared)
    , pool(connections)
    , inbox(messages)
{
}

server_exchange::~server_exchange()
{
    this->inbox.on_interrupt = nullptr;
}

asio::awaitable<exchange_state> server_exchange::send(
    exchange_target server,
    const outgoing_request& request,
    duration longest_idle,
    instant until)
{
    this->target = std::move(server);
    this->deadline = until;
    this->inbox.on_interrupt = [this]
    {
        if (!this->connection)
            return;
        this->connection->abandoned = true;
        this->connection->stream.close();
    };
    exchange_state state = co_await this->open(longest_idle);
    if (state != exchange_state::ok)
        co_return state;
    const bool was_pooled = this->connection->pooled;
    state = co_await this->write(request);
    const bool nothing_sent = state != exchange_state::ok && was_pooled &&
                              !this->any_byte_sent && !this->is_withheld;
    if (!nothing_sent || this->inbox.interrupted())
        co_return state;
    // The pooled connection was already closed, and no byte was sent on it.
    state = co_await this->open(duration::min());
    if (state == exchange_state::ok)
        state = co_await this->write(request);
    co_return state;
}

asio::awaitable<exchange_state> server_exchange::open(duration longest_idle)
{
    const edge::connection_opener& opener = this->context.ports.connections;
    do
        this->connection =
            this->pool.acquire(this->target.place.address, longest_idle);
    while (this->connection && !opener.may_reuse(*this->connection));
    if (this->connection)
        co_return exchange_state::ok;
    this->connection = this->pool.make(this->target.place.address);
    const duration remaining = this->deadline - this->context.now();
    const duration max_timeout = this->context.options.connect_timeout;
    const edge::connect_result result =
        co_await this->context.ports.connections.open(
            *this->connection, std::clamp(remaining, duration(1), max_timeout));
    if (!this->connection->relay.empty())
        this->context.metrics.relayed_connections.increment();
    if (this->inbox.interrupted())
        co_return exchange_state::interrupted;
    co_return result == edge::connect_result::opened ? exchange_state::ok
                                                     : exchange_state::not_sent;
}

asio::awaitable<exchange_state>
server_exchange::write(const outgoing_request& request)
{
    const dispatch_port& dispatch = this->context.ports.dispatch;
    this->is_withheld =
        !dispatch.takes_requests(this->target.place, this->target.instance);
    if (this->is_withheld)
        co_return exchange_state::not_sent;
    this->apply_deadline();
    this->write_begun = true;
    const std::string_view body = to_view(request.body);
    const std::array<asio::const_buffer, 2> parts{
        asio::buffer(request.head), asio::buffer(body.data(), body.size())};
    const auto [error, size] = co_await asio::async_write(
        this->connection->stream, parts, edge::use_awaitable_tuple);
    this->any_byte_sent = this->any_byte_sent || size != 0;
    if (!error)
        co_return exchange_state::ok;
    if (!this->any_byte_sent)
        co_return this->inbox.interrupted() ? exchange_state::interrupted
                                            : exchange_state::not_sent;
    co_return this->failure_state(error);
}

asio::awaitable<exchange_state> server_exchange::read_head(
    const header_names& names, std::string_view id, bool head_only)
{
    for (int heads_read = 0; heads_read < max_heads_read; ++heads_read)
    {
        const exchange_state state = co_await this->read_one_head(head_only);
        if (state != exchange_state::ok)
            co_return state;
        const unsigned status = this->head().result_int();
        if (status < first_status || status > last_status)
            co_return exchange_state::broken;
        if (status < first_final_status)
            continue;
        const std::string_view echoed =
            to_string_view(this->head()[names.request_id]);
        if (echoed.empty() || echoed == id)
        {
            this->pool.record_response(*this->connection);
            co_return exchange_state::ok;
        }
        this->response_skipped = true;
        this->context.observer.late_answer_dropped();
        std::string_view piece;
        do
        {
            const exchange_state skip_state = co_await this->read_some(piece);
            if (skip_state != exchange_state::ok ||
                this->framing_of_body == body_framing::connection)
                co_return exchange_state::broken;
        } while (!piece.empty());
    }
    co_return exchange_state::broken;
}

asio::awaitable<exchange_state> server_exchange::read_one_head(bool head_only)
{
    this->parser.emplace();
    this->parser->header_limit(
        static_cast<std::uint32_t>(edge::max_read_ahead_bytes));
    this->parser->body_limit(boost::none);
    this->parser->skip(head_only);
    this->apply_deadline();
    const auto [error, size] = co_await http::async_read_header(
        this->connection->stream,
        this->connection->buffer,
        *this->parser,
        edge::use_awaitable_tuple);
    if (error)
        co_return this->failure_state(error);
    this->framing_of_body = framing_of(*this->parser);
    this->body_bytes = 0;
    this->limit_body(this->context.settings.max_skipped_bytes);
    co_return exchange_state::ok;
}

asio::awaitable<exchange_state>
server_exchange::read_some(std::string_view& piece)
{
    piece = {};
    if (!this->read_ahead.empty())
    {
        this->returned = std::exchange(this->read_ahead, {});
        piece = this->returned;
        co_return exchange_state::ok;
    }
    while (!this->parser->is_done())
    {
        auto& body = this->parser->get().body();
        body.data = this->buffer.data();
        body.size = this->buffer.size();
        body.more = true;
        this->apply_deadline();
        const auto [error, size] = co_await http::async_read_some(
            this->connection->stream,
            this->connection->buffer,
            *this->parser,
            edge::use_awaitable_tuple);
        const std::size_t received = this->buffer.size() - body.size;
        if (error && error != http::error::need_buffer)
            co_return this->failure_state(error);
        if (received == 0)
            continue;
        this->body_bytes += received;
        if (this->body_bytes > this->max_body_bytes)
            co_return exchange_state::broken;
        piece = {this->buffer.data(), received};
        co_return exchange_state::ok;
    }
    co_return this->end_of_body();
}

exchange_state server_exchange::end_of_body()
{
    // A server that ends its direction and then resets the connection looks
    // like one that has finished. If it hasn't taken the request, it hasn't.
    const bool is_doubtful = this->framing_of_body == body_framing::connection;
    if (!is_doubtful || this->is_request_received())
        return exchange_state::ok;
    this->context.events.report(
        event_id::answer_without_request,
        {{"server", this->target.instance},
         {"address", this->target.place.address},
         {"received_bytes", this->body_bytes}});
    return exchange_state::broken;
}

bool server_exchange::is_request_received()
{
    int unacknowledged = 0;
    const int socket = this->connection->stream.socket().native_handle();
    const bool is_known = ::ioctl(socket, SIOCOUTQ, &unacknowledged) == 0;
    return !is_known || unacknowledged == 0;
}

asio::awaitable<exchange_state>
server_exchange::read_ahead_of_event(std::size_t max_bytes)
{
    std::string ahead;
    sse_event_splitter events(max_bytes);
    while (events.event_count() == 0 && ahead.size() <= max_bytes)
    {
        std::string_view piece;
        const exchange_state state = co_await this->read_some(piece);
        if (state != exchange_state::ok)
            co_return state;
        if (piece.empty())
            break;
        ahead += piece;
        events.feed(piece);
    }
    this->read_ahead = std::move(ahead);
    co_return exchange_state::ok;
}

void server_exchange::return_to_pool()
{
    const bool reusable = this->is_complete() && !this->response_skipped &&
                          this->parser->get().keep_alive();
    if (!reusable || !this->connection)
        return;
    this->connection->stream.expires_never();
    this->pool.add_idle(std::move(this->connection));
}

exchange_state server_exchange::failure_state(beast::error_code error) const
{
    if (this->inbox.interrupted())
        return exchange_state::interrupted;
    if (error == beast::error::timeout)
        return exchange_state::timed_out;
    return exchange_state::broken;
}

void server_exchange::apply_deadline()
{
    const duration remaining = this->deadline - this->context.now();
    this->connection->stream.expires_after(std::max(remaining, duration(1)));
}

} // namespace roseworks::forward
