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

/** Datagrams between routers: sealed UDP around the `membership` core.

    Hints only. Runs on the control thread's io_context. A datagram that can't
    be authenticated, is repeated, or isn't a message is counted, told of in an
    event every ten seconds, and dropped. So is, without an event, one of a
    session that isn't running as far as the log is read.
*/
class udp_peers : public peer_port
{
public:
    struct options
    {
        boost::asio::ip::udp::endpoint listen;
        /// Key file; empty: datagrams are checked for damage only.
        std::string mac_key_file;
        /// Higher than the counters of this VM's earlier processes.
        std::uint64_t first_counter = 0;
        duration key_reload = std::chrono::seconds(5);
        membership::options probing;
    };

    /// What went over the wire; the bytes may be read from any thread.
    struct counters
    {
        std::uint64_t datagrams_sent = 0;
        std::atomic<std::uint64_t> bytes_sent{0};
        std::uint64_t datagrams_received = 0;
        std::atomic<std::uint64_t> bytes_received{0};
        std::uint64_t rejected = 0;
    };

    /** Bind the socket.

        @param context  The control thread's.
        @param keys     Keys to begin with.
        @param settings Options.
        @param clock    Monotonic time.
        @param events   Receives peer and datagram events.
        @throws boost::system::system_error when the address can't be bound.
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
        const servable_demand& what) override;
    void send_visit(
        session_id to,
        std::string_view peer_address,
        const caller_visit& what) override;
    void stop() override;

    const counters& traffic() const;

    /// Reads the file of keys now; without one, does nothing.
    void reload_keys();

private:
    static constexpr std::size_t max_datagram_bytes = 2048;
    /// At most one event of rejected datagrams in this time: rubbish costs its
    /// sender nothing.
    static constexpr duration report_interval = std::chrono::seconds(10);

    void receive();
    void received(std::size_t bytes);
    void reject(std::string_view cause);
    bool is_repeated(session_id from, std::uint64_t counter);
    void flush();
    void send(const membership::outgoing& item);
    void tell_listener();
    void report_change(session_id session, liveness state);
    void arm_tick();
    void arm_reload();

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
    std::map<session_id, replay_window> windows;
    std::vector<session_id> told;
    peer_listener* listener = nullptr;
    counters wire;
    std::uint64_t untold = 0; ///< rejected since the last event
    instant next_report{};
};

} // namespace roseworks
