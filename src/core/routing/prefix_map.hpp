#pragma once

#include "core/routing/server_loads.hpp"

#include <roseworks/dispatcher.hpp>
#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace roseworks::detail
{

/** Tracks which engine caches which prompt prefix, from the engines' cache
    events.

    Events arrive late and some are lost. A gap in an engine's sequence numbers
    marks all prefixes of this engine as stale; the next event that names a
    prefix makes it fresh again. The prefixes of an engine that sent no report
    for `stale_after` are stale until its next report without a gap. All
    prefixes of an engine are discarded when it restarts or when its events are
    read from the start.

    The size is bounded: the least recently reported prefixes are evicted first.
    When the limit for all engines is reached, a prefix of the reporting engine
    is evicted. Advisory: nothing is decided by it.
*/
class prefix_map
{
public:
    enum class freshness : std::uint8_t
    {
        none,
        stale, ///< was cached before events were missed
        fresh
    };

    struct options
    {
        std::size_t max_per_engine = 1024;  ///< prefixes
        std::size_t max_prefixes = 131'072; ///< of all engines together
        /// The prefixes of an engine become stale so long after its last
        /// report.
        duration stale_after = std::chrono::seconds(30);
        /// An engine is removed so long after its last report.
        duration evict_after = std::chrono::minutes(2);
    };

    prefix_map() = default;
    explicit prefix_map(const options& settings);

    void reported(const cache_report& report, instant now);

    /// @return Whether the server caches the prefix, as far as is known.
    freshness find(server_key server, std::uint64_t prefix, instant now) const;

    /// @return The number of tracked prefixes of all engines.
    std::size_t size() const;

private:
    struct entry
    {
        std::uint64_t prefix = 0;
        std::uint64_t gaps = 0; ///< gaps of the engine at the last report
    };
    using lru_list = std::list<entry>; ///< most recently reported first

    struct engine_prefixes
    {
        std::uint64_t incarnation = 0;
        std::uint64_t next = 0; ///< sequence number of the next event; 0: any
        std::uint64_t gaps = 0; ///< gaps in the sequence numbers so far
        instant last_report;
        lru_list lru;
        std::unordered_map<std::uint64_t, lru_list::iterator> positions;
    };

    void apply(engine_prefixes& tracked, const cache_event& event);
    void add(engine_prefixes& tracked, std::uint64_t prefix);
    void remove(engine_prefixes& tracked, std::uint64_t prefix);
    void clear(engine_prefixes& tracked);
    void evict_silent(instant now);

    options limits;
    std::unordered_map<server_key, engine_prefixes> engines;
    std::size_t total = 0;
    instant next_sweep;
};

} // namespace roseworks::detail
