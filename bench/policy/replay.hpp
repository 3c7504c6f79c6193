#pragma once

#include "core/trace/trace.hpp"
#include "replay_figures.hpp"
#include "replay_options.hpp"
#include "replica_pool.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <queue>
#include <set>
#include <tuple>
#include <vector>

namespace roseworks::bench
{

/** Replays a trace through a strategy in virtual time: arrivals, loads and
    completions only, no networks, nodes or faults. The same figures, bit for
    bit, for the same trace, options and strategy.
*/
class replay
{
public:
    replay(
        const trace& source, replay_options options, replay_strategy strategy);

    /// Run to the trace's end; once.
    replay_figures run();

private:
    enum class event_kind : std::uint8_t
    {
        load_done,
        request_done,
        hold_over,
        expected,
        look_again, ///< for room
        grant,      ///< the store's rate allows a load
        stage
    };

    struct event
    {
        instant at{};
        std::uint64_t sequence = 0;
        event_kind kind = event_kind::look_again;
        std::uint64_t replica = 0;
        std::uint64_t detail = 0; ///< uses of the replica, or an index

        bool operator>(const event& other) const
        {
            return std::tie(this->at, this->sequence) >
                   std::tie(other.at, other.sequence);
        }
    };

    struct wish
    {
        priority urgency = priority::normal;
        instant since{};
        std::uint32_t servable = 0;

        friend auto operator<=>(const wish&, const wish&) = default;
    };

    struct slot_wait
    {
        priority urgency = priority::normal;
        std::uint64_t replica = 0;

        friend auto operator<=>(const slot_wait&, const slot_wait&) = default;
    };

    void schedule(
        instant at,
        event_kind kind,
        std::uint64_t replica = 0,
        std::uint64_t detail = 0);
    void handle(const event& what);

    void arrive(std::uint32_t index);
    void learn(const traced_request& request);
    void serve(std::uint32_t servable);
    void start(std::uint32_t index, replayed_replica& replica);
    void finish(replayed_replica& replica);
    std::optional<std::uint64_t> free_replica(std::uint32_t servable);
    void begin_use(replayed_replica& replica);
    void end_use(replayed_replica& replica);

    void want(std::uint32_t servable, priority urgency);
    void place_wishes();
    bool place(std::uint32_t servable, priority urgency);
    bool make_room(std::uint32_t servable);
    void start_loads();
    void await_grant();
    void start_load(replayed_replica& replica);
    void loaded(replayed_replica& replica);
    void unload(replayed_replica& replica);
    void hold(const replayed_replica& replica);
    void hold_over(replayed_replica& replica);
    void handle_expected(std::uint64_t index);
    void stage_next();

    servable_view view(std::uint32_t servable) const;
    duration load_time(std::uint32_t servable) const;
    void count_idle(const replayed_replica& replica, instant until);
    bool for_cheaper(std::uint32_t servable, priority urgency) const;
    double accelerator_hours(
        std::uint32_t servable, instant from, instant until) const;

    const trace& source;
    replay_options options;
    replay_strategy strategy;
    replica_pool pool;
    instant now{};
    std::uint64_t last_sequence = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::vector<std::deque<std::uint32_t>> waiting; ///< requests by servable
    std::vector<std::optional<duration>> cold;      ///< by request
    std::vector<std::uint64_t> uses;                ///< by servable
    std::uint32_t half_size_mib = 0;                ///< median of the models
    std::set<wish> wishes;
    std::vector<bool> wished;
    std::vector<std::vector<std::uint32_t>> adapters_of; ///< by base
    std::set<slot_wait> slot_queue;
    std::uint32_t slots_used = 0;
    std::uint64_t slowed = 0; ///< requests measured, see `slowed_share`
    instant next_grant{};
    bool will_look_again = false;
    bool grant_scheduled = false;
    std::vector<expected_use> expectations;
    replay_figures figures;
};

} // namespace roseworks::bench
