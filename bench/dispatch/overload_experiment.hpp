#pragma once

#include <cstdint>

namespace roseworks::bench
{

/// The queueing discipline in front of the servers.
enum class discipline
{
    dispatcher,
    fcfs ///< first come, first served, with the same maximum queue length
};

/// The result of one run.
struct overload_result
{
    double goodput = 0;       ///< answers with a timely first byte, 1/s
    double urgent_timely = 0; ///< fraction of the urgent requests
    double urgent_p99_ms = 0; ///< from arrival to first byte, if answered
    double normal_timely = 0; ///< fraction of the normal requests
    double batch_timely = 0;  ///< fraction of the batch requests
    double refused = 0; ///< fraction of all requests, before their deadline
};

/** Simulates ten minutes of arrivals in virtual time.

    There are 16 slots on four replicas. Service times are exponential with a
    mean of 200 ms; the first byte comes after a quarter of the service time.
   10% of the requests are urgent with 2 s to their first byte, 30% are normal
   with 10 s, and the others are batch requests with 60 s.

    @param kind Queueing discipline.
    @param load Arrival rate as a multiple of the servers' capacity.
    @param seed Seed of the arrivals and service times.
*/
overload_result run_overload(discipline kind, double load, std::uint64_t seed);

} // namespace roseworks::bench
