#pragma once

#include "core/quota/quota_accountant.hpp"
#include "core/quota/quota_client.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace roseworks::testing
{

using namespace std::chrono_literals;

/** Many routers in virtual time, which keep one organisation's limit over a
    network that loses, delays, repeats and reorders. All of it by one seed. */
class quota_fleet
{
public:
    struct options
    {
        std::size_t routers = 300;
        std::size_t strong = 6; ///< the first ones: they may count
        usage_limit limit{29'000, 29'000};
        double slack = 110'000;
        quota_mode mode = quota_mode::accountant;
        double loss = 0;      ///< of words
        double duplicate = 0; ///< of words
        duration shortest_delay = 500us;
        duration longest_delay = 3ms;
        std::uint64_t seed = 1;
    };

    explicit quota_fleet(options settings);

    /// Whether a word from one router reaches another now.
    std::function<bool(std::size_t from, std::size_t to)> reaches =
        [](std::size_t, std::size_t)
    {
        return true;
    };

    /// Runs on for so long, without callers.
    void pass(duration length);

    /// Requests of a size, so many tokens a second, at routers drawn by their
    /// weights (empty: alike).
    void send(
        duration length,
        double tokens_per_second,
        double amount,
        duration patience,
        std::vector<double> weights = {});

    /// The process ends and starts anew with nothing known.
    void restart(std::size_t router);

    /// It stands still for so long.
    void freeze(std::size_t router, duration length);

    /// More routers, known to all at once.
    void add(std::size_t count);

    void set_limit(usage_limit limit);

    /// @return The most tokens used within any window.
    double worst_window() const;

    /// @return What may be used in a window.
    double allowed() const;

    /// @return Of what a perfect count would have let through since the last
    ///         `forget`, the part that ran.
    double served_share() const
    {
        return this->served / this->owed;
    }

    /// Counts anew what is owed and served; the uses stay.
    void forget();

    std::size_t words() const
    {
        return this->words_sent;
    }

    instant now() const
    {
        return this->time;
    }

private:
    struct router
    {
        std::string name;
        std::unique_ptr<quota_client> client;
        std::unique_ptr<quota_accountant> accountant;
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

    struct use
    {
        instant when;
        double amount;
    };

    void start(router& one);
    void tell_routers(router& one);
    void at(instant when, std::function<void()> action);
    /// An action of one run of a router; later while it stands still.
    void on(std::size_t router, instant when, std::function<void()> action);
    void run_until(instant when);
    void flush(std::size_t router);
    void arm(std::size_t router);
    void carry(std::size_t from, std::size_t to, std::function<void()> action);
    void ask(std::size_t from, const quota_message& message);
    void decide(std::size_t router, const quota_decision& made);
    void arrive(double amount, duration patience, std::size_t router);
    std::size_t number_of(const std::string& name) const;
    global_limits limits() const;

    options settings;
    instant time = instant(1000s);
    std::mt19937_64 random;
    std::vector<router> routers;
    std::vector<std::string> order; ///< of those that may count
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::unordered_map<std::uint64_t, double> open; ///< amounts by draw
    std::vector<use> uses;
    token_bucket perfect;
    instant filled;
    double owed = 0;
    double served = 0;
    std::size_t words_sent = 0;
    std::uint64_t last_number = 0;
};

} // namespace roseworks::testing
