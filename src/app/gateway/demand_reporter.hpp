#pragma once

#include "app/gateway/usage_counter.hpp"
#include "core/swapping/peer_messages.hpp"
#include "ports/clock.hpp"

#include <roseworks/dispatcher.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace roseworks::app
{

/** Reports this router's demand (waiting requests) and usage (running requests)
    to the placement owner.

    Reports may be lost, so current demand and usage are reported repeatedly.

    Used on the control thread only. Has to outlive the last run of its
    io_context.
*/
class demand_reporter
{
public:
    /// Sends a report to the owner, if one is known.
    using sender = std::function<void(router_report)>;

    demand_reporter(
        boost::asio::io_context& loop,
        std::string own_name,
        const clock_port& clock,
        usage_counter& usage,
        sender send);

    void stop();

    /// Requests are waiting for a servable. The dispatcher repeats the call
    /// while they wait.
    void update_demand(const demand& waiting_demand);

    /// The last running request for a servable on some engine has ended.
    void usage_ended();

    /// Reports demand that is due, and all usage.
    void tick();

    /// Reports all demand, because the owner has changed.
    void report_all();

    /// @return An empty report with a higher sequence number than all before.
    router_report make_report();

private:
    /// Demand of this router for one servable.
    struct demand_state
    {
        demand last;
        instant last_seen;      ///< when the dispatcher last repeated it
        bool unreported = true; ///< not reported to the owner yet
    };

    static servable_need make_need(
        const std::string& servable, const demand& waiting_demand, instant now);
    void report_demand(bool all);

    std::string name;
    const clock_port& clock;
    usage_counter& usage;
    sender send;
    const std::uint64_t run_number;
    std::uint64_t last_sequence = 0;
    std::map<std::string, demand_state> waiting; ///< by servable and software
    instant last_full_report;
    boost::asio::steady_timer demand_timer;
    boost::asio::steady_timer usage_timer;
    bool demand_timer_armed = false;
    bool usage_timer_armed = false;
};

} // namespace roseworks::app
