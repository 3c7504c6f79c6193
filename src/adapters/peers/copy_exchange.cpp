#include "adapters/peers/copy_exchange.hpp"

#include "adapters/peers/checksum_frame.hpp"
#include "adapters/peers/decode_message.hpp"
#include "adapters/peers/deflate.hpp"
#include "adapters/peers/length_prefix.hpp"
#include "adapters/platform/endpoint.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

namespace roseworks
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr std::size_t max_request_bytes = 256;
constexpr std::size_t chunk_bytes = std::size_t(64) << 10;

/// First byte of a compressed response. An archive begins with its byte order,
/// which is 0 or 1.
constexpr char compressed_mark = 2;

/// Number of different copies whose encoded form is kept.
constexpr std::size_t max_encoded_copies = 4;

} // namespace

copy_exchange::copy_exchange(
    asio::io_context& context, options settings, platform::byte_meter& meter)
    : loop(context)
    , settings(std::move(settings))
    , meter(meter)
    , acceptor(context, this->settings.listen)
{
}

void copy_exchange::serve(directory_copy_source& from)
{
    this->source = &from;
    asio::co_spawn(this->loop, this->accept_connections(), asio::detached);
}

void copy_exchange::stop()
{
    this->stopped = true;
    this->source = nullptr;
    this->data_changed();
    error_code ignored;
    this->acceptor.close(ignored);
}

