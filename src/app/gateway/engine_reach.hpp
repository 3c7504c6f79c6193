#pragma once

#include "adapters/edge/connection_opener.hpp"
#include "core/reach/server_reach.hpp"
#include "ports/clock.hpp"
#include "ports/engine_command_port.hpp"
#include "ports/reach_opinion_port.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace roseworks::app
{

/** Judges whether this router reaches the engines, so that one that doesn't
    leaves placement to another router.

    Passes orders and report reads to the engines and watches how they end. An
    engine that didn't answer is tested with a connection. If that fails, the
    other routers are asked: the engine may be down for all. Orders themselves
    never go through another router.

    Used on the control thread only. Has to outlive the last run of its
    io_context.
*/
class engine_reach final : public engine_command_port
{
public:
    struct options
    {
        server_reach::options reach{
            .direct_lifetime = std::chrono::milliseconds(1500)};
        std::chrono::milliseconds connect_timeout{250};
        /// Interval between two tests of the same engine.
        duration test_interval = std::chrono::seconds(1);
        /// An engine is tested for this time after its last missing answer, and
        /// longer while this router is cut off.
        duration test_period = std::chrono::seconds(3);
        /// Maximum number of tests within `round_interval`.
        std::size_t max_tests_per_round = 6;
        std::chrono::milliseconds round_interval{500};
    };

    struct callbacks
    {
        /// `is_cut_off` has changed.
        std::function<void(bool is_cut_off)> on_change;
        /// An engine reported that it leaves.
        std::function<void(const std::string& engine)> on_leaving;
    };

    engine_reach(
        boost::asio::io_context& loop,
        options settings,
        const clock_port& clock,
        engine_command_port& engines,
        edge::connection_opener& direct,
        reach_opinion_port& others,
        callbacks handlers);

    void start();
    void stop();

    void send_command(
        const engine_command& command,
        std::function<bool()> allowed,
        command_done done) override;
    void read_report(
        const std::string& engine,
        const std::string& address,
        report_done done) override;

    /// @return Whether other routers reach most of the engines that this one
    ///         lately tried in vain.
    bool is_cut_off() const
    {
        return this->reach.is_cut_off();
    }

private:
    struct missing_answer
    {
        instant last; ///< when an answer was last missing
        instant next_test;
    };

    void answered(const std::string& address);
    void unanswered(const std::string& address);
    void schedule_round();
    void start_tests();
    void handle_opinion(const std::string& address, reach_opinion found);
    boost::asio::awaitable<void> test(std::string address);
    void report_change();

    boost::asio::io_context& loop;
    options settings;
    const clock_port& clock;
    engine_command_port& engines;
    edge::connection_opener& direct;
    reach_opinion_port& others;
    callbacks notify;
    server_reach reach;
    /// Engines that didn't answer, by address.
    std::map<std::string, missing_answer> unanswered_engines;
    boost::asio::steady_timer round_timer;
    bool was_cut_off = false; ///< when `on_change` was last called
    bool stopped = false;
};

} // namespace roseworks::app
