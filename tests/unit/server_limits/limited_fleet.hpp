#pragma once

#include "core/pacing/server_limits.hpp"
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
#include <unordered_map>
#include <variant>
#include <vector>

namespace roseworks::testing
{

using namespace std::chrono_literals;

/** Simulates many routers and the engines of one model in virtual time.

    The first engine can announce a rate limit in its answers. Messages between
    routers are lost, delayed and reordered. One seed determines the whole run.
*/
class limited_fleet
{
public:
    struct options
    {
        std::size_t routers = 9;
        /// The first routers; only they may be accountants.
        std::size_t accountant_candidates = 6;
        std::size_t engines = 3; ///< engines that have the model
        double per_second = 2;   ///< limit that the first engine announces
        double loss = 0;         ///< probability per message
        duration shortest_delay = 500us;
        duration longest_delay = 3ms;
        /// Shortest service time; the longest is twice that.
        duration service = 150ms;
        duration caller_timeout = 3s; ///< time limit of a caller
        quota_mode mode = quota_mode::accountant;
        std::uint64_t seed = 1;
    };

    explicit limited_fleet(options settings);

    /// Whether a message from one router reaches another now.
    std::function<bool(std::size_t from, std::size_t to)> reaches =
        [](std::size_t, std::size_t)
    {
        return true;
    };

    /// Makes the first engine start or stop announcing its limit.
    void announce_limit(bool announces)
    {
        this->announced_since = announces ? this->queue.now() : instant::max();
    }

    /// Sends callers' requests to random routers.
    /// @param at_last Use only this many routers, the last ones; 0: use all.
    void send(duration length, double per_second, std::size_t at_last = 0);

    /// Restarts a router, which loses its state.
    void restart(std::size_t router);

    /// Suspends a router for a time.
    void freeze(std::size_t router, duration length);

    /// @return The most requests that the limited engine got within 4 s. Those
    ///         in the first 500 ms after it announced its limit don't count.
    std::size_t worst_window() const;

    /// @return The limit for `worst_window`.
    double allowed() const;

    /// @return Requests that the limited engine got in the last `length`.
    std::size_t arrived_within(duration length) const;

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

private:
    struct router
    {
        std::string name;
        std::unique_ptr<dispatcher> traffic;
        std::unique_ptr<server_limits> limits;
        std::unique_ptr<quota_client> client;
        std::unique_ptr<quota_accountant> accountant;
        std::unordered_map<std::uint64_t, server_place> draws;
        std::uint64_t run = 0;
        instant frozen_until;
        instant scheduled_tick = instant::max();
    };

    struct arrival
    {
        instant when;
        bool is_counted = false; ///< the routers should know the limit by then
    };

    void start(router& target);
    /// Schedules an action on a router. It is delayed while the router is
    /// suspended, and dropped when the router was restarted.
    void
    schedule_on(std::size_t number, instant when, std::function<void()> action);
    void handle_request(std::size_t number);
    void flush(std::size_t number);
    void take_changes(std::size_t number);
    void take_commands(std::size_t number);
    void take_draws(std::size_t number);
    void run_request(std::size_t number, const grant& granted);
    void answer(std::size_t number, const grant& granted, instant sent);
    void draw_permit(std::size_t number, const permit_wanted& wanted);
    void apply_decision(std::size_t number, const quota_decision& decision);
    void schedule_tick(std::size_t number);
    void
    deliver(std::size_t from, std::size_t to, std::function<void()> action);
    void send_query(std::size_t from, const quota_message& message);
    std::size_t index_of(const std::string& name) const;

    options settings;
    event_queue queue;
    std::mt19937_64 random;
    std::vector<router> routers;
    std::vector<std::string> candidate_names; ///< of accountants
    detail::sharded_table table;
    std::vector<arrival> arrivals; ///< at the limited engine
    instant announced_since = instant::max();
    std::size_t answered_count = 0;
    std::size_t refused_count = 0;
    std::size_t messages_sent = 0;
};

} // namespace roseworks::testing
