#pragma once

#include "crash_router.hpp"
#include "event_queue.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace roseworks::testing
{

using namespace std::chrono_literals;

/** Simulates routers and backend servers while one request crashes each server
    that runs it. Callers send that request again and again, to any router, and
    send innocent requests beside it. Runs in virtual time; one seed determines
    the whole run. */
class crash_fleet
{
public:
    struct options
    {
        std::size_t routers = 7;
        std::size_t servers = 20;
        double crashing_per_second = 2; ///< sends of the crashing request
        double innocent_per_second = 0; ///< each with content of its own
        /// Innocent requests with one common content, as of a health probe.
        double common_per_second = 0;
        duration shortest_outage = 300ms; ///< of a server after its crash
        duration longest_outage = 4s;
        /// Time from the arrival of a request until it is sent, at most.
        duration longest_wait = 900ms;
        /// Refused callers of the crashing request return at the end of
        /// Retry-After, all at once.
        bool callers_return = false;
        double silent_share = 0; ///< crashed servers that don't refuse connects
        double loss = 0;         ///< probability per message
        std::uint64_t seed = 1;
    };

    explicit crash_fleet(options settings);

    /// Whether a message from one router reaches another now.
    std::function<bool(std::size_t from, std::size_t to)> reaches =
        [](std::size_t, std::size_t)
    {
        return true;
    };

    /// Whether a router receives changes of the registry now.
    std::function<bool(std::size_t router)> hears_registry = [](std::size_t)
    {
        return true;
    };

    /// Sends requests for a time.
    void send(duration length);

    /// Restarts a router, which loses its state.
    void restart(std::size_t router);

    /// Suspends a router for a time.
    void freeze(std::size_t router, duration length);

    /// Adds a router.
    void add_router();

    /// Marks a router as out of touch from now on, for a time.
    void lose_touch(std::size_t router, duration length);

    /// @return Sends of the crashing request by routers in touch, later than
    ///         the allowed time after it has crashed the third server.
    std::size_t late_sends() const;

    /// @return Servers that the crashing request has crashed.
    std::size_t crashes() const
    {
        return this->crash_times.size();
    }

    std::size_t innocent_refusals() const
    {
        return this->refused_innocents;
    }

    std::size_t innocent_count() const
    {
        return this->sent_innocents;
    }

    std::size_t message_count() const
    {
        return this->messages_sent;
    }

    instant now() const
    {
        return this->queue.now();
    }

private:
    struct run
    {
        std::uint64_t number;
        std::size_t router;
        std::uint64_t router_run; ///< of the router's process
        fingerprint request;
        bool is_retry = false;
    };

    struct server
    {
        simulated_life life;
        bool up = true;
        bool silent = false; ///< while it is down
        std::vector<run> running;
    };

    /// A server as one router's registry shows it.
    struct listed_server
    {
        simulated_life life;
        bool listed = true;
    };

    struct router
    {
        crash_router knowledge;
        std::vector<listed_server> registry; ///< by server
        std::uint64_t process = 1;
        instant frozen_until;
        instant out_of_touch_until;
    };

    void arrive(fingerprint request, std::size_t router, bool is_retry);
    void start_run(fingerprint request, std::size_t router, bool is_retry);
    void handle_refusal(fingerprint request, duration retry_after);
    void end_run(std::size_t server, std::uint64_t number);
    void crash(std::size_t server);
    void start_server(std::size_t server);
    void break_run(const simulated_life& life, std::size_t server, const run&);
    void examine(std::size_t router, std::size_t server, simulated_life life);
    void announce_start(std::size_t server);
    void announce_end(std::size_t server, const simulated_life& life);
    void flush(std::size_t router);
    void deliver(
        std::size_t from, std::size_t to, const crash_router::message& sent);
    void tick(std::size_t router, std::uint64_t process);
    void on_router(
        std::size_t router,
        std::uint64_t process,
        instant when,
        std::function<void()> action);
    void make_router();
    std::optional<std::size_t> choose_server(std::size_t router);
    std::size_t random_below(std::size_t count);
    duration random_time(duration shortest, duration longest);
    bool happens(double probability);
    bool in_touch(std::size_t router) const;
    void schedule_arrivals(
        duration length, double per_second, const std::function<void()>& send);

    options settings;
    event_queue queue;
    std::mt19937_64 random;
    std::vector<router> routers;
    std::vector<server> servers;
    std::vector<instant> crash_times;
    std::vector<instant> sends_in_touch; ///< of the crashing request
    std::uint64_t last_run = 0;
    std::uint64_t last_content = 100;
    std::size_t refused_innocents = 0;
    std::size_t sent_innocents = 0;
    std::size_t messages_sent = 0;
};

} // namespace roseworks::testing
