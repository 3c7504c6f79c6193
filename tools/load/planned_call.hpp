#pragma once

#include "tools/load/load_options.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::tools
{

/// One request to send, and when.
struct planned_call
{
    std::chrono::nanoseconds at{}; ///< after the start
    std::string request_id;
    std::string model;
    std::string caller;
    std::string urgency; ///< `urgent`, `normal` or `batch`
    std::string prompt;
    std::uint32_t max_tokens = 1;
    bool once = false; ///< with an idempotency key
    std::size_t router = 0;
    /// Told to the router; a little later the caller gives up.
    std::chrono::milliseconds deadline{30'000};
};

/** Make the plan of one run from the trace.

    The trace's servables are mapped onto what the routers serve, in order and
    round about, so that a small deployment meets the same arrivals.

    @param options What to send.
    @param models  What the routers serve; not empty.
    @param run     Distinguishes the request ids of several runs.
    @return        The calls in order of time, bounded by the options.
*/
std::vector<planned_call> plan_calls(
    const load_options& options,
    const std::vector<std::string>& models,
    std::string_view run);

} // namespace roseworks::tools
