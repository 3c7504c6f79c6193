#include "adapters/peers/gateway_peers.hpp"

#include "adapters/peers/checksum_frame.hpp"
#include "adapters/peers/message_archive.hpp"
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

/// @return A datagram: the checksum, the kind as one byte, and the message.
template <class Message>
std::string encode(std::uint8_t kind, const Message& message)
{
    return peers::add_checksum(
        static_cast<char>(kind) + peers::serialise(message));
}

/// @return The list, split into consecutive parts that each fit approximately
///         into `max_bytes`.
template <class Element>
std::vector<std::vector<Element>> split_list(
    const std::vector<Element>& list,
    std::size_t element_bytes,
    std::size_t max_bytes)
{
    const std::size_t elements_per_part =
        std::max<std::size_t>(max_bytes / element_bytes, 1);
    std::vector<std::vector<Element>> parts;
    for (std::size_t i = 0; i < list.size(); i += elements_per_part)
    {
        const auto first = list.begin() + static_cast<std::ptrdiff_t>(i);
        const auto last =
            list.begin() + static_cast<std::ptrdiff_t>(
                               std::min(i + elements_per_part, list.size()));
        parts.emplace_back(first, last);
    }
    return parts;
}

/// Upper estimates of the encoded sizes, for names of usual length.
constexpr std::size_t max_need_bytes = 72;
constexpr std::size_t max_usage_bytes = 72;
constexpr std::size_t max_engine_bytes = 220;
constexpr std::size_t max_pace_bytes = sizeof(std::uint16_t); ///< of an engine
constexpr std::size_t max_pace_sample_bytes = 28;
constexpr std::size_t max_limit_bytes = 64;
constexpr std::size_t max_crash_bytes = 28;
constexpr std::size_t max_part_crash_bytes = 38;
constexpr std::size_t max_origin_bytes = 24;
/// Of the sightings that accompany records.
constexpr std::size_t max_sightings_bytes = 1000;
constexpr std::size_t max_content_bytes =
    gateway_peers::max_datagram_bytes - 100;

} // namespace

gateway_peers::gateway_peers(
    asio::io_context& loop,
    const udp::endpoint& listen,
    event_sink& events,
    platform::byte_meter& meter)
    : socket(loop, listen)
    , events(events)
    , meter(meter)
    , part_timer(loop)
{
    this->socket.non_blocking(true);
}

void gateway_peers::start(gateway_peer_listener& receiver)
{
    this->listener = &receiver;
    this->receive();
}

