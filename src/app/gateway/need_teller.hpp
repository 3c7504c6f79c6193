#pragma once

#include "app/gateway/usage_meter.hpp"
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
class need_teller
{
public:
    /// Sends a report to the owner, if one is known.
    using sender = std::function<void(router_report)>;

    need_teller(
        boost::asio::io_context& loop,
        std::string own_name,
        const clock_port& clock,
        usage_meter& usage,
        sender send);

    void stop();

    /// Requests are waiting for a servable. The dispatcher repeats the call
    /// while they wait.
    void arose(const demand& waiting_demand);

    /// The last running request for a servable on some engine has ended.
    void use_ended();

    /// Reports demand that is due, and all usage.
    void tick();

    /// Reports all demand, because the owner has changed.
    void tell_all();

    /// @return An empty report with a higher sequence number than all before.
    router_report make_word();

private:
    /// Demand of this router for one servable.
    struct waiting_need
    {
        demand last;
        instant heard;    ///< when the dispatcher last repeated it
        bool news = true; ///< not reported to the owner yet
    };

    servable_need need_of(const demand& waiting_demand, instant now) const;
    void tell_needs(bool all);

    std::string name;
    const clock_port& clock;
    usage_meter& usage;
    sender send;
    const std::uint64_t run_number;
    std::uint64_t last_sequence = 0;
    std::map<std::string, waiting_need> waiting; ///< by servable
    instant repeated;
    boost::asio::steady_timer needs_timer;
    boost::asio::steady_timer ended_timer;
    bool needs_armed = false;
    bool ended_armed = false;
};

} // namespace roseworks::app
