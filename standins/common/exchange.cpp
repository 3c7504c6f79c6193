#include "standins/common/exchange.hpp"

#include "standins/common/json_fields.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>

#include <charconv>
#include <utility>

namespace roseworks::standins
{

namespace
{

constexpr auto quietly = asio::as_tuple(asio::use_awaitable);

} // namespace

exchange::exchange(tls::secure_stream& client, const http_request& incoming)
    : stream(client)
    , received(incoming)
{
    const auto parsed = boost::urls::parse_origin_form(
        {this->received.target().data(), this->received.target().size()});
    if (!parsed)
    {
        return;
    }
    this->target = *parsed;
    this->decoded_path = this->target.path();
}

const http_request& exchange::request() const
{
    return this->received;
}

const std::string& exchange::path() const
{
    return this->decoded_path;
}

bool exchange::is(http::verb verb, std::string_view path) const
{
    return this->received.method() == verb && this->decoded_path == path;
}

std::string exchange::header(std::string_view name) const
{
    const auto value = this->received[{name.data(), name.size()}];
    return {value.data(), value.size()};
}

std::string exchange::query(std::string_view name) const
{
    for (const auto& parameter : this->target.params())
    {
        if (parameter.key == name)
        {
            return parameter.value;
        }
    }
    return {};
}

std::uint64_t
exchange::query_number(std::string_view name, std::uint64_t fallback) const
{
    const std::string text = this->query(name);
    if (text.empty())
    {
        return fallback;
    }
    const std::optional<std::uint64_t> number = parse_whole_number(text);
    if (!number)
    {
        throw bad_request(std::string(name) + " is not a whole number");
    }
    return *number;
}

json::object exchange::body_object() const
{
    boost::system::error_code error;
    json::value parsed = json::parse(this->received.body(), error);
    if (error || !parsed.is_object())
    {
        throw bad_request("the body is not a JSON object");
    }
    return std::move(parsed.get_object());
}

void exchange::set_header(std::string_view name, std::string_view value)
{
    this->extra_headers.set(
        boost::beast::string_view(name.data(), name.size()),
        boost::beast::string_view(value.data(), value.size()));
}

template <class Message>
void exchange::fill_header(Message& message) const
{
    for (const auto& field : this->extra_headers)
    {
        message.set(field.name_string(), field.value());
    }
    message.keep_alive(this->received.keep_alive());
}

asio::awaitable<void> exchange::send_json(unsigned status, json::value body)
{
    std::string text = json::serialize(body);
    std::string content_type = "application/json";
    co_await this->send_bytes(status, std::move(content_type), std::move(text));
}

asio::awaitable<void> exchange::send_bytes(
    unsigned status, std::string content_type, std::string body)
{
    this->begun = true;
    this->finished = true;
    if (this->lost)
    {
        co_return;
    }
    http::response<http::string_body> answer(
        http::int_to_status(status), this->received.version());
    answer.set(http::field::content_type, content_type);
    this->fill_header(answer);
    answer.body() = std::move(body);
    answer.prepare_payload();
    const auto [error, size] =
        co_await http::async_write(this->stream, answer, quietly);
    this->failed = this->failed || error;
}

asio::awaitable<void> exchange::start_stream(std::string content_type)
{
    this->begun = true;
    if (this->lost)
    {
        co_return;
    }
    http::response<http::empty_body> answer(
        http::status::ok, this->received.version());
    answer.set(http::field::content_type, content_type);
    this->fill_header(answer);
    answer.chunked(true);
    http::response_serializer<http::empty_body> serializer(answer);
    const auto [error, size] =
        co_await http::async_write_header(this->stream, serializer, quietly);
    this->failed = this->failed || error;
}

asio::awaitable<void> exchange::write(std::string chunk)
{
    if (this->lost || this->failed)
    {
        co_return;
    }
    const auto piece = http::make_chunk(asio::buffer(chunk));
    const auto [error, size] =
        co_await asio::async_write(this->stream, piece, quietly);
    this->failed = this->failed || error;
}

asio::awaitable<void> exchange::finish_stream()
{
    this->finished = true;
    if (this->lost || this->failed)
    {
        co_return;
    }
    const auto last = http::make_chunk_last();
    const auto [error, size] =
        co_await asio::async_write(this->stream, last, quietly);
    this->failed = this->failed || error;
}

void exchange::lose_answer()
{
    this->lost = true;
}

bool exchange::client_gone()
{
    if (this->lost)
    {
        return false;
    }
    if (this->failed)
    {
        return true;
    }
    return this->stream.check_idle() == tls::idle_state::closed;
}

bool exchange::answered() const
{
    return this->begun;
}

bool exchange::reusable() const
{
    return this->finished && !this->lost && !this->failed &&
           this->received.keep_alive();
}

std::optional<std::uint64_t> parse_whole_number(std::string_view text)
{
    std::uint64_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || stop != end)
    {
        return std::nullopt;
    }
    return number;
}

asio::awaitable<void> sleep_for(std::chrono::microseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace roseworks::standins
