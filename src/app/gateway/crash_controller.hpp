#pragma once

#include "app/gateway/life_examiner.hpp"
#include "app/table_holder.hpp"
#include "core/crashes/crash_keeper.hpp"
#include "core/crashes/crash_tracker.hpp"
#include "core/serving/serving_view.hpp"
#include "ports/clock.hpp"
#include "ports/crash_archive_port.hpp"
#include "ports/crash_port.hpp"
#include "ports/directory_port.hpp"
#include "ports/event_sink.hpp"
#include "ports/gateway_peer_port.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::app
{

/** Blocks requests, and parts of prompts, that crash backend servers, together
    with all other routers.

    Evidence of a server's end is a refused connection just after a run broke,
    another server at its address, and its entry in the registry. What follows
    is published to the traffic threads at once, apart from the serving table.
    What is blocked is archived, and read again at the start.

    The functions of `crash_port` are thread-safe; all others run on the control
    thread.
*/
class crash_controller final : public crash_port
{
public:
    struct options
    {
        std::string router;
        std::uint64_t seed = 1;
        std::chrono::milliseconds tick_interval{250};
        /// Shortest interval between examinations of servers whose answers only
        /// their connections ended, while nothing in them is suspected.
        std::chrono::milliseconds unsuspected_interval{500};
    };

    /// @param on_blocked Called when a request has become blocked.
    crash_controller(
        boost::asio::io_context& loop,
        options settings,
        const clock_port& clock,
        event_sink& events,
        gateway_peer_port& peers,
        crash_archive_port& archive,
        reach_opinion_port& opinions,
        const serving_view& servers,
        std::function<void()> on_blocked);

    void start();
    void stop();

    void routers_listed(std::span<const router_address> all);

    /// The view of the registry has changed.
    void servers_changed();

    /// @param from UDP ip:port of the router.
    void report_received(const crash_report& report, std::string_view from);
    void
    report_received(const part_crash_report& report, std::string_view from);

    // crash_port
    blocked_requests_ptr blocked() const override;
    void run_broken(const broken_run_report& run) override;
    void server_replaced(server_life life) override;
    void run_answered(fingerprint request) override;
    void parts_answered(std::vector<prompt_part> parts, instant began) override;
    void trial_started(fingerprint subject) override;

private:
    /// A life of a server that the view has shown.
    struct listed_life
    {
        std::int64_t born_ms = 0;
        bool superseded = false;
    };

    /// Runs on the control thread, unless stopped.
    void post(std::function<void()> action);
    void life_ended(server_life life, crash_evidence evidence);
    void handle_broken(const broken_run_report& run);
    /// @return Whether the server of an ended run is worth a connection.
    bool is_examined(const broken_run_report& run);
    void find_ended_lives();
    void restore(const std::vector<archived_block>& all);
    void update_archive();
    void schedule_tick();
    /// Sends, logs and publishes what has changed.
    void flush();
    void log(const crash_change& change);

    boost::asio::io_context& loop;
    options settings;
    const clock_port& clock;
    event_sink& events;
    gateway_peer_port& peers;
    crash_archive_port& archive;
    const serving_view& view;
    std::function<void()> on_blocked;
    crash_tracker tracker;
    crash_keeper keeper;
    life_examiner examiner;
    newest_table<blocked_requests_ptr> published;
    std::map<std::string, listed_life, std::less<>> listed; ///< by id
    boost::asio::steady_timer timer;
    instant next_unsuspected_examination;
    bool stopped = false;
};

} // namespace roseworks::app
