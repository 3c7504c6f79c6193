#pragma once

#include "adapters/edge/shared_dispatcher.hpp"
#include "app/gateway/quota_controller.hpp"
#include "core/pacing/server_limits.hpp"
#include "core/serving/serving_view.hpp"
#include "ports/clock.hpp"
#include "ports/event_sink.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks::app
{

/** Keeps all routers together within the rate limits that backend servers name
    in their answers.

    Learns the limits from answers and from other routers. Draws the permits
    that the dispatcher needs from an account per server, which all routers
    share.

    Used on the control thread only, except for `answered` and `permit_needed`.
    Has to outlive the last run of its io_context.
*/
class server_limit_controller
{
public:
    struct options
    {
        std::string router; ///< name of this router
        /// An unused permit is returned to the shared account after this time.
        std::chrono::milliseconds permit_lifetime{500};
        /// Maximum wait for a permit if the request has no alternative server;
        /// otherwise it doesn't wait.
        std::chrono::milliseconds max_permit_wait{1000};
        /// Maximum delay before a refused permit is requested again, since the
        /// limit may have ended by then.
        std::chrono::milliseconds max_retry_delay{1000};
    };

    struct callbacks
    {
        /// Sends limits to all other routers.
        std::function<void(const server_limit_update&)> on_limits_to_send;
        /// Receives the limits in force, in requests per second, by server id.
        std::function<void(std::map<std::string, double, std::less<>>)>
            on_limits_changed;
    };

    server_limit_controller(
        boost::asio::io_context& loop,
        options settings,
        const clock_port& clock,
        event_sink& events,
        const serving_view& view,
        edge::shared_dispatcher& dispatch,
        quota_controller& quotas,
        callbacks handlers);

    void stop();

    /// A server answered a request. Called from any thread.
    /// @param named_limit Rate limit that the answer names, in requests per
    ///                    second; empty if it names none.
    void answered(
        const std::string& server,
        std::optional<double> named_limit,
        instant sent);

    /// The dispatcher needs a permit. Called from any thread.
    void permit_needed(const permit_wanted& wanted);

    void limits_received(const server_limit_update& message);

    /// Servers were added, removed or restarted.
    void servers_changed();

private:
    /// A server to which the dispatcher sends under permits only.
    struct limited_server
    {
        limited_server(boost::asio::io_context& loop, server_place at)
            : place(std::move(at))
            , permit_expiry(loop)
        {
        }

        server_place place;
        /// Expires with the latest permit.
        boost::asio::steady_timer permit_expiry;
    };

    void process_answer(
        const std::string& server,
        std::optional<double> named_limit,
        instant sent);
    void draw_permit(const permit_wanted& wanted);
    void
    handle_decision(const std::string& server, const quota_decision& decision);
    void withdraw_permit(const std::string& server);
    void flush();
    void limits_changed();
    /// @return The identity under which grants refer to the server.
    server_place place_of(const serving_view::server& one) const;
    void apply_limit(const server_limit& limit);
    void remove_limit(const std::string& server);
    void remove_restarted();
    void remove_moved();
    void log_change(const server_limit& changed);
    void schedule_tick();

    boost::asio::io_context& loop;
    options settings;
    const clock_port& clock;
    event_sink& events;
    const serving_view& view;
    edge::shared_dispatcher& dispatch;
    quota_controller& quotas;
    callbacks notify;
    server_limits limits;
    /// Servers that have a limit, by id.
    std::map<std::string, limited_server, std::less<>> limited_servers;
    /// Start times of servers with known limits, by id. A limit ends when the
    /// server restarts, but not when its entry is missing for a while.
    std::map<std::string, std::int64_t, std::less<>> start_times_ms;
    boost::asio::steady_timer timer;
    std::atomic<bool> has_limits{false};
    bool stopped = false;
};

} // namespace roseworks::app
