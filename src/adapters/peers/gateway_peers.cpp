#include "adapters/peers/gateway_peers.hpp"

#include "adapters/peers/word_archive.hpp"
#include "adapters/peers/word_frame.hpp"
#include "adapters/platform/endpoint.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <exception>
#include <sstream>
#include <utility>
#include <vector>

namespace roseworks
{

namespace asio = boost::asio;
using asio::ip::udp;

namespace
{

/// What is sealed begins with the kind of the word.
template <class Word>
std::string encode(std::uint8_t kind, const Word& word)
{
    return peers::seal(static_cast<char>(kind) + peers::to_archive(word));
}

/// @return The list cut into runs of about as many elements as fit.
template <class Element>
std::vector<std::vector<Element>>
cut(const std::vector<Element>& list, std::size_t bytes_each, std::size_t room)
{
    const std::size_t fit = std::max<std::size_t>(room / bytes_each, 1);
    std::vector<std::vector<Element>> parts;
    for (std::size_t i = 0; i < list.size(); i += fit)
    {
        const auto first = list.begin() + static_cast<std::ptrdiff_t>(i);
        const auto last = list.begin() + static_cast<std::ptrdiff_t>(
                                             std::min(i + fit, list.size()));
        parts.emplace_back(first, last);
    }
    return parts;
}

/// Encoded sizes at most, by names of usual length.
constexpr std::size_t need_bytes = 72;
constexpr std::size_t use_bytes = 72;
constexpr std::size_t engine_bytes = 220;
constexpr std::size_t limit_bytes = 64;
constexpr std::size_t word_room = gateway_peers::most_bytes - 100;

} // namespace

gateway_peers::gateway_peers(
    asio::io_context& loop,
    const udp::endpoint& listen,
    event_sink& sink,
    platform::byte_meter& counted)
    : socket(loop, listen)
    , events(sink)
    , meter(counted)
    , part_timer(loop)
{
    this->socket.non_blocking(true);
}

void gateway_peers::start(gateway_peer_listener& told)
{
    this->listener = &told;
    this->receive();
}

void gateway_peers::stop()
{
    this->parts.clear();
    this->part_timer.cancel();
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

void gateway_peers::receive()
{
    this->socket.async_receive_from(
        asio::buffer(this->buffer),
        this->sender,
        [this](const boost::system::error_code& error, std::size_t size)
        {
            if (error == asio::error::operation_aborted ||
                !this->socket.is_open())
                return;
            if (!error)
                this->take({this->buffer.data(), size});
            this->receive();
        });
}

void gateway_peers::take(std::string_view datagram)
{
    this->meter.received += datagram.size();
    const auto content = peers::unseal(datagram);
    if (!content)
    {
        ++this->rejected_count;
        return;
    }
    const std::string_view body = content->substr(1);
    switch (static_cast<word_kind>(content->front()))
    {
    case word_kind::router:
        if (router_report word; this->decode(body, word))
            this->listener->router_report_received(word);
        return;
    case word_kind::owner:
        if (owner_announcement word; this->decode(body, word))
            this->listener->owner_announcement_received(
                word, this->sender_text());
        return;
    case word_kind::broken:
        if (connection_loss_report word; this->decode(body, word))
            this->listener->connection_loss_received(word);
        return;
    case word_kind::directory:
        if (directory_word word; this->decode(body, word))
            this->listener->directory_update_received(word);
        return;
    case word_kind::quota_ask:
        if (quota_ask word; this->decode(body, word))
            this->listener->quota_query_received(word, this->sender_text());
        return;
    case word_kind::quota_answer:
        if (quota_answer word; this->decode(body, word))
            this->listener->quota_reply_received(word);
        return;
    case word_kind::server_limits:
        if (server_limit_word word; this->decode(body, word))
            this->listener->server_limit_update_received(word);
        return;
    }
    ++this->rejected_count;
}

std::string gateway_peers::sender_text() const
{
    std::ostringstream text;
    text << this->sender;
    return text.str();
}

template <class Word>
bool gateway_peers::decode(std::string_view content, Word& word)
{
    try
    {
        word_archive archive(content);
        archive(word);
        return true;
    }
    catch (const std::exception&)
    {
        // Counted: a sender of another version, mostly.
        ++this->rejected_count;
        return false;
    }
}

template <class Word>
void gateway_peers::send_one(
    std::span<const std::string> addresses, word_kind kind, const Word& word)
{
    this->send_datagram(
        addresses, encode(static_cast<std::uint8_t>(kind), word));
}

void gateway_peers::send_datagram(
    std::span<const std::string> addresses, const std::string& datagram)
{
    for (const std::string& address : addresses)
    {
        const auto parsed = platform::parse_endpoint(address);
        if (!parsed)
            continue;
        boost::system::error_code lost;
        const std::size_t size = this->socket.send_to(
            asio::buffer(datagram),
            udp::endpoint(parsed->address(), parsed->port()),
            0,
            lost);
        // A datagram that can't be sent is as good as lost on its way.
        this->meter.sent += lost ? 0 : size;
    }
}

void gateway_peers::send(
    std::span<const std::string> addresses, const router_report& word)
{
    const auto needs = cut(word.needs, need_bytes, word_room);
    const auto uses = cut(word.uses, use_bytes, word_room);
    router_report part = word;
    part.needs.clear();
    part.uses.clear();
    for (const auto& some : needs)
    {
        part.needs = some;
        this->send_one(addresses, word_kind::router, part);
        ++part.sequence;
        part.unreachable_engines.clear(); // told once
    }
    part.needs.clear();
    for (const auto& some : uses)
    {
        part.uses = some;
        this->send_one(addresses, word_kind::router, part);
        ++part.sequence;
        part.unreachable_engines.clear();
    }
    if (needs.empty() && uses.empty())
        this->send_one(addresses, word_kind::router, part);
}

void gateway_peers::send(
    std::span<const std::string> addresses, const owner_announcement& word)
{
    owner_announcement part = word;
    part.engines.clear();
    for (const auto& some : cut(word.engines, engine_bytes, word_room))
    {
        part.engines = some;
        this->send_one(addresses, word_kind::owner, part);
    }
    if (word.engines.empty())
        this->send_one(addresses, word_kind::owner, part);
}

void gateway_peers::send(
    std::span<const std::string> addresses, const connection_loss_report& word)
{
    this->send_one(addresses, word_kind::broken, word);
}

void gateway_peers::send(
    std::span<const std::string> addresses, const directory_word& word)
{
    const auto kind = static_cast<std::uint8_t>(word_kind::directory);
    const std::vector<std::string> to(addresses.begin(), addresses.end());
    for (const directory_word& part : split(word, word_room))
        this->parts.push_back({to, encode(kind, part)});
    while (this->parts.size() > most_parts)
        this->parts.pop_front();
    if (!this->is_pausing)
        this->send_part();
}

void gateway_peers::send(
    std::span<const std::string> addresses, const server_limit_word& word)
{
    server_limit_word part = word;
    for (auto& some : cut(word.limits, limit_bytes, word_room))
    {
        part.limits = std::move(some);
        this->send_one(addresses, word_kind::server_limits, part);
    }
}

void gateway_peers::send(std::string_view address, const quota_ask& ask)
{
    // A few draws and returns at most: they are sent as they come.
    const std::string to[] = {std::string(address)};
    this->send_one(to, word_kind::quota_ask, ask);
}

void gateway_peers::send(std::string_view address, const quota_answer& answer)
{
    const std::string to[] = {std::string(address)};
    this->send_one(to, word_kind::quota_answer, answer);
}

void gateway_peers::send_part()
{
    if (this->parts.empty())
        return;
    const waiting_part part = std::move(this->parts.front());
    this->parts.pop_front();
    this->send_datagram(part.addresses, part.datagram);
    this->is_pausing = true;
    this->part_timer.expires_after(part_pause);
    this->part_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            this->is_pausing = false;
            if (!error)
                this->send_part();
        });
}

} // namespace roseworks