asio::awaitable<void> copy_exchange::accept_connections()
{
    constexpr std::chrono::milliseconds pause_after_error{50};
    while (!this->stopped)
    {
        error_code error;
        tcp::socket socket(this->loop);
        co_await this->acceptor.async_accept(
            socket, asio::redirect_error(asio::use_awaitable, error));
        if (this->stopped)
            co_return;
        if (error)
        {
            // Usually the process has run out of file descriptors. Wait before
            // the next attempt.
            asio::steady_timer timer(this->loop, pause_after_error);
            co_await timer.async_wait(
                asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        if (this->connections >= this->settings.max_connections)
            continue; // closes the socket; the router asks another router
        asio::co_spawn(
            this->loop,
            this->serve_request(stream(std::move(socket))),
            asio::detached);
    }
}

asio::awaitable<void> copy_exchange::serve_request(stream connection)
{
    ++this->connections;
    const auto frame = co_await this->read_frame(connection, max_request_bytes);
    const auto request =
        frame ? peers::decode_message<copy_request>(*frame) : std::nullopt;
    if (request)
    {
        co_await this->hold(*request);
        co_await this->respond(connection, *request);
    }
    --this->connections;
}

asio::awaitable<void> copy_exchange::hold(const copy_request& request)
{
    constexpr std::chrono::microseconds max_hold = std::chrono::seconds(1);
    asio::steady_timer timer(this->loop);
    timer.expires_after(std::clamp(
        std::chrono::microseconds(request.hold_us),
        std::chrono::microseconds::zero(),
        max_hold));
    const auto end = timer.expiry();
    this->held.insert(&timer);
    error_code ignored;
    while (this->source != nullptr && !this->source->has_newer(request) &&
           asio::steady_timer::clock_type::now() < end)
    {
        timer.expires_at(end);
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    this->held.erase(&timer);
}

void copy_exchange::data_changed()
{
    for (asio::steady_timer* timer : this->held)
        timer->cancel();
}

asio::awaitable<void>
copy_exchange::respond(stream& connection, const copy_request& request)
{
    if (this->source == nullptr)
        co_return;
    const auto frame = this->encode_copy(
        this->source->copy_for(request), request.accepts_compressed);
    const bool is_large =
        frame->size() > this->settings.max_small_response_bytes;
    if (is_large &&
        this->large_responses >= this->settings.max_concurrent_requests)
        co_return; // closes the socket; the router asks another router
    this->large_responses += is_large ? 1 : 0;
    co_await this->write_frame(connection, frame);
    this->large_responses -= is_large ? 1 : 0;
}

std::shared_ptr<const std::string> copy_exchange::encode_copy(
    std::shared_ptr<const directory_copy> copy, bool compressed)
{
    if (!copy)
        copy = std::make_shared<const directory_copy>();
    for (const encoded_copy& one : this->encoded_copies)
    {
        if (one.copy == copy && one.is_compressed == compressed)
            return one.frame;
    }
    std::string content = peers::serialise(*copy);
    if (compressed)
        content = compressed_mark + peers::deflate(content);
    auto frame = std::make_shared<const std::string>(
        peers::add_length_prefix(peers::add_checksum(content)));
    if (this->encoded_copies.size() >= max_encoded_copies)
        this->encoded_copies.erase(this->encoded_copies.begin());
    this->encoded_copies.push_back({std::move(copy), compressed, frame});
    return frame;
}

std::optional<directory_copy>
copy_exchange::decode_copy(std::string_view frame) const
{
    const auto content = peers::remove_checksum(frame);
    if (!content || content->front() != compressed_mark)
        return peers::decode_message<directory_copy>(frame);
    const auto archive =
        peers::inflate(content->substr(1), this->settings.max_response_bytes);
    if (!archive)
        return std::nullopt;
    return peers::decode_archive<directory_copy>(*archive);
}

void copy_exchange::fetch(
    std::string_view address, const copy_request& request, copy_done done)
{
    const auto parsed = platform::parse_endpoint(std::string(address));
    if (!parsed || this->stopped)
    {
        asio::post(
            this->loop,
            [done = std::move(done)]
            {
                done(std::nullopt);
            });
        return;
    }
    asio::co_spawn(
        this->loop,
        this->request_copy(*parsed, request),
        [this, done = std::move(done)](
            const std::exception_ptr&, std::optional<directory_copy> copy)
        {
            if (!this->stopped)
                done(std::move(copy));
        });
}

asio::awaitable<std::optional<directory_copy>>
copy_exchange::request_copy(tcp::endpoint endpoint, copy_request request)
{
    error_code error;
    stream connection(this->loop);
    request.accepts_compressed = true;
    connection.expires_after(this->settings.connect_timeout);
    co_await connection.async_connect(
        endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return std::nullopt;
    auto frame = std::make_shared<const std::string>(peers::add_length_prefix(
        peers::add_checksum(peers::serialise(request))));
    const bool sent = co_await this->write_frame(connection, std::move(frame));
    if (!sent)
        co_return std::nullopt;
    const auto response = co_await this->read_frame(
        connection, this->settings.max_response_bytes);
    if (!response)
        co_return std::nullopt;
    auto copy = this->decode_copy(*response);
    // A negative age means that the router has no data of this topic.
    if (copy && copy->state.age_us < 0)
        copy.reset();
    co_return copy;
}

asio::awaitable<bool>
copy_exchange::write_frame(stream& to, std::shared_ptr<const std::string> frame)
{
    std::size_t written = 0;
    while (written < frame->size())
    {
        const auto chunk = asio::buffer(
            frame->data() + written,
            std::min(chunk_bytes, frame->size() - written));
        error_code error;
        to.expires_after(this->settings.idle_timeout);
        const std::size_t size = co_await to.async_write_some(
            chunk, asio::redirect_error(asio::use_awaitable, error));
        this->meter.sent += size;
        written += size;
        if (error)
            co_return false;
    }
    co_return true;
}

asio::awaitable<std::optional<std::string>>
copy_exchange::read_frame(stream& from, std::size_t max_bytes)
{
    error_code error;
    std::array<char, peers::length_bytes> prefix{};
    from.expires_after(this->settings.idle_timeout);
    co_await asio::async_read(
        from,
        asio::buffer(prefix),
        asio::redirect_error(asio::use_awaitable, error));
    const std::size_t length = peers::decode_length(prefix);
    if (error || length > max_bytes)
        co_return std::nullopt;
    std::string bytes;
    while (bytes.size() < length)
    {
        const std::size_t before = bytes.size();
        bytes.resize(std::min(before + chunk_bytes, length));
        from.expires_after(this->settings.idle_timeout);
        const std::size_t size = co_await from.async_read_some(
            asio::buffer(bytes.data() + before, bytes.size() - before),
            asio::redirect_error(asio::use_awaitable, error));
        this->meter.received += size;
        if (error)
            co_return std::nullopt;
        bytes.resize(before + size);
    }
    co_return bytes;
}

} // namespace roseworks
