#pragma once

#include "adapters/peers/datagram_seal.hpp"
#include "adapters/peers/mac_keys.hpp"
#include "ports/clock.hpp"
#include "ports/event_sink.hpp"
#include "ports/peer_port.hpp"

#include <roseworks/membership.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/** Sends and receives the messages of the `membership` core as authenticated
    UDP datagrams.

    All messages are hints. Runs on the control thread's io_context. A datagram
    that can't be authenticated, is malformed or is repeated is dropped and
    counted, and at most one event every ten seconds reports such datagrams. A
    datagram of a session that isn't running according to the log as read so far
    is dropped and counted without an event.
*/
class udp_peers : public peer_port
{
public:
    struct options
    {
        boost::asio::ip::udp::endpoint listen;
        /// Key file. If empty, datagrams are only checked for damage.
        std::string mac_key_file;
        /// Has to be higher than the counters of this VM's earlier processes.
        std::uint64_t first_counter = 0;
        duration key_reload_interval = std::chrono::seconds(5);
        membership::options probing;
    };

    /// Traffic counters. Only the byte counts may be read from any thread.
    struct counters
    {
        std::uint64_t datagrams_sent = 0;
        std::atomic<std::uint64_t> bytes_sent{0};
        std::uint64_t datagrams_received = 0;
        std::atomic<std::uint64_t> bytes_received{0};
        std::uint64_t rejected = 0;
    };

    /** Binds the socket.

        @param context  The control thread's context.
        @param keys     Initial keys.
        @param settings Options.
        @param clock    Monotonic clock.
        @param events   Receives events about peers and rejected datagrams.
        @throws boost::system::system_error if the address can't be bound.
    */
    udp_peers(
        boost::asio::io_context& context,
        mac_keys keys,
        options settings,
        const clock_port& clock,
        event_sink& events);

    std::string address() const override;
    void start(peer_listener& receiver) override;
    void sessions_changed(
        session_id own, std::span<const peer_session> peers) override;
    void send_demand(
        session_id to,
        std::string_view peer_address,
        const servable_demand& demand) override;
    void send_visit(
        session_id to,
        std::string_view peer_address,
        const caller_visit& visit) override;
    void stop() override;

    const counters& traffic() const;

    /// Reloads the key file now. Does nothing if there is none.
    void reload_keys();

private:
    static constexpr std::size_t max_datagram_bytes = 2048;
    /// Minimum interval between two events about rejected datagrams. It limits
    /// the log's growth, because anybody can send invalid datagrams.
    static constexpr duration rejection_report_interval =
        std::chrono::seconds(10);

    void receive();
    void handle_datagram(std::size_t bytes);
    void reject(std::string_view cause);
    bool is_replay(session_id from, std::uint64_t counter);
    void flush();
    void send(const membership::outgoing& item);
    void notify_listener();
    void report_change(session_id session, liveness state);
    void schedule_tick();
    void schedule_key_reload();

    options settings;
    const clock_port& clock;
    event_sink& events;
    datagram_seal sealer;
    membership members;
    boost::asio::ip::udp::socket socket;
    boost::asio::steady_timer tick_timer;
    boost::asio::steady_timer reload_timer;
    boost::asio::ip::udp::endpoint sender;
    std::array<std::byte, max_datagram_bytes> buffer{};
    std::map<session_id, replay_window> replay_windows;
    std::vector<session_id> reported_alive; ///< live sessions, as last reported
    peer_listener* listener = nullptr;
    counters traffic_counters;
    std::uint64_t unreported_rejections = 0; ///< since the last event
    instant next_rejection_report{};
};

} // namespace roseworks
