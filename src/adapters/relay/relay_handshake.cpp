#include "adapters/relay/relay_handshake.hpp"

#include "adapters/peers/checksum_frame.hpp"
#include "adapters/peers/decode_message.hpp"
#include "adapters/peers/length_prefix.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace roseworks::relay
{

namespace asio = boost::asio;
using edge::tcp;
using edge::use_awaitable_tuple;

namespace
{

template <class Message>
std::string encode_message(const Message& message)
{
    return peers::add_length_prefix(
        peers::add_checksum(peers::serialise(message)));
}

template <class Message>
asio::awaitable<std::optional<Message>> read_message(tls::secure_stream& stream)
{
    std::array<char, peers::length_bytes> prefix{};
    const auto [prefix_error, prefix_size] = co_await asio::async_read(
        stream, asio::buffer(prefix), use_awaitable_tuple);
    const std::size_t length = peers::decode_length(prefix);
    if (prefix_error || length > max_handshake_bytes)
        co_return std::nullopt;
    std::string frame(length, '\0');
    const auto [error, size] = co_await asio::async_read(
        stream, asio::buffer(frame), use_awaitable_tuple);
    if (error)
        co_return std::nullopt;
    co_return peers::decode_message<Message>(frame);
}

asio::awaitable<relay_status> exchange_handshake(
    tls::secure_stream& stream,
    tcp::endpoint router,
    const relay_request& request)
{
    const auto [connect_error] =
        co_await stream.async_connect(router, use_awaitable_tuple);
    if (connect_error)
        co_return relay_status::no_reply;
    boost::system::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    const std::string bytes = encode(request);
    const auto [write_error, written] = co_await asio::async_write(
        stream, asio::buffer(bytes), use_awaitable_tuple);
    if (write_error)
        co_return relay_status::no_reply;
    const auto reply = co_await read_message<relay_reply>(stream);
    if (!reply || reply->status > last_relay_status)
        co_return relay_status::no_reply;
    co_return static_cast<relay_status>(reply->status);
}

} // namespace

std::string encode(const relay_request& request)
{
    return encode_message(request);
}

std::string encode(const relay_reply& reply)
{
    return encode_message(reply);
}

asio::awaitable<std::optional<relay_request>>
read_request(tls::secure_stream& stream)
{
    auto request = co_await read_message<relay_request>(stream);
    co_return request;
}

asio::awaitable<relay_status> ask_router(
    tls::secure_stream& stream,
    tcp::endpoint router,
    const relay_request& request,
    duration limit)
{
    stream.expires_after(limit);
    const relay_status status =
        co_await exchange_handshake(stream, router, request);
    stream.expires_never();
    co_return status;
}

} // namespace roseworks::relay
