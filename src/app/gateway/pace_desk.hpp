#pragma once

#include "adapters/edge/shared_dispatcher.hpp"
#include "app/gateway/quota_desk.hpp"
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
class pace_desk
{
public:
    struct options
    {
        std::string router; ///< name of this router
        /// An unused permit is returned to the shared account after this time.
        std::chrono::milliseconds permit_life{500};
        /// Maximum wait for a permit if the request has no alternative server;
        /// otherwise it doesn't wait.
        std::chrono::milliseconds patience{1000};
        /// Maximum delay before a refused permit is requested again, since the
        /// limit may have ended by then.
        std::chrono::milliseconds longest_retry{1000};
    };

    struct notices
    {
        /// Sends limits to all other routers.
        std::function<void(const server_limit_word&)> on_word;
        /// Receives the limits in force, in requests per second, by server id.
        std::function<void(std::map<std::string, double, std::less<>>)>
            on_limits;
    };

    pace_desk(
        boost::asio::io_context& loop,
        options settings,
        const clock_port& clock,
        event_sink& events,
        const serving_view& view,
        edge::shared_dispatcher& dispatch,
        quota_desk& quotas,
        notices told);

    void stop();

    /// A server answered a request. Called from any thread.
    /// @param named Rate limit that the answer names, in requests per second;
    ///              empty if it names none.
    void answered(
        const std::string& server, std::optional<double> named, instant sent);

    /// The dispatcher needs a permit. Called from any thread.
    void permit_needed(const permit_wanted& wanted);

    void word_heard(const server_limit_word& word);

    /// Servers were added, removed or restarted.
    void servers_changed();

private:
    /// A server to which the dispatcher sends under permits only.
    struct limited_server
    {
        limited_server(boost::asio::io_context& loop, server_place at)
            : place(std::move(at))
            , permit_end(loop)
        {
        }

        server_place place;
        boost::asio::steady_timer permit_end; ///< expiry of the latest permit
    };

    void answered_now(
        const std::string& server, std::optional<double> named, instant sent);
    void draw_permit(const permit_wanted& wanted);
    void decided(const std::string& server, const quota_decision& decision);
    void take_permit_back(const std::string& server);
    void flush();
    void limits_changed();
    /// @return The identity under which grants refer to the server.
    server_place place_of(const serving_view::server& one) const;
    void keep(const server_limit& limit);
    void drop(const std::string& server);
    void forget_restarted();
    void drop_moved();
    void log(const server_limit& changed);
    void arm();

    boost::asio::io_context& loop;
    options settings;
    const clock_port& clock;
    event_sink& events;
    const serving_view& view;
    edge::shared_dispatcher& dispatch;
    quota_desk& quotas;
    notices tell;
    server_limits limits;
    std::map<std::string, limited_server, std::less<>> limited; ///< by id
    /// Start times of servers with known limits, by id. A limit ends when the
    /// server restarts, but not when its entry is missing for a while.
    std::map<std::string, std::int64_t, std::less<>> born_ms;
    boost::asio::steady_timer timer;
    std::atomic<bool> is_any_limited{false};
    bool stopped = false;
};

} // namespace roseworks::app
