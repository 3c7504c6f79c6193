#pragma once

#include "app/gateway/residency_announcer.hpp"
#include "core/pace/pace_estimator.hpp"
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

#include <array>
#include <atomic>
#include <chrono>
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

/** Sends load and unload orders to the engines while this router owns
    placement.

    Each order carries the fencing number of the tenure and the number of orders
    that the engine must have taken before, so that a delayed order has no
    effect. An engine's report is read before its first order in a tenure, and
    after an order with an unknown outcome.

    Used on the control thread only. Has to outlive the last run of its
    io_context.
*/
class placement_controller
{
public:
    struct options
    {
        engine_tracker::options engines;
        demand_tracker::options demands;
        swap_planner::options planner;
        /// After it regains ownership, an owner sends no order to an engine
        /// until this time has passed since its own last order to it, so that
        /// two owners don't order the engine alternately.
        duration lease = std::chrono::seconds(3);
        /// Whether engines refuse orders with an old fencing number. If so, an
        /// owner that can't reach the store may continue until it hears of
        /// another owner. Otherwise it stops at the end of its term, because
        /// two owners could order engines alternately.
        bool fences_checked = false;
        /// Maximum number of retries of an order without an answer. The order
        /// count lets the engine take only one of the copies. Without retries,
        /// requests for the model would wait about 0.5 s longer, for the
        /// engine's report.
        std::uint32_t max_retries = 2;
        /// Delay before a report is read after an order: reports lag by about
        /// 200 ms, and an earlier read shows the state before the order.
        std::chrono::milliseconds report_lag{250};
        /// Delay before a failed read of a report is repeated.
        std::chrono::milliseconds report_retry_delay{300};
        /// Delay before a report is read again while the engine carries out an
        /// order. Short, because the engine gets no new work until the end of
        /// the order is seen.
        std::chrono::milliseconds busy_retry_delay{100};
        /// Delay before an engine is read again after another run answered at
        /// its address. The registry has usually removed its entry by then.
        std::chrono::milliseconds replaced_engine_delay{4000};
        residency_announcer::options announcements;
        /// Whether the pace of engines is estimated from the routers' reports.
        bool estimates_pace = false;
        /// Interval between estimates.
        std::chrono::milliseconds pace_interval{500};
    };

    placement_controller(
        boost::asio::io_context& loop,
        options settings,
        std::string own_name,
        const clock_port& clock,
        event_sink& events,
        engine_command_port& commands,
        const serving_view& view,
        residency_announcer::router_lister routers,
        residency_announcer::sender send_announcement);

    void start();
    void stop();

    void deployment_changed(std::shared_ptr<const deployment> configuration);

    /// The registry, or the models that engines hold, have changed.
    void servers_changed();

    /// @param requests_per_second Rate limits that engines name, by engine id.
    void rate_limits_changed(
        std::map<std::string, double, std::less<>> requests_per_second);

    void tenure_changed(std::optional<placement_tenure> held);

    /// The term has expired without a renewal, and another router may own
    /// placement by now.
    void term_ended();

    void handle_router_report(const router_report& message);

    /// Another router announced that it owns placement with this fencing
    /// number. A number higher than this router's ends its own tenure.
    void other_owner_announced(std::uint64_t fence);

    bool owns(instant now) const;

    std::uint64_t fence() const
    {
        return this->tenure ? this->tenure->fence : 0;
    }

    /// @return Number of engines whose pace is in a class; 0 if this router
    ///         doesn't own placement. Called from any thread.
    std::size_t paced_engines(pace_class wanted) const
    {
        return this->pace_counts[static_cast<std::size_t>(wanted)];
    }

    const engine_tracker& engines() const
    {
        return this->tracker;
    }

private:
    void step();
    /// An order that was sent and has no outcome yet.
    struct sent_order
    {
        std::uint64_t number = 0; ///< of the pending order in the tracker
        swap_order order;
        engine_command command;
        std::uint32_t retries = 0;
    };

    void send(const swap_order& order);
    void send_command(sent_order sent);
    /// @return Whether this is still the engine's pending order.
    bool is_pending(const sent_order& sent) const;
    /// @return Whether the order was sent again.
    bool retry(const sent_order& sent, command_outcome outcome);
    void handle_answer(
        const sent_order& sent, instant sent_at, command_outcome outcome);
    void schedule_report_read(
        const std::string& engine, std::chrono::milliseconds delay);
    void read_report(const std::string& engine);
    void handle_report(
        const std::string& engine,
        const std::optional<holdings_report>& report);
    /// Marks an engine as unreachable. Its models are loaded on other engines.
    void handle_unreachable(const std::string& engine);
    /// Handles that another run answers at an engine's address.
    void handle_replaced(const std::string& engine);
    /// Checks an engine that counts as reachable, but that a router couldn't
    /// reach.
    void check_reachability(const std::string& engine);
    void schedule_step();
    void schedule_step_after(duration wait);
    void start_ownership();
    void sync_engines();
    void end_ownership(std::string_view reason);
    void estimate_paces(instant now);
    void count_paces();

    boost::asio::io_context& loop;
    options settings;
    const clock_port& clock;
    event_sink& events;
    engine_command_port& commands;
    const serving_view& view;
    engine_tracker tracker;
    /// Rate limits in requests per second, by engine.
    std::map<std::string, double, std::less<>> rate_limits;
    demand_tracker demands;
    swap_planner planner;
    pace_estimator paces{pace_estimator::options()};
    instant last_pace_estimate;
    std::array<std::atomic<std::size_t>, 3> pace_counts{}; ///< by `pace_class`
    residency_announcer announcer;
    std::optional<placement_tenure> tenure;
    /// A higher fencing number was announced since the last takeover.
    bool other_owner_seen = false;
    /// Whether this router acts as the owner. Stays set when the term expires,
    /// until the ownership is known to be lost.
    bool active = false;
    /// How often the tracked state was discarded because ownership was acquired
    /// anew; tells reads of an earlier tenure from those of the present one.
    std::uint64_t takeover_count = 0;
    std::uint64_t last_order = 0; ///< number of the latest order
    instant last_plan;
    /// Engines with a scheduled or pending read of their report.
    std::set<std::string> pending_report_reads;
    /// Engines with a pending check whether they are reachable.
    std::set<std::string> pending_checks;
    boost::asio::steady_timer step_timer;
    bool stopped = false;
};

} // namespace roseworks::app
