#pragma once

#include "adapters/platform/byte_meter.hpp"
#include "ports/event_sink.hpp"
#include "ports/gateway_peer_port.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/** Messages between routers. Each datagram holds a checksum and one cereal
    archive.

    A damaged or malformed datagram is counted and dropped. A message that is
    too long for one datagram is split into several that each hold a part of its
    lists. All calls run on the control thread's I/O context, and the object
    must outlive the last run of that context.
*/
class gateway_peers final : public gateway_peer_port
{
public:
    /// Maximum size of a datagram. It is below the usual MTU, so that IP
    /// doesn't fragment a datagram and the loss of one packet loses only one
    /// datagram.
    static constexpr std::size_t max_datagram_bytes = 1400;
    /// Interval between the parts of a long message to all routers. Sent at
    /// once, they would saturate the link and the last ones would be lost.
    static constexpr std::chrono::milliseconds part_interval{20};
    /// Maximum number of queued parts. Beyond it the oldest are dropped.
    static constexpr std::size_t max_queued_parts = 32;

    /// Binds the socket.
    /// @throws boost::system::system_error if the address can't be bound.
    gateway_peers(
        boost::asio::io_context& loop,
        const boost::asio::ip::udp::endpoint& listen,
        event_sink& events,
        platform::byte_meter& meter);

    void start(gateway_peer_listener& listener) override;
    void send(
        std::span<const std::string> addresses,
        const router_report& report) override;
    void send(
        std::span<const std::string> addresses,
        const owner_announcement& announcement) override;
    void send(
        std::span<const std::string> addresses,
        const crash_report& report) override;
    void send(
        std::span<const std::string> addresses,
        const part_crash_report& report) override;
    void send(
        std::span<const std::string> addresses,
        const origin_message& message) override;
    void send(
        std::span<const std::string> addresses,
        const directory_update& message) override;
    void send(
        std::span<const std::string> addresses,
        const server_limit_update& message) override;
    void send(std::string_view address, const quota_query& ask) override;
    void send(std::string_view address, const quota_reply& answer) override;
    void stop() override;

    std::uint64_t rejected() const
    {
        return this->rejected_count;
    }

private:
    enum class message_kind : std::uint8_t
    {
        router_status = 1,
        ownership = 2,
        // 3 was a message of earlier versions.
        directory = 4,
        quota_request = 5,
        quota_response = 6,
        server_limits = 7,
        crashes = 8,
        origins = 9,
        part_crashes = 10
    };

    void receive();
    /// Reads the datagrams that have arrived, up to a limit.
    void receive_batch();
    void handle_datagram(std::string_view datagram);
    std::string sender_address() const;
    template <class Message>
    bool decode(std::string_view content, Message& message);
    template <class Record>
    void send_crashes(
        std::span<const std::string> addresses,
        message_kind kind,
        const basic_crash_report<Record>& report,
        std::size_t record_bytes);
    void send_datagram(
        std::span<const std::string> addresses, const std::string& datagram);
    void send_next_part();
    template <class Message>
    void send_message(
        std::span<const std::string> addresses,
        message_kind kind,
        const Message&);

    boost::asio::ip::udp::socket socket;
    event_sink& events;
    platform::byte_meter& meter;
    gateway_peer_listener* listener = nullptr;
    boost::asio::ip::udp::endpoint sender;
    std::array<char, 65536> buffer;
    std::uint64_t rejected_count = 0;

    /// A part of a long message that is sent after the parts before it.
    struct queued_part
    {
        std::vector<std::string> addresses;
        std::string datagram;
    };

    std::deque<queued_part> queued_parts;
    boost::asio::steady_timer part_timer;
    bool is_part_timer_running = false;
};

} // namespace roseworks
