#pragma once

#include "core/origins/origin_tracker.hpp"
#include "core/serving/deployment.hpp"
#include "core/serving/serving_view.hpp"
#include "ports/clock.hpp"
#include "ports/directory_port.hpp"
#include "ports/gateway_peer_port.hpp"
#include "ports/origin_port.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace roseworks::app
{

/** Keeps the software that began each stream, together with the other routers,
    so that a caller can take its stream up at any of them.

    The functions of `origin_port` are thread-safe; all others run on the
   control thread.
*/
class origin_controller final : public origin_port
{
public:
    struct options
    {
        origin_tracker::options tracking;
        /// A caller may take up a stream for this long after the route's time
        /// limit: its own time limit is as long, and routers hear of a version
        /// some time after it is in service.
        duration lifetime_margin = std::chrono::seconds(2);
        /// Between two writes of a server to the registry.
        duration heartbeat = std::chrono::seconds(1);
    };

    /// @param directory Has to outlive this object.
    origin_controller(
        boost::asio::io_context& loop,
        options settings,
        const clock_port& clock,
        gateway_peer_port& peers,
        const serving_view& servers,
        directory_port& directory);

    void stop();

    void deployment_changed(const deployment& configuration);
    void routers_listed(std::span<const router_address> all);

    /// The view of the registry has changed.
    void servers_changed();

    /// @param from UDP ip:port of the router.
    void message_received(const origin_message& message, std::string_view from);

    // origin_port
    void began(stream_key stream, software_version software) override;
    void find(origin_question question, handler on_answer) override;

private:
    /// Runs on the control thread, unless stopped.
    void post(std::function<void()> action);
    void ask(const origin_question& question, handler on_answer);
    void read_registry_log();
    /// Sends messages and answers, and schedules the next tick.
    void flush();
    void schedule_tick();

    boost::asio::io_context& loop;
    options settings;
    const clock_port& clock;
    gateway_peer_port& peers;
    const serving_view& view;
    directory_port& directory;
    origin_tracker tracker;
    std::map<std::uint64_t, handler> handlers; ///< by number of the question
    std::uint64_t last_question = 0;
    boost::asio::steady_timer timer;
    instant tick_at = instant::max();
    bool stopped = false;
};

} // namespace roseworks::app
