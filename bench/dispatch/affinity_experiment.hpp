#pragma once

#include <cstdint>

namespace roseworks::bench
{

/// How a request's engine is chosen.
enum class affinity_kind
{
    random,            ///< at once, any engine; no queue in the router
    two_choices,       ///< by load only
    rendezvous,        ///< by the prefix' hash
    cache_events,      ///< by cache events; a gap voids the engine's map
    cache_events_kept, ///< the same, but gaps aren't seen
    cache_events_whole ///< the same; no event is lost, none is late
};

struct affinity_setting
{
    affinity_kind kind = affinity_kind::rendezvous;
    double rate = 40;   ///< arrivals a second, at all routers
    bool churn = false; ///< an engine leaves and returns; another restarts
    bool frequent_reads = false; ///< every router reads every half second
    std::uint64_t seed = 1;
};

struct affinity_result
{
    double hits = 0;   ///< part of the requests whose prefix was cached
    double p99_ms = 0; ///< from arrival to the end of the prefill
    double p50_ms = 0;
    double refused = 0; ///< requests
};

/** Simulate ten minutes of arrivals at four routers in virtual time; the first
    two aren't counted.

    One model on eight engines of eight slots, each with a cache of 64 prefixes,
    least recently used out; 400 prefixes, drawn by Zipf's law. Prefill 400 ms,
    60 ms when the prefix is cached; decode exponential, mean 500 ms. Cache
    events are seen a second late and one in ten is lost, at its engine. As in
    the control loop, a router reads its own two engines' load and events every
    2 s and the others' every 10 s.
*/
affinity_result run_affinity(const affinity_setting& setting);

} // namespace roseworks::bench
