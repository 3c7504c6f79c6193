#pragma once

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>

namespace roseworks::bench
{

/// Routers that share engines, and what is asked of them.
struct shared_engines_setup
{
    std::size_t routers = 2;
    std::size_t engines = 2;
    std::uint16_t slots = 8; ///< of each engine
    double load = 4;         ///< arrivals as a multiple of all slots' rate
    /// Part of the length for which only the first router gets calls.
    double head_start = 0;
    duration length = std::chrono::seconds(60);
    /// Answers take so much more or less than the mean, evenly spread.
    duration spread{};
    /// Between two reads of an engine by the router that holds it, and by
    /// another.
    duration held_interval = std::chrono::milliseconds(500);
    duration foreign_interval = std::chrono::seconds(10);
    std::uint64_t seed = 42;
};

/// What the callers saw; only calls that came after the head start count.
struct shared_engines_result
{
    double goodput = 0;       ///< whole answers that began in time, 1/s
    double urgent_p99_ms = 0; ///< from arrival to first byte, those answered
    double urgent_timely = 0; ///< part of the urgent ones
    double least_urgent_timely = 0; ///< the same at the router worst off
    std::size_t urgent_refused = 0; ///< refused as not run
    std::size_t cut = 0; ///< neither answered whole nor refused as not run
    std::size_t refused_late = 0;
    double engine_waiting = 0; ///< mean length of an engine's own queue
};

/** Simulate dispatchers that share engines and see each other's work late.

    On a virtual clock, without I/O: every answer takes 16 tokens of 10 ms on
    one of the engine's slots; what finds none free waits in the engine's own
    queue, best class first. A tenth of the calls are urgent with 0.5 s, three
    tenths normal with 2 s, the rest batch with 6 s, and each is cut at its
    deadline wherever it is. Each engine is held by one router, which reads its
    load the most often.
*/
shared_engines_result run_shared_engines(const shared_engines_setup& setup);

} // namespace roseworks::bench
