#pragma once

#include "core/pacing/server_limit.hpp"
#include "core/quota/global_limits.hpp"
#include "core/quota/quota_accountant.hpp"
#include "core/quota/quota_client.hpp"
#include "ports/clock.hpp"
#include "ports/directory_port.hpp"
#include "ports/event_sink.hpp"
#include "ports/gateway_peer_port.hpp"
#include "ports/quota_port.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace roseworks::app
{

/** Keeps the limits of organisations, and those that backend servers name,
    together with the other routers: asks
    the accountant for this router's requests, and is one itself for those who
    ask it.

    Belongs to the control thread, but for the port's functions; has to outlive
    its context's last run.
*/
class quota_desk final : public quota_port
{
public:
    struct options
    {
        std::string router; ///< this one's name
        quota_bounds bounds;
        quota_mode way = quota_mode::accountant;
        std::uint64_t seed = 1;
    };

    quota_desk(
        boost::asio::io_context& loop,
        options settings,
        const clock_port& clock,
        event_sink& events,
        gateway_peer_port& peers);

    void start();
    void stop();

    void configured(const deployment& configuration);

    /// Rate limits that backend servers name now.
    void servers_limited(std::span<const server_limit> all);

    void routers_listed(std::span<const router_address> all);
    void ask_heard(const quota_query& ask, std::string_view from);
    void answer_heard(const quota_reply& answer);

    // quota_port
    void draw(quota_request request, handler told) override;
    void give_back(std::string organisation, double amount) override;

private:
    void draw_now(const quota_request& request, handler to_tell);
    /// Sends words, tells decisions and sets the timer.
    void flush();
    void send(const quota_message& message);
    void tell(const quota_decision& made);
    void limits_changed();
    /// @return Whether some account has a limit, or had one when a request
    ///         came that still waits.
    bool has_work() const;
    void arm();
    void tick();
    void log_use();
    void log_limits();
    void log_refusals(
        std::string_view name,
        const quota_accountant::account& one,
        double used,
        double refused);

    /// What had been used and refused of an account when it was last told.
    struct tally
    {
        double used = 0;
        double refused = 0;
    };

    boost::asio::io_context& loop;
    options settings;
    const clock_port& clock;
    event_sink& events;
    gateway_peer_port& peers;
    quota_accountant accountant;
    quota_client client;
    std::map<std::string, std::string, std::less<>> addresses; ///< by name
    std::unordered_map<std::uint64_t, handler> waiting;        ///< by draw
    std::map<std::string, tally, std::less<>> told;            ///< by account
    global_limits of_organisations;
    global_limits of_servers;
    boost::asio::steady_timer timer;
    std::string asked; ///< accountant that is asked
    instant logged;
    bool is_limited = false; ///< some account has a limit
    bool stopped = false;
};

} // namespace roseworks::app
