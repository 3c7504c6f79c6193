#pragma once

#include "core/pacing/server_limits.hpp"
#include "core/quota/quota_accountant.hpp"
#include "core/quota/quota_client.hpp"
#include "core/routing/sharded_table.hpp"

#include <roseworks/dispatcher.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

namespace roseworks::testing
{

using namespace std::chrono_literals;

/** Many routers and one model's engines in virtual time; the first engine names
    a rate limit in its answers for a while. Words between routers are lost,
    delayed and reordered, all of it by one seed. */
class limited_fleet
{
public:
    struct options
    {
        std::size_t routers = 9;
        std::size_t strong = 6;  ///< the first ones: they may count
        std::size_t engines = 3; ///< that have the model
        double per_second = 2;   ///< that the first engine names
        double loss = 0;         ///< of words
        duration shortest_delay = 500us;
        duration longest_delay = 3ms;
        duration service = 150ms; ///< of a request, at most twice that
        duration patience = 3s;   ///< of a caller
        quota_mode mode = quota_mode::accountant;
        std::uint64_t seed = 1;
    };

    explicit limited_fleet(options settings);

    /// Whether a word from one router reaches another now.
    std::function<bool(std::size_t from, std::size_t to)> reaches =
        [](std::size_t, std::size_t)
    {
        return true;
    };

    /// The first engine names its limit from now on, or no longer.
    void name_limit(bool names)
    {
        this->named_since = names ? this->time : instant::max();
    }

    /// Callers' requests at routers drawn alike, or at the last few only.
    void send(duration length, double per_second, std::size_t at_last = 0);

    /// The process ends and starts anew with nothing known.
    void restart(std::size_t router);

    /// It stands still for so long.
    void freeze(std::size_t router, duration length);

    /// @return The most requests that the limited engine got in 4 s, later
    ///         than half a second after it had named its limit.
    std::size_t worst_window() const;

    /// @return What it may get so.
    double allowed() const;

    /// @return Requests that the limited engine got in the last so long.
    std::size_t arrived_within(duration length) const;

    std::size_t served() const
    {
        return this->answered_count;
    }

    std::size_t refused() const
    {
        return this->refused_count;
    }

    std::size_t words() const
    {
        return this->words_sent;
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
        instant armed = instant::max();
    };

    struct event
    {
        instant at;
        std::uint64_t number;
        std::function<void()> action;

        bool operator>(const event& other) const
        {
            return std::tie(this->at, this->number) >
                   std::tie(other.at, other.number);
        }
    };

    struct arrival
    {
        instant when;
        bool is_counted = false; ///< the limit had been named by then
    };

    void start(router& one);
    void at(instant when, std::function<void()> action);
    /// An action of one run of a router; later while it stands still.
    void on(std::size_t number, instant when, std::function<void()> action);
    void run_until(instant when);
    void arrive(std::size_t number);
    void flush(std::size_t number);
    void take_changes(std::size_t number);
    void take_commands(std::size_t number);
    void take_draws(std::size_t number);
    void run_request(std::size_t number, const grant& given);
    void answer(std::size_t number, const grant& given, instant sent);
    void draw_permit(std::size_t number, const permit_wanted& what);
    void decide(std::size_t number, const quota_decision& made);
    void arm(std::size_t number);
    void carry(std::size_t from, std::size_t to, std::function<void()> action);
    void ask(std::size_t from, const quota_message& message);
    std::size_t number_of(const std::string& name) const;

    options settings;
    instant time = instant(1000s);
    std::mt19937_64 random;
    std::vector<router> routers;
    std::vector<std::string> order; ///< of those that may count
    detail::sharded_table table;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::vector<arrival> arrivals; ///< at the limited engine
    instant named_since = instant::max();
    std::size_t answered_count = 0;
    std::size_t refused_count = 0;
    std::size_t words_sent = 0;
    std::uint64_t last_number = 0;
};

} // namespace roseworks::testing
