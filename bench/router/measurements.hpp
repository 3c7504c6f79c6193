#pragma once

/// The measurements of `bench_router`, each with real processes on loopback.
/// Each prints its figures and throws `std::runtime_error` when it can't run.
namespace roseworks::bench
{

/// Latency and rate on a warm model, beside the engine called directly.
void measure_added_latency();

/// Processor time of passing a stream on, one event a token as on a real
/// engine: with a pause between tokens, so that they don't arrive together.
void measure_streams();

/// Nine routers: time until an applied change is in force, what a burst for a
/// cold model costs the log, and the cost of a claim.
void measure_fleet();

/// How long silent connections to the only engine hurt its callers, and what
/// a mere slowdown costs.
void measure_silence();

/// What callers get of streams whose connections are reset midway, when the
/// engines' streams can be continued and when they can't.
void measure_cuts();

} // namespace roseworks::bench
