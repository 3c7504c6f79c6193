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

/** Tells the placement owner what waits here, and what runs.

    Words may be lost: what still waits and runs is told again.

    Belongs to the control thread; has to outlive its context's last run.
*/
class need_teller
{
public:
    /// Sends a word to the owner, if there is one.
    using sender = std::function<void(router_report)>;

    need_teller(
        boost::asio::io_context& loop,
        std::string own_name,
        const clock_port& clock,
        usage_meter& usage,
        sender send);

    void stop();

    /// Requests wait for a servable, as the dispatcher repeats while they do.
    void arose(const demand& what);

    /// Nothing runs of some servable on some engine any more.
    void use_ended();

    /// Tells what is due, and all uses.
    void tick();

    /// Tells all that waits: there is another owner.
    void tell_all();

    /// @return A word without content, newer than all before.
    router_report make_word();

private:
    /// What waits here for a servable.
    struct waiting_need
    {
        demand last;
        instant heard;
        bool news = true; ///< not told to the owner yet
    };

    servable_need need_of(const demand& what, instant now) const;
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
