#include "adapters/peers/copy_exchange.hpp"

#include "adapters/peers/word_archive.hpp"
#include "adapters/peers/word_frame.hpp"
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

constexpr std::size_t length_bytes = 4;
constexpr unsigned bits_in_byte = 8;
constexpr std::size_t most_ask_bytes = 256;
constexpr std::size_t piece_bytes = std::size_t(64) << 10;

std::string with_length(const std::string& sealed)
{
    std::string framed;
    for (std::size_t i = length_bytes; i > 0; --i)
        framed +=
            static_cast<char>(sealed.size() >> ((i - 1) * bits_in_byte) & 0xFF);
    return framed + sealed;
}

std::size_t length_of(const std::array<char, length_bytes>& bytes)
{
    std::size_t length = 0;
    for (const char byte : bytes)
        length = length << bits_in_byte | static_cast<unsigned char>(byte);
    return length;
}

/// @return The word in a sealed frame; empty when it can't be read.
template <class Word>
std::optional<Word> word_of(const std::string& sealed)
{
    const auto content = peers::unseal(sealed);
    if (!content)
        return std::nullopt;
    try
    {
        word_archive archive(*content);
        Word word;
        archive(word);
        return word;
    }
    catch (const std::exception&)
    {
        // A router of another version, mostly: it counts as without a copy.
        return std::nullopt;
    }
}

} // namespace

copy_exchange::copy_exchange(
    asio::io_context& context, options chosen, platform::byte_meter& counted)
    : loop(context)
    , settings(std::move(chosen))
    , meter(counted)
    , acceptor(context, this->settings.listen)
{
}

void copy_exchange::serve(directory_copy_source& from)
{
    this->source = &from;
    asio::co_spawn(this->loop, this->accept(), asio::detached);
}

void copy_exchange::stop()
{
    this->stopped = true;
    this->source = nullptr;
    error_code ignored;
    this->acceptor.close(ignored);
}

asio::awaitable<void> copy_exchange::accept()
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
            // Out of descriptors, mostly.
            asio::steady_timer timer(this->loop, pause_after_error);
            co_await timer.async_wait(
                asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        if (this->answering >= this->settings.most_at_once)
            continue; // closed: the router asks another one
        asio::co_spawn(
            this->loop,
            this->answer(stream(std::move(socket))),
            asio::detached);
    }
}

asio::awaitable<void> copy_exchange::answer(stream with)
{
    ++this->answering;
    const auto asked = co_await this->read(with, most_ask_bytes);
    const auto what = asked ? word_of<copy_request>(*asked) : std::nullopt;
    if (what && this->source != nullptr)
    {
        auto bytes = this->written(this->source->copy_for(*what));
        co_await this->write(with, std::move(bytes));
    }
    --this->answering;
}

std::shared_ptr<const std::string>
copy_exchange::written(std::shared_ptr<const directory_copy> copy)
{
    if (!copy)
        copy = std::make_shared<const directory_copy>();
    if (copy != this->last)
    {
        this->last_bytes = std::make_shared<const std::string>(
            with_length(peers::seal(peers::to_archive(*copy))));
        this->last = std::move(copy);
    }
    return this->last_bytes;
}

void copy_exchange::fetch(
    std::string_view address, const copy_request& what, copy_done done)
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
        this->ask(*parsed, what),
        [this, done = std::move(done)](
            const std::exception_ptr&, std::optional<directory_copy> copy)
        {
            if (!this->stopped)
                done(std::move(copy));
        });
}

asio::awaitable<std::optional<directory_copy>>
copy_exchange::ask(tcp::endpoint whom, copy_request what)
{
    error_code error;
    stream with(this->loop);
    with.expires_after(this->settings.connect_timeout);
    co_await with.async_connect(
        whom, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return std::nullopt;
    auto asked = std::make_shared<const std::string>(
        with_length(peers::seal(peers::to_archive(what))));
    const bool sent = co_await this->write(with, std::move(asked));
    if (!sent)
        co_return std::nullopt;
    const auto answered = co_await this->read(with, this->settings.most_bytes);
    if (!answered)
        co_return std::nullopt;
    auto copy = word_of<directory_copy>(*answered);
    // One that knows nothing says so by its age.
    if (copy && copy->state.age_us < 0)
        copy.reset();
    co_return copy;
}

asio::awaitable<bool>
copy_exchange::write(stream& to, std::shared_ptr<const std::string> bytes)
{
    std::size_t done = 0;
    while (done < bytes->size())
    {
        const auto piece = asio::buffer(
            bytes->data() + done, std::min(piece_bytes, bytes->size() - done));
        error_code error;
        to.expires_after(this->settings.silence);
        const std::size_t size = co_await to.async_write_some(
            piece, asio::redirect_error(asio::use_awaitable, error));
        this->meter.sent += size;
        done += size;
        if (error)
            co_return false;
    }
    co_return true;
}

asio::awaitable<std::optional<std::string>>
copy_exchange::read(stream& from, std::size_t most)
{
    error_code error;
    std::array<char, length_bytes> head{};
    from.expires_after(this->settings.silence);
    co_await asio::async_read(
        from,
        asio::buffer(head),
        asio::redirect_error(asio::use_awaitable, error));
    const std::size_t length = length_of(head);
    if (error || length > most)
        co_return std::nullopt;
    std::string bytes;
    while (bytes.size() < length)
    {
        const std::size_t before = bytes.size();
        bytes.resize(std::min(before + piece_bytes, length));
        from.expires_after(this->settings.silence);
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
