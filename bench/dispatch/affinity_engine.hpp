#pragma once

#include <roseworks/dispatcher.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <random>

namespace roseworks::bench
{

/// The number of requests that an engine of the experiment runs at once.
inline constexpr std::uint16_t affinity_streams = 8;

/// An engine of the experiment: slots, a queue and a prefix cache that
/// publishes events, some of which are lost.
class affinity_engine
{
public:
    bool has_slot() const
    {
        return this->running < affinity_streams;
    }

    /// Caches the prefix.
    /// @return Whether it was cached before.
    bool use(std::uint64_t prefix, instant now);

    /// Restarts with an empty cache and a new incarnation.
    void restart();

    /** Returns the events from a sequence number on.

        @param from    The first sequence number.
        @param visible Only events up to this time are returned.
        @return        The report, without the id of the engine.
    */
    cache_report read(std::uint64_t from, instant visible) const;

    std::mt19937_64 random;        ///< decides which events are lost
    std::deque<std::size_t> queue; ///< indices of calls
    std::uint32_t running = 0;
    std::uint64_t incarnation = 1;
    bool is_lossless = false;

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
