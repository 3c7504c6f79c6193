#include "adapters/forward/server_exchange.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <utility>

namespace roseworks::forward
{

namespace
{

constexpr unsigned first_final_status = 200;

/// Interim answers and answers to other requests that are read away.
constexpr int most_passed_over = 4;

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

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
    std::string address,
    std::string_view bytes,
    duration longest_idle,
    instant until)
{
    this->where = std::move(address);
    this->deadline = until;
    this->inbox.on_interrupt = [this]
    {
        if (this->connection)
            this->connection->stream.close();
    };
    exchange_state state = co_await this->open(longest_idle);
    if (state != exchange_state::good)
        co_return state;
    const bool kept = this->connection->pooled;
    state = co_await this->write(bytes);
    const bool untouched =
        state != exchange_state::good && kept && !this->was_sent;
    if (!untouched || this->inbox.interrupted())
        co_return state;
    // The kept connection was dead already and took no byte.
    state = co_await this->open(duration::min());
    if (state == exchange_state::good)
        state = co_await this->write(bytes);
    co_return state;
}

asio::awaitable<exchange_state> server_exchange::open(duration longest_idle)
{
    this->connection = this->pool.acquire(this->where, longest_idle);
    if (this->connection)
        co_return exchange_state::good;
    this->connection = this->pool.make(this->where);
    const duration left = this->deadline - this->context.now();
    const duration most = this->context.options.connect_timeout;
    const bool opened = co_await edge::connect(
        *this->connection,
        std::clamp(left, duration(1), most),
        this->context.options.tcp_user_timeout);
    if (this->inbox.interrupted())
        co_return exchange_state::interrupted;
    co_return opened ? exchange_state::good : exchange_state::not_sent;
}

asio::awaitable<exchange_state> server_exchange::write(std::string_view bytes)
{
    this->limit();
    const auto [error, size] = co_await asio::async_write(
        this->connection->stream,
        asio::buffer(bytes.data(), bytes.size()),
        edge::use_awaitable_tuple);
    this->was_sent = this->was_sent || size != 0;
    if (!error)
        co_return exchange_state::good;
    if (!this->was_sent)
        co_return this->inbox.interrupted() ? exchange_state::interrupted
                                            : exchange_state::not_sent;
    co_return this->failed(error);
}

asio::awaitable<exchange_state> server_exchange::read_head(
    const header_dialect& names, std::string_view id, bool head_only)
{
    for (int passed_over = 0; passed_over < most_passed_over; ++passed_over)
    {
        const exchange_state state = co_await this->read_one_head(head_only);
        if (state != exchange_state::good)
            co_return state;
        if (this->head().result_int() < first_final_status)
            continue;
        const std::string_view echoed = view(this->head()[names.request_id]);
        if (echoed.empty() || echoed == id)
        {
            this->pool.record_response(*this->connection);
            co_return exchange_state::good;
        }
        this->crossed = true;
        this->context.observer.late_answer_dropped();
        std::string_view piece;
        do
        {
            const exchange_state rest = co_await this->read_some(piece);
            if (rest != exchange_state::good || this->until_closed)
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
    this->limit();
    const auto [error, size] = co_await http::async_read_header(
        this->connection->stream,
        this->connection->buffer,
        *this->parser,
        edge::use_awaitable_tuple);
    if (error)
        co_return this->failed(error);
    this->until_closed = this->parser->need_eof();
    co_return exchange_state::good;
}

asio::awaitable<exchange_state>
server_exchange::read_some(std::string_view& piece)
{
    piece = {};
    while (!this->parser->is_done())
    {
        auto& body = this->parser->get().body();
        body.data = this->buffer.data();
        body.size = this->buffer.size();
        body.more = true;
        this->limit();
        const auto [error, size] = co_await http::async_read_some(
            this->connection->stream,
            this->connection->buffer,
            *this->parser,
            edge::use_awaitable_tuple);
        const std::size_t got = this->buffer.size() - body.size;
        if (error && error != http::error::need_buffer)
            co_return this->failed(error);
        if (got == 0)
            continue;
        piece = {this->buffer.data(), got};
        co_return exchange_state::good;
    }
    co_return exchange_state::good;
}

void server_exchange::release()
{
    const bool reusable = this->ended() && !this->until_closed &&
                          !this->crossed && this->parser->get().keep_alive();
    if (!reusable || !this->connection)
        return;
    this->connection->stream.expires_never();
    this->pool.add_idle(std::move(this->connection));
}

exchange_state server_exchange::failed(beast::error_code error) const
{
    if (this->inbox.interrupted())
        return exchange_state::interrupted;
    if (error == beast::error::timeout)
        return exchange_state::timed_out;
    return exchange_state::broken;
}

void server_exchange::limit()
{
    const duration left = this->deadline - this->context.now();
    this->connection->stream.expires_after(std::max(left, duration(1)));
}

} // namespace roseworks::forward
