#pragma once

#include "core/pace/announced_paces.hpp"
#include "core/pace/pace_estimator.hpp"
#include "core/pace/pace_observer.hpp"
#include "core/routing/sharded_table.hpp"
#include "event_queue.hpp"

#include <roseworks/dispatcher.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace roseworks::testing
{

using namespace std::chrono_literals;

/// What the routers know of the speed of engines.
enum class pace_knowledge
{
    none,
    estimated,
    full
};

/** Routers before engines of different speed, in virtual time. The dispatchers,
    observers and estimators are the real ones. Each model is on eight engines,
    and each engine has two models, which take different times. */
class paced_fleet
{
public:
    struct options
    {
        std::size_t routers = 84;
        std::size_t engines = 88; ///< a multiple of 4, at least 8
        std::uint16_t slots = 12;
        double load = 0.6; ///< share of the engines' capacity
        pace_knowledge knowledge = pace_knowledge::estimated;
        /// Speed of an engine; 1 is usual.
        std::function<double(std::size_t engine)> speed = [](std::size_t)
        {
            return 1.0;
        };
        /// Share of the engines whose host is 2.5 times as slow, drawn anew
        /// every 600 ms.
        double disturbed = 0;
        std::uint64_t seed = 1;
    };

    explicit paced_fleet(options settings);

    /// Whether a message from one router reaches another now.
    std::function<bool(std::size_t from, std::size_t to)> reaches =
        [](std::size_t, std::size_t)
    {
        return true;
    };

    /// Changes the samples that a router sends.
    std::function<void(std::size_t router, std::vector<pace_sample>&)> tamper =
        [](std::size_t, std::vector<pace_sample>&) {};

    /// Runs for a time, and discards earlier measurements.
    void run(duration length);

    /// Replaces an engine by another run of another speed.
    void restart_engine(std::size_t engine, double speed);

    /// Ends the ownership of a router; its estimates are lost.
    void kill_owner(std::size_t router);

    /// Makes a router an owner, which has no estimates.
    void add_owner(std::size_t router);

    /// @return 99th percentile of the time to the first event, in ms.
    double p99() const;

    /// @return Utilisation of the busiest engine, relative to the mean.
    double busiest() const;

    /// @return Share of an engine's slots that was in use.
    double utilisation(std::size_t engine) const;

    /// @return Number of an engine's present run, in samples.
    std::uint64_t run_of(std::size_t engine) const;

    /// @return The pace of an engine as a router knows it.
    std::uint32_t pace_at(std::size_t router, std::size_t engine) const;

    /// @return Mean size of a router's samples in bytes per second, encoded.
    double sample_bytes_per_second() const;

    std::size_t served() const
    {
        return this->first_event_ms.size();
    }

    /// Called every 250 ms.
    std::function<void()> observe = [] {};

private:
    struct request
    {
        std::size_t router;
        ticket id;
        std::size_t model;
        instant arrived;
        instant sent;
        std::uint64_t run = 0; ///< of the engine
    };

    struct engine
    {
        double speed = 1;
        std::int64_t born_ms = 1;
        std::uint64_t run = 0;
        std::uint32_t running = 0;
        std::deque<request> waiting;
        duration busy{};
    };

    struct router
    {
        std::unique_ptr<dispatcher> traffic;
        pace_observer observer{{}};
        announced_paces known;
        std::size_t owner = 0;
        std::uint64_t owner_tenure = 0;
        instant owner_heard;
        instant scheduled_tick = instant::max();
        std::map<std::uint64_t, request> requests; ///< by ticket
    };

    struct owner
    {
        std::size_t router;
        std::uint64_t tenure;
        pace_estimator estimator{{}};
        std::size_t next_engine = 0; ///< of the beacon
    };

    void arrive();
    void flush(std::size_t number);
    void send(std::size_t number, const grant& granted);
    void receive(std::size_t number, const request& one);
    void begin(std::size_t number, const request& one);
    void finish(
        std::size_t number,
        const request& one,
        const std::vector<instant>& events,
        std::uint32_t host_percent);
    double disturbance(std::size_t number, instant when) const;
    void apply_paces(std::size_t number);
    void tick_control();
    void report(std::size_t number);
    void announce(owner& from, const std::vector<std::size_t>& which);
    void later(duration wait, std::function<void()> action);
    duration run_time(std::size_t model) const;
    static std::string engine_name(std::size_t number);

    options settings;
    event_queue queue;
    std::mt19937_64 random;
    std::vector<std::string> models;
    detail::sharded_table table;
    std::vector<engine> engines;
    std::vector<router> routers;
    std::vector<std::unique_ptr<owner>> owners;
    std::uint64_t last_tenure = 0;
    std::size_t control_ticks = 0;
    std::size_t sample_bytes = 0;
    instant measured_from;
    bool started = false;
    std::vector<double> first_event_ms;
};

} // namespace roseworks::testing