void gateway_peers::stop()
{
    this->queued_parts.clear();
    this->part_timer.cancel();
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

void gateway_peers::receive()
{
    this->socket.async_wait(
        udp::socket::wait_read,
        [this](const boost::system::error_code& error)
        {
            if (error == asio::error::operation_aborted ||
                !this->socket.is_open())
                return;
            if (!error)
                this->receive_batch();
            if (this->socket.is_open())
                this->receive();
        });
}

void gateway_peers::receive_batch()
{
    // On a busy event loop, one datagram for each pass over all other events
    // is so slow that datagrams are seconds old, or lost, when they are read.
    constexpr int max_batch = 64;
    for (int i = 0; i < max_batch && this->socket.is_open(); ++i)
    {
        boost::system::error_code error;
        const std::size_t size = this->socket.receive_from(
            asio::buffer(this->buffer), this->sender, 0, error);
        if (error == asio::error::would_block)
            return;
        if (!error)
            this->handle_datagram({this->buffer.data(), size});
    }
}

void gateway_peers::handle_datagram(std::string_view datagram)
{
    this->meter.received += datagram.size();
    const auto content = peers::remove_checksum(datagram);
    if (!content)
    {
        ++this->rejected_count;
        return;
    }
    const std::string_view body = content->substr(1);
    switch (static_cast<message_kind>(content->front()))
    {
    case message_kind::router_status:
        if (router_report report; this->decode(body, report))
            this->listener->router_report_received(report);
        return;
    case message_kind::ownership:
        if (owner_announcement announcement; this->decode(body, announcement))
            this->listener->owner_announcement_received(
                announcement, this->sender_address());
        return;
    case message_kind::directory:
        if (directory_update message; this->decode(body, message))
            this->listener->directory_update_received(message);
        return;
    case message_kind::quota_request:
        if (quota_query request; this->decode(body, request))
            this->listener->quota_query_received(
                request, this->sender_address());
        return;
    case message_kind::quota_response:
        if (quota_reply response; this->decode(body, response))
            this->listener->quota_reply_received(response);
        return;
    case message_kind::server_limits:
        if (server_limit_update message; this->decode(body, message))
            this->listener->server_limit_update_received(message);
        return;
    case message_kind::crashes:
        if (crash_report message; this->decode(body, message))
            this->listener->crash_report_received(
                message, this->sender_address());
        return;
    case message_kind::part_crashes:
        if (part_crash_report message; this->decode(body, message))
            this->listener->part_crash_report_received(
                message, this->sender_address());
        return;
    case message_kind::origins:
        if (origin_message message; this->decode(body, message))
            this->listener->origin_message_received(
                message, this->sender_address());
        return;
    }
    ++this->rejected_count;
}

std::string gateway_peers::sender_address() const
{
    std::ostringstream text;
    text << this->sender;
    return text.str();
}

template <class Message>
bool gateway_peers::decode(std::string_view content, Message& message)
{
    try
    {
        message_archive archive(content);
        archive(message);
        return true;
    }
    catch (const std::exception&)
    {
        // The sender usually runs another version.
        ++this->rejected_count;
        return false;
    }
}

template <class Message>
void gateway_peers::send_message(
    std::span<const std::string> addresses,
    message_kind kind,
    const Message& message)
{
    this->send_datagram(
        addresses, encode(static_cast<std::uint8_t>(kind), message));
}

void gateway_peers::send_datagram(
    std::span<const std::string> addresses, const std::string& datagram)
{
    for (const std::string& address : addresses)
    {
        const auto parsed = platform::parse_endpoint(address);
        if (!parsed)
            continue;
        boost::system::error_code error;
        const std::size_t size = this->socket.send_to(
            asio::buffer(datagram),
            udp::endpoint(parsed->address(), parsed->port()),
            0,
            error);
        // A failed send is treated like a datagram lost in the network.
        this->meter.sent += error ? 0 : size;
    }
}

void gateway_peers::send(
    std::span<const std::string> addresses, const router_report& report)
{
    const auto needs =
        split_list(report.needs, max_need_bytes, max_content_bytes);
    const auto uses =
        split_list(report.uses, max_usage_bytes, max_content_bytes);
    router_report part = report;
    part.needs.clear();
    part.uses.clear();
    part.pace_samples.clear();
    for (const auto& chunk : needs)
    {
        part.needs = chunk;
        this->send_message(addresses, message_kind::router_status, part);
        ++part.sequence;
        part.unreachable_engines.clear(); // sent only once
    }
    part.needs.clear();
    for (const auto& chunk : uses)
    {
        part.uses = chunk;
        this->send_message(addresses, message_kind::router_status, part);
        ++part.sequence;
        part.unreachable_engines.clear();
    }
    part.uses.clear();
    for (const auto& chunk : split_list(
             report.pace_samples, max_pace_sample_bytes, max_content_bytes))
    {
        part.pace_samples = chunk;
        this->send_message(addresses, message_kind::router_status, part);
        ++part.sequence;
        part.unreachable_engines.clear();
    }
    if (needs.empty() && uses.empty() && report.pace_samples.empty())
        this->send_message(addresses, message_kind::router_status, part);
}

void gateway_peers::send(
    std::span<const std::string> addresses,
    const owner_announcement& announcement)
{
    owner_announcement part = announcement;
    part.engines.clear();
    const bool has_paces =
        announcement.paces.size() == announcement.engines.size();
    const std::size_t engine_bytes =
        max_engine_bytes + (has_paces ? max_pace_bytes : 0);
    auto pace = announcement.paces.begin();
    for (const auto& chunk :
         split_list(announcement.engines, engine_bytes, max_content_bytes))
    {
        part.engines = chunk;
        part.paces.clear();
        if (has_paces)
        {
            const auto end = pace + static_cast<std::ptrdiff_t>(chunk.size());
            part.paces.assign(pace, end);
            pace = end;
        }
        this->send_message(addresses, message_kind::ownership, part);
    }
    if (announcement.engines.empty())
        this->send_message(addresses, message_kind::ownership, part);
}

void gateway_peers::send(
    std::span<const std::string> addresses, const crash_report& report)
{
    this->send_crashes(
        addresses, message_kind::crashes, report, max_crash_bytes);
}

void gateway_peers::send(
    std::span<const std::string> addresses, const part_crash_report& report)
{
    this->send_crashes(
        addresses, message_kind::part_crashes, report, max_part_crash_bytes);
}

template <class Record>
void gateway_peers::send_crashes(
    std::span<const std::string> addresses,
    message_kind kind,
    const basic_crash_report<Record>& report,
    std::size_t record_bytes)
{
    const auto chunks =
        split_list(report.crashes, record_bytes, max_content_bytes);
    basic_crash_report<Record> part = report;
    for (std::size_t i = 0; i < chunks.size(); ++i)
    {
        // Only the last part is answered, when all records have arrived.
        const bool is_last = i + 1 == chunks.size();
        part.stage = is_last ? report.stage : report_stage::change;
        part.crashes = chunks[i];
        this->send_message(addresses, kind, part);
        part.trials.clear();
    }
    if (chunks.empty())
        this->send_message(addresses, kind, part);
}

void gateway_peers::send(
    std::span<const std::string> addresses, const origin_message& message)
{
    const std::size_t room = message.sightings.empty()
                                 ? max_content_bytes
                                 : max_content_bytes - max_sightings_bytes;
    origin_message part = message;
    for (auto& chunk : split_list(message.records, max_origin_bytes, room))
    {
        part.records = std::move(chunk);
        this->send_message(addresses, message_kind::origins, part);
        // Sent only once.
        part.sightings.clear();
        part.observed_us = 0;
    }
    if (message.records.empty())
        this->send_message(addresses, message_kind::origins, part);
}

void gateway_peers::send(
    std::span<const std::string> addresses, const directory_update& message)
{
    if (message.registry.age_us < 0)
    {
        // Without changes of the registry, the order doesn't matter.
        this->send_message(addresses, message_kind::directory, message);
        return;
    }
    const auto kind = static_cast<std::uint8_t>(message_kind::directory);
    const std::vector<std::string> recipients(
        addresses.begin(), addresses.end());
    for (const directory_update& part : split(message, max_content_bytes))
        this->queued_parts.push_back({recipients, encode(kind, part)});
    while (this->queued_parts.size() > max_queued_parts)
        this->queued_parts.pop_front();
    if (!this->is_part_timer_running)
        this->send_next_part();
}

void gateway_peers::send(
    std::span<const std::string> addresses, const server_limit_update& message)
{
    server_limit_update part = message;
    for (auto& chunk :
         split_list(message.limits, max_limit_bytes, max_content_bytes))
    {
        part.limits = std::move(chunk);
        this->send_message(addresses, message_kind::server_limits, part);
    }
}

void gateway_peers::send(std::string_view address, const quota_query& ask)
{
    // Not split: a message holds only a few draws and returns.
    const std::string recipients[] = {std::string(address)};
    this->send_message(recipients, message_kind::quota_request, ask);
}

void gateway_peers::send(std::string_view address, const quota_reply& answer)
{
    const std::string recipients[] = {std::string(address)};
    this->send_message(recipients, message_kind::quota_response, answer);
}

void gateway_peers::send_next_part()
{
    if (this->queued_parts.empty())
        return;
    const queued_part part = std::move(this->queued_parts.front());
    this->queued_parts.pop_front();
    this->send_datagram(part.addresses, part.datagram);
    this->is_part_timer_running = true;
    this->part_timer.expires_after(part_interval);
    this->part_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            this->is_part_timer_running = false;
            if (!error)
                this->send_next_part();
        });
}

} // namespace roseworks
