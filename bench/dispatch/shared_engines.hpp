#pragma once

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>

namespace roseworks::bench
{

/// Routers that share engines, and their load.
struct shared_engines_setup
{
    std::size_t routers = 2;
    std::size_t engines = 2;
    std::uint16_t slots = 8; ///< of each engine
    double load = 4;         ///< arrivals as a multiple of the capacity
    /// Fraction of the length in which only the first router gets calls.
    double head_start = 0;
    duration length = std::chrono::seconds(60);
    /// Maximum deviation of the service time from its mean; uniform.
    duration spread{};
    /// Time between two reads of an engine's load, by the router that owns the
    /// engine and by the others.
    duration owner_interval = std::chrono::milliseconds(500);
    duration other_interval = std::chrono::seconds(10);
    std::uint64_t seed = 42;
};

/// The outcome of the calls that arrived after the head start.
struct shared_engines_result
{
    double goodput = 0;       ///< complete answers that began in time, 1/s
    double urgent_p99_ms = 0; ///< from arrival to first byte, if answered
    double urgent_timely = 0; ///< fraction of the urgent calls
    double least_urgent_timely = 0; ///< the same, at the worst router
    std::size_t urgent_refused = 0; ///< refused as not run
    std::size_t cut = 0; ///< neither answered in full nor refused as not run
    std::size_t refused_late = 0; ///< refused after their deadline
    double engine_waiting = 0;    ///< mean length of an engine's own queue
};

/** Simulates dispatchers that share engines and learn of each other's load with
    a delay.

    The simulation has a virtual clock and no I/O. Every answer takes 16 tokens
    of 10 ms on one slot of an engine. A call that finds no free slot waits in
    the engine's own queue, in order of priority. 10% of the calls are urgent
    with a deadline of 0.5 s, 30% are normal with 2 s, and the others are batch
    calls with 6 s. Each call is cancelled at its deadline, whether it is queued
    or running. Each engine is owned by one router, which reads its load more
    often than the others do.
*/
shared_engines_result run_shared_engines(const shared_engines_setup& setup);

} // namespace roseworks::bench
