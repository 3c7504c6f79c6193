#pragma once

#include "core/pacing/saturated_servers.hpp"
#include "core/pacing/server_limits.hpp"
#include "core/pacing/server_notice.hpp"
#include "core/quota/quota_accountant.hpp"
#include "core/quota/quota_client.hpp"
#include "core/routing/sharded_table.hpp"
#include "event_queue.hpp"

#include <roseworks/dispatcher.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace roseworks::testing
{

using namespace std::chrono_literals;

/** Simulates many routers before the engines of one model in virtual time: the
    dispatcher, the limits of servers and their accounts of each router are the
    real ones.

    Messages between routers are lost, delayed and reordered. One seed
   determines the whole run. What the engines do is defined by the derived
   class.
*/
class router_fleet
{
public:
    struct options
    {
        std::size_t routers = 9;
        /// The first routers; only they may be accountants.
        std::size_t accountant_candidates = 6;
        std::size_t engines = 3;  ///< engines that have the model
        std::uint16_t slots = 24; ///< requests that an engine runs at once
        double loss = 0;          ///< probability per message
        duration shortest_delay = 500us;
        duration longest_delay = 3ms;
        duration caller_timeout = 3s; ///< time limit of a caller
        quota_mode mode = quota_mode::accountant;
        /// Empty: the requests at saturated engines aren't counted.
        std::optional<saturation_rule> saturation;
        std::uint64_t seed = 1;
    };

    explicit router_fleet(options settings);
    virtual ~router_fleet() = default;
    router_fleet(router_fleet&&) = delete;
    router_fleet& operator=(router_fleet&&) = delete;

    /// Whether a message from one router reaches another now.
    std::function<bool(std::size_t from, std::size_t to)> reaches =
        [](std::size_t, std::size_t)
    {
        return true;
    };

    /// Sends callers' requests to random routers.
    /// @param at_last Use only this many routers, the last ones; 0: use all.
    void send(duration length, double per_second, std::size_t at_last = 0);

    /// Restarts a router, which loses its state.
    void restart(std::size_t router);

    /// Suspends a router for a time.
    void freeze(std::size_t router, duration length);

    std::size_t served() const
    {
        return this->answered_count;
    }

    std::size_t refused() const
    {
        return this->refused_count;
    }

    std::size_t message_count() const
    {
        return this->messages_sent;
    }

protected:
    struct router
    {
        std::string name;
        std::unique_ptr<dispatcher> traffic;
        std::unique_ptr<server_limits> limits;
        std::unique_ptr<server_limits> brittle_services;
        std::unique_ptr<server_limits> saturated_servers;
        std::unique_ptr<quota_client> client;
        std::unique_ptr<quota_accountant> accountant;
        std::unordered_map<std::uint64_t, server_place> draws;
        std::uint64_t run = 0;
        instant frozen_until;
        instant scheduled_tick = instant::max();
    };

    /// @return id of the server's registry entry.
    static std::string server_name(engine_id engine);

    /// Starts a request on the engine that was granted; `end_attempt` must
    /// follow.
    virtual void run_request(std::size_t number, const grant& granted) = 0;

    /// @return A request that a caller sends now.
    virtual request_info make_request();

    /// A router has taken in the request that was made last.
    virtual void request_submitted(std::size_t number, ticket id);

    /// A router has refused a request that waited.
    virtual void request_refused(std::size_t number, const refusal& refused);

    /// An engine answered a request.
    void handle_notice(
        std::size_t number,
        engine_id engine,
        const server_notice& notice,
        instant sent);

    /// An attempt of a request has ended.
    void end_attempt(
        std::size_t number, const grant& granted, const attempt_result& result);

    /// Schedules an action on a router. It is delayed while the router is
    /// suspended, and dropped when the router was restarted.
    void
    schedule_on(std::size_t number, instant when, std::function<void()> action);

    instant now() const
    {
        return this->queue.now();
    }

    event_queue queue;
    std::mt19937_64 random;
    std::vector<router> routers;

private:
    void start(router& target);
    void handle_request(std::size_t number);
    void flush(std::size_t number);
    void take_changes(std::size_t number);
    void take_commands(std::size_t number);
    void take_draws(std::size_t number);
    void take_late_replies(std::size_t number);
    void send_limits(std::size_t number, const server_limit_update& update);
    void update_limits(router& target);
    bool counts_places(const router& target) const;
    bool counts_places(const router& target, engine_id engine) const;
    /// @return Requests that all routers may have at an engine, if counted.
    double places_of(const router& target) const;
    std::string account_of(const router& target, engine_id engine) const;
    draw_order order_of(const permit_wanted& wanted) const;
    void draw_permit(std::size_t number, const permit_wanted& wanted);
    void apply_decision(std::size_t number, const quota_decision& decision);
    void schedule_tick(std::size_t number);
    void
    deliver(std::size_t from, std::size_t to, std::function<void()> action);
    void send_query(std::size_t from, const quota_message& message);
    std::size_t index_of(const std::string& name) const;

    options settings;
    std::vector<std::string> candidate_names; ///< of accountants
    detail::sharded_table table;
    std::size_t answered_count = 0;
    std::size_t refused_count = 0;
    std::size_t messages_sent = 0;
};

} // namespace roseworks::testing
