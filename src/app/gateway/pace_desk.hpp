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

/** Keeps this router, together with the others, within the rate limits that
    backend servers name: learns them from answers and other routers, and draws
    the dispatcher's permits from one account a server, which all routers share.

    Belongs to the control thread, but for `answered` and `permit_needed`; has
    to outlive its context's last run.
*/
class pace_desk
{
public:
    struct options
    {
        std::string router; ///< this one's name
        /// A permit that nothing was sent under goes to others after so long.
        std::chrono::milliseconds permit_life{500};
        /// A request that has no other server waits so long for a permit's
        /// turn; one that has doesn't wait.
        std::chrono::milliseconds patience{1000};
        /// A permit that was refused is asked for again after so long at most:
        /// limits end.
        std::chrono::milliseconds longest_retry{1000};
    };

    struct notices
    {
        /// To be sent to all other routers.
        std::function<void(const server_limit_update&)> on_word;
        /// Requests a second that servers take now, by their ids.
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

    /// An answer of a server came; called from any thread.
    /// @param named Requests a second; empty: it named no limit.
    void answered(
        const std::string& server, std::optional<double> named, instant sent);

    /// The dispatcher needs a permit; called from any thread.
    void permit_needed(const permit_wanted& what);

    void word_heard(const server_limit_update& word);

    /// Servers came, went, or were started anew.
    void servers_changed();

private:
    /// A server that the dispatcher sends to under permits.
    struct limited_server
    {
        limited_server(boost::asio::io_context& loop, server_place at)
            : place(std::move(at))
            , permit_end(loop)
        {
        }

        server_place place;
        boost::asio::steady_timer permit_end; ///< of the permit given last
    };

    void answered_now(
        const std::string& server, std::optional<double> named, instant sent);
    void draw_permit(const permit_wanted& what);
    void decided(const std::string& server, const quota_decision& made);
    void take_permit_back(const std::string& server);
    void flush();
    void limits_changed();
    /// @return How grants name the server.
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
    /// Starts of servers whose limits are known, by id: another start ends a
    /// limit, an entry that is missing for a while doesn't.
    std::map<std::string, std::int64_t, std::less<>> born_ms;
    boost::asio::steady_timer timer;
    std::atomic<bool> is_any_limited{false};
    bool stopped = false;
};

} // namespace roseworks::app
