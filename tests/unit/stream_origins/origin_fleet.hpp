#pragma once

#include "core/origins/origin_tracker.hpp"
#include "event_queue.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace roseworks::testing
{

using namespace std::chrono_literals;

/** Simulates routers, the versions of one service, and callers that take up
    their streams at other routers. Runs in virtual time; one seed determines
    the whole run.

    A router's registry follows the versions with a delay. A stream lasts until
    its end, unless its router ends or its connection is reset; then its caller
    takes it up at any live router, until its time is over. */
class origin_fleet
{
public:
    struct options
    {
        std::size_t routers = 7;
        std::vector<std::string> versions = {"v1"};
        double streams_per_second = 100;
        duration shortest_stream = 200ms;
        duration longest_stream = 4s;
        /// From the begin of a stream until its caller gives up.
        duration longest_try = 5s;
        duration restart_time = 900ms; ///< until a killed router is back
        duration registry_delay = 400ms;
        duration log_length = 15s; ///< that the registry still has
        double loss = 0;           ///< probability per message
        bool names_attempt = true;
        bool first_start = true;
        std::uint64_t seed = 1;
    };

    /// What became of the streams that callers took up.
    struct result
    {
        std::size_t taken_up = 0;
        std::size_t went_on = 0;
        std::size_t at_other_version = 0;

        double share() const
        {
            return this->taken_up == 0
                       ? 1.0
                       : static_cast<double>(this->went_on) /
                             static_cast<double>(this->taken_up);
        }
    };

    explicit origin_fleet(options settings);

    /// Whether a message from one router reaches another now.
    std::function<bool(std::size_t from, std::size_t to)> reaches =
        [](std::size_t, std::size_t)
    {
        return true;
    };

    /// Whether a router hears of the registry now.
    std::function<bool(std::size_t router)> hears_registry = [](std::size_t)
    {
        return true;
    };

    /// Callers send streams for a time.
    void run(duration length);

    /// Changes the versions that are in service.
    void set_versions(std::vector<std::string> versions);

    /// Ends a router, which loses its state, and starts it again.
    void kill(std::size_t router);

    /// Ends routers one after the other.
    void restart_all(duration gap);

    /// Ends a share of the routers at once.
    void kill_share(double share);

    /// Resets the connections of callers at a share of the routers.
    void reset_share(double share);

    const result& seen() const
    {
        return this->counts;
    }

    /// @return Bytes of records, queries and answers that a router sent, per
    ///         second, the mean over all routers.
    double bytes_per_second() const;

    std::size_t most_records() const;

    instant now() const
    {
        return this->queue.now();
    }

private:
    struct stream
    {
        std::string attempt; ///< that brought the first event
        std::string version;
        std::size_t router = 0;
        std::uint64_t process = 0; ///< of the router
        instant begun;
        instant ends;
    };

    struct router
    {
        std::unique_ptr<origin_tracker> tracker;
        bool up = false;
        std::uint64_t process = 0;
        instant registry_as_of;
        std::vector<std::string> registry;
        bool knows_registry = false;
        std::map<std::uint64_t, stream> asked; ///< by question
        std::uint64_t last_question = 0;
    };

    void start(std::size_t number);
    void read_registry(std::size_t number, std::uint64_t process);
    void begin_stream();
    void serve(std::size_t router, stream one);
    void break_streams(std::size_t router);
    void take_up(stream one);
    void handle_answer(std::size_t router, const origin_tracker::answer& one);
    void flush(std::size_t router);
    void read_log(std::size_t router);
    void schedule_tick(std::size_t router);
    std::optional<duration> registry_age(std::size_t router) const;
    std::optional<std::size_t> random_live_router();
    std::vector<std::size_t> random_share(double share);
    bool happens(double probability);
    duration random_time(duration shortest, duration longest);
    static software_version software(const std::string& version);
    static stream_key key(const std::string& attempt);

    options settings;
    event_queue queue;
    std::mt19937_64 random;
    std::vector<router> routers;
    std::vector<std::string> versions;
    /// With the time until which they were in service.
    std::vector<std::pair<instant, std::string>> past_versions;
    std::map<std::uint64_t, stream> running; ///< by number
    std::uint64_t last_stream = 0;
    instant started;
    instant arrivals_end;
    std::uint64_t bytes_sent = 0;
    result counts;
};

} // namespace roseworks::testing
