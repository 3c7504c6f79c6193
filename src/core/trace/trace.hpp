#pragma once

#include <roseworks/instant.hpp>
#include <roseworks/verdict.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/// A model or adapter of a trace.
struct traced_servable
{
    std::string name;
    std::optional<std::uint32_t> base; ///< adapters: index of the base model
    std::uint32_t memory_mib = 0;
    std::uint16_t accelerators = 1; ///< 0 for adapters
    std::uint16_t max_streams = 8;
    std::uint16_t max_replicas = 1;
    std::uint32_t load_ms = 0; ///< from remote, at full speed
};

/// An engine of a trace.
struct traced_engine
{
    std::string name;
    std::string data_centre;
    std::uint32_t memory_mib = 0;      ///< of its accelerators
    std::uint32_t host_cache_mib = 0;  ///< checkpoints kept in main memory
    std::uint32_t disk_cache_mib = 0;  ///< checkpoints kept on disk
    std::vector<std::uint32_t> staged; ///< on its disk at the start
    double price = 1;    ///< of an accelerator hour, against the usual type
    double slowdown = 1; ///< time of requests and loads, against the same
};

/// Where a request comes from.
enum class traffic_kind : std::uint8_t
{
    interactive, ///< part of a session of one caller
    companion,   ///< of a session that followed another of the same caller
    periodic,    ///< a caller that comes at regular times
    burst,       ///< many wake together (a harvest)
    batch,       ///< overnight
    catalogue    ///< a whole supplier catalogue: a long prompt
};

/// @return The word used in figures.
std::string_view to_string(traffic_kind kind);

/// One request of a trace.
struct traced_request
{
    instant at{};
    std::uint32_t servable = 0; ///< index
    std::uint32_t caller = 0;
    priority urgency = priority::normal;
    traffic_kind kind = traffic_kind::interactive;
    std::uint32_t prompt_chars = 0;
    std::uint32_t output_tokens = 0;
};

/// A time in which a servable is awake.
struct traced_session
{
    std::uint32_t servable = 0;
    std::uint32_t caller = 0;
    instant begin{};
    instant end{};
    traffic_kind kind = traffic_kind::interactive;
};

/// What one deployment meets in some hours; requests in order of time.
struct trace
{
    std::vector<traced_servable> servables;
    std::vector<traced_engine> engines;
    std::vector<traced_session> sessions;
    std::vector<traced_request> requests;
    duration length{};
    std::uint16_t store_slots = 0;
    std::uint16_t store_loads_per_second = 0;
};

/** Measure how restless a trace is.

    @param source The trace.
    @return       The share of (servable, hour) pairs in which the servable
                  woke or fell idle at least once.
*/
double wake_or_idle_share(const trace& source);

} // namespace roseworks
