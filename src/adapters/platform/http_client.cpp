#include "adapters/platform/http_client.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <deque>
#include <sstream>
#include <unordered_set>
#include <utility>

namespace roseworks::platform
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using asio::ip::tcp;
using beast::error_code;
using steady = std::chrono::steady_clock;

namespace
{

struct connection
{
    explicit connection(const asio::any_io_executor& executor)
        : stream(executor)
    {
    }

    tls::secure_stream stream;
    steady::time_point idle_since{};
};

using connection_ptr = std::shared_ptr<connection>;

http::request<http::string_body>
make_request(http_call& call, const std::string& host)
{
    constexpr unsigned http_1_1 = 11;
    http::request<http::string_body> request(
        call.method, call.target, http_1_1);
    request.set(http::field::host, host);
    if (!call.content_type.empty())
        request.set(http::field::content_type, call.content_type);
    if (!call.authorization.empty())
        request.set(http::field::authorization, call.authorization);
    if (!call.if_none_match.empty())
        request.set(http::field::if_none_match, call.if_none_match);
    if (!call.header.name.empty())
        request.set(call.header.name, call.header.value);
    request.body() = std::move(call.body);
    request.prepare_payload();
    return request;
}

} // namespace

class http_client::pool
{
public:
    pool(
        asio::any_io_executor on,
        tcp::endpoint to,
        const options& wanted,
        byte_meter& counted)
        : executor(std::move(on))
        , server(to)
        , host((std::ostringstream() << to).str())
        , settings(wanted)
        , meter(counted)
    {
    }

    static asio::awaitable<http_answer>
    exchange(std::shared_ptr<pool> self, http_call call);

    void break_connections()
    {
        this->idle.clear();
        ++this->generation;
        for (connection* one : this->busy)
            one->stream.close();
    }

private:
    connection_ptr take_idle()
    {
        const auto oldest = steady::now() - this->settings.idle_limit;
        while (!this->idle.empty())
        {
            connection_ptr last = std::move(this->idle.back());
            this->idle.pop_back();
            if (last->idle_since >= oldest &&
                last->stream.check_idle() == tls::idle_state::no_data)
                return last;
        }
        return {};
    }

    void keep(connection_ptr used, std::uint64_t taken_in)
    {
        if (taken_in != this->generation)
            return;
        used->stream.expires_never();
        used->idle_since = steady::now();
        this->idle.push_back(std::move(used));
        if (this->idle.size() > this->settings.max_idle)
            this->idle.pop_front();
    }

    asio::awaitable<bool> connect(connection& fresh)
    {
        error_code error;
        fresh.stream.expires_after(this->settings.connect_timeout);
        co_await fresh.stream.async_connect(
            this->server, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return false;
        fresh.stream.socket().set_option(tcp::no_delay(true), error);
        if (this->settings.secured_by == nullptr)
            co_return true;
        const bool secured =
            co_await this->settings.secured_by->secure(fresh.stream);
        co_return secured;
    }

    /// Reads one answer; `no_answer` when it doesn't come whole.
    asio::awaitable<http_answer>
    read(connection& from, const http_call& call, bool& reusable)
    {
        http_answer answer;
        answer.end = exchange_end::no_answer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(this->settings.max_answer_bytes);
        beast::flat_buffer buffer;
        error_code error;
        const auto latest = steady::now() + call.longest;
        while (!parser.is_done() && !error)
        {
            const std::size_t received = co_await http::async_read_some(
                from.stream,
                buffer,
                parser,
                asio::redirect_error(asio::use_awaitable, error));
            this->meter.received += received;
            answer.received += received;
            if (call.longest > call.timeout)
                from.stream.expires_after(std::min<steady::duration>(
                    latest - steady::now(), call.timeout));
        }
        if (error)
            co_return answer;

        reusable = parser.get().keep_alive() && buffer.size() == 0;
        answer.end = exchange_end::answered;
        answer.status = parser.get().result_int();
        answer.etag = std::string(parser.get()[http::field::etag]);
        answer.body = std::move(parser.get().body());
        co_return answer;
    }

    asio::awaitable<http_answer>
    write_and_read(connection_ptr with, http_call& call, std::uint64_t taken_in)
    {
        http_answer answer;
        const http::request<http::string_body> request =
            make_request(call, this->host);
        with->stream.expires_after(call.timeout);
        if (call.may_send && !call.may_send())
        {
            this->keep(with, taken_in);
            answer.end = exchange_end::withheld;
            co_return answer;
        }

        error_code error;
        const std::uint64_t before = with->stream.secured_bytes();
        const std::size_t sent = co_await http::async_write(
            with->stream,
            request,
            asio::redirect_error(asio::use_awaitable, error));
        this->meter.sent += sent;
        if (error)
        {
            const bool untouched =
                sent == 0 && with->stream.secured_bytes() == before;
            answer.end =
                untouched ? exchange_end::not_sent : exchange_end::no_answer;
            co_return answer;
        }

        bool reusable = false;
        answer = co_await this->read(*with, call, reusable);
        if (reusable)
            this->keep(with, taken_in);
        co_return answer;
    }

    asio::any_io_executor executor;
    tcp::endpoint server;
    std::string host;
    options settings;
    byte_meter& meter;
    std::deque<connection_ptr> idle;
    std::unordered_set<connection*> busy;
    std::uint64_t generation = 0;
};

asio::awaitable<http_answer>
http_client::pool::exchange(std::shared_ptr<pool> self, http_call call)
{
    const std::uint64_t taken_in = self->generation;
    http_answer answer;
    connection_ptr with = self->take_idle();
    const bool reused = with != nullptr;
    if (!reused)
        with = std::make_shared<connection>(self->executor);

    self->busy.insert(with.get());
    bool open = reused;
    if (!reused)
        open = co_await self->connect(*with);
    if (open && taken_in == self->generation)
        answer = co_await self->write_and_read(with, call, taken_in);
    self->busy.erase(with.get());
    co_return answer;
}

http_client::http_client(
    asio::any_io_executor executor,
    tcp::endpoint server,
    const options& settings,
    byte_meter& meter)
    : connections(
          std::make_shared<pool>(std::move(executor), server, settings, meter))
{
}

asio::awaitable<http_answer> http_client::send(http_call call)
{
    return pool::exchange(this->connections, std::move(call));
}

void http_client::break_connections()
{
    this->connections->break_connections();
}

} // namespace roseworks::platform
