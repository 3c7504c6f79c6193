#pragma once

#include <cstdint>

namespace roseworks::bench
{

/// Which queue stands before the servers.
enum class discipline
{
    dispatcher,
    fcfs ///< first come, first served; the same bound on the queue
};

/// What came out of one run.
struct overload_result
{
    double goodput = 0;       ///< answers a second with a timely first byte
    double urgent_timely = 0; ///< part of the urgent ones that were timely
    double urgent_p99_ms = 0; ///< from arrival to first byte, those answered
    double normal_timely = 0;
    double batch_timely = 0;
    double refused = 0; ///< part of all, told before their deadline
};

/** Simulate ten minutes of arrivals in virtual time.

    16 slots on four replicas, service times exponential with a mean of 200 ms,
    the first byte after a quarter; a tenth of the requests urgent with 2 s to
    their first byte, three tenths normal with 10 s, the rest batch with 60 s.

    @param kind Queue to use.
    @param load Arrivals as a multiple of what the servers can do.
    @param seed Of the arrivals and service times.
*/
overload_result run_overload(discipline kind, double load, std::uint64_t seed);

} // namespace roseworks::bench
