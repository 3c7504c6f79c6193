#pragma once

#include "tools/common/http_call.hpp"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace roseworks::tools
{

/// What the engines held at one time.
struct fleet_sample
{
    std::chrono::nanoseconds at{}; ///< after the start
    std::uint32_t ready = 0;       ///< replicas
    std::uint32_t moving = 0;      ///< loading or unloading
    std::uint32_t running = 0;     ///< requests
    std::uint32_t waiting = 0;     ///< requests in the engines' own queues
    /// Ready base models beyond the requests running on their engine: at least
    /// so many were idle.
    std::uint32_t idle_models = 0;
    std::uint64_t memory_mib = 0;
    bool overcommitted = false; ///< an engine used more than it has
};

/// Reads the stand-in engines' states beside the traffic, on a thread of its
/// own. Thread-safe.
class engine_watch
{
public:
    using clock = std::chrono::steady_clock;

    engine_watch(std::vector<endpoint> engines, clock::time_point start);
    ~engine_watch();
    engine_watch(const engine_watch&) = delete;
    engine_watch& operator=(const engine_watch&) = delete;

    /// @return Whether a model or adapter was ready when last seen.
    bool is_ready(const std::string& servable) const;

    /// @return All samples so far.
    std::vector<fleet_sample> samples() const;

private:
    void run(const std::stop_token& stop);
    void sample();

    std::vector<endpoint> engines;
    clock::time_point start;
    mutable std::mutex guard;
    std::condition_variable_any wake;
    std::set<std::string> ready;
    std::vector<fleet_sample> taken;
    std::jthread thread; ///< last: ends before what it uses
};

} // namespace roseworks::tools
