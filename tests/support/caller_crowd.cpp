#include "tests/support/caller_crowd.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>

namespace roseworks::test
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// Callers of a crowd that send at the same time.
constexpr std::size_t senders = 16;

/// Bytes of one write.
constexpr std::size_t write_bytes = std::size_t(64) << 10;

/// A caller gives up when nothing was taken for this time.
constexpr timeval send_limit{.tv_sec = 20, .tv_usec = 0};

tcp::endpoint endpoint_of(std::string_view address)
{
    const auto colon = address.rfind(':');
    const std::string_view digits = address.substr(colon + 1);
    unsigned short port = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
    return {
        asio::ip::make_address(std::string(address.substr(0, colon))), port};
}

} // namespace

raw_caller::raw_caller(std::string_view address)
    : socket(this->context)
{
    boost::system::error_code ignored;
    this->socket.connect(endpoint_of(address), ignored);
    ::setsockopt(
        this->socket.native_handle(),
        SOL_SOCKET,
        SO_SNDTIMEO,
        &send_limit,
        sizeof(send_limit));
}

bool raw_caller::send(std::string_view bytes)
{
    while (!bytes.empty())
    {
        const auto sent = ::send(
            this->socket.native_handle(),
            bytes.data(),
            bytes.size(),
            MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool raw_caller::send_repeated(std::string_view bytes, std::size_t times)
{
    const std::size_t per_write =
        std::clamp<std::size_t>(write_bytes / bytes.size(), 1, times);
    std::string piece;
    for (std::size_t i = 0; i < per_write; ++i)
        piece += bytes;
    for (; times >= per_write; times -= per_write)
    {
        if (!this->send(piece))
            return false;
    }
    return this->send(std::string_view(piece).substr(0, times * bytes.size()));
}

void raw_caller::fill(std::string_view bytes, std::size_t max_bytes)
{
    std::size_t taken = 0;
    while (taken < max_bytes)
    {
        const auto sent = ::send(
            this->socket.native_handle(),
            bytes.data(),
            bytes.size(),
            MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent <= 0)
            return;
        taken += static_cast<std::size_t>(sent);
    }
}

caller_crowd::caller_crowd(std::string_view address, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        this->callers.push_back(std::make_unique<raw_caller>(address));
}

void caller_crowd::each(const std::function<void(raw_caller&)>& action)
{
    std::vector<std::thread> threads;
    for (std::size_t first = 0; first < senders; ++first)
        threads.emplace_back(
            [&, first]
            {
                for (std::size_t i = first; i < this->callers.size();
                     i += senders)
                    action(*this->callers[i]);
            });
    for (std::thread& thread : threads)
        thread.join();
}

std::string chunk_of(std::string_view content)
{
    std::ostringstream text;
    text << std::hex << content.size() << "\r\n" << content << "\r\n";
    return text.str();
}

bool send_chunks(
    raw_caller& caller, std::size_t body_bytes, std::size_t chunk_bytes)
{
    const std::string whole = chunk_of(std::string(chunk_bytes, 'x'));
    const std::size_t rest = body_bytes % chunk_bytes;
    const bool sent = caller.send_repeated(whole, body_bytes / chunk_bytes);
    if (!sent || rest == 0)
        return sent;
    return caller.send(chunk_of(std::string(rest, 'x')));
}

} // namespace roseworks::test
