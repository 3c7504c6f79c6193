#pragma once

#include "adapters/edge/shared_dispatcher.hpp"
#include "app/gateway/quota_controller.hpp"
#include "core/pacing/saturated_servers.hpp"
#include "core/pacing/server_limits.hpp"
#include "core/pacing/server_notice.hpp"
#include "core/pacing/update_kinds.hpp"
#include "core/serving/serving_view.hpp"
#include "ports/clock.hpp"
#include "ports/event_sink.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks::app
{

/** Keeps all routers together within what backend servers state in their
    answers: their rate limits, and the room of brittle and of saturated
    servers.

    Learns these from answers and from other routers. Draws the permits that the
    dispatcher needs from accounts per server, which all routers share. All
    servers of a service count as brittle if one of them says so, so that a
    server that starts is treated so before its first answer. An engine is
    saturated by itself.

    Used on the control thread only, except for `answered`, `permit_needed` and
    `place_released`. Has to outlive the last run of its io_context.
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
        /// Whether the requests at saturated engines are counted.
        bool count_saturated = false;
        saturation_rule saturation;
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
    void answered(
        const std::string& server, const server_notice& notice, instant sent);

    /// The dispatcher needs a permit. Called from any thread.
    void permit_needed(const permit_wanted& wanted);

    /// A request to a server whose places are counted has ended. Called from
    /// any thread.
    void place_released(const roseworks::place_released& released);

    /// No request waits any more for a permit. Called from any thread.
    void permit_cancelled(const roseworks::permit_cancelled& cancelled);

    void limits_received(const update_kinds& kinds);

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
        bool has_rate_limit = false;
        bool counts_places = false;
        /// Expires with the latest permit.
        boost::asio::steady_timer permit_expiry;
    };

    using limited_servers_map =
        std::map<std::string, limited_server, std::less<>>;

    /// @return Whether an answer may change what is known of its server.
    bool is_relevant(const server_notice& notice) const;
    void process_answer(
        const std::string& server, const server_notice& notice, instant sent);
    void check_saturation(
        const serving_view::server& one,
        const server_notice& notice,
        instant sent,
        instant now);
    /// @return The server at a place, or the end of `limited_servers`.
    limited_servers_map::iterator find_at(const server_place& place);
    void draw_permit(const permit_wanted& wanted);
    void draw_rate(const std::string& server, duration longest_wait);
    void
    refuse_permit(const std::string& server, const quota_decision& decision);
    void
    handle_decision(const std::string& server, const quota_decision& decision);
    void withdraw_permit(const std::string& server);
    void flush();
    void limits_changed();
    /// @return The server; null if it isn't known, or another one has been
    ///         started at its address.
    const serving_view::server* current_server(const std::string& id) const;
    /// Ends what is known of other servers at a place, of which the dispatcher
    /// knows one only.
    void remove_others_at(const server_place& place, const std::string& server);
    /// @return The identity under which grants refer to the server.
    server_place place_of(const serving_view::server& one) const;
    void apply_limit(const server_limit& limit);
    void remove_limit(const std::string& server);
    /// Forgets a server for which neither kind of limit holds.
    void remove_unlimited(const std::string& server);
    /// Counts the places of all servers of brittle services and of saturated
    /// engines, and of no others.
    void update_counted_servers();
    /// @return Requests that all routers together may have at a server; 0: its
    ///         places aren't counted.
    double counted_places(const serving_view::server& one) const;
    void set_counted(const std::string& server, bool counted);
    void log_brittle_services();
    void log_saturated_servers();
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
    server_limits brittle_services;
    server_limits saturated_servers;
    /// Servers that have a limit, or whose places are counted, by id.
    limited_servers_map limited_servers;
    /// Slots of the servers whose places are counted, by account.
    std::map<std::string, double, std::less<>> slots_by_account;
    /// Start times of servers with known limits, by id. A limit ends when the
    /// server restarts, but not when its entry is missing for a while.
    std::map<std::string, std::int64_t, std::less<>> start_times_ms;
    boost::asio::steady_timer timer;
    std::atomic<bool> has_limits{false};
    std::atomic<bool> has_brittle_services{false};
    std::atomic<bool> has_saturated_servers{false};
    bool stopped = false;
};

} // namespace roseworks::app
