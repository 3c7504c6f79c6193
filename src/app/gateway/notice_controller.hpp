#pragma once

#include "adapters/edge/shared_dispatcher.hpp"
#include "core/pacing/leaving_servers.hpp"
#include "core/pacing/server_limit_update.hpp"
#include "core/pacing/server_notice.hpp"
#include "core/serving/serving_table.hpp"
#include "core/serving/serving_view.hpp"
#include "ports/clock.hpp"
#include "ports/event_sink.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <span>
#include <string>

namespace roseworks::app
{

/** Reports to the routers, the placement owner and the serving table what
   backend servers state about themselves.

    The traffic threads apply a statement before they send anything else; this
    class only makes it known to the rest. It also ends what was known of a
    server that has restarted.

    Used on the control thread only, except for `answered`. Has to outlive the
    last run of its io_context.
*/
class notice_controller
{
public:
    struct callbacks
    {
        /// Sends a message to all other routers.
        std::function<void(const server_limit_update&)> on_message;
        /// A server counts as leaving, or no longer does.
        std::function<void(server_life life, bool leaving)> on_leaving;
    };

    /// @param router Name of this router.
    notice_controller(
        boost::asio::io_context& loop,
        std::string router,
        const clock_port& clock,
        event_sink& events,
        const serving_view& view,
        edge::shared_dispatcher& dispatch,
        callbacks handlers);

    void stop();

    /// A server answered a request. Called from any thread.
    void answered(
        const server_identity& server,
        const server_notice& notice,
        instant sent);

    /// An engine reported that it leaves.
    void engine_leaves(const std::string& engine);

    void update_received(const server_limit_update& update);

    /// Servers were added, removed or restarted.
    void servers_changed();

private:
    /// A pause that a server asked for.
    struct pause
    {
        server_life life;
        server_place place;
        instant until;
    };

    void record_replacement(const server_identity& server);
    void record_pause(const server_identity& server, instant until);
    void end_pauses_of_earlier_lives();
    void end_statements_of_earlier_lives();
    void flush();
    void apply(std::span<const leaving_servers::change> changes);
    void schedule_tick();

    boost::asio::io_context& loop;
    const clock_port& clock;
    event_sink& events;
    const serving_view& view;
    edge::shared_dispatcher& dispatch;
    callbacks notify;
    leaving_servers leaving;
    std::map<std::string, pause, std::less<>> pauses; ///< by server
    boost::asio::steady_timer timer;
    /// Whether answers without a statement matter.
    std::atomic<bool> has_reports{false};
    bool stopped = false;
};

} // namespace roseworks::app
