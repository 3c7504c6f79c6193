#pragma once

#include "core/pacing/server_limit.hpp"
#include "core/quota/global_limits.hpp"
#include "core/quota/hedge_limits.hpp"
#include "core/quota/quota_accountant.hpp"
#include "core/quota/quota_client.hpp"
#include "core/quota/retry_limits.hpp"
#include "ports/clock.hpp"
#include "ports/directory_port.hpp"
#include "ports/event_sink.hpp"
#include "ports/gateway_peer_port.hpp"
#include "ports/quota_port.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace roseworks::app
{

/** Enforces the limits of organisations, the rate limits that backend servers
    name, and the limits on the retries and hedges of services, across all
    routers.

    Quota is granted by a router that acts as the accountant of all. This class
    asks the accountant on behalf of this router's requests, and is itself the
    accountant for the routers that ask it.

    Used on the control thread only, except for the functions of the port. Has
    to outlive the last run of its io_context.
*/
class quota_controller final : public quota_port
{
public:
    struct options
    {
        std::string router; ///< name of this router
        quota_bounds bounds;
        retry_allowance retries;
        /// Hedges of a service, as a share of its requests; 0: none.
        double hedge_share = 0;
        quota_mode way = quota_mode::accountant;
        std::uint64_t seed = 1;
        /// Urgent requests of an organisation go first while its limit is
        /// short.
        bool order_by_urgency = false;
        /// Receives each second what was allowed and refused to a class, if
        /// requests are ordered. Called on the control thread.
        std::function<void(std::uint8_t urgency, double used, double refused)>
            on_class_usage{};
    };

    quota_controller(
        boost::asio::io_context& loop,
        options settings,
        const clock_port& clock,
        event_sink& events,
        gateway_peer_port& peers);

    void start();
    void stop();

    void deployment_changed(const deployment& configuration);

    /// @param all The rate limits that backend servers name, in full.
    void server_limits_changed(std::span<const server_limit> all);

    /// @param all The slots of the backend servers whose places are counted, by
    ///            account.
    void server_places_changed(
        const std::map<std::string, double, std::less<>>& all);

    /// A request that held a place has ended.
    void release_place(std::string_view account, bool rejected);

    /// Refuses the draw that waits for a place, if there is one.
    void cancel_place(std::string_view account);

    /// Changes the order of the draw that waits for a place.
    void reorder_place(std::string_view account, const draw_order& order);

    void routers_listed(std::span<const router_address> all);
    void query_received(const quota_query& query, std::string_view from);
    void reply_received(const quota_reply& reply);

    // quota_port
    void draw(quota_request request, handler on_decision) override;
    void count_request(std::string service) override;
    void refund(std::string account, double amount) override;

private:
    using class_usage =
        std::array<quota_accountant::class_totals, urgency::class_count>;

    void process_draw(const quota_request& request, handler on_decision);
    /// Sends messages, delivers decisions and sets the timer.
    void flush();
    void send(const quota_message& message);
    void deliver(const quota_decision& decision);
    void send_late_replies();
    void limits_changed();
    /// @return Whether any account has a limit, or a request still waits for a
    ///         decision on a limit that has been removed.
    bool has_work() const;
    void schedule_tick();
    void tick();
    void log_usage();
    void log_refused_accounts();
    /// Logs an organisation's refusals by class.
    void log_ordered_limit(
        std::string_view name,
        const quota_accountant::account& one,
        double used,
        double refused,
        const class_usage& by_class);
    void log_refusals(
        std::string_view name,
        const quota_accountant::account& one,
        double used,
        double refused,
        const class_usage& by_class);
    /// @return What each class used and was refused between two times.
    static class_usage
    usage_since(const class_usage& before, const class_usage& now);
    void count_usage(const class_usage& used) const;
    std::int64_t share_percent() const;

    /// Totals of an account at the time of its latest log line.
    struct account_totals
    {
        double used = 0;
        double refused = 0;
        class_usage by_class{};
    };

    boost::asio::io_context& loop;
    options settings;
    const clock_port& clock;
    event_sink& events;
    gateway_peer_port& peers;
    quota_accountant accountant;
    quota_client client;
    std::map<std::string, std::string, std::less<>> addresses; ///< by name
    std::unordered_map<std::uint64_t, handler> pending_draws;  ///< by draw id
    /// Totals at the latest log line, by account.
    std::map<std::string, account_totals, std::less<>> logged_totals;
    global_limits organisation_limits;
    global_limits backend_limits;
    global_limits backend_places;
    global_limits retry_limits;
    global_limits hedge_limits;
    boost::asio::steady_timer timer;
    /// Name of the accountant in the latest log line.
    std::string logged_accountant;
    instant last_log;        ///< time of the latest log line
    bool has_limits = false; ///< whether any account has a limit
    bool stopped = false;
};

} // namespace roseworks::app
