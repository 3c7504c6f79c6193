#pragma once

#include <roseworks/dispatcher.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <random>

namespace roseworks::bench
{

/// Requests that an engine of the experiment runs at once.
inline constexpr std::uint16_t affinity_streams = 8;

/// An engine of the experiment: slots, a queue and a prefix cache with its
/// events, of which some are lost.
class affinity_engine
{
public:
    bool has_slot() const
    {
        return this->running < affinity_streams;
    }

    /// @return Whether the prefix was cached; it is from now on.
    bool use(std::uint64_t prefix, instant now);

    /// Begin again with an empty cache, under a new incarnation.
    void restart();

    /** The events from a number on.

        @param from    The first number asked for.
        @param visible Only events that are at least so old are seen.
        @return        The report, without the engine's id.
    */
    cache_report read(std::uint64_t from, instant visible) const;

    std::mt19937_64 random;        ///< decides which events are lost
    std::deque<std::size_t> queue; ///< calls
    std::uint32_t running = 0;
    std::uint64_t incarnation = 1;
    bool lossless = false;

private:
    struct published_event
    {
        cache_event what;
        instant at;
    };

    void publish(std::uint64_t prefix, bool is_cached, instant now);

    std::list<std::uint64_t> cached; ///< the most recently used first
    std::deque<published_event> events;
    std::uint64_t next_sequence = 1;
};

} // namespace roseworks::bench
