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

/** Simulates routers and backend servers while one request, or one part of
    prompts, crashes each server that runs it. Callers send such requests to any
    router, and innocent requests beside them. Runs in virtual time; one seed
    determines the whole run. */
class crash_fleet
{
public:
    /// Requests whose prompts have parts. Some hold a part that crashes
    /// servers; no two are alike.
    struct prompt_traffic
    {
        double per_second = 0;
        double bad_share = 0.05; ///< of the requests, while bad ones come
        std::size_t bad_position = 1;
        std::size_t bad_parts = 1;
        /// The bad part is one that ran well until bad requests come.
        bool ran_well_before = false;
        duration bad_from = 10s;
        /// Besides, this many bad requests come at one moment, again and again.
        std::size_t batch_size = 0;
        duration batch_interval = 5s;
        int retries = 1; ///< after a broken run
    };

    struct options
    {
        prompt_traffic prompts;
        std::size_t slots = 20; ///< runs of prompts at once on a server
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

    /// Restarts all routers at one moment.
    void restart_all();

    /// Suspends a router for a time.
    void freeze(std::size_t router, duration length);

    /// Adds a router.
    void add_router();

    /// Marks a router as out of touch from now on, for a time.
    void lose_touch(std::size_t router, duration length);

    /// Crashes a share of the servers at one moment, for another reason than a
    /// request.
    void crash_servers(double share);

    /// @return Sends of the crashing request by routers in touch, later than
    ///         the allowed time after it has crashed the third server.
    std::size_t late_sends() const;

    /// @return Sends of requests with a part that crashes servers, by routers
    ///         in touch, later than the allowed time after its fifth crash: of
    ///         the part with the most.
    std::size_t late_prompt_sends() const;

    /// Sound requests with prompts that have arrived, and those of them that
    /// began to be answered at the first attempt.
    struct begun_count
    {
        std::size_t arrived = 0;
        std::size_t begun = 0;

        double share() const
        {
            return static_cast<double>(this->begun) /
                   static_cast<double>(this->arrived);
        }
    };

    /// @return Requests before bad ones came.
    const begun_count& begun_before() const
    {
        return this->before;
    }

    /// @return Requests later than twice the allowed time after the fifth
    ///         crash, while bad ones come.
    const begun_count& begun_after() const
    {
        return this->after;
    }

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
        simulated_request request;
        instant started;
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

    /// Crashes by one part, and sends of requests with it.
    struct bad_part
    {
        fingerprint part;
        std::vector<instant> crashes;
        std::vector<instant> sends_in_touch;
    };

    simulated_request make_repeated();
    simulated_request make_innocent(fingerprint content);
    simulated_request make_prompt();
    /// Puts a bad part into the prompt.
    void spoil(simulated_request& request);
    void schedule_batches(duration length);
    void send_batch();
    bool are_bad_ones_coming() const;
    /// @return The part that makes the request crash servers; null: none.
    bad_part* bad_part_of(const simulated_request& request);
    /// @return The count that a sound request belongs to now; null: none.
    begun_count* current_count();
    void count_sends(const simulated_request& request, std::size_t router);
    void count_arrival(const simulated_request& request);
    void arrive(const simulated_request& request, std::size_t router);
    void start_run(const simulated_request& request, std::size_t router);
    void handle_refusal(const simulated_request& request, duration retry_after);
    void begin_answer(std::size_t server, std::uint64_t number);
    void end_run(std::size_t server, std::uint64_t number);
    void crash(std::size_t server);
    bool is_free(std::size_t server, const simulated_request& request) const;
    void start_server(std::size_t server);
    void break_run(const simulated_life& life, std::size_t server, const run&);
    void retry(const run& broken);
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
    std::optional<std::size_t>
    choose_server(const simulated_request& request, std::size_t router);
    std::size_t random_below(std::size_t count);
    duration random_time(duration shortest, duration longest);
    bool happens(double probability);
    bool in_touch(std::size_t router) const;
    void schedule_arrivals(
        duration length, double per_second, const std::function<void()>& send);

    options settings;
    event_queue queue;
    std::mt19937_64 random;
    instant started_at;
    /// What the platform's store keeps while all routers are restarted.
    crash_router::archive archive;
    std::vector<router> routers;
    std::vector<server> servers;
    std::vector<instant> crash_times;
    std::vector<instant> sends_in_touch; ///< of the crashing request
    std::vector<bad_part> bad_parts;
    instant next_batch;
    begun_count before;
    begun_count after;
    std::uint64_t last_run = 0;
    std::uint64_t last_content = 100;
    std::size_t refused_innocents = 0;
    std::size_t sent_innocents = 0;
    std::size_t messages_sent = 0;
};

} // namespace roseworks::testing
