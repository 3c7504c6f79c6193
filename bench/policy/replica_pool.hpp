#pragma once

#include "checkpoint_cache.hpp"
#include "core/trace/trace.hpp"
#include "replay_options.hpp"

#include <roseworks/instant.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace roseworks::bench
{

/// A replica in a replay, named by a number that only grows.
struct replayed_replica
{
    enum class phase : std::uint8_t
    {
        waiting, ///< for a store slot
        loading,
        ready
    };

    std::uint64_t id = 0;
    std::uint32_t servable = 0;
    std::uint32_t engine = 0;
    std::uint64_t base = 0; ///< adapters: the base's replica
    phase state = phase::waiting;
    priority urgency = priority::normal;
    bool takes_slot = true;
    bool only_staged = false; ///< goes as soon as its checkpoint is there
    std::uint32_t running = 0;
    std::uint32_t adapters = 0; ///< beside it, from their decision on
    instant decided{};
    instant ready_since{};
    instant last_use{};
    instant idle_since{};
    instant expected_until{}; ///< a use is expected until then
    std::uint64_t uses = 0;   ///< grows with each use
};

/** The replicas on the engines of a trace: memory, caches and choice.

    Chooses engines and evictions by the proposer's own rules (place_choice):
   fewest replicas of the same servable, then (if wanted) the nearest
   checkpoint, then the least memory reserved; fewest victims, then those that
   are worth least.
*/
class replica_pool
{
public:
    replica_pool(const trace& source, const replay_options& options);

    /// Where a replica may go, and beside which base replica.
    struct place
    {
        std::uint32_t engine = 0;
        std::uint64_t base = 0;
    };

    /** Choose an engine with room.

        @param servable   What is placed.
        @param for_cheaper Whether a cheaper engine comes first; else last.
        @return           Where; empty when none has room, or an adapter's base
                          isn't ready there.
    */
    std::optional<place>
    choose(std::uint32_t servable, bool for_cheaper = false) const;

    /// @return The next replica's decided row.
    replayed_replica& add(std::uint32_t servable, place where, instant now);
    void remove(std::uint64_t id);

    /// A replica that may be evicted, and how much it should be.
    struct candidate
    {
        std::uint64_t id = 0;
        double value = 0;
    };

    /** Choose replicas to evict so that a servable fits.

        @param servable   What is placed.
        @param candidates Replicas that may go.
        @return           Those that shall go; empty when it isn't possible.
    */
    std::vector<std::uint64_t> plan_eviction(
        std::uint32_t servable, std::span<const candidate> candidates) const;

    replayed_replica* find(std::uint64_t id);
    const std::vector<std::uint64_t>& of_servable(std::uint32_t servable) const;
    const std::map<std::uint64_t, replayed_replica>& all() const;
    bool has_ready(std::uint32_t servable) const;
    bool is_ready(std::uint64_t id) const;

    cache_tier tier(const replayed_replica& replica) const;
    bool cached_anywhere(std::uint32_t servable) const;
    void touch_cache(const replayed_replica& replica);

    /// Put a checkpoint into the main memory of the engine that would be
    /// chosen; an adapter's base where that isn't ready.
    void stage(std::uint32_t servable);

private:
    struct engine_row
    {
        std::uint64_t free_mib = 0;
        checkpoint_cache cache;
        std::vector<std::uint64_t> replicas;
    };

    std::optional<std::uint64_t>
    base_there(std::uint32_t servable, const engine_row& engine) const;

    const trace& source;
    bool tier_choice;
    std::vector<engine_row> engines;
    std::vector<std::vector<std::uint64_t>> by_servable;
    std::map<std::uint64_t, replayed_replica> replicas;
    std::uint64_t last_id = 0;
};

} // namespace roseworks::bench
