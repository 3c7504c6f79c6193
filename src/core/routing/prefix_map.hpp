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

/** Which engine holds which prompt prefix, by the engines' cache events.

    Events come late and some are lost. A gap in an engine's numbers makes all
    that was known of this engine stale; a prefix is resynchronised by the next
    event that names it. What is known of an engine that was silent too long is
    stale until it reports again, without a gap. A restart, or a read that
    starts anew, voids what was known.

    Bounded: the prefixes reported least recently go first, of an engine and,
    when all engines together hold too many, of the engine that reports. Hint.
*/
class prefix_map
{
public:
    enum class knowledge : std::uint8_t
    {
        none,
        stale, ///< held before events were missed
        fresh
    };

    struct options
    {
        std::size_t max_per_engine = 1024;  ///< prefixes
        std::size_t max_prefixes = 131'072; ///< of all engines together
        duration silence = std::chrono::seconds(30);
        duration forget_after = std::chrono::minutes(2); ///< silent engines
    };

    prefix_map() = default;
    explicit prefix_map(const options& wanted);

    void reported(const cache_report& report, instant now);

    /// @return What is known of the prefix' being held there.
    knowledge find(server_key server, std::uint64_t prefix, instant now) const;

    /// @return Prefixes known, of all engines.
    std::size_t size() const;

private:
    struct entry
    {
        std::uint64_t prefix = 0;
        std::uint64_t gaps = 0; ///< of the engine, when it was reported
    };
    using ages = std::list<entry>; ///< most recently reported first

    struct engine_prefixes
    {
        std::uint64_t incarnation = 0;
        std::uint64_t next = 0; ///< number of the next event; 0: any
        std::uint64_t gaps = 0; ///< so far
        instant last_report;
        ages by_age;
        std::unordered_map<std::uint64_t, ages::iterator> places;
    };

    void apply(engine_prefixes& known, const cache_event& event);
    void add(engine_prefixes& known, std::uint64_t prefix);
    void remove(engine_prefixes& known, std::uint64_t prefix);
    void clear(engine_prefixes& known);
    void forget_silent(instant now);

    options limits;
    std::unordered_map<server_key, engine_prefixes> engines;
    std::size_t total = 0;
    instant next_sweep;
};

} // namespace roseworks::detail
