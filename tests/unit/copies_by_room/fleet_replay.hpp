#pragma once

#include "core/swapping/swap_planner.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace roseworks::testing
{

using namespace std::chrono_literals;

/// A period in which one model gets many requests.
struct hot_period
{
    duration from{};
    duration until{};
    std::size_t model = 0;
    double rate = 0; ///< requests per second
};

/// A period in which the rarely used models get more requests.
struct rare_burst
{
    duration from{};
    duration until{};
    double rate = 0; ///< requests per second over all rare models
};

/// Load and failures of one replay.
struct replay_scenario
{
    std::uint64_t seed = 1;
    std::size_t routers = 84;
    bool copies_by_room = true;
    std::vector<hot_period> hot;
    std::size_t hot_disks = 7;  ///< engines with the weights of a hot model
    std::size_t hot_copies = 4; ///< engines that hold the first one at first
    double rare_rate = 163;     ///< requests per second over all rare models
    /// Requests per second over the other models of the live notes.
    double busy_rate = 0;
    std::vector<rare_burst> bursts;
    duration length = 20s;
    duration order_delay{};  ///< until an engine begins an order
    duration engines_lost{}; ///< when a third of the engines is lost; 0: never
    duration owner_killed{}; ///< when the owner is lost; 0: never
    std::uint32_t queue = 0; ///< requests that wait at an engine
};

/// Requests and those that started within their objective.
struct replay_count
{
    std::size_t requested = 0;
    std::size_t in_time = 0;

    double share() const
    {
        return this->requested == 0 ? 1.0
                                    : static_cast<double>(this->in_time) /
                                          static_cast<double>(this->requested);
    }
};

/** Replays deployment R in virtual time: 90 engines of 12 slots and 200 GB, 274
    models of 34.3 to 72.7 GB, and a store that loads one model at full speed.

    The routers' reports, the planner's orders and the runs on the engines are
    simulated in steps of 10 ms. A request that hasn't started within its
    objective is given up.
*/
class fleet_replay
{
public:
    static constexpr std::size_t engine_count = 90;
    static constexpr std::size_t model_count = 274;
    static constexpr std::size_t first_rare = 26;
    static constexpr std::uint32_t slots = 12;
    static constexpr duration step = 10ms;
    static constexpr duration run_time = 500ms;
    static constexpr duration hot_objective = 400ms;
    static constexpr duration rare_objective = 2s;
    static constexpr duration disk_load = 1s;
    static constexpr duration store_load = 13'200ms;

    explicit fleet_replay(replay_scenario load);

    void play();

    /** Computes what a planner with full knowledge serves in time.

        It knows the demand of a hot model at once: the copies that the demand
        needs and that have weights are loaded one load from disk later, and one
        further copy after each load from the store. Its copies serve the hot
        model only.
    */
    replay_count full_knowledge() const;

    replay_count hot;
    replay_count rare;
    replay_count busy; ///< of the models that are never in a hot period
    std::map<std::size_t, std::size_t> peak_copies; ///< by hot model
    std::size_t store_loads = 0;
    std::size_t disk_loads = 0;
    /// Number of engines that hold the model.
    std::size_t copies_of(std::size_t model) const;
    /// First time at which the number of the model's copies was reached.
    std::map<std::pair<std::size_t, std::size_t>, instant> reached;

private:
    struct request
    {
        std::size_t model = 0;
        std::size_t router = 0;
        instant arrived;
        instant objective;
    };

    struct engine_run
    {
        std::vector<std::pair<instant, request>> running; ///< by end
        std::deque<request> queue;
        std::map<std::string, std::uint32_t> orders;
    };

    struct store_job
    {
        std::string engine;
        std::string model;
        duration left{};
    };

    struct delayed_answer
    {
        std::string engine;
        instant due;
    };

    using use_key = std::pair<std::string, std::string>; ///< model, engine

    struct router_state
    {
        std::map<std::size_t, std::uint32_t> needs; ///< reported, by model
        instant needs_repeated;
        std::map<use_key, std::uint32_t> running;
        std::map<use_key, std::uint32_t> started;
    };

    void make_configuration();
    void make_engines();
    void arrive(instant now);
    void add_request(std::size_t model, duration objective, instant now);
    double hot_rate(const hot_period& period, instant now) const;
    double rare_rate(instant now) const;
    void end_runs(instant now);
    void assign(instant now);
    void start(engine_run& engine, const std::string& id, instant now);
    void count_start(const request& one, instant now);
    void give_up(instant now);
    void report(instant now);
    void report_needs(std::size_t router, instant now);
    void report_uses(std::size_t router, instant now, bool all);
    void fail(instant now);
    void lose_engines();
    void replace_owner(instant now);
    void order(instant now);
    void accept(const swap_order& order, instant now);
    void progress_store_loads(instant now);
    void finish_store_load(const store_job& job, instant now);
    void observe(instant now);
    bool is_hot(std::size_t model) const;
    replay_count& count_of(std::size_t model);
    std::string name(std::size_t model) const;

    replay_scenario scenario;
    std::mt19937_64 random;
    std::shared_ptr<deployment> configuration;
    engine_tracker tracker{engine_tracker::options()};
    demand_tracker demands{demand_tracker::options()};
    std::unique_ptr<swap_planner> planner;
    std::map<std::string, engine_run> runs;
    std::vector<std::deque<request>> waiting; ///< by model
    std::vector<router_state> routers;
    std::vector<store_job> store_jobs;
    std::vector<delayed_answer> answers;
    /// Arrivals of hot models, for the planner with full knowledge.
    std::vector<std::pair<instant, std::size_t>> hot_arrivals;
    std::uint64_t sequence = 0;
    instant no_owner_until;
    bool lost = false;
    bool killed = false;
};

/// Instant after the start of a replay.
inline instant at(duration since_start)
{
    return instant(100s + since_start);
}

} // namespace roseworks::testing
