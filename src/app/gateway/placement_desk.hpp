#pragma once

#include "app/gateway/residency_teller.hpp"
#include "core/serving/serving_view.hpp"
#include "core/swapping/demand_tracker.hpp"
#include "core/swapping/engine_tracker.hpp"
#include "core/swapping/swap_planner.hpp"
#include "ports/clock.hpp"
#include "ports/directory_port.hpp"
#include "ports/engine_command_port.hpp"
#include "ports/event_sink.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::app
{

/** Orders the engines while this router owns placement.

    Every order carries the tenure's fencing number and the count of orders that
    the engine has to have taken, so that a late one changes nothing. Before an
    engine is ordered for the first time in a tenure, and after an order of
    which the outcome isn't known, its report is read.

    Belongs to the control thread; has to outlive its context's last run.
*/
class placement_desk
{
public:
    struct options
    {
        engine_tracker::options engines;
        demand_tracker::options needs;
        swap_planner::options planner;
        /// An owner that regains an engine waits so long from its own last
        /// order to it: two may not order it in turn.
        duration lease = std::chrono::seconds(3);
        /// Engines refuse old fencing numbers: an owner that can't reach the
        /// store may go on until another is heard of. Where it isn't known, it
        /// stops at its term's end: two owners could order in turn.
        bool fences_checked = false;
        /// An order without an answer is sent again, so often: the count of
        /// orders that it names lets the engine take one of them, and the late
        /// one is refused then. Without it, who waits for the model waits for
        /// the engine's report, half a second more.
        std::uint32_t most_repeats = 2;
        /// Reports lag by some 200 ms: one read earlier shows what was before.
        std::chrono::milliseconds report_lag{250};
        std::chrono::milliseconds examine_retry{300};
        /// The same while the engine carries an order out: it serves nothing
        /// new until its end is seen.
        std::chrono::milliseconds busy_retry{100};
        /// Until an engine at whose address another run answered is looked at:
        /// by then the registry has dropped it, mostly.
        std::chrono::milliseconds wrong_server_wait{4000};
        residency_teller::options words;
    };

    placement_desk(
        boost::asio::io_context& loop,
        options settings,
        std::string own_name,
        const clock_port& clock,
        event_sink& events,
        engine_command_port& commands,
        const serving_view& view,
        residency_teller::router_lister routers,
        residency_teller::sender tell);

    void start();
    void stop();

    void configured(std::shared_ptr<const deployment> configuration);

    /// The registry, or what its engines hold, has changed.
    void servers_changed();

    /// Rate limits that engines name now, in requests a second, by their ids.
    void
    limits_named(std::map<std::string, double, std::less<>> requests_a_second);

    void tenure_changed(std::optional<placement_tenure> held);

    /// The term has ended without a renewal, and another router may own
    /// placement by now.
    void term_ended();

    void word_heard(const router_report& word);

    /// Another owner with a higher fencing number was heard.
    void other_owner_heard(std::uint64_t fence);

    bool owns(instant now) const;

    std::uint64_t fence() const
    {
        return this->tenure ? this->tenure->fence : 0;
    }

    const engine_tracker& engines() const
    {
        return this->book;
    }

private:
    void step();
    /// An order on its way to an engine.
    struct sent_order
    {
        std::uint64_t number = 0; ///< as in the book
        swap_order order;
        engine_command command;
        std::uint32_t repeats = 0;
    };

    void send(const swap_order& order);
    void send_command(sent_order what);
    /// @return Whether the engine's order is still this one.
    bool is_pending(const sent_order& what) const;
    bool repeat(const sent_order& what, command_end how);
    void answered(const sent_order& what, instant sent, command_end how);
    void examine(const std::string& engine, std::chrono::milliseconds after);
    void read_report(const std::string& engine);
    void report_read(
        const std::string& engine,
        const std::optional<holdings_report>& report);
    /// An engine can't be reached: what it holds is loaded elsewhere.
    void lost(const std::string& engine);
    /// Another run answers at an engine's address.
    void run_is_over(const std::string& engine);
    /// A router couldn't reach an engine that counts as reachable.
    void look_at(const std::string& engine);
    void arm_step();
    void arm_step_in(duration wait);
    void take_up();
    void list_servers();
    void give_up(std::string_view reason);

    boost::asio::io_context& loop;
    options settings;
    const clock_port& clock;
    event_sink& events;
    engine_command_port& commands;
    const serving_view& view;
    engine_tracker book;
    std::map<std::string, double, std::less<>> named_limits; ///< by engine
    demand_tracker needs;
    swap_planner planner;
    residency_teller words;
    std::optional<placement_tenure> tenure;
    bool another_owned = false;   ///< heard of since the last take-over
    bool at_work = false;         ///< orders are given, or were until just now
    std::uint64_t takeovers = 0;  ///< times that nothing known was trusted
    std::uint64_t last_order = 0; ///< number of the newest order
    instant last_plan;
    std::set<std::string> examining;
    std::set<std::string> looking; ///< engines that are asked whether they live
    boost::asio::steady_timer step_timer;
    bool stopped = false;
};

} // namespace roseworks::app
