#pragma once

#include <cstdint>

namespace roseworks::bench
{

/// How a request's engine is chosen.
enum class affinity_kind
{
    random,            ///< any engine at once; no queue in the router
    two_choices,       ///< by load only
    rendezvous,        ///< by the hash of the prefix
    cache_events,      ///< by cache events; a gap makes an engine's map stale
    cache_events_kept, ///< by cache events; gaps are not detected
    cache_events_whole ///< by cache events; none is lost or late
};

struct affinity_setting
{
    affinity_kind kind = affinity_kind::rendezvous;
    double rate = 40;   ///< arrivals a second, at all routers together
    bool churn = false; ///< an engine leaves and returns; another restarts
    bool frequent_reads = false; ///< every router reads every 500 ms
    std::uint64_t seed = 1;
};

struct affinity_result
{
    double hits = 0;   ///< fraction of the requests whose prefix was cached
    double p99_ms = 0; ///< from arrival to the end of the prefill
    double p50_ms = 0;
    double refused = 0; ///< number of requests
};

/** Simulates ten minutes of arrivals at four routers in virtual time. The first
    two minutes are not counted.

    One model runs on eight engines of eight slots, each with an LRU cache of 64
    prefixes. There are 400 prefixes, which follow Zipf's law. Prefill takes 400
    ms, or 60 ms if the prefix is cached; decoding takes an exponential time
   with a mean of 500 ms. Cache events are visible after 1 s; one in ten is lost
   at its engine. As in the control loop, a router reads the load and events of
   its own two engines every 2 s and those of the others every 10 s.
*/
affinity_result run_affinity(const affinity_setting& setting);

} // namespace roseworks::bench
