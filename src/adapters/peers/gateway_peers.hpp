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

/** Words between the gateways, one cereal archive a datagram behind a checksum.

    A datagram that is damaged or isn't a word is counted and dropped. Words
    that are too long for one datagram are split by their lists. Runs on the
    control thread's context and has to outlive its last run.
*/
class gateway_peers final : public gateway_peer_port
{
public:
    /// Bytes of a datagram at most: under a usual network's packet, so that
    /// one lost packet loses no other.
    static constexpr std::size_t most_bytes = 1400;
    /// Between two datagrams to all routers of one long word: sent at once they
    /// would fill the link, and the last ones be lost.
    static constexpr std::chrono::milliseconds part_pause{20};
    /// Parts that wait at most; the oldest are dropped then.
    static constexpr std::size_t most_parts = 32;

    /// Binds the socket.
    /// @throws boost::system::system_error when the address can't be bound.
    gateway_peers(
        boost::asio::io_context& loop,
        const boost::asio::ip::udp::endpoint& listen,
        event_sink& events,
        platform::byte_meter& meter);

    void start(gateway_peer_listener& listener) override;
    void send(std::span<const std::string> addresses, const router_report& word)
        override;
    void send(
        std::span<const std::string> addresses,
        const owner_announcement& word) override;
    void send(
        std::span<const std::string> addresses,
        const connection_loss_report& word) override;
    void send(
        std::span<const std::string> addresses,
        const directory_update& word) override;
    void send(
        std::span<const std::string> addresses,
        const server_limit_update& word) override;
    void send(std::string_view address, const quota_query& ask) override;
    void send(std::string_view address, const quota_reply& answer) override;
    void stop() override;

    std::uint64_t rejected() const
    {
        return this->rejected_count;
    }

private:
    enum class word_kind : std::uint8_t
    {
        router = 1,
        owner = 2,
        broken = 3,
        directory = 4,
        quota_query = 5,
        quota_reply = 6,
        server_limits = 7
    };

    void receive();
    void take(std::string_view datagram);
    std::string sender_text() const;
    template <class Word>
    bool decode(std::string_view content, Word& word);
    void send_datagram(
        std::span<const std::string> addresses, const std::string& datagram);
    void send_part();
    template <class Word>
    void send_one(
        std::span<const std::string> addresses, word_kind kind, const Word&);

    boost::asio::ip::udp::socket socket;
    event_sink& events;
    platform::byte_meter& meter;
    gateway_peer_listener* listener = nullptr;
    boost::asio::ip::udp::endpoint sender;
    std::array<char, 65536> buffer;
    std::uint64_t rejected_count = 0;

    /// A part of a long word on its way to many.
    struct waiting_part
    {
        std::vector<std::string> addresses;
        std::string datagram;
    };

    std::deque<waiting_part> parts;
    boost::asio::steady_timer part_timer;
    bool is_pausing = false; ///< after a part
};

} // namespace roseworks
